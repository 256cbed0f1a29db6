package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/route"
)

// promptWork returns a prompt without shared parts.
func promptWork(tokens willowwick.Tokens) route.Work {
	return route.Work{Model: "large", Prompt: []willowwick.PromptPart{{ID: "own", Tokens: tokens}}}
}

// sendWork acquires a slot for the work and marks it as sent.
func sendWork(t *testing.T, pool *route.Pool, now time.Time, work route.Work) *route.Slot {
	place, _ := pool.AcquireAllowed(now, "work", work, nil, func(willowwick.Endpoint) bool { return true })
	require.NotNil(t, place)
	place.Sent(now)
	return place
}

// trainReadingSpeed teaches the pool that its endpoints read a token in exactly a tenth of a millisecond.
func trainReadingSpeed(t *testing.T, pool *route.Pool, now time.Time) time.Time {
	for range 400 {
		place := sendWork(t, pool, now, promptWork(1000))
		now = now.Add(100 * time.Millisecond)
		place.AnswerStarted(now)
		place.Release(now, route.OutcomeGood)
	}
	return now
}

// Streams were declared silent at a share of their goal while their endpoint was reading a long prompt, which
// another endpoint then read anew.
func TestSendLeavesAnUnresponsiveEndpointButNotOneReadingALongPrompt(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("a")).endpoint("v1"), newRunner(t, "r2", answerText("b")).endpoint("v1"))
	x := s.daemon.router
	for range 20 {
		x.retryBudget("work").Request(time.Now())
	}
	stream := streamRoute()
	now := trainReadingSpeed(t, x.pool, time.Now())
	for _, tokens := range []willowwick.Tokens{1000, 20000} {
		place := sendWork(t, x.pool, now, promptWork(tokens))
		sending := &send{
			ticket: &gate.Ticket{Slot: place}, sentAt: now,
			call: &call{router: x, route: &stream, service: "work", out: &reply{}, deadline: now.Add(time.Minute)},
		}
		forecast := time.Duration(tokens) * 100 * time.Microsecond
		assert.False(t, sending.shouldTryAnother(now.Add(forecast)), "%d tokens are still being read", tokens)
		assert.True(t, sending.shouldTryAnother(now.Add(forecast+quietAfter+100*time.Millisecond)), "%d tokens should have been read", tokens)
		place.MarkAlive(now.Add(forecast + quietAfter))
		assert.False(t, sending.shouldTryAnother(now.Add(forecast+quietAfter+100*time.Millisecond)), "the endpoint makes progress with other requests")
		assert.True(t, sending.shouldTryAnother(now.Add(lostRequestFactor*(forecast+quietAfter+100*time.Millisecond))), "the endpoint has lost the request")
		place.Release(now, route.OutcomeCancelled)
	}
}

func TestLatenessOfAPlainServiceCoversAllButAFewAnswers(t *testing.T) {
	r := newTestReleases()
	seen := observation{service: "work", release: "v1", route: "again"}
	for n := range 1000 {
		seen.took = 30 * time.Millisecond
		if n%100 == 0 {
			seen.took = 150 * time.Millisecond
		}
		r.observe(seen)
	}
	typical, lateness := r.typicalLatency("again", "")
	assert.InDelta(t, 0.031, typical.Seconds(), 0.012)
	assert.Less(t, typical+lateness, 150*time.Millisecond)
	typical, lateness = r.typicalLatency("another", "")
	assert.Zero(t, typical)
	assert.Equal(t, (*route.Lateness)(nil).Value(), lateness, "nothing is known of this route")
}

// newSilentSend returns a send of a stream at the place, of which nothing has been received.
func newSilentSend(x *Router, place *route.Slot, stream *willowwick.Route, now time.Time) *send {
	return &send{
		ticket: &gate.Ticket{Slot: place}, sentAt: now,
		call: &call{router: x, route: stream, service: "work", out: &reply{}, arrived: now, deadline: now.Add(time.Minute)},
	}
}

// Boxes that had all just started left endpoints that were reading their first prompts after half a second.
func TestSendWaitsLongerWhereReadingSpeedsAreUnknown(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("a")).endpoint("v1"), newRunner(t, "r2", answerText("b")).endpoint("v1"))
	x := s.daemon.router
	for range 20 {
		x.retryBudget("work").Request(time.Now())
	}
	stream, now := streamRoute(), time.Now()
	sending := newSilentSend(x, sendWork(t, x.pool, now, promptWork(20000)), &stream, now)
	assert.False(t, sending.shouldTryAnother(now.Add(2*time.Second)))
	assert.True(t, sending.shouldTryAnother(now.Add(route.DefaultAnswerTimeout+2*quietAfter)))
}

func TestRequiredConfidenceFallsAsTheReadingBacklogGrows(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("a")).endpoint("v1"))
	x := s.daemon.router
	stream, now := streamRoute(), trainReadingSpeed(t, s.daemon.router.pool, time.Now())
	needed := func() int {
		place := sendWork(t, x.pool, now, promptWork(0))
		defer place.Release(now, route.OutcomeGood)
		return newSilentSend(x, place, &stream, now).requiredConfidence(now)
	}
	assert.Equal(t, 50, needed())
	sendWork(t, x.pool, now, promptWork(10000))
	assert.Equal(t, 50, needed(), "a backlog of one second does not lower the threshold")
	sendWork(t, x.pool, now, promptWork(5000))
	assert.InDelta(t, 25, needed(), 1)
	sendWork(t, x.pool, now, promptWork(5000))
	assert.Zero(t, needed())
}
