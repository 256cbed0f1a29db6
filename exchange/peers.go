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
	"github.com/willowwick/willowwick/route"
)

const (
	// countAfter is how long a box that has just started takes its fleet to have at least youngFleet boxes, where
	// escalations share the slack of repeats, and requests what cold endpoints bear: it has not heard of all of them yet.
	countAfter = 5 * time.Second
	youngFleet = 50
)

type (
	// peers keeps in touch with the other boxes.
	//
	// In each hall the first box, as precedes orders them, reads the store and swaps digests with the readers of the other
	// halls; the other boxes swap with their reader, and read the store themselves once it is silent or cut off.
	peers struct {
		router    *Router
		transport *fleet.Transport
		began     time.Time
		startedMs int64 // the same by the time of day, as other boxes are told
		limits    *ratelimit.Peers
		granter   *ratelimit.Granter
		// askBox asks the box at an address for permits.
		askBox func(ctx context.Context, address string, call *ratelimit.Call) (ratelimit.Reply, error)
		harm   *quarantine.Peers
		urgent chan struct{} // there is news that cannot wait for the next round of swaps

		mu    sync.Mutex
		known map[string]*peer // by address
		halls map[willowwick.HallID]heardReport
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
	p := &peers{
		router: x, transport: transport, began: clock.Now(), startedMs: clock.TimeOfDay().UnixMilli(), limits: ratelimit.NewPeers(x.limits), granter: ratelimit.NewGranter(x.limits), urgent: make(chan struct{}, 1),
		harm:  quarantine.NewPeers(x.harm, x.settings.Boot),
		known: map[string]*peer{}, halls: map[willowwick.HallID]heardReport{},
	}
	p.askBox = p.callForPermit
	if len(x.settings.Seeds) > 0 {
		x.limits.AwaitUpdates(p.began.Add(lookFor))
	}
	for _, address := range x.settings.Seeds {
		p.list(KnownBox{Address: address}, clock.Now())
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

// boxes is the number of boxes that share the fleet's bounds, this one included.
func (p *peers) boxes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}

// hallSize is the number of the hall's boxes as far as they are known, this one included; most are known from the hub.
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

// sharers is the number of boxes that the fleet's slack of repeats is divided by. Escalations are many and can wait
// until a new box has counted its fleet; failovers are few, and without one a caller's answer is cut.
func (p *peers) sharers(kind route.RepeatKind, now time.Time) int {
	if kind == route.RepeatEscalation && now.Sub(p.began) < countAfter {
		return max(p.boxes(), youngFleet)
	}
	return p.boxes()
}
