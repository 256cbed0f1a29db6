package exchange

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/reservation"
	"github.com/willowwick/willowwick/route"
)

const (
	// fleetDiscoveryTime is how long a box that has just started assumes that its fleet has at least assumedFleetSize
	// boxes, for its share of the retry budget for escalations and of the requests that cold endpoints can handle: it
	// doesn't know all boxes yet.
	fleetDiscoveryTime = 5 * time.Second
	assumedFleetSize   = 50
)

type (
	// peers exchanges state with the other boxes.
	//
	// In each hall the first box in the order of KnownBox.precedes reads the store and exchanges digests with the
	// readers of the other halls of its region; the other boxes exchange with their reader, and read the store themselves
	// once it is silent or cut off from the store. One reader of a region exchanges with one of each other region.
	peers struct {
		router    *Router
		transport *fleet.Transport
		startedAt time.Time
		startedMs int64 // the same in Unix milliseconds, as reported to other boxes
		limits    *ratelimit.Peers
		granter   *ratelimit.Granter
		// reservations hands out those of all boxes while this box grants permits.
		reservations *reservation.Granter
		// askBox calls the box at an address for permits.
		askBox func(ctx context.Context, address string, call *ratelimit.Call) (ratelimit.Reply, error)
		// askForReservations calls the box at an address for reservations.
		askForReservations func(ctx context.Context, address string, call *reservation.Call) (reservation.Reply, error)
		quarantine         *quarantine.Peers
		roundRequested     chan struct{} // signals that an urgent update can't wait for the next round

		mu         sync.Mutex
		known      map[string]*peer // by address
		otherHalls map[willowwick.HallID]receivedReport
		links      map[willowwick.RegionID]*regionLink // to the other regions; of a hub
	}

	// rpcServer holds the methods that other boxes call.
	rpcServer struct {
		peers *peers
	}
)

func newPeers(x *Router) (*peers, func()) {
	dialer := net.Dialer{Timeout: gossipTimeout}
	transport, closeTransport := fleet.NewTransport(x.settings.Key, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return x.metrics.distances.countConn(conn, x.topology.Distance(x.peers.hallOf(address))), nil
	}, nil)
	p := &peers{
		router: x, transport: transport, startedAt: clock.Now(), startedMs: clock.TimeOfDay().UnixMilli(),
		limits: ratelimit.NewPeers(x.limits), granter: ratelimit.NewGranter(x.limits), reservations: reservation.NewGranter(), roundRequested: make(chan struct{}, 1),
		quarantine: quarantine.NewPeers(x.poison, x.settings.Boot),
		known:      map[string]*peer{}, otherHalls: map[willowwick.HallID]receivedReport{},
		links: map[willowwick.RegionID]*regionLink{},
	}
	p.askBox = p.callPermit
	p.askForReservations = p.callReserve
	if len(x.settings.Seeds) > 0 {
		x.limits.AwaitUpdates(p.startedAt.Add(hubSearchTime))
	}
	for _, address := range x.settings.Seeds {
		p.noteBox(KnownBox{Address: address}, clock.Now())
	}
	return p, closeTransport
}

// serve answers other boxes until the listener is closed.
func (p *peers) serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(rpcServiceName, &rpcServer{peers: p}); err != nil {
		return errors.Wrap(err, "serve peers")
	}
	p.transport.Serve(listener, server)
	return nil
}

// fleetSize returns the number of known boxes, this one included, among which the limits of the fleet are divided. It counts
// those of all regions.
func (p *peers) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}

// rank returns this box's place among the known boxes by address, counted from 0, and how many there are.
func (p *peers) rank() (rank, boxes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.known {
		if address < p.router.settings.Peers {
			rank++
		}
	}
	return rank, len(p.known) + 1
}

// hallSize returns the number of known boxes of this hall, this one included; most are known from the hub.
func (p *peers) hallSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 1
	for _, known := range p.known {
		if known.box.Hall == p.router.settings.Hall {
			size++
		}
	}
	return size
}

// slackShares returns the number of boxes that the slack of the fleet's retry budget is divided by. Escalations are
// frequent and can wait until a new box knows its fleet; failovers are rare, and without one a caller's answer is cut
// off.
func (p *peers) slackShares(kind route.RetryKind, now time.Time) int {
	if kind == route.RetryEscalation && now.Sub(p.startedAt) < fleetDiscoveryTime {
		return max(p.fleetSize(), assumedFleetSize)
	}
	return p.fleetSize()
}
