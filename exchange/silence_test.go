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

// readingWork is a prompt without shared parts.
func readingWork(tokens willowwick.Tokens) route.Work {
	return route.Work{Model: "large", Prompt: []willowwick.PromptPart{{ID: "own", Tokens: tokens}}}
}

// sendWork takes a place for the work and notes it as sent.
func sendWork(t *testing.T, pool *route.Pool, now time.Time, work route.Work) *route.Place {
	place, _ := pool.AcquireAllowed(now, "work", work, nil, func(willowwick.Endpoint) bool { return true })
	require.NotNil(t, place)
	place.Sent(now)
	return place
}

// learnReading shows the pool that its endpoints read a token in a tenth of a millisecond, give or take nothing.
func learnReading(t *testing.T, pool *route.Pool, now time.Time) time.Time {
	for range 400 {
		place := sendWork(t, pool, now, readingWork(1000))
		now = now.Add(100 * time.Millisecond)
		place.Begun(now)
		place.Release(now, route.OutcomeGood)
	}
	return now
}

// Streams were once declared silent at a share of their goal while their endpoint read a long prompt, and read anew elsewhere.
func TestEndpointThatReadsALongPromptIsNotLeftAndADeadOneIsLeftSoon(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("a")).endpoint("v1"), newRunner(t, "r2", answerText("b")).endpoint("v1"))
	x := s.daemon.router
	for range 20 {
		x.budget("work").Request(time.Now())
	}
	stream := streamRoute()
	now := learnReading(t, x.pool, time.Now())
	for _, tokens := range []willowwick.Tokens{1000, 20000} {
		place := sendWork(t, x.pool, now, readingWork(tokens))
		sending := &send{
			ticket: &gate.Ticket{Place: place}, sentAt: now,
			call: &call{router: x, route: &stream, service: "work", out: &reply{}, deadline: now.Add(time.Minute)},
		}
		forecast := time.Duration(tokens) * 100 * time.Microsecond
		assert.False(t, sending.isLost(now.Add(forecast)), "%d tokens are being read", tokens)
		assert.True(t, sending.isLost(now.Add(forecast+quietAfter+100*time.Millisecond)), "%d tokens should have been read", tokens)
		place.Heard(now.Add(forecast + quietAfter))
		assert.False(t, sending.isLost(now.Add(forecast+quietAfter+100*time.Millisecond)), "the endpoint goes on with others")
		assert.True(t, sending.isLost(now.Add(muteFactor*(forecast+quietAfter+100*time.Millisecond))), "the endpoint has lost it")
		place.Release(now, route.OutcomeCancelled)
	}
}

func TestPlainServiceIsLeftWhenAnAnswerIsLaterThanAllButAFew(t *testing.T) {
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
	assert.Equal(t, (*route.Lateness)(nil).Value(), lateness, "of which nothing is known")
}

// sendingOn is a send of a stream at the place, of which nothing has come back.
func sendingOn(x *Router, place *route.Place, stream *willowwick.Route, now time.Time) *send {
	return &send{
		ticket: &gate.Ticket{Place: place}, sentAt: now,
		call: &call{router: x, route: stream, service: "work", out: &reply{}, arrived: now, deadline: now.Add(time.Minute)},
	}
}

// Boxes that had all just started once left endpoints that read their first prompts after half a second.
func TestEndpointIsGivenTimeWhereNothingIsKnownOfReadingSpeeds(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("a")).endpoint("v1"), newRunner(t, "r2", answerText("b")).endpoint("v1"))
	x := s.daemon.router
	for range 20 {
		x.budget("work").Request(time.Now())
	}
	stream, now := streamRoute(), time.Now()
	sending := sendingOn(x, sendWork(t, x.pool, now, readingWork(20000)), &stream, now)
	assert.False(t, sending.isLost(now.Add(2*time.Second)))
	assert.True(t, sending.isLost(now.Add(route.UnknownPatience+2*quietAfter)))
}

func TestLargeModelIsAskedLessTheLongerEndpointsWillBeReading(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("a")).endpoint("v1"))
	x := s.daemon.router
	stream, now := streamRoute(), learnReading(t, s.daemon.router.pool, time.Now())
	needed := func() int {
		place := sendWork(t, x.pool, now, readingWork(0))
		defer place.Release(now, route.OutcomeGood)
		return sendingOn(x, place, &stream, now).confidenceNeeded(now)
	}
	assert.Equal(t, 50, needed())
	sendWork(t, x.pool, now, readingWork(10000))
	assert.Equal(t, 50, needed(), "a second of reading is what it does well")
	sendWork(t, x.pool, now, readingWork(5000))
	assert.InDelta(t, 25, needed(), 1)
	sendWork(t, x.pool, now, readingWork(5000))
	assert.Zero(t, needed())
}
