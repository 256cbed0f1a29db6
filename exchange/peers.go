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
	"github.com/willowwick/willowwick/rollout"
)

const (
	// swapEvery is how often digests go round: evidence on a bad release is everywhere within a second.
	swapEvery = 500 * time.Millisecond
	// swapLimit is how long a peer may take; a peer in another hall answers in some milliseconds.
	swapLimit = 400 * time.Millisecond
	// peerFresh is how long a digest counts as the state of a live box.
	peerFresh = 2500 * time.Millisecond
	// peerKept is how long a silent box is still counted and tried.
	peerKept = 30 * time.Second
	// rpcName and rpcSwap name the method on the wire.
	rpcName = "Exchange"
	rpcSwap = rpcName + ".Swap"
)

type (
	// Digest is what a box tells the others.
	Digest struct {
		Box          willowwick.BoxID
		Boot         willowwick.BootID
		Hall         willowwick.HallID
		Address      string
		TableVersion uint64
		Known        []string // addresses of boxes
		Evidence     []EvidenceRow
		Progress     []ProgressRow
		Banned       []releaseKey
		Asks         bool // wants endpoints, since it does not reach the store
		EndpointsAt  willowwick.Offset
	}

	// EvidenceRow is what a box counted of one kind of answer since its start.
	EvidenceRow struct {
		Service willowwick.ServiceID
		Release willowwick.ReleaseID
		Route   willowwick.RouteID
		Counts  rollout.Evidence
	}

	// ProgressRow is how far a box has come with a roll-out.
	ProgressRow struct {
		Status      willowwick.ReleaseStatus
		Order       willowwick.ReleaseOrder
		AgeMs       int64 // since the order
		Moved       bool  // all new requests go to the target
		OldInFlight int   // requests under way at other releases
	}

	// SwapReply is a peer's digest with what the caller lacks.
	SwapReply struct {
		Digest    Digest
		Table     *willowwick.RoutingTable
		Endpoints []willowwick.Endpoint
		Next      willowwick.Offset
	}

	// SwapCall is a digest with what the peer lacks, as far as is known.
	SwapCall struct {
		Digest Digest
		Table  *willowwick.RoutingTable
	}

	// peers keeps in touch with the other boxes.
	peers struct {
		router    *Router
		transport *fleet.Transport

		mu    sync.Mutex
		known map[string]*peer // by address
	}

	peer struct {
		digest  Digest
		heard   time.Time
		listed  time.Time // when the group or another box last named it
		failing bool
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
	p := &peers{router: x, transport: transport, known: map[string]*peer{}}
	for _, address := range x.settings.Seeds {
		p.list(address, time.Now())
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
	if call.Digest.Asks {
		reply.Endpoints, reply.Next = p.router.sync.endpoints(call.Digest.EndpointsAt)
	}
	return nil
}

// tableFor returns the configuration for a box that has an older one.
func (p *peers) tableFor(version uint64) *willowwick.RoutingTable {
	if t := p.router.table.Load(); t != nil && t.Version > version {
		return t.RoutingTable
	}
	return nil
}

// list notes the address of a box that somebody named.
func (p *peers) list(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.router.settings.Peers || address == "" {
		return
	}
	known := p.known[address]
	if known == nil {
		known = &peer{}
		p.known[address] = known
	}
	known.listed = now
}

// heard takes a digest that came from its box itself.
func (p *peers) heard(digest Digest, now time.Time) {
	p.list(digest.Address, now)
	p.mu.Lock()
	known := p.known[digest.Address]
	if known == nil {
		p.mu.Unlock()
		return
	}
	if now.Sub(known.heard) > peerFresh {
		slog.Info("box is reached", "peer", digest.Box, "hall", digest.Hall, "address", digest.Address)
	}
	known.digest, known.heard, known.failing = digest, now, false
	p.mu.Unlock()
	for _, address := range digest.Known {
		p.nameOnce(address, now)
	}
	p.router.releases.takeBans(digest.Banned)
	for _, row := range digest.Progress {
		p.router.releases.begin(row.Order, time.Duration(row.AgeMs)*time.Millisecond, now)
		p.router.releases.settle(row.Status, false, "peer "+string(digest.Box))
	}
}

// nameOnce notes an address unless it is known; hearsay keeps no silent box alive.
func (p *peers) nameOnce(address string, now time.Time) {
	p.mu.Lock()
	known := p.known[address] != nil
	p.mu.Unlock()
	if !known {
		p.list(address, now)
	}
}

// boxes is the number of boxes that share the fleet's bounds, this one included.
func (p *peers) boxes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, known := range p.known {
		if !known.heard.IsZero() {
			n++
		}
	}
	return n
}

// fresh returns the digests of the boxes that are in touch.
func (p *peers) fresh(now time.Time) []Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Digest
	for _, known := range p.known {
		if now.Sub(known.heard) <= peerFresh {
			list = append(list, known.digest)
		}
	}
	return list
}

// evidence sums what all known boxes have counted.
func (p *peers) evidence() map[evidenceKey]rollout.Evidence {
	total := p.router.releases.evidence()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		for _, row := range known.digest.Evidence {
			key := evidenceKey{Service: row.Service, Release: row.Release, Route: row.Route}
			total[key] = total[key].Add(row.Counts)
		}
	}
	return total
}

// digest is this box's own.
func (p *peers) digest(now time.Time) Digest {
	x := p.router
	digest := Digest{
		Banned: x.releases.bans(), Box: x.settings.Box, Boot: x.settings.Boot, Hall: x.settings.Hall, Address: x.settings.Peers,
		TableVersion: x.configVersion(), Asks: x.sync.isStale(now), EndpointsAt: x.sync.endpointsAt(),
	}
	for key, counts := range x.releases.evidence() {
		digest.Evidence = append(digest.Evidence, EvidenceRow{
			Service: key.Service, Release: key.Release, Route: key.Route, Counts: counts,
		})
	}
	for _, own := range x.releases.progresses(now) {
		digest.Progress = append(digest.Progress, ProgressRow{
			Status: own.Status, Order: own.Order, AgeMs: own.AgeMs, Moved: own.Moved,
			OldInFlight: x.oldInFlight(own.Status),
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.known {
		if now.Sub(known.heard) <= peerFresh {
			digest.Known = append(digest.Known, address)
		}
	}
	return digest
}

// oldInFlight counts the requests under way at other releases than a roll-out's target.
func (x *Router) oldInFlight(status willowwick.ReleaseStatus) int {
	return x.pool.InFlightWhere(status.Service, func(endpoint willowwick.Endpoint) bool {
		return endpoint.Release != status.Target
	})
}

// run swaps digests with all boxes until the context ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(swapEvery)
	defer ticker.Stop()
	for {
		p.swapAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.forget(time.Now())
	}
}

func (p *peers) swapAll(ctx context.Context) {
	var swaps sync.WaitGroup
	for _, address := range p.addresses() {
		swaps.Go(func() { p.swap(ctx, address) })
	}
	swaps.Wait()
}

// addresses are the boxes that this one calls: of each pair the one with the lower address, unless the other is silent.
func (p *peers) addresses() []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, known := range p.known {
		if p.router.settings.Peers < address || now.Sub(known.heard) > 2*swapEvery {
			list = append(list, address)
		}
	}
	return list
}

func (p *peers) swap(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, swapLimit)
	defer cancel()
	call := SwapCall{Digest: p.digest(time.Now())}
	p.mu.Lock()
	if known := p.known[address]; known != nil && !known.heard.IsZero() {
		version := known.digest.TableVersion
		p.mu.Unlock()
		call.Table = p.tableFor(version)
	} else {
		p.mu.Unlock()
	}
	var reply SwapReply
	if err := p.transport.Call(ctx, address, rpcSwap, &call, &reply); err != nil {
		p.failed(address, err)
		return
	}
	now := time.Now()
	p.heard(reply.Digest, now)
	if reply.Table != nil {
		p.router.setTable(reply.Table, "peer "+string(reply.Digest.Box))
	}
	if reply.Next > 0 {
		p.router.sync.takeFromPeer(reply.Endpoints, reply.Next, now)
	}
}

// failed logs the first failure of a row.
func (p *peers) failed(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil || known.failing {
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
