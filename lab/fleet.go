package lab

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/standin"
	"github.com/willowwick/willowwick/wire"
)

const (
	platformHost      = "platform"
	fleetKey          = "the key of the lab's fleet"
	readyPollInterval = 50 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

type (
	// Options configures a Fleet.
	Options struct {
		Network  Network
		Boxes    int
		Halls    int
		Runners  int
		Slots    int // per runner
		Versions map[willowwick.VersionID]standin.VersionBehaviour
		Services map[willowwick.ServiceID]int // number of instances per service
		Settings serve.Settings               // applied to every daemon, with names and addresses filled in
	}

	// Fleet is a set of daemons and the stand-ins they talk to, in one process.
	Fleet struct {
		Platform *standin.Platform
		Runners  []*standin.Engine
		Services map[willowwick.ServiceID][]*standin.Service
		Boxes    []*Box

		options         Options
		platformURL     string
		runnerAddresses []string
		closers         []func()
	}

	// Box is a box and the daemon that runs on it, if any.
	Box struct {
		ID            willowwick.BoxID
		Hall          willowwick.HallID
		CallerAddress string
		AdminAddress  string
		Daemon        *serve.Daemon

		fleet      *Fleet
		startCount int
		stop       func()
	}
)

// NewFleet starts the stand-ins and the daemons, and returns a function that stops them all.
func NewFleet(options Options) (*Fleet, func(), error) {
	f := &Fleet{options: options, Platform: standin.NewPlatform(), Services: map[willowwick.ServiceID][]*standin.Service{}}
	address, err := f.serve(platformHost, f.Platform)
	if err != nil {
		return nil, nil, err
	}
	f.platformURL = "http://" + address
	if err := f.startEndpoints(); err != nil {
		f.close()
		return nil, nil, err
	}
	for i := range options.Boxes {
		box := &Box{ID: willowwick.BoxID("box" + itoa(i+1)), Hall: f.hallOf(i), fleet: f}
		f.Boxes = append(f.Boxes, box)
		if err := box.Start(); err != nil {
			f.close()
			return nil, nil, err
		}
	}
	return f, f.close, nil
}

func itoa(n int) string {
	return strconv.Itoa(n)
}

func (f *Fleet) hallOf(i int) willowwick.HallID {
	return willowwick.HallID(fmt.Sprintf("hall-%c", 'a'+rune(i%max(f.options.Halls, 1))))
}

// serve runs an HTTP server for a host until the fleet is closed, and returns its address.
func (f *Fleet) serve(host string, handler http.Handler) (string, error) {
	address, _, err := f.serveStoppable(host, handler)
	return address, err
}

// serveStoppable is serve with a function that closes the server and its connections earlier.
func (f *Fleet) serveStoppable(host string, handler http.Handler) (address string, stop func(), err error) {
	listener, err := f.options.Network.Listen(host)
	if err != nil {
		return "", nil, errors.Wrap(err, "lab")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	stop = func() { _ = server.Close() }
	f.closers = append(f.closers, func() {
		stop()
		<-done
	})
	return listener.Addr().String(), stop, nil
}

func (f *Fleet) startEndpoints() error {
	for i := range f.options.Runners {
		if err := f.startRunner(i); err != nil {
			return err
		}
	}
	for name, instances := range f.options.Services {
		for i := range instances {
			id := willowwick.EndpointID(string(name) + itoa(i+1))
			service := standin.NewService(id)
			address, err := f.serve(string(id), service)
			if err != nil {
				return err
			}
			f.Services[name] = append(f.Services[name], service)
			f.Platform.SetEndpoint(willowwick.Endpoint{ID: id, Kind: willowwick.KindService, Hall: f.hallOf(i), Address: address, Service: name})
		}
	}
	return nil
}

// startRunner starts runner i, counted from 0, and adds it to the platform's list.
func (f *Fleet) startRunner(i int) error {
	id := willowwick.EndpointID("runner" + itoa(i+1))
	behaviours := map[willowwick.VersionID]standin.VersionBehaviour{}
	endpoint := willowwick.Endpoint{ID: id, Kind: willowwick.KindRunner, Hall: f.hallOf(i), ChecksFencing: true}
	for version, behaviour := range f.options.Versions {
		behaviours[version] = behaviour
		endpoint.Versions = append(endpoint.Versions, version)
	}
	engine := standin.NewEngine(id, max(f.options.Slots, 1), behaviours)
	engine.ChecksFencing = true
	address, stop, err := f.serveStoppable(string(id), engine)
	engine.Crash = stop
	if err != nil {
		return err
	}
	endpoint.Address = address
	f.runnerAddresses = append(f.runnerAddresses, address)
	f.Runners = append(f.Runners, engine)
	f.Platform.SetEndpoint(endpoint)
	return nil
}

func (f *Fleet) close() {
	for _, box := range f.Boxes {
		box.Kill()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// Start starts a daemon on the box, without state from earlier starts, and adds the box to the platform's list.
func (b *Box) Start() error {
	network := b.fleet.options.Network
	var listeners [3]net.Listener
	for i := range listeners {
		listener, err := network.Listen(string(b.ID))
		if err != nil {
			return errors.Wrap(err, "lab")
		}
		listeners[i] = listener
	}
	b.startCount++
	b.CallerAddress, b.AdminAddress = listeners[0].Addr().String(), listeners[2].Addr().String()
	settings := b.fleet.options.Settings
	settings.Box, settings.Hall = b.ID, b.Hall
	settings.Boot = willowwick.BootID(fmt.Sprintf("%s.%d", b.ID, b.startCount))
	settings.PeerAddress, settings.Key = listeners[1].Addr().String(), []byte(fleetKey)
	dial := network.Dial(string(b.ID))
	client, closeClient := remote.NewClient(b.fleet.platformURL, dial)
	engines, closeEngines := remote.NewEngineClient(dial)
	services, closeServices := remote.NewServiceClient(dial)
	daemon, closeDaemon := serve.New(settings, serve.Dependencies{
		Log: client, Live: client, Rater: client, Engine: engines, Services: services,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		},
		Callers: listeners[0], Peers: listeners[1], Admin: listeners[2],
	})
	stop, err := daemon.Start()
	if err != nil {
		return err
	}
	b.Daemon = daemon
	b.stop = func() {
		// Peer connections close first, which ends calls under way and the loops that wait for them.
		closeDaemon()
		stop()
		closeClient()
		closeEngines()
		closeServices()
	}
	b.fleet.Platform.SetBox(willowwick.Box{ID: b.ID, Hall: b.Hall, Peer: settings.PeerAddress, Admin: b.AdminAddress})
	return nil
}

// Kill stops the daemon at once; its state is lost.
func (b *Box) Kill() {
	if b.stop != nil {
		b.stop()
		b.stop = nil
	}
}

// Stop drains and stops the daemon, and removes the box from the platform's list.
func (b *Box) Stop(ctx context.Context) error {
	if err := b.Daemon.Drain(ctx); err != nil {
		return err
	}
	b.fleet.Platform.RemoveBox(b.ID)
	b.Kill()
	return nil
}

// Running reports whether a daemon runs on the box.
func (b *Box) Running() bool {
	return b.stop != nil
}

// Publish appends a record to the configuration stream and returns its offset; it does not wait for the boxes to apply
// it.
func (f *Fleet) Publish(record config.Record) (willowwick.Offset, error) {
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	offset := f.Platform.Append(willowwick.StreamConfig, data)
	return offset, nil
}

// Apply publishes a folder's declarations as one change.
func (f *Fleet) Apply(files fs.FS) error {
	folder, err := config.ReadFolder(files)
	if err != nil {
		return err
	}
	if len(folder.Problems) > 0 {
		return folder.Problems[0]
	}
	state, err := f.State()
	if err != nil {
		return err
	}
	change := folder.Difference(state)
	change.ID, change.Author, change.Reason = "lab", "lab", "set up"
	_, err = f.Publish(config.Record{Kind: config.RecordChange, Change: &change})
	return err
}

// State returns the configuration state folded from the log.
func (f *Fleet) State() (*config.State, error) {
	return config.FoldAll(config.NewState(), f.Platform.Entries(willowwick.StreamConfig))
}

// WaitReady waits until every running box is ready and on the roster, or returns the reason why one is not.
func (f *Fleet) WaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		reason := f.unreadyReason()
		if reason == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("not ready: %s", reason)
		}
		time.Sleep(readyPollInterval)
	}
}

func (f *Fleet) unreadyReason() string {
	state, err := f.State()
	if err != nil {
		return err.Error()
	}
	running := 0
	for _, box := range f.Boxes {
		if !box.Running() {
			continue
		}
		running++
		status := box.Daemon.Status()
		if !status.Ready || status.Offset < state.Offset {
			return string(box.ID) + ": " + status.Readiness
		}
		if !state.Roster.IsMember(status.Boot) || status.Epoch != state.Roster.Epoch {
			return string(box.ID) + " is not on the roster"
		}
	}
	if len(state.Roster.Members) != running {
		return "the roster has members that are not running"
	}
	return ""
}

// Client returns an HTTP client that dials from the named host.
func (f *Fleet) Client(host string) *http.Client {
	transport := wire.CheckHeads(&http.Transport{DialContext: f.options.Network.Dial(host), MaxIdleConnsPerHost: 64, DisableCompression: true})
	f.closers = append(f.closers, transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// PlatformURL returns the base URL of the platform stand-in.
func (f *Fleet) PlatformURL() string {
	return f.platformURL
}

// RunnerAddress returns the address of runner i, counted from 0.
func (f *Fleet) RunnerAddress(i int) string {
	return f.runnerAddresses[i]
}
