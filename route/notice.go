package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// saidKept is how long what an endpoint said is kept once it is not listed: its entry may come back as it was before, since a
	// store that comes back from a copy of itself has lost what was written last.
	saidKept = 10 * time.Minute
	// restSpread bounds the time by which a box comes back later than it might, a random one: an endpoint that is short of room
	// asks many boxes for the same rest at about the same time. restSpreadPart is the part of the rest that it is at most.
	restSpread     = time.Second
	restSpreadPart = 5
)

type (
	// said is what is known of one life of an endpoint beside its entry, mostly from its own answers. It holds whatever the
	// entry says, now or later: the store may be away, or behind.
	said struct {
		incarnation willowwick.Incarnation
		address     string
		leaving     bool          // it takes no new requests any more; for good
		misplaced   bool          // another endpoint answers at its address
		restUntil   time.Time     // it wants no request of this box before; zero if it never asked for rest
		restDelay   time.Duration // random length: by which this box comes back later
		goneAt      time.Time     // it was listed until then; zero if it is
	}

	// News is what of a notice was not known yet.
	News struct {
		Leaving bool // the endpoint leaves
		Rest    bool // it asked for rest while it did not rest
		Limit   bool // it names another limit, or none any more
	}

	// LeavingRow names the life of an endpoint that leaves, as boxes tell each other.
	LeavingRow struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
	}
)

// Hear takes what an answer says of the endpoint that gave it, to a request that was sent at the given time, and returns what of
// it is news. What an earlier life of the endpoint said holds no more.
func (p *Pool) Hear(now, sentAt time.Time, endpoint willowwick.Endpoint, notice willowwick.Notice) News {
	news := News{Limit: p.options.Limits.Observe(now, sentAt, endpoint, notice.RateLimit)}
	if !notice.Draining && notice.BackoffUntil.IsZero() {
		return news
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.said[endpoint.ID]
	if s == nil || !s.isOf(endpoint) {
		return news
	}
	news.Leaving = notice.Draining && !s.leaving
	news.Rest = notice.BackoffUntil.After(now) && !s.isResting(now)
	s.leaving = s.leaving || notice.Draining
	if news.Rest {
		s.restDelay = time.Duration(rand.Float64() * float64(min(restSpread, notice.BackoffUntil.Sub(now)/restSpreadPart)))
	}
	// A shorter rest that is asked for later takes nothing back: each answer binds by itself.
	if until := notice.BackoffUntil.Add(s.restDelay); notice.BackoffUntil.After(now) && until.After(s.restUntil) {
		s.restUntil = until
	}
	if m := p.endpoints[endpoint.ID]; m != nil && s.isResting(now) {
		m.limit = 1 // by the end of its rest its load is not known, and it gets one request of this box first
	}
	return news
}

// MarkLeaving notes that an endpoint is leaving, whoever said so.
func (p *Pool) MarkLeaving(id willowwick.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.endpoints[id]; m != nil {
		m.said.leaving = true
	}
}

// MarkMisplaced notes that another endpoint answers at an endpoint's address.
func (p *Pool) MarkMisplaced(endpoint willowwick.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.said[endpoint.ID]; s != nil && s.isOf(endpoint) {
		s.misplaced = true
	}
}

// HearLeaving takes which endpoints leave from another box, and returns those of which this one did not know it.
func (p *Pool) HearLeaving(rows []LeavingRow) []willowwick.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var news []willowwick.EndpointID
	for _, row := range rows {
		s := p.said[row.Endpoint]
		if s != nil && s.incarnation == row.Incarnation && !s.leaving {
			s.leaving = true
			news = append(news, row.Endpoint)
		}
	}
	return news
}

// LeavingUnlisted lists the endpoints that leave though the list does not say so yet: what other boxes do not know from it.
func (p *Pool) LeavingUnlisted() []LeavingRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []LeavingRow
	for id, m := range p.endpoints {
		if m.said.leaving && !m.endpoint.Leaving {
			rows = append(rows, LeavingRow{id, m.said.incarnation})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Endpoint < rows[j].Endpoint })
	return rows
}

// Leaving lists the endpoints known to be leaving.
func (p *Pool) Leaving() []willowwick.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []willowwick.EndpointID
	for id, m := range p.endpoints {
		if m.said.leaving {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// IsLeaving reports whether the newest known life of an endpoint leaves, or left.
func (p *Pool) IsLeaving(id willowwick.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.said[id]
	return s != nil && s.leaving
}

// saidBy returns what is known of the life that an entry tells of, and takes the entry's own leaving; the caller holds the lock.
func (p *Pool) saidBy(entry willowwick.Endpoint) *said {
	s := p.said[entry.ID]
	if s == nil || !s.isOf(entry) {
		s = &said{incarnation: entry.Incarnation, address: entry.Address}
		p.said[entry.ID] = s
	}
	s.leaving = s.leaving || entry.Leaving
	s.goneAt = time.Time{}
	return s
}

// forgetSaid drops what endpoints said that are not listed any more, after a time; at once where nothing would tell the next life
// from this one. The caller holds the lock.
func (p *Pool) forgetSaid(now time.Time, listed map[willowwick.EndpointID]*member) {
	for id, s := range p.said {
		if listed[id] != nil {
			continue
		}
		if s.goneAt.IsZero() {
			s.goneAt = now
		}
		if s.incarnation == 0 || now.Sub(s.goneAt) > saidKept {
			delete(p.said, id)
		}
	}
}

// isOf reports whether this is of the life that an entry tells of.
func (s *said) isOf(entry willowwick.Endpoint) bool {
	return s.incarnation == entry.Incarnation && s.address == entry.Address
}

// isResting reports whether the endpoint wants no request yet.
func (s *said) isResting(now time.Time) bool {
	return now.Before(s.restUntil)
}

// CountNotices counts the listed endpoints that leave, and those that asked for rest which has not ended.
func (p *Pool) CountNotices(now time.Time) (leaving, resting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.endpoints {
		if m.said.leaving {
			leaving++
		}
		if m.said.isResting(now) {
			resting++
		}
	}
	return leaving, resting
}
