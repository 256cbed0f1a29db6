package autoscale

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// minOrdinaryShare is the least share of ordinary runners in a hall.
	minOrdinaryShare = 0.04
	// minShareAfterLoss is the share of the demand that must fit into the slots left after the loss of a hall's spot runners.
	minShareAfterLoss = 0.8
)

type (
	// group is the runners of one kind in a hall, whose number can be ordered.
	group struct {
		hall   willowwick.HallID
		isSpot bool
	}

	// targets are the numbers of runners to have.
	targets map[group]int
)

// hall returns the target of a hall, of both kinds together.
func (t targets) hall(hall willowwick.HallID) int {
	return t[group{hall, false}] + t[group{hall, true}]
}

// total returns the target of all halls.
func (t targets) total() int {
	total := 0
	for _, runners := range t {
		total += runners
	}
	return total
}

// targetsFor divides a number of runners among the halls by their shares of the demand, within the limits, and in each
// hall between the kinds.
func (s *Scaler) targetsFor(now time.Time, view *View, wanted int) targets {
	result := targets{}
	for i := range view.Halls {
		hall := &view.Halls[i]
		if hall.IsEvacuated {
			continue
		}
		here := int(math.Ceil(float64(wanted) * s.forecast.share(view, hall)))
		here = min(max(here, view.Limits.Min, 1), view.Limits.Max)
		ordinary := here
		if view.offersSpot() {
			ordinary = min(max(int(math.Ceil(minOrdinaryShare*float64(here))), 1), here)
		}
		result[group{hall.ID, false}], result[group{hall.ID, true}] = ordinary, here-ordinary
	}
	s.limitSpotLoss(view, result, wanted)
	s.replaceBlockedSpot(now, view, result, wanted)
	return result
}

// limitSpotLoss replaces spot runners by ordinary ones until the slots that are left after the loss of any one hall's spot
// runners suffice for minShareAfterLoss of the demand.
func (s *Scaler) limitSpotLoss(view *View, result targets, wanted int) {
	needed := int(math.Ceil(minShareAfterLoss * float64(min(wanted, result.total())) * s.settings.Utilisation))
	for _, hall := range view.byPrice() {
		spot, ordinary := group{hall.ID, true}, group{hall.ID, false}
		if short := needed - (result.total() - result[spot]); short > 0 {
			replaced := min(short, result[spot])
			result[spot] -= replaced
			result[ordinary] += replaced
		}
	}
}

// replaceBlockedSpot moves the spot runners that a hall can't get now to other halls. Ordinary runners replace those that
// find no place, as far as the demand would otherwise exceed all slots.
func (s *Scaler) replaceBlockedSpot(now time.Time, view *View, result targets, wanted int) {
	missing := 0
	for i := range view.Halls {
		hall := &view.Halls[i]
		spot := group{hall.ID, true}
		if s.isBlocked(now, hall.ID) && !hall.IsEvacuated {
			missing += max(result[spot]-hall.Spot.Present(), 0)
			result[spot] = min(result[spot], hall.Spot.Present())
		}
	}
	if missing == 0 {
		return
	}
	missing = s.distribute(now, view, result, missing, true)
	needed := int(math.Ceil(float64(wanted) * s.settings.Utilisation))
	s.distribute(now, view, result, min(missing, needed-result.total()), false)
}

// distribute adds runners of a kind in the halls that can have them, and returns how many found no place. The halls get
// equal parts, so that the loss of one hall takes few of them.
func (s *Scaler) distribute(now time.Time, view *View, result targets, missing int, isSpot bool) int {
	var open []*Hall
	for _, hall := range view.byPrice() {
		if !hall.IsEvacuated && !(isSpot && s.isBlocked(now, hall.ID)) {
			open = append(open, hall)
		}
	}
	for i, hall := range open {
		part := int(math.Ceil(float64(missing) / float64(len(open)-i)))
		part = max(min(part, view.Limits.Max-result.hall(hall.ID)), 0)
		result[group{hall.ID, isSpot}] += part
		missing -= part
	}
	return missing
}
