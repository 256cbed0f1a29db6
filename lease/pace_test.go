package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPaceStaysBelowTheLimit(t *testing.T) {
	p := NewPace(10, at(0))
	var taken []time.Time
	for ms := 0; ms < 20_000; ms += 5 {
		// Idle at first, so that a burst is saved up.
		if ms > 3000 && p.Take(at(ms)) == 0 {
			taken = append(taken, at(ms))
		}
	}
	for i, first := range taken {
		within := 0
		for _, other := range taken[i:] {
			if other.Sub(first) < time.Second {
				within++
			}
		}
		assert.LessOrEqual(t, within, 8)
	}
	assert.Greater(t, len(taken), 60)
	assert.Zero(t, NewPace(0, at(0)).Take(at(0)), "unlimited")
}

func TestPacePausesAfterFailures(t *testing.T) {
	p := NewPace(10, at(0))
	p.Ended(OutcomeUnknown, at(0))
	assert.False(t, p.IsPaused(at(1)), "one answer may be lost")
	p.Ended(OutcomeUnknown, at(10))
	assert.True(t, p.IsPaused(at(200)))
	for range 20 {
		p.Ended(OutcomeNotSent, at(1000))
	}
	assert.True(t, p.IsPaused(at(2900)))
	assert.False(t, p.IsPaused(at(3000)))
	p.Ended(OutcomeExecuted, at(3000))
	p.Ended(OutcomeUnknown, at(3000))
	assert.False(t, p.IsPaused(at(3001)))
	p.Ended(OutcomeRejected, at(4000))
	assert.True(t, p.IsPaused(at(4400)))
}
