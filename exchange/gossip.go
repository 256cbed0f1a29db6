package exchange

import (
	"context"
	"time"

	"github.com/willowwick/willowwick/clock"
)

const (
	// gossipInterval is how often digests are exchanged: evidence on a bad release reaches all boxes within two
	// seconds.
	gossipInterval = 500 * time.Millisecond
	// minGossipInterval is the minimum time between two rounds, also for urgent updates.
	minGossipInterval = 50 * time.Millisecond
	// gossipDrainShare bounds the interval by the time to drain an endpoint: less than the difference of storeDataShare
	// and listReadShare.
	gossipDrainShare = 0.25
	// gossipTimeout is the timeout of a call; a peer in another hall answers in some milliseconds, but a box with a
	// fifth of a core takes longer while all boxes of its hall start. A call that times out costs a new connection.
	gossipTimeout = 1200 * time.Millisecond
	// hubSearchTime is how long a box that has just started searches for the hub of its hall, and hubSearchInterval how
	// often.
	hubSearchTime     = 1500 * time.Millisecond
	hubSearchInterval = 100 * time.Millisecond
	// rpcServiceName and rpcSwapMethod name the RPC on the wire.
	rpcServiceName = "Exchange"
	rpcSwapMethod  = rpcServiceName + ".Swap"
)

// run exchanges digests until the context is done; a box that doesn't answer delays no other one.
func (p *peers) run(ctx context.Context) {
	isUrgent := false
	for ctx.Err() == nil {
		now := clock.Now()
		for _, address := range p.exchangeTargets(now) {
			switch {
			case p.beginExchange(address, now):
				go p.exchangeWith(ctx, address)
			case isUrgent:
				p.repeatExchange(address)
			}
		}
		p.forgetSilentPeers(now)
		clock.Sleep(ctx, minGossipInterval)
		isUrgent = p.awaitNextRound(ctx, now.Add(p.roundPause(now)))
	}
}

// awaitNextRound waits until the time of the next round or an urgent update, and reports whether there is one.
func (p *peers) awaitNextRound(ctx context.Context, at time.Time) (isUrgent bool) {
	timer := time.NewTimer(clock.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-p.roundRequested:
		return true
	case <-timer.C:
		return false
	}
}

// requestRound starts the next round immediately, subject to minGossipInterval.
func (p *peers) requestRound() {
	select {
	case p.roundRequested <- struct{}{}:
	default: // already requested
	}
}

// roundPause returns the time until the next round: short on a box that has just started and searches for its hub.
func (p *peers) roundPause(now time.Time) time.Duration {
	if _, hasHub := p.hub(now); !hasHub && p.isSearchingForHub(now) {
		return hubSearchInterval
	}
	return p.router.gossipPeriod()
}

// isSearchingForHub reports whether the box has just started and may not have found the hub of its hall yet.
func (p *peers) isSearchingForHub(now time.Time) bool {
	return now.Sub(p.startedAt) < hubSearchTime
}

// gossipPeriod returns an interval short enough for a reader's data to reach its hall well before the other boxes stop
// relying on it.
func (x *Router) gossipPeriod() time.Duration {
	return min(gossipInterval, scale(x.settings.Drain, gossipDrainShare))
}

// beginExchange marks an exchange with a box as in progress, and returns false if the previous one is not over or the
// box is not known.
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

// repeatExchange makes the exchange under way with a box be followed by another one: what is urgent may have come after
// its call was made.
func (p *peers) repeatExchange(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[address]; known != nil {
		known.mustRepeat = known.isExchanging
	}
}

// endExchange ends the exchange with a box, unless it must be repeated.
func (p *peers) endExchange(address string) (mustRepeat bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil {
		return false
	}
	known.isExchanging = known.mustRepeat && known.failures == 0
	known.mustRepeat = false
	return known.isExchanging
}

// exchangeWith exchanges digests with a box until nothing urgent is left.
func (p *peers) exchangeWith(ctx context.Context, address string) {
	p.exchangeOnce(ctx, address)
	for p.endExchange(address) {
		p.exchangeOnce(ctx, address)
	}
}

// exchangeOnce sends this box's digest to another box and applies its reply.
func (p *peers) exchangeOnce(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	call := p.swapCallFor(address, clock.Now())
	var reply SwapReply
	sent, sentAt := clock.Now(), clock.TimeOfDay()
	err := p.transport.Call(ctx, address, rpcSwapMethod, &call, &reply)
	p.router.noteTrip(sent, err == nil)
	if err != nil {
		p.noteCallFailure(address, sentAt, err)
		return
	}
	p.applyReply(&call, reply, sent, clock.Now())
}

// swapCallFor returns the call to the box at an address.
func (p *peers) swapCallFor(address string, now time.Time) SwapCall {
	call := SwapCall{
		Digest: p.digestFor(p.hallOf(address), now), KnownSum: p.rosterSum(now), Known: p.rowsLackedBy(address, now),
		TakesChanges: true, WantsList: p.router.sync.wantsWholeList(address, now),
	}
	if version, takesPacked, hasDigest := p.configVersionOf(address); hasDigest {
		call.Table, call.Packed = p.tableForPeer(version, takesPacked)
	}
	call.Harm = p.quarantine.NewCall(address, now)
	call.Limits = p.limits.NewCall(address, now)
	call.Usage = p.usageMessage(address, now)
	return call
}

// applyReply applies a box's reply to a call sent at the given time.
func (p *peers) applyReply(call *SwapCall, reply SwapReply, sent, now time.Time) {
	reply.Digest.addTransitTime(now.Sub(sent))
	p.receiveDigest(reply.Digest, now)
	p.noteKnownRows(reply.Known, sent)
	p.noteLacked(reply.Digest.Address, reply.Known, now)
	p.renewLastSeen(reply.HallAges, sent)
	p.applyPeerTable(reply.Table, reply.Packed, &reply.Digest)
	p.router.sync.noteConfigFromPeer(&reply.Digest, now)
	p.router.sync.applyPeerList(reply, now)
	p.receiveUsage(reply.Digest.Address, reply.Digest.Hall, reply.Usage)
	quarantineChanged := p.quarantine.HandleAnswer(call.Harm, reply.Harm, reply.Digest.Address, reply.Digest.Boot, now)
	if quarantineChanged {
		p.router.crashes.countDroppedAtCrash()
	}
	if p.limits.HandleAnswer(reply.Limits, reply.Digest.Address, sent) || quarantineChanged {
		p.requestRound()
	}
}

// Swap is the gossip exchange: it applies the caller's digest and replies with this box's own.
func (s *rpcServer) Swap(call *SwapCall, reply *SwapReply) error {
	now := clock.Now()
	p := s.peers
	p.receiveDigest(call.Digest, now)
	p.noteKnownRows(call.Known, now)
	p.applyPeerTable(call.Table, call.Packed, &call.Digest)
	p.receiveUsage(call.Digest.Address, call.Digest.Hall, call.Usage)
	reply.Digest = p.digestFor(call.Digest.Hall, now)
	reply.Usage = p.usageMessage(call.Digest.Address, now)
	reply.Table, reply.Packed = p.tableForPeer(call.Digest.TableVersion, call.Digest.TakesPacked)
	reply.Endpoints = p.router.sync.listForPeer(call)
	p.router.metrics.countListSent(reply.Endpoints)
	quarantineChanged := false
	if reply.Harm, quarantineChanged = p.quarantine.Answer(call.Harm, call.Digest.Address, now); quarantineChanged {
		p.router.crashes.countDroppedAtCrash()
	}
	var limitsChanged bool
	if reply.Limits, limitsChanged = p.limits.Answer(call.Limits, call.Digest.Address, now); quarantineChanged || limitsChanged {
		p.requestRound()
	}
	if call.KnownSum == p.rosterSum(now) {
		reply.HallAges = p.hallAgesFor(call.Digest.Hall, now)
	} else {
		reply.Known = p.rosterRows(now)
	}
	return nil
}
