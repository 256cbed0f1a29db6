package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// reportedStateTTL is how long the reported state of an unlisted endpoint is kept: its old entry may return,
	// since a store that is restored from a copy of itself has lost the latest writes.
	reportedStateTTL = 10 * time.Minute
	// maxBackoffJitter bounds the delay that a box adds to a backoff. An overloaded endpoint asks many boxes for the same
	// backoff at about the same time, and without jitter they would all resume at once. The jitter is at most the backoff
	// divided by backoffJitterDivisor.
	maxBackoffJitter     = time.Second
	backoffJitterDivisor = 5
)

type (
	// reportedState is what is known of one incarnation of an endpoint besides its entry, mostly from its own
	// answers. The entry never overrides it, since the store may be unreachable or behind.
	reportedState struct {
		incarnation   willowwick.Incarnation
		address       string
		draining      bool          // it accepts no new requests; permanent
		misplaced     bool          // another endpoint answers at its address
		backoffUntil  time.Time     // it accepts no request of this box before; zero if it asked for no backoff
		backoffJitter time.Duration // delay after the backoff, for this box
		unlistedAt    time.Time     // when it was first found missing from the list; zero while listed
	}

	// NoticeChanges is what a notice changed.
	NoticeChanges struct {
		Draining bool // the endpoint began to drain
		Backoff  bool // it asked for a backoff while in none
		Limit    bool // it declared another rate limit, or dropped it
	}

	// DrainingRow is the wire form of a draining incarnation of an endpoint.
	DrainingRow struct {
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
	changes.Draining = notice.Draining && !s.draining
	changes.Backoff = notice.BackoffUntil.After(now) && !s.isInBackoff(now)
	s.draining = s.draining || notice.Draining
	if changes.Backoff {
		longest := min(maxBackoffJitter, notice.BackoffUntil.Sub(now)/backoffJitterDivisor)
		s.backoffJitter = time.Duration(p.drawTurn(endpoint.ID) * float64(longest))
	}
	// A later answer that asks for a shorter backoff does not shorten the current one.
	if until := notice.BackoffUntil.Add(s.backoffJitter); notice.BackoffUntil.After(now) && until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	if m := p.endpoints[endpoint.ID]; m != nil && s.isInBackoff(now) {
		m.limit = 1 // by the end of the backoff its load is unknown, so it gets one request of this box first
	}
	return changes
}

// SetRank tells the pool which of the fleet's boxes this one is, counted from 0 in an order that all boxes share.
func (p *Pool) SetRank(rank, boxes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rank, p.boxes = rank, boxes
}

// drawTurn draws when this box takes its turn at the endpoint, as a share of the time in which all boxes do. Each has its own part of that
// time, another one at each endpoint, since times that all boxes draw from the whole often come close together. The caller holds the lock.
func (p *Pool) drawTurn(endpoint willowwick.EndpointID) float64 {
	if p.boxes < 1 {
		return rand.Float64()
	}
	first := int(xxhash.Sum64String(string(endpoint)) % uint64(p.boxes))
	return (float64((p.rank+first)%p.boxes) + rand.Float64()) / float64(p.boxes)
}

// MarkDraining records that an endpoint is draining, whatever the source.
func (p *Pool) MarkDraining(id willowwick.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.endpoints[id]; m != nil {
		m.reportedState.draining = true
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

// MergeDraining applies another box's list of draining endpoints, and returns those that this box did not know to
// be draining.
func (p *Pool) MergeDraining(rows []DrainingRow) []willowwick.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var added []willowwick.EndpointID
	for _, row := range rows {
		s := p.reportedState[row.Endpoint]
		if s != nil && s.incarnation == row.Incarnation && !s.draining {
			s.draining = true
			added = append(added, row.Endpoint)
		}
	}
	return added
}

// DrainingNotInEntries lists the draining endpoints whose entries do not say so yet: other boxes cannot learn
// of them from the list.
func (p *Pool) DrainingNotInEntries() []DrainingRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []DrainingRow
	for id, m := range p.endpoints {
		if m.reportedState.draining && !m.endpoint.Leaving {
			rows = append(rows, DrainingRow{id, m.reportedState.incarnation})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Endpoint < rows[j].Endpoint })
	return rows
}

// Draining lists the endpoints known to be draining.
func (p *Pool) Draining() []willowwick.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []willowwick.EndpointID
	for id, m := range p.endpoints {
		if m.reportedState.draining {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// IsDraining reports whether the newest known incarnation of an endpoint is draining or has shut down.
func (p *Pool) IsDraining(id willowwick.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.reportedState[id]
	return s != nil && s.draining
}

// reportedStateOf returns the reported state of the incarnation in an entry, and marks it as draining if the entry does.
// The caller holds the lock.
func (p *Pool) reportedStateOf(entry willowwick.Endpoint) *reportedState {
	s := p.reportedState[entry.ID]
	if s == nil || !s.matches(entry) {
		s = &reportedState{incarnation: entry.Incarnation, address: entry.Address}
		p.reportedState[entry.ID] = s
	}
	s.draining = s.draining || entry.Leaving
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

// CountNotices counts the listed endpoints that are draining, and those in backoff.
func (p *Pool) CountNotices(now time.Time) (draining, inBackoff int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.endpoints {
		if m.reportedState.draining {
			draining++
		}
		if m.reportedState.isInBackoff(now) {
			inBackoff++
		}
	}
	return draining, inBackoff
}
