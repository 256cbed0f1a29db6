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

// The content of the digests at the size to design for.
const (
	slopeAccounts  = 10
	slopeVersions  = 23
	slopeRunners   = 670
	slopeChanges   = 5
	slopeSettle    = 100 * time.Millisecond
	slopeLimit     = 60 * time.Second
	slopeRest      = 25 * time.Second
	slopeBytesUnit = 1000
	slopeAge       = 500 * time.Millisecond
)

type (
	// FleetSize is one size at which the fleet's own traffic is measured.
	FleetSize struct {
		Boxes int
		Halls int
	}

	// FleetCost is what the fleet costs each daemon at a size.
	FleetCost struct {
		Boxes          int     `json:"boxes"`
		Halls          int     `json:"halls"`
		KBPerSecond    float64 `json:"kb_per_second"`       // sent and received, by a daemon on average
		WorstKB        float64 `json:"worst_kb_per_second"` // by the daemon with the most
		CorePercent    float64 `json:"core_percent"`        // of one core, by a daemon on average
		HeapMB         float64 `json:"heap_mb"`             // by a daemon on average
		ReadsPerSecond float64 `json:"log_reads_per_second"`
		AppendsPerSec  float64 `json:"log_appends_per_second"`
		InForceSeconds float64 `json:"in_force_seconds"` // the slowest of some changes, everywhere
		RosterSeconds  float64 `json:"roster_seconds"`   // from the start until all boxes are on the roster
	}

	// countedLog is the platform's log without a network, counting calls.
	countedLog struct {
		mu      sync.Mutex
		entries []willowwick.Entry
		reads   atomic.Int64
		appends atomic.Int64
	}

	// fixedList is a list that does not change.
	fixedList struct {
		listing willowwick.Listing
	}
)

// Append implements willowwick.Log.
func (l *countedLog) Append(_ context.Context, stream willowwick.StreamID, data []byte) (willowwick.Offset, error) {
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
func (l *countedLog) Read(_ context.Context, _ willowwick.StreamID, from willowwick.Offset, limit int) (willowwick.Page, error) {
	l.reads.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	page := willowwick.Page{First: 1, Next: willowwick.Offset(len(l.entries) + 1)}
	if from < page.Next {
		rest := l.entries[from-1:]
		page.Entries = append(page.Entries, rest[:min(limit, len(rest))]...)
	}
	return page, nil
}

// List implements willowwick.LiveList.
func (l *fixedList) List(_ context.Context, known string) (willowwick.Listing, bool, error) {
	return l.listing, known != l.listing.Revision, nil
}

// slopeFleet is a fleet of nodes without callers.
type slopeFleet struct {
	size       FleetSize
	log        *countedLog
	nodes      []*fleet.Node
	transports []*fleet.Transport
	closers    []func()
}

// MeasureFleet runs a fleet of a size in this process and measures it for a while.
func MeasureFleet(size FleetSize, length time.Duration) (FleetCost, error) {
	before := heapBytes()
	begun := time.Now()
	f, err := newSlopeFleet(size)
	if err != nil {
		return FleetCost{}, err
	}
	defer f.close()
	if err := f.waitRoster(); err != nil {
		return FleetCost{}, err
	}
	cost := FleetCost{Boxes: size.Boxes, Halls: size.Halls, RosterSeconds: time.Since(begun).Seconds()}
	// What the start cost is over when the tables are full and the roster rests.
	time.Sleep(slopeRest)
	f.measure(&cost, length)
	cost.HeapMB = float64(heapBytes()-before) / float64(size.Boxes) / 1e6
	for n := range slopeChanges {
		took, err := f.spread(n)
		if err != nil {
			return FleetCost{}, err
		}
		cost.InForceSeconds = max(cost.InForceSeconds, took.Seconds())
	}
	return cost, nil
}

func newSlopeFleet(size FleetSize) (*slopeFleet, error) {
	f := &slopeFleet{size: size, log: &countedLog{}}
	network := NewMemory()
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
	list := &fixedList{listing: listing}
	for i, box := range listing.Boxes {
		if err := f.start(network, list, listeners[i], box); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *slopeFleet) start(network *Memory, list *fixedList, listener net.Listener, box willowwick.Box) error {
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
			fillSlope(d, seq, slopeRunners*f.size.Halls/f.size.Boxes)
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

// fillSlope makes a digest as full as it is at the size to design for.
func fillSlope(d *fleet.Digest, seq uint64, loads int) {
	for i := range slopeAccounts {
		d.Demand.Add(fleet.HashName(fmt.Sprintf("account-%02d", i)), float64(seq*10))
	}
	for i := range slopeVersions {
		d.Evidence.Add(fleet.HashName(fmt.Sprintf("model-%02d-version-1", i)),
			rollout.Evidence{Requests: seq * 100, Errors: seq, Slow: seq * 3, Rated: seq * 10, Low: seq})
	}
	now := time.Now()
	for i := range loads {
		d.Loads.Add(willowwick.EndpointLoad{
			Endpoint: willowwick.EndpointID(fmt.Sprintf("runner-%03d", i)), Running: 20, Waiting: 3, Slots: 64, At: now.Add(-slopeAge),
		}, now)
	}
}

func (f *slopeFleet) close() {
	var closing sync.WaitGroup
	for _, closer := range f.closers {
		closing.Go(closer)
	}
	closing.Wait()
}

func (f *slopeFleet) waitRoster() error {
	limit := time.Now().Add(slopeLimit)
	for time.Now().Before(limit) {
		done := true
		for _, node := range f.nodes {
			done = done && len(node.Follower.Revision().Roster.Members) == f.size.Boxes
		}
		if done {
			return nil
		}
		time.Sleep(slopeSettle)
	}
	return errors.Errorf("%d boxes were not all on the roster within %s", f.size.Boxes, slopeLimit)
}

func (f *slopeFleet) measure(cost *FleetCost, length time.Duration) {
	bytesBefore := make([]uint64, len(f.transports))
	for i, transport := range f.transports {
		bytesBefore[i] = transport.Sent.Load() + transport.Received.Load()
	}
	reads, appends, cpu := f.log.reads.Load(), f.log.appends.Load(), cpuTime()
	begun := time.Now()
	time.Sleep(length)
	seconds := time.Since(begun).Seconds()
	used := (cpuTime() - cpu).Seconds()
	var rates []float64
	total := 0.0
	for i, transport := range f.transports {
		rate := float64(transport.Sent.Load()+transport.Received.Load()-bytesBefore[i]) / seconds / slopeBytesUnit
		rates = append(rates, rate)
		total += rate
	}
	sort.Float64s(rates)
	boxes := float64(f.size.Boxes)
	cost.KBPerSecond, cost.WorstKB = total/boxes, rates[len(rates)-1]
	cost.CorePercent = 100 * used / seconds / boxes
	cost.ReadsPerSecond = float64(f.log.reads.Load()-reads) / seconds
	cost.AppendsPerSec = float64(f.log.appends.Load()-appends) / seconds
}

// spread publishes a change and waits until every node has it in force.
func (f *slopeFleet) spread(n int) (time.Duration, error) {
	withdraw := &config.Withdraw{ID: willowwick.ChangeID("slope" + itoa(n)), Version: willowwick.VersionID("version" + itoa(n))}
	data, err := config.Record{Kind: config.RecordWithdraw, Withdraw: withdraw}.Encode()
	if err != nil {
		return 0, err
	}
	begun := time.Now()
	if _, err := f.log.Append(context.Background(), willowwick.StreamConfig, data); err != nil {
		return 0, err
	}
	for time.Since(begun) < slopeLimit {
		missing := 0
		for _, node := range f.nodes {
			if !node.Follower.Revision().IsWithdrawn(withdraw.Version) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(begun), nil
		}
		time.Sleep(slopeSettle)
	}
	return 0, errors.Errorf("a change was not in force everywhere within %s", slopeLimit)
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
