package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/autoscale"
	"github.com/willowwick/willowwick/clock"
)

const (
	// decisionInterval is the time between decisions on orders of runners; boxes report their demand as often.
	decisionInterval = 400 * time.Millisecond
	// orderTimeout bounds the call that sends one order.
	orderTimeout = time.Second
	// countRetention is how long after the last decision the metrics show its counts.
	countRetention = 5 * time.Second
)

type (
	// autoscaler orders the runners of services on the box that holds the duties.
	autoscaler struct {
		router  *Router
		holder  willowwick.DutyHolder
		api     willowwick.DutyAPI
		scalers map[willowwick.ServiceID]*autoscale.Scaler // empty on a box that isn't the holder; only work uses it
		nextAt  time.Time                                  // of the next decisions; only work uses it

		mu     sync.Mutex
		counts map[runnerKey]runnerCount // for the metrics
	}

	// runnerKey identifies the runners that one order can be about.
	runnerKey struct {
		service willowwick.ServiceID
		hall    willowwick.HallID
		isSpot  bool
	}

	// runnerCount is the number of runners for one runnerKey at the last decision.
	runnerCount struct {
		wanted, present int
		at              time.Time
	}
)

func newAutoscaler(x *Router, holder willowwick.DutyHolder, api willowwick.DutyAPI) *autoscaler {
	return &autoscaler{
		router: x, holder: holder, api: api, scalers: map[willowwick.ServiceID]*autoscale.Scaler{}, counts: map[runnerKey]runnerCount{},
	}
}

// work decides on orders and gives them, if this box holds the duties and the last decisions are long enough ago.
func (a *autoscaler) work(ctx context.Context, now time.Time) {
	switch {
	case !a.holder.Holds(now):
		// Another holder may give orders, which replace this box's.
		clear(a.scalers)
	case !now.Before(a.nextAt):
		a.nextAt = now.Add(decisionInterval)
		a.runOnce(ctx, now)
	}
}

func (a *autoscaler) runOnce(ctx context.Context, now time.Time) {
	for _, service := range a.router.autoscaledServices() {
		scaler := a.scalers[service.Name]
		if scaler == nil {
			scaler = autoscale.New(autoscale.Settings{Utilisation: a.router.settings.RunnerUtilisation})
			a.scalers[service.Name] = scaler
		}
		view := a.router.autoscaleView(now, &service)
		decisions := scaler.Decide(now, view)
		a.recordCounts(now, scaler, view)
		a.sendOrders(ctx, scaler, decisions)
	}
}

// sendOrders sends orders in turn; once one isn't accepted, it sends no reduction.
func (a *autoscaler) sendOrders(ctx context.Context, scaler *autoscale.Scaler, decisions []autoscale.Decision) {
	allAccepted := true
	for _, decision := range decisions {
		if decision.IsReduction() && !allAccepted {
			return
		}
		err := a.sendOrder(ctx, scaler, decision)
		if errors.Is(err, willowwick.ErrNotHolder) || errors.Is(err, willowwick.ErrFenced) {
			return
		}
		allAccepted = allAccepted && err == nil
	}
}

// sendOrder sends one order and tells the scaler what became of it.
func (a *autoscaler) sendOrder(ctx context.Context, scaler *autoscale.Scaler, decision autoscale.Decision) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := decision.RunnerOrder
	subject := willowwick.DutySubject(fmt.Sprintf("%s/%s/%s", willowwick.DutyScale, order.Service, order.Hall))
	err := a.holder.Call(ctx, subject, func(ctx context.Context, holder willowwick.BoxID, token willowwick.FencingToken) error {
		return a.api.OrderRunners(ctx, holder, token, order)
	})
	outcome := orderOutcome(err)
	a.router.metrics.countOrder(order.Spot, outcome)
	slog.Info("runners ordered", "service", order.Service, "hall", order.Hall, "spot", order.Spot, "runners", order.Runners,
		"outcome", outcome, "why", decision.Reason, "listed", decision.Present, "expected", decision.Before,
		"wanted_in_all", decision.Wanted, "demand", decision.Expected, "running", decision.Demand.Running,
		"waiting", decision.Demand.Waiting, "silent", decision.Demand.Silent, "error", err)
	scaler.Note(clock.Now(), order, err)
	return err
}

// orderOutcome returns the name in logs and metrics of what became of an order.
func orderOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, willowwick.ErrNoCapacity):
		return "no_capacity"
	case errors.Is(err, willowwick.ErrThrottled):
		return "throttled"
	case errors.Is(err, willowwick.ErrFenced):
		return "fenced"
	case errors.Is(err, willowwick.ErrNotHolder):
		return "not_holder"
	default:
		return "unknown"
	}
}

// autoscaleView returns what this box knows of a service for the decision on its runners.
func (x *Router) autoscaleView(now time.Time, service *willowwick.RoutedService) autoscale.View {
	view := autoscale.View{
		Service: service.Name, Limits: *service.Autoscaling, Slots: service.Slots,
		HasList: x.sync.endpointsAge(now) <= x.maxStoreDataAge(), IsRolling: x.releases.isRolling(service.Name),
	}
	halls := map[willowwick.HallID]*autoscale.Hall{}
	for id := range service.Autoscaling.HallPrices {
		x.viewHall(halls, id)
	}
	x.addRunners(now, &view, halls)
	for id, demand := range x.peers.hallDemands(now, service.Name) {
		hall := x.viewHall(halls, id)
		hall.HasCounts, hall.Demand = true, demand
	}
	for _, id := range slices.Sorted(maps.Keys(halls)) {
		view.Halls = append(view.Halls, *halls[id])
	}
	return view
}

// viewHall returns a hall of a view, which it adds if it is missing. A hall without boxes has no demand to report.
func (x *Router) viewHall(halls map[willowwick.HallID]*autoscale.Hall, id willowwick.HallID) *autoscale.Hall {
	if halls[id] == nil {
		halls[id] = &autoscale.Hall{ID: id, IsEvacuated: x.evacuations.includes(id), HasCounts: !x.peers.hasBoxes(id)}
	}
	return halls[id]
}

// addRunners adds the listed runners of the view's service to the view and its halls. Runners of more than one release
// show that a roll-out is under way.
func (x *Router) addRunners(now time.Time, view *autoscale.View, halls map[willowwick.HallID]*autoscale.Hall) {
	releases := map[willowwick.ReleaseID]bool{}
	for _, endpoint := range x.pool.Endpoints() {
		if endpoint.Service != view.Service {
			continue
		}
		countRunner(now, x.viewHall(halls, endpoint.Hall), &endpoint)
		view.Slots = max(view.Slots, endpoint.Slots)
		view.ColdTime = max(view.ColdTime, endpoint.ColdUntil.Sub(now))
		if !endpoint.Leaving {
			releases[endpoint.Release] = true
		}
	}
	view.IsRolling = view.IsRolling || len(releases) > 1
}

// countRunner counts a runner in its hall.
func countRunner(now time.Time, hall *autoscale.Hall, endpoint *willowwick.Endpoint) {
	runners := &hall.Ordinary
	if endpoint.Spot {
		runners = &hall.Spot
	}
	switch {
	case endpoint.Leaving:
		runners.Draining++
	case now.Before(endpoint.ColdUntil):
		runners.Cold++
	default:
		runners.Ready++
	}
}

// hasBoxes reports whether any box of a hall is known.
func (p *peers) hasBoxes(hall willowwick.HallID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.knownHalls(), hall)
}

// includes reports whether a hall is evacuated.
func (e *evacuations) includes(hall willowwick.HallID) bool {
	_, isEvacuated := e.inEffect().members[hall]
	return isEvacuated
}

// isRolling reports whether a roll-out of the service is under way.
func (r *releases) isRolling(service willowwick.ServiceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rollout := r.rollouts[service]
	return rollout != nil && rollout.state == willowwick.ReleaseRunning
}

// recordCounts records the numbers of runners wanted and present for the metrics.
func (a *autoscaler) recordCounts(now time.Time, scaler *autoscale.Scaler, view autoscale.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, hall := range view.Halls {
		for isSpot, runners := range map[bool]autoscale.Runners{false: hall.Ordinary, true: hall.Spot} {
			key := runnerKey{view.Service, hall.ID, isSpot}
			a.registerGauges(key)
			a.counts[key] = runnerCount{present: runners.Present(), at: now}
		}
	}
	scaler.Targets(func(hall willowwick.HallID, isSpot bool, runners int) {
		key := runnerKey{view.Service, hall, isSpot}
		count := a.counts[key]
		count.wanted = runners
		a.counts[key] = count
	})
}

// registerGauges adds the gauges of a service, hall and kind unless they exist; the caller holds the lock.
func (a *autoscaler) registerGauges(key runnerKey) {
	if _, isKnown := a.counts[key]; isKnown {
		return
	}
	labels := fmt.Sprintf("{service=%q,hall=%q,kind=%q}", key.service, key.hall, kindName(key.isSpot))
	gauge := func(name string, value func(runnerCount) int) {
		a.router.metrics.set.GetOrCreateGauge(name+labels, func() float64 { return float64(value(a.recentCount(key))) })
	}
	gauge("willowwick_runners_wanted", func(count runnerCount) int { return count.wanted })
	gauge("willowwick_runners_present", func(count runnerCount) int { return count.present })
}

// recentCount returns the counts for the metrics; they are 0 if the last decision is older than countRetention.
func (a *autoscaler) recentCount(key runnerKey) runnerCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	if count := a.counts[key]; clock.Since(count.at) <= countRetention {
		return count
	}
	return runnerCount{}
}

// kindName returns the name of a kind of runners in metrics.
func kindName(isSpot bool) string {
	if isSpot {
		return "spot"
	}
	return "ordinary"
}
