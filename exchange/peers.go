package exchange

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/route"
)

const (
	// swapEvery is how often digests go round: evidence on a bad release is everywhere within two seconds.
	swapEvery = 500 * time.Millisecond
	// swapShare bounds it by the time to leave an endpoint: less than the difference of reliedShare and endpointsShare.
	swapShare = 0.25
	// swapLimit is how long a peer may take; one in another hall answers in some milliseconds, but a box with a fifth of
	// a core takes longer when all of its hall have just started. A call that is given up costs a new connection.
	swapLimit = 1200 * time.Millisecond
	// lookFor is how long a box that has just started looks often for the hub of its hall, and lookEvery how often.
	lookFor   = 1500 * time.Millisecond
	lookEvery = 100 * time.Millisecond
	// countAfter is how long a box takes its fleet to have youngFleet boxes at least where escalations share the slack of
	// repeats: it has not heard of all yet.
	countAfter = 5 * time.Second
	youngFleet = 50
	// peerFresh is how long a digest counts as the state of a live box: two missed swaps and some.
	peerFresh = 1300 * time.Millisecond
	// peerKept is how long a silent box is still counted, named to others and tried.
	peerKept = 30 * time.Second
	// retryPeer and retryPeerMost bound the pauses between calls of a box that does not answer.
	retryPeer     = time.Second
	retryPeerMost = 8 * time.Second
	// rpcName and rpcSwap name the method on the wire.
	rpcName = "Exchange"
	rpcSwap = rpcName + ".Swap"
)

type (
	// Digest is what a box tells the others.
	Digest struct {
		Box           willowwick.BoxID
		Boot          willowwick.BootID
		Hall          willowwick.HallID
		Address       string
		LinkMbps      int
		TableVersion  uint64
		ReadAgeMs     int64 // since it last showed that the box can read the store
		StoreAgeMs    int64 // since what it knows of the store was read there, by whichever box
		EndpointsFrom willowwick.Offset
		KnownCount    int
		Own           Report
		Halls         []HallReport // what its hall's reader knows of all halls
		Progress      []ProgressRow
		Banned        []releaseKey
	}

	// KnownBox is where a box is reached, and what its place among the others goes by.
	KnownBox struct {
		Address  string
		Hall     willowwick.HallID
		LinkMbps int // 0 if it is not known
	}

	// ProgressRow is a roll-out as a box believes it to be.
	ProgressRow struct {
		Status willowwick.ReleaseStatus
		Order  willowwick.ReleaseOrder
		AgeMs  int64 // since the order
	}

	// SwapCall is a digest with what the peer lacks, as far as is known.
	SwapCall struct {
		Digest Digest
		Table  *willowwick.RoutingTable
	}

	// SwapReply is a peer's digest with what the caller lacks.
	SwapReply struct {
		Digest    Digest
		Table     *willowwick.RoutingTable
		Endpoints *EndpointList
		Known     []KnownBox
	}

	// peers keeps in touch with the other boxes.
	//
	// In each hall the box with the lowest address reads the store and swaps digests with the readers of the other
	// halls; the other boxes swap with their reader, and read the store themselves once it is silent or cut off.
	peers struct {
		router    *Router
		transport *fleet.Transport
		began     time.Time

		mu    sync.Mutex
		known map[string]*peer // by address
		halls map[willowwick.HallID]heardReport
	}

	// peer is another box as this one knows it.
	peer struct {
		box     KnownBox
		digest  Digest
		heard   time.Time
		listed  time.Time // when the group or another box last named it
		tryAt   time.Time // not called before, after failures
		triedAt time.Time // last call
		pause   time.Duration
		failing bool
		// swapping tells that a call to it is under way.
		swapping bool
	}

	// rpcServer is the part of peers that other boxes call.
	rpcServer struct {
		peers *peers
	}
)

func newPeers(x *Router) (*peers, func()) {
	dialer := net.Dialer{Timeout: swapLimit}
	transport, closeTransport := fleet.NewTransport(x.settings.Key, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}, nil)
	p := &peers{router: x, transport: transport, began: time.Now(), known: map[string]*peer{}, halls: map[willowwick.HallID]heardReport{}}
	for _, address := range x.settings.Seeds {
		p.list(KnownBox{Address: address}, time.Now())
	}
	return p, closeTransport
}

// serve answers other boxes until the listener is closed.
func (p *peers) serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &rpcServer{peers: p}); err != nil {
		return errors.Wrap(err, "serve peers")
	}
	p.transport.Serve(listener, server)
	return nil
}

// Swap answers a box's digest with this box's own.
func (s *rpcServer) Swap(call *SwapCall, reply *SwapReply) error {
	now := time.Now()
	p := s.peers
	p.heard(call.Digest, now)
	if call.Table != nil {
		p.router.setTable(call.Table, "peer "+string(call.Digest.Box))
	}
	reply.Digest = p.digest(now)
	reply.Table = p.tableFor(call.Digest.TableVersion)
	reply.Endpoints = p.router.sync.listFor(call.Digest.EndpointsFrom)
	if reply.Digest.KnownCount != call.Digest.KnownCount {
		reply.Known = p.knownBoxes(now)
	}
	return nil
}

// box is the box that the digest tells of.
func (d *Digest) box() KnownBox {
	return KnownBox{Address: d.Address, Hall: d.Hall, LinkMbps: d.LinkMbps}
}

// tableFor returns the configuration for a box that has an older one.
func (p *peers) tableFor(version uint64) *willowwick.RoutingTable {
	if t := p.router.table.Load(); t != nil && t.Version > version {
		return t.RoutingTable
	}
	return nil
}

// list notes a box that the settings, the group or the box itself named.
func (p *peers) list(box KnownBox, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if box.Address == p.router.settings.Peers || box.Address == "" {
		return
	}
	known := p.known[box.Address]
	if known == nil {
		known = &peer{}
		p.known[box.Address] = known
	}
	if box.Hall != "" || known.box.Address == "" {
		known.box = box
	}
	known.listed = now
}

// listKnown notes boxes that another box knows; one that is already known does not count as named again.
func (p *peers) listKnown(boxes []KnownBox, now time.Time) {
	for _, box := range boxes {
		p.mu.Lock()
		known := p.known[box.Address]
		fresh := known == nil || known.box.Hall == ""
		p.mu.Unlock()
		if fresh {
			p.list(box, now)
		}
	}
}

// heard takes a digest that came from its box itself.
func (p *peers) heard(digest Digest, now time.Time) {
	p.list(digest.box(), now)
	p.mu.Lock()
	known := p.known[digest.Address]
	if known == nil {
		p.mu.Unlock()
		return
	}
	if now.Sub(known.heard) > peerKept {
		slog.Info("box is reached", "peer", digest.Box, "hall", digest.Hall, "address", digest.Address)
	}
	known.digest, known.heard, known.failing, known.pause = digest, now, false, 0
	for _, hall := range digest.Halls {
		at := now.Add(-time.Duration(hall.AgeMs) * time.Millisecond)
		if hall.Hall != p.router.settings.Hall && at.After(p.halls[hall.Hall].at) {
			p.halls[hall.Hall] = heardReport{hall.Report, at}
		}
	}
	p.mu.Unlock()
	p.router.releases.takeBans(digest.Banned)
	for _, row := range digest.Progress {
		p.router.releases.begin(row.Order, time.Duration(row.AgeMs)*time.Millisecond, now)
		p.router.releases.settle(row.Status, false, "peer "+string(digest.Box))
	}
}

// boxes is the number of boxes that share the fleet's bounds, this one included.
func (p *peers) boxes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}

// sharers is the number of boxes that the fleet's slack of repeats is divided by. Escalations are many and can wait
// until a new box has counted its fleet; failovers are few, and without one a caller's answer is cut.
func (p *peers) sharers(kind route.RepeatKind, now time.Time) int {
	if kind == route.RepeatEscalation && now.Sub(p.began) < countAfter {
		return max(p.boxes(), youngFleet)
	}
	return p.boxes()
}

// digest is this box's own.
func (p *peers) digest(now time.Time) Digest {
	x := p.router
	digest := Digest{
		Box: x.settings.Box, Boot: x.settings.Boot, Hall: x.settings.Hall, Address: x.settings.Peers,
		TableVersion: x.configVersion(), EndpointsFrom: x.sync.listedFrom(),
		LinkMbps: x.settings.LinkMbps, StoreAgeMs: x.sync.storeAge(now).Milliseconds(), ReadAgeMs: x.sync.readAge(now).Milliseconds(),
		Own: p.ownReport(), Banned: x.releases.bans(),
	}
	for _, own := range x.releases.progresses(now) {
		digest.Progress = append(digest.Progress, ProgressRow{Status: own.Status, Order: own.Order, AgeMs: own.AgeMs})
	}
	if _, hasHub := p.hub(now); !hasHub {
		digest.Halls = p.hallReports(now)
	}
	digest.KnownCount = len(p.knownBoxes(now))
	return digest
}

// knownBoxes lists the boxes that were heard of from themselves, this one included.
func (p *peers) knownBoxes(now time.Time) []KnownBox {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []KnownBox{p.self()}
	for _, known := range p.known {
		if known.box.Hall != "" && (now.Sub(known.heard) <= peerKept || now.Sub(known.listed) <= peerKept) {
			list = append(list, known.box)
		}
	}
	return list
}

// swapPeriod is short enough that what a reader has read is with its hall well before the others stop relying on it.
func (p *peers) swapPeriod() time.Duration {
	return min(swapEvery, scale(p.router.settings.Drain, swapShare))
}

// run swaps digests until the context ends; a box that does not answer keeps none of the others waiting.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, address := range p.targets(now) {
			if p.beginSwap(address, now) {
				go p.swap(ctx, address)
			}
		}
		p.forget(now)
		sleep(ctx, p.pause(now))
	}
}

// pause is the time until the next round: short on a box that has just started and looks for the hub of its hall.
func (p *peers) pause(now time.Time) time.Duration {
	if _, hasHub := p.hub(now); !hasHub && p.isNew(now) {
		return lookEvery
	}
	return p.swapPeriod()
}

// isNew reports whether the box has just started and may not have found the hub of its hall yet.
func (p *peers) isNew(now time.Time) bool {
	return now.Sub(p.began) < lookFor
}

// beginSwap reports whether a swap with the box may begin: the one before must be over.
func (p *peers) beginSwap(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil || known.swapping {
		return false
	}
	known.swapping, known.triedAt = true, now
	return true
}

func (p *peers) endSwap(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[address]; known != nil {
		known.swapping = false
	}
}

// swap tells a box this one's digest and takes what comes back.
func (p *peers) swap(ctx context.Context, address string) {
	defer p.endSwap(address)
	ctx, cancel := context.WithTimeout(ctx, swapLimit)
	defer cancel()
	call := SwapCall{Digest: p.digest(time.Now())}
	if version, heard := p.versionOf(address); heard {
		call.Table = p.tableFor(version)
	}
	var reply SwapReply
	if err := p.transport.Call(ctx, address, rpcSwap, &call, &reply); err != nil {
		p.failed(address, err)
		return
	}
	now := time.Now()
	p.heard(reply.Digest, now)
	p.listKnown(reply.Known, now)
	if reply.Table != nil {
		p.router.setTable(reply.Table, "peer "+string(reply.Digest.Box))
	}
	p.router.sync.takeFromPeer(reply, now)
}

// versionOf is the version of the configuration that a box last told of.
func (p *peers) versionOf(address string) (version uint64, heard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil || known.heard.IsZero() {
		return 0, false
	}
	return known.digest.TableVersion, true
}

// failed notes that a box does not answer, and logs the first failure of a row.
func (p *peers) failed(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil {
		return
	}
	known.pause = min(max(2*known.pause, retryPeer), retryPeerMost)
	known.tryAt = time.Now().Add(known.pause)
	if known.failing {
		return
	}
	known.failing = true
	slog.Info("box is not reached", "peer", known.digest.Box, "address", address, "error", err)
}

// forget drops boxes that nobody has heard of or named for long.
func (p *peers) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.known {
		if now.Sub(known.heard) > peerKept && now.Sub(known.listed) > peerKept {
			delete(p.known, address)
		}
	}
}
