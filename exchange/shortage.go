package exchange

import (
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// yieldFor is how long less urgent requests yield after one was refused for the limits of endpoints.
	yieldDuration = time.Second
	// yieldShare: of the less urgent requests one in so many does not yield, so that no kind of request is left without.
	noYieldEvery = 3
)

type (
	// shortages are the services whose endpoints took fewer requests than came, all of them naming limits. What they take then
	// goes to the most urgent requests first.
	shortages struct {
		mu       sync.Mutex
		services map[willowwick.ServiceID]*shortage
	}

	// shortage is that of one service.
	shortage struct {
		rank   int       // of the most urgent request that was refused
		until  time.Time // less urgent ones yield
		checks int       // how often it was asked whether one must
	}
)

func newShortages() *shortages {
	return &shortages{services: map[willowwick.ServiceID]*shortage{}}
}

// note notes that a request was refused for the limits of all endpoints.
func (s *shortages) record(service willowwick.ServiceID, rank int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil {
		known = &shortage{}
		s.services[service] = known
	}
	if !now.Before(known.until) || rank <= known.rank {
		known.rank, known.until = rank, now.Add(yieldDuration)
	}
}

// mustYield reports whether a request leaves what limited endpoints take to more urgent ones.
func (s *shortages) mustYield(service willowwick.ServiceID, rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil || !now.Before(known.until) || rank <= known.rank {
		return false
	}
	known.checks++
	return known.checks%noYieldEvery != 0
}
