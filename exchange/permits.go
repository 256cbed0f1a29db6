package exchange

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/ratelimit"
)

const (
	// rpcPermit is the RPC method that requests permits.
	rpcPermit = rpcServiceName + ".Permit"
	// permitTimeout is how long a request waits for its permit, which may take two round trips between halls.
	permitTimeout = 100 * time.Millisecond
)

// Permits to send to rate-limited endpoints are granted by one box, so that a limit holds for all boxes together. A box
// asks the hub of its hall, which asks the granter: among the hubs of its region that are in touch, the one that started
// first, so that newly started boxes don't change it.
//
// Each region has a granter of its own, and boxes in a network partition may have one on each side. Each grants the share
// of a limit that corresponds to the boxes that follow it, so that all shares together don't exceed the limit.

// obtainPermit reports whether the request may be sent to the endpoint of its slot.
func (c *call) obtainPermit(ticket *gate.Ticket) bool {
	if !ticket.MustRequestPermit() {
		return true
	}
	x, id := c.router, ticket.Endpoint.ID
	now := clock.Now()
	reply, err := x.peers.requestPermit(c.ctx, x.limits.NewCall(now, id, x.settings.Box), now)
	if err != nil {
		slog.Debug("permit could not be obtained", "endpoint", id, "error", err)
		x.metrics.countPermitAsked("unanswered")
		x.limits.HandleNoReply(clock.Now(), id)
		return false
	}
	if !x.limits.HandleReply(clock.Now(), now, id, reply) {
		x.metrics.countPermitAsked("denied")
		return false
	}
	x.metrics.countPermitAsked("granted")
	return true
}

// requestPermit asks the granter for permits; it waits at most permitTimeout for a slow box. Permits that come later serve
// other requests.
func (p *peers) requestPermit(ctx context.Context, call ratelimit.Call, now time.Time) (ratelimit.Reply, error) {
	address := p.granterFor(now)
	if address == p.self().Address {
		return p.grant(call, now), nil
	}
	ask := func() (ratelimit.Reply, error) { return p.askGranter(address, &call) }
	return ratelimit.AskWithin(ctx, permitTimeout, ask, func(late ratelimit.Reply) {
		p.router.metrics.countPermitAsked("late")
		p.router.limits.HandleLateReply(clock.Now(), now, call.Row.Endpoint, late)
	})
}

// askGranter calls the box at an address for permits.
func (p *peers) askGranter(address string, call *ratelimit.Call) (ratelimit.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
	defer cancel()
	return p.askBox(ctx, address, call)
}

// callPermit calls the box at an address over its connection.
func (p *peers) callPermit(ctx context.Context, address string, call *ratelimit.Call) (ratelimit.Reply, error) {
	return fleet.Ask[ratelimit.Reply](ctx, p.transport, address, rpcPermit, call)
}

// Permit answers a box that asks for permits, forwarding the call if another box is the granter. The asking box itself
// decides how long it waits.
func (s *rpcServer) Permit(call *ratelimit.Call, reply *ratelimit.Reply) (err error) {
	forwarded := *call
	forwarded.IsPassedOn = true
	grant := func(now time.Time) ratelimit.Reply { return s.peers.grant(*call, now) }
	ask := func(address string) (ratelimit.Reply, error) { return s.peers.askGranter(address, &forwarded) }
	*reply, err = grantOrAsk(s.peers, call.IsPassedOn, grant, ask)
	return err
}

// grantOrAsk returns what this box grants if it is the granter, and otherwise what the box that it asks replies. A call that
// was passed on is not passed on again.
func grantOrAsk[R any](p *peers, isPassedOn bool, grant func(now time.Time) R, ask func(address string) (R, error)) (R, error) {
	now := clock.Now()
	address := p.granterFor(now)
	if address == p.self().Address {
		return grant(now), nil
	}
	if isPassedOn {
		return *new(R), errors.New("this box is not the granter")
	}
	return ask(address)
}

// grant answers a call as the granter.
func (p *peers) grant(call ratelimit.Call, now time.Time) ratelimit.Reply {
	p.setGranting(now, true)
	reply := p.granter.Answer(call, p.grantedShare(now), now)
	p.router.metrics.countPermitsGranted(reply.Permits)
	return reply
}

// setGranting records whether this box is the granter.
func (p *peers) setGranting(now time.Time, isGranting bool) {
	p.reservations.SetGranting(now, isGranting)
	if p.granter.SetGranting(now, isGranting) {
		slog.Info("grants of permits changed", "granting", isGranting)
	}
}

// granterFor returns the address that this box asks for permits: its hub, or on a hub the granter, which may be
// this box.
func (p *peers) granterFor(now time.Time) string {
	if hub, hasHub := p.hub(now); hasHub {
		return hub.Address
	}
	return p.granterOfHubs(now)
}

// granterOfHubs returns the granter's address, as a hub knows it.
func (p *peers) granterOfHubs(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, startedMs := p.self().Address, p.startedMs
	for _, hall := range p.knownHalls() {
		hub, found := p.hallHub(hall, now)
		if !found || hall == p.router.settings.Hall || p.isInOtherRegion(hall) {
			continue
		}
		digest := &p.known[hub.Address].digest
		if digest.StartedMs == 0 {
			continue // the box runs an earlier release
		}
		if digest.StartedMs < startedMs || digest.StartedMs == startedMs && hub.Address < first {
			first, startedMs = hub.Address, digest.StartedMs
		}
	}
	return first
}

// grantedShare returns the share of a limit that this box grants: the boxes that follow it, divided by all known boxes.
func (p *peers) grantedShare(now time.Time) float64 {
	all, following := p.followers(now)
	return float64(len(following)) / float64(len(all))
}

// followers returns the addresses of all known boxes, this one included, and of those among them that follow this box as the
// granter. A box that has just started and is in touch with none does not know them yet: the list then has assumedFleetSize entries
// at least, empty ones for unknown boxes.
func (p *peers) followers(now time.Time) (all, following []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hallFollows := map[willowwick.HallID]bool{}
	for _, hall := range p.knownHalls() {
		hub, found := p.hallHub(hall, now)
		hallFollows[hall] = found && !p.isInOtherRegion(hall) && p.known[hub.Address].digest.Granter == p.self().Address
	}
	all, following = []string{p.self().Address}, []string{p.self().Address}
	for address, known := range p.known {
		if !known.isInRoster(now) {
			continue
		}
		all = append(all, address)
		isOwnHall := known.box.Hall == p.router.settings.Hall
		if isOwnHall && known.isLive(now) || !isOwnHall && hallFollows[known.box.Hall] {
			following = append(following, address)
		}
	}
	for len(following) == 1 && len(all) < assumedFleetSize && now.Sub(p.startedAt) < fleetDiscoveryTime {
		all = append(all, "")
	}
	return all, following
}

// isLimited reports whether an endpoint has named a rate limit.
func (x *Router) isLimited(now time.Time, endpoint willowwick.Endpoint) bool {
	_, isLimited := x.limits.NextAt(now, endpoint.ID)
	return isLimited
}

// recordLimitedSend records a send to a rate-limited endpoint.
func (c *call) recordLimitedSend(ticket *gate.Ticket) {
	if c.router.isLimited(clock.Now(), ticket.Endpoint) {
		c.router.shortages.recordSend(c.queueName(), requestPriority(c.route, c.account))
	}
}

// recordShortage records a request that was refused because all endpoints are rate-limited.
func (c *call) recordShortage(refusal *willowwick.Refusal) {
	if refusal.Code == willowwick.CodeRateLimited {
		c.router.shortages.record(c.queueName(), requestPriority(c.route, c.account), clock.Now())
	}
}
