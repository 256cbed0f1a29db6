package exchange

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/wire"
)

const (
	// dialTimeout bounds connecting to an endpoint: the round trip takes some milliseconds.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout bounds how long sent bytes may stay unacknowledged: a lost packet is retransmitted well before.
	unackedTimeout = 1500 * time.Millisecond
	// headerTimeout bounds the time to read a caller's request header, and maxHeaderBytes its size; both are above the
	// limits that operators declare.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout bounds how long a caller's connection may be idle; it is above what operators declare.
	callerIdleTimeout = 120 * time.Second
	// exitMargin is how long before the end of the grace period the process exits by itself; boxes with a fifth of a
	// core take most of it for the last steps.
	exitMargin = time.Second
	// lastAnswerMargin is how long before that exit calls that are still in progress end, so that their callers get an answer.
	// On a box with a fifth of a core a goroutine may be delayed by 100 ms, and this can happen twice: at the timeout, and as
	// the answer is written.
	lastAnswerMargin = 250 * time.Millisecond
	// DefaultUnreadyDelay is the default of Settings.UnreadyDelay: the time the load balancer takes to notice that a box
	// is not ready, and callers to finish what they began.
	DefaultUnreadyDelay = 2500 * time.Millisecond
	// idlePollInterval is how often a stopping box checks for requests in progress.
	idlePollInterval = 20 * time.Millisecond
	// idlePollsRequired is how many consecutive checks must find none: bytes of a request may arrive between two of
	// them.
	idlePollsRequired = 3
	// leaveGroupTimeout bounds the call by which a stopping box leaves the store's group of boxes.
	leaveGroupTimeout = 300 * time.Millisecond
)

type (
	// Dependencies are the store, the codec, the listeners and the connections that a daemon uses.
	Dependencies struct {
		Control willowwick.Control
		Codec   willowwick.HeaderCodec
		Callers net.Listener
		Ready   net.Listener
		Peers   net.Listener
		Metrics net.Listener
		Hints   net.PacketConn // datagrams between boxes, at the address of Peers; nil for none
		// PassedOn takes the requests that other boxes pass on; nil if this box takes none.
		PassedOn net.Listener
		// DialEndpoint opens connections to endpoints; nil for the usual way.
		DialEndpoint wire.DialFunc
		// DutyLog and DutyAPI serve the fleet's duties; nil if Settings.Duties assigns none.
		DutyLog willowwick.DutyLog
		DutyAPI willowwick.DutyAPI
		// Reports tells when endpoints end whose entries don't; nil if nothing does.
		Reports willowwick.EndpointReports
		// Counters are exposed beside the daemon's own metrics.
		Counters *metrics.Set
	}

	// Daemon runs a Router with its listeners and background loops; each box runs one.
	Daemon struct {
		router  *Router
		deps    Dependencies
		callers *wire.CallerListener
		servers []*http.Server
		workers fleet.Workers
		cancel  context.CancelFunc
	}
)

// New returns a daemon that is not running yet, and a function that closes its connections.
func New(settings Settings, deps Dependencies) (*Daemon, func()) {
	x, closeRouter := newRouterWith(settings, deps.Codec, deps.DialEndpoint)
	x.sync = newSyncer(x, deps.Control)
	x.departures.reports = deps.Reports
	if deps.PassedOn != nil {
		x.offers.address = deps.PassedOn.Addr().String()
	}
	var closePeers func()
	x.peers, closePeers = newPeers(x)
	x.hints = newHints(x, deps.Hints)
	x.duties = newDuties(x, deps.DutyLog)
	x.duties.addWorker(willowwick.DutyUsage, x.usage.work(x.duties, deps.DutyAPI))
	x.duties.addWorker(willowwick.DutyScale, newAutoscaler(x, x.duties, deps.DutyAPI).work)
	x.callers = wire.NewCallerListener(deps.Callers, x.callersAdmission)
	x.callers.OnFirstRequest = func(took time.Duration) { x.metrics.firstArrivals.Update(took.Seconds()) }
	return &Daemon{router: x, deps: deps, callers: x.callers}, func() {
		closePeers()
		x.departures.workers.Close()
		closeRouter()
	}
}

// Start serves callers, the load balancer's readiness checks, peers and metrics; the function it returns stops
// everything immediately.
func (d *Daemon) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	x := d.router
	d.serve(d.callers, x)
	if d.deps.PassedOn != nil {
		d.serve(d.deps.PassedOn, x.offers)
	}
	d.serve(d.deps.Ready, http.HandlerFunc(d.serveReady))
	d.serve(d.deps.Metrics, http.HandlerFunc(d.serveMetrics))
	d.workers.Go(func() {
		if err := x.peers.serve(d.deps.Peers); err != nil {
			slog.Error("serving peers failed", "error", err)
		}
	})
	if d.deps.Hints != nil {
		d.workers.Go(x.hints.receive)
		d.workers.Go(func() { x.hints.send(ctx) })
	}
	for _, work := range append(x.duties.loops(),
		x.gate.Run, x.sync.followDeclarations, x.sync.followRolloutOrders, x.sync.followEndpoints, x.sync.maintainMembership,
		x.sync.evaluateReleases, x.sync.writeRolloutStates, x.sync.runPoisonSync, x.peers.run, x.peers.reserve, x.reach.run,
	) {
		d.workers.Go(func() { work(ctx) })
	}
	return d.stop
}

func (d *Daemon) stop() {
	d.cancel()
	for _, server := range d.servers {
		if err := server.Close(); err != nil {
			slog.Debug("closing a server failed", "error", err)
		}
	}
	if err := d.deps.Peers.Close(); err != nil {
		slog.Debug("closing the listener for peers failed", "error", err)
	}
	if d.deps.Hints == nil {
		return
	}
	if err := d.deps.Hints.Close(); err != nil {
		slog.Debug("closing the hint socket failed", "error", err)
	}
}

func (d *Daemon) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	if listener == d.callers {
		server.Handler = d.callers.RejectRetired(wire.ResetUnfinished(handler))
		server.ConnContext = d.callers.ConnContext
		server.ConnState = d.callers.TrackState
	}
	d.servers = append(d.servers, server)
	d.workers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			slog.Error("HTTP server failed", "error", err)
		}
	})
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := d.router.ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if _, err := io.WriteString(w, why+"\n"); err != nil {
		slog.Debug("writing the readiness answer failed", "error", err)
	}
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.router.metrics.set.WritePrometheus(w)
	if d.deps.Counters != nil {
		d.deps.Counters.WritePrometheus(w)
	}
}

// Drain is the planned stop: the box is not ready from now on, still serves what arrives, and returns when no request
// is in progress or the grace period is nearly over. What is still in progress then gets a refusal, or its answer is broken off visibly.
func (d *Daemon) Drain() {
	began := clock.Now()
	x := d.router
	slog.Info("planned stop began", "in_flight", x.inFlight.Load(), "grace_ms", x.settings.Grace.Milliseconds())
	x.stopping.Store(true)
	x.peers.requestRound() // another box becomes the hub at once
	x.duties.giveUp()
	d.leaveGroup()
	limit := began.Add(x.settings.Grace - exitMargin)
	stopAt := limit.Add(-lastAnswerMargin)
	x.stopAt.Store(stopAt.UnixNano())
	defer time.AfterFunc(clock.Until(stopAt), x.endCalls).Stop()
	time.Sleep(clock.Until(earliest(began.Add(x.settings.UnreadyDelay), limit)))
	x.refusesLate.Store(true)
	// The listener stays open until awaitIdle returns: the load balancer uses boxes that are not ready where it
	// has too few others. Idle connections stay open too: a request may be in transit on them.
	awaitIdle(func() int64 { return max(d.callers.Busy(), x.inFlight.Load()) }, limit)
	if err := d.callers.Close(); err != nil {
		slog.Debug("closing the listener for callers failed", "error", err)
	}
	ctx, cancel := clock.WithDeadline(context.Background(), limit)
	defer cancel()
	if left := d.callers.Retire(ctx, 0); left > 0 {
		slog.Info("requests were still in progress at the end of the grace period", "requests", left)
	}
	x.usage.tellLast(limit)
	slog.Info("planned stop ended", "ms", clock.Since(began).Milliseconds())
}

// awaitIdle waits until consecutive checks find no caller's connection with a request in progress, or until the limit.
func awaitIdle(busy func() int64, limit time.Time) {
	for quiet := 0; quiet < idlePollsRequired && clock.Now().Before(limit); quiet++ {
		if busy() > 0 {
			quiet = 0
		}
		time.Sleep(idlePollInterval)
	}
}

func (d *Daemon) leaveGroup() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveGroupTimeout)
	defer cancel()
	if err := d.deps.Control.Leave(ctx, memberName(d.router.peers.self())); err != nil {
		slog.Info("leaving the group failed", "error", err)
	}
}
