package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// regionSettings returns the settings of a box in hall-a, which is in the north, with another hall in the south.
func regionSettings() Settings {
	settings := testSettings()
	settings.Regions = map[willowwick.HallID]willowwick.RegionID{"hall-a": "north", "hall-b": "south"}
	return settings
}

// southern returns the runner's endpoint in the south.
func southern(r *runner) willowwick.Endpoint {
	endpoint := r.endpoint("v1")
	endpoint.Hall = "hall-b"
	return endpoint
}

func inRegions(route willowwick.Route, regions ...willowwick.RegionID) willowwick.Route {
	route.Regions = regions
	return route
}

func TestRequestIsServedInAllowedRegionsOnly(t *testing.T) {
	for name, test := range map[string]struct {
		route, account []willowwick.RegionID
		servedBy       string
	}{
		"no region named": {nil, nil, "north"},
		"by its route":    {[]willowwick.RegionID{"south"}, nil, "south"},
		"by its account":  {nil, []willowwick.RegionID{"south"}, "south"},
		"by both":         {[]willowwick.RegionID{"north", "south"}, []willowwick.RegionID{"east", "south"}, "south"},
	} {
		t.Run(name, func(t *testing.T) {
			north, south := newRunner(t, "r1", answerText("north")), newRunner(t, "r2", answerText("south"))
			table := testTable(1, inRegions(onceRoute(), test.route...))
			table.Accounts[0].Regions = test.account
			s := startSite(t, newTestControl(table, north.endpoint("v1"), southern(south)), regionSettings())
			reply := s.do(t, http.MethodPost, "/once/", "id", "x")
			assert.Equal(t, test.servedBy, reply.body)
		})
	}
}

func TestRequestWithoutEndpointInAllowedRegionsIsRefusedAtOnce(t *testing.T) {
	for name, regions := range map[string][]willowwick.RegionID{"no endpoint there": {"south"}, "no hall there": {"east"}} {
		t.Run(name, func(t *testing.T) {
			north := newRunner(t, "r1", answerText("north"))
			control := newTestControl(testTable(1, inRegions(onceRoute(), regions...)), north.endpoint("v1"))
			s := startSite(t, control, regionSettings())
			began := time.Now()
			reply := s.do(t, http.MethodPost, "/once/", "id", "x")
			assert.Equal(t, http.StatusServiceUnavailable, reply.status, "the request has not run and a later declaration may allow it")
			assert.NotEmpty(t, reply.header.Get("Retry-After"))
			assert.Empty(t, north.requests())
			assert.Less(t, time.Since(began), scale(onceRoute().Goal, queueWaitShare))
		})
	}
}

// A failed, silent or broken endpoint is left only for one in an allowed region.
func TestRequestIsNotSentAgainOutsideAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		answer http.HandlerFunc
		status int
	}{
		"failed": {"/again/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError},
		"broken": {"/stream/", func(w http.ResponseWriter, _ *http.Request) { hangUp(w) }, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			north, south := newRunner(t, "r1", test.answer), newRunner(t, "r2", answerText("south"))
			routes := []willowwick.Route{inRegions(retryRoute(), "north"), inRegions(streamRoute(), "north")}
			s := startSite(t, newTestControl(testTable(1, routes...), north.endpoint("v1"), southern(south)), regionSettings())
			reply := s.do(t, http.MethodPost, test.path, "id", "x")
			assert.Equal(t, test.status, reply.status)
			assert.NotEmpty(t, north.requests())
			assert.Empty(t, south.requests())
		})
	}
}

// Without another endpoint in an allowed region, a silent one is better than none.
func TestSilentEndpointIsNotLeftForAForbiddenRegion(t *testing.T) {
	mute, gone := newSilentRunner(t)
	south := newRunner(t, "r2", answerText("south"))
	control := newTestControl(testTable(1, inRegions(retryRoute(), "north")), mute.endpoint("v1"), southern(south))
	s := startSite(t, control, regionSettings())
	reply := s.do(t, http.MethodPost, "/again/", "id", "x", "T-Left", "1500")
	assert.Equal(t, http.StatusGatewayTimeout, reply.status)
	assert.Empty(t, south.requests())
	assert.Len(t, mute.requests(), 1)
	requireClosed(t, gone, waitTimeout, "the endpoint's work ends with the request")
}

// A configuration that comes into force between the choice of an endpoint and the send holds for that request.
func TestRequestIsWithheldWhenChosenEndpointIsForbidden(t *testing.T) {
	north := newRunner(t, "r1", answerText("north"))
	s := startSite(t, newTestControl(testTable(1, onceRoute()), north.endpoint("v1")), regionSettings())
	c, _ := s.newCall(t, "/once/", "meanwhile")
	ticket, refusal := c.awaitTicket()
	require.Nil(t, refusal)
	s.daemon.router.setTable(testTable(2, inRegions(onceRoute(), "south")), "test")
	assert.Equal(t, withheld, c.sendOnce(ticket).kind)
	assert.Empty(t, north.requests())
}

func TestNextSendGoesByTheNewestConfiguration(t *testing.T) {
	isInForce := make(chan struct{})
	north := newRunner(t, "r1", func(w http.ResponseWriter, request *http.Request) {
		streamEvents(w, request, 5)
		<-isInForce
		hangUp(w)
	})
	south := newRunner(t, "r2", func(w http.ResponseWriter, request *http.Request) { streamEvents(w, request, 9) })
	otherNorth := newRunner(t, "r3", func(w http.ResponseWriter, request *http.Request) { streamEvents(w, request, 9) })
	patient := streamRoute()
	patient.GapGoal = 0
	control := newTestControl(testTable(1, patient), north.endpoint("v1"))
	s := startSite(t, control, regionSettings())
	replies := make(chan siteReply, 1)
	go func() { replies <- s.do(t, http.MethodPost, "/stream/", "id", "x") }()
	await(t, func() bool { return len(north.requests()) == 1 }, waitTimeout, time.Millisecond)
	control.change(func() {
		control.table = testTable(2, inRegions(patient, "south"))
		control.endpoints["r2"], control.endpoints["r3"] = southern(south), otherNorth.endpoint("v1")
	})
	x := s.daemon.router
	await(t, func() bool { return x.configVersion() == 2 && len(x.pool.Endpoints()) == 3 }, waitTimeout, time.Millisecond)
	close(isInForce)
	assert.Equal(t, events(9), (<-replies).body)
	assert.Len(t, south.requests(), 1)
	assert.Empty(t, otherNorth.requests())
}

// A poison request that is tried on a release would otherwise be refused for a release that it may not be sent to.
func TestTrialsGoToReleasesInAllowedRegions(t *testing.T) {
	north, south := newRunner(t, "r1", answerText("north")), newRunner(t, "r2", answerText("south"))
	newer := southern(south)
	newer.Release = "v2"
	s := startSite(t, newTestControl(testTable(1, inRegions(onceRoute(), "north")), north.endpoint("v1"), newer), regionSettings())
	x := s.daemon.router
	c := &call{router: x, table: x.table.Load(), service: "work", route: &x.table.Load().Routes[0]}
	assert.Equal(t, []willowwick.ReleaseID{"v1"}, c.usableReleases(time.Now()))
}

// Requests for some regions and requests for all have queues of their own: neither waits at the head of the other's.
func TestRequestsForSomeRegionsHaveQueuesOfTheirOwn(t *testing.T) {
	x, closeRouter := newRouter(regionSettings(), testCodec{})
	defer closeRouter()
	x.table.Store(newTable(testTable(1, onceRoute(), inRegions(retryRoute(), "south", "north"), inRegions(streamRoute(), "east"))))
	var names []string
	for i := range x.table.Load().Routes {
		c := &call{router: x, service: "work", route: &x.table.Load().Routes[i]}
		names = append(names, c.queueName())
		assert.True(t, isQueueOf(c.queueName(), c.service), "its requests count as demand on the service")
	}
	assert.Equal(t, []string{"work", "work in north+south", "work in "}, names)
}

// A region may fail at once, while its endpoints stay listed for some seconds.
func TestAfterMissesARequestPrefersOtherHallsAndThenOtherRegions(t *testing.T) {
	topology := willowwick.Topology{Hall: "a", Regions: map[willowwick.HallID]willowwick.RegionID{"a": "north", "b": "north", "c": "south"}}
	var m misses
	assert.Empty(t, m.preferences())
	for _, hall := range []willowwick.HallID{"a", "a"} {
		m.record(topology, hall)
	}
	first := m.preferences()[0]
	assert.Equal(t, []bool{false, true, true}, []bool{first("a"), first("b"), first("c")})
	m.record(topology, "b")
	first, second := m.preferences()[0], m.preferences()[1]
	assert.Equal(t, []bool{false, false, true}, []bool{first("a"), first("b"), first("c")})
	assert.Equal(t, []bool{false, true, true}, []bool{second("a"), second("b"), second("c")})
}

// Requests and bytes are counted by distance, and a request that leaves its region says why.
func TestARequestThatLeavesItsRegionSaysWhy(t *testing.T) {
	south := newRunner(t, "r2", answerText("south"))
	routes := []willowwick.Route{onceRoute(), inRegions(retryRoute(), "south")}
	s := startSite(t, newTestControl(testTable(1, routes...), southern(south)), regionSettings())
	x := s.daemon.router
	reply := s.do(t, http.MethodPost, "/once/", "id", "1234567")
	require.Equal(t, "south", reply.body)
	far := x.metrics.distances[willowwick.OtherRegion]
	assert.EqualValues(t, 1, far.sends.Get())
	assert.EqualValues(t, len("1234567")+len("south"), far.bytes.Get())
	assert.Zero(t, x.metrics.distances[willowwick.SameHall].sends.Get())
	for at, reason := range []string{leftNoEndpoint, leftForbidden} {
		c := &call{router: x, service: "work", route: &x.table.Load().Routes[at]}
		assert.Equal(t, reason, c.reasonToLeave(time.Now(), southern(south)))
	}
}

// What boxes tell each other, write to the store and log of a request may leave the allowed regions.
func TestContentOfARestrictedRequestStaysWithIt(t *testing.T) {
	s := startSite(t, newTestControl(testTable(1, onceRoute(), inRegions(retryRoute(), "north"))), regionSettings())
	x := s.daemon.router
	require.Eventually(t, func() bool { return x.table.Load() != nil }, waitTimeout, time.Millisecond)
	for at, prefix := range []string{"/once/", "/again/"} {
		r := s.request(t, http.MethodPost, prefix+"name?of=ada", "id", "x")
		r.RequestURI = prefix + "name?of=ada"
		c := &call{router: x, service: "work", route: &x.table.Load().Routes[at]}
		c.message.Target = r.RequestURI
		told := c.describePoison().Target
		if at == 0 {
			assert.Equal(t, r.RequestURI, told)
		} else {
			assert.Equal(t, prefix, told)
		}
		assert.Equal(t, prefix, x.loggedTarget(r))
	}
}
