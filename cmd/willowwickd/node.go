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
	"github.com/willowwick/willowwick/route"
)

const (
	// memoryShare is the part of the memory limit at which the collector works harder: bytes that have
	// arrived but are not read yet count too.
	memoryShare = 0.7
	bytesPerMB  = 1 << 20
)

// runNode serves opaque requests on the users' platform until a signal asks for a planned stop.
func runNode(o *options) error {
	settings, err := platform.ReadSettings(o.nodeFile)
	if err != nil {
		return err
	}
	loggerTo := func(out io.Writer) *slog.Logger { return o.loggerTo(out).With("box", settings.Box) }
	logs, flushLogs := exchange.NewLogQueue(os.Stdout, loggerTo)
	defer flushLogs()
	slog.SetDefault(loggerTo(logs))
	boundResources(settings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	set := metrics.NewSet()
	set.NewGauge("willowwick_log_lines_dropped", func() float64 { return float64(logs.Dropped()) })
	control, closeControl := platform.NewControl(settings, set)
	defer closeControl()
	listeners, err := listenAll(settings.Callers, settings.Ready, settings.Peers, settings.Metrics)
	if err != nil {
		return err
	}
	hints, err := net.ListenPacket("udp", settings.Peers)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	daemon, closeDaemon := exchange.New(o.exchangeSettings(settings), exchange.Dependencies{
		Control: control, Codec: platform.Codec{}, Counters: set,
		Callers: listeners[0], Ready: listeners[1], Peers: listeners[2], Metrics: listeners[3], Hints: hints,
	})
	defer closeDaemon()
	stop := daemon.Start()
	defer stop()
	slog.Info("daemon started", "hall", settings.Hall, "callers", settings.Callers, "peers", settings.Peers,
		"metrics", settings.Metrics, "store", settings.Store, "confidence", o.confidence)
	awaitStop(signals, o.nodeFile)
	daemon.Drain()
	return nil
}

// boundResources keeps the process within what the platform gives it.
func boundResources(settings platform.Settings) {
	runtime.GOMAXPROCS(1) // the platform gives one core, and a part of it
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB*bytesPerMB)))
	}
}

// awaitStop returns at the first signal that asks for a stop.
func awaitStop(signals <-chan os.Signal, path string) {
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		reload(path)
	}
}

// reload reads the settings file again; addresses and bounds of a running process stay.
func reload(path string) {
	settings, err := platform.ReadSettings(path)
	slog.Info("settings file read again; what it changes takes effect at the next start", "callers", settings.Callers, "error", err)
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func (o *options) exchangeSettings(settings platform.Settings) exchange.Settings {
	seed := sha256.Sum256([]byte(settings.Box))
	bounds := settings.Bounds
	return exchange.Settings{
		Box: settings.Box, Hall: settings.Hall, Boot: newBoot(), Peers: settings.Peers, LinkMbps: settings.LinkMbps, Key: []byte(o.key),
		Seeds: settings.Seeds, Seed: binary.BigEndian.Uint64(seed[:]), Confidence: o.confidence, LateConfidence: o.lateConfidence,
		RetryBudget: route.RetryLimits{Ratio: bounds.RepeatRatio, Slack: bounds.RepeatSlack, Window: bounds.RepeatWindow},
		Releases:    exchange.ReleaseSettings{Session: bounds.Session, Exposure: bounds.ExposeShare},
		Grace:       bounds.Grace, Drain: bounds.Drain, ConfigApplyLimit: bounds.InForce, UnreadyDelay: exchange.DefaultUnreadyDelay,
	}
}
