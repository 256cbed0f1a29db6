package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

const (
	// drainLimit is how long boxes may still send to a draining endpoint, and shutdownGrace is how long a daemon has to
	// shut down. Both are also settings of the boxes.
	drainLimit    = 2 * time.Second
	shutdownGrace = 8 * time.Second
	// configApplyLimit is the time after the write of a configuration within which its routes must be served, and
	// keyRevokeLimit is how long after the write a key that it removed may still be accepted.
	configApplyLimit = 2 * time.Second
	keyRevokeLimit   = 5 * time.Second
	// versionTimeout is the timeout of the routes that configurations add; it lies within the range of the callers' deadlines.
	versionTimeout = 1500 * time.Millisecond
	// settleTime is how long a box must have been without outage before time limits are checked.
	settleTime = 3 * time.Second
	// restartPause is the time that the platform takes to restart a process.
	restartPause = 200 * time.Millisecond
)

type (
	// soakSite is a site whose store and endpoints are reached through links.
	soakSite struct {
		t       *testing.T
		store   *standin.Store
		boxes   []*soakBox
		started time.Time // start of the traffic

		routesKept int                                       // number of newest versions whose routes a configuration contains; 0: all
		keysKept   int                                       // number of newest versions whose keys it contains; 0: all
		onPoison   func(*soakRunner)                         // crashes a runner that runs the poison request; nil in soaks without one
		adjust     func(*soakRunner, *standin.BatchSettings) // changes the settings of each runner; nil to leave them
		dutyAPI    *standin.DutyAPI                          // takes the calls of the duties; nil in soaks without them
		moreConfig func(config map[string]any)               // adds to each configuration; nil in soaks that need no more

		mu       sync.Mutex
		runners  []*soakRunner
		versions []time.Time    // when each configuration was written; the first is version 1
		planned  []*soakRequest // that events of the plan have sent
	}

	// soakBox is a daemon that is restarted whenever it exits.
	soakBox struct {
		*siteBox
		storeLink        *link
		apiLink          *link // to the API of the duties; nil in soaks without them
		isStopping       atomic.Bool
		supervisionEnded chan struct{}

		outages      intervals // unplanned faults of the box or its link to the store
		freezes      intervals // the outages during which the daemon was suspended
		plannedStops intervals // shutdowns by SIGTERM
		kills        intervals // moments at which the daemon was killed

		mu          sync.Mutex
		incarnation *daemonIncarnation // nil if no daemon is running
	}

	// daemonIncarnation is one process of a box's daemon.
	daemonIncarnation struct {
		number  int // the first is 1
		process *os.Process
	}

	// soakRunner is an endpoint behind a link.
	soakRunner struct {
		*standin.BatchRunner
		id, service, release string
		hall                 string // empty for the default hall
		link                 *link
		stop                 func()

		mu            sync.Mutex
		isStopClaimed bool      // an event drains or crashes it
		drainingAt    time.Time // when it reported draining; zero if it has not
	}
)

// newSoakSite starts a site whose configurations contain the routes of all versions and the key of the newest only.
func newSoakSite(t *testing.T, boxes, halls, runners int) *soakSite {
	return startSoakSite(&soakSite{t: t, store: standin.NewStore(), keysKept: 1}, boxes, halls, runners)
}

// startSoakSite starts the boxes and endpoints of a site.
func startSoakSite(s *soakSite, boxes, halls, runners int) *soakSite {
	t := s.t
	address, apiAddress := serveStandin(t, s.store), ""
	if s.dutyAPI != nil {
		apiAddress = serveStandin(t, s.dutyAPI)
	}
	s.writeConfig()
	for i := range runners {
		s.addRunner(fmt.Sprint("llm-", i), "llm", "v1")
		s.addRunner(fmt.Sprint("app-", i), "app", "v1")
	}
	var seeds []string
	for i := range boxes {
		box := newSoakBox(t, i, i%halls, newLink(t, address), apiAddress, seeds)
		seeds = append(seeds, box.peerAddress)
		s.boxes = append(s.boxes, box)
	}
	for _, box := range s.boxes {
		go box.supervise(t)
	}
	t.Cleanup(func() {
		for _, box := range s.boxes {
			box.stop()
		}
	})
	for _, box := range s.boxes {
		box.awaitReadiness(t, http.StatusOK)
	}
	return s
}

// newSoakBox writes the settings of a box whose seeds are the boxes created before it; it has duties if there is an API.
func newSoakBox(t *testing.T, number, hall int, storeLink *link, apiAddress string, seeds []string) *soakBox {
	fields := []string{
		fmt.Sprintf("bounds.drain-ms=%d", drainLimit.Milliseconds()), fmt.Sprintf("bounds.grace-s=%d", int(shutdownGrace.Seconds())),
		fmt.Sprintf("zone=hall-%c", 'a'+rune(hall)), "zones.hall-b=region", "seeds=" + strings.Join(seeds, ","),
	}
	box := &soakBox{storeLink: storeLink, supervisionEnded: make(chan struct{})}
	if apiAddress != "" {
		box.apiLink = newLink(t, apiAddress)
		fields = append(fields, dutyFields(box.apiLink.listenAddress)...)
	}
	box.siteBox = newSiteBox(t, number, storeLink.listenAddress, fields...)
	return box
}

// serveStandin serves a stand-in on loopback until the test ends.
func serveStandin(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (s *soakSite) addRunner(id, service, release string) *soakRunner {
	return s.addRunnerInHall("", id, service, release)
}

// addRunnerInHall adds a runner in a hall.
func (s *soakSite) addRunnerInHall(hall, id, service, release string) *soakRunner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	return s.serveRunner(&soakRunner{id: id, service: service, release: release, hall: hall, link: newLink(s.t, listener.Addr().String())}, listener)
}

// serveRunner starts a runner behind its link.
func (s *soakSite) serveRunner(r *soakRunner, listener net.Listener) *soakRunner {
	settings := runnerSettings(r.id, r.service, r.release, r.link.listenAddress)
	if r.hall != "" {
		settings.Hall = r.hall
	}
	if s.onPoison != nil {
		settings.CrashesOn, settings.OnCrash = isPoison, func() { s.onPoison(r) }
	}
	if s.adjust != nil {
		s.adjust(r, &settings)
	}
	runner, stopHeartbeats := standin.NewBatchRunner(settings, s.store)
	r.BatchRunner = runner
	server := &http.Server{Handler: runner, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(listener) }()
	r.stop = sync.OnceFunc(func() {
		stopHeartbeats()
		_ = server.Close()
	})
	s.t.Cleanup(r.stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners = append(s.runners, r)
	return r
}

// allRunners lists all runners, including stopped ones.
func (s *soakSite) allRunners() []*soakRunner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runners)
}

// claimRunner claims the oldest runner of a release that no other event stops; nil if there is none.
func (s *soakSite) claimRunner(service, release string) *soakRunner {
	runners := s.allRunners()
	at := slices.IndexFunc(runners, func(r *soakRunner) bool {
		return r.service == service && r.release == release && r.claimStop()
	})
	if at < 0 {
		return nil
	}
	return runners[at]
}

// claimStop reports whether the caller may stop the runner. It returns true only once.
func (r *soakRunner) claimStop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopClaimed {
		return false
	}
	r.isStopClaimed = true
	return true
}

// drainingSince returns when the runner reported draining; zero if it has not.
func (r *soakRunner) drainingSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drainingAt
}

// drain makes a runner report draining, serve for another 2*drainLimit, and stop.
func (r *soakRunner) drain(store *standin.Store) {
	r.Drain()
	r.mu.Lock()
	r.drainingAt = time.Now()
	r.mu.Unlock()
	time.Sleep(2 * drainLimit)
	r.crash(store)
}

// crash stops a runner at once and removes its entry from the store a second later.
func (r *soakRunner) crash(store *standin.Store) {
	r.stop()
	time.Sleep(time.Second)
	_ = store.Put("keyed.servers", r.id, nil)
}

// writeConfig writes the next configuration. Each version n adds the route /at-n/ and a key of its own. They are kept for
// routesKept and keysKept versions.
func (s *soakSite) writeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := len(s.versions) + 1
	var config map[string]any
	require.NoError(s.t, json.Unmarshal(fmt.Appendf(nil, siteConfig, version), &config))
	routes, _ := config["routes"].([]any)
	for n := firstKept(version, s.routesKept); n <= version; n++ {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("at-", n), "host": siteHost, "path-prefix": fmt.Sprintf("/at-%d/", n), "kind": "idempotent",
			"timeout-ms": versionTimeout.Milliseconds(), "goal-ms": 300, "priority": 2, "service": "app", "max-attempts": 3,
		})
	}
	config["routes"] = routes
	keys := []string{siteKey}
	for n := firstKept(version, s.keysKept); n <= version; n++ {
		keys = append(keys, versionKey(n))
	}
	if s.dutyAPI != nil {
		services, _ := config["services"].([]any)
		app, _ := services[1].(map[string]any)
		app["autoscale"] = map[string]any{"min": minRunners, "max": maxRunners, "boot-s": 1}
	}
	config["tenants"] = []any{map[string]any{"name": "lab", "api-keys": keys}}
	if s.moreConfig != nil {
		s.moreConfig(config)
	}
	require.NoError(s.t, s.store.Put("keyed.op", "config", config))
	s.versions = append(s.versions, time.Now())
}

// firstKept returns the oldest version whose additions the given version still contains, if they are kept for the given
// number of versions; 0: forever.
func firstKept(version, kept int) int {
	if kept == 0 {
		return 1
	}
	return max(version-kept+1, 1)
}

// removedAt returns when the first version without the additions of the given one was written; false if there is none.
func (s *soakSite) removedAt(version, kept int) (time.Time, bool) {
	if kept == 0 || version+kept > s.newestVersion() {
		return time.Time{}, false
	}
	return s.writtenAt(version + kept), true
}

// isRemovedBy reports whether the additions of a version were removed by the given time.
func (s *soakSite) isRemovedBy(version, kept int, by time.Time) bool {
	at, isRemoved := s.removedAt(version, kept)
	return isRemoved && !at.After(by)
}

// versionKeyFormat is the format of the key that a version adds.
const versionKeyFormat = "key-of-version-%d"

func versionKey(version int) string { return fmt.Sprintf(versionKeyFormat, version) }

// writtenAt returns when a version of the configuration was written.
func (s *soakSite) writtenAt(version int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[version-1]
}

func (s *soakSite) newestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.versions)
}

// dueVersion returns the newest version that must be in force, at least 1.
func (s *soakSite) dueVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := 1
	for n, written := range s.versions {
		if time.Since(written) > configApplyLimit {
			due = n + 1
		}
	}
	return due
}
