package exchange

import (
	"sync"
	"time"
)

const (
	// yieldDuration is how long less urgent requests yield after a request was refused because of rate limits.
	yieldDuration = time.Second
	// noYieldEvery is the number of less urgent requests of which one does not yield, so that no kind of request
	// starves.
	noYieldEvery = 3
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
		rank   int       // of the most urgent request that was refused
		until  time.Time // less urgent requests yield until then
		checks int       // calls of mustYield that counted
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

// mustYield reports whether a request leaves the capacity of rate-limited endpoints to more urgent ones.
func (s *shortages) mustYield(queue string, rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byQueue[queue]
	if known == nil || !now.Before(known.until) || rank <= known.rank {
		return false
	}
	known.checks++
	return known.checks%noYieldEvery != 0
}
