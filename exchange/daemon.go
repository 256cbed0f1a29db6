package exchange

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
)

const (
	// dialLimit is how long a connection to an endpoint may take: the way there and back takes some milliseconds.
	dialTimeout = 500 * time.Millisecond
	// sendSilence is how long sent bytes may stay unacknowledged: a lost packet is sent again well before.
	unackedTimeout = 1500 * time.Millisecond
	// headerLimit bounds how long a caller may take to send its head, and headerBytes its size; the operator's
	// limits are below both.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleLimit is how long a caller's connection may rest: above what operators declare.
	callerIdleTimeout = 120 * time.Second
	// leaveEarly is how long before the end of the grace the process ends by itself; boxes with a fifth of a core take
	// most of it for the last steps.
	exitMargin = time.Second
	// lastAnswer is how long before that the time of the last requests is up: a goroutine of a box with a fifth of a core
	// may stand for 100 ms, and the end of a request's time and its answer are two of its steps.
	lastAnswerMargin = 250 * time.Millisecond
	// DefaultTurnAway is how long the entry takes to see that a box is not ready, and callers to finish what they began.
	DefaultTurnAway = 2500 * time.Millisecond
	// quietPoll is how often a stopping box looks whether requests are under way.
	idlePollInterval = 20 * time.Millisecond
	// quietLooks is how many looks in a row must find nothing: bytes of a request may be on their way meanwhile.
	idlePollsRequired = 3
	// leaveLimit is how long leaving the group may take.
	leaveGroupTimeout = 300 * time.Millisecond
)

type (
	// Outside is what a daemon reaches and is reached by.
	Dependencies struct {
		Control willowwick.Control
		Codec   willowwick.HeaderCodec
		Callers net.Listener
		Ready   net.Listener
		Peers   net.Listener
		Metrics net.Listener
		Hints   net.PacketConn // between boxes, at the address of Peers; nil for none
		// Counters are shown beside the daemon's own.
		Counters *metrics.Set
	}

	// Daemon is one box of the exchange.
	Daemon struct {
		router  *Router
		deps    Dependencies
		callers *callerListener
		servers []*http.Server
		workers fleet.Workers
		cancel  context.CancelFunc
	}
)

// New returns a daemon that is not running yet, and a function that closes its connections.
func New(settings Settings, outside Dependencies) (*Daemon, func()) {
	x, closeRouter := newRouter(settings, outside.Codec)
	x.sync = newSyncer(x, outside.Control)
	var closePeers func()
	x.peers, closePeers = newPeers(x)
	x.hints = newHints(x, outside.Hints)
	return &Daemon{router: x, deps: outside, callers: newCallerListener(outside.Callers)}, func() {
		closePeers()
		closeRouter()
	}
}

// Start serves callers, the entry, peers and metrics; the function it returns stops everything at once.
func (d *Daemon) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	x := d.router
	d.serve(d.callers, x)
	d.serve(d.deps.Ready, http.HandlerFunc(d.serveReady))
	d.serve(d.deps.Metrics, http.HandlerFunc(d.serveMetrics))
	d.workers.Go(func() {
		if err := x.peers.serve(d.deps.Peers); err != nil {
			slog.Error("peers are not served", "error", err)
		}
	})
	if d.deps.Hints != nil {
		d.workers.Go(x.hints.receive)
		d.workers.Go(func() { x.hints.send(ctx) })
	}
	for _, work := range []func(context.Context){
		x.gate.Run, x.sync.followDeclarations, x.sync.followRolloutOrders, x.sync.followEndpoints, x.sync.maintainMembership,
		x.sync.evaluateReleases, x.sync.writeRolloutStates, x.sync.keepHarmful, x.peers.run,
	} {
		d.workers.Go(func() { work(ctx) })
	}
	return d.stop
}

func (d *Daemon) stop() {
	d.cancel()
	for _, server := range d.servers {
		if err := server.Close(); err != nil {
			slog.Debug("server did not close", "error", err)
		}
	}
	if err := d.deps.Peers.Close(); err != nil {
		slog.Debug("listener for peers did not close", "error", err)
	}
	if d.deps.Hints == nil {
		return
	}
	if err := d.deps.Hints.Close(); err != nil {
		slog.Debug("datagrams of boxes did not close", "error", err)
	}
}

func (d *Daemon) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	if listener == d.callers {
		server.Handler = d.callers.takeOnly(handler)
		server.ConnContext = d.callers.noteConn
		server.ConnState = d.callers.noteState
	}
	d.servers = append(d.servers, server)
	d.workers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			slog.Error("server ended", "error", err)
		}
	})
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := d.router.ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if _, err := io.WriteString(w, why+"\n"); err != nil {
		slog.Debug("readiness was not read", "error", err)
	}
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.router.metrics.set.WritePrometheus(w)
	if d.deps.Counters != nil {
		d.deps.Counters.WritePrometheus(w)
	}
}

// Drain is the planned stop: not ready at once, still serving what comes, gone when nothing is under way any more
// or the grace is nearly over.
func (d *Daemon) Drain() {
	began := clock.Now()
	x := d.router
	slog.Info("planned stop began", "in_flight", x.inFlight.Load(), "grace_ms", x.settings.Grace.Milliseconds())
	x.stopping.Store(true)
	d.leaveGroup()
	limit := began.Add(x.settings.Grace - exitMargin)
	x.stopAt.Store(limit.Add(-lastAnswerMargin).UnixNano())
	time.Sleep(clock.Until(earliest(began.Add(x.settings.TurnAway), limit)))
	x.refusing.Store(true)
	// The listener stays: the entry uses boxes that are not ready where it has too few others. Connections at rest
	// stay too: a request may be on its way on them.
	awaitIdle(&d.callers.busy, limit)
	if err := d.callers.Close(); err != nil {
		slog.Debug("listener for callers did not close", "error", err)
	}
	ctx, cancel := clock.WithDeadline(context.Background(), limit)
	defer cancel()
	if left := d.callers.retire(ctx); left > 0 {
		slog.Info("requests were still under way at the end", "requests", left)
	}
	slog.Info("planned stop ended", "ms", clock.Since(began).Milliseconds())
}

// awaitQuiet waits until no caller's connection has had a request on it for some looks, or for the limit.
func awaitIdle(busy *atomic.Int64, limit time.Time) {
	for quiet := 0; quiet < idlePollsRequired && clock.Now().Before(limit); quiet++ {
		if busy.Load() > 0 {
			quiet = 0
		}
		time.Sleep(idlePollInterval)
	}
}

func (d *Daemon) leaveGroup() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveGroupTimeout)
	defer cancel()
	if err := d.deps.Control.Leave(ctx, memberName(d.router.peers.self())); err != nil {
		slog.Info("group was not left", "error", err)
	}
}
