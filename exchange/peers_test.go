package exchange

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/rollout"
)

// hallDrain leaves time for some gossip exchanges within the time to drain an endpoint.
const hallDrain = 2 * time.Second

// newHall starts boxes of one hall that find each other by their seeds.
func newHall(t *testing.T, boxes int, endpoints ...willowwick.Endpoint) (*testControl, []*site) {
	control := newTestControl(testTable(1, onceRoute(), streamRoute()), endpoints...)
	var sites []*site
	for i := range boxes {
		settings := testSettings()
		settings.Box = willowwick.BoxID(fmt.Sprint("box-", i))
		settings.Drain = hallDrain
		if i > 0 {
			settings.Seeds = []string{sites[0].daemon.router.settings.Peers}
		}
		sites = append(sites, startSite(t, control, settings))
	}
	return control, sites
}

func readers(sites []*site) []*site {
	var found []*site
	for _, s := range sites {
		if _, hasReader := s.daemon.router.peers.reader(time.Now()); !hasReader {
			found = append(found, s)
		}
	}
	return found
}

func awaitReaders(t *testing.T, sites []*site, count int) []*site {
	require.Eventually(t, func() bool { return len(readers(sites)) == count }, waitTimeout, 10*time.Millisecond)
	return readers(sites)
}

func TestOneBoxOfAHallReadsTheStoreForTheOthers(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control, sites := newHall(t, 4, r.endpoint("v1"))
	awaitReaders(t, sites, 1)
	time.Sleep(peerLiveness)
	control.mu.Lock()
	before := control.endpointReads
	control.mu.Unlock()
	time.Sleep(hallDrain)
	control.mu.Lock()
	during := control.endpointReads - before
	control.mu.Unlock()
	assert.LessOrEqual(t, during, 5, "reads of one box in the time of two and a half")
	leaving := newRunner(t, "r2", answerText("ok"))
	control.change(func() {
		control.endpoints["r2"] = leaving.endpoint("v1")
		control.table = testTable(2, onceRoute())
	})
	for _, s := range sites {
		require.Eventually(t, func() bool {
			_, found := s.daemon.router.sync.listedEndpoint("r2")
			return found && s.daemon.router.configVersion() == 2
		}, hallDrain, 5*time.Millisecond, "box %s", s.daemon.router.settings.Box)
	}
}

func TestBoxesReadForThemselvesOnceTheirReaderIsGone(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control, sites := newHall(t, 3, r.endpoint("v1"))
	reader := awaitReaders(t, sites, 1)[0]
	time.Sleep(peerLiveness)
	reader.stop()
	reader.closeDaemon()
	control.change(func() {
		endpoint := r.endpoint("v1")
		endpoint.Leaving = true
		control.endpoints["r1"] = endpoint
	})
	for _, s := range sites {
		if s == reader {
			continue
		}
		require.Eventually(t, func() bool {
			endpoint, _ := s.daemon.router.sync.listedEndpoint("r1")
			return endpoint.Leaving
		}, hallDrain, 5*time.Millisecond)
	}
}

func TestReportsOfBoxesAddUp(t *testing.T) {
	row := func(requests uint64) EvidenceRow {
		return EvidenceRow{"work", "v2", "r", rollout.Evidence{Requests: requests}}
	}
	a := Report{Boxes: 1, Evidence: []EvidenceRow{row(3)}, Moves: []MoveRow{{"work", "v2", true, 0}}}
	b := Report{Boxes: 2, Evidence: []EvidenceRow{row(4)}, Moves: []MoveRow{{"work", "v2", false, 5}}}
	assert.Equal(t, Report{Boxes: 3, Evidence: []EvidenceRow{row(7)}, Moves: []MoveRow{{"work", "v2", false, 5}}}, a.add(b, true))
	gone := a.add(b, false)
	assert.Equal(t, uint64(7), gone.Evidence[0].Counts.Requests, "what a box has counted stays")
	assert.True(t, gone.Moves[0].Moved, "what it does no longer counts")
	assert.Equal(t, uint64(3), a.Evidence[0].Counts.Requests, "the summands stay as they are")
}

func TestEvidenceOfAllBoxesFindsABadRelease(t *testing.T) {
	good := newRunner(t, "r1", answerText("ok"))
	bad := newRunner(t, "r2", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	control, sites := newHall(t, 2, good.endpoint("v1"), bad.endpoint("v2"))
	awaitReaders(t, sites, 1)
	control.change(func() { control.orders = []willowwick.ReleaseOrder{orderOf("v2", 1)} })
	written := func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return len(control.written) > 0 && control.written[len(control.written)-1].State == willowwick.ReleaseRolledBack
	}
	deadline := time.Now().Add(waitTimeout)
	for i := 0; time.Now().Before(deadline) && !written(); i++ {
		sites[i%2].do(t, http.MethodPost, "/once/", fmt.Sprint("id-", i), "x")
	}
	require.True(t, written())
}

// Guards against all boxes of a hall exchanging gossip with all others during an outage of the store, when none reads
// it.
func TestBoxesSwapWithOneOfTheirHallWhileTheStoreIsAway(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control, sites := newHall(t, 4, r.endpoint("v1"))
	awaitReaders(t, sites, 1)
	time.Sleep(peerLiveness)
	control.change(func() { control.down = true })
	require.Eventually(t, func() bool {
		hubs, targets := 0, 0
		for _, s := range sites {
			if _, hasHub := s.daemon.router.peers.hub(time.Now()); !hasHub {
				hubs++
			}
			targets += len(s.daemon.router.peers.exchangeTargets(time.Now()))
		}
		return len(readers(sites)) == len(sites) && hubs == 1 && targets == len(sites)-1
	}, waitTimeout, 10*time.Millisecond)
}

// A reader that gets the list from another hall in time doesn't read the store itself; it used to lose its hall for
// that.
func TestReaderWithDataFromAnotherHallStaysReader(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 1, r.endpoint("v1"))
	x := sites[0].daemon.router
	require.Eventually(t, x.sync.hasEndpointList, waitTimeout, 10*time.Millisecond)
	isCutOff := func(unreachable bool) bool {
		now := time.Now()
		x.sync.mu.Lock()
		for kind := range readKindCount {
			x.sync.answeredAt[kind], x.sync.failing[kind] = now.Add(-2*hallDrain), unreachable
		}
		x.sync.endpointsAsOf = now.Add(-hallDrain / 10)
		x.sync.mu.Unlock()
		return x.peers.isCutOffFromStore(&peer{digest: x.peers.ownDigest(now), heardAt: now}, now)
	}
	assert.False(t, isCutOff(false), "it could read, and did not have to")
	assert.True(t, isCutOff(true), "its last read failed")
}

// Guards against a fleet whose boxes start at once and each call all others in the same round.
func TestABoxTriesOnlyAFewSilentBoxesAtOnce(t *testing.T) {
	p := newMesh(1, 1, 1, 1).boxes[0].peers
	now := time.Now()
	for i := range 60 {
		hall := []willowwick.HallID{"hall-0", "hall-1", "hall-2", ""}[i%4]
		p.noteBox(KnownBox{Address: fmt.Sprintf("10.0.0.%d:1", i), Hall: hall, LinkMbps: p.self().LinkMbps + 1}, now)
	}
	assert.LessOrEqual(t, len(p.exchangeTargets(now)), 4*maxProbesPerRound, "two of each hall and two of no known hall")
}

func TestMemberNameRoundTrip(t *testing.T) {
	box := KnownBox{Address: "10.0.0.1:8188", Hall: "hall-a", LinkMbps: 200}
	assert.Equal(t, box, parseMemberName(memberName(box)))
	assert.Equal(t, KnownBox{Address: "10.0.0.1:8188"}, parseMemberName("10.0.0.1:8188"))
}

// A hub forwards large data to all boxes of its hall, so the box with the widest link is the hub.
func TestTheWidestLinkOfAHallIsItsHub(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control, sites := newHall(t, 2, r.endpoint("v1"))
	settings := testSettings()
	settings.Box, settings.Drain, settings.LinkMbps = "box-wide", hallDrain, 200
	settings.Seeds = []string{sites[0].daemon.router.settings.Peers}
	wide := startSite(t, control, settings)
	sites = append(sites, wide)
	require.Eventually(t, func() bool {
		found := readers(sites)
		return len(found) == 1 && found[0] == wide
	}, waitTimeout, 10*time.Millisecond)
}

// A box that has a reader needs no long poll; each costs a call whenever something changes.
func TestOnlyReadersHoldReadsOfDeclarations(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control, sites := newHall(t, 4, r.endpoint("v1"))
	awaitReaders(t, sites, 1)
	require.Eventually(t, func() bool { return control.waitingReads.Load() == 1 }, waitTimeout, 10*time.Millisecond)
}

// Guards against boxes that each probe an unavailable store for themselves; joins and declarations can wait for its
// return.
func TestBoxesOfAHallShareStoreProbesDuringOutage(t *testing.T) {
	const boxes = 8
	r := newRunner(t, "r1", answerText("ok"))
	control, sites := newHall(t, boxes, r.endpoint("v1"))
	awaitReaders(t, sites, 1)
	control.change(func() { control.down = true })
	require.Eventually(t, func() bool {
		for _, s := range sites {
			if !s.daemon.router.sync.hasFailingRead() {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	before := control.calls.Load()
	const watched = 3 * time.Second
	time.Sleep(watched)
	// The first box probes with its usual pauses, for two kinds of reads and the group; the others share one interval.
	first := float64(watched)*2/float64(maxReadRetry) + float64(watched)/float64(joinInterval)
	others := float64(watched) / float64(hallProbeInterval)
	assert.LessOrEqual(t, float64(control.calls.Load()-before), first+others+boxes)
	control.change(func() { control.down = false })
	for _, s := range sites {
		require.Eventually(t, func() bool { return !s.daemon.router.sync.isConfigStale(time.Now()) }, waitTimeout, 10*time.Millisecond)
	}
}

// Guards against a reader whose hub is a preceding box that doesn't reach the store: that one took the reader as its
// hub, and the hall exchanged gossip with no other hall any more.
func TestBoxThatReadsTheStoreFollowsNoneThatDoesNot(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 1, r.endpoint("v1"))
	p := sites[0].daemon.router.peers
	require.Eventually(t, func() bool { return p.reachesStore(time.Now()) }, waitTimeout, 10*time.Millisecond)
	blind := Digest{Address: unusedAddress, Hall: p.self().Hall, LinkMbps: p.self().LinkMbps + 1, ReadAgeMs: time.Hour.Milliseconds()}
	p.receiveDigest(blind, time.Now())
	_, hasHub := p.hub(time.Now())
	assert.False(t, hasHub)
	blind.ReadAgeMs = 0
	p.receiveDigest(blind, time.Now())
	_, hasHub = p.hub(time.Now())
	assert.True(t, hasHub, "one that reads and comes before is followed")
}

// Guards against boxes that answer but can't serve as a hub and keep a box from calling the preceding boxes after them.
// The box does not exchange gossip by itself, which would take turns of its own.
func TestAllPrecedingBoxesAreProbedInTurn(t *testing.T) {
	p := newMesh(1, 1, 1, 1).boxes[0].peers
	const boxes = 12
	now := time.Now()
	var preceding []KnownBox
	for i := range boxes {
		preceding = append(preceding, KnownBox{Address: fmt.Sprintf("10.0.0.%d:1", i), Hall: "hall-0", LinkMbps: p.self().LinkMbps + 1})
	}
	tried := map[string]bool{}
	for range boxes / maxProbesPerRound {
		for _, box := range preceding {
			p.noteBox(box, now)
		}
		for _, address := range p.exchangeTargets(now) {
			tried[address] = true
			p.beginExchange(address, now)
			p.receiveDigest(Digest{Address: address, Hall: "hall-0", ReadAgeMs: time.Hour.Milliseconds()}, now)
			p.endExchange(address)
		}
		now = now.Add(2 * peerLiveness)
	}
	for _, box := range preceding {
		assert.Contains(t, tried, box.Address)
	}
}

// Guards against a box with a reader that checked its lapsed entries only on other changes; an endpoint that it alone
// had dropped stayed unknown to it until the endpoint changed.
func TestFollowerDropsLapsedEndpointAndLearnsItIsListed(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 2, r.endpoint("v1"))
	reader := awaitReaders(t, sites, 1)[0]
	fed := sites[0]
	if fed == reader {
		fed = sites[1]
	}
	s := fed.daemon.router.sync
	isListed := func() bool {
		_, found := s.listedEndpoint("r1")
		return found
	}
	require.Eventually(t, isListed, waitTimeout, time.Millisecond)
	s.mu.Lock()
	s.lapsed["r1"] = time.Now()
	s.mu.Unlock()
	require.Eventually(t, func() bool { return !isListed() }, waitTimeout, time.Millisecond)
	require.Eventually(t, isListed, wholeListInterval+waitTimeout, time.Millisecond, "its reader lists it")
}

// Boxes that hold the same rank would return to an endpoint at the same time.
func TestBoxesOfAFleetHaveRanksOfTheirOwn(t *testing.T) {
	const boxes = 12
	m := newMesh(1, boxes, 3, 3)
	m.run(t, 5*time.Second)
	taken := map[int]bool{}
	for _, box := range m.boxes {
		rank, known := box.peers.rank()
		assert.Equal(t, boxes, known)
		taken[rank] = true
	}
	assert.Len(t, taken, boxes)
}
