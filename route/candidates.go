package route

import (
	"sort"
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// workKey identifies the endpoints that can serve the same work, by version or by service.
	workKey struct {
		version willowwick.VersionID
		service willowwick.ServiceID
	}

	// candidateSet implements willowwick.CandidateSet for one selection; the pool's lock is held.
	candidateSet struct {
		members      []*member
		ring         []ringPoint
		now          time.Time
		exclude      map[willowwick.EndpointID]bool
		allow        func(willowwick.Endpoint) bool
		pool         *Pool
		estimator    prefill
		allowEjected bool // ejected, probed and silent endpoints count as open
	}

	ringPoint struct {
		hash  uint64
		index int
	}
)

// Len implements willowwick.CandidateSet.
func (s *candidateSet) Len() int {
	return len(s.members)
}

// At implements willowwick.CandidateSet.
func (s *candidateSet) At(index int) willowwick.Candidate {
	m := s.members[index]
	prefillTime, _ := s.estimator.estimate(s.now, m)
	return willowwick.Candidate{
		Endpoint:        m.endpoint.ID,
		Hall:            m.endpoint.Hall,
		Load:            m.knownLoad(s.now, s.pool.options),
		InFlight:        m.inFlight,
		SentSinceReport: m.sentSinceReport,
		IsAvailable: !s.exclude[m.endpoint.ID] && s.allows(m) && !s.pool.isColdPaused(s.now, m) && m.isOpen(s.now, s.pool.options, s.allowEjected) &&
			s.pool.options.Limits.CanAcquire(s.now, m.endpoint.ID) && s.pool.options.Reservations.CanAsk(s.now, m.endpoint.Service),
		QueueDelay:  m.prefillQueue.backlog(s.now),
		PrefillTime: prefillTime,
		FailureRate: m.failureRate(s.now),
	}
}

func (s *candidateSet) allows(m *member) bool {
	return s.allow == nil || s.allow(m.endpoint)
}

// Owner implements willowwick.CandidateSet by consistent hashing.
func (s *candidateSet) Owner(prefix uint64) int {
	at := sort.Search(len(s.ring), func(i int) bool { return s.ring[i].hash >= prefix })
	if at == len(s.ring) {
		at = 0
	}
	return s.ring[at].index
}

// allExcluded reports whether all endpoints in service that are allowed are excluded.
func (s *candidateSet) allExcluded() bool {
	for _, m := range s.members {
		if m.isInService() && s.allows(m) && !s.exclude[m.endpoint.ID] {
			return false
		}
	}
	return true
}

func (s *candidateSet) hasInService() bool {
	for _, m := range s.members {
		if m.isInService() && s.allows(m) {
			return true
		}
	}
	return false
}
