package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/ratelimit"
)

const (
	// permitWait is how long a request waits for its permit.
	permitWait = 100 * time.Millisecond
	// selfGrantDelay is how long permit requests go unanswered until a box grants itself permits from its equal
	// share: while the log is down the lease expires, and with it the right to grant.
	selfGrantDelay = time.Second
	// isolationTimeout is how long a lease holder may be without contact with other boxes before it grants only its
	// own share.
	isolationTimeout = 3 * time.Second
	// holderRetryInterval is how often the lease holder is asked while this box grants permits to itself.
	holderRetryInterval = 3 * time.Second
)

// ObtainPermit reports whether a request may be sent to an endpoint that announces a rate limit. The lease holder
// grants permits to all boxes; without one, each box grants itself its equal share.
func (n *Node) ObtainPermit(ctx context.Context, endpoint willowwick.EndpointID) bool {
	now := clock.Now()
	reply, err := n.requestPermit(ctx, n.Limits.NewCall(now, endpoint, n.Self.Box), now)
	if err != nil {
		slog.Debug("permit request failed", "endpoint", endpoint, "error", err)
		n.Limits.HandleNoReply(clock.Now(), endpoint)
		return false
	}
	return n.Limits.HandleReply(clock.Now(), now, endpoint, reply)
}

func (n *Node) requestPermit(ctx context.Context, call ratelimit.Call, now time.Time) (ratelimit.Reply, error) {
	if _, holdsLease := n.Lease.Fence(now); holdsLease {
		n.recordGrant(now)
		return n.grantPermit(call, now), nil
	}
	n.granter.SetGranting(now, false)
	holder, found := n.leaseHolder()
	if !found || n.lacksGranter(now) {
		n.localGranter.SetGranting(now, true)
		return n.localGranter.Answer(call, 1/float64(n.fleetSize()), now), nil
	}
	ask := func() (ratelimit.Reply, error) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return Ask[ratelimit.Reply](ctx, n.Transport, holder.Peer, rpcName+".Permit", call)
	}
	reply, err := ratelimit.AskWithin(ctx, permitWait, ask, func(late ratelimit.Reply) {
		n.recordGrant(clock.Now())
		n.Limits.HandleLateReply(clock.Now(), now, call.Row.Endpoint, late)
	})
	if err == nil {
		n.recordGrant(clock.Now())
	}
	return reply, err
}

// grantPermit replies to a permit request as the lease holder, with the fraction of the limit that corresponds to the
// fraction of the fleet that it reaches.
func (n *Node) grantPermit(call ratelimit.Call, now time.Time) ratelimit.Reply {
	n.granter.SetGranting(now, true)
	reached := min(len(n.Table.Live(now)), n.fleetSize())
	if n.isIsolated(now) {
		reached = 1
	}
	return n.granter.Answer(call, float64(reached)/float64(n.fleetSize()), now)
}

// recordContact records that another box has called or replied.
func (n *Node) recordContact(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastContactAt = now
}

// isIsolated reports whether this box has had no contact with other boxes for isolationTimeout; those may be granting
// themselves their shares.
func (n *Node) isIsolated(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.lastContactAt) > isolationTimeout
}

// recordGrant records that a lease holder grants permits to all boxes.
func (n *Node) recordGrant(now time.Time) {
	n.localGranter.SetGranting(now, false)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ungrantedSince = time.Time{}
}

// lacksGranter reports whether this box's permit requests have gone unanswered for selfGrantDelay. It returns false
// once every holderRetryInterval, so that the lease holder is asked again.
func (n *Node) lacksGranter(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ungrantedSince.IsZero() {
		n.ungrantedSince = now
	}
	if now.Sub(n.ungrantedSince) < selfGrantDelay {
		return false
	}
	if !now.Before(n.nextHolderAskAt) {
		n.nextHolderAskAt = now.Add(holderRetryInterval)
		return false
	}
	return true
}

// Permit grants permits to the calling box if this box holds the lease.
func (p *peerService) Permit(call ratelimit.Call, reply *ratelimit.Reply) error {
	n, now := p.node, clock.Now()
	if _, holdsLease := n.Lease.Fence(now); !holdsLease {
		return errors.New("this box does not hold the lease")
	}
	*reply = n.grantPermit(call, now)
	return nil
}
