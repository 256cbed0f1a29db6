package usage

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const worldSlots = 4 // of the store's topic, by window

type (
	// world is a fleet with its store and the platform, where any box may believe that it holds the lease.
	world struct {
		*testFleet
		random    *rand.Rand
		holders   map[*testBox]*worldHolder
		store     worldStore
		copied    worldStore // a former state of the store
		storeDown bool
		apiDown   bool
		isCalm    bool     // no write or call fails
		late      []func() // writes and calls that may be executed later
		accepted  map[willowwick.UsageWindow]map[willowwick.AccountID]int
		conflicts int // reports of a window with other counts than the one before: must be none
	}

	worldStore struct {
		end    int // of the topic
		holder *testBox
		slots  map[willowwick.UsageWindow]willowwick.UsageReport
	}

	worldHolder struct {
		*Reporter
		holds bool
		end   int // of the topic as this box knows it
		known map[willowwick.UsageWindow]willowwick.UsageReport
	}
)

func newWorld(seed uint64) *world {
	w := &world{
		testFleet: newTestFleet(6, 2), random: rand.New(rand.NewPCG(seed, seed)), holders: map[*testBox]*worldHolder{},
		store: worldStore{slots: map[willowwick.UsageWindow]willowwick.UsageReport{}}, accepted: map[willowwick.UsageWindow]map[willowwick.AccountID]int{},
	}
	for _, b := range w.boxes {
		w.holders[b] = w.newHolder(b)
	}
	return w
}

func (w *world) newHolder(b *testBox) *worldHolder {
	return &worldHolder{Reporter: NewReporter(testSettings, b.Ledger), known: map[willowwick.UsageWindow]willowwick.UsageReport{}}
}

// read reads the topic on a box.
func (w *world) read(h *worldHolder) {
	h.end = w.store.end
	for _, report := range w.store.slots {
		if _, isKnown := h.known[report.Window]; !isKnown {
			h.known[report.Window] = report
		}
	}
}

// takeLease grants the lease to a box; former holders don't learn of it.
func (w *world) takeLease(b *testBox) {
	if h := w.holders[b]; !w.storeDown {
		w.read(h)
		w.store.end++
		w.store.holder = b
		h.end, h.holds = w.store.end, true
	}
}

// append executes a write unless the topic has grown.
func (w *world) append(report willowwick.UsageReport, end int) bool {
	if end != w.store.end {
		return false
	}
	w.store.end++
	w.store.slots[report.Window%worldSlots] = report
	return true
}

func (w *world) write(b *testBox, report willowwick.UsageReport) error {
	h, end := w.holders[b], w.holders[b].end
	if known, isKnown := h.known[report.Window]; isKnown && !maps.Equal(known.Counts, report.Counts) {
		return willowwick.ErrConflict
	}
	outcome := w.random.IntN(4)
	if w.isCalm {
		outcome = 2
	}
	if w.storeDown || outcome == 0 {
		w.late = append(w.late, func() { w.append(report, end) })
		return errDown
	}
	isWritten := w.append(report, end)
	if outcome == 1 {
		return errDown // without an answer
	}
	if !isWritten {
		if w.read(h); w.store.holder != b {
			h.holds = false
			return willowwick.ErrNotHolder
		}
		return willowwick.ErrConflict
	}
	h.end, h.known[report.Window] = w.store.end, report
	return nil
}

// accept executes a call.
func (w *world) accept(report willowwick.UsageReport) {
	before, isRepeat := w.accepted[report.Window]
	if isRepeat && !maps.Equal(before, report.Counts) {
		w.conflicts++
	}
	w.accepted[report.Window] = report.Counts
}

func (w *world) send(report willowwick.UsageReport) error {
	if w.apiDown || !w.isCalm && w.random.IntN(4) == 0 {
		w.late = append(w.late, func() { w.accept(report) })
		return errDown
	}
	w.accept(report)
	return nil
}

// work does what is due on a box that believes that it holds the lease.
func (w *world) work(b *testBox) {
	h := w.holders[b]
	for range 3 {
		step, isDue := h.Next(h.stored(), len(w.boxes), w.timeOf(b))
		if !h.holds || !isDue {
			return
		}
		switch step.Kind {
		case WriteReport:
			h.NoteStored(step.Report.Window, w.write(b, step.Report), w.timeOf(b))
		case SendReport:
			h.NoteSent(step.Report.Window, w.send(step.Report), w.timeOf(b))
		}
	}
}

func (h *worldHolder) stored() (list []willowwick.UsageReport) {
	for _, report := range h.known {
		list = append(list, report)
	}
	return list
}

// restart ends a box and starts it again.
func (w *world) restart(b *testBox) {
	w.start(b)
	w.holders[b] = w.newHolder(b)
}

// restore brings the store back from a copy, which all boxes learn before they read the topic again.
func (w *world) restore() {
	end := w.store.end
	w.store = worldStore{end: end + 1000, holder: w.copied.holder, slots: maps.Clone(w.copied.slots)}
	for _, b := range w.boxes {
		b.NoteRestored(w.timeOf(b))
	}
}

// disturb makes a random change.
func (w *world) disturb() {
	b := w.boxes[w.random.IntN(len(w.boxes))]
	switch w.random.IntN(12) {
	case 0, 1:
		w.takeLease(b)
	case 2:
		w.restart(b)
	case 3:
		b.down = true
	case 4:
		b.cut = !b.cut
	case 5:
		w.storeDown = !w.storeDown
	case 6:
		w.apiDown = !w.apiDown
	case 7:
		for _, late := range w.late {
			late()
		}
		w.late = nil
	case 8:
		w.copied = worldStore{holder: w.store.holder, slots: maps.Clone(w.store.slots)}
	case 9:
		if w.random.IntN(5) == 0 && w.copied.slots != nil {
			w.restore()
		}
	case 10:
		if w.random.IntN(10) == 0 {
			for _, b := range w.boxes {
				w.restart(b)
			}
		}
	default:
		b.skew = time.Duration(w.random.IntN(100)-50) * time.Millisecond
	}
}

// calm ends all trouble.
func (w *world) calm() {
	w.storeDown, w.apiDown, w.isCalm = false, false, true
	for _, b := range w.boxes {
		b.cut, b.skew = false, 0
		if b.down {
			w.restart(b)
		}
	}
}

func (w *world) round(t *testing.T) {
	for _, b := range w.boxes {
		if !b.down {
			w.count(b, w.random.IntN(4))
		}
	}
	w.gossip(t)
	for _, b := range w.boxes {
		if !b.down {
			w.work(b)
		}
	}
}

// Whatever happens, the platform never gets two reports of a window with different counts; and once it is calm, each
// window is reported with the counts of all boxes.
func TestNoWindowHasTwoReports(t *testing.T) {
	const seeds, trouble, calm = 120, 200, 120
	for seed := range uint64(seeds) {
		w := newWorld(seed)
		w.takeLease(w.boxes[0])
		for range trouble {
			w.round(t)
			if w.random.IntN(3) == 0 {
				w.disturb()
			}
		}
		w.calm()
		w.takeLease(w.boxes[0])
		first := testSettings.WindowAt(w.now) + 1
		for range calm {
			w.round(t)
		}
		require.Zero(t, w.conflicts, "seed %d", seed)
		for window := first; w.now.After(testSettings.End(window).Add(testSettings.Due)); window++ {
			assert.Equal(t, w.truth[window], w.accepted[window]["a"], "seed %d", seed)
		}
	}
}
