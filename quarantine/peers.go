package quarantine

import (
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// Peers keeps what this box and others have told each other, so that each piece of updates goes once to each of them.
	Peers struct {
		ledger *Ledger
		boot   willowwick.BootID

		mu     sync.Mutex
		states map[string]peerState // by the other box's address
	}

	// Call is what a box tells another one that it calls.
	Call struct {
		News  Updates
		Known Position // up to where the caller knows what the other one has learnt
	}

	// peerState is how far two boxes know each other's updates.
	peerState struct {
		received     Position          // up to where this box knows what the other one has learnt
		acknowledged Position          // up to where the other one knows what this box has learnt
		boot         willowwick.BootID // the life of the other one that knows it
	}
)

// NewPeers returns what a box in one of its lives tells others of a ledger.
func NewPeers(ledger *Ledger, boot willowwick.BootID) *Peers {
	return &Peers{ledger: ledger, boot: boot, states: map[string]peerState{}}
}

// NewCall returns what this box tells another one.
func (p *Peers) NewCall(address string, now time.Time) Call {
	p.mu.Lock()
	known := p.states[address]
	p.mu.Unlock()
	return Call{News: p.ledger.UpdatesSince(known.acknowledged, p.boot, address, now), Known: known.received}
}

// Answer takes what a box tells that calls, and returns what it does not know; isNew says whether this box did not know it.
func (p *Peers) Answer(call Call, from string, now time.Time) (answer Updates, isNew bool) {
	isNew = p.ledger.Merge(call.News, from, now)
	return p.ledger.UpdatesSince(call.Known, p.boot, from, now), isNew
}

// HandleAnswer takes the answer of a box, in one of its lives, to a call, and reports whether it was updates. A box that was started anew
// meanwhile knows nothing of what was told before.
func (p *Peers) HandleAnswer(call Call, answer Updates, address string, boot willowwick.BootID, now time.Time) (isNew bool) {
	p.mu.Lock()
	own := call.News.Position
	if p.states[address].boot != boot {
		own = Position{}
	}
	p.states[address] = peerState{received: answer.Position, acknowledged: own, boot: boot}
	p.mu.Unlock()
	return p.ledger.Merge(answer, address, now)
}

// Forget drops what is kept of a box that is gone.
func (p *Peers) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.states, address)
}
