package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

var endpoint = willowwick.Endpoint{ID: "e1"}

func named(rate willowwick.PerSecond) willowwick.RateLimit {
	return willowwick.RateLimit{Rate: rate, Named: true}
}

// An answer that was under way when an endpoint named its limit says nothing of it; that is no end of the limit.
func TestOnlyAnswersToLaterRequestsEndALimit(t *testing.T) {
	l := NewLedger()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	assert.True(t, l.Heard(at(100), at(50), endpoint, named(2)))
	assert.False(t, l.Heard(at(110), at(60), endpoint, named(2)), "it is known")
	assert.False(t, l.Heard(at(200), at(90), endpoint, willowwick.RateLimit{}), "its request was sent before")
	assert.True(t, l.Count() == 1)
	assert.True(t, l.Heard(at(210), at(120), endpoint, named(3)), "another rate")
	assert.False(t, l.Heard(at(220), at(215), endpoint, willowwick.RateLimit{Unreadable: "x"}), "neither a limit nor its end")
	assert.True(t, l.Count() == 1)
	assert.True(t, l.Heard(at(300), at(250), endpoint, willowwick.RateLimit{}))
	assert.False(t, l.Count() == 1)
	assert.Zero(t, l.Count())
}
