package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Peers tracks the checksums of the other boxes, so that limits are sent only where they differ.
type Peers struct {
	ledger *Ledger

	mu   sync.Mutex
	sums map[string]uint64 // by address of the other box
}

// NewPeers returns the Peers of a box for one ledger.
func NewPeers(ledger *Ledger) *Peers {
	return &Peers{ledger: ledger, sums: map[string]uint64{}}
}

// NewCall returns what this box sends to another one.
func (p *Peers) NewCall(address string, now time.Time) Updates {
	p.mu.Lock()
	peerSum := p.sums[address]
	p.mu.Unlock()
	return p.ledger.Updates(peerSum, now)
}

// Answer merges the updates of a calling box and returns what it does not know; isNew reports whether any was new
// here.
func (p *Peers) Answer(call Updates, from string, now time.Time) (answer Updates, isNew bool) {
	isNew = p.HandleAnswer(call, from, now)
	return p.ledger.Updates(call.Sum, now), isNew
}

// HandleAnswer merges what another box sent at the given time, and reports whether any of it was new.
func (p *Peers) HandleAnswer(updates Updates, from string, sentAt time.Time) (isNew bool) {
	p.mu.Lock()
	p.sums[from] = updates.Sum
	p.mu.Unlock()
	return p.ledger.Merge(updates, "peer "+from, sentAt)
}

// Forget drops the state of a box that is gone.
func (p *Peers) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sums, address)
}

// callResult is the outcome of a call for permits.
type callResult struct {
	reply Reply
	err   error
}

// AskWithin waits for the reply to a call for permits, until the limit has passed or the context has ended. The call goes
// on nevertheless, since cancelling it would close a connection that other calls share; late gets its reply then.
func AskWithin(ctx context.Context, limit time.Duration, ask func() (Reply, error), late func(Reply)) (Reply, error) {
	results, left := make(chan callResult), make(chan struct{})
	defer close(left)
	go func() {
		reply, err := ask()
		select {
		case results <- callResult{reply, err}:
		case <-left:
			if err == nil {
				late(reply)
			}
		}
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-results:
		return result.reply, result.err
	case <-timer.C:
		return Reply{}, errors.New("no reply to the call for a permit in time")
	case <-ctx.Done():
		return Reply{}, errors.Wrap(ctx.Err(), "ask for a permit")
	}
}
