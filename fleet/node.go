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
	rpcName        = "Peer"
	tick           = time.Second
	callTimeout    = 2 * time.Second
	readersPerHall = 2
	digestSpacing  = 12 // boxes of a hall that renew their digest in one second
	listTimeout    = 2 * time.Second
	logTimeout     = 3 * time.Second
	snapshotEvery  = 1000
	rosterPatience = 3 * time.Second
	rosterGap      = 8 * time.Second
	retryAdopt     = 200 * time.Millisecond
	drainPause     = 100 * time.Millisecond
	importSpread   = 5 * time.Millisecond // for each box of the fleet
	// joinAtOnce is how many boxes are asked for their state at once: at half a megabyte of configuration each, what they
	// bring takes 8 MB of memory.
	joinAtOnce = 16
	// maxIncomplete is how often a survivor that still waits for others is asked again.
	maxIncomplete = 50
)

type (
	// Settings are what a node needs to know and reach.
	Settings struct {
		Self     Identity
		Log      willowwick.Log
		Live     willowwick.LiveList
		Listener net.Listener
		// OnRevision is called after each change of the configuration in force.
		OnRevision func(*config.Revision)
		// OnListing is called when the platform's list has changed.
		OnListing func(willowwick.Listing)
		// Fill adds the daemon's own demand, evidence and load reports to its digest.
		Fill func(*Digest)
		// OnDigests is called with digests of other boxes as they come in.
		OnDigests func([]Digest, []HallDigest)
		// Lead is called every second on the holder of the lease.
		Lead func(ctx context.Context, fence willowwick.Fence)
	}

	// Node is one daemon's part in the fleet.
	Node struct {
		Settings
		Transport *Transport
		Follower  *Follower
		Table     *Table
		Registry  *Registry
		Usage     *Usage
		Lease     *Lease
		Harm      *quarantine.Ledger // of requests that end endpoints
		Limits    *ratelimit.Ledger  // of endpoints

		harm     *quarantine.Peers
		limits   *ratelimit.Peers
		granter  *ratelimit.Granter // for all boxes, while this one holds the lease
		share    *ratelimit.Granter // for this box, while nobody does
		mu       sync.Mutex
		listing  willowwick.Listing
		listed   bool
		digests  uint64 // made so far
		nextOwn  time.Time
		buddy    LiveBox
		draining bool
		rosterAt time.Time // when the roster last changed here
		// ungrantedSince is when this box first asked for a permit and nobody granted any since; zero if somebody did.
		ungrantedSince time.Time
		holderAskAt    time.Time // when the holder of the lease is asked again meanwhile
		touchedAt      time.Time // when another box last called or answered
		random         *rand.Rand
		cancel         context.CancelFunc
		ctx            context.Context // ends when the node stops
		workers        Workers
	}
)

// NewNode returns a node that is not running yet.
func NewNode(settings Settings, transport *Transport) *Node {
	n := &Node{
		Settings:  settings,
		Transport: transport,
		Table:     NewTable(settings.Self),
		Registry:  NewRegistry(settings.Self.Boot),
		Lease:     NewLease(settings.Self),
		Harm:      quarantine.New(),
		Limits:    ratelimit.NewLedger(),
	}
	n.limits = ratelimit.NewPeers(n.Limits)
	n.granter, n.share = ratelimit.NewGranter(n.Limits), ratelimit.NewGranter(n.Limits)
	n.harm = quarantine.NewPeers(n.Harm, settings.Self.Boot)
	seed := xxhash.Sum64String(string(settings.Self.Boot))
	n.random = rand.New(rand.NewPCG(seed, seed))
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.Follower = NewFollower(settings.Log, n.revised)
	n.Usage = NewUsage(settings.Log, n, settings.Self.Boot, n.fleetSize)
	return n
}

// Start serves peers and runs the node's loops; the function it returns stops them.
func (n *Node) Start() (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &peerService{node: n}); err != nil {
		return nil, errors.Wrap(err, "register peer service")
	}
	ctx := n.ctx
	n.workers.Go(func() { n.Transport.Serve(n.Listener, server) })
	n.workers.Go(func() { n.every(ctx, n.followLog) })
	n.workers.Go(func() { n.every(ctx, n.followList) })
	n.workers.Go(func() { n.every(ctx, n.gossip) })
	n.workers.Go(func() { n.every(ctx, n.lead) })
	n.workers.Go(func() { n.every(ctx, n.sweep) })
	n.workers.Go(func() { n.Usage.Run(ctx) })
	return n.stop, nil
}

func (n *Node) stop() {
	n.cancel()
	_ = n.Listener.Close()
	n.workers.Close()
}

// Drain tells the other boxes that this one is stopping, and returns once it
// is off the roster and does not hold the lease, or the context ends.
func (n *Node) Drain(ctx context.Context) {
	n.mu.Lock()
	n.draining = true
	n.nextOwn = time.Time{}
	n.mu.Unlock()
	for ctx.Err() == nil && (n.isMember() || n.releaseLease(ctx)) {
		n.renewDigest(clock.Now())
		if holder, ok := n.leaseHolder(); ok {
			n.exchange(ctx, holder)
		}
		sleep(ctx, drainPause)
	}
}

func (n *Node) isMember() bool {
	return n.Follower.Revision().Roster.IsMember(n.Self.Boot)
}

// leaseHolder returns the box that holds the lease, unless it is this one.
func (n *Node) leaseHolder() (willowwick.Box, bool) {
	r := n.Follower.Revision()
	for _, m := range r.Roster.Members {
		if m.Boot == r.Lease.Boot && m.Boot != n.Self.Boot {
			return willowwick.Box{ID: m.Box, Hall: m.Hall, Peer: m.Peer}, true
		}
	}
	return willowwick.Box{}, false
}

// releaseLease gives the lease up and reports whether this box still holds it.
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

// every runs a step about each tick until the context ends; the first runs at
// once. Boxes that tick together would bring each other the same digests.
func (n *Node) every(ctx context.Context, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		sleep(ctx, n.jitter(tick))
	}
}

// jitter returns a length between three quarters and five quarters of the given one.
func (n *Node) jitter(length time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return length*3/4 + time.Duration(n.random.Int64N(int64(length/2)))
}

// Confirmed reports whether the configuration is known to be current.
func (n *Node) Confirmed(now time.Time) bool {
	return now.Sub(n.Follower.Confirmed()) <= ConfirmFor || n.reachesFleet(now, false)
}

// reachesFleet reports whether this box is in touch with half of the roster
// (or more than half, if strict) while the log is down, so that nothing can
// have been accepted that it does not know.
func (n *Node) reachesFleet(now time.Time, strict bool) bool {
	roster := n.Follower.Revision().Roster
	if len(roster.Members) == 0 {
		return !strict && n.reachesListed(now)
	}
	reached := 0
	for _, box := range n.Table.Live(now) {
		// A restarted box knows the configuration as well, but its claims are gone.
		if roster.IsMember(box.Boot) || (!strict && roster.HasBox(box.Box)) {
			reached++
		}
	}
	if strict {
		return 2*reached > len(roster.Members)
	}
	return 2*reached >= len(roster.Members)
}

// reachesListed is for the time before the first roster: half of the listed boxes will do.
func (n *Node) reachesListed(now time.Time) bool {
	listed := n.listedBoxes()
	reached := 0
	for _, box := range n.Table.Live(now) {
		if listed[box.Box] {
			reached++
		}
	}
	return len(listed) > 0 && 2*reached >= len(listed)
}

// mayGrant reports whether this box may keep claims: its roster must be current.
func (n *Node) mayGrant(now time.Time) bool {
	return now.Sub(n.Follower.Confirmed()) <= ConfirmFor || n.reachesFleet(now, true)
}

// Listing returns the platform's list as last read; ok is false before the first.
func (n *Node) Listing() (listing willowwick.Listing, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listing, n.listed
}

// LiveBoxes lists the boxes that are alive, with the addresses that the platform lists.
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

// FleetPeers returns the other boxes as the limiter needs them; names are the client accounts.
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

// revised runs after each step of the fold.
func (n *Node) revised(r *config.Revision) {
	now := clock.Now()
	n.Lease.Observe(now, r.Lease)
	if r.Roster.Epoch > n.Registry.Epoch() {
		n.noteRoster(now)
		sources := n.Registry.Adopt(now, r.Roster, r.PreviousRoster)
		for _, member := range sources {
			n.workers.Go(func() { n.importFrom(r.Roster.Epoch, member) })
		}
	}
	n.OnRevision(r)
}

func (n *Node) noteRoster(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rosterAt = now
}

// importFrom takes the claims that a survivor of the former roster has for this box.
func (n *Node) importFrom(epoch willowwick.Epoch, member config.Member) {
	// Not everybody asks at once.
	sleep(n.ctx, n.jitter(importSpread*time.Duration(n.fleetSize())))
	incomplete := 0
	for n.ctx.Err() == nil && n.Registry.Epoch() == epoch && incomplete < maxIncomplete {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		var reply ExportReply
		err := n.Transport.Call(ctx, member.Peer, rpcName+".Export", ExportArgs{Epoch: epoch, For: n.Self.Boot}, &reply)
		cancel()
		if err == nil && reply.Ready {
			n.Registry.Import(epoch, member.Boot, reply)
			if reply.Complete {
				return
			}
			// The survivor is itself still waiting for somebody.
			incomplete++
		}
		sleep(n.ctx, retryAdopt)
	}
}

// followLog reads the log if this box is one of the readers of its hall, or has
// not heard of a current offset for longer than news take through a large hall.
func (n *Node) followLog(ctx context.Context) {
	if !n.isReader() && clock.Since(n.Follower.Confirmed()) < 2*ConfirmFor {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := n.Follower.ReadLog(callCtx); err != nil && n.Follower.Revision().Offset == 0 {
		n.joinFromPeers(ctx)
	}
}

// isReader reports whether this box is among the first of its hall by rendezvous hashing.
func (n *Node) isReader() bool {
	own := pairScore(n.Self.Boot, "reader")
	higher := 0
	for _, box := range n.Table.Live(clock.Now()) {
		if box.Hall == n.Self.Hall && box.Boot != n.Self.Boot && pairScore(box.Boot, "reader") > own {
			higher++
		}
	}
	return higher < readersPerHall
}

// joinFromPeers takes the newest state that a listed box has, while the log cannot be read; boxes that are silent do not
// keep it from the others.
func (n *Node) joinFromPeers(ctx context.Context) {
	listing, _ := n.Listing()
	var calls sync.WaitGroup
	places := make(chan struct{}, joinAtOnce)
	for _, box := range listing.Boxes {
		if box.ID == n.Self.Box {
			continue
		}
		places <- struct{}{}
		calls.Go(func() {
			defer func() { <-places }()
			n.joinFrom(ctx, box)
		})
	}
	calls.Wait()
}

// joinFrom takes the state of a box.
func (n *Node) joinFrom(ctx context.Context, box willowwick.Box) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply StateReply
	if err := n.Transport.Call(callCtx, box.Peer, rpcName+".State", Nothing{}, &reply); err != nil {
		slog.Info("no state from a peer", "box", box.ID, "error", err)
		return
	}
	if len(reply.State) == 0 {
		return
	}
	state, err := config.DecodeState(reply.State)
	if err != nil {
		slog.Error("a state from a peer could not be read", "box", box.ID, "error", err)
		return
	}
	n.Follower.Install(state)
}

func (n *Node) followList(ctx context.Context) {
	listing, _ := n.Listing()
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	fresh, changed, err := n.Live.List(callCtx, listing.Revision)
	if err != nil || !changed {
		return
	}
	n.mu.Lock()
	n.listing, n.listed = fresh, true
	n.mu.Unlock()
	n.OnListing(fresh)
}

func (n *Node) sweep(context.Context) {
	now := clock.Now()
	n.Registry.Sweep(now)
	n.Table.Forget(now)
	n.Harm.Expire(now)
}
