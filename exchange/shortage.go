package exchange

import (
	"sync"
	"time"
)

const (
	// yieldDuration is how long less urgent requests yield after a request was refused because of rate limits.
	yieldDuration = time.Second
	// urgentSendsPerTurn is the number of sends of the most urgent requests after which less urgent ones do not yield
	// until one of them is sent, so that no kind of request starves.
	urgentSendsPerTurn = 2
)

type (
	// shortages tracks queues whose endpoints are all rate-limited and took fewer requests than arrived. Their
	// capacity then goes to the most urgent requests first.
	shortages struct {
		mu      sync.Mutex
		byQueue map[string]*shortage
	}

	// shortage is the shortage of one queue.
	shortage struct {
		rank        int       // of the most urgent request that was refused
		until       time.Time // less urgent requests yield until then
		urgentSends int       // since a less urgent request was sent
	}
)

func newShortages() *shortages {
	return &shortages{byQueue: map[string]*shortage{}}
}

// record records a request that was refused because all endpoints are rate-limited.
func (s *shortages) record(queue string, rank int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byQueue[queue]
	if known == nil {
		known = &shortage{}
		s.byQueue[queue] = known
	}
	if !now.Before(known.until) || rank <= known.rank {
		known.rank, known.until = rank, now.Add(yieldDuration)
	}
}

// recordSend records a request that is sent to a rate-limited endpoint.
func (s *shortages) recordSend(queue string, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byQueue[queue]
	switch {
	case known == nil:
	case rank <= known.rank:
		known.urgentSends++
	default:
		known.urgentSends = 0
	}
}

// mustYield reports whether a request leaves the capacity of rate-limited endpoints to more urgent ones.
func (s *shortages) mustYield(queue string, rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byQueue[queue]
	if known == nil || !now.Before(known.until) || rank <= known.rank {
		return false
	}
	return known.urgentSends < urgentSendsPerTurn
}
