package exchange

import (
	"context"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/reservation"
)

const (
	// rpcReserve is the RPC method that requests reservations.
	rpcReserve = rpcServiceName + ".Reserve"
	// maxReservationChoices is the number of endpoints among which a reservation may be: enough that one of them has a free slot if
	// many have.
	maxReservationChoices = 16
	// missedRetryDelay is the Retry-After of a request that got no reservation: by then, runs of most services have ended.
	missedRetryDelay = time.Second
)

// Reservations for endpoints that crash under too many rejections are granted by the box that grants permits, in the same way:
// boxes ask the hub of their hall, which asks the granter.

// obtainReservation waits until the request may be sent to the endpoint of its slot, or moves the slot to another endpoint. It
// returns a refusal if there is no free slot in time; false without one if the request must choose an endpoint anew.
func (c *call) obtainReservation(ticket *gate.Ticket) (isReserved bool, refusal *willowwick.Refusal) {
	if !ticket.IsUnreserved() {
		return true, nil
	}
	x, now := c.router, clock.Now()
	request := reservation.Request{
		Ask: reservation.Ask{Choices: c.reservationChoices(now, ticket)}, Rank: requestPriority(c.route, c.account),
		Deadline: earliest(c.queueUntil, c.deadline),
		Take:     func(id willowwick.EndpointID) bool { return ticket.Reserve(clock.Now(), id) },
	}
	switch x.reservations.Await(c.ctx, request) {
	case reservation.OutcomeReserved:
		return true, nil
	case reservation.OutcomeOutdated:
		return false, nil
	}
	x.metrics.countReservationMissed()
	return false, willowwick.NotRun(willowwick.CodeOverloaded, clock.Now().Add(missedRetryDelay), "all slots of the endpoints that serve %q are taken", c.service)
}

// reservationChoices lists the endpoints at which the request may have its reservation.
func (c *call) reservationChoices(now time.Time, ticket *gate.Ticket) []willowwick.Alternative {
	allow := c.allowedEndpoints()
	isAllowed := func(endpoint willowwick.Endpoint) bool { return allow(endpoint) && !c.router.isLimited(now, endpoint) }
	return c.router.pool.Alternatives(now, ticket.Slot, maxReservationChoices, c.triedEndpoints, isAllowed)
}

// noteRejection records that an endpoint rejected the request for want of room although it had a reservation.
func (s *send) noteRejection() {
	notice := s.answerHead.Notice
	if s.ticket.IsReserved() && !notice.Draining && notice.BackoffUntil.IsZero() {
		s.router.reservations.NoteRejection(clock.Now(), s.ticket.Endpoint)
	}
}

// mayStillRun reports whether the endpoint may go on with a request after the send has ended.
func (s *send) mayStillRun(result sendResult) bool {
	switch result.kind {
	case escalated, callerLeft, abandoned, silent, moved, broken:
		return s.conn != nil
	default:
		return false
	}
}

// occupied lists what this box has at the endpoints of some services.
func (x *Router) occupied(services []willowwick.ServiceID) []willowwick.Occupancy {
	return x.pool.Occupied(clock.Now(), services)
}

// reserve asks for reservations until the context ends.
func (p *peers) reserve(ctx context.Context) {
	p.router.reservations.Run(ctx, p.requestReservations)
}

// requestReservations asks the granter for reservations.
func (p *peers) requestReservations(ctx context.Context, call reservation.Call) (reservation.Reply, error) {
	grant := func(now time.Time) reservation.Reply { return p.grantReservations(&call, now) }
	ask := func(address string) (reservation.Reply, error) { return p.askForReservations(ctx, address, &call) }
	return grantOrAsk(p, call.IsPassedOn, grant, ask)
}

// callReserve calls the box at an address over its connection.
func (p *peers) callReserve(ctx context.Context, address string, call *reservation.Call) (reservation.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	return fleet.Ask[reservation.Reply](ctx, p.transport, address, rpcReserve, call)
}

// Reserve answers a box that asks for reservations, forwarding the call if another box is the granter.
func (s *rpcServer) Reserve(call *reservation.Call, reply *reservation.Reply) (err error) {
	forwarded := *call
	forwarded.IsPassedOn = true
	grant := func(now time.Time) reservation.Reply { return s.peers.grantReservations(call, now) }
	ask := func(address string) (reservation.Reply, error) {
		return s.peers.askForReservations(context.Background(), address, &forwarded)
	}
	*reply, err = grantOrAsk(s.peers, call.IsPassedOn, grant, ask)
	return err
}

// grantReservations answers a call as the granter.
func (p *peers) grantReservations(call *reservation.Call, now time.Time) reservation.Reply {
	p.setGranting(now, true)
	all, following := p.followers(now)
	reply := p.reservations.Answer(*call, reservation.NewShare(all, following), now)
	p.router.metrics.countReservations(call, &reply)
	return reply
}

// needsReservation reports whether requests to the service need reservations now.
func (c *call) needsReservation(now time.Time) bool {
	return c.router.reservations.IsRequired(now, c.service)
}
