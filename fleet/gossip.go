package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

// pullLimit is the maximum number of log entries in one Pull reply.
const pullLimit = 500

// gossip renews this box's digest when due, exchanges digests with one box of its hall and one of another hall, and
// checks the usage replica.
func (n *Node) gossip(ctx context.Context) {
	n.renewDigest(clock.Now())
	same, other := n.pickGossipPeers()
	if same != nil {
		n.exchangeDigests(ctx, *same)
	}
	if other != nil {
		n.exchangeDigests(ctx, *other)
	}
	n.checkUsageReplica()
}

func (n *Node) renewDigest(now time.Time) {
	hallSize := 0
	for _, box := range n.Table.Live(now) {
		if box.Hall == n.Self.Hall {
			hallSize++
		}
	}
	n.mu.Lock()
	if now.Before(n.nextDigestAt) {
		n.mu.Unlock()
		return
	}
	n.nextDigestAt = now.Add(DigestInterval(hallSize) - loopInterval/2)
	n.digestCount++
	number, draining := n.digestCount, n.draining
	n.mu.Unlock()
	d := Digest{
		Box: n.Self.Box, Boot: n.Self.Boot, Version: newDigestVersion(n.Self.Started, number),
		Hall: n.Self.Hall, Peer: n.Self.Peer, Offset: n.Follower.Revision().Offset,
		ConfirmMs: n.msSinceConfirmed(now), Draining: draining,
	}
	n.FillDigest(&d)
	n.Table.Merge(now, []Digest{d}, nil)
}

func (n *Node) msSinceConfirmed(now time.Time) int64 {
	confirmed := n.Follower.ConfirmedAt()
	if confirmed.IsZero() {
		return -1
	}
	return now.Sub(confirmed).Milliseconds()
}

// pickGossipPeers picks another box of this hall and a box of another hall at random; either is nil if there is none.
func (n *Node) pickGossipPeers() (same, other *willowwick.Box) {
	listing, _ := n.Listing()
	var sameHall, otherHalls []willowwick.Box
	for _, box := range listing.Boxes {
		switch {
		case box.ID == n.Self.Box:
		case box.Hall == n.Self.Hall:
			sameHall = append(sameHall, box)
		default:
			otherHalls = append(otherHalls, box)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(sameHall) > 0 {
		same = &sameHall[n.random.IntN(len(sameHall))]
	}
	if len(otherHalls) > 0 {
		other = &otherHalls[n.random.IntN(len(otherHalls))]
	}
	return same, other
}

func (n *Node) exchangeDigests(ctx context.Context, with willowwick.Box) {
	now := clock.Now()
	args := ExchangeArgs{Peer: n.Self.Peer, Hall: n.Self.Hall, Offset: n.Follower.Revision().Offset}
	marks, hallMarks := n.Table.Marks()
	args.HallMarks = hallMarks
	if with.Hall == n.Self.Hall {
		args.Marks = marks
	} else {
		args.Halls = []HallDigest{n.Table.HallDigest(now)}
		args.HallMarks = append(args.HallMarks, HallMark{Hall: n.Self.Hall, Stamp: hallStamp(now)})
	}
	args.Harm = n.quarantinePeers.NewCall(with.Peer, now)
	args.Limits = n.limitPeers.NewCall(with.Peer, now)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ExchangeReply
	if err := n.Transport.Call(callCtx, with.Peer, rpcName+".Exchange", args, &reply); err != nil {
		return
	}
	n.recordContact(clock.Now())
	n.mergeDigests(clock.Now(), reply.Digests, reply.Halls)
	n.limitPeers.HandleAnswer(reply.Limits, with.Peer, now)
	n.mergeCrashAnswer(args.Harm, reply.Harm, with.Peer, reply.Boot)
	n.syncOffset(callCtx, with.Peer, reply.Offset, reply.ConfirmMs)
	if len(reply.Want) > 0 {
		_ = n.Transport.Call(callCtx, with.Peer, rpcName+".Push", PushArgs{Digests: n.Table.Select(reply.Want)}, &Nothing{})
	}
}

func (n *Node) mergeDigests(now time.Time, digests []Digest, halls []HallDigest) {
	taken := n.Table.Merge(now, digests, halls)
	if len(taken) > 0 || len(halls) > 0 {
		n.OnDigests(taken, halls)
	}
}

// syncOffset pulls the entries that a peer has beyond this box's offset, and confirms the offset if the peer has
// confirmed it.
func (n *Node) syncOffset(ctx context.Context, peer string, offset willowwick.Offset, confirmMs int64) {
	if offset > n.Follower.Revision().Offset {
		n.pullEntries(ctx, peer)
	}
	if confirmMs >= 0 {
		n.Follower.Confirm(offset, clock.Now().Add(-time.Duration(confirmMs)*time.Millisecond))
	}
}

func (n *Node) pullEntries(ctx context.Context, peer string) {
	var reply PullReply
	args := PullArgs{After: n.Follower.Revision().Offset, Limit: pullLimit}
	if err := n.Transport.Call(ctx, peer, rpcName+".Pull", args, &reply); err != nil {
		return
	}
	if len(reply.State) > 0 {
		state, err := config.DecodeState(reply.State)
		if err == nil {
			n.Follower.Install(state)
		}
		return
	}
	if err := n.Follower.Ingest(reply.Entries); err != nil {
		slog.Warn("failed to fold entries from peer", "peer", peer, "error", err)
	}
}
