package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// said is what one life of an endpoint has said of itself in its answers.
	said struct {
		incarnation willowwick.Incarnation
		address     string
		leaving     bool
		restUntil   time.Time // zero if it never asked for rest
	}

	// News is what of a notice was not known yet.
	News struct {
		Leaving bool // the endpoint leaves
		Rest    bool // it asked for rest while it did not rest
		Limit   bool // it names another limit, or none any more
	}
)

// Hear takes what an answer says of the endpoint that gave it, to a request that was sent at the given time, and returns what of
// it is news. What an earlier life of the endpoint said holds no more.
func (p *Pool) Hear(now, sentAt time.Time, endpoint willowwick.Endpoint, notice willowwick.Notice) News {
	news := News{Limit: p.options.Limits.Heard(now, sentAt, endpoint, notice.RateLimit)}
	if !notice.Leaving && notice.RestUntil.IsZero() {
		return news
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.said[endpoint.ID]
	if s == nil || !s.isOf(endpoint) {
		return news
	}
	news.Leaving = notice.Leaving && !s.leaving
	news.Rest = notice.RestUntil.After(now) && !s.isResting(now)
	s.leaving = s.leaving || notice.Leaving
	// A shorter rest that is asked for later takes nothing back: each answer binds by itself.
	if notice.RestUntil.After(s.restUntil) {
		s.restUntil = notice.RestUntil
	}
	return news
}

// saidBy returns what the life that an entry tells of has said so far; the caller holds the lock.
func (p *Pool) saidBy(entry willowwick.Endpoint) *said {
	s := p.said[entry.ID]
	if s == nil || !s.isOf(entry) {
		s = &said{incarnation: entry.Incarnation, address: entry.Address}
		p.said[entry.ID] = s
	}
	return s
}

// isOf reports whether this was said in the life that an entry tells of.
func (s *said) isOf(entry willowwick.Endpoint) bool {
	return s.incarnation == entry.Incarnation && s.address == entry.Address
}

// isResting reports whether the endpoint wants no request yet.
func (s *said) isResting(now time.Time) bool {
	return now.Before(s.restUntil)
}

// CountNotices counts the listed endpoints that said that they leave, and those that asked for rest which has not ended.
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
