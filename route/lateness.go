package route

import "time"

const (
	// latenessQuantile is the part of the answers that come within the lateness.
	latenessQuantile = 0.98
	// latenessStep is the part by which an answer that comes later raises it; the others lower it by as much less as
	// they are more.
	latenessStep = 0.25
	// initialLateness is what it is taken for before answers were seen: what a loaded runner's first event varies by.
	initialLateness = 500 * time.Millisecond
	// maxLateness is the most that it rises to: dead endpoints make it rise, and are to be left all the same.
	maxLateness = 3 * time.Second
	// minLateness is the least that it falls to: a turn of the scheduler on a box with a part of a core.
	minLateness = 20 * time.Millisecond
)

// Lateness learns how much later than forecast all but a few answers come; its zero value has seen none.
type Lateness struct {
	estimate time.Duration // measured length; 0 before the first
}

// Learn takes how much later than forecast an answer came; negative if it came sooner.
func (l *Lateness) Learn(late time.Duration) {
	known := l.Value()
	if late > known {
		l.estimate = min(known+time.Duration(latenessStep*float64(known)), maxLateness)
		return
	}
	down := latenessStep * (1 - latenessQuantile) / latenessQuantile
	l.estimate = max(known-time.Duration(down*float64(known)), minLateness)
}

// Value is the lateness that one in fifty answers exceeds, as far as was seen.
func (l *Lateness) Value() time.Duration {
	if l == nil || l.estimate == 0 {
		return initialLateness
	}
	return l.estimate
}
