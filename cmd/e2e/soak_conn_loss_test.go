package e2e

import (
	"fmt"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// maxBurstLosses is the largest number of connection losses in a burst.
	maxBurstLosses = 3
	// maxBurstPause is the longest pause between two losses of a burst: a failed read may or may not be retried meanwhile.
	maxBurstPause = 900 * time.Millisecond
	// maxSilenceBeforeReturn is the longest time by which connections go silent before the end of an outage: the timeout
	// of a read, 600 ms, plus the pause after it, so that a box may notice before the end, after it, or not at all.
	maxSilenceBeforeReturn = 900 * time.Millisecond
)

// connSubset is a subset of a link's connections that are silenced together.
type connSubset struct {
	name     string
	contains func(*linkConn) bool
}

// connSubsets are the subsets that a soak draws from; seeds depend on their order. A box soon notices the loss of all its
// connections by failed calls; the loss of a subset shows whether it checks each connection.
var connSubsets = []connSubset{
	{"all", func(*linkConn) bool { return true }},
	{"waiting", func(c *linkConn) bool { return c.isAwaitingReply.Load() }},
	{"even", func(c *linkConn) bool { return c.number%2 == 0 }},
	{"odd", func(c *linkConn) bool { return c.number%2 == 1 }},
}

func (p *faultPlan) drawConnSubset() connSubset { return connSubsets[p.random.IntN(len(connSubsets))] }

// addBurst adds an event up to maxBurstLosses times.
func (p *faultPlan) addBurst(at time.Duration, name string, run func()) {
	for range 1 + p.random.IntN(maxBurstLosses) {
		p.add(at, name, run)
		at += time.Duration(p.random.Int64N(int64(maxBurstPause)))
	}
}

// silenceBoxConns permanently silences open connections of one box to the store.
func (p *faultPlan) silenceBoxConns(at time.Duration) {
	box, subset := p.drawBox(), p.drawConnSubset()
	p.addBurst(at, "store link of "+box.name+" loses connections: "+subset.name, func() {
		defer box.outages.begin()()
		box.storeLink.silence(subset.contains)
	})
}

// silenceStoreConns permanently silences open connections of all boxes to the store.
func (p *faultPlan) silenceStoreConns(at time.Duration) { p.silenceStoreSubset(at, p.drawConnSubset()) }

// silenceStoreSubset permanently silences a given subset of the open connections of all boxes to the store.
func (p *faultPlan) silenceStoreSubset(at time.Duration, subset connSubset) {
	p.addBurst(at, "store links lose connections: "+subset.name, func() {
		defer p.storeOutages.begin()()
		p.silenceSubset(subset)
	})
}

func (p *faultPlan) silenceSubset(subset connSubset) {
	for _, box := range p.site.boxes {
		box.storeLink.silence(subset.contains)
	}
}

// silenceEndpointConns permanently silences open connections to an endpoint.
func (p *faultPlan) silenceEndpointConns(at time.Duration) {
	runner, subset := p.drawRunner(), p.drawConnSubset()
	p.addBurst(at, "link of "+runner.id+" loses connections: "+subset.name, func() {
		defer p.endpointFaults.begin()()
		runner.link.silence(subset.contains)
	})
}

// loseStoreCalls adds an outage in which no call reaches the store: each is lost with its connection.
func (p *faultPlan) loseStoreCalls(at time.Duration) {
	duration := p.drawDuration()
	p.add(at, fmt.Sprint("store unreachable, calls lost ", duration), func() {
		defer p.storeOutages.begin()()
		p.dropStoreCalls(duration)
	})
}

// dropStoreCalls makes all links to the store lossy for the given duration.
func (p *faultPlan) dropStoreCalls(duration time.Duration) {
	p.setStoreLinks(linkLossy)
	time.Sleep(duration)
	p.setStoreLinks(linkClear)
}

func (p *faultPlan) setStoreLinks(state linkState) {
	for _, box := range p.site.boxes {
		box.storeLink.set(state)
	}
}

// returnStoreSilent adds an outage in which the store refuses calls and, shortly before its end, connections are
// permanently silenced.
func (p *faultPlan) returnStoreSilent(at time.Duration) {
	duration, subset, isLossy := p.drawDuration(), p.drawConnSubset(), p.random.IntN(2) == 0
	silence := time.Duration(p.random.Int64N(int64(maxSilenceBeforeReturn)))
	p.add(at, fmt.Sprintf("store unavailable %v, connections silent for the last %v (lossy: %v) or lost: %s", duration, silence, isLossy, subset.name), func() {
		defer p.storeOutages.begin()()
		p.site.store.SetFaults(standin.StoreFaults{Down: true})
		defer p.site.store.SetFaults(standin.StoreFaults{})
		time.Sleep(duration)
		if isLossy {
			p.dropStoreCalls(silence)
			return
		}
		p.silenceSubset(subset)
		time.Sleep(silence)
	})
}

// addFinalConnLoss adds a loss of connections after all other faults, so that no later failure hides its effect on a box.
func (p *faultPlan) addFinalConnLoss(at time.Duration) {
	switch p.random.IntN(3) {
	case 0:
		p.silenceStoreSubset(at, connSubsets[1+p.random.IntN(len(connSubsets)-1)]) // not all: failing calls would reveal the loss
	case 1:
		p.loseStoreCalls(at)
	default:
		p.returnStoreSilent(at)
	}
}
