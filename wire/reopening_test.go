package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick/clock"
)

// open lets connections come one after the other after a wait, and returns what the last one tells, and when it came.
func (r *reopening) open(now time.Time, wait, between time.Duration) (time.Duration, time.Time) {
	r.begin(now)
	now = now.Add(wait)
	waited := r.opened(now)
	for range minFollowers {
		now = now.Add(between)
		waited = r.opened(now)
	}
	return waited, now
}

// Guards against a box that refuses connections for so short a time that all that it let in before waits in its link.
func TestReopeningTellsThatOpeningsWait(t *testing.T) {
	var r reopening
	now := clock.Now()
	for i := range 6 {
		wait := 4 * time.Millisecond
		if i >= 3 {
			wait = 300 * time.Millisecond
		}
		var waited time.Duration
		if waited, now = r.open(now, wait, 2*time.Millisecond); i == 5 {
			assert.Greater(t, waited, waitLimit)
		} else {
			assert.Less(t, waited, waitLimit)
		}
	}
}

// Guards against callers that come seldom, or from far away, being taken for ones that wait.
func TestReopeningAllowsForFewAndFarCallers(t *testing.T) {
	var r reopening
	now := clock.Now()
	for range 10 {
		var waited time.Duration
		waited, now = r.open(now, 300*time.Millisecond, 120*time.Millisecond)
		assert.Less(t, waited, waitLimit)
		assert.Zero(t, r.limit(now))
	}
	r = reopening{}
	r.drained()
	for range 10 {
		var waited time.Duration
		waited, now = r.open(now, 300*time.Millisecond, 2*time.Millisecond)
		assert.Less(t, waited, waitLimit)
	}
	r.begin(now)
	assert.Equal(t, r.least+waitLimit, r.limit(now))
}

// Guards against a box that waits long for the first connection, in which all openings are let in, though callers try all the time;
// and against one that refuses callers again and again though none may come any more.
func TestReopeningExpectsAConnectionDuringAFlood(t *testing.T) {
	var r reopening
	_, now := r.open(clock.Now(), 2*time.Millisecond, 2*time.Millisecond)
	r.begin(now)
	assert.Positive(t, r.limit(now))
	r.drained()
	r.begin(now)
	assert.Zero(t, r.limit(now))
}
