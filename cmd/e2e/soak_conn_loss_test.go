package e2e

import (
	"fmt"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// maxBurstLosses is how many losses of connections come in a row at the most.
	maxBurstLosses = 3
	// maxBurstPause is the most between two of a row: a read that failed is sent again meanwhile, or is not yet.
	maxBurstPause = 900 * time.Millisecond
	// maxSilenceBeforeReturn is the most by which connections fall silent before the end of an outage: the limit of a read, 600 ms, and
	// the pause after it, so that a box may notice before the end, after it, or not at all.
	maxSilenceBeforeReturn = 900 * time.Millisecond
)

// connSubset is a part of a link's connections that goes silent together.
type connSubset struct {
	name     string
	contains func(*linkConn) bool
}

// connSubsets are the parts that a soak draws from; its seeds go by their order. A box finds out soon that all its
// connections are lost, by calls that fail; a part shows whether it looks at each.
var connSubsets = []connSubset{
	{"all", func(*linkConn) bool { return true }},
	{"waiting", func(c *linkConn) bool { return c.isAwaitingReply.Load() }},
	{"even", func(c *linkConn) bool { return c.number%2 == 0 }},
	{"odd", func(c *linkConn) bool { return c.number%2 == 1 }},
}

func (a *faultPlan) drawConnSubset() connSubset { return connSubsets[a.random.IntN(len(connSubsets))] }

// addBurst adds an event up to maxBurstLosses times.
func (a *faultPlan) addBurst(at time.Duration, name string, run func()) {
	for range 1 + a.random.IntN(maxBurstLosses) {
		a.add(at, name, run)
		at += time.Duration(a.random.Int64N(int64(maxBurstPause)))
	}
}

// silenceBoxConns lets the open connections of a box to the store go silent for good.
func (a *faultPlan) silenceBoxConns(at time.Duration) {
	box, part := a.drawBox(), a.drawConnSubset()
	a.addBurst(at, "store link of "+box.name+" loses connections: "+part.name, func() {
		defer box.outages.begin()()
		box.storeLink.silence(part.contains)
	})
}

// silenceStoreConns lets the open connections of all boxes to the store go silent for good.
func (a *faultPlan) silenceStoreConns(at time.Duration) { a.silenceStoreSubset(at, a.drawConnSubset()) }

// silenceStoreSubset does so to a part of them.
func (a *faultPlan) silenceStoreSubset(at time.Duration, part connSubset) {
	a.addBurst(at, "store links lose connections: "+part.name, func() {
		defer a.storeOutages.begin()()
		a.silenceSubset(part)
	})
}

func (a *faultPlan) silenceSubset(part connSubset) {
	for _, box := range a.site.boxes {
		box.storeLink.silence(part.contains)
	}
}

// silenceEndpointConns lets the open connections to an endpoint go silent for good.
func (a *faultPlan) silenceEndpointConns(at time.Duration) {
	runner, part := a.drawRunner(), a.drawConnSubset()
	a.addBurst(at, "link of "+runner.id+" loses connections: "+part.name, func() {
		defer a.endpointFaults.begin()()
		runner.link.silence(part.contains)
	})
}

// loseStoreCalls is an outage in which the store gets no call: each is lost with its connection.
func (a *faultPlan) loseStoreCalls(at time.Duration) {
	duration := a.drawDuration()
	a.add(at, fmt.Sprint("store unheard ", duration), func() {
		defer a.storeOutages.begin()()
		a.dropStoreCalls(duration)
	})
}

// dropStoreCalls lets all links to the store lose what is sent for a while.
func (a *faultPlan) dropStoreCalls(duration time.Duration) {
	a.setStoreLinks(linkLossy)
	time.Sleep(duration)
	a.setStoreLinks(linkClear)
}

func (a *faultPlan) setStoreLinks(state linkState) {
	for _, box := range a.site.boxes {
		box.storeLink.set(state)
	}
}

// returnStoreSilent is an outage in which the store refuses calls; shortly before its end, connections go silent for good.
func (a *faultPlan) returnStoreSilent(at time.Duration) {
	duration, part, isLossy := a.drawDuration(), a.drawConnSubset(), a.random.IntN(2) == 0
	blockedState := time.Duration(a.random.Int64N(int64(maxSilenceBeforeReturn)))
	a.add(at, fmt.Sprintf("store away %v, deaf for the last %v (lossy: %v) or lost: %s", duration, blockedState, isLossy, part.name), func() {
		defer a.storeOutages.begin()()
		a.site.store.SetFaults(standin.StoreFaults{Down: true})
		defer a.site.store.SetFaults(standin.StoreFaults{})
		time.Sleep(duration)
		if isLossy {
			a.dropStoreCalls(blockedState)
			return
		}
		a.silenceSubset(part)
		time.Sleep(blockedState)
	})
}

// addFinalConnLoss adds a loss of connections after all other faults: what it does to a box is not mended by a later failure.
func (a *faultPlan) addFinalConnLoss(at time.Duration) {
	switch a.random.IntN(3) {
	case 0:
		a.silenceStoreSubset(at, connSubsets[1+a.random.IntN(len(connSubsets)-1)]) // not all: calls that fail would show it
	case 1:
		a.loseStoreCalls(at)
	default:
		a.returnStoreSilent(at)
	}
}
