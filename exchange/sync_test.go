package exchange

// hasFailingRead reports whether the last read of any kind failed.
func (s *syncer) hasFailingRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAnyReadFailing()
}
