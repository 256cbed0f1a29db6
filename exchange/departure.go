package exchange

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/route"
)

const (
	// departurePoll is how often a request that should leave its endpoint, but has nowhere to go, looks again.
	departurePoll = 100 * time.Millisecond
	// reportTimeout bounds a question to an endpoint that is about to end.
	reportTimeout = 500 * time.Millisecond
)

var errDeparted = errors.New("the endpoint is about to end")

type (
	// departures tells the requests at an endpoint when it is about to end.
	departures struct {
		lengths *route.AnswerLengths
		reports willowwick.EndpointReports // nil if nothing tells more than the entries
		workers fleet.Workers

		mu    sync.Mutex
		sends map[willowwick.EndpointID]map[*send]bool // at endpoints that the fleet orders
	}

	// departureNotice says when an endpoint ends.
	departureNotice struct {
		knownAt  time.Time
		leavesAt time.Time
	}

	// departingGroup is a set of endpoints whose end is announced together.
	departingGroup struct {
		hall    willowwick.HallID
		service willowwick.ServiceID
		isSpot  bool
	}

	// departureWatch is what a send knows of the end of its endpoint.
	departureWatch struct {
		notice atomic.Pointer[departureNotice] // nil unless the endpoint is about to end
	}
)

func newDepartures() *departures {
	return &departures{lengths: route.NewAnswerLengths(), sends: map[willowwick.EndpointID]map[*send]bool{}}
}

// announce tells the requests at endpoints that are about to end, and logs which these are.
func (d *departures) announce(leaving []willowwick.Endpoint, now time.Time) {
	logDepartures(leaving)
	for _, endpoint := range leaving {
		d.notify(endpoint.ID, &departureNotice{now, endpoint.LeavesAt})
	}
}

// logDepartures logs how many endpoints of each hall leave.
func logDepartures(leaving []willowwick.Endpoint) {
	counts := map[departingGroup]int{}
	for _, endpoint := range leaving {
		counts[departingGroup{endpoint.Hall, endpoint.Service, endpoint.Spot}]++
	}
	for group, count := range counts {
		slog.Info("endpoints leave at short notice", "hall", group.hall, "service", group.service, "spot", group.isSpot, "endpoints", count)
	}
}

// ask asks endpoints that are draining at short notice when they end, if this box has requests there: the entry doesn't
// say it.
func (d *departures) ask(draining []willowwick.Endpoint) {
	logDepartures(draining)
	if d.reports == nil {
		return
	}
	for _, endpoint := range draining {
		if d.hasRequests(endpoint.ID) {
			d.workers.Go(func() { d.askOne(endpoint) })
		}
	}
}

func (d *departures) askOne(endpoint willowwick.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	left, isKnown, err := d.reports.TimeLeft(ctx, endpoint)
	if err != nil {
		slog.Info("endpoint doesn't tell when it ends", "endpoint", endpoint.ID, "error", err.Error())
		return
	}
	if isKnown {
		now := clock.Now()
		d.notify(endpoint.ID, &departureNotice{now, now.Add(left)})
	}
}

func (d *departures) hasRequests(endpoint willowwick.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sends[endpoint]) > 0
}

func (d *departures) notify(endpoint willowwick.EndpointID, notice *departureNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.sends[endpoint] {
		s.departure.notice.Store(notice)
		s.conn.Interrupt()
	}
}

// watch registers a send, which has its connection, until the returned function is called.
func (d *departures) watch(s *send) (stop func()) {
	if !s.table.ordersEndpoints(s.service) {
		return func() {}
	}
	id := s.ticket.Endpoint.ID
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sends[id] == nil {
		d.sends[id] = map[*send]bool{}
	}
	d.sends[id][s] = true
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if delete(d.sends[id], s); len(d.sends[id]) == 0 {
			delete(d.sends, id)
		}
	}
}

// ordersEndpoints reports whether the fleet orders the endpoints of a service, which the platform may then take away.
func (t *table) ordersEndpoints(service willowwick.ServiceID) bool {
	for i := range t.Services {
		if t.Services[i].Name == service {
			return t.Services[i].Autoscaling != nil
		}
	}
	return false
}

// departAt returns when the request should leave its endpoint.
func (s *send) departAt(notice *departureNotice) time.Time {
	share := float64(xxhash.Sum64String(string(s.head.ID))>>11) / (1 << 53)
	return route.DepartureTime(notice.knownAt, notice.leavesAt, share)
}

// waitUntil returns the time until which to wait for the endpoint, which is earlier than the given one if the request
// should leave it before.
func (s *send) waitUntil(until time.Time) time.Time {
	notice := s.departure.notice.Load()
	if notice == nil {
		return until
	}
	now := clock.Now()
	if now.After(notice.leavesAt) {
		return until
	}
	return earliest(until, latest(s.departAt(notice), now.Add(departurePoll)))
}

// mustDepart reports whether the request leaves its endpoint now, because that is about to end, and the answer is not
// likely to end before. It costs the repeat that the end of the endpoint would cost.
func (s *send) mustDepart(now time.Time) bool {
	notice := s.departure.notice.Load()
	if notice == nil || now.Before(s.departAt(notice)) {
		return false
	}
	if s.router.departures.lengths.IsLikelyDone(s.route.Name, s.model, s.progress(), notice.leavesAt) {
		return false
	}
	return s.allowsAnotherRun() && s.router.hasRetryBudget(s.call, now) && s.router.hasOtherEndpoint(s.call, s.ticket.Endpoint.ID)
}

// progress returns how far the answer is.
func (s *send) progress() route.AnswerProgress {
	progress := route.AnswerProgress{
		SentAt: s.sentAt, FirstEventAt: s.firstEventAt, SendEvents: s.events, AllEvents: s.streamTiming.events,
	}
	if s.events > 0 {
		progress.LastEventAt = s.streamTiming.lastEventAt
	}
	return progress
}

// recordLength records the length of a complete answer that took one send.
func (s *send) recordLength(now time.Time) {
	if s.sends == 1 && s.table.ordersEndpoints(s.service) {
		s.router.departures.lengths.Observe(s.route.Name, s.model, now.Sub(s.sentAt), s.events)
	}
}

// countDeparture counts what became of a request whose endpoint was about to end.
func (s *send) countDeparture(result sendResult) {
	if s.departure.notice.Load() != nil {
		s.router.metrics.countDeparture(result.kind)
	}
}
