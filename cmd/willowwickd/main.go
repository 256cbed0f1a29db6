package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/serve"
)

const (
	exitFailed          = 1
	exitInvalidSettings = 2
	bootIDBytes         = 6
)

func main() {
	options, err := parseOptions(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if problems := options.check(); len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(os.Stderr, "willowwickd:", problem)
		}
		os.Exit(exitInvalidSettings)
	}
	if options.checkOnly {
		fmt.Println("settings are valid")
		return
	}
	slog.SetDefault(options.logger())
	start := run
	if options.nodeFile != "" {
		start = runNode
	}
	if err := start(options); err != nil {
		slog.Error("daemon failed", "error", err)
		os.Exit(exitFailed)
	}
}

// parseOptions parses the flags; a flag that is not given takes the value of its environment variable.
func parseOptions(args []string) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet("willowwickd", flag.ContinueOnError)
	o.register(flags)
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("WILLOWWICK"))
	return o, errors.Wrap(err, "settings")
}

// run serves until a signal starts a planned stop; at a second signal the daemon ends its calls with an answer and stops at once.
func run(o *options) error {
	signals, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	daemon, closeDaemon, err := buildDaemon(o)
	if err != nil {
		return err
	}
	defer closeDaemon()
	stop, err := daemon.Start()
	if err != nil {
		return err
	}
	defer stop()
	slog.Info("daemon started", "box", o.box, "hall", o.hall, "listen", o.listen)
	<-signals.Done()
	stopSignals()
	secondSignal, stopSecondSignal := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSecondSignal()
	return daemon.Drain(secondSignal)
}

// buildDaemon opens the listeners and creates the daemon and its clients. The returned function closes the daemon and the
// clients.
func buildDaemon(o *options) (*serve.Daemon, func(), error) {
	listeners, err := listenAll(o.listen, o.peerListen, o.adminListen)
	if err != nil {
		return nil, nil, err
	}
	callerTLS, peerTLS, err := o.tlsConfigs()
	if err != nil {
		return nil, nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	platformClient, closePlatform := remote.NewClient(o.platform, dialer.DialContext)
	engines, closeEngines := remote.NewEngineClient(dialer.DialContext)
	services, closeServices := remote.NewServiceClient(dialer.DialContext)
	daemon, closeDaemon := serve.New(o.serveSettings(newBootID(), callerTLS, peerTLS), serve.Dependencies{
		Log: platformClient, Live: platformClient, Rater: platformClient, Engine: engines, Services: services,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Callers: listeners[0], Peers: listeners[1], Admin: listeners[2],
	})
	return daemon, func() {
		closeDaemon()
		closePlatform()
		closeEngines()
		closeServices()
	}, nil
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

// newBootID returns a random id for this start of the daemon.
func newBootID() willowwick.BootID {
	raw := make([]byte, bootIDBytes)
	_, _ = rand.Read(raw)
	return willowwick.BootID(hex.EncodeToString(raw))
}
