package exchange

import (
	"context"
	"time"

	"github.com/willowwick/willowwick/clock"
)

const (
	// swapEvery is how often digests go round: evidence on a bad release is everywhere within two seconds.
	swapEvery = 500 * time.Millisecond
	// swapLeast is the least time between two rounds, also where there is news that cannot wait.
	swapLeast = 50 * time.Millisecond
	// swapShare bounds it by the time to leave an endpoint: less than the difference of reliedShare and endpointsShare.
	swapShare = 0.25
	// swapLimit is how long a peer may take; one in another hall answers in some milliseconds, but a box with a fifth of
	// a core takes longer when all of its hall have just started. A call that is given up costs a new connection.
	swapLimit = 1200 * time.Millisecond
	// lookFor is how long a box that has just started looks often for the hub of its hall, and lookEvery how often.
	lookFor   = 1500 * time.Millisecond
	lookEvery = 100 * time.Millisecond
	// rpcName and rpcSwap name the method on the wire.
	rpcName = "Exchange"
	rpcSwap = rpcName + ".Swap"
)

// run swaps digests until the context ends; a box that does not answer keeps none of the others waiting.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		for _, address := range p.targets(now) {
			if p.beginSwap(address, now) {
				go p.swap(ctx, address)
			}
		}
		p.forget(now)
		sleep(ctx, swapLeast)
		p.awaitRound(ctx, now.Add(p.pause(now)))
	}
}

// awaitRound waits for the next round of swaps, or for news that cannot wait for it.
func (p *peers) awaitRound(ctx context.Context, at time.Time) {
	timer := time.NewTimer(clock.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.urgent:
	case <-timer.C:
	}
}

// hurry begins the next round of swaps at once.
func (p *peers) hurry() {
	select {
	case p.urgent <- struct{}{}:
	default: // it begins at once anyway
	}
}

// pause is the time until the next round: short on a box that has just started and looks for the hub of its hall.
func (p *peers) pause(now time.Time) time.Duration {
	if _, hasHub := p.hub(now); !hasHub && p.isNew(now) {
		return lookEvery
	}
	return p.swapPeriod()
}

// isNew reports whether the box has just started and may not have found the hub of its hall yet.
func (p *peers) isNew(now time.Time) bool {
	return now.Sub(p.began) < lookFor
}

// swapPeriod is short enough that what a reader has read is with its hall well before the others stop relying on it.
func (p *peers) swapPeriod() time.Duration {
	return min(swapEvery, scale(p.router.settings.Drain, swapShare))
}

// beginSwap reports whether a swap with the box may begin: the one before must be over.
func (p *peers) beginSwap(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil || known.swapping {
		return false
	}
	known.swapping, known.triedAt = true, now
	return true
}

func (p *peers) endSwap(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[address]; known != nil {
		known.swapping = false
	}
}

// swap tells a box this one's digest and takes what comes back.
func (p *peers) swap(ctx context.Context, address string) {
	defer p.endSwap(address)
	ctx, cancel := context.WithTimeout(ctx, swapLimit)
	defer cancel()
	call := p.callTo(address, clock.Now())
	var reply SwapReply
	sent := clock.Now()
	if err := p.transport.Call(ctx, address, rpcSwap, &call, &reply); err != nil {
		p.failed(address, err)
		return
	}
	p.takeReply(&call, reply, sent, clock.Now())
}

// callTo is what this box tells another one.
func (p *peers) callTo(address string, now time.Time) SwapCall {
	call := SwapCall{
		Digest: p.digest(now), KnownSum: p.knownSum(now), TakesChanges: true, WantsList: p.router.sync.wantsList(address, now),
	}
	if version, takesPacked, heard := p.versionOf(address); heard {
		call.Table, call.Packed = p.tableFor(version, takesPacked)
	}
	call.Harm = p.harm.NewCall(address, now)
	call.Limits = p.limits.NewCall(address, now)
	return call
}

// takeReply takes what a box answered to a call sent at the given time.
func (p *peers) takeReply(call *SwapCall, reply SwapReply, sent, now time.Time) {
	reply.Digest.addAge(now.Sub(sent))
	p.heard(reply.Digest, now)
	p.listKnown(reply.Known, sent)
	p.renew(reply.HallAges, sent)
	p.takeTable(reply.Table, reply.Packed, &reply.Digest)
	p.router.sync.hearConfig(&reply.Digest, now)
	p.router.sync.takeFromPeer(reply, now)
	isNews := p.harm.HandleAnswer(call.Harm, reply.Harm, reply.Digest.Address, reply.Digest.Boot, now)
	if isNews {
		p.router.ends.countDropped()
	}
	if p.limits.HandleAnswer(reply.Limits, reply.Digest.Address, sent) || isNews {
		p.hurry()
	}
}

// Swap answers a box's digest with this box's own.
func (s *rpcServer) Swap(call *SwapCall, reply *SwapReply) error {
	now := clock.Now()
	p := s.peers
	p.heard(call.Digest, now)
	p.takeTable(call.Table, call.Packed, &call.Digest)
	reply.Digest = p.digest(now)
	reply.Table, reply.Packed = p.tableFor(call.Digest.TableVersion, call.Digest.TakesPacked)
	reply.Endpoints = p.router.sync.listFor(call)
	p.router.metrics.listTold(reply.Endpoints)
	isNews := false
	if reply.Harm, isNews = p.harm.Answer(call.Harm, call.Digest.Address, now); isNews {
		p.router.ends.countDropped()
	}
	var isLimitNews bool
	if reply.Limits, isLimitNews = p.limits.Answer(call.Limits, call.Digest.Address, now); isNews || isLimitNews {
		p.hurry()
	}
	if call.KnownSum == p.knownSum(now) {
		reply.HallAges = p.hallAges(now)
	} else {
		reply.Known = p.knownRows(now)
	}
	return nil
}
