package exchange

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/reservation"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

const (
	// initialEndpointLimit is the limit on own requests at an endpoint that has not reported its slots yet: the
	// slots of a large runner.
	initialEndpointLimit = 64
	// loadReportMaxAge is how long a load report is used: a runner's requests last about a second.
	loadReportMaxAge = 1500 * time.Millisecond
	// minWarmWait is the least time that a request waits for a box that has just started, and warmWaitShare the
	// share of the time to its deadline that it may wait: both are a quarter of what callers with such deadlines
	// set as their goal.
	minWarmWait   = 75 * time.Millisecond
	warmWaitShare = 1.0 / 40
	// endpointQueueShare is the number of requests an endpoint may hold beyond its slots, as a share of them:
	// enough to keep all slots busy, few enough that client accounts queue fairly here and not behind each other
	// there.
	endpointQueueShare = 1.0
	// quietAfter is how long an endpoint with requests may send nothing before others are preferred: several times
	// a plain service's usual work, and the time a runner takes to read a long prompt.
	quietAfter = 350 * time.Millisecond
	// lowestPriority is the least urgent priority that endpoints know.
	lowestPriority = 9
	// defaultMaxBodyBytes limits request bodies where the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// answerMemoryShare is the share of the box's memory for answers that are held until they are complete: sound ones are
	// small, and most of the rest is needed for callers' bodies and what the box knows of others.
	answerMemoryShare = 0.1
	// defaultMemoryMB is the memory of a box whose settings don't name it, that of a small one.
	defaultMemoryMB = 128
	bytesPerMB      = 1 << 20
)

type (
	// Settings configure a Daemon at its start.
	Settings struct {
		Box        willowwick.BoxID
		Hall       willowwick.HallID
		Boot       willowwick.BootID
		Peers      string // host:port under which other boxes reach this one
		LinkMbps   int    // bandwidth of the box's link; 0 if unknown
		MemoryMB   int64  // memory limit of the process; 0 if unknown
		Key        []byte // shared by all boxes
		Seeds      []string
		Seed       uint64
		Confidence int // a small model's answer below this confidence is dropped for the largest model's
		// LateConfidence replaces Confidence where the largest model's answer would come after the goal.
		LateConfidence   int
		RetryBudget      route.RetryLimits
		Releases         ReleaseSettings
		Grace            time.Duration                             // time from the stop signal until the process is killed
		UnreadyDelay     time.Duration                             // how long a stopping box waits for the load balancer to send callers elsewhere
		Drain            time.Duration                             // a draining endpoint gets no requests later than this
		ConfigApplyLimit time.Duration                             // a configuration is in force within this time after it was accepted
		Regions          map[willowwick.HallID]willowwick.RegionID // of all halls; empty if there are no regions
		Duties           DutySettings
		// RunnerUtilisation is the share of the runners' slots to aim at when the fleet orders runners.
		RunnerUtilisation float64
	}

	// DutySettings configure the calls that one box makes to the platform's API for the whole fleet.
	DutySettings struct {
		Assigned    []willowwick.DutyID // duties of the fleet; empty if it has none
		CallsPerS   float64             // calls per second that the API takes from all boxes together; 0 if unlimited
		Lease       time.Duration       // a box that gave up the duties doesn't take them back within this
		MemberTTL   time.Duration       // the group drops a member that sent nothing for this long
		UsageWindow time.Duration       // length of a window of usage
		UsageDue    time.Duration       // from the end of a window until its report is due
		UsageOff    float64             // share by which a report may be off
	}

	// Router relays requests to endpoints without interpreting their bodies.
	Router struct {
		settings  Settings
		topology  willowwick.Topology
		codec     willowwick.HeaderCodec
		table     atomic.Pointer[table]
		pool      *route.Pool
		gate      *gate.Gate
		conns     *wire.Pool
		answers   *wire.AnswerMemory
		releases  *releases
		sync      *syncer
		peers     *peers
		offers    *offers
		hints     *hints
		crashes   *crashDetector
		reach     *reach
		poison    *quarantine.Ledger
		limits    *ratelimit.Ledger
		shortages *shortages
		modelGaps modelGaps
		// reservations asks for those of this box's requests.
		reservations *reservation.Reserver
		duties       *duties // nil if the fleet has none

		departures *departures

		callersAdmission *wire.Admission
		callers          *wire.CallerListener // nil until the daemon that the router belongs to has one

		evacuations *evacuations
		admissions  *admissions
		usage       *usageReports // nil if the fleet doesn't report usage

		metrics     *routerMetrics
		inFlight    atomic.Int64
		warm        chan struct{} // closed once the configuration and endpoints are known
		warmOnce    sync.Once
		stopping    atomic.Bool
		refusesLate atomic.Bool     // refuses requests that may not end before stopAt
		stopAt      atomic.Int64    // nanoseconds since 1970
		ending      context.Context // done from stopAt on: calls that are still in progress end with it
		endCalls    context.CancelFunc

		mu           sync.Mutex
		retryBudgets map[willowwick.ServiceID]*route.WindowedRetryBudget
	}
)

// answerBytes returns the memory that answers may hold.
func (s *Settings) answerBytes() int {
	memory := s.MemoryMB
	if memory <= 0 {
		memory = defaultMemoryMB
	}
	return int(answerMemoryShare * float64(memory*bytesPerMB))
}

// newRouter returns a router without configuration, and a function that closes its connections.
func newRouter(settings Settings, codec willowwick.HeaderCodec) (*Router, func()) {
	return newRouterWith(settings, codec, nil)
}

// newRouterWith is newRouter with a function that opens connections to endpoints, nil for the usual one.
func newRouterWith(settings Settings, codec willowwick.HeaderCodec, dial wire.DialFunc) (*Router, func()) {
	limits := ratelimit.NewLedger()
	x := &Router{
		settings: settings, topology: settings.topology(), codec: codec, gate: gate.New(), warm: make(chan struct{}),
		callersAdmission: wire.NewAdmission(settings.LinkMbps),
		answers:          wire.NewAnswerMemory(settings.answerBytes()),
		poison:           quarantine.New(), limits: limits, shortages: newShortages(), departures: newDepartures(),
		retryBudgets: map[willowwick.ServiceID]*route.WindowedRetryBudget{},
	}
	x.ending, x.endCalls = context.WithCancel(context.Background())
	x.reservations = reservation.NewReserver(settings.Box, x.occupied)
	x.pool = route.NewPoolWith(route.NewHallFirst(settings.topology(), settings.Seed), route.PoolOptions{
		StartLimit: initialEndpointLimit, LoadMaxAge: loadReportMaxAge, FallBackToEjected: true, SilentAfter: quietAfter, QueueShare: endpointQueueShare,
		Limits: limits, Reservations: x.reservations,
	})
	x.reach = newReach(x)
	var closeConns func()
	x.conns, closeConns = wire.NewPool(wire.Settings{
		DialTimeout: dialTimeout, AckTimeout: unackedTimeout, OnDial: x.noteDial, Dial: dial, Memory: x.answers,
	})
	x.evacuations = newEvacuations(x.pool)
	x.admissions = newAdmissions(x.poison)
	x.crashes = newCrashDetector(x)
	x.releases = newReleases(settings.Releases, x.hasRelease)
	x.usage = newUsageReports(x)
	if x.topology.HasRegions() {
		x.releases.regionDelay = (regionReportHops - hallReportHops) * x.gossipPeriod()
	}
	x.metrics = newRouterMetrics(x)
	var closeOffers func()
	x.offers, closeOffers = newOffers(x)
	return x, func() {
		x.endCalls()
		closeConns()
		closeOffers()
	}
}

// ServeHTTP implements http.Handler.
func (x *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	if x.stopping.Load() || x.callers.IsLimiting(arrived) {
		w.Header().Set("Connection", "close") // its caller's next request may reach a box with more room
	}
	out := &reply{writer: w, controller: http.NewResponseController(w), codec: x.codec}
	defer x.answerPanic(out)
	x.awaitWarm(r)
	c, refusal := x.acceptCall(out, r, arrived)
	if refusal != nil {
		x.refuse(out, refusal)
		x.logRefused(out, r, refusal, arrived)
		return
	}
	if x.refusesLate.Load() && c.deadline.UnixNano() > x.stopAt.Load() {
		x.refuse(out, stoppingRefusal(arrived))
		c.logCompletion("refused", http.StatusServiceUnavailable, "cause", "this box is stopping")
		return
	}
	defer c.begin(r.Context())()
	defer c.dropFailure()
	c.run()
	out.end()
}

// answerPanic answers a request whose handler panics, which is a fault of this box; it is deferred. The server would close the connection,
// of which the caller learns nothing.
func (x *Router) answerPanic(out *reply) {
	fault := recover()
	if fault == nil {
		return
	}
	if fault == http.ErrAbortHandler {
		panic(fault)
	}
	slog.Error("handling a request panicked", "request", out.id, "fault", fault, "stack", string(debug.Stack()))
	if out.headSent {
		out.abort()
	}
	x.refuse(out, willowwick.OutcomeUnknown(willowwick.CodeEndpointError, "this box failed while it handled the request"))
}

// stoppingRefusal returns the refusal of a request that a stopping box doesn't send.
func stoppingRefusal(now time.Time) *willowwick.Refusal {
	return willowwick.NotRun(willowwick.CodeStopping, now.Add(stoppingRetryAfter), "this box is stopping")
}

// isEnding reports whether the planned stop is so close to its end that this box sends nothing more.
func (x *Router) isEnding() bool {
	return x.ending.Err() != nil
}

// noteDial records an attempt to open a connection to an endpoint.
func (x *Router) noteDial(attempt wire.DialAttempt) {
	x.reach.noteDial(attempt.Address, attempt.Err)
	x.noteTrip(attempt.BeganAt, attempt.Err == nil || errors.Is(attempt.Err, syscall.ECONNREFUSED))
}

// noteTrip records a round trip of this box's that has just ended, by an answer or after a timeout.
func (x *Router) noteTrip(beganAt time.Time, isAnswered bool) {
	trip := wire.Trip{BeganAt: beganAt, EndedAt: clock.Now(), IsAnswered: isAnswered}
	x.callersAdmission.NoteTrip(trip)
	x.metrics.roundTrips.Update(trip.EndedAt.Sub(beganAt).Seconds())
}

// logRefused writes the only log line of a request that was refused on arrival, with the ages of the configuration
// and the list of endpoints that the refusal is based on.
func (x *Router) logRefused(out *reply, r *http.Request, refusal *willowwick.Refusal, arrived time.Time) {
	slog.Info("refused on arrival", "request", out.id, "host", r.Host, "target", x.loggedTarget(r),
		"status", statusOf(refusal), "cause", refusal.Message, "config", x.configVersion(),
		"config_age_ms", x.sync.configAge(arrived).Milliseconds(), "endpoints_age_ms", x.sync.endpointsAge(arrived).Milliseconds())
}

func (x *Router) configVersion() uint64 {
	if t := x.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// refuse writes a refusal to a caller whose request got no endpoint's answer.
func (x *Router) refuse(out *reply, refusal *willowwick.Refusal) {
	x.metrics.countRefusal(refusal)
	header := out.writer.Header()
	x.codec.EncodeOwnAnswer(header, out.id)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.Kind == willowwick.KindNotRun {
		at := refusal.RetryAt
		if at.IsZero() {
			at = clock.Now().Add(defaultRetryAfter)
		}
		header.Set("Retry-After", retryAfter(at, clock.Now()))
	}
	out.writeStatus(statusOf(refusal))
	out.write([]byte(refusal.Message + "\n"))
	out.isWhole = true
}

// statusOf returns the HTTP status of a refusal; only 503 promises that the request was not run.
func statusOf(refusal *willowwick.Refusal) int {
	switch refusal.Kind {
	case willowwick.KindNotRun:
		return http.StatusServiceUnavailable
	case willowwick.KindInvalid:
		return invalidStatus(refusal.Code)
	default:
		if refusal.Code == willowwick.CodeDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
}

func invalidStatus(code willowwick.RefusalCode) int {
	switch code {
	case willowwick.CodeBadKey:
		return http.StatusUnauthorized
	case willowwick.CodeUnknownService:
		return http.StatusNotFound
	case willowwick.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}

func (x *Router) retryBudget(service willowwick.ServiceID) *route.WindowedRetryBudget {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := x.retryBudgets[service]
	if b == nil {
		b = route.NewWindowedRetryBudget(x.settings.RetryBudget)
		x.retryBudgets[service] = b
	}
	return b
}

// takeRetryBudget takes one retry from the service's budget, and reports whether it allowed it.
func (x *Router) takeRetryBudget(c *call, kind route.RetryKind, now time.Time) bool {
	taken := x.retryBudget(c.service).Take(now, kind, x.peers.slackShares(kind, now))
	if !taken {
		x.metrics.countRetryDenied()
		slog.Info("repeat not allowed by the budget", "request", c.head.ID, "service", c.service, "kind", int(kind))
	}
	return taken
}

// hasRetryBudget reports whether the budget would allow a failover.
func (x *Router) hasRetryBudget(c *call, now time.Time) bool {
	return x.retryBudget(c.service).Allows(now, route.RetryFailover, x.peers.slackShares(route.RetryFailover, now))
}

// hasOtherEndpoint reports whether an endpoint of the service other than the given one may be tried.
func (x *Router) hasOtherEndpoint(c *call, not willowwick.EndpointID) bool {
	return x.pool.HasOpen(clock.Now(), c.service, func(endpoint willowwick.Endpoint) bool {
		return endpoint.ID != not && !c.triedEndpoints[endpoint.ID] && c.allows(endpoint)
	})
}

// hasRelease reports whether a service has an endpoint of a release that isn't draining.
func (x *Router) hasRelease(service willowwick.ServiceID, release willowwick.ReleaseID) bool {
	return x.pool.HasInService(service, func(endpoint willowwick.Endpoint) bool { return endpoint.Release == release })
}

// setTable puts a configuration in force unless the current one is as new or newer.
func (x *Router) setTable(declared *willowwick.RoutingTable, source string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if current := x.table.Load(); current != nil && current.Version >= declared.Version {
		return
	}
	x.table.Store(newTable(declared))
	x.setColdPauses(clock.Now())
	x.signalWarm()
	slog.Info("configuration in force", "version", declared.Version, "routes", len(declared.Routes),
		"accounts", len(declared.Accounts), "source", source)
}

// setColdPauses divides the load that cold endpoints can take among the boxes. A box that has just started has not
// counted the others yet, and assumes a fleet of assumedFleetSize boxes.
func (x *Router) setColdPauses(now time.Time) {
	t := x.table.Load()
	if t == nil {
		return
	}
	boxes := x.peers.fleetSize()
	if now.Sub(x.peers.startedAt) < fleetDiscoveryTime {
		boxes = max(boxes, assumedFleetSize)
	}
	pauses := map[willowwick.ServiceID]time.Duration{}
	for _, service := range t.Services {
		pauses[service.Name] = route.ColdPause(service.ColdPerSecond, boxes)
	}
	x.pool.SetColdPauses(pauses)
	x.pool.SetRank(x.peers.rank())
}

// signalWarm releases the requests that wait for the first configuration and list of endpoints, once both are
// known.
func (x *Router) signalWarm() {
	if x.table.Load() != nil && x.sync.hasEndpointList() {
		x.warmOnce.Do(func() { close(x.warm) })
	}
}

// awaitWarm delays a request during startup until it can be served: the store answers within some milliseconds.
func (x *Router) awaitWarm(r *http.Request) {
	select {
	case <-x.warm:
		return
	default:
	}
	limit := minWarmWait
	now := clock.Now()
	// An invalid header is reported to the caller later, by acceptCall.
	if head, err := x.codec.DecodeRequest(r.Header, now); err == nil && !head.Deadline.IsZero() {
		limit = max(limit, scale(head.Deadline.Sub(now), warmWaitShare))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-x.warm:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// ready reports whether the load balancer should send callers here, and if not, why.
func (x *Router) ready() (ok bool, why string) {
	switch {
	case x.stopping.Load():
		return false, "stopping"
	case x.table.Load() == nil:
		return false, "no configuration yet"
	case !x.sync.hasEndpointList():
		return false, "no endpoints known yet"
	default:
		return true, "ready"
	}
}
