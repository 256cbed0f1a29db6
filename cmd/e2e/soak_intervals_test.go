package e2e

import (
	"sync"
	"time"
)

type (
	// interval is a period of time; its end is zero while it lasts.
	interval struct{ from, to time.Time }

	// intervals records all periods of one kind of fault.
	intervals struct {
		mu  sync.Mutex
		all []interval
	}
)

// begin records an interval that lasts until the returned function is called.
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

// isClear reports whether no interval overlaps the time from settleTime before from until to.
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
