package ratelimit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// Ledger is what one box knows of the limits that endpoints name.
	Ledger struct {
		mu     sync.Mutex
		limits map[willowwick.EndpointID]*limit
	}

	// limit is the limit of one endpoint.
	limit struct {
		rate    willowwick.PerSecond
		namedAt time.Time // when an answer named it first, or with another rate
		endedAt time.Time // when an answer to a later request named none; before namedAt if none did since
	}
)

// NewLedger returns a ledger that knows of no limit.
func NewLedger() *Ledger {
	return &Ledger{limits: map[willowwick.EndpointID]*limit{}}
}

// Heard takes what an answer says, to a request that was sent at the given time, and reports whether it is news.
//
// An answer without a limit ends one only if its request was sent after the limit was known: others may have been on their way
// since before.
func (l *Ledger) Heard(now, sentAt time.Time, endpoint willowwick.EndpointID, said willowwick.RateLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	switch {
	case said.Unreadable != "":
		slog.Debug("limit of an endpoint cannot be read", "endpoint", endpoint, "text", said.Unreadable)
		return false
	case said.Named && (known == nil || !known.isInForce() || known.rate != said.Rate):
		l.name(endpoint, limit{rate: said.Rate, namedAt: now})
		slog.Info("endpoint names a rate limit", "endpoint", endpoint, "per_second", float64(said.Rate))
		return true
	case !said.Named && known != nil && known.isInForce() && sentAt.After(known.namedAt):
		known.endedAt = now
		slog.Info("endpoint names no rate limit any more", "endpoint", endpoint, "per_second", float64(known.rate))
		return true
	}
	return false
}

func (l *Ledger) name(endpoint willowwick.EndpointID, named limit) {
	l.limits[endpoint] = &named
}

// isInForce reports whether the endpoint still names the limit, as far as is known.
func (k *limit) isInForce() bool {
	return k.namedAt.After(k.endedAt)
}

// IsLimited reports whether the endpoint names a limit.
func (l *Ledger) IsLimited(endpoint willowwick.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	return known != nil && known.isInForce()
}

// Count is the number of endpoints that name a limit.
func (l *Ledger) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, known := range l.limits {
		if known.isInForce() {
			count++
		}
	}
	return count
}
