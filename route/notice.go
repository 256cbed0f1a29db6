package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// reportedStateTTL is how long the reported state of an unlisted endpoint is kept: its old entry may return,
	// since a store that is restored from a copy of itself has lost the latest writes.
	reportedStateTTL = 10 * time.Minute
	// maxBackoffJitter bounds the random delay by which a box resumes after a backoff, since an overloaded endpoint
	// asks many boxes for the same backoff at about the same time. The jitter is at most the backoff divided by
	// backoffJitterDivisor.
	maxBackoffJitter     = time.Second
	backoffJitterDivisor = 5
)

type (
	// reportedState is what is known of one incarnation of an endpoint besides its entry, mostly from its own
	// answers. It holds whatever the entry says now or later: the store may be unreachable or behind.
	reportedState struct {
		incarnation   willowwick.Incarnation
		address       string
		leaving       bool          // it accepts no new requests; permanent
		misplaced     bool          // another endpoint answers at its address
		backoffUntil  time.Time     // it accepts no request of this box before; zero if it asked for no backoff
		backoffJitter time.Duration // random delay after the backoff, for this box
		unlistedAt    time.Time     // when it was first found missing from the list; zero while listed
	}

	// NoticeChanges is what a notice changed.
	NoticeChanges struct {
		Leaving bool // the endpoint began to shut down
		Backoff bool // it asked for a backoff while in none
		Limit   bool // it declared another rate limit, or dropped it
	}

	// LeavingRow is the wire form of an endpoint's incarnation that is shutting down.
	LeavingRow struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
	}
)

// ApplyNotice applies the notice in an endpoint's answer to a request that was sent at sentAt, and returns what it
// changed. Notices of earlier incarnations are ignored.
func (p *Pool) ApplyNotice(now, sentAt time.Time, endpoint willowwick.Endpoint, notice willowwick.Notice) NoticeChanges {
	changes := NoticeChanges{Limit: p.options.Limits.Observe(now, sentAt, endpoint, notice.RateLimit)}
	if !notice.Draining && notice.BackoffUntil.IsZero() {
		return changes
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.reportedState[endpoint.ID]
	if s == nil || !s.matches(endpoint) {
		return changes
	}
	changes.Leaving = notice.Draining && !s.leaving
	changes.Backoff = notice.BackoffUntil.After(now) && !s.isInBackoff(now)
	s.leaving = s.leaving || notice.Draining
	if changes.Backoff {
		s.backoffJitter = time.Duration(rand.Float64() * float64(min(maxBackoffJitter, notice.BackoffUntil.Sub(now)/backoffJitterDivisor)))
	}
	// A shorter backoff that is asked for later does not shorten the first: each answer binds by itself.
	if until := notice.BackoffUntil.Add(s.backoffJitter); notice.BackoffUntil.After(now) && until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	if m := p.endpoints[endpoint.ID]; m != nil && s.isInBackoff(now) {
		m.limit = 1 // by the end of the backoff its load is unknown, so it gets one request of this box first
	}
	return changes
}

// MarkLeaving records that an endpoint is shutting down, whatever the source.
func (p *Pool) MarkLeaving(id willowwick.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.endpoints[id]; m != nil {
		m.reportedState.leaving = true
	}
}

// MarkMisplaced records that another endpoint answers at the endpoint's address.
func (p *Pool) MarkMisplaced(endpoint willowwick.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.reportedState[endpoint.ID]; s != nil && s.matches(endpoint) {
		s.misplaced = true
	}
}

// MergeLeaving applies another box's list of endpoints that are shutting down, and returns those that were new to
// this one.
func (p *Pool) MergeLeaving(rows []LeavingRow) []willowwick.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var added []willowwick.EndpointID
	for _, row := range rows {
		s := p.reportedState[row.Endpoint]
		if s != nil && s.incarnation == row.Incarnation && !s.leaving {
			s.leaving = true
			added = append(added, row.Endpoint)
		}
	}
	return added
}

// LeavingUnlisted lists the endpoints that are shutting down but whose entries do not say so yet, which other boxes
// cannot learn from the list.
func (p *Pool) LeavingUnlisted() []LeavingRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []LeavingRow
	for id, m := range p.endpoints {
		if m.reportedState.leaving && !m.endpoint.Leaving {
			rows = append(rows, LeavingRow{id, m.reportedState.incarnation})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Endpoint < rows[j].Endpoint })
	return rows
}

// Leaving lists the endpoints known to be shutting down.
func (p *Pool) Leaving() []willowwick.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []willowwick.EndpointID
	for id, m := range p.endpoints {
		if m.reportedState.leaving {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// IsLeaving reports whether the newest known incarnation of an endpoint is shutting down or has shut down.
func (p *Pool) IsLeaving(id willowwick.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.reportedState[id]
	return s != nil && s.leaving
}

// reportedStateOf returns the reported state of the incarnation in an entry, and applies the entry's own leaving. The
// caller holds the lock.
func (p *Pool) reportedStateOf(entry willowwick.Endpoint) *reportedState {
	s := p.reportedState[entry.ID]
	if s == nil || !s.matches(entry) {
		s = &reportedState{incarnation: entry.Incarnation, address: entry.Address}
		p.reportedState[entry.ID] = s
	}
	s.leaving = s.leaving || entry.Leaving
	s.unlistedAt = time.Time{}
	return s
}

// expireReportedStates drops the state of endpoints that have been unlisted for reportedStateTTL; at once for those
// without an incarnation, since the next one could not be told apart. The caller holds the lock.
func (p *Pool) expireReportedStates(now time.Time, listed map[willowwick.EndpointID]*member) {
	for id, s := range p.reportedState {
		if listed[id] != nil {
			continue
		}
		if s.unlistedAt.IsZero() {
			s.unlistedAt = now
		}
		if s.incarnation == 0 || now.Sub(s.unlistedAt) > reportedStateTTL {
			delete(p.reportedState, id)
		}
	}
}

// matches reports whether the state belongs to the incarnation in an entry.
func (s *reportedState) matches(entry willowwick.Endpoint) bool {
	return s.incarnation == entry.Incarnation && s.address == entry.Address
}

// isInBackoff reports whether the endpoint's backoff has not ended.
func (s *reportedState) isInBackoff(now time.Time) bool {
	return now.Before(s.backoffUntil)
}

// CountNotices counts the listed endpoints that are shutting down, and those in backoff.
func (p *Pool) CountNotices(now time.Time) (leaving, inBackoff int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.endpoints {
		if m.reportedState.leaving {
			leaving++
		}
		if m.reportedState.isInBackoff(now) {
			inBackoff++
		}
	}
	return leaving, inBackoff
}
