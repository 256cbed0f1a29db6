package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// lingerTime is how long a request that was broken off still counts as one at its endpoint, which goes on until it notices.
const lingerTime = 500 * time.Millisecond

// unreserved implements willowwick.Reserver for endpoints that need no reservations.
type unreserved struct{}

func (unreserved) IsRequired(time.Time, willowwick.ServiceID) bool { return false }

func (unreserved) CanAsk(time.Time, willowwick.ServiceID) bool { return true }

func (unreserved) Released(time.Time, willowwick.Endpoint) {}

// IsUnreserved reports whether the request must not be sent before Reserve.
func (s *Slot) IsUnreserved() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.isUnreserved
}

// IsReserved reports whether the request has a reservation.
func (s *Slot) IsReserved() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.isReserved
}

// Reserve records that the request has a reservation at an endpoint and moves its slot there; false if that endpoint accepts no
// work, or the slot has been released.
func (s *Slot) Reserve(now time.Time, id willowwick.EndpointID) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	target := s.member
	if s.Endpoint.ID != id {
		target = s.pool.endpoints[id]
	}
	if s.released || !s.isUnreserved || target == nil || target.refusesWork(now) {
		return false
	}
	s.isUnreserved, s.isReserved = false, true
	s.member.unreserved--
	if target == s.member {
		return true
	}
	if s.permit == willowwick.PermitRequired {
		s.pool.options.Limits.CancelPending(s.Endpoint.ID)
	}
	s.vacate()
	s.acquiredAt = now
	s.occupy(now, target)
	return true
}

// MarkUnfinished records that the request was sent and is being broken off, so that the endpoint may go on with it for a while.
func (s *Slot) MarkUnfinished() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.isUnfinished = true
}

// leave tells that the slot is free for another request, or lets it linger; the caller holds the lock.
func (s *Slot) leave(now time.Time) {
	switch {
	case s.isUnreserved:
		s.member.unreserved--
	case s.isUnfinished && s.pool.options.Reservations.IsRequired(now, s.Endpoint.Service):
		s.pool.lingering[s.member] = append(s.pool.lingering[s.member], now.Add(lingerTime))
	default:
		s.pool.options.Reservations.Released(now, s.Endpoint)
	}
}

// countLingering counts the requests at the endpoint that were broken off a moment ago; the caller holds the lock.
func (p *Pool) countLingering(now time.Time, m *member) int {
	list := slices.DeleteFunc(p.lingering[m], func(until time.Time) bool { return !now.Before(until) })
	if p.lingering[m] = list; len(list) == 0 {
		delete(p.lingering, m)
	}
	return len(list)
}

// Occupied lists what this box has at the endpoints of some services, listed or not, without requests that wait for reservations.
func (p *Pool) Occupied(now time.Time, services []willowwick.ServiceID) []willowwick.Occupancy {
	if len(services) == 0 {
		return nil
	}
	isCounted := make(map[willowwick.ServiceID]bool, len(services))
	for _, service := range services {
		isCounted[service] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []willowwick.Occupancy
	for m := range p.occupied {
		if requests := m.inFlight - m.unreserved; requests > 0 && isCounted[m.endpoint.Service] {
			list = append(list, willowwick.Occupancy{Endpoint: m.endpoint.ID, Requests: requests})
		}
	}
	for m := range p.lingering {
		if requests := p.countLingering(now, m); requests > 0 && isCounted[m.endpoint.Service] {
			list = append(list, willowwick.Occupancy{Endpoint: m.endpoint.ID, Requests: requests})
		}
	}
	return list
}

// Alternatives lists endpoints that the slot's request may use: that of the slot, then others of the service that are open to it, at
// most a number of them, at random.
func (p *Pool) Alternatives(now time.Time, slot *Slot, most int, exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool) []willowwick.Alternative {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []willowwick.Alternative{slot.member.alternative(now, p.options)}
	set := p.candidates[workKey{service: slot.Endpoint.Service}]
	if set == nil {
		return list
	}
	from := rand.IntN(len(set.members))
	for i := range set.members {
		m := set.members[(from+i)%len(set.members)]
		isLimited := !p.options.Limits.CanAcquire(now, m.endpoint.ID)
		if m == slot.member || isLimited || exclude[m.endpoint.ID] || p.isColdPaused(now, m) || !m.isOpen(now, p.options, false) || !allow(m.endpoint) {
			continue
		}
		if list = append(list, m.alternative(now, p.options)); len(list) == most {
			break
		}
	}
	return list
}

func (m *member) alternative(now time.Time, options PoolOptions) willowwick.Alternative {
	slots := m.knownLoad(now, options).Slots
	if slots == 0 {
		slots = m.endpoint.Slots
	}
	return willowwick.Alternative{Endpoint: m.endpoint.ID, Slots: slots, HasAnswered: m.hasAnswered || !m.load.At.IsZero()}
}
