package exchange

import (
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/route"
)

const (
	// queueWaitShare is the share of the goal that a request may wait for a slot; later, a refusal serves the
	// caller better.
	queueWaitShare = 0.25
	// maxPermitDenials is the number of denied permits after which a request uses only endpoints without a rate
	// limit.
	maxPermitDenials = 3
	// sameEndpointRetryDelay is the time after a send before a request may retry the same endpoint when no other
	// endpoint takes requests: slots become free in the meantime.
	sameEndpointRetryDelay = 50 * time.Millisecond
)

// awaitTicket waits in the queue for a slot at an endpoint.
func (c *call) awaitTicket() (*gate.Ticket, *willowwick.Refusal) {
	now := clock.Now()
	// Roll-outs may have started or ended since the previous send.
	c.choice = c.router.releases.choose(c.service, c.sessionKey(), now, c.deadline)
	c.choice.onlyRelease = c.trialRelease
	c.limitQueueWait(now)
	work := c.work()
	return c.router.gate.Enter(c.ctx, gate.Request{
		Work: c.queueName(), Account: c.accountName(), Weight: 1, Cost: c.cost(), Deadline: c.queueUntil,
		Acquire: func(now time.Time) (*route.Slot, bool) {
			slot, known := c.acquireSlot(now, work, c.allows)
			if slot == nil && !known && c.choice.release != "" {
				return c.acquireSlot(now, work, c.allowsFallback)
			}
			return slot, known
		},
		Unavailable: c.areAllUnavailable,
	})
}

// limitQueueWait sets until when the request may wait in the queue. The short waits of a request that nothing has run
// end together: neither a denied permit nor an endpoint's rejection begins them anew.
func (c *call) limitQueueWait(now time.Time) {
	if c.queueUntil.IsZero() {
		c.queueUntil = c.deadline
	}
	if c.queueUntil.Equal(c.deadline) && (c.sends == 0 || c.needsReservation(now) || c.hasOnlyUnavailableLeft(now) || c.areNoneAvailable(now)) {
		if c.shortWaitUntil.IsZero() {
			c.shortWaitUntil = now.Add(scale(c.route.Goal, queueWaitShare))
		}
		c.queueUntil = earliest(c.deadline, c.shortWaitUntil)
	}
}

// resetQueueWait allows a new wait in the queue after a send; short waits begin anew only if an endpoint may have run
// the request.
func (c *call) resetQueueWait() {
	c.queueUntil = time.Time{}
	if c.out.runs > 0 {
		c.shortWaitUntil = time.Time{}
	}
}

// acquireSlot takes a slot at an allowed endpoint, preferring regions and halls with few misses.
func (c *call) acquireSlot(now time.Time, work route.Work, allow func(willowwick.Endpoint) bool) (*route.Slot, bool) {
	if c.avoidsLimitedEndpoints() {
		allowed := allow
		allow = func(endpoint willowwick.Endpoint) bool {
			return allowed(endpoint) && !c.router.isLimited(now, endpoint)
		}
	}
	for _, hasFewMisses := range c.misses.preferences() {
		preferred := func(endpoint willowwick.Endpoint) bool { return hasFewMisses(endpoint.Hall) && allow(endpoint) }
		if slot, _ := c.router.pool.AcquireAllowed(now, c.service, work, c.triedEndpoints, preferred); slot != nil {
			return slot, true
		}
	}
	return c.router.pool.AcquireAllowed(now, c.service, work, c.excludedEndpoints(now), allow)
}

// allowedEndpoints returns the filter for the request's endpoints, whatever their load: the chosen release if it
// has endpoints, or the other releases.
func (c *call) allowedEndpoints() func(willowwick.Endpoint) bool {
	if c.router.pool.HasInService(c.service, c.allows) {
		return c.allows
	}
	return c.allowsFallback
}

// areAllUnavailable reports whether all endpoints that the request may use are rate-limited or in backoff, and
// until when.
func (c *call) areAllUnavailable(now time.Time) (shortage route.Shortage, areAllUnavailable bool) {
	allow := c.allowedEndpoints()
	if !c.avoidsLimitedEndpoints() {
		return c.router.pool.AllUnavailable(now, c.service, allow)
	}
	isFree := func(endpoint willowwick.Endpoint) bool { return allow(endpoint) && !c.router.isLimited(now, endpoint) }
	if !c.router.pool.HasInService(c.service, isFree) {
		return route.Shortage{Until: now}, true
	}
	return c.router.pool.AllUnavailable(now, c.service, isFree)
}

// areNoneAvailable is areAllUnavailable without the time.
func (c *call) areNoneAvailable(now time.Time) bool {
	_, areNoneAvailable := c.areAllUnavailable(now)
	return areNoneAvailable
}

// hasOnlyUnavailableLeft reports whether the request was already sent to all endpoints that are available now.
func (c *call) hasOnlyUnavailableLeft(now time.Time) bool {
	return len(c.triedEndpoints) > 0 && c.router.pool.RemainingUnavailable(now, c.service, c.triedEndpoints, c.allowedEndpoints())
}

// excludedEndpoints returns the endpoints that the request must not use again. If no other endpoint is available
// there are none after sameEndpointRetryDelay, since a retry at the same endpoint is better than a refusal.
func (c *call) excludedEndpoints(now time.Time) map[willowwick.EndpointID]bool {
	if c.hasOnlyUnavailableLeft(now) && now.Sub(c.lastSendEndedAt) >= sameEndpointRetryDelay {
		return nil
	}
	return c.triedEndpoints
}

// avoidsLimitedEndpoints reports whether the request uses only endpoints without a rate limit.
func (c *call) avoidsLimitedEndpoints() bool {
	return c.yieldsToUrgent || c.permitDenials >= maxPermitDenials
}

// mustAwaitFreeSlot reports whether every available endpoint has refused the request, so that it waits
// sameEndpointRetryDelay for slots to become free before it retries one of them.
func (c *call) mustAwaitFreeSlot(now time.Time) bool {
	pool, allowedEndpoints := c.router.pool, c.allowedEndpoints()
	_, isShort := pool.AllUnavailable(now, c.service, allowedEndpoints)
	return !isShort && pool.NoneAvailable(now, c.service, c.triedEndpoints, allowedEndpoints)
}

// canAwaitFreeSlot reports whether there is time for the delay of mustAwaitFreeSlot, or no need for it: a request
// that nothing has run yet is refused if its caller would wait longer than queueWaitShare of the goal.
func (c *call) canAwaitFreeSlot(now time.Time) bool {
	until := c.arrived.Add(scale(c.route.Goal, queueWaitShare))
	return c.out.runs > 0 || now.Add(sameEndpointRetryDelay).Before(until) || !c.mustAwaitFreeSlot(now)
}
