package usage

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// waitShare is the share of the time until it is due for which a report waits for boxes that have not told; the rest
	// is left for retries of writes and sends.
	waitShare = 0.75
	// retryPause is the pause after a failed send or write.
	retryPause = 300 * time.Millisecond
)

// Kinds of steps.
const (
	// WriteReport stores a report.
	WriteReport StepKind = iota + 1
	// SendReport sends a stored report.
	SendReport
	// SkipWindow leaves a window without a report, since its counts are not known well enough.
	SkipWindow
)

type (
	// StepKind is the kind of a Step.
	StepKind int

	// Step is what the holder of the lease on the duties does next.
	Step struct {
		Kind     StepKind
		Report   willowwick.UsageReport
		Coverage Coverage // of the window; zero for a report that another holder wrote
		Sends    int      // number of sends of the report by this box so far
	}

	// Reporter decides what the holder of the lease does next. It is not safe for concurrent use.
	Reporter struct {
		settings Settings
		ledger   *Ledger
		skipped  willowwick.UsageWindow // newest window that this box left without a report
		// offered are the reports that this box tried to store: a write without an answer may have stored it.
		offered map[willowwick.UsageWindow]Step
		sends   map[willowwick.UsageWindow]int
		// writeAt and sendAt are when the next write and send may be tried after a failed one.
		writeAt time.Time
		sendAt  time.Time
	}
)

// NewReporter returns the Reporter of a box.
func NewReporter(settings Settings, ledger *Ledger) *Reporter {
	return &Reporter{
		settings: settings, ledger: ledger, offered: map[willowwick.UsageWindow]Step{}, sends: map[willowwick.UsageWindow]int{},
	}
}

// Next returns what the holder does now, and false if nothing; stored are the stored reports, fleet is the number of
// boxes that gossip knows.
//
// Reports are stored in the order of their windows, and none at or before the newest stored one: so a window gets no second
// report, although the store keeps only the last ones.
func (r *Reporter) Next(stored []willowwick.UsageReport, fleet int, now time.Time) (Step, bool) {
	for _, report := range stored {
		r.ledger.NoteWritten(report.Window)
	}
	r.forget(now)
	if report, found := r.firstUnsent(stored, now); found && !now.Before(r.sendAt) {
		return Step{SendReport, report, r.offered[report.Window].Coverage, r.sends[report.Window]}, true
	}
	written, _ := r.ledger.reported()
	window := max(written, r.skipped, r.settings.oldest(now)) + 1
	if now.Before(r.writeAt) || now.Before(r.settings.End(window).Add(settleTime)) {
		return Step{}, false
	}
	if offered, isOffered := r.offered[window]; isOffered {
		return offered, true
	}
	return r.decide(window, Fleet{fleet, r.formerBoxes(stored, window)}, now)
}

// formerBoxes returns the boxes that have counted within silentTime before a window, according to the stored reports. A
// holder that has just started may not have heard of them, though they serve.
func (r *Reporter) formerBoxes(stored []willowwick.UsageReport, window willowwick.UsageWindow) []willowwick.BoxID {
	var boxes []willowwick.BoxID
	for _, report := range stored {
		if r.settings.Begin(window).Sub(r.settings.End(report.Window)) < silentTime {
			boxes = append(boxes, report.Boxes...)
		}
	}
	slices.Sort(boxes)
	return slices.Compact(boxes)
}

// decide returns whether a window is reported or skipped, and false as long as boxes may still tell. Which boxes served in
// the window is known if this box has collected since its beginning, or if stored reports name the boxes that counted
// shortly before.
func (r *Reporter) decide(window willowwick.UsageWindow, fleet Fleet, now time.Time) (Step, bool) {
	coverage := r.ledger.Coverage(window, fleet, now)
	isKnown := coverage.Lost <= r.settings.Tolerance && (coverage.IsWhole || len(fleet.Former) > 0)
	mayWait := coverage.IsNew || now.Before(r.settings.End(window).Add(time.Duration(waitShare*float64(r.settings.Due))))
	switch {
	case isKnown && (coverage.IsComplete() || !mayWait):
		report := willowwick.UsageReport{Window: window, Counts: r.ledger.Counts(window), Boxes: coverage.Serving}
		step := Step{Kind: WriteReport, Report: report, Coverage: coverage}
		r.offered[window] = step
		return step, true
	case mayWait:
		return Step{}, false
	default:
		r.skipped = window
		return Step{Kind: SkipWindow, Report: willowwick.UsageReport{Window: window}, Coverage: coverage}, true
	}
}

// firstUnsent returns the oldest stored report that the platform is not known to have.
func (r *Reporter) firstUnsent(stored []willowwick.UsageReport, now time.Time) (willowwick.UsageReport, bool) {
	_, acknowledged := r.ledger.reported()
	oldest := r.settings.oldest(now)
	first, found := willowwick.UsageReport{}, false
	for _, report := range stored {
		isUnsent := report.Window > acknowledged && report.Window > oldest
		if isUnsent && (!found || report.Window < first.Window) {
			first, found = report, true
		}
	}
	return first, found
}

// NoteStored records the outcome of storing a report.
func (r *Reporter) NoteStored(window willowwick.UsageWindow, err error, now time.Time) {
	if err == nil {
		r.ledger.NoteWritten(window)
		return
	}
	r.writeAt = now.Add(retryPause)
	if errors.Is(err, willowwick.ErrNotHolder) {
		delete(r.offered, window) // nothing was written
	}
}

// NoteSent records the outcome of sending a report.
func (r *Reporter) NoteSent(window willowwick.UsageWindow, err error, now time.Time) {
	if !errors.Is(err, willowwick.ErrThrottled) && !errors.Is(err, willowwick.ErrNotHolder) {
		r.sends[window]++
	}
	if err == nil {
		r.ledger.NoteAcknowledged(window)
		return
	}
	r.sendAt = now.Add(retryPause)
}

// forget drops what is kept of windows that are not reported any more.
func (r *Reporter) forget(now time.Time) {
	oldest := r.settings.oldest(now)
	for window := range r.offered {
		if window <= oldest {
			delete(r.offered, window)
		}
	}
	for window := range r.sends {
		if window <= oldest {
			delete(r.sends, window)
		}
	}
}
