package exchange

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/route"
)

const (
	// rpcPermit names the method on the wire that asks for permits.
	rpcPermit = rpcName + ".Permit"
	// askLimit is how long a request waits for its permit: a question takes two ways there and back between halls.
	askLimit = 100 * time.Millisecond
	// mostAsks bounds how many permits one request is denied before it goes only to endpoints that need none.
	mostAsks = 3
	// tryAgainAfter is how long after a send a request may go to the same endpoint again where the limits of all others take
	// no more: places come free meanwhile.
	tryAgainAfter = 50 * time.Millisecond
)

// Permits to send to endpoints that name limits are handed out by one box, so that a limit holds for all boxes together. A box
// asks the hub of its hall, which asks the hub that grants: of those that are in touch, the one that started first, so that
// boxes that start change nothing.
//
// Boxes that are cut from each other may have a granter on each side. Each hands out the part of a limit that the boxes
// make which take it for the granter, so that all parts together are no more than the limit.

// obtainPermit reports whether the request may be sent to the endpoint of its place.
func (c *call) obtainPermit(ticket *gate.Ticket) bool {
	if !ticket.MustAsk() {
		return true
	}
	x, id := c.router, ticket.Endpoint.ID
	now := clock.Now()
	reply, err := x.peers.askPermit(c.ctx, x.limits.NewCall(now, id, x.settings.Box), now)
	if err != nil {
		slog.Debug("no permit was had", "endpoint", id, "error", err)
		x.metrics.asked("unanswered")
		x.limits.HandleNoReply(clock.Now(), id)
		return false
	}
	if !x.limits.HandleReply(clock.Now(), now, id, reply) {
		x.metrics.asked("denied")
		return false
	}
	x.metrics.asked("granted")
	return true
}

// askPermit asks for permits; a box that is slow to answer keeps no request waiting.
func (p *peers) askPermit(ctx context.Context, call ratelimit.Call, now time.Time) (ratelimit.Reply, error) {
	address := p.granterFor(now)
	if address == p.self().Address {
		return p.grant(call, now), nil
	}
	return ratelimit.AskWithin(ctx, askLimit, swapLimit, func(ctx context.Context) (ratelimit.Reply, error) {
		return p.askBox(ctx, address, &call)
	})
}

// callForPermit asks the box at an address over its connection.
func (p *peers) callForPermit(ctx context.Context, address string, call *ratelimit.Call) (reply ratelimit.Reply, err error) {
	err = p.transport.Call(ctx, address, rpcPermit, call, &reply)
	return reply, err
}

// Permit answers a box that asks for permits, by asking the box that grants if that is another one.
func (s *rpcServer) Permit(call *ratelimit.Call, reply *ratelimit.Reply) error {
	p, now := s.peers, clock.Now()
	if call.IsPassedOn && p.granterFor(now) != p.self().Address {
		return errors.New("this box grants no permits")
	}
	passed := *call
	passed.IsPassedOn = true
	var err error
	*reply, err = p.askPermit(context.Background(), passed, now)
	return err
}

// grant answers a question as the box that grants.
func (p *peers) grant(call ratelimit.Call, now time.Time) ratelimit.Reply {
	p.noteGranting(now, true)
	reply := p.granter.Answer(call, p.grantedPart(now), now)
	p.router.metrics.permitsGranted(reply.Permits)
	return reply
}

// noteGranting notes whether this box is the one that grants.
func (p *peers) noteGranting(now time.Time, isGranting bool) {
	if p.granter.SetGranting(now, isGranting) {
		slog.Info("grants of permits changed", "granting", isGranting)
	}
}

// granterFor is the address of the box that this one asks for permits: its hub, or on a hub the box that grants, which may be
// this one.
func (p *peers) granterFor(now time.Time) string {
	if hub, hasHub := p.hub(now); hasHub {
		return hub.Address
	}
	return p.granterOfHubs(now)
}

// granterOfHubs is the address of the box that grants, as a hub knows it.
func (p *peers) granterOfHubs(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, startedMs := p.self().Address, p.startedMs
	for _, hall := range p.hallsKnown() {
		hub, found := p.hubOf(hall, now)
		if !found || hall == p.router.settings.Hall {
			continue
		}
		digest := &p.known[hub.Address].digest
		if digest.StartedMs == 0 {
			continue // a box of an earlier release
		}
		if digest.StartedMs < startedMs || digest.StartedMs == startedMs && hub.Address < first {
			first, startedMs = hub.Address, digest.StartedMs
		}
	}
	return first
}

// grantedPart is the part of a limit that this box hands out: that of the boxes which take it for the one that grants, among all
// that are known. A box that has just started and is in touch with none does not know them yet.
func (p *peers) grantedPart(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	follows := map[willowwick.HallID]bool{}
	for _, hall := range p.hallsKnown() {
		hub, found := p.hubOf(hall, now)
		follows[hall] = found && p.known[hub.Address].digest.Granter == p.self().Address
	}
	all, following := 1, 1
	for _, known := range p.known {
		if !known.isCounted(now) {
			continue
		}
		all++
		isOwnHall := known.box.Hall == p.router.settings.Hall
		if isOwnHall && known.isInTouch(now) || !isOwnHall && follows[known.box.Hall] {
			following++
		}
	}
	if following == 1 && now.Sub(p.began) < countAfter {
		all = max(all, youngFleet)
	}
	return float64(following) / float64(all)
}

// isLimited reports whether an endpoint names a limit.
func (x *Router) isLimited(now time.Time, endpoint willowwick.Endpoint) bool {
	_, isLimited := x.limits.Limited(now, endpoint.ID)
	return isLimited
}

// allowed says which endpoints the request may go to, whatever they have to do: those of the chosen release where there are any.
func (c *call) allowed() func(willowwick.Endpoint) bool {
	if c.router.pool.HasStaying(c.service, c.choice.allows) {
		return c.choice.allows
	}
	return c.choice.otherwise
}

// isHopeless reports whether no endpoint that the request might go to takes one before a time, since all name limits or rest.
func (c *call) isHopeless(now time.Time) (shortage route.Shortage, isHopeless bool) {
	allow := c.allowed()
	if !c.avoidsLimits() {
		return c.router.pool.AllUnavailable(now, c.service, allow)
	}
	isFree := func(endpoint willowwick.Endpoint) bool { return allow(endpoint) && !c.router.isLimited(now, endpoint) }
	if !c.router.pool.HasStaying(c.service, isFree) {
		return route.Shortage{Until: now}, true
	}
	return c.router.pool.AllUnavailable(now, c.service, isFree)
}

// isShort reports whether none of them takes one now.
func (c *call) isShort(now time.Time) bool {
	_, isShort := c.isHopeless(now)
	return isShort
}

// hasOnlyUnavailableLeft reports whether the request was sent to all endpoints but those that take none now.
func (c *call) hasOnlyUnavailableLeft(now time.Time) bool {
	return len(c.exclude) > 0 && c.router.pool.OnlyUnavailableLeft(now, c.service, c.exclude, c.allowed())
}

// excluded are the endpoints to which the request does not go now, since it was there before: none where all others take none
// now, after a moment, since a second try beats a refusal.
func (c *call) excluded(now time.Time) map[willowwick.EndpointID]bool {
	if c.hasOnlyUnavailableLeft(now) && now.Sub(c.endedAt) >= tryAgainAfter {
		return nil
	}
	return c.exclude
}

// avoidsLimits reports whether the request goes only to endpoints that name no limit.
func (c *call) avoidsLimits() bool {
	return c.yields || c.denials >= mostAsks
}

// noteShortage notes a request that was refused since all endpoints name limits.
func (c *call) noteShortage(refusal *willowwick.Refusal) {
	if refusal.Code == willowwick.CodeRateLimited {
		c.router.shortages.note(c.service, urgency(c.route, c.account), clock.Now())
	}
}
