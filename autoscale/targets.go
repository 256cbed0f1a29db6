package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// ordinaryShare is the least share of ordinary runners in a hall, which remain when its spot runners go.
	ordinaryShare = 0.04
	// lossShare is the part of the demand that must fit into all slots after the loss of a hall's spot runners: smaller
	// models bear the rest until there are others.
	lossShare = 0.8
	// limitShare and startShare tell how many runners are kept until the demand is known: a share of the limits of all halls
	// together where so many spot runners cost no more than those listed, or else of those found at the start.
	limitShare = 0.35
	startShare = 0.5
)

type (
	// subject is one number that can be ordered.
	subject struct {
		hall   willowwick.HallID
		isSpot bool
	}

	// targets are the runners to have, by hall and kind.
	targets map[subject]int
)

// hall returns the target of a hall, of both kinds together.
func (t targets) hall(hall willowwick.HallID) int {
	return t[subject{hall, false}] + t[subject{hall, true}]
}

// total returns the target of all halls.
func (t targets) total() int {
	total := 0
	for _, runners := range t {
		total += runners
	}
	return total
}

// spread divides a number of runners among the halls by their shares of the demand, within the limits, and in each hall
// between the kinds.
func (s *Scaler) spread(now time.Time, view *View, wanted int) targets {
	spread := targets{}
	for i := range view.Halls {
		hall := &view.Halls[i]
		if hall.IsEvacuated {
			continue
		}
		here := int(math.Ceil(float64(wanted) * s.forecast.share(view, hall)))
		here = min(max(here, view.Limits.Min, 1), view.Limits.Max)
		ordinary := here
		if view.hasSpot() {
			ordinary = min(max(int(math.Ceil(ordinaryShare*float64(here))), 1), here)
		}
		spread[subject{hall.ID, false}], spread[subject{hall.ID, true}] = ordinary, here-ordinary
	}
	s.keepAfterLoss(view, spread, wanted)
	s.moveBlocked(now, view, spread, wanted)
	return spread
}

// keepAfterLoss turns spot runners into ordinary ones until what is left after the loss of any hall's spot runners runs
// lossShare of the demand with all its slots.
func (s *Scaler) keepAfterLoss(view *View, spread targets, wanted int) {
	needed := int(math.Ceil(lossShare * float64(min(wanted, spread.total())) * s.settings.Utilisation))
	for _, hall := range view.byPrice() {
		spot, ordinary := subject{hall.ID, true}, subject{hall.ID, false}
		if short := needed - (spread.total() - spread[spot]); short > 0 {
			turned := min(short, spread[spot])
			spread[spot] -= turned
			spread[ordinary] += turned
		}
	}
}

// moveBlocked orders elsewhere what a hall can't have of spot runners now. Ordinary ones are ordered for them only where
// the demand would otherwise exceed all slots.
func (s *Scaler) moveBlocked(now time.Time, view *View, spread targets, wanted int) {
	missing := 0
	for i := range view.Halls {
		hall := &view.Halls[i]
		spot := subject{hall.ID, true}
		if s.isBlocked(now, hall.ID) && !hall.IsEvacuated {
			missing += max(spread[spot]-hall.Spot.Present(), 0)
			spread[spot] = min(spread[spot], hall.Spot.Present())
		}
	}
	if missing == 0 {
		return
	}
	missing = s.addRunners(now, view, spread, missing, true)
	needed := int(math.Ceil(float64(wanted) * s.settings.Utilisation))
	s.addRunners(now, view, spread, min(missing, needed-spread.total()), false)
}

// addRunners adds runners of a kind in the halls that can have them, and returns how many found no place. Each hall takes
// an equal part, since many in one would go together.
func (s *Scaler) addRunners(now time.Time, view *View, spread targets, missing int, isSpot bool) int {
	var open []*Hall
	for _, hall := range view.byPrice() {
		if !hall.IsEvacuated && !(isSpot && s.isBlocked(now, hall.ID)) {
			open = append(open, hall)
		}
	}
	for i, hall := range open {
		part := int(math.Ceil(float64(missing) / float64(len(open)-i)))
		part = max(min(part, view.Limits.Max-spread.hall(hall.ID)), 0)
		spread[subject{hall.ID, isSpot}] += part
		missing -= part
	}
	return missing
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
