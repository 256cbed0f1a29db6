package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

const (
	watchTick         = time.Second
	loadTick          = 500 * time.Millisecond
	loadTimeout       = time.Second
	loadWorkers       = 16
	drainPoll         = 20 * time.Millisecond
	leaveLimit        = 4 * time.Second
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	orderFor          = 10 * time.Second
)

type (
	// Daemon is one willowwickd.
	Daemon struct {
		settings Settings
		outside  Outside
		node     *fleet.Node
		pool     *route.Pool
		gate     *gate.Gate
		learner  *route.Learner
		limiter  *route.AccountLimiter
		retries  *route.RetryBudget
		sessions *sessions
		traces   *traces
		watch    *watch
		rater    *raterHealth
		metrics  *daemonMetrics

		inFlight atomic.Int64
		nextID   atomic.Uint64
		notReady atomic.Bool // a planned stop has begun
		refusing atomic.Bool // and new requests are refused
		places   chan struct{}
		writing  answersInWriting
		callers  *http.Server
		admin    *http.Server
		ordered  map[orderKey]bool

		endpointNames atomic.Pointer[map[fleet.NameHash]willowwick.EndpointID]

		lastWhy string // of the readiness last logged
		cancel  context.CancelFunc
		workers fleet.Workers
	}

	// answersInWriting knows callers' connections of HTTP/1 whose request may run, until the last byte of the answer is
	// written.
	//
	// A handler returns before that; and net/http takes a connection for idle, and closes it, while it serves a request
	// that it has read together with the one before.
	answersInWriting struct {
		mu    sync.Mutex
		conns map[net.Conn]bool
	}

	// callerConnKey finds the caller's connection in the context of its requests.
	callerConnKey struct{}

	orderKey struct {
		endpoint willowwick.EndpointID
		version  willowwick.VersionID
		fence    willowwick.Fence
	}
)

// New returns a daemon that is not running yet, and a function that closes its connections to peers.
func New(settings Settings, outside Outside) (*Daemon, func()) {
	settings = settings.WithDefaults()
	seed := xxhash.Sum64String(string(settings.Boot))
	d := &Daemon{
		settings: settings, outside: outside,
		gate: gate.New(), learner: route.NewLearner(), limiter: route.NewAccountLimiter(),
		retries: route.NewRetryBudget(), traces: newTraces(), rater: newRaterHealth(),
		places: make(chan struct{}, settings.MaxRequests), ordered: map[orderKey]bool{},
	}
	d.endpointNames.Store(&map[fleet.NameHash]willowwick.EndpointID{})
	transport, closeTransport := fleet.NewTransport(settings.Key, outside.Dial, settings.PeerTLS)
	self := fleet.Identity{
		Box: settings.Box, Boot: settings.Boot, Hall: settings.Hall, Peer: settings.PeerAddress, Started: clock.Now(),
	}
	d.node = fleet.NewNode(fleet.Settings{
		Self: self, Log: outside.Log, Live: outside.Live, Listener: outside.Peers,
		OnRevision: d.revised, OnListing: d.listed, FillDigest: d.fillDigest, OnDigests: d.heardDigests, RunLeader: d.lead,
	}, transport)
	d.pool = route.NewPoolWith(route.NewPowerOfTwo(settings.Hall, true, seed), route.PoolOptions{Limits: d.node.Limits})
	d.sessions = newSessions(settings.Key, d.node)
	d.watch = newWatch(d)
	d.metrics = newDaemonMetrics(d)
	return d, closeTransport
}

// Start serves callers, peers and operators; the function it returns stops everything at once.
func (d *Daemon) Start() (func(), error) {
	stopNode, err := d.node.Start()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.callers = d.newServer(d.noteWriting(d.callerHandler()))
	d.callers.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	d.callers.ConnState = d.writing.noteState
	d.callers.TLSConfig = d.settings.CallerTLS
	d.admin = d.newServer(d.adminHandler())
	d.workers.Go(func() { d.gate.Run(ctx) })
	d.workers.Go(func() { d.pollLoads(ctx) })
	d.workers.Go(func() { d.watchVersions(ctx) })
	d.workers.Go(func() { d.serveCallers() })
	d.workers.Go(func() { serveUntilClosed(d.admin.Serve(d.outside.Admin)) })
	return func() {
		_ = d.callers.Close()
		_ = d.admin.Close()
		cancel()
		stopNode()
		d.workers.Close()
	}, nil
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

func (d *Daemon) serveCallers() {
	if d.settings.CallerTLS != nil {
		serveUntilClosed(d.callers.ServeTLS(d.outside.Callers, "", ""))
		return
	}
	serveUntilClosed(d.callers.Serve(d.outside.Callers))
}

func serveUntilClosed(err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		slog.Error("server ended", "error", err)
	}
}

// noteWriting notes the connections of requests that may run; those that come once this box refuses do not.
func (d *Daemon) noteWriting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(callerConnKey{}).(net.Conn)
		// A connection of HTTP/2 bears several requests, and its server waits for each of them by itself.
		if ok && r.ProtoMajor == 1 && !d.isRefusing() {
			d.writing.begin(conn)
		}
		next.ServeHTTP(w, r)
	})
}

func (a *answersInWriting) begin(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = map[net.Conn]bool{}
	}
	a.conns[conn] = true
}

// noteState is the server's hook; it hears of these states once an answer is written.
func (a *answersInWriting) noteState(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateClosed && state != http.StateHijacked {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, conn)
}

func (a *answersInWriting) count() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.conns))
}

// Drain is the planned stop: not ready first, then new requests refused, then
// answers finished and usage handed over. It returns when the daemon may be stopped.
func (d *Daemon) Drain(ctx context.Context) error {
	ctx, cancel := clock.WithDeadline(ctx, clock.Now().Add(d.settings.DrainLimit))
	defer cancel()
	slog.Info("planned stop began", "box", d.settings.Box)
	d.notReady.Store(true)
	d.leaveFleet(ctx)
	pause(ctx, d.settings.DrainWait)
	d.refusing.Store(true)
	if err := awaitAnswers(ctx, d.inFlight.Load); err != nil {
		return err
	}
	// All usage is recorded; callers that take their answers slowly do not keep it from being handed over.
	isHandedOver := d.node.Usage.HandOver(ctx)
	if err := awaitAnswers(ctx, d.writing.count); err != nil {
		return err
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		slog.Info("callers' connections were still open at the end", "error", err)
	}
	if !isHandedOver {
		return errors.New("usage records could be handed over to nobody")
	}
	slog.Info("planned stop ended", "box", d.settings.Box)
	return nil
}

// awaitAnswers waits until no answer is under way, or for the context's end.
func awaitAnswers(ctx context.Context, underWay func() int64) error {
	for underWay() > 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
	if left := underWay(); left > 0 {
		return errors.Errorf("%d answers were still under way at the limit", left)
	}
	return nil
}

// leaveFleet hands over the claims and the lease, within a bound, while the log is up.
func (d *Daemon) leaveFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	d.node.Drain(ctx)
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *Daemon) isRefusing() bool {
	return d.refusing.Load()
}

// isIsolated reports whether this box reaches neither the log nor half of the fleet for some time.
func (d *Daemon) isIsolated(now time.Time) bool {
	return !d.node.IsConfigCurrent(now) && now.Sub(d.node.Follower.ConfirmedAt()) > isolatedAfter
}

// ready reports whether the balancer should send requests, and if not, why.
func (d *Daemon) ready() (ok bool, why string) {
	now := clock.Now()
	switch {
	case d.notReady.Load():
		return false, "stopping"
	case d.node.Follower.Revision().Offset == 0:
		return false, "no configuration yet"
	case d.node.Follower.IsBlocked():
		return false, "the log holds a record of a newer schema"
	case d.isIsolated(now):
		return false, "neither the log nor half of the fleet is reached"
	case d.node.Usage.IsFull():
		return false, "the usage backlog is full"
	}
	if _, listed := d.node.Listing(); !listed {
		return false, "the list of endpoints was not read yet"
	}
	return true, "ready"
}

func (d *Daemon) revised(r *config.Revision) {
	slog.Debug("configuration in force", "box", d.settings.Box, "offset", r.Offset)
}

func (d *Daemon) listed(listing willowwick.Listing) {
	d.pool.Update(listing.Endpoints)
	names := make(map[fleet.NameHash]willowwick.EndpointID, len(listing.Endpoints))
	for _, endpoint := range listing.Endpoints {
		names[fleet.HashName(endpoint.ID)] = endpoint.ID
	}
	d.endpointNames.Store(&names)
}

// fillDigest adds this box's part to its digest.
func (d *Daemon) fillDigest(digest *fleet.Digest) {
	now := clock.Now()
	for account, rate := range d.limiter.Measure(now) {
		digest.Demand.Add(fleet.HashName(account), rate)
	}
	digest.Evidence = d.watch.counts()
	digest.Leaving = d.pool.Leaving()
	for _, load := range d.polledLoads() {
		digest.Loads.Add(load, now)
	}
	names := map[fleet.NameHash]willowwick.AccountID{}
	for _, account := range d.node.Follower.Revision().Accounts() {
		names[fleet.HashName(account)] = account
	}
	peers, connected := d.node.FleetPeers(now, names)
	d.limiter.Divide(peers, connected)
}

// heardDigests takes what other boxes know of endpoints.
func (d *Daemon) heardDigests(digests []fleet.Digest, halls []fleet.HallDigest) {
	now := clock.Now()
	names := *d.endpointNames.Load()
	for _, digest := range digests {
		if digest.Box == d.settings.Box {
			continue
		}
		for row, name := range digest.Loads.Endpoints {
			load := digest.Loads.At(row, now)
			if load.Endpoint = names[name]; load.Endpoint != "" {
				d.pool.Report(load)
			}
		}
		d.markLeaving(digest.Leaving)
	}
	for _, hall := range halls {
		d.markLeaving(hall.Leaving)
	}
}

func (d *Daemon) markLeaving(endpoints []willowwick.EndpointID) {
	for _, id := range endpoints {
		d.pool.MarkLeaving(id)
	}
}

// polledEndpoints are the endpoints that this box asks for their load; the
// boxes of a hall share them out by rendezvous hashing.
func (d *Daemon) polledEndpoints() []willowwick.Endpoint {
	var hall []fleet.LiveBox
	for _, box := range d.node.Table.Live(clock.Now()) {
		if box.Hall == d.settings.Hall {
			hall = append(hall, box)
		}
	}
	var mine []willowwick.Endpoint
	for _, endpoint := range d.pool.Endpoints() {
		if fleet.Owner(hall, string(endpoint.ID)) == d.settings.Box {
			mine = append(mine, endpoint)
		}
	}
	return mine
}

// polledLoads returns the newest reports of the endpoints that this box polls.
func (d *Daemon) polledLoads() []willowwick.EndpointLoad {
	var loads []willowwick.EndpointLoad
	for _, endpoint := range d.polledEndpoints() {
		if load, ok := d.pool.LoadOf(endpoint.ID); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

func (d *Daemon) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		var polls sync.WaitGroup
		places := make(chan struct{}, loadWorkers)
		for _, endpoint := range d.polledEndpoints() {
			places <- struct{}{}
			polls.Go(func() {
				defer func() { <-places }()
				d.pollLoad(ctx, endpoint)
			})
		}
		polls.Wait()
		pause(ctx, loadTick)
	}
}

func (d *Daemon) pollLoad(ctx context.Context, endpoint willowwick.Endpoint) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := d.outside.Engine.Load(callCtx, endpoint)
	if err != nil {
		return
	}
	// The report's own time is the endpoint's clock; what counts here is when it was had.
	load.At = clock.Now()
	d.pool.Report(load)
}

func (d *Daemon) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		d.watch.look(clock.Now(), d.node.Follower.Revision())
		d.noteReadiness()
		pause(ctx, watchTick)
	}
}

// noteReadiness logs a change of readiness.
func (d *Daemon) noteReadiness() {
	ok, why := d.ready()
	if why != d.lastWhy {
		slog.Info("readiness changed", "box", d.settings.Box, "ready", ok, "why", why)
		d.lastWhy = why
	}
}

// lead runs on the holder of the lease: it advances roll-outs and orders withdrawals.
func (d *Daemon) lead(ctx context.Context, fence willowwick.Fence) {
	r := d.node.Follower.Revision()
	for _, step := range d.watch.readySteps(r) {
		step.Fence = fence
		data, err := config.Record{Kind: config.RecordRollout, Rollout: &step}.Encode()
		if err != nil {
			slog.Error("roll-out step could not be encoded", "error", err)
			continue
		}
		if _, err := d.outside.Log.Append(ctx, willowwick.StreamConfig, data); err == nil {
			slog.Info("roll-out step written", "rollout", step.Rollout, "step", step.Step)
			_ = d.node.Follower.ReadLog(ctx)
		}
	}
	d.orderWithdrawals(ctx, r, fence)
}

// orderWithdrawals tells runners to drop withdrawn versions.
//
// Right before each order the log is read to its end, so that a holder that
// was paused finds its successor; the order is repeatable and names the time
// until which it holds.
func (d *Daemon) orderWithdrawals(ctx context.Context, r *config.Revision, fence willowwick.Fence) {
	for _, endpoint := range d.pool.Endpoints() {
		for _, version := range endpoint.Versions {
			key := orderKey{endpoint: endpoint.ID, version: version, fence: fence}
			if !r.IsWithdrawn(version) || d.ordered[key] {
				continue
			}
			if err := d.node.Follower.ReadLog(ctx); err != nil {
				return
			}
			if current, held := d.node.Lease.Fence(clock.Now()); !held || current != fence {
				return
			}
			order := willowwick.Order{Fence: fence, Withdraw: version, Deadline: clock.Now().Add(orderFor)}
			err := d.outside.Engine.Order(ctx, endpoint, order)
			if errors.Is(err, willowwick.ErrFenced) {
				d.metrics.fenceRefused.Inc()
			}
			if err == nil {
				d.ordered[key] = true
				slog.Info("withdrawal ordered", "endpoint", endpoint.ID, "version", version)
			}
		}
	}
}

// Evidence returns what this box has seen of a version.
func (d *Daemon) Evidence(version willowwick.VersionID) rollout.Evidence {
	d.watch.mu.Lock()
	defer d.watch.mu.Unlock()
	return d.watch.own[version]
}

// Node returns the daemon's part in the fleet.
func (d *Daemon) Node() *fleet.Node {
	return d.node
}
