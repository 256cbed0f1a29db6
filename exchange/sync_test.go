package exchange

import "github.com/willowwick/willowwick"

// isUnreachable reports whether the last read of the store failed.
func (s *syncer) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable
}

// entry returns an endpoint as it is listed.
func (s *syncer) entry(id willowwick.EndpointID) (willowwick.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint, found := s.listed[id]
	return endpoint, found
}
