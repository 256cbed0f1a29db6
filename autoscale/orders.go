package autoscale

import (
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// listDelay is how long after a change the list of endpoints may still lack it.
	listDelay = 2500 * time.Millisecond
	// lossDelay is how long runners must be missing from the list before they count as lost: a late heartbeat may bring
	// them back.
	lossDelay = 1500 * time.Millisecond
	// minPause and maxPause bound the pause after an order that wasn't accepted.
	minPause = time.Second
	maxPause = 4 * time.Second
)

type (
	// lastOrder is the last accepted order for a group.
	lastOrder struct {
		runners   int
		listed    int // runners that were listed when it was given
		at        time.Time
		isReached bool      // the list has shown that number
		missingAt time.Time // since when the list shows fewer again; zero if it doesn't
	}

	// pause is a time in which some orders aren't given.
	pause struct {
		until  time.Time
		length time.Duration // of the present or last one
	}
)

// extend begins a pause twice as long as the one before, within minPause and maxPause.
func (p *pause) extend(now time.Time) {
	p.length = min(max(2*p.length, minPause), maxPause)
	p.until = now.Add(p.length)
}

// Note records what became of an order: err is nil if it was accepted, or what [willowwick.DutyHolder.Call] returned.
func (s *Scaler) Note(now time.Time, order willowwick.RunnerOrder, err error) {
	at := group{order.Hall, order.Spot}
	switch {
	case err == nil:
		s.orders[at] = &lastOrder{runners: order.Runners, listed: s.listed[at], at: now}
		s.callPause = pause{}
		if order.Spot {
			delete(s.spotPauses, order.Hall)
		}
	case errors.Is(err, willowwick.ErrNoCapacity):
		delete(s.orders, at)
		s.block(now, order.Hall)
	default:
		// It may be executed later; the list shows it.
		delete(s.orders, at)
		s.callPause.extend(now)
	}
}

// block begins a pause in which a hall is asked for no spot runners.
func (s *Scaler) block(now time.Time, hall willowwick.HallID) {
	current := s.spotPauses[hall]
	if current == nil {
		current = &pause{}
		s.spotPauses[hall] = current
	}
	current.extend(now)
}

// isBlocked reports whether a hall had no spot runners when last asked, and isn't asked again yet.
func (s *Scaler) isBlocked(now time.Time, hall willowwick.HallID) bool {
	current := s.spotPauses[hall]
	return current != nil && now.Before(current.until)
}

// observeList updates what is known of the orders and halls by the list of endpoints.
func (s *Scaler) observeList(now time.Time, view *View) {
	for i := range view.Halls {
		hall := &view.Halls[i]
		for _, isSpot := range []bool{false, true} {
			s.listed[group{hall.ID, isSpot}] = hall.runners(isSpot).Present()
			if order := s.orders[group{hall.ID, isSpot}]; order != nil {
				order.observe(now, hall.runners(isSpot))
			}
		}
	}
	if hall := view.hallLosingSpot(); hall != nil && !s.isBlocked(now, hall.ID) && !s.hasOrderedNoSpot(hall) {
		s.block(now, hall.ID)
	}
}

// hasOrderedNoSpot reports whether the last order for a hall's spot runners was to have none.
func (s *Scaler) hasOrderedNoSpot(hall *Hall) bool {
	order := s.orders[group{hall.ID, true}]
	return order != nil && order.runners == 0
}

// observe updates what is known of the order by the listed runners of its group.
func (o *lastOrder) observe(now time.Time, listed Runners) {
	switch {
	case listed.Present() >= o.runners:
		o.isReached = o.isReached || listed.Present() == o.runners
		o.missingAt = time.Time{}
	case o.isReached && o.missingAt.IsZero():
		o.missingAt = now
	}
}

// expected returns the number of runners of a group that are listed or on the way.
func (s *Scaler) expected(now time.Time, view *View, hall *Hall, isSpot bool) int {
	listed := hall.runners(isSpot)
	order := s.orders[group{hall.ID, isSpot}]
	if order == nil {
		return listed.Present()
	}
	if now.Before(order.at.Add(view.Limits.BootTime+listDelay)) && !order.isReached {
		// Runners that were listed before may go while new ones are on the way.
		return min(order.runners, listed.Present()+max(order.runners-order.listed, 0))
	}
	mayReturn := order.isReached && listed.Draining == 0 && now.Before(order.missingAt.Add(lossDelay))
	if mayReturn {
		return order.runners
	}
	return listed.Present()
}
