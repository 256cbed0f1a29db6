package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

type (
	// PullArgs requests the log entries after an offset.
	PullArgs struct {
		After willowwick.Offset
		Limit int
	}

	// PullReply returns entries, or the whole state if some entries are no longer in memory.
	PullReply struct {
		Entries []willowwick.Entry
		State   json.RawMessage
	}

	// StateReply returns the whole state.
	StateReply struct {
		State json.RawMessage
	}

	// peerService serves the RPCs of other daemons.
	peerService struct {
		node *Node
	}
)

// Exchange serves a gossip exchange of digests.
func (p *peerService) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	n := p.node
	now := clock.Now()
	n.recordContact(now)
	n.mergeDigests(now, nil, args.Halls)
	reply.Digests, reply.Halls, reply.Want = n.Table.Newer(args)
	if args.Hall != n.Self.Hall && args.knownStamp(n.Self.Hall) < hallStamp(now) {
		reply.Halls = append(reply.Halls, n.Table.HallDigest(now))
	}
	reply.Offset = n.Follower.Revision().Offset
	if args.Offset > reply.Offset {
		n.workers.Go(func() { n.pullFromCaller(args.Peer) })
	}
	reply.ConfirmMs = n.msSinceConfirmed(now)
	reply.Boot = n.Self.Boot
	reply.Harm = n.answerCrashes(args.Harm, args.Peer)
	reply.Limits, _ = n.limitPeers.Answer(args.Limits, args.Peer, now)
	return nil
}

// pullFromCaller pulls the entries that a caller has and this box lacks.
func (n *Node) pullFromCaller(peer string) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	n.pullEntries(ctx, peer)
}

// Push receives the digests that this box asked for in an ExchangeReply.
func (p *peerService) Push(args PushArgs, _ *Nothing) error {
	p.node.mergeDigests(clock.Now(), args.Digests, nil)
	return nil
}

// Pull returns entries of the configuration stream.
func (p *peerService) Pull(args PullArgs, reply *PullReply) error {
	entries, ok := p.node.Follower.Since(args.After, args.Limit)
	if ok {
		reply.Entries = entries
		return nil
	}
	state, err := p.node.Follower.Revision().Encode()
	reply.State = state
	return err
}

// State returns the whole state.
func (p *peerService) State(_ Nothing, reply *StateReply) error {
	revision := p.node.Follower.Revision()
	if revision.Offset == 0 {
		return errors.New("this box has no configuration yet")
	}
	state, err := revision.Encode()
	reply.State = state
	return err
}

// Put stores a claim or a session version.
func (p *peerService) Put(args PutArgs, reply *PutReply) error {
	now := clock.Now()
	if args.Strict && !p.node.canGrantClaims(now) {
		*reply = PutReply{Status: PutUnconfirmed, Epoch: p.node.Registry.Epoch()}
		return nil
	}
	*reply = p.node.Registry.Put(now, args)
	return nil
}

// Drop removes a claim.
func (p *peerService) Drop(args DropArgs, _ *Nothing) error {
	p.node.Registry.Drop(args)
	return nil
}

// Export returns the entries that another box must store under the adopted roster.
func (p *peerService) Export(args ExportArgs, reply *ExportReply) error {
	*reply = p.node.Registry.Export(clock.Now(), args)
	return nil
}

// Hold stores usage records of another box.
func (p *peerService) Hold(args HoldArgs, _ *Nothing) error {
	return p.node.Usage.Hold(clock.Now(), args)
}

// Settle removes usage records that are on the log.
func (p *peerService) Settle(args SettleArgs, _ *Nothing) error {
	p.node.Usage.Settle(args)
	return nil
}

// Hold implements UsageReplicator; the replica is a box in another hall, if one is alive.
func (n *Node) Hold(ctx context.Context, args HoldArgs) (alone bool, err error) {
	replica, ok := n.chooseUsageReplica()
	if !ok {
		return true, nil
	}
	if err := n.Transport.Call(ctx, replica.Peer, rpcName+".Hold", args, &Nothing{}); err != nil {
		n.dropUsageReplica(replica)
		return false, err
	}
	return false, nil
}

// Settle implements UsageReplicator. A lost call does no harm: the replica may append the records again, and the
// ledger counts each record once.
func (n *Node) Settle(ctx context.Context, args SettleArgs) {
	n.mu.Lock()
	replica := n.usageReplica
	n.mu.Unlock()
	if replica.Boot == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = n.Transport.Call(callCtx, replica.Peer, rpcName+".Settle", args, &Nothing{})
}

func (n *Node) chooseUsageReplica() (LiveBox, bool) {
	live := n.LiveBoxes(clock.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.usageReplica.Boot != "" {
		return n.usageReplica, true
	}
	var same, other []LiveBox
	for _, box := range live {
		switch {
		case box.Boot == n.Self.Boot || box.Draining:
		case box.Hall == n.Self.Hall:
			same = append(same, box)
		default:
			other = append(other, box)
		}
	}
	if len(other) == 0 {
		other = same
	}
	if len(other) == 0 {
		return LiveBox{}, false
	}
	n.usageReplica = other[n.random.IntN(len(other))]
	return n.usageReplica, true
}

func (n *Node) dropUsageReplica(replica LiveBox) {
	n.mu.Lock()
	dropped := n.usageReplica == replica
	if dropped {
		n.usageReplica = LiveBox{}
	}
	n.mu.Unlock()
	if dropped {
		n.Usage.ReplicaLost()
	}
}

// checkUsageReplica drops the usage replica when it is draining or no longer alive, so that another is chosen.
func (n *Node) checkUsageReplica() {
	n.mu.Lock()
	replica := n.usageReplica
	n.mu.Unlock()
	if replica.Boot == "" {
		return
	}
	for _, box := range n.Table.Live(clock.Now()) {
		if box.Boot == replica.Boot && !box.Draining {
			return
		}
	}
	n.dropUsageReplica(replica)
}

// ClaimStatus is the outcome of a claim.
type ClaimStatus int

// Outcomes of a claim, in the order in which a replica's outcome outweighs that of the other.
const (
	// ClaimGranted: this request may run, and no other request with its key will.
	ClaimGranted ClaimStatus = iota
	// ClaimUnavailable: claims can't be granted at the moment.
	ClaimUnavailable
	// ClaimUnknown: it is no longer known whether a request with this key was accepted.
	ClaimUnknown
	// ClaimHeld: a request with this key was accepted before.
	ClaimHeld
)

const (
	// claimWait is longer than a box of a large fleet takes to import claims.
	claimWait          = 3 * time.Second
	claimRetryInterval = 50 * time.Millisecond
)

// Claim asks both replicas of a key to reserve it for a request. While the roster changes it asks again, for at most
// claimWait.
func (n *Node) Claim(ctx context.Context, key string, request willowwick.RequestID) ClaimStatus {
	until := clock.Now().Add(claimWait)
	for {
		status, isSettling := n.tryClaim(ctx, key, request)
		if !isSettling || !clock.Now().Before(until) || ctx.Err() != nil {
			return status
		}
		clock.Sleep(ctx, claimRetryInterval)
	}
}

// tryClaim is one attempt of Claim; isSettling says that a replica has yet to adopt the roster or to import claims.
func (n *Node) tryClaim(ctx context.Context, key string, request willowwick.RequestID) (status ClaimStatus, isSettling bool) {
	roster := n.Registry.Roster()
	pair := ReplicaPair(roster, key)
	if len(pair) == 0 || !n.canGrantClaims(clock.Now()) {
		return ClaimUnavailable, false
	}
	args := PutArgs{
		Epoch: roster.Epoch, Strict: true,
		Entry: RegistryEntry{Key: key, Value: string(request), Deadline: clock.TimeOfDay().Add(ClaimWindow)},
	}
	// The second is asked also if the first can't say: it may know of an earlier claim. If the first refuses the key it is
	// not, so that of two requests at the same time one gets the key.
	for _, replica := range pair {
		if status > ClaimUnavailable {
			break
		}
		reply, err := n.putAt(ctx, replica, args)
		status = max(status, claimStatusOf(reply.Status, err))
		isSettling = isSettling || err == nil && (reply.Status == PutSyncing || reply.Status == PutWrongEpoch)
	}
	if status != ClaimGranted {
		n.dropAt(ctx, pair, DropArgs{Key: key, Value: string(request)})
	}
	return status, isSettling && status == ClaimUnavailable
}

func claimStatusOf(put PutStatus, err error) ClaimStatus {
	switch {
	case err != nil:
		return ClaimUnavailable
	case put == PutGranted:
		return ClaimGranted
	case put == PutHeld:
		return ClaimHeld
	case put == PutUnknown:
		return ClaimUnknown
	default:
		return ClaimUnavailable
	}
}

// ReleaseClaim releases a key once it is certain that nothing was sent.
func (n *Node) ReleaseClaim(ctx context.Context, key string, request willowwick.RequestID) {
	n.dropAt(ctx, ReplicaPair(n.Registry.Roster(), key), DropArgs{Key: key, Value: string(request)})
}

func (n *Node) putAt(ctx context.Context, replica config.Member, args PutArgs) (PutReply, error) {
	if replica.Boot == n.Self.Boot {
		var reply PutReply
		err := (&peerService{node: n}).Put(args, &reply)
		return reply, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return Ask[PutReply](callCtx, n.Transport, replica.Peer, rpcName+".Put", args)
}

func (n *Node) dropAt(ctx context.Context, replicas []config.Member, args DropArgs) {
	for _, replica := range replicas {
		if replica.Boot == n.Self.Boot {
			n.Registry.Drop(args)
			continue
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		_ = n.Transport.Call(callCtx, replica.Peer, rpcName+".Drop", args, &Nothing{})
		cancel()
	}
}

// Pin pins a session to the version, or returns the version to which it is pinned already.
//
// It asks both replicas and uses the first reply; replace overwrites a pinned version that may no longer be used.
func (n *Node) Pin(ctx context.Context, key string, version willowwick.VersionID, lasts time.Time, replace bool) willowwick.VersionID {
	pinned := string(version)
	answered := false
	for _, replica := range ReplicaPair(n.Registry.Roster(), key) {
		args := PutArgs{
			Replace: replace || answered,
			Entry:   RegistryEntry{Key: key, Value: pinned, Deadline: lasts},
		}
		reply, err := n.putAt(ctx, replica, args)
		if err == nil && !answered && reply.Value != "" {
			pinned, answered = reply.Value, true
		}
	}
	return willowwick.VersionID(pinned)
}
