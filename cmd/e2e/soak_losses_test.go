package e2e

import (
	"fmt"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// mostLosses is how many losses of connections come in a row at the most.
	mostLosses = 3
	// lossPause is the most between two of a row: a read that failed is sent again meanwhile, or is not yet.
	lossPause = 900 * time.Millisecond
	// deafEnd is the most by which connections fall silent before the end of an outage: the limit of a read, 600 ms, and
	// the pause after it, so that a box may notice before the end, after it, or not at all.
	deafEnd = 900 * time.Millisecond
)

// lossOf is a part of a link's connections that goes silent together.
type lossOf struct {
	name string
	has  func(*linkConn) bool
}

// lossParts are the parts that a soak draws from; its seeds go by their order. A box finds out soon that all its
// connections are lost, by calls that fail; a part shows whether it looks at each.
var lossParts = []lossOf{
	{"all", func(*linkConn) bool { return true }},
	{"waiting", func(c *linkConn) bool { return c.isAwaitingReply.Load() }},
	{"even", func(c *linkConn) bool { return c.number%2 == 0 }},
	{"odd", func(c *linkConn) bool { return c.number%2 == 1 }},
}

func (a *faultPlan) lossPart() lossOf { return lossParts[a.random.IntN(len(lossParts))] }

// inRow adds an event up to mostLosses times.
func (a *faultPlan) inRow(at time.Duration, name string, run func()) {
	for range 1 + a.random.IntN(mostLosses) {
		a.add(at, name, run)
		at += time.Duration(a.random.Int64N(int64(lossPause)))
	}
}

// loseBoxConns lets the open connections of a box to the store go silent for good.
func (a *faultPlan) loseBoxConns(at time.Duration) {
	box, part := a.box(), a.lossPart()
	a.inRow(at, "store link of "+box.name+" loses connections: "+part.name, func() {
		defer box.outages.begin()()
		box.storeLink.silence(part.has)
	})
}

// loseStoreConns lets the open connections of all boxes to the store go silent for good.
func (a *faultPlan) loseStoreConns(at time.Duration) { a.loseStorePart(at, a.lossPart()) }

// loseStorePart does so to a part of them.
func (a *faultPlan) loseStorePart(at time.Duration, part lossOf) {
	a.inRow(at, "store links lose connections: "+part.name, func() {
		defer a.storeDown.begin()()
		a.loseAll(part)
	})
}

func (a *faultPlan) loseAll(part lossOf) {
	for _, box := range a.site.boxes {
		box.storeLink.silence(part.has)
	}
}

// loseEndpointConns lets the open connections to an endpoint go silent for good.
func (a *faultPlan) loseEndpointConns(at time.Duration) {
	runner, part := a.runner(), a.lossPart()
	a.inRow(at, "link of "+runner.id+" loses connections: "+part.name, func() {
		defer a.endpoints.begin()()
		runner.link.silence(part.has)
	})
}

// storeUnheard is an outage in which the store gets no call: each is lost with its connection.
func (a *faultPlan) storeUnheard(at time.Duration) {
	lasting := a.lasting()
	a.add(at, fmt.Sprint("store unheard ", lasting), func() {
		defer a.storeDown.begin()()
		a.loseCalls(lasting)
	})
}

// loseCalls lets all links to the store lose what is sent for a while.
func (a *faultPlan) loseCalls(lasting time.Duration) {
	a.setStoreLinks(linkLossy)
	time.Sleep(lasting)
	a.setStoreLinks(linkClear)
}

func (a *faultPlan) setStoreLinks(state linkState) {
	for _, box := range a.site.boxes {
		box.storeLink.set(state)
	}
}

// storeReturnsDeaf is an outage in which the store refuses calls; shortly before its end, connections go silent for good.
func (a *faultPlan) storeReturnsDeaf(at time.Duration) {
	lasting, part, isLossy := a.lasting(), a.lossPart(), a.random.IntN(2) == 0
	blockedState := time.Duration(a.random.Int64N(int64(deafEnd)))
	a.add(at, fmt.Sprintf("store away %v, deaf for the last %v (lossy: %v) or lost: %s", lasting, blockedState, isLossy, part.name), func() {
		defer a.storeDown.begin()()
		a.site.store.SetFaults(standin.StoreFaults{Down: true})
		defer a.site.store.SetFaults(standin.StoreFaults{})
		time.Sleep(lasting)
		if isLossy {
			a.loseCalls(blockedState)
			return
		}
		a.loseAll(part)
		time.Sleep(blockedState)
	})
}

// endWithLoss adds a loss of connections after all other faults: what it does to a box is not mended by a later failure.
func (a *faultPlan) endWithLoss(at time.Duration) {
	switch a.random.IntN(3) {
	case 0:
		a.loseStorePart(at, lossParts[1+a.random.IntN(len(lossParts)-1)]) // not all: calls that fail would show it
	case 1:
		a.storeUnheard(at)
	default:
		a.storeReturnsDeaf(at)
	}
}
