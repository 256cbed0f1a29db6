package main

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/exchange"
	"github.com/willowwick/willowwick/platform"
	"github.com/willowwick/willowwick/platform/api"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

const (
	// memoryLimitShare is the Go memory limit as a share of the platform's limit, which also counts bytes that have
	// arrived but are not read yet.
	memoryLimitShare = 0.7
	bytesPerMB       = 1 << 20
)

// runNode serves opaque requests on the users' platform until a signal starts a planned stop.
func runNode(o *options) error {
	settings, err := platform.ReadSettings(o.nodeFile)
	if err != nil {
		return err
	}
	loggerTo := func(out io.Writer) *slog.Logger { return o.loggerTo(out).With("box", settings.Box) }
	logs, flushLogs := exchange.NewLogQueue(os.Stdout, loggerTo)
	defer flushLogs()
	slog.SetDefault(loggerTo(logs))
	limitResources(settings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	set := metrics.NewSet()
	set.NewGauge("willowwick_log_lines_dropped", func() float64 { return float64(logs.Dropped()) })
	daemon, closeDaemon, err := buildNode(o, settings, set)
	if err != nil {
		return err
	}
	defer closeDaemon()
	stop := daemon.Start()
	defer stop()
	slog.Info("daemon started", "hall", settings.Hall, "callers", settings.CallerAddress, "peers", settings.PeerAddress,
		"metrics", settings.MetricsAddress, "store", settings.StoreAddress, "confidence", o.confidence)
	waitForStop(signals, o.nodeFile)
	daemon.Drain()
	return nil
}

// buildNode opens the listeners and creates the daemon and its clients. The returned function closes the daemon and the
// clients.
func buildNode(o *options, settings platform.Settings, set *metrics.Set) (*exchange.Daemon, func(), error) {
	callers, err := wire.Listen(settings.CallerAddress)
	if err != nil {
		return nil, nil, err
	}
	listeners, err := listenAll(settings.ReadinessAddress, settings.PeerAddress, settings.MetricsAddress, settings.PassedOnAddress)
	if err != nil {
		return nil, nil, err
	}
	hints, err := net.ListenPacket("udp", settings.PeerAddress)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	control, closeControl := platform.NewControl(settings, set)
	closeAPI := func() {}
	deps := exchange.Dependencies{
		Control: control, Codec: platform.Codec{}, Counters: set, Reports: api.NewReports(),
		Callers: callers, Ready: listeners[0], Peers: listeners[1], Metrics: listeners[2], Hints: hints, PassedOn: listeners[3],
	}
	if len(settings.Duties.Assigned) > 0 {
		deps.DutyLog = control.DutyLog()
		deps.DutyAPI, closeAPI = api.NewDuties(settings.Duties.APIAddress)
	}
	daemon, closeDaemon := exchange.New(o.exchangeSettings(settings), deps)
	return daemon, func() {
		closeDaemon()
		closeAPI()
		closeControl()
	}, nil
}

// limitResources keeps the process within the cores and the memory that the platform gives it.
func limitResources(settings platform.Settings) {
	runtime.GOMAXPROCS(1) // the platform gives the process a share of one core
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB*bytesPerMB)))
	}
}

// waitForStop returns at the first signal to stop; SIGHUP only makes it reread the settings file at path.
func waitForStop(signals <-chan os.Signal, path string) {
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		rereadSettings(path)
	}
}

// rereadSettings rereads the settings file and logs the outcome; the running process keeps its addresses and limits.
func rereadSettings(path string) {
	settings, err := platform.ReadSettings(path)
	slog.Info("settings file read again; what it changes takes effect at the next start", "callers", settings.CallerAddress, "error", err)
}

// exchangeSettings combines the options with the platform's settings file; the seed is derived from the box's name.
func (o *options) exchangeSettings(settings platform.Settings) exchange.Settings {
	seed := sha256.Sum256([]byte(settings.Box))
	bounds := settings.Bounds
	return exchange.Settings{
		Box: settings.Box, Hall: settings.Hall, Boot: newBootID(), Peers: settings.PeerAddress,
		LinkMbps: settings.LinkMbps, MemoryMB: settings.MemoryMB, Key: []byte(o.key),
		Seeds: settings.Seeds, Seed: binary.BigEndian.Uint64(seed[:]), Confidence: o.confidence, LateConfidence: o.lateConfidence,
		RetryBudget: route.RetryLimits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow},
		Releases:    exchange.ReleaseSettings{Session: bounds.SessionGap, Exposure: bounds.ExposureShare},
		Grace:       bounds.Grace, Drain: bounds.Drain, ConfigApplyLimit: bounds.ConfigApply, UnreadyDelay: exchange.DefaultUnreadyDelay,
		Regions: settings.Regions, RunnerUtilisation: o.runnerUtilisation,
		Duties: exchange.DutySettings{
			Assigned: settings.Duties.Assigned, CallsPerS: settings.Duties.CallsPerS,
			Lease: settings.Duties.Lease, MemberTTL: settings.MemberTTL(), UsageWindow: settings.Duties.UsageWindow, UsageDue: settings.Duties.UsageDue,
			UsageOff: settings.Duties.UsageOff,
		},
	}
}
