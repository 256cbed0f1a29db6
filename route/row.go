package route

import (
	"sort"
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// row names the endpoints that can take the same work.
	row struct {
		version willowwick.VersionID
		service willowwick.ServiceID
	}

	// candidateRow implements willowwick.CandidateSet at a moment.
	candidateRow struct {
		members  []*member
		ring     []ringPoint
		now      time.Time
		exclude  map[willowwick.EndpointID]bool
		allow    func(willowwick.Endpoint) bool
		pool     *Pool
		prompt   reading
		trusting bool // endpoints under suspicion count as open
	}

	ringPoint struct {
		hash  uint64
		index int
	}
)

// Len implements willowwick.CandidateSet.
func (r *candidateRow) Len() int {
	return len(r.members)
}

// At implements willowwick.CandidateSet.
func (r *candidateRow) At(index int) willowwick.Candidate {
	m := r.members[index]
	reading, _ := r.prompt.at(r.now, m)
	return willowwick.Candidate{
		Endpoint:        m.endpoint.ID,
		Hall:            m.endpoint.Hall,
		Load:            m.knownLoad(r.now, r.pool.options),
		InFlight:        m.inFlight,
		SentSinceReport: m.recent,
		IsAvailable: !r.exclude[m.endpoint.ID] && r.allows(m) && !r.pool.isPaused(r.now, m) && m.open(r.now, r.pool.options, r.trusting) &&
			r.pool.options.Limits.CanAcquire(r.now, m.endpoint.ID),
		QueueDelay:  m.reader.ahead(r.now),
		PrefillTime: reading,
		FailureRate: m.failingShare(r.now),
	}
}

func (r *candidateRow) allows(m *member) bool {
	return r.allow == nil || r.allow(m.endpoint)
}

// Owner implements willowwick.CandidateSet by consistent hashing.
func (r *candidateRow) Owner(prefix uint64) int {
	at := sort.Search(len(r.ring), func(i int) bool { return r.ring[i].hash >= prefix })
	if at == len(r.ring) {
		at = 0
	}
	return r.ring[at].index
}

// allExcluded reports whether no endpoint that stays is left to try.
func (r *candidateRow) allExcluded() bool {
	for _, m := range r.members {
		if m.stays() && r.allows(m) && !r.exclude[m.endpoint.ID] {
			return false
		}
	}
	return true
}

func (r *candidateRow) anyServing() bool {
	for _, m := range r.members {
		if m.stays() && r.allows(m) {
			return true
		}
	}
	return false
}
