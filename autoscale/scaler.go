package autoscale

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// DefaultUtilisation is the default of Settings.Utilisation.
	DefaultUtilisation = 0.75
	// callPrice is the price of a call to the platform's API, in seconds of a runner at price 1.
	callPrice = 0.9
	// stayTime is how long runners that are ordered away are expected not to be needed.
	stayTime = peakWindow
	// upShare is the least change upwards, as a share of a hall's runners: smaller ones are borne by the utilisation.
	upShare = 0.1
	// exchangeTime is how long the demand must be known before ordinary runners are taken in exchange for spot runners.
	exchangeTime = 4 * time.Second
	// savingFactor is how often an order of fewer runners must save the price of its call.
	savingFactor = 3
	// maxGrowth bounds the runners wanted to a multiple of those that took work lately: what waits while they are short is
	// worked off once, and no measure of what comes after.
	maxGrowth = 2
	// usableTime is the time constant at which runners that are gone cease to count for maxGrowth.
	usableTime = 20 * time.Second
	// shortUtilisation is the utilisation above which ordinary runners are ordered also during a roll-out.
	shortUtilisation = 0.9
)

type (
	// Settings are an operator's settings of the orders of runners.
	Settings struct {
		// Utilisation is the share of the runners' slots to aim at, above 0 and at most 1: a higher one costs less for
		// runners and gives more late answers and more of them by smaller models.
		Utilisation float64
	}

	// Reason tells why an order was given.
	Reason string

	// Decision is an order with what decided it.
	Decision struct {
		willowwick.RunnerOrder
		Reason   Reason
		Present  int     // listed runners of this hall and kind
		Before   int     // of this hall and kind, those on the way included
		Wanted   int     // runners of all halls and kinds
		Expected float64 // requests in progress that are provided for
		Demand   Demand  // of all halls
	}

	// Scaler decides on the orders of runners of one service. It is not safe for concurrent use.
	Scaler struct {
		settings   Settings
		forecast   forecast
		standing   map[subject]*standing
		listed     map[subject]int              // runners that aren't draining, as last seen
		blocked    map[willowwick.HallID]*pause // spot runners of a hall
		unanswered pause                        // all calls
		coldTime   time.Duration
		usable     float64 // runners that took work lately
		decidedAt  time.Time
		start      int       // runners wanted before the first request; 0 while not decided
		mostListed int       // runners, before the first request
		grownAt    time.Time // when mostListed rose last
		targets    targets   // as last computed
	}
)

// Reasons of orders.
const (
	ReasonStart  Reason = "start"  // more runners than are likely to be needed were there before any request
	ReasonDemand Reason = "demand" // more are needed
	ReasonLost   Reason = "lost"   // runners went that nobody ordered away, or an order was not executed
	ReasonSaving Reason = "saving" // fewer are needed
)

// New returns a scaler that knows nothing yet.
func New(settings Settings) *Scaler {
	return &Scaler{settings: settings, standing: map[subject]*standing{}, listed: map[subject]int{}, blocked: map[willowwick.HallID]*pause{}}
}

// Targets calls use with the runners wanted in each hall, of each kind, as last decided.
func (s *Scaler) Targets(use func(hall willowwick.HallID, isSpot bool, runners int)) {
	for at, runners := range s.targets {
		use(at.hall, at.isSpot, runners)
	}
}

// Takes reports whether the decision takes runners away.
func (d *Decision) Takes() bool {
	return d.Runners < d.Before
}

// Decide returns the orders to give now, in this order; once one isn't accepted, those that take runners away must not be
// given. It decides nothing while the list of endpoints or the demand is unknown.
func (s *Scaler) Decide(now time.Time, view View) []Decision {
	if !view.HasList || len(view.Halls) == 0 || view.Slots <= 0 || view.present() == 0 {
		return nil
	}
	s.coldTime = max(s.coldTime, view.ColdTime)
	s.observe(now, &view)
	if !view.hasAnyCounts() {
		return nil
	}
	s.noteUsable(now, &view)
	s.forecast.add(now, &view, view.Limits.BootTime+s.coldTime)
	if now.Before(s.unanswered.until) {
		return nil
	}
	expected := s.forecast.demand()
	wanted, isKnown := s.wanted(now, &view, expected)
	if !isKnown {
		return nil
	}
	s.targets = s.spread(now, &view, wanted)
	decisions := s.compare(now, &view)
	for i := range decisions {
		decisions[i].Wanted, decisions[i].Expected, decisions[i].Demand = wanted, expected, view.sum()
	}
	return decisions
}

// noteUsable follows the number of runners that take work.
func (s *Scaler) noteUsable(now time.Time, view *View) {
	usable := float64(view.usable())
	if !s.decidedAt.IsZero() {
		s.usable += (usable - s.usable) * weight(now.Sub(s.decidedAt), usableTime)
	}
	s.usable, s.decidedAt = max(s.usable, usable), now
}

// wanted returns the number of runners that the fleet should have.
//
// Before the first request, it is a guess, unless there are spot runners: those were ordered, so this has been decided
// before.
func (s *Scaler) wanted(now time.Time, view *View, expected float64) (runners int, isKnown bool) {
	if s.forecast.isBusy() {
		wanted := int(math.Ceil(expected / (float64(view.Slots) * s.settings.Utilisation)))
		return min(wanted, int(maxGrowth*s.usable)), true
	}
	if s.start == 0 && view.hasSpot() && !view.hasListedSpot() {
		s.start = s.startFor(now, view)
	}
	return s.start, s.start > 0
}

// startFor returns the number of runners to have before the first request, or 0 while the list is not complete enough.
func (s *Scaler) startFor(now time.Time, view *View) int {
	present := view.present()
	if present > s.mostListed {
		s.mostListed, s.grownAt = present, now
	}
	byLimits := int(math.Ceil(limitShare * float64(view.Limits.Max*len(view.Halls))))
	if float64(byLimits)*view.Limits.SpotPrice <= float64(present) {
		return byLimits
	}
	// Runners that start together are listed one after the other, and those that a former holder ordered after their boot.
	if now.Sub(s.grownAt) < view.Limits.BootTime+listDelay {
		return 0
	}
	return int(math.Ceil(startShare * float64(present)))
}

// compare returns the orders that turn what is there and on the way into the targets: first more, in the cheapest hall
// first, then fewer, which are not to be given if one of the former isn't accepted.
func (s *Scaler) compare(now time.Time, view *View) []Decision {
	var more, fewer []Decision
	for _, hall := range view.byPrice() {
		if hall.IsEvacuated {
			continue
		}
		for _, isSpot := range []bool{true, false} {
			if isSpot && (!view.hasSpot() || s.isBlocked(now, hall.ID)) {
				continue
			}
			target, before := s.targets[subject{hall.ID, isSpot}], s.expected(now, view, hall, isSpot)
			decision := Decision{
				RunnerOrder: willowwick.RunnerOrder{Service: view.Service, Hall: hall.ID, Spot: isSpot, Runners: target},
				Present:     hall.runners(isSpot).Present(), Before: before,
			}
			switch {
			case target > before && s.isWorthMore(now, view, hall, isSpot, target-before):
				decision.Reason = s.reasonForMore(hall, isSpot, before)
				more = append(more, decision)
			case target < before && s.isWorthFewer(now, view, hall, isSpot, before-target):
				decision.Reason = s.reasonForFewer()
				fewer = append(fewer, decision)
			}
		}
	}
	return append(more, fewer...)
}

// isWorthMore reports whether a hall should get more runners of a kind. In a roll-out those of the new release are ordinary
// ones, and spot runners that are ordered are of the old one, which needs them while it has most of the work.
func (s *Scaler) isWorthMore(now time.Time, view *View, hall *Hall, isSpot bool, more int) bool {
	if view.IsRolling && !isSpot && !s.isShort(view) {
		return false
	}
	before := s.expected(now, view, hall, isSpot)
	if !view.IsRolling {
		before += s.expected(now, view, hall, !isSpot)
	}
	return float64(more) >= upShare*float64(before) || before == 0
}

// isShort reports whether the present demand takes nearly all slots.
func (s *Scaler) isShort(view *View) bool {
	return s.forecast.fast > shortUtilisation*float64(view.usable()*view.Slots)
}

// isWorthFewer reports whether fewer runners of a kind save more than the call and their likely return cost, and whether
// nothing speaks against it: a roll-out, unknown demand, or other runners that are still on the way.
func (s *Scaler) isWorthFewer(now time.Time, view *View, hall *Hall, isSpot bool, fewer int) bool {
	if view.IsRolling || !view.hasAllCounts() || s.isUnderWay(now, view, hall, isSpot) {
		return false
	}
	switch {
	case !s.forecast.isBusy() && isSpot:
		return false // they were ordered for a demand that this box may not know
	case !isSpot && s.isBlocked(now, hall.ID):
		return false
	case s.forecast.isBusy() && !s.mayTake(now, hall, isSpot, fewer):
		return false
	}
	returns := view.Limits.BootTime + s.coldTime
	saved := float64(fewer) * view.price(hall.ID, isSpot) * (stayTime - returns).Seconds()
	return saved > savingFactor*callPrice
}

// mayTake reports whether enough runners that take work are left. Before the peaks of the demand are known, ordinary runners
// are taken only in exchange for spot runners.
func (s *Scaler) mayTake(now time.Time, hall *Hall, isSpot bool, fewer int) bool {
	isEnough := hall.Ordinary.Ready+hall.Spot.Ready-fewer >= s.targets.hall(hall.ID)
	if !s.forecast.isSettled(now) {
		isExchange := !isSpot && hall.Spot.Ready <= s.targets[subject{hall.ID, true}]
		return isEnough && isExchange && now.Sub(s.forecast.busyAt) >= exchangeTime
	}
	return isEnough || s.isFullWithout(hall, isSpot)
}

// isUnderWay reports whether the list doesn't show the last order on a subject yet.
func (s *Scaler) isUnderWay(now time.Time, view *View, hall *Hall, isSpot bool) bool {
	return s.expected(now, view, hall, isSpot) != hall.runners(isSpot).Present()
}

// isFullWithout reports whether the other kind of a hall is complete, so that fewer of this one leave the target.
func (s *Scaler) isFullWithout(hall *Hall, isSpot bool) bool {
	return hall.runners(!isSpot).Ready >= s.targets[subject{hall.ID, !isSpot}]
}

func (s *Scaler) reasonForMore(hall *Hall, isSpot bool, before int) Reason {
	if order := s.standing[subject{hall.ID, isSpot}]; order != nil && order.runners > before {
		return ReasonLost
	}
	if !s.forecast.isBusy() {
		return ReasonStart
	}
	return ReasonDemand
}

func (s *Scaler) reasonForFewer() Reason {
	if !s.forecast.isBusy() {
		return ReasonStart
	}
	return ReasonSaving
}
