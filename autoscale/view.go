package autoscale

import (
	"cmp"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// View is what a box knows of a service and its runners.
	View struct {
		Service   willowwick.ServiceID
		Limits    willowwick.Autoscaling
		Slots     int           // concurrent requests that a runner can run
		ColdTime  time.Duration // longest time for which a listed runner will still be cold
		HasList   bool          // the list of endpoints is known and recent
		IsRolling bool          // a roll-out is under way
		Halls     []Hall
	}

	// Hall is the demand on a service in a hall, and its runners there.
	Hall struct {
		ID          willowwick.HallID
		IsEvacuated bool // its runners get no new work
		HasCounts   bool // the hall's boxes have reported their demand
		Demand      Demand
		Ordinary    Runners
		Spot        Runners
	}

	// Demand is the requests of callers that a hall's boxes have accepted.
	Demand struct {
		Running int // at runners, also queued there
		Waiting int // in the boxes
		Silent  int // in progress at boxes that have fallen silent, as they last reported
	}

	// Runners counts the listed runners of one kind in a hall.
	Runners struct {
		Ready    int
		Cold     int // take few requests yet
		Draining int // get no new work
	}
)

// Present returns the number of runners that aren't draining.
func (r Runners) Present() int {
	return r.Ready + r.Cold
}

// total returns the number of requests in progress.
func (d Demand) total() int {
	return d.Running + d.Waiting + d.Silent
}

// runners returns the listed runners of a kind.
func (h *Hall) runners(isSpot bool) Runners {
	if isSpot {
		return h.Spot
	}
	return h.Ordinary
}

// offersSpot reports whether spot runners can be ordered and cost less than others.
func (v *View) offersSpot() bool {
	return v.Limits.SpotPrice > 0 && v.Limits.SpotPrice < 1
}

// price returns the price of a second of a runner.
func (v *View) price(hall willowwick.HallID, isSpot bool) float64 {
	price, known := v.Limits.HallPrices[hall]
	if !known {
		price = 1
	}
	if isSpot {
		price *= v.Limits.SpotPrice
	}
	return price
}

// demand returns the demand of all halls together.
func (v *View) demand() Demand {
	return Demand{
		Running: v.count(func(hall *Hall) int { return hall.Demand.Running }),
		Waiting: v.count(func(hall *Hall) int { return hall.Demand.Waiting }),
		Silent:  v.count(func(hall *Hall) int { return hall.Demand.Silent }),
	}
}

// present returns the number of runners that aren't draining.
func (v *View) present() int {
	return v.count(func(hall *Hall) int { return hall.Ordinary.Present() + hall.Spot.Present() })
}

// usable returns the number of runners that take new work at their full rate.
func (v *View) usable() int {
	return v.count(func(hall *Hall) int {
		if hall.IsEvacuated {
			return 0
		}
		return hall.Ordinary.Ready + hall.Spot.Ready
	})
}

// hasAllCounts reports whether the demand of all halls is known.
func (v *View) hasAllCounts() bool {
	return len(v.Halls) > 0 && !v.hasHall(func(hall *Hall) bool { return !hall.HasCounts })
}

// hasAnyCounts reports whether the demand of some hall is known.
func (v *View) hasAnyCounts() bool {
	return v.hasHall(func(hall *Hall) bool { return hall.HasCounts })
}

// hasListedSpot reports whether spot runners are listed; draining ones count too.
func (v *View) hasListedSpot() bool {
	return v.hasHall(func(hall *Hall) bool { return hall.Spot.Present()+hall.Spot.Draining > 0 })
}

// hallLosingSpot returns the hall whose spot runners all drain, or nil if there is none or more than one: in several halls
// at once they drain because a roll-out has ended, which stops the old release.
func (v *View) hallLosingSpot() *Hall {
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

// byPrice returns the halls, the cheapest first.
func (v *View) byPrice() []*Hall {
	halls := make([]*Hall, 0, len(v.Halls))
	for i := range v.Halls {
		halls = append(halls, &v.Halls[i])
	}
	slices.SortFunc(halls, func(a, b *Hall) int {
		return cmp.Or(cmp.Compare(v.price(a.ID, false), v.price(b.ID, false)), cmp.Compare(a.ID, b.ID))
	})
	return halls
}

// count returns the sum of a number over all halls.
func (v *View) count(number func(hall *Hall) int) int {
	total := 0
	for i := range v.Halls {
		total += number(&v.Halls[i])
	}
	return total
}

// hasHall reports whether a condition holds for some hall.
func (v *View) hasHall(condition func(hall *Hall) bool) bool {
	for i := range v.Halls {
		if condition(&v.Halls[i]) {
			return true
		}
	}
	return false
}
