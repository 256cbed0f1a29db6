package exchange

import (
	"context"
	"crypto/rand"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/wire"
)

const (
	// rpcOffer is the RPC method that asks a box whether it takes requests of another one.
	rpcOffer = rpcServiceName + ".Offer"
	// offerTTL is how long an offer, or the lack of one, counts.
	offerTTL = time.Second
	// offerTimeout bounds the call that asks for an offer: a box with a fifth of a core may take some tenths of a second.
	offerTimeout = 400 * time.Millisecond
	// wantedOffers is the number of boxes among which a box divides the requests that it passes on, and maxOfferCalls the
	// number that one request or one round asks. maxCallsPerTTL bounds what all ask within offerTTL: if all endpoints are gone,
	// each box asks the others, and none takes requests.
	wantedOffers   = 4
	maxOfferCalls  = 6
	maxCallsPerTTL = 12
	// maxCrashChecks is the number of boxes that a check for a crash asks.
	maxCrashChecks = 2
	// usualLinkMbps is the bandwidth up to which a box with a faster link gets more requests.
	usualLinkMbps = 100
)

type (
	// OfferCall asks a box whether it takes requests of another one.
	OfferCall struct {
		Box willowwick.BoxID
	}

	// OfferReply says where a box takes requests of others; it takes none now if Address is empty.
	OfferReply struct {
		Address string // host:port
		Token   string // goes with each of these requests: only boxes can have asked
	}

	// offers keeps which boxes take requests of this one, and takes those of others.
	offers struct {
		router  *Router
		conns   *wire.Pool
		token   string // of this box
		address string // where this box takes requests; empty if it takes none

		mu       sync.Mutex
		known    map[string]*offer // by the box's address
		answered chan struct{}     // closed, and replaced, at the end of each call that asks
		recent   []time.Time       // when the last maxCallsPerTTL calls that ask were made, oldest first
	}

	// target is the box that a request is passed on to.
	target struct {
		box   KnownBox
		reply OfferReply
	}

	// remoteReach says whether other boxes reach endpoints.
	remoteReach int

	// offer is what a box replied last.
	offer struct {
		target
		validUntil time.Time
		isAsked    bool // a call is in progress
		hasRefused bool // the box replied that it takes no requests
		inFlight   int  // requests passed on to the box now
	}
)

const (
	// reachUnknown: no other box has replied, which one that has just started may not know yet.
	reachUnknown remoteReach = iota
	// reachedNowhere: a box replied that it takes no requests, and none that it does.
	reachedNowhere
	// reachedElsewhere: a box takes requests.
	reachedElsewhere
)

func newOffers(x *Router) (*offers, func()) {
	conns, closeConns := wire.NewPool(wire.Settings{DialTimeout: dialTimeout, AckTimeout: unackedTimeout, Memory: x.answers})
	return &offers{router: x, conns: conns, token: rand.Text(), known: map[string]*offer{}, answered: make(chan struct{})}, closeConns
}

// Offer answers a box that asks whether this one takes its requests.
func (s *rpcServer) Offer(_ *OfferCall, reply *OfferReply) error {
	*reply = s.peers.router.offers.own()
	return nil
}

// own returns this box's offer. A box that is about to stop, or is itself cut off, takes no requests.
func (o *offers) own() OfferReply {
	x := o.router
	if isReady, _ := x.ready(); !isReady || x.reach.isCutOff() {
		return OfferReply{}
	}
	return OfferReply{Address: o.address, Token: o.token}
}

// take returns the box that a request is passed on to, among those in halls that allows accepts and that were not tried; false
// if no box takes it. The caller must call release.
func (o *offers) take(ctx context.Context, allows func(willowwick.HallID) bool, tried map[string]bool) (taken target, found bool) {
	o.askUntil(ctx, maxOfferCalls, allows, func() bool {
		taken, found = o.takeValid(clock.Now(), allows, tried)
		return found
	})
	return taken, found
}

// askUntil asks boxes, at most limit of them, until isDone. Where none is left to ask, it waits for the calls of other requests; an
// answer may have come just before the last look.
func (o *offers) askUntil(ctx context.Context, limit int, allows func(willowwick.HallID) bool, isDone func() bool) bool {
	for range limit {
		if isDone() {
			return true
		}
		if !o.askOne(ctx, allows) && !o.awaitAnswer(ctx) {
			break
		}
	}
	return isDone()
}

// awaitAnswer waits for the end of a call that another request has begun; it returns false if there is none.
func (o *offers) awaitAnswer(ctx context.Context) bool {
	o.mu.Lock()
	answered, isAsking := o.answered, false
	for _, each := range o.known {
		isAsking = isAsking || each.isAsked
	}
	o.mu.Unlock()
	if !isAsking {
		return false
	}
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	}
}

// reachElsewhere returns whether other boxes reach endpoints: one that does takes requests.
func (o *offers) reachElsewhere(ctx context.Context) remoteReach {
	anywhere := func(willowwick.HallID) bool { return true }
	isReached := func() bool { return o.countUsable(clock.Now()) > 0 }
	switch {
	case o.askUntil(context.WithoutCancel(ctx), maxCrashChecks, anywhere, isReached):
		return reachedElsewhere
	case o.hasRefusal(clock.Now()):
		return reachedNowhere
	default:
		return reachUnknown
	}
}

// hasRefusal reports whether a box has replied that it takes no requests.
func (o *offers) hasRefusal(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, each := range o.known {
		if each.hasRefused && now.Before(each.validUntil) {
			return true
		}
	}
	return false
}

// takeValid returns the valid offer with the fewest requests for its link.
func (o *offers) takeValid(now time.Time, allows func(willowwick.HallID) bool, tried map[string]bool) (target, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var best *offer
	for address, each := range o.known {
		if !tried[address] && each.isUsable(now) && allows(each.box.Hall) && (best == nil || each.load() < best.load()) {
			best = each
		}
	}
	if best == nil {
		return target{}, false
	}
	best.inFlight++
	return best.target, true
}

func (f *offer) isUsable(now time.Time) bool {
	return f.reply.Address != "" && now.Before(f.validUntil)
}

// load is the number of requests at the box, with one more, for the speed of its link.
func (f *offer) load() float64 {
	mbps := f.box.LinkMbps
	if mbps <= 0 || mbps > usualLinkMbps {
		mbps = usualLinkMbps
	}
	return float64(f.inFlight+1) / float64(mbps)
}

// release ends a request at a box. A box that wasn't reached, or didn't take the request, gets no other one for a while.
func (o *offers) release(taken target, hasTaken bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.known[taken.box.Address] // kept while requests are in flight
	known.inFlight--
	if !hasTaken {
		known.reply, known.validUntil = OfferReply{}, clock.Now().Add(offerTTL)
	}
}

// refresh asks boxes until enough offers are valid for some time; it is called again and again while this box is cut off.
func (o *offers) refresh(ctx context.Context) {
	later := clock.Now().Add(offerTTL / 2)
	anywhere := func(willowwick.HallID) bool { return true }
	for range maxOfferCalls {
		if o.countUsable(later) >= wantedOffers || !o.askOne(ctx, anywhere) {
			return
		}
	}
}

func (o *offers) countUsable(at time.Time) (count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, each := range o.known {
		if each.isUsable(at) {
			count++
		}
	}
	return count
}

// askOne asks a box that is not known to refuse; it reports whether there was one.
func (o *offers) askOne(ctx context.Context, allows func(willowwick.HallID) bool) bool {
	box, found := o.drawUnasked(clock.Now(), allows)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := fleet.Ask[OfferReply](ctx, o.router.peers.transport, box.Address, rpcOffer, &OfferCall{Box: o.router.settings.Box})
	if err != nil {
		slog.Info("a box gave no answer whether it takes requests", "peer", box.Address, "error", err)
	}
	o.noteReply(box.Address, reply, err == nil)
	return true
}

// noteReply records the reply of a box that was asked; it is empty if there was none.
func (o *offers) noteReply(address string, reply OfferReply, hasReplied bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	asked := o.known[address] // kept while it is asked
	asked.hasRefused = hasReplied && reply.Address == ""
	asked.isAsked, asked.reply, asked.validUntil = false, reply, clock.Now().Add(offerTTL)
	close(o.answered)
	o.answered = make(chan struct{})
}

// drawUnasked draws a box of this region that may be asked now: its last offer is about to end, or it has made none lately.
func (o *offers) drawUnasked(now time.Time, allows func(willowwick.HallID) bool) (KnownBox, bool) {
	boxes := o.router.peers.boxesOfRegion(now)
	mathrand.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forgetOthers(boxes)
	if len(o.recent) >= maxCallsPerTTL && now.Sub(o.recent[0]) < offerTTL {
		return KnownBox{}, false
	}
	for _, box := range boxes {
		known := o.known[box.Address]
		if known == nil {
			known = &offer{}
			o.known[box.Address] = known
		}
		known.box = box
		mayAsk := !now.Before(known.validUntil) || known.isUsable(now) && !known.isUsable(now.Add(offerTTL/2))
		if allows(box.Hall) && !known.isAsked && mayAsk {
			known.isAsked = true
			o.recent = append(o.recent[max(0, len(o.recent)-maxCallsPerTTL+1):], now)
			return box, true
		}
	}
	return KnownBox{}, false
}

// forgetOthers drops the offers of boxes that are gone; the caller holds the lock.
func (o *offers) forgetOthers(boxes []KnownBox) {
	isThere := make(map[string]bool, len(boxes))
	for _, box := range boxes {
		isThere[box.Address] = true
	}
	for address, each := range o.known {
		if !isThere[address] && !each.isAsked && each.inFlight == 0 {
			delete(o.known, address)
		}
	}
}

// boxesOfRegion lists the known boxes of this region that aren't stopping, without this one, and those whose hall isn't known yet.
func (p *peers) boxesOfRegion(now time.Time) []KnownBox {
	p.mu.Lock()
	defer p.mu.Unlock()
	var boxes []KnownBox
	for _, known := range p.known {
		if known.isRetained(now) && !known.box.IsStopping && !p.isInOtherRegion(known.box.Hall) {
			boxes = append(boxes, known.box)
		}
	}
	return boxes
}
