package exchange

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/route"
)

// maxRefusalTime is far below the time that a request may wait for a slot in these tests.
const maxRefusalTime = time.Second

// inHall returns the endpoint with another hall.
func inHall(hall willowwick.HallID, endpoint willowwick.Endpoint) willowwick.Endpoint {
	endpoint.Hall = hall
	return endpoint
}

// sendsTo reports whether the box uses available endpoints of the hall for new work.
func (s *site) sendsTo(hall willowwick.HallID) bool {
	return s.daemon.router.pool.HasInService("work", func(endpoint willowwick.Endpoint) bool { return endpoint.Hall == hall })
}

// fillSlots takes all slots of the endpoints and returns a function that releases them.
func (s *site) fillSlots(t *testing.T) (free func()) {
	all := func(willowwick.Endpoint) bool { return true }
	var slots []*route.Slot
	for s.daemon.router.pool.HasOpen(time.Now(), "work", all) {
		slot, _ := s.daemon.router.pool.AcquireAllowed(time.Now(), "work", route.Work{}, nil, all)
		require.NotNil(t, slot)
		slots = append(slots, slot)
	}
	return func() {
		for _, slot := range slots {
			slot.Release(time.Now(), route.OutcomeCancelled)
		}
	}
}

// applyDeclarations applies declarations as if they were read from the store.
func (s *site) applyDeclarations(declared willowwick.Declarations) {
	s.daemon.router.sync.applyDeclarations(declared)
}

// receiveEvacuated passes a digest of another box, with these evacuated halls, to the box.
func (s *site) receiveEvacuated(evacuated EvacuatedHalls) {
	s.daemon.router.peers.receiveDigest(Digest{Box: "box-9", Hall: "hall-z", Address: unusedAddress, Evacuated: evacuated}, time.Now())
}

func TestEvacuatedHallGetsNoNewWorkUntilEvacuationIsTakenBack(t *testing.T) {
	began, finish := make(chan struct{}, 1), make(chan struct{})
	own := newRunner(t, "r1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("T-Id") == "long" {
			began <- struct{}{}
			<-finish
		}
		answerText("own")(w, r)
	})
	other := newRunner(t, "r2", answerText("other"))
	s := newSite(t, own.endpoint("v1"), inHall("hall-b", other.endpoint("v1")))
	var running siteReply
	var requests sync.WaitGroup
	requests.Go(func() { running = s.do(t, http.MethodPost, "/once/", "long", "x") })
	<-began
	end := sync.OnceFunc(func() {
		close(finish)
		requests.Wait()
	})
	t.Cleanup(end)
	s.control.evacuate("hall-a")
	require.Eventually(t, func() bool { return !s.sendsTo("hall-a") }, inForceWithin, 5*time.Millisecond)
	end()
	assert.Equal(t, "own", running.body, "running requests continue")
	for i := range 20 {
		assert.Equal(t, "other", s.do(t, http.MethodPost, "/once/", fmt.Sprint("id-", i), "x").body)
	}
	assert.Len(t, own.requests(), 1)
	isReady, _ := s.daemon.router.ready()
	assert.True(t, isReady, "the box keeps serving although its hall is evacuated")
	s.control.evacuate()
	require.Eventually(t, func() bool { return s.sendsTo("hall-a") }, inForceWithin, 5*time.Millisecond)
	assert.Equal(t, "own", s.do(t, http.MethodPost, "/once/", "back", "x").body)
}

func TestEvacuationReachesBoxesThatDoNotReadTheStore(t *testing.T) {
	own, other := newRunner(t, "r1", answerText("own")), newRunner(t, "r2", answerText("other"))
	control, sites := newHall(t, 4, own.endpoint("v1"), inHall("hall-b", other.endpoint("v1")))
	awaitReaders(t, sites, 1)
	require.Eventually(t, func() bool { return control.waitingReads.Load() == 1 }, waitTimeout, 10*time.Millisecond)
	control.evacuate("hall-a")
	for _, s := range sites {
		require.Eventually(t, func() bool { return !s.sendsTo("hall-a") }, inForceWithin, 5*time.Millisecond, "box %s", s.daemon.router.settings.Box)
		assert.Equal(t, "other", s.do(t, http.MethodPost, "/once/", "id", "x").body)
	}
	assert.Len(t, readers(sites), 1)
	control.evacuate("hall-b")
	for _, s := range sites {
		require.Eventually(t, func() bool { return s.sendsTo("hall-a") && !s.sendsTo("hall-b") }, inForceWithin, 5*time.Millisecond)
	}
}

// A box that has just started gets the configuration from another box before the store answers; evacuations must come
// with it.
func TestStartingBoxLearnsEvacuationsFromPeer(t *testing.T) {
	own, other := newRunner(t, "r1", answerText("own")), newRunner(t, "r2", answerText("other"))
	control, sites := newHall(t, 1, own.endpoint("v1"), inHall("hall-b", other.endpoint("v1")))
	control.evacuate("hall-a")
	require.Eventually(t, func() bool { return !sites[0].sendsTo("hall-a") }, inForceWithin, 5*time.Millisecond)
	unavailable := &testControl{down: true}
	settings := testSettings()
	settings.Box, settings.Seeds = "box-new", []string{sites[0].daemon.router.settings.Peers}
	fresh := startSite(t, unavailable, settings)
	require.Eventually(t, func() bool {
		isReady, _ := fresh.daemon.router.ready()
		return isReady
	}, waitTimeout, time.Millisecond)
	assert.False(t, fresh.sendsTo("hall-a"))
	assert.True(t, fresh.sendsTo("hall-b"))
}

func TestRetryAvoidsNewlyEvacuatedHall(t *testing.T) {
	var s *site
	own := newRunner(t, "r1", func(w http.ResponseWriter, _ *http.Request) {
		s.control.evacuate("hall-b")
		for deadline := time.Now().Add(inForceWithin); s.sendsTo("hall-b") && time.Now().Before(deadline); {
			time.Sleep(5 * time.Millisecond)
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	other := newRunner(t, "r2", answerText("other"))
	s = newSite(t, own.endpoint("v1"), inHall("hall-b", other.endpoint("v1")))
	// From then on the box learns of the evacuation well before it considers the endpoint silent.
	require.Eventually(t, func() bool { return s.control.waitingReads.Load() == 1 }, waitTimeout, time.Millisecond)
	assert.Equal(t, http.StatusInternalServerError, s.do(t, http.MethodGet, "/again/", "id", "").status)
	assert.Empty(t, other.requests())
	assert.Len(t, own.requests(), 2, "retried at the only endpoint left")
}

func TestRequestsAreRefusedAtOnceWhenNoOtherHallServesThem(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	s := newSite(t, r.endpoint("v1"))
	s.control.evacuate("hall-a", "hall-x")
	require.Eventually(t, func() bool { return !s.sendsTo("hall-a") }, inForceWithin, 5*time.Millisecond)
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		began := time.Now()
		reply := s.do(t, http.MethodPost, path, "id", "x")
		assert.Equal(t, http.StatusServiceUnavailable, reply.status)
		assert.NotEmpty(t, reply.header.Get("Retry-After"))
		assert.Less(t, time.Since(began), maxRefusalTime)
	}
	assert.Empty(t, r.requests())
}

// Requests in the queue must not get a slot in a hall that is evacuated meanwhile.
func TestQueuedRequestsGetNoSlotInEvacuatedHall(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	s := newSite(t, r.endpoint("v1"))
	patient := onceRoute()
	patient.Timeout, patient.Goal = 20*time.Second, 20*time.Second
	s.control.change(func() { s.control.table = testTable(2, patient) })
	require.Eventually(t, func() bool { return s.daemon.router.configVersion() == 2 }, inForceWithin, 5*time.Millisecond)
	free := s.fillSlots(t)
	replies := make(chan siteReply, 1)
	go func() { replies <- s.do(t, http.MethodPost, "/once/", "id", "x", "T-Left", "4000") }()
	require.Eventually(t, func() bool { return s.daemon.router.gate.WaitingCount() == 1 }, waitTimeout, time.Millisecond)
	began := time.Now()
	s.control.evacuate("hall-a")
	assert.Equal(t, http.StatusServiceUnavailable, (<-replies).status)
	assert.Less(t, time.Since(began), inForceWithin, "it did not wait until its deadline")
	free()
	assert.False(t, s.sendsTo("hall-a"))
	assert.Empty(t, r.requests())
}

func TestStaleEvacuationStateIsIgnored(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	const hall = willowwick.HallID("hall-a")
	evacuated := func(at willowwick.Position) EvacuatedHalls {
		return EvacuatedHalls{AsOf: at, Halls: map[willowwick.HallID]willowwick.Position{hall: at - 1}}
	}
	steps := []struct {
		what        string
		do          func()
		isEvacuated bool // afterwards
	}{
		{"full read", func() {
			s.applyDeclarations(willowwick.Declarations{Snapshot: true, Next: 100, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 99}}})
		}, true},
		{"late incremental read", func() {
			s.applyDeclarations(willowwick.Declarations{Next: 61, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 60, Revoked: true}}})
		}, true},
		{"late full read", func() { s.applyDeclarations(willowwick.Declarations{Snapshot: true, Next: 70}) }, true},
		{"update from a box with an older state", func() { s.receiveEvacuated(EvacuatedHalls{AsOf: 80}) }, true},
		{"update without evacuations", func() { s.receiveEvacuated(EvacuatedHalls{}) }, true},
		{"update from a box with a newer state", func() { s.receiveEvacuated(EvacuatedHalls{AsOf: 110}) }, false},
		{"older state of the same box", func() { s.receiveEvacuated(evacuated(105)) }, false},
		{"read that ends before the update", func() {
			s.applyDeclarations(willowwick.Declarations{Next: 102, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 101}}})
		}, false},
		{"read that begins before the update", func() {
			s.applyDeclarations(willowwick.Declarations{Next: 112, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 101}}})
		}, false},
		{"new record", func() {
			s.applyDeclarations(willowwick.Declarations{Next: 113, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 112}}})
		}, true},
		{"changes of other kinds", func() { s.applyDeclarations(willowwick.Declarations{Next: 120}) }, true},
		{"full read after the store lost its history", func() { s.applyDeclarations(willowwick.Declarations{Snapshot: true, Next: 130}) }, false},
		{"full read with a record beyond its end", func() {
			s.applyDeclarations(willowwick.Declarations{Snapshot: true, Next: 140, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 145}}})
		}, true},
		{"records in between", func() {
			s.applyDeclarations(willowwick.Declarations{Next: 142, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 141, Revoked: true}}})
		}, true},
		{"several changes at once", func() {
			s.applyDeclarations(willowwick.Declarations{Next: 150, Evacuations: []willowwick.Evacuation{{Hall: hall, At: 145}, {Hall: hall, At: 149, Revoked: true}}})
		}, false},
	}
	for _, step := range steps {
		step.do()
		require.Equal(t, step.isEvacuated, !s.sendsTo(hall), step.what)
	}
}

// An endpoint that is listed in an evacuated hall gets no work from the start.
func TestNewEndpointInEvacuatedHallGetsNoWork(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	s := newSite(t, inHall("hall-b", r.endpoint("v1")))
	s.control.evacuate("hall-a")
	require.Eventually(t, func() bool { return s.daemon.router.evacuations.count() == 1 }, inForceWithin, 5*time.Millisecond)
	late := newRunner(t, "r2", answerText("late"))
	s.control.change(func() { s.control.endpoints["r2"] = late.endpoint("v1") })
	require.Eventually(t, func() bool {
		_, isListed := s.daemon.router.sync.listedEndpoint("r2")
		return isListed
	}, waitTimeout, time.Millisecond)
	for range 20 {
		require.Equal(t, "ok", s.do(t, http.MethodPost, "/once/", "id", "x").body)
	}
	assert.Empty(t, late.requests())
}
