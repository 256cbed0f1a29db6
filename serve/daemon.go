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
	"github.com/willowwick/willowwick/wire"
)

const (
	evaluationInterval = time.Second
	loadPollInterval   = 500 * time.Millisecond
	loadTimeout        = time.Second
	maxConcurrentPolls = 16
	readHeaderTimeout  = 10 * time.Second
	maxHeaderBytes     = 64 << 10
	withdrawalOrderTTL = 10 * time.Second
)

type (
	// Daemon serves callers, other boxes and operators on one box.
	Daemon struct {
		settings       Settings
		deps           Dependencies
		node           *fleet.Node
		pool           *route.Pool
		gate           *gate.Gate
		learner        *route.Learner
		limiter        *route.AccountLimiter
		retries        *route.RetryBudget
		sessions       *sessions
		traces         *traces
		versionWatcher *versionWatcher
		config         *configRefresher
		rater          *raterHealth
		metrics        *daemonMetrics

		inFlight           atomic.Int64
		nextID             atomic.Uint64
		notReady           atomic.Bool // the box is draining
		refusing           atomic.Bool // the box is draining and refuses new requests
		requestSlots       chan struct{}
		activeConns        connTracker
		ending             context.Context // done shortly before a planned stop must end: calls in progress end with it
		endCalls           context.CancelFunc
		callers            *http.Server
		callerConns        *wire.CallerListener
		admin              *http.Server
		orderedWithdrawals map[withdrawalKey]bool

		endpointNames atomic.Pointer[map[fleet.NameHash]willowwick.EndpointID]

		lastReason string // reason of the readiness last logged
		cancel     context.CancelFunc
		workers    fleet.Workers
	}

	withdrawalKey struct {
		endpoint willowwick.EndpointID
		version  willowwick.VersionID
		fence    willowwick.Fence
	}
)

// New returns a daemon that is not started yet, and a function that closes its connections to peers.
func New(settings Settings, deps Dependencies) (*Daemon, func()) {
	settings = settings.WithDefaults()
	seed := xxhash.Sum64String(string(settings.Boot))
	d := &Daemon{
		settings: settings, deps: deps,
		gate: gate.New(), learner: route.NewLearner(), limiter: route.NewAccountLimiter(),
		retries: route.NewRetryBudget(), traces: newTraces(), rater: newRaterHealth(),
		requestSlots: make(chan struct{}, settings.MaxRequests), orderedWithdrawals: map[withdrawalKey]bool{},
		callerConns: wire.NewCallerListener(deps.Callers, nil),
	}
	d.ending, d.endCalls = context.WithCancel(context.Background())
	d.endpointNames.Store(&map[fleet.NameHash]willowwick.EndpointID{})
	transport, closeTransport := fleet.NewTransport(settings.Key, deps.Dial, settings.PeerTLS)
	self := fleet.Identity{
		Box: settings.Box, Boot: settings.Boot, Hall: settings.Hall, Peer: settings.PeerAddress, Started: clock.Now(),
	}
	d.node = fleet.NewNode(fleet.Settings{
		Self: self, Log: deps.Log, Live: deps.Live, Listener: deps.Peers,
		OnRevision: d.onRevision, OnListing: d.onListing, FillDigest: d.fillDigest, OnDigests: d.onDigests, RunLeader: d.runLeaderTasks,
	}, transport)
	d.pool = route.NewPoolWith(route.NewPowerOfTwo(settings.Hall, true, seed), route.PoolOptions{Limits: d.node.Limits})
	d.sessions = newSessions(settings.Key, d.node)
	d.versionWatcher = newVersionWatcher(d)
	d.config = newConfigRefresher(d.node.Follower)
	d.metrics = newDaemonMetrics(d)
	return d, closeTransport
}

// Start serves callers, peers and operators; the returned function stops everything at once.
func (d *Daemon) Start() (func(), error) {
	stopNode, err := d.node.Start()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.callers = d.newServer(d.callerConns.RejectRetired(d.trackConns(d.callerHandler())))
	d.callers.ConnContext = d.callerConns.ConnContext
	d.callers.ConnState = func(conn net.Conn, state http.ConnState) {
		d.callerConns.TrackState(conn, state)
		d.activeConns.onStateChange(conn, state)
	}
	d.callers.TLSConfig = d.settings.CallerTLS
	d.admin = d.newServer(d.adminHandler())
	d.workers.Go(func() { d.gate.Run(ctx) })
	d.workers.Go(func() { d.pollLoads(ctx) })
	d.workers.Go(func() { d.watchVersions(ctx) })
	d.workers.Go(func() { d.serveCallers() })
	d.workers.Go(func() { serveUntilClosed(d.admin.Serve(d.deps.Admin)) })
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
		serveUntilClosed(d.callers.ServeTLS(d.callerConns, "", ""))
		return
	}
	serveUntilClosed(d.callers.Serve(d.callerConns))
}

func serveUntilClosed(err error) {
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		slog.Error("server stopped unexpectedly", "error", err)
	}
}

func (d *Daemon) isRefusing() bool {
	return d.refusing.Load()
}

// isIsolated reports whether this box has reached neither the log nor half of the fleet for longer than isolatedAfter.
func (d *Daemon) isIsolated(now time.Time) bool {
	return !d.node.IsConfigCurrent(now) && now.Sub(d.node.Follower.ConfirmedAt()) > isolatedAfter
}

// ready reports whether the balancer should send requests to this box, and the reason if not.
func (d *Daemon) ready() (ok bool, reason string) {
	now := clock.Now()
	switch {
	case d.notReady.Load():
		return false, "stopping"
	case d.node.Follower.Revision().Offset == 0:
		return false, "no configuration yet"
	case d.node.Follower.IsBlocked():
		return false, "the log contains a record of a newer schema"
	case d.isIsolated(now):
		return false, "neither the log nor half of the fleet is reached"
	case d.node.Usage.IsFull():
		return false, "the usage backlog is full"
	}
	if _, listed := d.node.Listing(); !listed {
		return false, "the list of endpoints has not been read yet"
	}
	return true, "ready"
}

func (d *Daemon) onRevision(r *config.Revision) {
	slog.Debug("configuration in force", "box", d.settings.Box, "offset", r.Offset)
}

func (d *Daemon) onListing(listing willowwick.Listing) {
	d.pool.Update(listing.Endpoints)
	names := make(map[fleet.NameHash]willowwick.EndpointID, len(listing.Endpoints))
	for _, endpoint := range listing.Endpoints {
		names[fleet.HashName(endpoint.ID)] = endpoint.ID
	}
	d.endpointNames.Store(&names)
}

// fillDigest adds this daemon's fields to the digest that the box sends to others, and divides the rate limits anew.
func (d *Daemon) fillDigest(digest *fleet.Digest) {
	now := clock.Now()
	for account, rate := range d.limiter.Measure(now) {
		digest.Demand.Add(fleet.HashName(account), rate)
	}
	digest.Evidence = d.versionWatcher.counts()
	digest.Leaving = d.pool.Draining()
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

// onDigests takes over the endpoint loads and draining endpoints that other boxes report.
func (d *Daemon) onDigests(digests []fleet.Digest, halls []fleet.HallDigest) {
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
		d.markDraining(digest.Leaving)
	}
	for _, hall := range halls {
		d.markDraining(hall.Leaving)
	}
}

func (d *Daemon) markDraining(endpoints []willowwick.EndpointID) {
	for _, id := range endpoints {
		d.pool.MarkDraining(id)
	}
}

// polledEndpoints returns the endpoints that this box polls for their load; the
// boxes of a hall divide them by rendezvous hashing.
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

// polledLoads returns the newest load reports of the endpoints that this box polls.
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
		slots := make(chan struct{}, maxConcurrentPolls)
		for _, endpoint := range d.polledEndpoints() {
			slots <- struct{}{}
			polls.Go(func() {
				defer func() { <-slots }()
				d.pollLoad(ctx, endpoint)
			})
		}
		polls.Wait()
		pause(ctx, loadPollInterval)
	}
}

func (d *Daemon) pollLoad(ctx context.Context, endpoint willowwick.Endpoint) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := d.deps.Engine.Load(callCtx, endpoint)
	if err != nil {
		return
	}
	// The report's time is by the endpoint's clock, so it is replaced with the time of arrival.
	load.At = clock.Now()
	d.pool.Report(load)
}

func (d *Daemon) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		d.versionWatcher.evaluate(clock.Now(), d.node.Follower.Revision())
		d.logReadiness()
		pause(ctx, evaluationInterval)
	}
}

// logReadiness logs changes of readiness.
func (d *Daemon) logReadiness() {
	ok, reason := d.ready()
	if reason != d.lastReason {
		slog.Info("readiness changed", "box", d.settings.Box, "ready", ok, "why", reason)
		d.lastReason = reason
	}
}

// runLeaderTasks runs on the holder of the lease: it advances roll-outs and orders withdrawals.
func (d *Daemon) runLeaderTasks(ctx context.Context, fence willowwick.Fence) {
	r := d.node.Follower.Revision()
	for _, step := range d.versionWatcher.readySteps(r) {
		step.Fence = fence
		data, err := config.Record{Kind: config.RecordRollout, Rollout: &step}.Encode()
		if err != nil {
			slog.Error("roll-out step could not be encoded", "error", err)
			continue
		}
		if _, err := d.deps.Log.Append(ctx, willowwick.StreamConfig, data); err == nil {
			slog.Info("roll-out step written", "rollout", step.Rollout, "step", step.Step)
			_ = d.node.Follower.ReadLog(ctx)
		}
	}
	d.orderWithdrawals(ctx, r, fence)
}

// orderWithdrawals orders runners to drop withdrawn versions.
//
// Right before each order the log is read to its end, so that a holder of the
// lease that was suspended notices its successor. An order is idempotent and has
// a deadline.
func (d *Daemon) orderWithdrawals(ctx context.Context, r *config.Revision, fence willowwick.Fence) {
	for _, endpoint := range d.pool.Endpoints() {
		for _, version := range endpoint.Versions {
			key := withdrawalKey{endpoint: endpoint.ID, version: version, fence: fence}
			if !r.IsWithdrawn(version) || d.orderedWithdrawals[key] {
				continue
			}
			if err := d.node.Follower.ReadLog(ctx); err != nil {
				return
			}
			if current, held := d.node.Lease.Fence(clock.Now()); !held || current != fence {
				return
			}
			order := willowwick.Order{Fence: fence, Withdraw: version, Deadline: clock.Now().Add(withdrawalOrderTTL)}
			err := d.deps.Engine.Order(ctx, endpoint, order)
			if errors.Is(err, willowwick.ErrFenced) {
				d.metrics.ordersFencedOff.Inc()
			}
			if err == nil {
				d.orderedWithdrawals[key] = true
				slog.Info("withdrawal ordered", "endpoint", endpoint.ID, "version", version)
			}
		}
	}
}

// Evidence returns the evidence of this box on a version.
func (d *Daemon) Evidence(version willowwick.VersionID) rollout.Evidence {
	d.versionWatcher.mu.Lock()
	defer d.versionWatcher.mu.Unlock()
	return d.versionWatcher.ownEvidence[version]
}

// Node returns the daemon's node in the fleet.
func (d *Daemon) Node() *fleet.Node {
	return d.node
}
