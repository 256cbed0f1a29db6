package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

var endpoint = willowwick.Endpoint{ID: "e1"}

func limitOf(rate willowwick.PerSecond) willowwick.RateLimit {
	return willowwick.RateLimit{Rate: rate, IsSet: true}
}

// An answer that was under way when an endpoint first reported its limit must not end the limit.
func TestOnlyAnswersToLaterRequestsEndLimit(t *testing.T) {
	l := NewLedger()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	assert.True(t, l.Observe(at(100), at(50), endpoint, limitOf(2)))
	assert.False(t, l.Observe(at(110), at(60), endpoint, limitOf(2)), "already known")
	assert.False(t, l.Observe(at(200), at(90), endpoint, willowwick.RateLimit{}), "its request was sent earlier")
	assert.True(t, l.Count() == 1)
	assert.True(t, l.Observe(at(210), at(120), endpoint, limitOf(3)), "another rate")
	assert.False(t, l.Observe(at(220), at(215), endpoint, willowwick.RateLimit{Unreadable: "x"}), "neither a limit nor its end")
	assert.True(t, l.Count() == 1)
	assert.True(t, l.Observe(at(300), at(250), endpoint, willowwick.RateLimit{}))
	assert.False(t, l.Count() == 1)
	assert.Zero(t, l.Count())
}

// The rate of an ended limit ramps up until there is no limit.
func TestEndedLimitDoublesUntilGone(t *testing.T) {
	l, start := NewLedger(), time.Now()
	l.Observe(start, start, endpoint, limitOf(2))
	ended := start.Add(time.Second)
	l.Observe(ended, start.Add(time.Millisecond), endpoint, willowwick.RateLimit{})
	for second, want := range []float64{2, 4, 8, 16} {
		rate, isLimited := l.Rate(ended.Add(time.Duration(second)*time.Second), endpoint.ID)
		assert.True(t, isLimited)
		assert.InDelta(t, want, float64(rate), 0.01)
	}
	_, isLimited := l.Rate(ended.Add(recoveryPeriod), endpoint.ID)
	assert.False(t, isLimited)
	assert.Equal(t, willowwick.PermitNotNeeded, l.Acquire(ended.Add(recoveryPeriod), endpoint.ID))
}

// An endpoint that restarts under its ID has not reported a limit yet, nor has one that is newly listed.
func TestLimitsOfRemovedOrRestartedEndpointsAreDropped(t *testing.T) {
	l, now := NewLedger(), time.Now()
	first, second := willowwick.Endpoint{ID: "e1", Incarnation: 7}, willowwick.Endpoint{ID: "e2"}
	l.Observe(now, now, first, limitOf(1))
	l.Observe(now, now, second, limitOf(1))
	l.Retain([]willowwick.Endpoint{first, second})
	assert.Equal(t, 2, l.Count())
	first.Incarnation = 8
	l.Retain([]willowwick.Endpoint{first, second})
	assert.Equal(t, 1, l.Count())
	l.Retain(nil)
	assert.Zero(t, l.Count())
	l.Merge(Updates{Rows: []Row{{Endpoint: "e3", Rate: 1, EndedMs: neverMs}}}, "peer", now)
	l.Retain(nil)
	assert.Equal(t, 1, l.Count(), "an endpoint received from another box may not be listed here yet")
}

func TestLimitsConvergeBetweenBoxes(t *testing.T) {
	a, b, now := NewLedger(), NewLedger(), time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	a.Observe(at(0), at(0), willowwick.Endpoint{ID: "named"}, limitOf(3))
	a.Observe(at(0), at(0), willowwick.Endpoint{ID: "ended"}, limitOf(2))
	b.Observe(at(2), at(0), willowwick.Endpoint{ID: "ended"}, limitOf(2))
	b.Observe(at(900), at(800), willowwick.Endpoint{ID: "ended"}, willowwick.RateLimit{})
	b.Observe(at(10), at(0), willowwick.Endpoint{ID: "differs"}, limitOf(8))
	a.Observe(at(20), at(0), willowwick.Endpoint{ID: "differs"}, limitOf(1))
	first := a.Updates(0, at(1000))
	assert.True(t, b.Merge(first, "peer a", at(1001)))
	assert.True(t, a.Merge(b.Updates(first.Sum, at(1002)), "peer b", at(1003)))
	sumOf := func(l *Ledger) uint64 { return l.Updates(0, at(1004)).Sum }
	assert.Equal(t, sumOf(a), sumOf(b))
	assert.Empty(t, a.Updates(sumOf(b), at(1005)).Rows, "nothing to send")
	for _, l := range []*Ledger{a, b} {
		assert.Equal(t, 2, l.Count())
		rate, _ := l.Rate(at(1010), "differs")
		assert.Equal(t, willowwick.PerSecond(1), rate, "the lower of two rates reported at about the same time")
	}
}

// A permit must be used soon after the call for it; while a call is pending, no other request takes the endpoint.
func TestPermitsExpire(t *testing.T) {
	l, now := NewLedger(), time.Now()
	l.Observe(now, now, endpoint, limitOf(40))
	assert.True(t, l.CanAcquire(now, endpoint.ID))
	assert.Equal(t, willowwick.PermitRequired, l.Acquire(now, endpoint.ID))
	assert.False(t, l.CanAcquire(now, endpoint.ID))
	nextAt, isLimited := l.NextAt(now, endpoint.ID)
	assert.True(t, isLimited)
	assert.Equal(t, now, nextAt, "a reply may arrive at any moment")
	row := l.NewCall(now, endpoint.ID, "b1").Row
	later := now.Add(5 * time.Millisecond)
	assert.True(t, l.HandleReply(later, now, endpoint.ID, Reply{Row: row, Permits: 2}))
	assert.Equal(t, willowwick.PermitHeld, l.Acquire(later, endpoint.ID))
	assert.Equal(t, willowwick.PermitRequired, l.Acquire(later, endpoint.ID), "both are used")
	assert.False(t, l.HandleReply(now.Add(time.Second), later, endpoint.ID, Reply{Row: row, Permits: 1}), "the permit expired")
	assert.False(t, l.HandleReply(now.Add(time.Second), now.Add(time.Second), endpoint.ID, Reply{Row: row, RetryMs: 400}))
	assert.False(t, l.CanAcquire(now.Add(1300*time.Millisecond), endpoint.ID))
	nextAt, _ = l.NextAt(now.Add(1300*time.Millisecond), endpoint.ID)
	assert.Equal(t, now.Add(1400*time.Millisecond), nextAt)
	assert.True(t, l.CanAcquire(nextAt, endpoint.ID))
	l.Acquire(nextAt, endpoint.ID)
	l.HandleNoReply(nextAt, endpoint.ID)
	assert.False(t, l.CanAcquire(nextAt, endpoint.ID))
	assert.True(t, l.CanAcquire(nextAt.Add(2*minAskDelay), endpoint.ID))
}

// A box that has just started sends each endpoint one request until it answers or another box sends its limits.
func TestStartingBoxSendsOneRequestPerEndpoint(t *testing.T) {
	l, now := NewLedger(), time.Now()
	l.AwaitUpdates(now.Add(time.Second))
	l.Acquire(now, endpoint.ID)
	assert.False(t, l.CanAcquire(now, endpoint.ID))
	assert.True(t, l.CanAcquire(now, "e2"))
	l.Observe(now, now, endpoint, willowwick.RateLimit{})
	assert.True(t, l.CanAcquire(now, endpoint.ID))
	l.Acquire(now, endpoint.ID)
	assert.True(t, l.CanAcquire(now, endpoint.ID), "it has answered")
	l.Acquire(now, "e2")
	assert.False(t, l.CanAcquire(now, "e2"))
	l.Merge(Updates{}, "peer", now)
	assert.True(t, l.CanAcquire(now, "e2"))
}

func TestHugeLimitIsIgnored(t *testing.T) {
	l, now := NewLedger(), time.Now()
	l.Observe(now, now, endpoint, limitOf(1e9))
	_, isLimited := l.Rate(now, endpoint.ID)
	assert.False(t, isLimited)
	assert.Equal(t, willowwick.PermitNotNeeded, l.Acquire(now, endpoint.ID))
}

// Guards against an endpoint that stays idle for half a minute after its rate has risen, since the boxes wait as they had
// to at the low one.
func TestTheWaitForAPermitIsShortenedWhenTheRateRises(t *testing.T) {
	const low, high, wait = 0.5, 8, 16 * time.Second
	now := time.Now()
	for name, learn := range map[string]func(l *Ledger){
		"answer": func(l *Ledger) { l.Observe(now.Add(time.Second), now, endpoint, limitOf(high)) },
		"peer": func(l *Ledger) {
			l.Merge(Updates{Rows: []Row{{Endpoint: endpoint.ID, Rate: high, EndedMs: neverMs}}}, "peer", now.Add(time.Second))
		},
	} {
		l := NewLedger()
		l.Observe(now, now, endpoint, limitOf(low))
		assert.Equal(t, willowwick.PermitRequired, l.Acquire(now, endpoint.ID))
		call := l.NewCall(now, endpoint.ID, "b1")
		assert.False(t, l.HandleReply(now, now, endpoint.ID, Reply{Row: call.Row, RetryMs: (wait + time.Second).Milliseconds()}))
		learn(l)
		at, isLimited := l.NextAt(now.Add(time.Second), endpoint.ID)
		assert.True(t, isLimited)
		assert.WithinDuration(t, now.Add(time.Second+wait/(high/low)), at, 10*time.Millisecond, name)
	}
}
