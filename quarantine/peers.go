package quarantine

import (
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// Peers tracks the positions of the other boxes, so that each update goes to each of them once.
	Peers struct {
		ledger *Ledger
		boot   willowwick.BootID

		mu     sync.Mutex
		states map[string]peerState // by address of the other box
	}

	// Call is what a box sends with a call to another one.
	Call struct {
		News  Updates
		Known Position // the caller's position in the history of the other box
	}

	// peerState holds the positions of two boxes in each other's histories.
	peerState struct {
		received     Position          // this box's position in the history of the other one
		acknowledged Position          // the other box's position in the history of this one
		boot         willowwick.BootID // the incarnation of the other box that acknowledged
	}
)

// NewPeers returns the Peers of a box for one ledger; boot is the incarnation of this box.
func NewPeers(ledger *Ledger, boot willowwick.BootID) *Peers {
	return &Peers{ledger: ledger, boot: boot, states: map[string]peerState{}}
}

// NewCall returns what this box sends to another one.
func (p *Peers) NewCall(address string, now time.Time) Call {
	p.mu.Lock()
	known := p.states[address]
	p.mu.Unlock()
	return Call{News: p.ledger.UpdatesSince(known.acknowledged, p.boot, address, now), Known: known.received}
}

// Answer merges the updates of a calling box and returns what it does not know; isNew reports whether any update was
// new here.
func (p *Peers) Answer(call Call, from string, now time.Time) (answer Updates, isNew bool) {
	isNew = p.ledger.Merge(call.News, from, now)
	return p.ledger.UpdatesSince(call.Known, p.boot, from, now), isNew
}

// HandleAnswer merges the answer of another box, with its incarnation, to a call, and reports whether any update was
// new. A box that restarted meanwhile has lost what it received before.
func (p *Peers) HandleAnswer(call Call, answer Updates, address string, boot willowwick.BootID, now time.Time) (isNew bool) {
	p.mu.Lock()
	acknowledged := call.News.Position
	if p.states[address].boot != boot {
		acknowledged = Position{}
	}
	p.states[address] = peerState{received: answer.Position, acknowledged: acknowledged, boot: boot}
	p.mu.Unlock()
	return p.ledger.Merge(answer, address, now)
}

// Forget drops the state of a box that is gone.
func (p *Peers) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.states, address)
}
