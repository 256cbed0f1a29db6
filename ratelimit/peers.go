package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Peers keeps what other boxes last knew of limits, so that they are told only where they know others.
type Peers struct {
	ledger *Ledger

	mu   sync.Mutex
	sums map[string]uint64 // by the other box's address
}

// NewPeers returns what a box tells others of a ledger.
func NewPeers(ledger *Ledger) *Peers {
	return &Peers{ledger: ledger, sums: map[string]uint64{}}
}

// NewCall returns what this box tells another one.
func (p *Peers) NewCall(address string, now time.Time) Updates {
	p.mu.Lock()
	peerSum := p.sums[address]
	p.mu.Unlock()
	return p.ledger.UpdatesFor(peerSum, now)
}

// Answer takes what a box tells that calls, and returns what it does not know; isNew says whether this box did not know it.
func (p *Peers) Answer(call Updates, from string, now time.Time) (answer Updates, isNew bool) {
	isNew = p.HandleAnswer(call, from, now)
	return p.ledger.UpdatesFor(call.Sum, now), isNew
}

// HandleAnswer takes what a box told at a time, and reports whether it was updates.
func (p *Peers) HandleAnswer(updates Updates, from string, sentAt time.Time) (isNew bool) {
	p.mu.Lock()
	p.sums[from] = updates.Sum
	p.mu.Unlock()
	return p.ledger.Merge(updates, "peer "+from, sentAt)
}

// Forget drops what is kept of a box that is gone.
func (p *Peers) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sums, address)
}

// callResult is what came of a question.
type callResult struct {
	reply Reply
	err   error
}

// AskWithin asks another box for permits, and waits for its answer no longer than the limit. The question goes on until its
// context ends, which has the longer limit: giving a call up costs its connection, over which boxes say other things, too.
func AskWithin(
	ctx context.Context, limit, longest time.Duration, ask func(ctx context.Context) (Reply, error),
) (Reply, error) {
	results := make(chan callResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longest)
		defer cancel()
		reply, err := ask(ctx)
		results <- callResult{reply, err}
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-results:
		return result.reply, result.err
	case <-timer.C:
		return Reply{}, errors.New("the box that was asked for a permit is slow")
	case <-ctx.Done():
		return Reply{}, errors.Wrap(ctx.Err(), "ask for a permit")
	}
}
