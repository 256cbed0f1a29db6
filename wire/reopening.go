package wire

import (
	"slices"
	"time"
)

const (
	// minFollowers is the number of connections after the first one by which the usual time between two is known.
	minFollowers = 3
	// judgedReopenings is how many are judged together: the quickest counts, since a queue that lasts holds up all of them.
	judgedReopenings = 3
	// floodBetween is the time between two connections below which callers are taken to try all the time.
	floodBetween = 25 * time.Millisecond
)

// reopening measures how long a connection takes to open: the time from the moment at which this box listens again until the first
// connection is there, less the usual time between two. While a flood lasts, its callers try all the time.
type reopening struct {
	listensAt time.Time // zero if no connection is awaited
	firstAt   time.Time // when the first one was there
	took      time.Duration
	followers int
	between   time.Duration   // two connections, the last time; 0 if unknown
	least     time.Duration   // without waiting in the link
	isDrained bool            // nothing waits in the link as this one begins
	waits     []time.Duration // of the latest, the oldest first
}

// begin records that the box listens again.
func (r *reopening) begin(now time.Time) {
	r.listensAt, r.followers = now, 0
}

// opened records a connection, and returns for how long it had to wait in the link; 0 if that isn't known (yet).
func (r *reopening) opened(now time.Time) time.Duration {
	switch {
	case r.listensAt.IsZero():
		return 0
	case r.followers == 0:
		r.firstAt, r.took = now, now.Sub(r.listensAt)
	}
	if r.followers++; r.followers <= minFollowers {
		return 0
	}
	r.between = now.Sub(r.firstAt) / minFollowers
	r.listensAt = time.Time{}
	return r.waited(max(r.took-minFollowers*r.between, 0))
}

// waited returns by how much the quickest of the latest openings took longer than one that doesn't wait.
func (r *reopening) waited(took time.Duration) time.Duration {
	if r.isDrained || took < r.least {
		r.least, r.isDrained = took, false
	}
	if r.waits = append(r.waits, took-r.least); len(r.waits) < judgedReopenings {
		return 0
	}
	quickest := slices.Min(r.waits)
	r.waits = r.waits[1:]
	return quickest
}

// limit returns how long the first connection is awaited before others must be waiting in the link; 0 if it is there, or none may come.
func (r *reopening) limit(now time.Time) time.Duration {
	isExpected := r.between > 0 && r.between < floodBetween && !r.isDrained
	if r.listensAt.IsZero() || r.followers > 0 || !isExpected {
		return 0
	}
	return max(r.listensAt.Add(r.least+waitLimit).Sub(now), waitingLimit)
}

// drained records that nothing will wait in the link when the box listens again.
func (r *reopening) drained() {
	r.isDrained, r.waits = true, nil
}
