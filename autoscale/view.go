package autoscale

import (
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// View is what a box knows of a service and its runners.
	View struct {
		Service   willowwick.ServiceID
		Limits    willowwick.Autoscaling
		Slots     int           // concurrent requests that a runner can run
		ColdTime  time.Duration // for which a new runner takes few requests, as far as seen
		HasList   bool          // the list of endpoints is known and recent
		IsRolling bool          // a roll-out of a release is under way
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
		Silent  int // in progress at boxes that are no longer heard, when they last were
	}

	// Runners counts the listed runners of one kind in a hall.
	Runners struct {
		Ready    int
		Cold     int // take few requests so far
		Draining int // get no new work
	}
)

// Present returns the number of runners that aren't draining.
func (r Runners) Present() int {
	return r.Ready + r.Cold
}

// total returns the requests in progress; boxes that are no longer heard count as busy as they were.
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

// hasAllCounts reports whether the demand of all halls is known.
func (v *View) hasAllCounts() bool {
	for i := range v.Halls {
		if !v.Halls[i].HasCounts {
			return false
		}
	}
	return len(v.Halls) > 0
}

// hasSpot reports whether spot runners can be ordered and cost less than others.
func (v *View) hasSpot() bool {
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

// sum adds up the demand of all halls.
func (v *View) sum() Demand {
	var total Demand
	for i := range v.Halls {
		demand := v.Halls[i].Demand
		total.Running += demand.Running
		total.Waiting += demand.Waiting
		total.Silent += demand.Silent
	}
	return total
}

// present returns the number of runners that aren't draining.
func (v *View) present() int {
	total := 0
	for i := range v.Halls {
		total += v.Halls[i].Ordinary.Present() + v.Halls[i].Spot.Present()
	}
	return total
}

// usable returns the number of runners that take new work at their full rate.
func (v *View) usable() int {
	total := 0
	for i := range v.Halls {
		if hall := &v.Halls[i]; !hall.IsEvacuated {
			total += hall.Ordinary.Ready + hall.Spot.Ready
		}
	}
	return total
}

// hasAnyCounts reports whether the demand of some hall is known.
func (v *View) hasAnyCounts() bool {
	for i := range v.Halls {
		if v.Halls[i].HasCounts {
			return true
		}
	}
	return false
}

// hasListedSpot reports whether the list has spot runners, also draining ones.
func (v *View) hasListedSpot() bool {
	for i := range v.Halls {
		if spot := v.Halls[i].Spot; spot.Present()+spot.Draining > 0 {
			return true
		}
	}
	return false
}
