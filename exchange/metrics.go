package exchange

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/reservation"
)

// routerMetrics are the metrics of one router.
type routerMetrics struct {
	set           *metrics.Set
	retriesDenied *metrics.Counter
	hintsDropped  *metrics.Counter
	hintsSent     *metrics.Counter
	roundTrips    *metrics.Histogram // seconds that the opening of a connection to an endpoint, or a call to another box took
	firstArrivals *metrics.Histogram // seconds from the acceptance of a connection until its first request was read
	distances     distanceMetrics
}

func newRouterMetrics(x *Router) *routerMetrics {
	set := metrics.NewSet()
	m := &routerMetrics{
		set:           set,
		retriesDenied: set.NewCounter("willowwick_repeats_denied_total"),
		hintsDropped:  set.NewCounter("willowwick_hints_dropped_total"),
		hintsSent:     set.NewCounter("willowwick_hint_datagrams_total"),
		roundTrips:    set.NewHistogram("willowwick_round_trip_seconds"),
		firstArrivals: set.NewHistogram("willowwick_first_request_arrival_seconds"),
		distances:     newDistanceMetrics(set, x.topology),
	}
	set.NewGauge("willowwick_requests_in_flight", func() float64 { return float64(x.inFlight.Load()) })
	set.NewGauge("willowwick_caller_connections_closed_unread", func() float64 { return float64(x.callers.Unread()) })
	set.NewGauge("willowwick_new_connection_pace", func() float64 { return x.callersAdmission.Pace() })
	set.NewGauge("willowwick_requests_waiting", func() float64 { return float64(x.gate.WaitingCount()) })
	set.NewGauge("willowwick_config_version", func() float64 { return float64(x.configVersion()) })
	set.NewGauge("willowwick_halls_evacuated", func() float64 { return float64(x.evacuations.count()) })
	set.NewGauge("willowwick_connections_dialed", func() float64 { return float64(x.conns.Stats().Dialed) })
	set.NewGauge("willowwick_connections_reused", func() float64 { return float64(x.conns.Stats().Reused) })
	set.NewGauge("willowwick_connections_stale", func() float64 { return float64(x.conns.Stats().Stale) })
	set.NewGauge("willowwick_surplus_answers", func() float64 { return float64(x.conns.Stats().Surplus) })
	set.NewGauge("willowwick_boxes", func() float64 { return float64(x.peers.fleetSize()) })
	set.NewGauge("willowwick_store_held_read_seconds", func() float64 { return x.sync.longPollAge(clock.Now()).Seconds() })
	set.NewGauge("willowwick_store_declared_age_seconds", func() float64 { return x.sync.declarationsAnswerAge(clock.Now()).Seconds() })
	set.NewGauge("willowwick_config_age_seconds", func() float64 { return x.sync.configAge(clock.Now()).Seconds() })
	set.NewGauge("willowwick_endpoints_limited", func() float64 { return float64(x.limits.Count()) })
	set.NewGauge("willowwick_services_with_reservations", func() float64 { return float64(len(x.reservations.Required(clock.Now()))) })
	set.NewGauge("willowwick_endpoints_leaving", func() float64 {
		leaving, _ := x.pool.CountNotices(clock.Now())
		return float64(leaving)
	})
	set.NewGauge("willowwick_endpoints_resting", func() float64 {
		_, resting := x.pool.CountNotices(clock.Now())
		return float64(resting)
	})
	set.NewGauge("willowwick_cut_off_from_endpoints", func() float64 {
		if x.reach.isCutOff() {
			return 1
		}
		return 0
	})
	set.NewGauge("willowwick_grants_permits", func() float64 {
		if x.peers.granter.IsGranting() {
			return 1
		}
		return 0
	})
	set.NewGauge("willowwick_requests_suspected", func() float64 {
		suspected, _ := x.poison.Counts()
		return float64(suspected)
	})
	set.NewGauge("willowwick_requests_quarantined", func() float64 {
		_, refused := x.poison.Counts()
		return float64(refused)
	})
	set.NewGauge("willowwick_prompt_parts_suspected", func() float64 {
		suspected, _ := x.poison.CountParts()
		return float64(suspected)
	})
	set.NewGauge("willowwick_prompt_parts_quarantined", func() float64 {
		_, refused := x.poison.CountParts()
		return float64(refused)
	})
	return m
}

func (m *routerMetrics) countOutcome(name string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_requests_ended_total{how=%q}", name)).Inc()
}

func (m *routerMetrics) countSend(kind sendKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_sends_total{outcome=%q}", sendKindNames[kind])).Inc()
}

// countDeparture counts a send whose endpoint was about to end.
func (m *routerMetrics) countDeparture(kind sendKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_sends_at_departing_endpoints_total{outcome=%q}", sendKindNames[kind])).Inc()
}

func (m *routerMetrics) countAnswer(route *willowwick.Route, took time.Duration) {
	m.countOutcome("answered")
	m.set.GetOrCreateHistogram(fmt.Sprintf("willowwick_answer_seconds{route=%q}", route.Name)).Update(took.Seconds())
}

func (m *routerMetrics) countRefusal(refusal *willowwick.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_refusals_total{kind=%q,code=%q}", refusal.Kind, refusal.Code)).Inc()
}

func (m *routerMetrics) countPassedOn(kind sendKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_requests_passed_on_total{outcome=%q}", sendKindNames[kind])).Inc()
}

func (m *routerMetrics) countHintDropped() {
	m.hintsDropped.Inc()
}

func (m *routerMetrics) countHintSent() {
	m.hintsSent.Inc()
}

// countSendCutByCrash counts a send that failed because its endpoint crashed.
func (m *routerMetrics) countSendCutByCrash() {
	m.set.GetOrCreateCounter("willowwick_sends_ended_with_endpoint_total").Inc()
}

// countSendToLimited counts a send to an endpoint that has reported a rate limit.
func (m *routerMetrics) countSendToLimited() {
	m.set.GetOrCreateCounter("willowwick_sends_to_limited_endpoints_total").Inc()
}

// countSendToDraining counts a send to an endpoint that had reported that it is draining.
func (m *routerMetrics) countSendToDraining() {
	m.set.GetOrCreateCounter("willowwick_sends_to_leaving_endpoints_total").Inc()
}

// countSendToBackingOff counts a send to an endpoint that had asked for backoff.
func (m *routerMetrics) countSendToBackingOff() {
	m.set.GetOrCreateCounter("willowwick_sends_to_resting_endpoints_total").Inc()
}

// countPermitAsked counts a request for permits by its answer.
func (m *routerMetrics) countPermitAsked(answer string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_permits_asked_total{answer=%q}", answer)).Inc()
}

// countPermitsGranted counts permits that this box granted.
func (m *routerMetrics) countPermitsGranted(permits int) {
	m.set.GetOrCreateCounter("willowwick_permits_granted_total").Add(permits)
}

// countReservations counts the requests that asked this box for reservations, and the endpoints that were told to have rejected one.
func (m *routerMetrics) countReservations(call *reservation.Call, reply *reservation.Reply) {
	granted := 0
	for _, endpoint := range reply.Granted {
		if endpoint != "" {
			granted++
		}
	}
	m.set.GetOrCreateCounter("willowwick_reservations_granted_total").Add(granted)
	m.set.GetOrCreateCounter("willowwick_reservations_denied_total").Add(len(call.Asks) - granted)
	m.set.GetOrCreateCounter("willowwick_reserved_rejections_total").Add(len(call.Rejected))
}

// countReservationMissed counts a request that was refused since it got no reservation in time.
func (m *routerMetrics) countReservationMissed() {
	m.set.GetOrCreateCounter("willowwick_reservations_missed_total").Inc()
}

// countListSent counts a list of endpoints that was sent to another box, nil for none.
func (m *routerMetrics) countListSent(list *EndpointList) {
	if list == nil {
		return
	}
	form := "changes"
	if list.Since == 0 {
		form = "whole"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_lists_told_total{form=%q}", form)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_list_entries_told_total{form=%q}", form)).Add(len(list.Endpoints) + len(list.Gone))
}

// countEra counts a restore of the store from a copy.
func (m *routerMetrics) countEra() {
	m.set.GetOrCreateCounter("willowwick_store_eras_begun_total").Inc()
}

// countUsageReport counts a window of usage by the outcome of its report.
func (m *routerMetrics) countUsageReport(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_usage_reports_total{outcome=%q}", outcome)).Inc()
}

// registerDuties adds the gauges of the duties.
func (m *routerMetrics) registerDuties(d *duties) {
	m.set.NewGauge("willowwick_duties_held", func() float64 {
		if d.Holds(clock.Now()) {
			return 1
		}
		return 0
	})
	m.set.NewGauge("willowwick_duties_token", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.lease.Token())
	})
}

// countDutyGrant counts a write of the lease on the duties.
func (m *routerMetrics) countDutyGrant(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_duty_grants_total{outcome=%q}", outcome)).Inc()
}

// countDutyCall counts a call to the platform's API.
func (m *routerMetrics) countDutyCall(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_duty_calls_total{outcome=%q}", outcome)).Inc()
}

func (m *routerMetrics) countRetryDenied() {
	m.retriesDenied.Inc()
}

// countOrder counts an order of runners by its outcome.
func (m *routerMetrics) countOrder(isSpot bool, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_runner_orders_total{kind=%q,outcome=%q}", kindName(isSpot), outcome)).Inc()
}
