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
	// selfGrantDelay is how long nobody has granted permits until a box gives itself those of its equal share: the lease lapses
	// while the log is away, and so does the right to grant.
	selfGrantDelay = time.Second
	// isolationTimeout is how long a holder of the lease is in touch with no other box until it grants no more than its own share.
	isolationTimeout = 3 * time.Second
	// holderRetryInterval is how often the holder of the lease is asked all the same.
	holderRetryInterval = 3 * time.Second
)

// ObtainPermit reports whether a request may be sent to an endpoint that names a limit. The holder of the lease grants permits
// to all boxes; where nobody does, each box grants itself its equal share.
func (n *Node) ObtainPermit(ctx context.Context, endpoint willowwick.EndpointID) bool {
	now := clock.Now()
	reply, err := n.requestPermit(ctx, n.Limits.Ask(now, endpoint, n.Self.Box), now)
	if err != nil {
		slog.Debug("no permit was had", "endpoint", endpoint, "error", err)
		n.Limits.Unanswered(clock.Now(), endpoint)
		return false
	}
	return n.Limits.Answered(clock.Now(), now, endpoint, reply)
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
	reply, err := ratelimit.AskWithin(ctx, permitWait, callTimeout, func(ctx context.Context) (reply ratelimit.Reply, err error) {
		err = n.Transport.Call(ctx, holder.Peer, rpcName+".Permit", call, &reply)
		return reply, err
	})
	if err == nil {
		n.recordGrant(clock.Now())
	}
	return reply, err
}

// grantPermit answers a question as the holder of the lease, with the part of the limit that the boxes make which it reaches.
func (n *Node) grantPermit(call ratelimit.Call, now time.Time) ratelimit.Reply {
	n.granter.SetGranting(now, true)
	reached := min(len(n.Table.Live(now)), n.fleetSize())
	if n.isIsolated(now) {
		reached = 1
	}
	return n.granter.Answer(call, float64(reached)/float64(n.fleetSize()), now)
}

// recordContact notes that another box has called, or answered.
func (n *Node) recordContact(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastContactAt = now
}

// isIsolated reports whether this box has been in touch with no other one for a while; those may grant themselves their shares.
func (n *Node) isIsolated(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.lastContactAt) > isolationTimeout
}

// recordGrant notes that somebody grants permits to all boxes.
func (n *Node) recordGrant(now time.Time) {
	n.localGranter.SetGranting(now, false)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ungrantedSince = time.Time{}
}

// lacksGranter reports whether nobody has granted permits for a while, though this box asked; from time to time it asks again.
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

// Permit grants permits to a box that asks, if this one holds the lease.
func (p *peerService) Permit(call ratelimit.Call, reply *ratelimit.Reply) error {
	n, now := p.node, clock.Now()
	if _, holdsLease := n.Lease.Fence(now); !holdsLease {
		return errors.New("this box does not hold the lease")
	}
	*reply = n.grantPermit(call, now)
	return nil
}
