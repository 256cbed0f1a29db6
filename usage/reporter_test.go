package usage

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

var errDown = errors.New("down")

// testHolder is a box that holds the lease: it does what its reporter decides.
type testHolder struct {
	*testBox
	*Reporter
	fleet    *testFleet
	stored   []willowwick.UsageReport
	sent     []willowwick.UsageReport
	skipped  []Coverage
	storeErr error
	sendErr  error
}

func newTestHolder(f *testFleet, b *testBox) *testHolder {
	return &testHolder{testBox: b, Reporter: NewReporter(testSettings, b.Ledger), fleet: f}
}

// step does what is due, once, and returns its kind.
func (h *testHolder) step() StepKind {
	step, isDue := h.Next(h.stored, len(h.fleet.boxes), h.fleet.now)
	if !isDue {
		return 0
	}
	switch step.Kind {
	case WriteReport:
		if h.storeErr == nil {
			h.stored = append(h.stored, step.Report)
		}
		h.NoteStored(step.Report.Window, h.storeErr, h.fleet.now)
	case SendReport:
		if h.sendErr == nil {
			h.sent = append(h.sent, step.Report)
		}
		h.NoteSent(step.Report.Window, h.sendErr, h.fleet.now)
	case SkipWindow:
		h.skipped = append(h.skipped, step.Coverage)
	}
	return step.Kind
}

// work does what is due.
func (h *testHolder) work() {
	kind := h.step()
	for kind != 0 {
		kind = h.step()
	}
}

// runUntil gossips and reports until the given time after the end of the window.
func (h *testHolder) runUntil(sinceEnd time.Duration) {
	for at := testSettings.End(h.fleet.window).Add(sinceEnd); h.fleet.now.Before(at); {
		h.fleet.runFor(round)
		h.work()
	}
}

// countOf returns the count of account "a" in the sent report of the window, and whether one was sent.
func (h *testHolder) countOf(window willowwick.UsageWindow) (count int, sent bool) {
	for _, report := range h.sent {
		if report.Window == window {
			return report.Counts["a"], true
		}
	}
	return 0, false
}

func (h *testHolder) requireSent(t *testing.T, requests int) {
	count, sent := h.countOf(h.fleet.window)
	require.True(t, sent)
	require.Equal(t, requests, count)
}

func TestACompleteWindowIsReportedSoonAndOnce(t *testing.T) {
	f := newTestFleet(6, 2)
	h := newTestHolder(f, f.boxes[0])
	f.count(f.boxes[5], 5)
	h.runUntil(2 * time.Second)
	h.requireSent(t, 5)
	sent := len(h.sent)
	h.runUntil(4 * time.Second)
	assert.Len(t, h.sent, sent)
	assert.Empty(t, h.fleet.boxes[0].Counts(f.window-100))
}

func TestNothingIsSentThatIsNotStored(t *testing.T) {
	f := newTestFleet(6, 2)
	h := newTestHolder(f, f.boxes[0])
	f.count(f.boxes[5], 5)
	h.storeErr = errDown
	h.runUntil(testSettings.Due + 2*time.Second)
	assert.Empty(t, h.sent)
	h.storeErr = nil
	h.runUntil(testSettings.Due + 6*time.Second)
	h.requireSent(t, 5)
}

// A write without an answer may have stored the report, so no other one is offered for the window.
func TestTheSameReportIsStoredAgainAfterAWriteWithoutAnswer(t *testing.T) {
	f := newTestFleet(6, 2)
	h := newTestHolder(f, f.boxes[0])
	f.count(f.boxes[5], 5)
	h.runUntil(-time.Second)
	h.storeErr = errDown
	h.runUntil(2 * time.Second)
	f.boxes[5].Count("a", testSettings.End(f.window).Add(-time.Second))
	f.runFor(2 * round)
	h.storeErr = nil
	h.runUntil(6 * time.Second)
	h.requireSent(t, 5)
}

func TestAnotherHoldersStoredReportIsSent(t *testing.T) {
	f := newTestFleet(6, 2)
	first, second := newTestHolder(f, f.boxes[0]), newTestHolder(f, f.boxes[1])
	f.count(f.boxes[5], 5)
	first.sendErr = errDown
	first.runUntil(2 * time.Second)
	second.stored = []willowwick.UsageReport{{Window: f.window, Counts: map[willowwick.AccountID]int{"a": 4}}}
	second.runUntil(3 * time.Second)
	second.requireSent(t, 4)
}

// After the end of the holder before it stored anything, the next one stores its own counts.
func TestTheNextHolderReportsWhatItKnows(t *testing.T) {
	f := newTestFleet(30, 3)
	f.count(f.boxes[5], 5)
	f.runFor(2 * round)
	f.boxes[0].down = true
	h := newTestHolder(f, f.boxes[1])
	h.runUntil(testSettings.Due)
	h.requireSent(t, 5)
}

func TestAReportThatThePlatformHasIsNotSentByTheNextHolder(t *testing.T) {
	f := newTestFleet(6, 2)
	first, second := newTestHolder(f, f.boxes[0]), newTestHolder(f, f.boxes[1])
	first.runUntil(2 * time.Second)
	f.runFor(2 * round)
	second.stored = first.stored
	assert.Zero(t, second.step())
}

func TestAnAPIThatIsDownDelaysOnlyTheSends(t *testing.T) {
	f := newTestFleet(6, 2)
	h := newTestHolder(f, f.boxes[0])
	h.runUntil(-time.Second)
	h.sent, h.stored, h.sendErr = nil, nil, errDown
	h.runUntil(testSettings.Window + 2*time.Second)
	assert.Len(t, h.stored, 2, "of this window and the next")
	h.sendErr = nil
	h.runUntil(testSettings.Due - time.Second)
	assert.Len(t, h.sent, 2)
}

// An API that answers again shortly before a report is due gets it in time.
func TestASendIsTriedAgainSoonAfterManyFailures(t *testing.T) {
	f := newTestFleet(6, 2)
	h := newTestHolder(f, f.boxes[0])
	h.runUntil(-time.Second)
	h.sendErr = errDown
	h.runUntil(testSettings.Due - time.Second)
	h.sendErr = nil
	f.now = f.now.Add(retryPause)
	h.work()
	_, sent := h.countOf(f.window)
	assert.True(t, sent)
}

// While a box is missing, the report waits; then it is sent if the box can't have counted much.
func TestAMissingBoxIsWaitedForUntilShortlyBeforeTheReportIsDue(t *testing.T) {
	const few, many = 6, 30
	for _, boxes := range []int{few, many} {
		f := newTestFleet(boxes, 2)
		h := newTestHolder(f, f.boxes[0])
		f.boxes[5].down = true
		h.runUntil(testSettings.Due / 2)
		_, sent := h.countOf(f.window)
		assert.False(t, sent)
		h.runUntil(testSettings.Due)
		_, sent = h.countOf(f.window)
		assert.Equal(t, boxes == many, sent)
		assert.Equal(t, boxes == few, len(h.skipped) > 0 && len(h.skipped[len(h.skipped)-1].Missing) == 1)
	}
}

// A store that was restored from a copy may lack reports that were sent.
func TestAWindowKnownToBeStoredIsNotReportedAnew(t *testing.T) {
	f := newTestFleet(6, 2)
	first, second := newTestHolder(f, f.boxes[0]), newTestHolder(f, f.boxes[1])
	first.runUntil(2 * time.Second)
	f.runFor(2 * round)
	second.runUntil(4 * time.Second)
	assert.Empty(t, second.stored)
}

// The holder ended right after it had sent a report that a copy of the store lacks; nobody else knows of it.
func TestAfterARestoreNoEndedWindowIsReportedAnew(t *testing.T) {
	f := newTestFleet(6, 2)
	f.runTo(testSettings.End(f.window).Add(3 * round))
	for _, b := range f.boxes {
		b.NoteRestored(f.now)
	}
	h := newTestHolder(f, f.boxes[1])
	h.runUntil(testSettings.Window + 3*time.Second)
	_, sent := h.countOf(f.window)
	assert.False(t, sent)
	_, sent = h.countOf(f.window + 1)
	assert.False(t, sent, "it may have ended when the restore was noticed")
	h.runUntil(2*testSettings.Window + 3*time.Second)
	_, sent = h.countOf(f.window + 2)
	assert.True(t, sent)
}

// Guards against a holder that has just started and takes the boxes that it has met for the whole fleet.
func TestABoxThatTheHolderHasNotMetIsNotLeftOut(t *testing.T) {
	f := newTestFleet(3, 1)
	first := newTestHolder(f, f.boxes[0])
	first.runUntil(2 * time.Second)
	first.requireSent(t, 0)
	unmet := f.boxes[2]
	unmet.cut = true
	f.start(f.boxes[0])
	h := newTestHolder(f, f.boxes[0])
	h.stored = first.stored
	met := *f
	met.boxes = f.boxes[:2]
	h.fleet = &met
	met.window = testSettings.WindowAt(f.now) + 1
	for met.now.Before(testSettings.End(met.window).Add(testSettings.Due)) {
		for _, b := range f.boxes {
			b.Count("a", met.now)
		}
		met.gossip(t)
		h.work()
	}
	_, sent := h.countOf(met.window)
	assert.False(t, sent, "its counts are not known")
	for met.now.Before(testSettings.End(f.window).Add(silentTime + 4*testSettings.Window)) {
		met.gossip(t)
		h.work()
	}
	_, sent = h.countOf(testSettings.WindowAt(met.now) - 2)
	assert.True(t, sent, "a box that is gone does not stop the reports")
}

// Guards against a new hub that takes a box for gone because its former start stopped as planned, though its present one
// told the hub before.
func TestABoxThatStartedAgainUnderTheFormerHubIsNotLeftOut(t *testing.T) {
	f := newTestFleet(3, 1)
	former, next, again := f.boxes[0], f.boxes[1], f.boxes[2]
	f.boxes = []*testBox{next, former, again}
	again.EndOwn()
	f.runFor(2 * round)
	f.boxes = []*testBox{former, next, again}
	f.start(again)
	f.runFor(2 * round)
	f.window = testSettings.WindowAt(f.now) + 1
	for f.now.Before(testSettings.End(f.window).Add(round)) {
		for _, b := range f.boxes {
			f.count(b, 1)
		}
		f.gossip(t)
	}
	former.EndOwn()
	f.runFor(round)
	former.down, again.cut = true, true // the next hub is told at its second round
	h := newTestHolder(f, next)
	h.stored = []willowwick.UsageReport{{Window: f.window - 1, Boxes: []willowwick.BoxID{former.name, next.name, again.name}}}
	h.runUntil(f.now.Add(round).Sub(testSettings.End(f.window)))
	_, sent := h.countOf(f.window)
	assert.False(t, sent, "the counts of a box that serves are not known")
	again.cut = false
	h.runUntil(testSettings.Due)
	h.requireSent(t, f.truth[f.window])
}

// Guards against a holder that started after the window and takes the boxes that it has met for those that served in it.
func TestAWindowBeforeTheHoldersStartIsNotReportedWithoutAList(t *testing.T) {
	f := newTestFleet(3, 1)
	f.runTo(testSettings.Begin(f.window))
	for _, b := range f.boxes {
		f.count(b, 20)
	}
	f.runTo(testSettings.End(f.window).Add(round))
	f.boxes[2].cut = true
	f.start(f.boxes[0])
	met := *f
	met.boxes = f.boxes[:2]
	h := newTestHolder(&met, f.boxes[0])
	h.runUntil(testSettings.Due + testSettings.Window)
	_, sent := h.countOf(f.window)
	assert.False(t, sent)
}

// isReportedWithoutCutOffBox lets a box be cut off for a time before a window and in it, while it serves on and counts 20 of
// 60 requests, and reports whether the window is reported; then is called at its end.
func isReportedWithoutCutOffBox(before time.Duration, then func(f *testFleet, cut *testBox)) bool {
	f := newTestFleet(3, 1)
	h := newTestHolder(f, f.boxes[0])
	f.window += willowwick.UsageWindow(before/testSettings.Window) + 2 // boxes have told of a window before the cut
	h.runUntil(-testSettings.Window - before)
	cut := f.boxes[2]
	cut.cut = true
	h.runUntil(-testSettings.Window)
	for _, b := range f.boxes {
		f.count(b, 20)
	}
	h.runUntil(round)
	then(f, cut)
	h.runUntil(testSettings.Due)
	_, sent := h.countOf(f.window)
	return sent
}

// Guards against a report without the counts of a box that was cut off from its hub, served on and was killed.
func TestAWindowOfABoxThatWasCutOffAndKilledIsNotReported(t *testing.T) {
	assert.False(t, isReportedWithoutCutOffBox(2*time.Second, func(f *testFleet, cut *testBox) {
		cut.cut = false
		f.start(cut)
	}))
}

// Guards against a report without the counts of a box that has been cut off for long and serves on.
func TestAWindowOfABoxThatIsCutOffForLongIsNotReported(t *testing.T) {
	assert.False(t, isReportedWithoutCutOffBox(silentTime+time.Second, func(*testFleet, *testBox) {}))
}
