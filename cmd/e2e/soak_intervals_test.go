package e2e

import (
	"sync"
	"time"
)

type (
	// span is a time during which something lasted; its end is zero as long as it does.
	interval struct{ from, to time.Time }

	// spans are all the times of one sort of trouble.
	intervals struct {
		mu  sync.Mutex
		all []interval
	}
)

// begin notes a span that lasts until the returned function is called.
func (s *intervals) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.all)
	s.all = append(s.all, interval{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.all[at].to = time.Now()
	}
}

// isClear reports whether there was no trouble from settleTime before a moment to the given end.
func (s *intervals) isClear(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, each := range s.all {
		if each.overlaps(from.Add(-settleTime), to) {
			return false
		}
	}
	return true
}

func (s interval) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}
