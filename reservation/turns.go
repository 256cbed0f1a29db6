package reservation

import (
	"slices"
	"time"
)

const (
	// urgentPerTurn is the number of reservations of the most urgent requests after which another kind has its turn.
	urgentPerTurn = 2
	// maxGrants is the number of last reservations by whose times the wait for another one is estimated.
	maxGrants = 16
)

// enqueue lets a request wait behind those that are as urgent or more, unless its turn would come after its deadline.
func (r *Reserver) enqueue(p *pendingAsk, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(r.asks, func(other *pendingAsk) bool { return other.Rank > p.Rank })
	if at < 0 {
		at = len(r.asks)
	}
	if r.isShort && len(r.grants) == maxGrants {
		wait := now.Sub(r.grants[0]) * time.Duration(at) / maxGrants
		if now.Add(wait).After(p.Deadline) {
			return false
		}
	}
	r.asks = slices.Insert(r.asks, at, p)
	return true
}

// inTurn lists the requests that ask next, the most urgent first; after urgentPerTurn reservations of the most urgent kind, one of
// another kind comes first, so that none starves. The caller holds the lock.
func (r *Reserver) inTurn() []*pendingAsk {
	asking := slices.Clone(r.asks)
	if r.urgentGrants >= urgentPerTurn {
		if at := slices.IndexFunc(asking, func(p *pendingAsk) bool { return p.Rank > asking[0].Rank }); at > 0 {
			other := asking[at]
			asking = slices.Insert(slices.Delete(asking, at, at+1), 0, other)
		}
	}
	return asking[:min(len(asking), maxPending)]
}

// noteTurn counts the reservations of the most urgent requests that wait.
func (r *Reserver) noteTurn(served *pendingAsk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.urgentGrants++
	if len(r.asks) > 0 && served.Rank > r.asks[0].Rank {
		r.urgentGrants = 0
	}
}

// noteGrants keeps the times of the last reservations; the caller holds the lock.
func (r *Reserver) noteGrants(now time.Time, granted int) {
	for range granted {
		r.grants = append(r.grants, now)
	}
	r.grants = r.grants[max(len(r.grants)-maxGrants, 0):]
}
