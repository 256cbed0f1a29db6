package reservation

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// While nobody grants, a box gives the slots that its requests have left to others of its own.

const (
	// silentAfter is how long after a call without reply the granter counts as silent.
	silentAfter = 300 * time.Millisecond
	// keepTime is how long after its last call that was granted a box may use slots that its requests have left. The granter counts
	// them for longer.
	keepTime = 3 * time.Second
)

// mayKeep reports whether the box may use the slots that its requests have left: nobody grants, and the granter that did still
// counts them. The caller holds the lock.
func (r *Reserver) mayKeep(now time.Time) bool {
	isSilent := !r.failingSince.IsZero() && (r.hasFailed || now.Sub(r.failingSince) > silentAfter)
	return isSilent && now.Sub(r.confirmedAt) < keepTime
}

// handleFailure records a call that granted nothing.
func (r *Reserver) handleFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt, r.hasFailed = now.Add(failureDelay), true
	for id, requests := range r.telling {
		r.left[id] += requests
	}
	clear(r.telling)
}

// useLeft gives slots that requests have left to those that ask, while nobody grants.
func (r *Reserver) useLeft(now time.Time) {
	r.mu.Lock()
	var asks []*pendingAsk
	if r.mayKeep(now) {
		asks = slices.Clone(r.asks)
	}
	r.mu.Unlock()
	for _, p := range asks {
		r.settleFromLeft(p)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOver()
}

// settleFromLeft gives a request a slot that another one has left, if there is one that it can use.
func (r *Reserver) settleFromLeft(p *pendingAsk) {
	for _, choice := range p.Choices {
		if !r.takeLeft(choice.Endpoint) {
			continue
		}
		if !p.settle(choice.Endpoint) {
			r.mu.Lock()
			r.left[choice.Endpoint]++
			r.mu.Unlock()
		}
		return
	}
}

// takeLeft takes a slot of the endpoint that a request has left, and reports whether there was one.
func (r *Reserver) takeLeft(id willowwick.EndpointID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, slots := range []map[willowwick.EndpointID]int{r.left, r.telling} {
		if slots[id] > 0 {
			slots[id]--
			return true
		}
	}
	return false
}
