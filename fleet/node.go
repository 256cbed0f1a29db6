package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/route"
)

const (
	rpcName                 = "Peer"
	loopInterval            = time.Second
	callTimeout             = 2 * time.Second
	readersPerHall          = 2
	digestsPerSecond        = 12 // number of boxes of a hall that renew their digest per second
	listingTimeout          = 2 * time.Second
	logTimeout              = 3 * time.Second
	maxEntriesSinceSnapshot = 1000
	rosterStartupDelay      = 3 * time.Second
	minRosterInterval       = 8 * time.Second
	importRetryInterval     = 200 * time.Millisecond
	drainPollInterval       = 100 * time.Millisecond
	importDelayPerBox       = 5 * time.Millisecond // multiplied by the number of boxes in the fleet
	// maxConcurrentJoins bounds the number of boxes that are asked for their state at the same time: at 0.5 MB of
	// configuration each, the replies take 8 MB of memory.
	maxConcurrentJoins = 16
	// maxIncompleteExports bounds how often a member whose own imports are incomplete is asked again.
	maxIncompleteExports = 50
)

type (
	// Settings holds the identity, the dependencies and the callbacks of a node.
	Settings struct {
		Self     Identity
		Log      willowwick.Log
		Live     willowwick.LiveList
		Listener net.Listener
		// OnRevision is called after each change of the configuration in force.
		OnRevision func(*config.Revision)
		// OnListing is called when the platform's list has changed.
		OnListing func(willowwick.Listing)
		// FillDigest adds the daemon's demand, evidence and load reports to its digest.
		FillDigest func(*Digest)
		// OnDigests is called with newly received digests of other boxes.
		OnDigests func([]Digest, []HallDigest)
		// RunLeader is called about every second while this box holds the lease.
		RunLeader func(ctx context.Context, fence willowwick.Fence)
	}

	// Node is one daemon as a member of the fleet.
	Node struct {
		Settings
		Transport  *Transport
		Follower   *Follower
		Table      *Table
		Registry   *Registry
		Usage      *Usage
		Lease      *Lease
		Quarantine *quarantine.Ledger // poison requests, which crash endpoints
		Limits     *ratelimit.Ledger  // rate limits of endpoints

		quarantinePeers *quarantine.Peers
		crashesLearnt   chan struct{} // wakes runCrashRounds
		limitPeers      *ratelimit.Peers
		granter         *ratelimit.Granter // grants permits to all boxes while this box holds the lease
		localGranter    *ratelimit.Granter // grants this box permits from its equal share while no leader does
		mu              sync.Mutex
		listing         willowwick.Listing
		hasListing      bool
		digestCount     uint64 // number of digests made so far
		nextDigestAt    time.Time
		usageReplica    LiveBox
		draining        bool
		rosterChangedAt time.Time // when this box last adopted a roster
		// ungrantedSince is when this box first requested a permit without getting a reply since; zero if the last
		// request was answered.
		ungrantedSince  time.Time
		nextHolderAskAt time.Time // when the lease holder is next asked despite ungrantedSince
		lastContactAt   time.Time // when another box last called or replied
		random          *rand.Rand
		cancel          context.CancelFunc
		ctx             context.Context // ends when the node stops
		workers         Workers
	}
)

// NewNode returns a node that hasn't been started.
func NewNode(settings Settings, transport *Transport) *Node {
	n := &Node{
		Settings:   settings,
		Transport:  transport,
		Table:      NewTable(settings.Self),
		Registry:   NewRegistry(settings.Self.Boot),
		Lease:      NewLease(settings.Self),
		Quarantine: quarantine.New(),
		Limits:     ratelimit.NewLedger(),

		crashesLearnt: make(chan struct{}, 1),
	}
	n.limitPeers = ratelimit.NewPeers(n.Limits)
	n.granter, n.localGranter = ratelimit.NewGranter(n.Limits), ratelimit.NewGranter(n.Limits)
	n.quarantinePeers = quarantine.NewPeers(n.Quarantine, settings.Self.Boot)
	seed := xxhash.Sum64String(string(settings.Self.Boot))
	n.random = rand.New(rand.NewPCG(seed, seed))
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.Follower = NewFollower(settings.Log, n.applyRevision)
	n.Usage = NewUsage(settings.Log, n, settings.Self.Boot, n.fleetSize)
	return n
}

// Start serves peers and runs the node's loops; the returned function stops them.
func (n *Node) Start() (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &peerService{node: n}); err != nil {
		return nil, errors.Wrap(err, "register peer service")
	}
	ctx := n.ctx
	n.workers.Go(func() { n.Transport.Serve(n.Listener, server) })
	n.workers.Go(func() { n.runPeriodically(ctx, n.followLog) })
	n.workers.Go(func() { n.runPeriodically(ctx, n.followList) })
	n.workers.Go(func() { n.runPeriodically(ctx, n.gossip) })
	n.workers.Go(func() { n.runCrashRounds(ctx) })
	n.workers.Go(func() { n.runPeriodically(ctx, n.runLease) })
	n.workers.Go(func() { n.runPeriodically(ctx, n.sweep) })
	n.workers.Go(func() { n.Usage.Run(ctx) })
	return n.stop, nil
}

func (n *Node) stop() {
	n.cancel()
	_ = n.Listener.Close()
	n.workers.Close()
}

// Drain announces to the other boxes that this one is draining, and returns once it is off the roster and
// doesn't hold the lease, or when the context ends.
func (n *Node) Drain(ctx context.Context) {
	n.mu.Lock()
	n.draining = true
	n.nextDigestAt = time.Time{}
	n.mu.Unlock()
	for ctx.Err() == nil && (n.isMember() || n.releaseLease(ctx)) {
		n.renewDigest(clock.Now())
		if holder, ok := n.leaseHolder(); ok {
			n.exchangeDigests(ctx, holder)
		}
		clock.Sleep(ctx, drainPollInterval)
	}
}

func (n *Node) isMember() bool {
	return n.Follower.Revision().Roster.IsMember(n.Self.Boot)
}

// leaseHolder returns the box that holds the lease; ok is false if it is this one or not on the roster.
func (n *Node) leaseHolder() (willowwick.Box, bool) {
	r := n.Follower.Revision()
	for _, m := range r.Roster.Members {
		if m.Boot == r.Lease.Boot && m.Boot != n.Self.Boot {
			return willowwick.Box{ID: m.Box, Hall: m.Hall, Peer: m.Peer}, true
		}
	}
	return willowwick.Box{}, false
}

// releaseLease gives up the lease and reports whether this box still holds it.
func (n *Node) releaseLease(ctx context.Context) bool {
	lease := n.Follower.Revision().Lease
	if lease.Boot != n.Self.Boot {
		return false
	}
	claim := &config.LeaseClaim{Boot: n.Self.Boot, Box: n.Self.Box, After: lease.Renewed, Release: true}
	if err := appendRecord(ctx, n.Log, config.Record{Kind: config.RecordLease, Lease: claim}); err != nil {
		return true
	}
	_ = n.Follower.ReadLog(ctx)
	return n.Follower.Revision().Lease.Boot == n.Self.Boot
}

// runPeriodically runs a step about every loopInterval, starting at once, until the context ends. The interval has
// jitter: boxes that gossip at the same moment would send each other the same digests.
func (n *Node) runPeriodically(ctx context.Context, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		clock.Sleep(ctx, n.jitter(loopInterval))
	}
}

// jitter returns a duration between three quarters and five quarters of the given one.
func (n *Node) jitter(duration time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return duration*3/4 + time.Duration(n.random.Int64N(int64(duration/2)))
}

// IsConfigCurrent reports whether the configuration is known to be current.
func (n *Node) IsConfigCurrent(now time.Time) bool {
	return now.Sub(n.Follower.ConfirmedAt()) <= ConfirmationTTL || n.hasQuorum(now, false)
}

// hasQuorum reports whether this box reaches at least half of the roster, or more than half if strict. In that case,
// nothing can have been accepted while the log is down that this box doesn't know.
func (n *Node) hasQuorum(now time.Time, strict bool) bool {
	roster := n.Follower.Revision().Roster
	if len(roster.Members) == 0 {
		return !strict && n.hasListingQuorum(now)
	}
	reached := 0
	for _, box := range n.Table.Live(now) {
		// A restarted box has the configuration too, but has lost its claims.
		if roster.IsMember(box.Boot) || (!strict && roster.HasBox(box.Box)) {
			reached++
		}
	}
	if strict {
		return 2*reached > len(roster.Members)
	}
	return 2*reached >= len(roster.Members)
}

// hasListingQuorum reports whether this box reaches at least half of the listed boxes; it applies before the first
// roster exists.
func (n *Node) hasListingQuorum(now time.Time) bool {
	listed := n.listedBoxes()
	reached := 0
	for _, box := range n.Table.Live(now) {
		if listed[box.Box] {
			reached++
		}
	}
	return len(listed) > 0 && 2*reached >= len(listed)
}

// canGrantClaims reports whether this box may accept claims, which requires that its roster is current.
func (n *Node) canGrantClaims(now time.Time) bool {
	return now.Sub(n.Follower.ConfirmedAt()) <= ConfirmationTTL || n.hasQuorum(now, true)
}

// Listing returns the platform's list as last read; ok is false before the first read.
func (n *Node) Listing() (listing willowwick.Listing, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listing, n.hasListing
}

// LiveBoxes returns the live boxes, with the peer addresses from the platform's list where the table has none.
func (n *Node) LiveBoxes(now time.Time) []LiveBox {
	listing, _ := n.Listing()
	peers := make(map[willowwick.BoxID]string, len(listing.Boxes))
	for _, box := range listing.Boxes {
		peers[box.ID] = box.Peer
	}
	live := n.Table.Live(now)
	for i := range live {
		if live[i].Peer == "" {
			live[i].Peer = peers[live[i].Box]
		}
	}
	return live
}

func (n *Node) fleetSize() int {
	listing, _ := n.Listing()
	return max(1, len(listing.Boxes))
}

// FleetPeers returns the demand of the other boxes for the limiter; names maps the hashes of the client accounts. It
// reports whether this box is connected to the fleet.
func (n *Node) FleetPeers(now time.Time, names map[NameHash]willowwick.AccountID) (peers []route.Peer, connected bool) {
	size := n.fleetSize()
	peers = n.Table.Peers(now, size, names)
	fresh := 0
	for _, peer := range peers {
		if peer.Fresh {
			fresh++
		}
	}
	return peers, size == 1 || fresh > 0
}

// applyRevision is called after each new revision of the configuration; it observes the lease and adopts a new
// roster.
func (n *Node) applyRevision(r *config.Revision) {
	now := clock.Now()
	n.Lease.Observe(now, r.Lease)
	if r.Roster.Epoch > n.Registry.Epoch() {
		n.recordRosterChange(now)
		sources := n.Registry.Adopt(now, r.Roster, r.PreviousRoster)
		for _, member := range sources {
			n.workers.Go(func() { n.importFrom(r.Roster.Epoch, member) })
		}
	}
	n.OnRevision(r)
}

func (n *Node) recordRosterChange(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rosterChangedAt = now
}

// importFrom imports the entries that this box must store from a member of the former roster that is still on the
// roster.
func (n *Node) importFrom(epoch willowwick.Epoch, member config.Member) {
	// Spread the calls of all boxes over time.
	clock.Sleep(n.ctx, n.jitter(importDelayPerBox*time.Duration(n.fleetSize())))
	incomplete := 0
	var err error
	for n.ctx.Err() == nil && n.Registry.Epoch() == epoch && incomplete < maxIncompleteExports {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		var reply ExportReply
		err = n.Transport.Call(ctx, member.Peer, rpcName+".Export", ExportArgs{Epoch: epoch, For: n.Self.Boot}, &reply)
		cancel()
		if err == nil && reply.Ready {
			n.Registry.Import(epoch, member.Boot, reply)
			if reply.Complete {
				return
			}
			// The member's own imports are still incomplete.
			incomplete++
		}
		clock.Sleep(n.ctx, importRetryInterval)
	}
	if n.ctx.Err() == nil {
		slog.Warn("import of claims given up", "epoch", epoch, "epoch_now", n.Registry.Epoch(), "from", member.Boot,
			"incomplete_replies", incomplete, "error", err)
	}
}

// followLog reads the log if this box is one of its hall's log readers, or has had no confirmed offset for longer
// than updates take to spread through a large hall.
func (n *Node) followLog(ctx context.Context) {
	if !n.isLogReader() && clock.Since(n.Follower.ConfirmedAt()) < 2*ConfirmationTTL {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := n.Follower.ReadLog(callCtx); err != nil && n.Follower.Revision().Offset == 0 {
		n.loadStateFromPeers(ctx)
	}
}

// isLogReader reports whether this box is among the readersPerHall boxes of its hall that rank highest by rendezvous
// hashing.
func (n *Node) isLogReader() bool {
	own := rendezvousScore(n.Self.Boot, "reader")
	higher := 0
	for _, box := range n.Table.Live(clock.Now()) {
		if box.Hall == n.Self.Hall && box.Boot != n.Self.Boot && rendezvousScore(box.Boot, "reader") > own {
			higher++
		}
	}
	return higher < readersPerHall
}

// loadStateFromPeers installs the newest state of the listed boxes while the log can't be read. Boxes are asked
// concurrently, so that unresponsive ones don't delay the others.
func (n *Node) loadStateFromPeers(ctx context.Context) {
	listing, _ := n.Listing()
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentJoins)
	for _, box := range listing.Boxes {
		if box.ID == n.Self.Box {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			n.loadStateFrom(ctx, box)
		})
	}
	calls.Wait()
}

// loadStateFrom requests the state of a box and installs it if it is newer.
func (n *Node) loadStateFrom(ctx context.Context, box willowwick.Box) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply StateReply
	if err := n.Transport.Call(callCtx, box.Peer, rpcName+".State", Nothing{}, &reply); err != nil {
		slog.Info("failed to load state from peer", "box", box.ID, "error", err)
		return
	}
	if len(reply.State) == 0 {
		return
	}
	state, err := config.DecodeState(reply.State)
	if err != nil {
		slog.Error("failed to decode state from peer", "box", box.ID, "error", err)
		return
	}
	n.Follower.Install(state)
}

func (n *Node) followList(ctx context.Context) {
	listing, _ := n.Listing()
	callCtx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	fresh, changed, err := n.Live.List(callCtx, listing.Revision)
	if err != nil || !changed {
		return
	}
	n.mu.Lock()
	n.listing, n.hasListing = fresh, true
	n.mu.Unlock()
	n.OnListing(fresh)
}

func (n *Node) sweep(context.Context) {
	now := clock.Now()
	n.Registry.Sweep(now)
	n.Table.Forget(now)
	n.Quarantine.Expire(now)
}
