package exchange

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

const (
	// startLimit is how many own requests an endpoint gets before it is known: the slots of a large runner.
	startLimit = 64
	// loadFresh is how long a load report counts: a runner's requests last about a second.
	loadFresh = 1500 * time.Millisecond
	// warmLimit is the least time that a request waits for a box that has just started, and warmShare the part of its
	// deadline: both are a quarter of what callers of such deadlines set as their goal.
	warmLimit = 75 * time.Millisecond
	warmShare = 1.0 / 40
	// queueAtEndpoint is how many requests an endpoint may hold beyond its slots, as a share of them: enough that no
	// slot rests, few enough that client accounts take turns here and not behind each other there.
	queueAtEndpoint = 1.0
	// quietAfter is how long an endpoint with requests may say nothing before others are preferred: several times
	// a plain service's usual work, and what a runner takes to read a long prompt.
	quietAfter = 350 * time.Millisecond
	// lowestPriority is the last rank that endpoints know.
	lowestPriority = 9
	// defaultBodyBytes bounds bodies where the configuration does not.
	defaultBodyBytes = 4 << 20
)

type (
	// Settings are what an exchange is told at its start.
	Settings struct {
		Box        willowwick.BoxID
		Hall       willowwick.HallID
		Boot       willowwick.BootID
		Peers      string // host:port under which other boxes reach this one
		LinkMbps   int    // width of the box's link; 0 if it is not known
		Key        []byte // shared by all boxes
		Seeds      []string
		Seed       uint64
		Confidence int // a small model's answer below this is given up for the largest model's
		// LateConfidence takes the place of Confidence where the largest model's answer would come after the goal.
		LateConfidence int
		Repeats        route.RepeatLimits
		Releases       ReleaseSettings
		Grace          time.Duration // setting: from the signal to stop until the process is killed
		TurnAway       time.Duration // setting: how long a stopping box waits for the entry to send callers elsewhere
		Drain          time.Duration // setting: an endpoint that leaves gets nothing later than this
		InForce        time.Duration // setting: a configuration is in force within this after it was accepted
	}

	// Router answers opaque requests.
	Router struct {
		settings  Settings
		codec     willowwick.HeaderCodec
		table     atomic.Pointer[table]
		pool      *route.Pool
		gate      *gate.Gate
		conns     *wire.Pool
		releases  *releases
		sync      *syncer
		peers     *peers
		hints     *hints
		ends      *endChecks
		harm      *quarantine.Ledger
		limits    *ratelimit.Ledger
		shortages *shortages

		evacuations *evacuations
		admissions  *admissions

		metrics  *routerMetrics
		inFlight atomic.Int64
		warm     chan struct{} // closed once configuration and endpoints are known
		warmOnce sync.Once
		stopping atomic.Bool
		refusing atomic.Bool  // only requests that are sure to end before stopAt are taken
		stopAt   atomic.Int64 // nanoseconds since 1970

		mu      sync.Mutex
		budgets map[willowwick.ServiceID]*route.RepeatBudget
	}
)

// newRouter returns a router without configuration, and a function that closes its connections.
func newRouter(settings Settings, codec willowwick.HeaderCodec) (*Router, func()) {
	conns, closeConns := wire.NewPool(wire.Settings{DialLimit: dialLimit, Silence: sendSilence})
	limits := ratelimit.NewLedger()
	x := &Router{
		settings: settings, codec: codec, conns: conns, gate: gate.New(), warm: make(chan struct{}),
		harm: quarantine.New(), limits: limits, shortages: newShortages(),
		pool: route.NewPoolWith(route.NewHallFirst(settings.Hall, settings.Seed), route.PoolOptions{
			StartLimit: startLimit, LoadFresh: loadFresh, TrustLast: true, QuietAfter: quietAfter, QueueShare: queueAtEndpoint,
			Limits: limits,
		}),
		budgets: map[willowwick.ServiceID]*route.RepeatBudget{},
	}
	x.evacuations = newEvacuations(x.pool)
	x.admissions = newAdmissions(x.harm)
	x.ends = newEndChecks(x)
	x.releases = newReleases(settings.Releases, x.hasRelease)
	x.metrics = newRouterMetrics(x)
	return x, closeConns
}

// ServeHTTP implements http.Handler.
func (x *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	if x.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	out := &reply{writer: w, controller: http.NewResponseController(w), codec: x.codec}
	x.awaitWarm(r)
	c, refusal := x.begin(out, r, arrived)
	if refusal != nil {
		x.refuse(out, refusal)
		x.logRefused(out, r, refusal, arrived)
		return
	}
	if x.refusing.Load() && c.deadline.UnixNano() > x.stopAt.Load() {
		x.refuse(out, willowwick.NotRun(willowwick.CodeStopping, arrived.Add(comeBackElsewhere), "this box is stopping"))
		c.logEnd("refused", http.StatusServiceUnavailable, "cause", "this box is stopping")
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.run()
}

// logRefused writes the only line about a request that was refused on arrival, with the ages of what that rests on.
func (x *Router) logRefused(out *reply, r *http.Request, refusal *willowwick.Refusal, arrived time.Time) {
	slog.Info("refused on arrival", "request", out.id, "host", r.Host, "target", r.RequestURI,
		"status", statusOf(refusal), "cause", refusal.Message, "config", x.configVersion(),
		"config_age_ms", x.sync.configAge(arrived).Milliseconds(), "endpoints_age_ms", x.sync.endpointsAge(arrived).Milliseconds())
}

func (x *Router) configVersion() uint64 {
	if t := x.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// refuse answers a request that gets no endpoint's answer.
func (x *Router) refuse(out *reply, refusal *willowwick.Refusal) {
	x.metrics.refused(refusal)
	header := out.writer.Header()
	x.codec.EncodeOwnAnswer(header, out.id)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.Kind == willowwick.KindNotRun {
		at := refusal.RetryAt
		if at.IsZero() {
			at = clock.Now().Add(comeBack)
		}
		header.Set("Retry-After", retryAfter(at, clock.Now()))
	}
	out.begun = true
	out.writer.WriteHeader(statusOf(refusal))
	out.write([]byte(refusal.Message + "\n"))
}

// statusOf is the status that a refusal goes out with; only those of requests that have not run promise so.
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

func (x *Router) budget(service willowwick.ServiceID) *route.RepeatBudget {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := x.budgets[service]
	if b == nil {
		b = route.NewRepeatBudget(x.settings.Repeats)
		x.budgets[service] = b
	}
	return b
}

// takeRepeat draws on the budget of repeats.
func (x *Router) takeRepeat(c *call, kind route.RepeatKind, now time.Time) bool {
	taken := x.budget(c.service).Take(now, kind, x.peers.sharers(kind, now))
	if !taken {
		x.metrics.repeatDenied()
		slog.Info("repeat not allowed by the budget", "request", c.head.ID, "service", c.service, "kind", int(kind))
	}
	return taken
}

// hasRepeat reports whether the budget would allow a failover.
func (x *Router) hasRepeat(c *call, now time.Time) bool {
	return x.budget(c.service).Allows(now, route.RepeatFailover, x.peers.sharers(route.RepeatFailover, now))
}

// hasOther reports whether another endpoint of the service than the given one may be tried.
func (x *Router) hasOther(c *call, not willowwick.EndpointID) bool {
	return x.pool.HasOpen(clock.Now(), c.service, func(endpoint willowwick.Endpoint) bool {
		return endpoint.ID != not && !c.exclude[endpoint.ID] && c.choice.allows(endpoint)
	})
}

// hasRelease reports whether a service has an endpoint of a release that stays.
func (x *Router) hasRelease(service willowwick.ServiceID, release willowwick.ReleaseID) bool {
	return x.pool.HasStaying(service, func(endpoint willowwick.Endpoint) bool { return endpoint.Release == release })
}

// setTable puts a configuration in force unless a newer one already is.
func (x *Router) setTable(declared *willowwick.RoutingTable, source string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if current := x.table.Load(); current != nil && current.Version >= declared.Version {
		return
	}
	x.table.Store(newTable(declared))
	x.paceCold(clock.Now())
	x.noteWarm()
	slog.Info("configuration in force", "version", declared.Version, "routes", len(declared.Routes),
		"accounts", len(declared.Accounts), "source", source)
}

// paceCold shares out what cold endpoints bear among the boxes. One that has just started has not counted them yet.
func (x *Router) paceCold(now time.Time) {
	t := x.table.Load()
	if t == nil {
		return
	}
	boxes := x.peers.boxes()
	if now.Sub(x.peers.began) < countAfter {
		boxes = max(boxes, youngFleet)
	}
	pauses := map[willowwick.ServiceID]time.Duration{}
	for _, service := range t.Services {
		pauses[service.Name] = route.ColdPause(service.ColdPerSecond, boxes)
	}
	x.pool.SetColdPauses(pauses)
}

// noteWarm lets requests in that came before the first configuration and list of endpoints.
func (x *Router) noteWarm() {
	if x.table.Load() != nil && x.sync.hasEndpoints() {
		x.warmOnce.Do(func() { close(x.warm) })
	}
}

// awaitWarm holds a request of the first moments until it can be served: the store answers in some milliseconds.
func (x *Router) awaitWarm(r *http.Request) {
	select {
	case <-x.warm:
		return
	default:
	}
	limit := warmLimit
	now := clock.Now()
	// A header that is wrong is told to the caller once the request is begun.
	if head, err := x.codec.DecodeRequest(r.Header, now); err == nil && !head.Deadline.IsZero() {
		limit = max(limit, scale(head.Deadline.Sub(now), warmShare))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-x.warm:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// ready reports whether the entry should send callers here, and if not, why.
func (x *Router) ready() (ok bool, why string) {
	switch {
	case x.stopping.Load():
		return false, "stopping"
	case x.table.Load() == nil:
		return false, "no configuration yet"
	case !x.sync.hasEndpoints():
		return false, "no endpoints known yet"
	default:
		return true, "ready"
	}
}
