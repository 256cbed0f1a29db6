package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const round = 500 * time.Millisecond // between two gossip exchanges

var testSettings = Settings{Window: 5 * time.Second, Due: 10 * time.Second, Tolerance: 0.05}

type (
	// testFleet is a fleet whose hubs tell each other by function calls, and the time.
	testFleet struct {
		now     time.Time
		regions map[willowwick.HallID]willowwick.RegionID // of the halls; nil if there are no regions
		begin   time.Time                                 // of the window in which the test counts
		window  willowwick.UsageWindow
		boxes   []*testBox
		starts  int
		truth   map[willowwick.UsageWindow]int // requests of the account "a"
	}

	testBox struct {
		*Ledger
		name    willowwick.BoxID
		hall    willowwick.HallID
		address string
		down    bool // not running
		cut     bool // not reached by others
		skew    time.Duration
	}
)

// newTestFleet starts boxes in halls, two windows before the one in which the test counts.
func newTestFleet(boxes, halls int) *testFleet {
	f := &testFleet{begin: time.Unix(1_700_000_000, 0), truth: map[willowwick.UsageWindow]int{}}
	f.window = testSettings.WindowAt(f.begin)
	f.now = f.begin.Add(-2 * testSettings.Window)
	for i := range boxes {
		f.boxes = append(f.boxes, &testBox{
			name: willowwick.BoxID(fmt.Sprint("box-", i)), hall: willowwick.HallID(fmt.Sprint("hall-", i%halls)), address: fmt.Sprint("10.0.0.", i),
		})
		f.start(f.boxes[i])
	}
	f.runTo(f.begin)
	return f
}

// start begins an incarnation of a box.
func (f *testFleet) start(b *testBox) {
	f.starts++
	b.down = false
	b.Ledger = NewLedger(testSettings, Start{b.name, willowwick.BootID(fmt.Sprint("boot-", f.starts)), b.address}, willowwick.Topology{Hall: b.hall, Regions: f.regions}, f.timeOf(b))
}

func (f *testFleet) timeOf(b *testBox) time.Time {
	return f.now.Add(b.skew)
}

// count lets an endpoint run requests for the account "a".
func (f *testFleet) count(b *testBox, requests int) {
	for range requests {
		b.Count("a", f.timeOf(b))
		f.truth[testSettings.WindowAt(f.now)]++
	}
}

// hubOf returns the first live box of a hall that the given one reaches.
func (f *testFleet) hubOf(hall willowwick.HallID, from *testBox) *testBox {
	for _, b := range f.boxes {
		if b == from || !b.down && !b.cut && !from.cut {
			if b.hall == hall {
				return b
			}
		}
	}
	return nil
}

// gossip is one round of all boxes.
func (f *testFleet) gossip(t *testing.T) {
	f.now = f.now.Add(round)
	for _, b := range f.boxes {
		if b.down {
			continue
		}
		hub := f.hubOf(b.hall, b)
		b.SetHub(hub == b, f.timeOf(b))
		b.Forget(f.timeOf(b))
		f.callSilentBoxes(b, hub)
		if hub != b {
			f.exchange(t, b, hub)
			continue
		}
		for _, other := range f.boxes {
			if other != b && other.hall != b.hall && !other.down && f.hubOf(other.hall, b) == other {
				f.exchange(t, b, other)
			}
		}
	}
}

// callSilentBoxes lets a hub call the boxes of its hall that are down: nothing listens there, while a call of a box that
// is cut off gets no answer.
func (f *testFleet) callSilentBoxes(from, hub *testBox) {
	for _, other := range f.boxes {
		if other.down && other.hall == from.hall && from == hub && !from.cut {
			from.NoteRefused(other.address, f.timeOf(from))
		}
	}
}

func (f *testFleet) exchange(t *testing.T, from, to *testBox) {
	if t == nil {
		t = &testing.T{}
	}
	require.NoError(t, to.Receive(from.address, from.hall, from.Message(to.address, f.timeOf(from))))
	require.NoError(t, from.Receive(to.address, to.hall, to.Message(from.address, f.timeOf(to))))
}

// runTo gossips until a time.
func (f *testFleet) runTo(at time.Time) {
	for f.now.Before(at) {
		f.gossip(nil)
	}
}

// runFor gossips for a duration.
func (f *testFleet) runFor(duration time.Duration) {
	f.runTo(f.now.Add(duration))
}

// coverage returns what a box knows of the window.
func (f *testFleet) coverage(b *testBox) Coverage {
	return b.Coverage(f.window, Fleet{Size: len(f.boxes)}, f.timeOf(b))
}

// requireCounts checks the count of a box for the window, and that it knows nothing more to come.
func (f *testFleet) requireCounts(t *testing.T, b *testBox, requests int) {
	coverage := f.coverage(b)
	require.True(t, coverage.IsComplete(), "%+v", coverage)
	require.Equal(t, requests, b.Counts(f.window)["a"])
}

func TestHubsKnowTheCountsOfAllBoxes(t *testing.T) {
	f := newTestFleet(9, 3)
	for range 8 {
		for _, b := range f.boxes {
			f.count(b, 1)
		}
		f.runFor(round)
	}
	assert.False(t, f.coverage(f.boxes[0]).IsComplete(), "before the window ends")
	f.runTo(testSettings.End(f.window).Add(3 * round))
	for _, hub := range f.boxes[:3] {
		f.requireCounts(t, hub, 9*8)
		assert.Zero(t, f.coverage(hub).Lost)
	}
	assert.InDelta(t, 1, f.coverage(f.boxes[8]).Lost, 0, "a box that is no hub knows nothing of the others")
}

// What a box has told survives its end, at most two gossip rounds of it are lost.
func TestCountsOfAKilledBoxSurvive(t *testing.T) {
	f := newTestFleet(9, 3)
	f.count(f.boxes[5], 7)
	f.runFor(2 * round)
	f.count(f.boxes[5], 1)
	f.boxes[5].down = true
	f.runFor(2 * time.Second)
	f.start(f.boxes[5])
	f.count(f.boxes[5], 4)
	f.runTo(testSettings.End(f.window).Add(3 * round))
	f.requireCounts(t, f.boxes[0], 11)
	lost := f.coverage(f.boxes[0]).Lost
	assert.InDelta(t, restartLoss.Seconds()/testSettings.Window.Seconds()/9, lost, 1e-9)
}

// A box that is started again after the window has ended can't tell of the window any more.
func TestABoxStartedAgainAfterTheWindowIsNotMissing(t *testing.T) {
	f := newTestFleet(9, 3)
	f.runTo(testSettings.End(f.window).Add(-time.Second))
	f.boxes[5].down = true
	f.runFor(3 * time.Second)
	f.start(f.boxes[5])
	f.runFor(3 * round)
	f.requireCounts(t, f.boxes[0], 0)
	lost := f.coverage(f.boxes[0]).Lost
	assert.InDelta(t, restartLoss.Seconds()/testSettings.Window.Seconds()/9, lost, 0.01)
}

// A start that nobody knows of any more may have counted in a window before the box was started again.
func TestTheWindowBeforeABoxWasStartedAgainIsLostIfNobodyKnows(t *testing.T) {
	f := newTestFleet(9, 3)
	f.runTo(testSettings.End(f.window).Add(-time.Second))
	for _, b := range f.boxes {
		if b != f.boxes[8] {
			b.down = true
		}
	}
	f.runFor(2 * time.Second)
	for _, b := range f.boxes {
		if b.down {
			f.start(b)
		}
	}
	f.runFor(4 * round)
	coverage := f.coverage(f.boxes[0])
	assert.Equal(t, 1, coverage.Boxes)
	assert.Equal(t, 8, coverage.Unknown)
	assert.Greater(t, coverage.Lost, 0.5)
}

func TestABoxThatDoesNotComeBackIsMissing(t *testing.T) {
	f := newTestFleet(9, 3)
	f.count(f.boxes[5], 7)
	f.runFor(2 * round)
	f.boxes[5].down = true
	f.runTo(testSettings.End(f.window).Add(3 * round))
	coverage := f.coverage(f.boxes[0])
	assert.Equal(t, []willowwick.BoxID{"box-5"}, coverage.Missing)
	assert.InDelta(t, 4.0/5/9, coverage.Lost, 0.02)
	assert.Equal(t, 7, f.boxes[0].Counts(f.window)["a"])
}

func TestABoxThatStopsAsPlannedIsNotMissing(t *testing.T) {
	f := newTestFleet(9, 3)
	f.count(f.boxes[5], 7)
	f.boxes[5].EndOwn()
	f.runFor(round)
	f.boxes[5].down = true
	f.runTo(testSettings.End(f.window).Add(3 * round))
	f.requireCounts(t, f.boxes[0], 7)
	assert.Zero(t, f.coverage(f.boxes[0]).Lost)
}

// Guards against a box that ends before another one knows what it counted last.
func TestABoxKnowsWhetherItsLastCountsAreConfirmed(t *testing.T) {
	f := newTestFleet(9, 3)
	f.count(f.boxes[5], 7)
	assert.False(t, f.boxes[5].IsEndTold(), "it still counts")
	f.boxes[5].EndOwn()
	f.boxes[5].cut = true
	f.runFor(round)
	assert.False(t, f.boxes[5].IsEndTold(), "nobody heard it")
	f.boxes[5].cut = false
	f.runFor(round)
	assert.True(t, f.boxes[5].IsEndTold())
}

// Guards against reports that lack the first requests of a box that was started again after a planned stop: its hub took it for one
// that has ended until it told of its counts.
func TestABoxStartedAgainAfterAPlannedStopIsWaitedFor(t *testing.T) {
	f := newTestFleet(9, 3)
	hub, restarted := f.boxes[2], f.boxes[5]
	restarted.EndOwn()
	f.runFor(round)
	f.start(restarted)
	require.NoError(t, hub.Receive(restarted.address, restarted.hall, restarted.Message(hub.address, f.now)))
	f.count(restarted, 7)
	f.now = testSettings.End(f.window).Add(round)
	assert.Contains(t, f.coverage(hub).Missing, willowwick.BoxID("box-5"))
	f.runFor(2 * round)
	f.requireCounts(t, hub, 7)
}

// A box that is cut off or suspended tells when it is back.
func TestABoxThatWasCutOffIsWaitedFor(t *testing.T) {
	f := newTestFleet(9, 3)
	f.boxes[5].cut = true
	f.count(f.boxes[5], 7)
	f.runTo(testSettings.End(f.window).Add(3 * round))
	assert.False(t, f.coverage(f.boxes[0]).IsComplete())
	f.boxes[5].cut = false
	f.runFor(3 * round)
	f.requireCounts(t, f.boxes[0], 7)
	assert.Zero(t, f.coverage(f.boxes[0]).Lost)
}

// A box that was cut off for so long that the hubs forgot it is told of anew.
func TestABoxThatIsBackAfterLongCountsAgain(t *testing.T) {
	f := newTestFleet(9, 3)
	f.boxes[5].cut = true
	f.runFor(testSettings.Due + outageTime + 3*testSettings.Window)
	f.boxes[5].cut = false
	f.runFor(3 * round)
	f.count(f.boxes[5], 4)
	f.window = testSettings.WindowAt(f.now)
	f.runFor(4 * round)
	for _, hub := range f.boxes[:3] {
		assert.Equal(t, 4, hub.Counts(f.window)["a"])
	}
}

// The boxes of a hall tell its next hub all that they counted, and the other hubs tell it what boxes that are gone did.
func TestCountsSurviveTheEndOfAHub(t *testing.T) {
	f := newTestFleet(9, 3)
	gone := f.boxes[3] // of the hall of box 0
	for _, b := range f.boxes {
		f.count(b, 2)
	}
	f.runFor(2 * round)
	gone.down, f.boxes[0].down = true, true
	f.runFor(2 * time.Second)
	f.start(f.boxes[0])
	f.start(gone)
	f.runTo(testSettings.End(f.window).Add(3 * round))
	for _, hub := range f.boxes[:3] {
		f.requireCounts(t, hub, 18)
		assert.LessOrEqual(t, f.coverage(hub).Lost, testSettings.Tolerance)
	}
}

// The only hub of a fleet has no other hub to tell what it counts.
func TestTheCountsOfAnOnlyHubThatWasStartedAgainAreKnown(t *testing.T) {
	f := newTestFleet(3, 1)
	first, second := f.boxes[0], f.boxes[1]
	f.boxes[0], f.boxes[1] = second, first
	f.runFor(3 * round) // the second is the hub, the first tells it
	f.boxes[0], f.boxes[1] = first, second
	f.window++
	f.runTo(testSettings.Begin(f.window))
	f.count(first, 7)
	f.runTo(testSettings.End(f.window).Add(round))
	f.boxes[0], f.boxes[1] = second, first
	f.start(first)
	f.runFor(4 * round)
	require.Equal(t, 7, second.Counts(f.window)["a"])
	require.LessOrEqual(t, f.coverage(second).Lost, testSettings.Tolerance)
}

// A box that was a hub before and becomes one again has missed what was told meanwhile.
func TestABoxThatIsAHubAgainIsToldEverything(t *testing.T) {
	f := newTestFleet(9, 3)
	first, again, gone := f.boxes[0], f.boxes[3], f.boxes[6] // of one hall
	first.down = true
	f.runFor(3 * round)
	first.down = false
	f.runFor(3 * round)
	f.count(gone, 4)
	f.runFor(2 * round)
	first.down, gone.down = true, true
	f.runFor(3 * round)
	assert.Equal(t, 4, again.Counts(f.window)["a"])
}

func TestCountsSurviveTheEndOfAllHubs(t *testing.T) {
	f := newTestFleet(30, 3)
	for _, b := range f.boxes {
		f.count(b, 2)
	}
	f.runFor(2 * round)
	for _, hub := range f.boxes[:3] {
		hub.down = true
	}
	f.runFor(2 * time.Second)
	for _, hub := range f.boxes[:3] {
		f.start(hub)
	}
	f.runTo(testSettings.End(f.window).Add(4 * round))
	coverage := f.coverage(f.boxes[0])
	assert.Equal(t, 2*27, f.boxes[0].Counts(f.window)["a"], "the hubs' own counts are lost")
	assert.Greater(t, coverage.Lost, 0.0)
}

// A fleet whose boxes were all started again knows nothing of the window in which that was.
func TestAfterTheEndOfAllBoxesTheWindowIsNotKnown(t *testing.T) {
	f := newTestFleet(9, 3)
	f.runFor(3 * time.Second)
	for _, b := range f.boxes {
		f.start(b)
	}
	f.runTo(testSettings.End(f.window).Add(4 * round))
	assert.Greater(t, f.coverage(f.boxes[0]).Lost, testSettings.Tolerance)
	f.window++
	f.runTo(testSettings.End(f.window).Add(4 * round))
	assert.Zero(t, f.coverage(f.boxes[0]).Lost, "of the next one all is known")
}

func TestANewBoxLosesNothing(t *testing.T) {
	f := newTestFleet(9, 3)
	f.runFor(3 * time.Second)
	b := &testBox{name: "new", hall: "hall-1", address: "10.0.1.1"}
	f.boxes = append(f.boxes, b)
	f.start(b)
	f.count(b, 3)
	f.runTo(testSettings.End(f.window).Add(4 * round))
	f.requireCounts(t, f.boxes[0], 3)
	assert.Zero(t, f.coverage(f.boxes[0]).Lost)
}

// A hub that was started again takes from the others that a box which is new to it is new to all.
func TestANewBoxLosesNothingThoughItsHubIsStartedAgain(t *testing.T) {
	f := newTestFleet(9, 3)
	f.runFor(time.Second)
	b := &testBox{name: "new", hall: "hall-1", address: "10.0.1.1"}
	f.boxes = append(f.boxes, b)
	f.start(b)
	f.runFor(time.Second)
	f.start(f.boxes[0])
	f.runTo(testSettings.End(f.window).Add(4 * round))
	assert.LessOrEqual(t, f.coverage(f.boxes[0]).Lost, 0.021, "only what the hub did not tell before its end")
}

// What a box confirmed to the former start of another one says nothing of the present one.
func TestABoxStartedAgainTellsAllItCounted(t *testing.T) {
	f := newTestFleet(2, 2)
	f.count(f.boxes[1], 20)
	f.runFor(2 * round)
	f.start(f.boxes[1])
	f.count(f.boxes[1], 3)
	f.boxes[1].SetHub(true, f.now)
	f.exchange(t, f.boxes[0], f.boxes[1])
	assert.Equal(t, 23, f.boxes[0].Counts(f.window)["a"])
}

// A box that gossip knows and that has told nothing may have counted.
func TestABoxThatToldNothingIsUnknown(t *testing.T) {
	f := newTestFleet(9, 3)
	f.runTo(testSettings.End(f.window).Add(4 * round))
	coverage := f.boxes[0].Coverage(f.window, Fleet{Size: 10}, f.now)
	assert.Equal(t, 1, coverage.Unknown)
	assert.InDelta(t, 0.1, coverage.Lost, 1e-9)
}

func TestClocksApartMoveFewCounts(t *testing.T) {
	f := newTestFleet(9, 3)
	for i, b := range f.boxes {
		b.skew = time.Duration(i-4) * 10 * time.Millisecond
	}
	for f.now.Before(testSettings.End(f.window)) {
		for _, b := range f.boxes {
			f.count(b, 10)
		}
		f.runFor(round)
	}
	f.runFor(4 * round)
	truth := f.truth[f.window]
	coverage := f.coverage(f.boxes[0])
	assert.True(t, coverage.IsComplete())
	assert.InDelta(t, truth, f.boxes[0].Counts(f.window)["a"], testSettings.Tolerance*float64(truth)*1.01)
}

func TestACalmMessageIsSmall(t *testing.T) {
	f := newTestFleet(9, 3)
	f.runFor(time.Second)
	assert.LessOrEqual(t, len(f.boxes[5].Message(f.boxes[2].address, f.now)), 60, "from a box to its hub")
	assert.LessOrEqual(t, len(f.boxes[2].Message(f.boxes[5].address, f.now)), 50, "from a hub to a box")
}

func TestWindowsAreForgotten(t *testing.T) {
	f := newTestFleet(3, 1)
	f.count(f.boxes[2], 3)
	f.runFor(testSettings.Window + testSettings.Due + outageTime + 2*testSettings.Window)
	f.boxes[0].Forget(f.now)
	assert.Empty(t, f.boxes[0].Counts(f.window))
}

func FuzzDecodeMessage(f *testing.F) {
	fleet := newTestFleet(4, 2)
	fleet.count(fleet.boxes[0], 3)
	f.Add(fleet.boxes[0].Message(fleet.boxes[1].address, fleet.now))
	f.Add([]byte{messageFormat, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeMessage(data, testSettings)
	})
}
