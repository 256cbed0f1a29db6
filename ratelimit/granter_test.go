package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// newActiveGranter returns a granter that has started to grant for an endpoint with the given rate per second.
func newActiveGranter(now time.Time, rate willowwick.PerSecond) (*Granter, *Ledger) {
	l := NewLedger()
	l.Observe(now, now, endpoint, limitOf(rate))
	g := NewGranter(l)
	g.SetGranting(now, true)
	return g, l
}

func callFrom(box willowwick.BoxID, wanted int) Call {
	return Call{Box: box, Row: unknownRow(endpoint.ID), Wanted: wanted}
}

// countGranted asks in regular steps for the given duration and returns the number of granted permits.
func countGranted(g *Granter, part float64, from time.Time, duration time.Duration, wanted int) int {
	const step = 10 * time.Millisecond
	sum := 0
	for at := from; at.Before(from.Add(duration)); at = at.Add(step) {
		sum += g.Answer(callFrom("b1", wanted), part, at).Permits
	}
	return sum
}

func TestPermitsAreGrantedAtLimitRate(t *testing.T) {
	start := time.Now()
	for _, rate := range []willowwick.PerSecond{0.5, 2, 40, 2000} {
		g, _ := newActiveGranter(start, rate)
		begun := start.Add(takeoverDelay)
		assert.Zero(t, countGranted(g, 1, start, takeoverDelay, 100), "another box may still be granting")
		got := countGranted(g, 1, begun, 20*time.Second, 100)
		assert.InDelta(t, 20*float64(rate), got, 2+float64(rate)*burstWindow.Seconds(), "at %v a second", rate)
	}
}

// A box that reaches only a part of the boxes grants only that part of the limit.
func TestPartOfBoxesGetsPartOfLimit(t *testing.T) {
	start := time.Now()
	g, _ := newActiveGranter(start, 12)
	got := countGranted(g, 1.0/3, start.Add(takeoverDelay), 20*time.Second, 5)
	assert.InDelta(t, 80, got, 4)
}

// Denied calls are repeated no more often than useful, however many boxes ask.
func TestDeniedBoxesDoNotAskTooOften(t *testing.T) {
	const boxes, rate, duration = 200, 2, 60 * time.Second
	start := time.Now()
	g, _ := newActiveGranter(start, rate)
	next := make([]time.Time, boxes)
	asks, permits := 0, 0
	for at := start.Add(takeoverDelay); at.Before(start.Add(takeoverDelay + duration)); at = at.Add(10 * time.Millisecond) {
		for box := range next {
			if at.Before(next[box]) {
				continue
			}
			reply := g.Answer(callFrom(willowwick.BoxID(rune('A'+box)), 1), 1, at)
			asks++
			permits += reply.Permits
			next[box] = at.Add(time.Duration(reply.RetryMs) * time.Millisecond)
		}
	}
	assert.InDelta(t, rate*duration.Seconds(), permits, 0.2*rate*duration.Seconds(), "permits are used")
	assert.Less(t, asks, boxes+3*asksPerPermit*rate*int(duration.Seconds()))
}

func TestUnlimitedEndpointNeedsNoPermits(t *testing.T) {
	now := time.Now()
	g := NewGranter(NewLedger())
	assert.Equal(t, 3, g.Answer(callFrom("b1", 3), 1, now).Permits)
}

func TestZeroRateEndpointIsProbed(t *testing.T) {
	start := time.Now()
	g, l := newActiveGranter(start, 0)
	rate, isLimited := l.Rate(start, endpoint.ID)
	require.True(t, isLimited)
	assert.Equal(t, minRate, rate)
	got := countGranted(g, 1, start.Add(takeoverDelay), 100*time.Second, 1)
	assert.InDelta(t, 10, got, 3, "probed at the minimum rate")
}

// longestRetry returns the longest delay of a box that asks for permits again and again while there are none.
func longestRetry(t *testing.T, rate willowwick.PerSecond) time.Duration {
	start := time.Now()
	g, _ := newActiveGranter(start, rate)
	at := start.Add(takeoverDelay)
	for g.Answer(callFrom("b1", 1), 1, at).Permits > 0 {
		continue
	}
	longest := time.Duration(0)
	for range 1000 {
		reply := g.Answer(callFrom("b1", 1), 1, at)
		require.Zero(t, reply.Permits)
		longest = max(longest, time.Duration(reply.RetryMs)*time.Millisecond)
	}
	return longest
}

// Guards against a box that counts among the others that ask, because it asked before: two boxes waited as three would.
func TestABoxThatAsksAgainIsCountedOnce(t *testing.T) {
	const rate = 2
	assert.LessOrEqual(t, longestRetry(t, rate), time.Second/rate+2*time.Second/(asksPerPermit*rate))
}

// Guards against permits that lie idle at a low rate until one of few boxes asks.
func TestALowRateIsAskedForSoonAfterAPermitIsThere(t *testing.T) {
	const rate = 0.5
	assert.LessOrEqual(t, longestRetry(t, rate), 3*time.Second)
}
