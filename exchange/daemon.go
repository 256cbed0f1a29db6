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
	"github.com/willowwick/willowwick/fleet"
)

const (
	// dialLimit is how long a connection to an endpoint may take: the way there and back takes some milliseconds.
	dialLimit = 500 * time.Millisecond
	// sendSilence is how long sent bytes may stay unacknowledged: a lost packet is sent again well before.
	sendSilence = 1500 * time.Millisecond
	// headerLimit bounds how long a caller may take to send its head, and headerBytes its size; the operator's
	// limits are below both.
	headerLimit = 10 * time.Second
	headerBytes = 64 << 10
	// idleLimit is how long a caller's connection may rest: above what operators declare.
	idleLimit = 120 * time.Second
	// leaveEarly is how long before the end of the grace the process ends by itself.
	leaveEarly = 600 * time.Millisecond
	// DefaultTurnAway is how long the entry takes to see that a box is not ready, and callers to finish what they began.
	DefaultTurnAway = 2500 * time.Millisecond
	// quietPoll is how often a stopping box looks whether requests are under way.
	quietPoll = 20 * time.Millisecond
	// callerServer is the place of the server for callers among the servers.
	callerServer = 0
	// leaveLimit is how long leaving the group may take.
	leaveLimit = 300 * time.Millisecond
)

type (
	// Outside is what a daemon reaches and is reached by.
	Outside struct {
		Control willowwick.Control
		Codec   willowwick.HeaderCodec
		Callers net.Listener
		Ready   net.Listener
		Peers   net.Listener
		Metrics net.Listener
		// Counters are shown beside the daemon's own.
		Counters *metrics.Set
	}

	// Daemon is one box of the exchange.
	Daemon struct {
		router  *Router
		outside Outside
		servers []*http.Server
		workers fleet.Workers
		cancel  context.CancelFunc
	}
)

// New returns a daemon that is not running yet, and a function that closes its connections.
func New(settings Settings, outside Outside) (*Daemon, func()) {
	x, closeRouter := newRouter(settings, outside.Codec)
	x.sync = newSyncer(x, outside.Control)
	var closePeers func()
	x.peers, closePeers = newPeers(x)
	return &Daemon{router: x, outside: outside}, func() {
		closePeers()
		closeRouter()
	}
}

// Start serves callers, the entry, peers and metrics; the function it returns stops everything at once.
func (d *Daemon) Start() func() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	x := d.router
	d.serve(d.outside.Callers, x)
	d.serve(d.outside.Ready, http.HandlerFunc(d.answerReady))
	d.serve(d.outside.Metrics, http.HandlerFunc(d.answerMetrics))
	d.workers.Go(func() {
		if err := x.peers.serve(d.outside.Peers); err != nil {
			slog.Error("peers are not served", "error", err)
		}
	})
	for _, work := range []func(context.Context){
		x.gate.Run, x.sync.followDeclarations, x.sync.followEndpoints, x.sync.keepMembership, x.sync.lead, x.peers.run,
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
	if err := d.outside.Peers.Close(); err != nil {
		slog.Debug("listener for peers did not close", "error", err)
	}
}

func (d *Daemon) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	d.servers = append(d.servers, server)
	d.workers.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("server ended", "error", err)
		}
	})
}

func (d *Daemon) answerReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := d.router.ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if _, err := io.WriteString(w, why+"\n"); err != nil {
		slog.Debug("readiness was not read", "error", err)
	}
}

func (d *Daemon) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	d.router.metrics.set.WritePrometheus(w)
	if d.outside.Counters != nil {
		d.outside.Counters.WritePrometheus(w)
	}
}

// Drain is the planned stop: not ready at once, still serving what comes, gone when nothing is under way any more
// or the grace is nearly over.
func (d *Daemon) Drain() {
	began := time.Now()
	x := d.router
	slog.Info("planned stop began", "in_flight", x.inFlight.Load(), "grace_ms", x.settings.Grace.Milliseconds())
	x.stopping.Store(true)
	d.leaveGroup()
	limit := began.Add(x.settings.Grace - leaveEarly)
	x.stopAt.Store(limit.UnixNano())
	sleepUntil(earliest(began.Add(x.settings.TurnAway), limit))
	x.refusing.Store(true)
	// Callers that rest on open connections find them closed, with nothing of theirs read. The listener stays: the
	// entry uses boxes that are not ready where it has too few others.
	d.servers[callerServer].SetKeepAlivesEnabled(false)
	for time.Now().Before(limit) && x.inFlight.Load() > 0 {
		time.Sleep(quietPoll)
	}
	// A request may have been read since the last look: the server knows, and waits for it.
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := d.servers[callerServer].Shutdown(ctx); err != nil {
		slog.Info("requests were still under way at the end", "in_flight", x.inFlight.Load(), "error", err)
	}
	slog.Info("planned stop ended", "ms", time.Since(began).Milliseconds())
}

func (d *Daemon) leaveGroup() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	if err := d.outside.Control.Leave(ctx, d.router.settings.Peers); err != nil {
		slog.Info("group was not left", "error", err)
	}
}

func sleepUntil(at time.Time) {
	time.Sleep(time.Until(at))
}

func contextUntil(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, deadline)
}
