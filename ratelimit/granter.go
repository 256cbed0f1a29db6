package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// takeoverDelay is how long a box grants nothing after it has become the granter: the previous one may not know
	// yet and still grant.
	takeoverDelay = time.Second
	// burstPermits is how many permits may be saved up, besides those of burstWindow at the endpoint's rate.
	burstPermits = 1.5
	burstWindow  = 250 * time.Millisecond
	// asksPerPermit is the target number of calls for each permit; with fewer, permits lie idle until somebody asks.
	asksPerPermit = 4
	// minAsksPerSecond is the target number of calls a second at a low rate, where those per permit are too far apart.
	minAsksPerSecond = 4.0
	// maxRetryDelay bounds the delay between calls of one box, so that boxes notice what others need.
	maxRetryDelay = 30 * time.Second
	// askerTTL is how long after its retry delay a box still counts as asking.
	askerTTL = time.Second
	// bucketTTL is how long an endpoint's bucket is kept without calls.
	bucketTTL = time.Minute
)

type (
	// Granter grants permits, each for one request to a limited endpoint. One box grants, and all others ask it.
	Granter struct {
		ledger *Ledger

		mu            sync.Mutex
		grantingSince time.Time // start of uninterrupted granting by this box; zero while another box grants
		buckets       map[willowwick.EndpointID]*bucket
		nextSweep     time.Time
	}

	// bucket holds the permits of one endpoint.
	bucket struct {
		permits  float64
		filledAt time.Time                      // time of the last refill
		askers   map[willowwick.BoxID]time.Time // until when each box counts as asking
	}
)

// NewGranter returns a granter that grants nothing until SetGranting is called.
func NewGranter(ledger *Ledger) *Granter {
	return &Granter{ledger: ledger, buckets: map[willowwick.EndpointID]*bucket{}}
}

// SetGranting sets whether this box is the granter, as far as it knows, and reports whether that is a change.
func (g *Granter) SetGranting(now time.Time, isGranting bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case isGranting && g.grantingSince.IsZero():
		g.grantingSince = now
		return true
	case !isGranting && !g.grantingSince.IsZero():
		g.grantingSince = time.Time{}
		clear(g.buckets)
		return true
	}
	return false
}

// IsGranting reports whether this box is the granter.
func (g *Granter) IsGranting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.grantingSince.IsZero()
}

// Answer answers a call with the part of the limit that this box may grant: less than all of it while it does not
// reach all boxes, since another box may grant permits to those.
func (g *Granter) Answer(call Call, part float64, now time.Time) Reply {
	id := call.Row.Endpoint
	row, isLimited, rate := g.ledger.mergeCall(call.Row, now)
	if !isLimited {
		return Reply{Row: row, Permits: call.Wanted}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.grantingSince.IsZero() || now.Sub(g.grantingSince) < takeoverDelay {
		return Reply{Row: row, RetryMs: randomDelay(minAskDelay).Milliseconds()}
	}
	g.sweep(now)
	b := g.buckets[id]
	if b == nil {
		b = &bucket{filledAt: now, askers: map[willowwick.BoxID]time.Time{}}
		g.buckets[id] = b
	}
	perSecond := float64(rate) * part
	b.refill(now, perSecond)
	granted := min(call.Wanted, int(b.permits))
	b.permits -= float64(granted)
	retryDelay := time.Duration(0)
	if granted == 0 {
		retryDelay = b.retryDelay(call.Box, now, perSecond)
	}
	b.askers[call.Box] = now.Add(retryDelay + askerTTL)
	return Reply{Row: row, Permits: granted, RetryMs: retryDelay.Milliseconds()}
}

// mergeCall merges the caller's knowledge of a limit and returns what this box then knows.
func (l *Ledger) mergeCall(row Row, now time.Time) (known Row, isLimited bool, rate willowwick.PerSecond) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeRow(row, "question", now)
	k := l.limits[row.Endpoint]
	if k == nil {
		return unknownRow(row.Endpoint), false, 0
	}
	rate, isLimited = k.rateAt(now)
	return k.row(row.Endpoint, now), isLimited, rate
}

// refill adds the permits for the time since the last refill.
func (b *bucket) refill(now time.Time, perSecond float64) {
	most := burstPermits + perSecond*burstWindow.Seconds()
	b.permits = min(b.permits+perSecond*now.Sub(b.filledAt).Seconds(), most)
	b.filledAt = now
}

// retryDelay returns the delay until a box that got no permit asks again: the time until there is a permit, plus a
// random delay such that all asking boxes together make about asksPerPermit calls for each permit, or minAsksPerSecond.
func (b *bucket) retryDelay(asking willowwick.BoxID, now time.Time, perSecond float64) time.Duration {
	askers := 1
	for box, until := range b.askers {
		switch {
		case now.After(until):
			delete(b.askers, box)
		case box != asking:
			askers++
		}
	}
	missing := cappedSeconds((1 - b.permits) / perSecond)
	spread := cappedSeconds(2 * float64(askers) / max(asksPerPermit*perSecond, minAsksPerSecond))
	return min(missing+randomDelay(spread), maxRetryDelay)
}

func (g *Granter) sweep(now time.Time) {
	if now.Before(g.nextSweep) {
		return
	}
	g.nextSweep = now.Add(bucketTTL)
	for id, b := range g.buckets {
		if now.Sub(b.filledAt) > bucketTTL {
			delete(g.buckets, id)
		}
	}
}

// cappedSeconds converts seconds to a duration of at most maxRetryDelay.
func cappedSeconds(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryDelay.Seconds()) * float64(time.Second))
}

func randomDelay(most time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(most))
}
