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
	// departurePoll is how often a request that should leave its endpoint, but can't yet, tries again.
	departurePoll = 100 * time.Millisecond
	// reportTimeout bounds a call that asks an endpoint how long it has left.
	reportTimeout = 500 * time.Millisecond
)

var errDeparted = errors.New("the endpoint is about to end")

type (
	// departures tells the requests at an endpoint when it is about to end.
	departures struct {
		lengths *route.AnswerLengths
		reports willowwick.EndpointReports // nil if endpoints can't be asked how long they have left
		workers fleet.Workers

		mu    sync.Mutex
		sends map[willowwick.EndpointID]map[*send]bool // in progress, at endpoints that the fleet orders
	}

	// departureNotice says when an endpoint ends.
	departureNotice struct {
		knownAt  time.Time
		leavesAt time.Time
	}

	// departingGroup is a set of endpoints whose departure is logged in one line.
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

// notifyLeaving notifies the requests at endpoints whose entries say when they end, and logs how many endpoints these are.
func (d *departures) notifyLeaving(leaving []willowwick.Endpoint, now time.Time) {
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

// notifyDraining does the same for endpoints whose entries don't say when they end: it asks those at which this box has
// requests.
func (d *departures) notifyDraining(draining []willowwick.Endpoint) {
	logDepartures(draining)
	if d.reports == nil {
		return
	}
	for _, endpoint := range draining {
		if d.hasRequests(endpoint.ID) {
			d.workers.Go(func() { d.askTimeLeft(endpoint) })
		}
	}
}

func (d *departures) askTimeLeft(endpoint willowwick.Endpoint) {
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

// watch registers a send, which must have its connection, for notices until the returned function is called.
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

// departAt returns when the request should leave its endpoint. Requests are spread over the time left by the hash of their ids.
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

// mustDepart reports whether the request leaves its endpoint now, because that is about to end and the answer is not likely
// to end before. Leaving counts as a retry, as does the end of the endpoint.
func (s *send) mustDepart(now time.Time) bool {
	notice := s.departure.notice.Load()
	if notice == nil || now.Before(s.departAt(notice)) {
		return false
	}
	if s.router.departures.lengths.IsLikelyDone(s.route.Name, s.model, s.progress(), notice.leavesAt) {
		return false
	}
	return s.mayRunElsewhere(now)
}

// mayRunElsewhere reports whether the request may run once more, at another endpoint, and the retry budget would allow it.
func (s *send) mayRunElsewhere(now time.Time) bool {
	return s.allowsAnotherRun() && s.router.hasRetryBudget(s.call, now) && s.router.hasOtherEndpoint(s.call, s.ticket.Endpoint.ID)
}

// reserveRetry takes the retry that follows this send from the budget, and reports whether the request will run once more.
func (s *send) reserveRetry(now time.Time) bool {
	if s.sends >= maxSends || !s.allowsRetryOfRun() || !s.mayRunElsewhere(now) {
		return false
	}
	s.isRetryReserved = s.takeRetry(now)
	return s.isRetryReserved
}

// progress returns the progress of the answer.
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
