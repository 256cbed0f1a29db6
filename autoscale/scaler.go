package autoscale

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// DefaultUtilisation is the default of Settings.Utilisation.
	DefaultUtilisation = 0.75
	// callCost is the cost of a call to the platform's API, in seconds of a runner at price 1.
	callCost = 0.9
	// reductionTime is how long a reduction is expected to last.
	reductionTime = peakWindow
	// minSavingFactor is how many times the cost of its call a reduction must save.
	minSavingFactor = 3
	// minIncreaseShare is the least increase, as a share of a hall's runners.
	minIncreaseShare = 0.1
	// replaceDelay is how long there must have been demand before spot runners replace ordinary ones.
	replaceDelay = 4 * time.Second
	// maxGrowthFactor bounds the runners wanted to a multiple of those that took work lately, since requests that wait
	// while runners are short are no measure of the demand to come.
	maxGrowthFactor = 2
	// usableDecayTime is the time constant at which runners that are gone cease to count for maxGrowthFactor.
	usableDecayTime = 20 * time.Second
	// shortUtilisation is the utilisation above which ordinary runners are ordered also during a roll-out.
	shortUtilisation = 0.9
	// initialLimitShare is the number of runners wanted before the first request, as a share of the limits of all halls, if
	// so many spot runners cost no more than the listed runners do.
	initialLimitShare = 0.35
	// initialListedShare is the number of runners wanted otherwise before the first request, as a share of those listed.
	initialListedShare = 0.5
)

type (
	// Settings are an operator's settings of the orders of runners.
	Settings struct {
		// Utilisation is the share of the runners' slots to aim at, above 0 and at most 1: with a higher one, runners cost
		// less, and more answers are late or by smaller models.
		Utilisation float64
	}

	// Reason tells why an order was given.
	Reason string

	// Decision is an order with what decided it.
	Decision struct {
		willowwick.RunnerOrder
		Reason   Reason
		Present  int     // listed runners of the hall and kind
		Before   int     // listed runners of the hall and kind, and those on the way
		Wanted   int     // runners of all halls and kinds
		Expected float64 // requests in progress that the runners are wanted for
		Demand   Demand  // present demand of all halls
	}

	// Scaler decides on the orders of runners of one service. It is not safe for concurrent use.
	Scaler struct {
		settings     Settings
		forecast     forecast
		orders       map[group]*lastOrder
		listed       map[group]int                // runners that aren't draining, as last listed
		spotPauses   map[willowwick.HallID]*pause // of the orders of spot runners in a hall
		callPause    pause                        // of all orders, after one without an answer
		coldTime     time.Duration                // longest View.ColdTime so far
		usable       float64                      // average of the runners that took work lately
		decidedAt    time.Time
		initial      int       // runners wanted before the first request; 0 while not decided
		mostListed   int       // most runners that were listed at once before the first request
		mostListedAt time.Time // when mostListed rose last
		targets      targets   // as last computed
	}
)

// Reasons of orders.
const (
	ReasonStart  Reason = "start"  // there was no request yet
	ReasonDemand Reason = "demand" // more are needed
	ReasonLost   Reason = "lost"   // runners went without an order, or an order was not executed
	ReasonSaving Reason = "saving" // fewer are needed
)

// New returns a scaler that knows of no earlier orders or demand.
func New(settings Settings) *Scaler {
	return &Scaler{
		settings: settings, orders: map[group]*lastOrder{}, listed: map[group]int{}, spotPauses: map[willowwick.HallID]*pause{},
	}
}

// Targets calls use with the runners wanted in each hall, of each kind, as last decided.
func (s *Scaler) Targets(use func(hall willowwick.HallID, isSpot bool, runners int)) {
	for at, runners := range s.targets {
		use(at.hall, at.isSpot, runners)
	}
}

// IsReduction reports whether the order takes runners away.
func (d *Decision) IsReduction() bool {
	return d.Runners < d.Before
}

// Decide returns the orders to give now, increases first; once one isn't accepted, no reduction may be given. It returns
// none while the list of endpoints or the demand is unknown.
func (s *Scaler) Decide(now time.Time, view View) []Decision {
	if !view.HasList || len(view.Halls) == 0 || view.Slots <= 0 || view.present() == 0 {
		return nil
	}
	s.coldTime = max(s.coldTime, view.ColdTime)
	s.observeList(now, &view)
	if !view.hasAnyCounts() {
		return nil
	}
	s.noteUsable(now, &view)
	s.forecast.add(now, &view, view.Limits.BootTime+s.coldTime)
	if now.Before(s.callPause.until) {
		return nil
	}
	expected := s.forecast.demand()
	wanted, isKnown := s.wanted(now, &view, expected)
	if !isKnown {
		return nil
	}
	s.targets = s.targetsFor(now, &view, wanted)
	decisions := s.decideAll(now, &view)
	for i := range decisions {
		decisions[i].Wanted, decisions[i].Expected, decisions[i].Demand = wanted, expected, view.demand()
	}
	return decisions
}

// noteUsable updates the average of the runners that take work; it follows an increase at once.
func (s *Scaler) noteUsable(now time.Time, view *View) {
	usable := float64(view.usable())
	if !s.decidedAt.IsZero() {
		s.usable += (usable - s.usable) * weight(now.Sub(s.decidedAt), usableDecayTime)
	}
	s.usable, s.decidedAt = max(s.usable, usable), now
}

// wanted returns the number of runners that the fleet should have. Before the first request, it is the initial number,
// which is not known if spot runners are listed: another box has ordered those, and decided on the number.
func (s *Scaler) wanted(now time.Time, view *View, expected float64) (runners int, isKnown bool) {
	if s.forecast.isBusy() {
		wanted := int(math.Ceil(expected / (float64(view.Slots) * s.settings.Utilisation)))
		return min(wanted, int(maxGrowthFactor*s.usable)), true
	}
	if s.initial == 0 && view.offersSpot() && !view.hasListedSpot() {
		s.initial = s.initialRunners(now, view)
	}
	return s.initial, s.initial > 0
}

// initialRunners returns the number of runners to have before the first request, or 0 while runners may still be missing
// from the list.
func (s *Scaler) initialRunners(now time.Time, view *View) int {
	present := view.present()
	if present > s.mostListed {
		s.mostListed, s.mostListedAt = present, now
	}
	byLimits := int(math.Ceil(initialLimitShare * float64(view.Limits.Max*len(view.Halls))))
	if float64(byLimits)*view.Limits.SpotPrice <= float64(present) {
		return byLimits
	}
	// Runners that start together are listed one by one, and runners that another box has ordered are listed after their boot.
	if now.Sub(s.mostListedAt) < view.Limits.BootTime+listDelay {
		return 0
	}
	return int(math.Ceil(initialListedShare * float64(present)))
}

// decideAll returns the orders that turn the listed and expected runners into the targets: increases first, those in the
// cheapest hall first, then reductions.
func (s *Scaler) decideAll(now time.Time, view *View) []Decision {
	var increases, reductions []Decision
	for _, hall := range view.byPrice() {
		for _, isSpot := range []bool{true, false} {
			decision, hasOrder := s.decide(now, view, hall, isSpot)
			switch {
			case !hasOrder:
			case decision.IsReduction():
				reductions = append(reductions, decision)
			default:
				increases = append(increases, decision)
			}
		}
	}
	return append(increases, reductions...)
}

// decide returns the order for the runners of a kind in a hall, and false if none is to be given.
func (s *Scaler) decide(now time.Time, view *View, hall *Hall, isSpot bool) (decision Decision, hasOrder bool) {
	if hall.IsEvacuated || isSpot && (!view.offersSpot() || s.isBlocked(now, hall.ID)) {
		return Decision{}, false
	}
	target, before := s.targets[group{hall.ID, isSpot}], s.expected(now, view, hall, isSpot)
	decision = Decision{
		RunnerOrder: willowwick.RunnerOrder{Service: view.Service, Hall: hall.ID, Spot: isSpot, Runners: target},
		Present:     hall.runners(isSpot).Present(), Before: before,
	}
	switch {
	case target > before && s.shouldAdd(now, view, hall, isSpot, target-before):
		decision.Reason = s.reasonToAdd(hall, isSpot, before)
		return decision, true
	case target < before && s.shouldRemove(now, view, hall, isSpot, before-target):
		decision.Reason = s.reasonToRemove()
		return decision, true
	default:
		return Decision{}, false
	}
}

// shouldAdd reports whether a hall should get more runners of a kind. During a roll-out, ordinary runners are ordered only
// if there are too few: those of the new release are ordinary ones, while new spot runners are of the old release.
func (s *Scaler) shouldAdd(now time.Time, view *View, hall *Hall, isSpot bool, added int) bool {
	if view.IsRolling && !isSpot && !s.isShort(view) {
		return false
	}
	before := s.expected(now, view, hall, isSpot)
	if !view.IsRolling {
		before += s.expected(now, view, hall, !isSpot)
	}
	return float64(added) >= minIncreaseShare*float64(before) || before == 0
}

// isShort reports whether the present demand takes nearly all slots.
func (s *Scaler) isShort(view *View) bool {
	return s.forecast.fastMean > shortUtilisation*float64(view.usable()*view.Slots)
}

// shouldRemove reports whether the removal of runners saves enough, and neither a roll-out, nor unknown demand, nor a
// pending order, nor a shortage of runners that take work is against it.
func (s *Scaler) shouldRemove(now time.Time, view *View, hall *Hall, isSpot bool, removed int) bool {
	if view.IsRolling || !view.hasAllCounts() || s.isPending(now, view, hall, isSpot) {
		return false
	}
	switch {
	case !s.forecast.isBusy() && isSpot:
		return false // another box ordered them, for a demand that this box may not know
	case !isSpot && s.isBlocked(now, hall.ID):
		return false
	case s.forecast.isBusy() && !s.leavesEnough(now, hall, isSpot, removed):
		return false
	}
	returnTime := view.Limits.BootTime + s.coldTime
	saved := float64(removed) * view.price(hall.ID, isSpot) * (reductionTime - returnTime).Seconds()
	return saved > minSavingFactor*callCost
}

// leavesEnough reports whether enough runners that take work are left after the removal of some. Before the peaks of the
// demand are known, only ordinary runners are removed, and only if spot runners replace them.
func (s *Scaler) leavesEnough(now time.Time, hall *Hall, isSpot bool, removed int) bool {
	isEnough := hall.Ordinary.Ready+hall.Spot.Ready-removed >= s.targets.hall(hall.ID)
	if !s.forecast.isSettled(now) {
		isReplaced := !isSpot && hall.Spot.Ready <= s.targets[group{hall.ID, true}]
		return isEnough && isReplaced && now.Sub(s.forecast.busyAt) >= replaceDelay
	}
	return isEnough || s.hasOtherKind(hall, isSpot)
}

// isPending reports whether the list doesn't show the last order for a hall and kind yet.
func (s *Scaler) isPending(now time.Time, view *View, hall *Hall, isSpot bool) bool {
	return s.expected(now, view, hall, isSpot) != hall.runners(isSpot).Present()
}

// hasOtherKind reports whether a hall has all runners of the other kind that it should have.
func (s *Scaler) hasOtherKind(hall *Hall, isSpot bool) bool {
	return hall.runners(!isSpot).Ready >= s.targets[group{hall.ID, !isSpot}]
}

func (s *Scaler) reasonToAdd(hall *Hall, isSpot bool, before int) Reason {
	if order := s.orders[group{hall.ID, isSpot}]; order != nil && order.runners > before {
		return ReasonLost
	}
	if !s.forecast.isBusy() {
		return ReasonStart
	}
	return ReasonDemand
}

func (s *Scaler) reasonToRemove() Reason {
	if !s.forecast.isBusy() {
		return ReasonStart
	}
	return ReasonSaving
}
