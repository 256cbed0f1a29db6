package route

import "time"

const (
	// latenessShare is the part of the answers that come within the lateness.
	latenessShare = 0.98
	// latenessStep is the part by which an answer that comes later raises it; the others lower it by as much less as
	// they are more.
	latenessStep = 0.25
	// firstLateness is what it is taken for before answers were seen: what a loaded runner's first event varies by.
	firstLateness = 500 * time.Millisecond
	// mostLateness is the most that it rises to: dead endpoints make it rise, and are to be left all the same.
	mostLateness = 3 * time.Second
	// leastLateness is the least that it falls to: a turn of the scheduler on a box with a part of a core.
	leastLateness = 20 * time.Millisecond
)

// Lateness learns how much later than forecast all but a few answers come; its zero value has seen none.
type Lateness struct {
	beyond time.Duration // measured length; 0 before the first
}

// Learn takes how much later than forecast an answer came; negative if it came sooner.
func (l *Lateness) Learn(late time.Duration) {
	known := l.Value()
	if late > known {
		l.beyond = min(known+time.Duration(latenessStep*float64(known)), mostLateness)
		return
	}
	down := latenessStep * (1 - latenessShare) / latenessShare
	l.beyond = max(known-time.Duration(down*float64(known)), leastLateness)
}

// Value is the lateness that one in fifty answers exceeds, as far as was seen.
func (l *Lateness) Value() time.Duration {
	if l == nil || l.beyond == 0 {
		return firstLateness
	}
	return l.beyond
}
