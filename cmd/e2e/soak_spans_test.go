package e2e

import (
	"sync"
	"time"
)

type (
	// span is a time during which something lasted; its end is zero as long as it does.
	span struct{ from, to time.Time }

	// spans are all the times of one sort of trouble.
	spans struct {
		mu   sync.Mutex
		list []span
	}
)

// begin notes a span that lasts until the returned function is called.
func (s *spans) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.list)
	s.list = append(s.list, span{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.list[at].to = time.Now()
	}
}

// isQuiet reports whether there was no trouble from soakContact before a moment to the given end.
func (s *spans) isQuiet(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one.overlaps(from.Add(-soakContact), to) {
			return false
		}
	}
	return true
}

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}
