package lab

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/rollout"
)

// Content of the digests at the fleet size that the design targets, and timing of the measurement.
const (
	digestAccounts          = 10
	digestVersions          = 23
	digestRunners           = 670
	measuredChanges         = 5
	convergencePollInterval = 100 * time.Millisecond
	convergenceTimeout      = 60 * time.Second
	warmUpTime              = 25 * time.Second
	bytesPerKB              = 1000
	loadAge                 = 500 * time.Millisecond
)

type (
	// FleetSize is a fleet size to measure.
	FleetSize struct {
		Boxes int
		Halls int
	}

	// FleetCost is the cost per daemon of running a fleet of a size, without request traffic.
	FleetCost struct {
		Boxes            int     `json:"boxes"`
		Halls            int     `json:"halls"`
		KBPerSecond      float64 `json:"kb_per_second"`       // sent and received, mean over the daemons
		MaxKBPerSecond   float64 `json:"worst_kb_per_second"` // sent and received, maximum over the daemons
		CorePercent      float64 `json:"core_percent"`        // of one core, mean over the daemons
		HeapMB           float64 `json:"heap_mb"`             // mean over the daemons
		ReadsPerSecond   float64 `json:"log_reads_per_second"`
		AppendsPerSecond float64 `json:"log_appends_per_second"`
		InForceSeconds   float64 `json:"in_force_seconds"` // slowest of several changes until in force on all boxes
		RosterSeconds    float64 `json:"roster_seconds"`   // from the start until all boxes are on the roster
	}

	// countingLog is an in-process log that counts calls.
	countingLog struct {
		mu      sync.Mutex
		entries []willowwick.Entry
		reads   atomic.Int64
		appends atomic.Int64
	}

	// staticList is a list that never changes.
	staticList struct {
		listing willowwick.Listing
	}
)

// Append implements willowwick.Log.
func (l *countingLog) Append(_ context.Context, stream willowwick.StreamID, data []byte) (willowwick.Offset, error) {
	l.appends.Add(1)
	if stream != willowwick.StreamConfig {
		return 1, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := willowwick.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, willowwick.Entry{Offset: offset, Data: data})
	return offset, nil
}

// Read implements willowwick.Log.
func (l *countingLog) Read(_ context.Context, _ willowwick.StreamID, from willowwick.Offset, limit int) (willowwick.Page, error) {
	l.reads.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	page := willowwick.Page{First: 1, Next: willowwick.Offset(len(l.entries) + 1)}
	if from < page.Next {
		available := l.entries[from-1:]
		page.Entries = append(page.Entries, available[:min(limit, len(available))]...)
	}
	return page, nil
}

// List implements willowwick.LiveList.
func (l *staticList) List(_ context.Context, known string) (willowwick.Listing, bool, error) {
	return l.listing, known != l.listing.Revision, nil
}

// measuredFleet is a fleet of nodes without callers.
type measuredFleet struct {
	size       FleetSize
	log        *countingLog
	nodes      []*fleet.Node
	transports []*fleet.Transport
	closers    []func()
}

// MeasureFleet runs a fleet of a size in this process and measures its cost over a duration.
func MeasureFleet(size FleetSize, duration time.Duration) (FleetCost, error) {
	heapBefore := heapBytes()
	started := time.Now()
	f, err := newMeasuredFleet(size)
	if err != nil {
		return FleetCost{}, err
	}
	defer f.close()
	if err := f.waitForRoster(); err != nil {
		return FleetCost{}, err
	}
	cost := FleetCost{Boxes: size.Boxes, Halls: size.Halls, RosterSeconds: time.Since(started).Seconds()}
	// Measure only after the tables have filled and the roster has settled.
	time.Sleep(warmUpTime)
	f.measureTraffic(&cost, duration)
	cost.HeapMB = float64(heapBytes()-heapBefore) / float64(size.Boxes) / 1e6
	for n := range measuredChanges {
		elapsed, err := f.timeChange(n)
		if err != nil {
			return FleetCost{}, err
		}
		cost.InForceSeconds = max(cost.InForceSeconds, elapsed.Seconds())
	}
	return cost, nil
}

func newMeasuredFleet(size FleetSize) (*measuredFleet, error) {
	f := &measuredFleet{size: size, log: &countingLog{}}
	network := NewMemoryNetwork()
	listing := willowwick.Listing{Revision: "1"}
	var listeners []net.Listener
	for i := range size.Boxes {
		listener, err := network.Listen("box" + itoa(i))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		listing.Boxes = append(listing.Boxes, willowwick.Box{
			ID: willowwick.BoxID("box" + itoa(i)), Hall: willowwick.HallID("hall" + itoa(i%size.Halls)), Peer: listener.Addr().String(),
		})
	}
	list := &staticList{listing: listing}
	for i, box := range listing.Boxes {
		if err := f.startNode(network, list, listeners[i], box); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *measuredFleet) startNode(network *MemoryNetwork, list *staticList, listener net.Listener, box willowwick.Box) error {
	dial := network.Dial(string(box.ID))
	transport, closeTransport := fleet.NewTransport([]byte(fleetKey), func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	}, nil)
	seq := uint64(0)
	node := fleet.NewNode(fleet.Settings{
		Self: fleet.Identity{
			Box: box.ID, Boot: willowwick.BootID(string(box.ID) + ".1"), Hall: box.Hall, Peer: box.Peer, Started: time.Now(),
		},
		Log: f.log, Live: list, Listener: listener,
		OnRevision: func(*config.Revision) {}, OnListing: func(willowwick.Listing) {},
		FillDigest: func(d *fleet.Digest) {
			seq++
			fillDigest(d, seq, digestRunners*f.size.Halls/f.size.Boxes)
		},
		OnDigests: func([]fleet.Digest, []fleet.HallDigest) {},
		RunLeader: func(context.Context, willowwick.Fence) {},
	}, transport)
	stop, err := node.Start()
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, node)
	f.transports = append(f.transports, transport)
	f.closers = append(f.closers, func() {
		closeTransport()
		stop()
	})
	return nil
}

// fillDigest fills a digest with as much content as at the fleet size that the design targets.
func fillDigest(d *fleet.Digest, seq uint64, loads int) {
	for i := range digestAccounts {
		d.Demand.Add(fleet.HashName(fmt.Sprintf("account-%02d", i)), float64(seq*10))
	}
	for i := range digestVersions {
		d.Evidence.Add(fleet.HashName(fmt.Sprintf("model-%02d-version-1", i)),
			rollout.Evidence{Requests: seq * 100, Errors: seq, Slow: seq * 3, Rated: seq * 10, Low: seq})
	}
	now := time.Now()
	for i := range loads {
		d.Loads.Add(willowwick.EndpointLoad{
			Endpoint: willowwick.EndpointID(fmt.Sprintf("runner-%03d", i)), Running: 20, Waiting: 3, Slots: 64, At: now.Add(-loadAge),
		}, now)
	}
}

func (f *measuredFleet) close() {
	var closing sync.WaitGroup
	for _, closer := range f.closers {
		closing.Go(closer)
	}
	closing.Wait()
}

func (f *measuredFleet) waitForRoster() error {
	deadline := time.Now().Add(convergenceTimeout)
	for time.Now().Before(deadline) {
		done := true
		for _, node := range f.nodes {
			done = done && len(node.Follower.Revision().Roster.Members) == f.size.Boxes
		}
		if done {
			return nil
		}
		time.Sleep(convergencePollInterval)
	}
	return errors.Errorf("roster did not reach %d boxes within %s", f.size.Boxes, convergenceTimeout)
}

func (f *measuredFleet) measureTraffic(cost *FleetCost, duration time.Duration) {
	bytesBefore := make([]uint64, len(f.transports))
	for i, transport := range f.transports {
		bytesBefore[i] = transport.Sent.Load() + transport.Received.Load()
	}
	reads, appends, cpu := f.log.reads.Load(), f.log.appends.Load(), cpuTime()
	started := time.Now()
	time.Sleep(duration)
	seconds := time.Since(started).Seconds()
	cpuUsed := (cpuTime() - cpu).Seconds()
	var rates []float64
	total := 0.0
	for i, transport := range f.transports {
		rate := float64(transport.Sent.Load()+transport.Received.Load()-bytesBefore[i]) / seconds / bytesPerKB
		rates = append(rates, rate)
		total += rate
	}
	sort.Float64s(rates)
	boxes := float64(f.size.Boxes)
	cost.KBPerSecond, cost.MaxKBPerSecond = total/boxes, rates[len(rates)-1]
	cost.CorePercent = 100 * cpuUsed / seconds / boxes
	cost.ReadsPerSecond = float64(f.log.reads.Load()-reads) / seconds
	cost.AppendsPerSecond = float64(f.log.appends.Load()-appends) / seconds
}

// timeChange publishes a change and returns how long it takes to be in force on every node.
func (f *measuredFleet) timeChange(n int) (time.Duration, error) {
	withdraw := &config.Withdraw{ID: willowwick.ChangeID("slope" + itoa(n)), Version: willowwick.VersionID("version" + itoa(n))}
	data, err := config.Record{Kind: config.RecordWithdraw, Withdraw: withdraw}.Encode()
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if _, err := f.log.Append(context.Background(), willowwick.StreamConfig, data); err != nil {
		return 0, err
	}
	for time.Since(started) < convergenceTimeout {
		missing := 0
		for _, node := range f.nodes {
			if !node.Follower.Revision().IsWithdrawn(withdraw.Version) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(started), nil
		}
		time.Sleep(convergencePollInterval)
	}
	return 0, errors.Errorf("change was not in force on every node within %s", convergenceTimeout)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
