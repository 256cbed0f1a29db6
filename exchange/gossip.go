package exchange

import (
	"context"
	"time"

	"github.com/willowwick/willowwick/clock"
)

const (
	// swapEvery is how often digests go round: evidence on a bad release is everywhere within two seconds.
	gossipInterval = 500 * time.Millisecond
	// swapLeast is the least time between two rounds, also where there is news that cannot wait.
	minGossipInterval = 50 * time.Millisecond
	// swapShare bounds it by the time to leave an endpoint: less than the difference of reliedShare and endpointsShare.
	gossipDrainShare = 0.25
	// swapLimit is how long a peer may take; one in another hall answers in some milliseconds, but a box with a fifth of
	// a core takes longer when all of its hall have just started. A call that is given up costs a new connection.
	gossipTimeout = 1200 * time.Millisecond
	// lookFor is how long a box that has just started looks often for the hub of its hall, and lookEvery how often.
	hubSearchTime     = 1500 * time.Millisecond
	hubSearchInterval = 100 * time.Millisecond
	// rpcName and rpcSwap name the method on the wire.
	rpcServiceName = "Exchange"
	rpcSwapMethod  = rpcServiceName + ".Swap"
)

// run swaps digests until the context ends; a box that does not answer keeps none of the others waiting.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		for _, address := range p.exchangeTargets(now) {
			if p.beginExchange(address, now) {
				go p.exchangeWith(ctx, address)
			}
		}
		p.forgetSilentPeers(now)
		sleep(ctx, minGossipInterval)
		p.awaitNextRound(ctx, now.Add(p.roundPause(now)))
	}
}

// awaitRound waits for the next round of swaps, or for news that cannot wait for it.
func (p *peers) awaitNextRound(ctx context.Context, at time.Time) {
	timer := time.NewTimer(clock.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.roundRequested:
	case <-timer.C:
	}
}

// hurry begins the next round of swaps at once.
func (p *peers) requestRound() {
	select {
	case p.roundRequested <- struct{}{}:
	default: // it begins at once anyway
	}
}

// pause is the time until the next round: short on a box that has just started and looks for the hub of its hall.
func (p *peers) roundPause(now time.Time) time.Duration {
	if _, hasHub := p.hub(now); !hasHub && p.isSearchingForHub(now) {
		return hubSearchInterval
	}
	return p.gossipPeriod()
}

// isNew reports whether the box has just started and may not have found the hub of its hall yet.
func (p *peers) isSearchingForHub(now time.Time) bool {
	return now.Sub(p.startedAt) < hubSearchTime
}

// swapPeriod is short enough that what a reader has read is with its hall well before the others stop relying on it.
func (p *peers) gossipPeriod() time.Duration {
	return min(gossipInterval, scale(p.router.settings.Drain, gossipDrainShare))
}

// beginSwap reports whether a swap with the box may begin: the one before must be over.
func (p *peers) beginExchange(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil || known.isExchanging {
		return false
	}
	known.isExchanging, known.lastCallAt = true, now
	return true
}

func (p *peers) endExchange(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[address]; known != nil {
		known.isExchanging = false
	}
}

// swap tells a box this one's digest and takes what comes back.
func (p *peers) exchangeWith(ctx context.Context, address string) {
	defer p.endExchange(address)
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	call := p.swapCallFor(address, clock.Now())
	var reply SwapReply
	sent := clock.Now()
	if err := p.transport.Call(ctx, address, rpcSwapMethod, &call, &reply); err != nil {
		p.noteCallFailure(address, err)
		return
	}
	p.applyReply(&call, reply, sent, clock.Now())
}

// callTo is what this box tells another one.
func (p *peers) swapCallFor(address string, now time.Time) SwapCall {
	call := SwapCall{
		Digest: p.ownDigest(now), KnownSum: p.rosterSum(now), TakesChanges: true, WantsList: p.router.sync.wantsWholeList(address, now),
	}
	if version, takesPacked, heard := p.configVersionOf(address); heard {
		call.Table, call.Packed = p.tableForPeer(version, takesPacked)
	}
	call.Harm = p.quarantine.CallTo(address, now)
	call.Limits = p.limits.CallTo(address, now)
	return call
}

// takeReply takes what a box answered to a call sent at the given time.
func (p *peers) applyReply(call *SwapCall, reply SwapReply, sent, now time.Time) {
	reply.Digest.addTransitTime(now.Sub(sent))
	p.receiveDigest(reply.Digest, now)
	p.noteKnownRows(reply.Known, sent)
	p.renewLastSeen(reply.HallAges, sent)
	p.applyPeerTable(reply.Table, reply.Packed, &reply.Digest)
	p.router.sync.noteConfigFromPeer(&reply.Digest, now)
	p.router.sync.applyPeerList(reply, now)
	isNews := p.quarantine.Took(call.Harm, reply.Harm, reply.Digest.Address, reply.Digest.Boot, now)
	if isNews {
		p.router.ends.countDropped()
	}
	if p.limits.Took(reply.Limits, reply.Digest.Address, sent) || isNews {
		p.requestRound()
	}
}

// Swap answers a box's digest with this box's own.
func (s *rpcServer) Swap(call *SwapCall, reply *SwapReply) error {
	now := clock.Now()
	p := s.peers
	p.receiveDigest(call.Digest, now)
	p.applyPeerTable(call.Table, call.Packed, &call.Digest)
	reply.Digest = p.ownDigest(now)
	reply.Table, reply.Packed = p.tableForPeer(call.Digest.TableVersion, call.Digest.TakesPacked)
	reply.Endpoints = p.router.sync.listForPeer(call)
	p.router.metrics.countListSent(reply.Endpoints)
	isNews := false
	if reply.Harm, isNews = p.quarantine.Answer(call.Harm, call.Digest.Address, now); isNews {
		p.router.ends.countDropped()
	}
	var isLimitNews bool
	if reply.Limits, isLimitNews = p.limits.Answer(call.Limits, call.Digest.Address, now); isNews || isLimitNews {
		p.requestRound()
	}
	if call.KnownSum == p.rosterSum(now) {
		reply.HallAges = p.hallAges(now)
	} else {
		reply.Known = p.rosterRows(now)
	}
	return nil
}
