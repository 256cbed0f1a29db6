package fleet

import (
	"context"
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/quarantine"
)

const (
	// crashFanout is how many boxes hear of a crash from each box that has just learnt of it: all of a small fleet. In a
	// large one each passes it on; the few that are left out hear of it with the next gossip exchange.
	crashFanout = 8
	// minCrashRound is the minimum time between two rounds of a box, which bounds its calls however many endpoints crash.
	minCrashRound = 50 * time.Millisecond
)

type (
	// CrashArgs are the crashes of endpoints, and what else is known of the requests that they ran, that the called
	// box has not acknowledged.
	CrashArgs struct {
		Peer string // the caller's own address
		Harm quarantine.Call
	}

	// CrashReply is what the caller has not acknowledged of the replying box.
	CrashReply struct {
		Boot willowwick.BootID
		Harm quarantine.Updates
	}
)

// RecordCrash records that an endpoint crashed while it ran the request for this box, tells the other boxes at once, and
// reports whether the crash was not known before under any request. Callers try again on another box within a second:
// until that one has heard of the crash, it may send the request to one more endpoint.
func (n *Node) RecordCrash(request willowwick.PoisonRequest, crash willowwick.EndpointCrash) (isFirst bool) {
	slog.Info("endpoint ended under a request", "box", n.Self.Box, "endpoint", crash.Endpoint, "fingerprint", request.Request.String())
	isFirst = n.Quarantine.RecordCrash(request, crash)
	n.requestCrashRound()
	return isFirst
}

// noteCrashesLearnt passes on what another box told of crashes that were not known here.
func (n *Node) noteCrashesLearnt(from string, told int) {
	slog.Info("ends of endpoints under requests learnt", "box", n.Self.Box, "from", from, "told", told)
	n.requestCrashRound()
}

// requestCrashRound makes runCrashRounds tell other boxes of crashes.
func (n *Node) requestCrashRound() {
	select {
	case n.crashesLearnt <- struct{}{}:
	default: // already requested
	}
}

// runCrashRounds tells other boxes of crashes as soon as this box learns of them, until the context ends. A box that does
// not answer delays no other one.
func (n *Node) runCrashRounds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.crashesLearnt:
		}
		for _, box := range n.pickCrashPeers() {
			n.workers.Go(func() { n.tellCrashes(ctx, box) })
		}
		clock.Sleep(ctx, minCrashRound)
	}
}

// pickCrashPeers picks crashFanout other live boxes at random.
func (n *Node) pickCrashPeers() []LiveBox {
	var others []LiveBox
	for _, box := range n.LiveBoxes(clock.Now()) {
		if box.Boot != n.Self.Boot && box.Peer != "" {
			others = append(others, box)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), crashFanout)]
}

// tellCrashes exchanges what is known of crashes with another box. What a failed call leaves out goes with the next
// gossip exchange.
func (n *Node) tellCrashes(ctx context.Context, with LiveBox) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := CrashArgs{Peer: n.Self.Peer, Harm: n.quarantinePeers.NewCall(with.Peer, clock.Now())}
	var reply CrashReply
	if err := n.Transport.Call(callCtx, with.Peer, rpcName+".Crashes", args, &reply); err != nil {
		slog.Info("failed to tell peer of ends of endpoints", "box", n.Self.Box, "peer", with.Peer, "error", err)
		return
	}
	n.mergeCrashAnswer(args.Harm, reply.Harm, with.Peer, reply.Boot)
}

// Crashes serves a call of a box that has just learnt of crashes.
func (p *peerService) Crashes(args CrashArgs, reply *CrashReply) error {
	reply.Boot, reply.Harm = p.node.Self.Boot, p.node.answerCrashes(args.Harm, args.Peer)
	return nil
}

// answerCrashes merges what a calling box tells of crashes and returns what it does not know.
func (n *Node) answerCrashes(call quarantine.Call, from string) quarantine.Updates {
	answer, isNew := n.quarantinePeers.Answer(call, from, clock.Now())
	if isNew {
		n.noteCrashesLearnt(from, len(call.News.Ends))
	}
	return answer
}

// mergeCrashAnswer merges the answer of another box, with its incarnation, to a call about crashes.
func (n *Node) mergeCrashAnswer(call quarantine.Call, answer quarantine.Updates, from string, boot willowwick.BootID) {
	if n.quarantinePeers.HandleAnswer(call, answer, from, boot, clock.Now()) {
		n.noteCrashesLearnt(from, len(answer.Ends))
	}
}
