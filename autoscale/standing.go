package autoscale

import (
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// listDelay is how long after a change the list of endpoints may still lack it.
	listDelay = 2500 * time.Millisecond
	// lossDelay is how long runners must be missing from the list before they are taken for lost; a heartbeat that came
	// late brings them back.
	lossDelay = 1500 * time.Millisecond
	// minPause and maxPause bound the pause after an order that wasn't executed; it doubles with each.
	minPause = time.Second
	maxPause = 4 * time.Second
)

type (
	// standing is the last order on a subject.
	standing struct {
		runners   int
		listed    int // when it was given
		at        time.Time
		isReached bool      // the list has shown that number
		missingAt time.Time // since when the list shows fewer again; zero if it doesn't
	}

	// pause is the time until which orders of a kind aren't given.
	pause struct {
		until time.Time
		last  time.Duration
	}
)

// extend begins a pause, twice as long as the one before.
func (p *pause) extend(now time.Time) {
	p.last = min(max(2*p.last, minPause), maxPause)
	p.until = now.Add(p.last)
}

// Note records what became of an order: err is nil if it was accepted, or what [willowwick.DutyHolder.Call] returned.
func (s *Scaler) Note(now time.Time, order willowwick.RunnerOrder, err error) {
	at := subject{order.Hall, order.Spot}
	switch {
	case err == nil:
		s.standing[at] = &standing{runners: order.Runners, listed: s.listed[at], at: now}
		s.unanswered = pause{}
		if order.Spot {
			delete(s.blocked, order.Hall)
		}
	case errors.Is(err, willowwick.ErrNoCapacity):
		delete(s.standing, at)
		s.block(now, order.Hall)
	default:
		// It may be executed later; the list shows it.
		delete(s.standing, at)
		s.unanswered.extend(now)
	}
}

// block begins or extends the time in which a hall is asked for no spot runners.
func (s *Scaler) block(now time.Time, hall willowwick.HallID) {
	known := s.blocked[hall]
	if known == nil {
		known = &pause{}
		s.blocked[hall] = known
	}
	known.extend(now)
}

// isBlocked reports whether a hall had no spot runners when last asked, and isn't asked again yet.
func (s *Scaler) isBlocked(now time.Time, hall willowwick.HallID) bool {
	known := s.blocked[hall]
	return known != nil && now.Before(known.until)
}

// observe compares the list with the orders that stand.
func (s *Scaler) observe(now time.Time, view *View) {
	for i := range view.Halls {
		hall := &view.Halls[i]
		for _, isSpot := range []bool{false, true} {
			s.listed[subject{hall.ID, isSpot}] = hall.runners(isSpot).Present()
			if order := s.standing[subject{hall.ID, isSpot}]; order != nil {
				order.observe(now, hall.runners(isSpot))
			}
		}
	}
	if hall := view.hallThatLosesSpot(); hall != nil && !s.isBlocked(now, hall.ID) && !s.wantsNoSpot(hall) {
		s.block(now, hall.ID)
	}
}

// wantsNoSpot reports whether a hall's spot runners drain since none were ordered.
func (s *Scaler) wantsNoSpot(hall *Hall) bool {
	order := s.standing[subject{hall.ID, true}]
	return order != nil && order.runners == 0
}

// hallThatLosesSpot returns the only hall whose spot runners all drain, or nil. In several halls at once it is the end of a
// roll-out, which stops the old release.
func (v *View) hallThatLosesSpot() *Hall {
	var losing *Hall
	for i := range v.Halls {
		hall := &v.Halls[i]
		if hall.Spot.Draining == 0 || hall.Spot.Present() > 0 {
			continue
		}
		if losing != nil {
			return nil
		}
		losing = hall
	}
	return losing
}

func (o *standing) observe(now time.Time, listed Runners) {
	switch {
	case listed.Present() >= o.runners:
		o.isReached = o.isReached || listed.Present() == o.runners
		o.missingAt = time.Time{}
	case o.isReached && o.missingAt.IsZero():
		o.missingAt = now
	}
}

// expected returns the runners of a subject that are there or on the way.
func (s *Scaler) expected(now time.Time, view *View, hall *Hall, isSpot bool) int {
	listed := hall.runners(isSpot)
	order := s.standing[subject{hall.ID, isSpot}]
	if order == nil {
		return listed.Present()
	}
	if now.Before(order.at.Add(view.Limits.BootTime+listDelay)) && !order.isReached {
		// Those that were there can be lost before the new ones are.
		return min(order.runners, listed.Present()+max(order.runners-order.listed, 0))
	}
	isLost := order.isReached && listed.Draining == 0 && now.Before(order.missingAt.Add(lossDelay))
	if isLost {
		return order.runners
	}
	return listed.Present()
}
