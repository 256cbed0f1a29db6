package wire

import "time"

const (
	// tripWindow is the time in which round trips are judged together, and minTrips the least number of them.
	tripWindow = 300 * time.Millisecond
	minTrips   = 4
	// maxTrips bounds how many are kept.
	maxTrips = 64
)

type (
	// Trip is a message of this box's that was answered at once: the opening of a connection, a call to another box.
	Trip struct {
		BeganAt, EndedAt time.Time
		IsAnswered       bool // false if it was given up after a timeout
	}

	// trips are the latest round trips of a box. The quickest tells how long all have to wait: others may be slow themselves.
	trips struct {
		latest []Trip // the oldest first
		least  time.Duration
	}
)

func (t Trip) took() time.Duration {
	return t.EndedAt.Sub(t.BeganAt)
}

// note records a round trip that has just ended.
func (t *trips) note(trip Trip) {
	if trip.IsAnswered && (t.least == 0 || trip.took() < t.least) {
		t.least = trip.took()
	}
	if len(t.latest) == maxTrips {
		t.latest = t.latest[:copy(t.latest, t.latest[1:])]
	}
	t.latest = append(t.latest, trip)
}

// delay returns how much longer than the least one even the quickest took of those that began after a time and ended lately. It is 0
// if that isn't known: too few ended, or none was answered, as if this box were cut off.
func (t *trips) delay(now, since time.Time) time.Duration {
	var (
		quickest   time.Duration
		isAnswered bool
		count      int
	)
	for _, trip := range t.latest {
		if !trip.BeganAt.After(since) || now.Sub(trip.EndedAt) > tripWindow {
			continue
		}
		if count++; count == 1 || trip.took() < quickest {
			quickest = trip.took()
		}
		isAnswered = isAnswered || trip.IsAnswered
	}
	if count < minTrips || !isAnswered {
		return 0
	}
	return quickest - t.least
}
