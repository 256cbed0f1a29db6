package route

import "time"

const (
	// latenessQuantile is the share of answers that begin within the lateness.
	latenessQuantile = 0.98
	// latenessStep is the share by which a later answer raises the lateness; other answers lower it by less, in
	// proportion to their larger number.
	latenessStep = 0.25
	// initialLateness is the lateness before any answer was seen: how much a loaded runner's first event varies.
	initialLateness = 500 * time.Millisecond
	// maxLateness bounds the lateness: dead endpoints raise it, and must be given up on nevertheless.
	maxLateness = 3 * time.Second
	// minLateness is the least lateness: one scheduler time slice on a box that has a fraction of a core.
	minLateness = 20 * time.Millisecond
)

// Lateness estimates how much later than forecast answers begin, for all but 2 in 100; its zero value has seen none.
type Lateness struct {
	estimate time.Duration // 0 before the first answer
}

// Learn records by how much an answer began later than forecast; negative if it began earlier.
func (l *Lateness) Learn(late time.Duration) {
	known := l.Value()
	if late > known {
		l.estimate = min(known+time.Duration(latenessStep*float64(known)), maxLateness)
		return
	}
	down := latenessStep * (1 - latenessQuantile) / latenessQuantile
	l.estimate = max(known-time.Duration(down*float64(known)), minLateness)
}

// Value returns the lateness that an estimated one in fifty answers exceeds; initialLateness if none was seen.
func (l *Lateness) Value() time.Duration {
	if l == nil || l.estimate == 0 {
		return initialLateness
	}
	return l.estimate
}
