package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// settleFor is how long a box that begins to grant permits gives none: the box that did before may not know yet.
	settleFor = time.Second
	// burst is how many permits may be saved up, and burstFor for how long more of them.
	burst    = 1.5
	burstFor = 250 * time.Millisecond
	// asksPerPermit is how many questions are wanted for each permit: with few of them permits rest until somebody asks.
	asksPerPermit = 4
	// longestPause bounds the pause between the questions of one box, so that boxes follow what others need.
	longestPause = 30 * time.Second
	// askerKept is how long after its pause a box still counts among those that ask.
	askerKept = time.Second
	// forgetAfter is how long nobody has asked for an endpoint until it is forgotten.
	forgetAfter = time.Minute
)

type (
	// Granter hands out permits for all boxes.
	Granter struct {
		ledger *Ledger

		mu      sync.Mutex
		since   time.Time // this box grants without a break; zero while another one does
		buckets map[willowwick.EndpointID]*bucket
		sweepAt time.Time
	}

	// bucket holds the permits of one endpoint.
	bucket struct {
		permits float64
		at      time.Time                      // permits were counted
		askers  map[willowwick.BoxID]time.Time // until when each counts as one that asks
	}
)

// NewGranter returns a granter that grants nothing until it is told to.
func NewGranter(ledger *Ledger) *Granter {
	return &Granter{ledger: ledger, buckets: map[willowwick.EndpointID]*bucket{}}
}

// SetGranting tells whether this box is the one that grants, as far as it knows; it reports whether that is a change.
func (g *Granter) SetGranting(now time.Time, isGranting bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case isGranting && g.since.IsZero():
		g.since = now
		return true
	case !isGranting && !g.since.IsZero():
		g.since = time.Time{}
		clear(g.buckets)
		return true
	}
	return false
}

// IsGranting reports whether this box is the one that grants.
func (g *Granter) IsGranting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.since.IsZero()
}

// Answer answers a question with the part of the limit that this box may hand out: less than all of it while it does not
// reach all boxes, since those may be granted permits by another one.
func (g *Granter) Answer(call Call, part float64, now time.Time) Reply {
	id := call.Row.Endpoint
	row, isLimited, rate := g.ledger.hear(call.Row, now)
	if !isLimited {
		return Reply{Row: row, Permits: call.Wanted}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() || now.Sub(g.since) < settleFor {
		return Reply{Row: row, RetryMs: randomPause(askPause).Milliseconds()}
	}
	g.sweep(now)
	b := g.buckets[id]
	if b == nil {
		b = &bucket{at: now, askers: map[willowwick.BoxID]time.Time{}}
		g.buckets[id] = b
	}
	perSecond := float64(rate) * part
	b.fill(now, perSecond)
	granted := min(call.Wanted, int(b.permits))
	b.permits -= float64(granted)
	pause := time.Duration(0)
	if granted == 0 {
		pause = b.pause(now, perSecond)
	}
	b.askers[call.Box] = now.Add(pause + askerKept)
	return Reply{Row: row, Permits: granted, RetryMs: pause.Milliseconds()}
}

// hear takes what a box that asks knows of a limit, and returns what this one then knows.
func (l *Ledger) hear(row Row, now time.Time) (known Row, isLimited bool, rate willowwick.PerSecond) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(row, "question", now)
	k := l.limits[row.Endpoint]
	if k == nil {
		return unknownRow(row.Endpoint), false, 0
	}
	rate, isLimited = k.rateAt(now)
	return k.row(row.Endpoint, now), isLimited, rate
}

// fill adds the permits of the time that has passed.
func (b *bucket) fill(now time.Time, perSecond float64) {
	most := burst + perSecond*burstFor.Seconds()
	b.permits = min(b.permits+perSecond*now.Sub(b.at).Seconds(), most)
	b.at = now
}

// pause is the time until the box that was given no permit asks again: when there is one, spread by how many ask, so that
// questions come no more often than they are of use.
func (b *bucket) pause(now time.Time, perSecond float64) time.Duration {
	askers := 1
	for box, until := range b.askers {
		if now.After(until) {
			delete(b.askers, box)
			continue
		}
		askers++
	}
	missing := seconds((1 - b.permits) / perSecond)
	spread := seconds(2 * float64(askers) / (asksPerPermit * perSecond))
	return min(missing+randomPause(spread), longestPause)
}

func (g *Granter) sweep(now time.Time) {
	if now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = now.Add(forgetAfter)
	for id, b := range g.buckets {
		if now.Sub(b.at) > forgetAfter {
			delete(g.buckets, id)
		}
	}
}

// seconds is a length of time; those beyond the longest pause count as that.
func seconds(length float64) time.Duration {
	return time.Duration(min(length, longestPause.Seconds()) * float64(time.Second))
}

func randomPause(most time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(most))
}
