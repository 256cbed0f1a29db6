package exchange

// isAway reports whether a last read of the store failed.
func (s *syncer) hasFailingRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAnyReadFailing()
}
