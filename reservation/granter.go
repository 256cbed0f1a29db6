package reservation

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// takeoverDelay is how long a box grants nothing after it has become the granter: meanwhile all boxes tell what they have, and the
	// previous granter ceases to grant.
	takeoverDelay = time.Second
	// holderTTL is how long what a silent box has is counted: as long as the endpoints may need for it, at least.
	holderTTL = 4 * time.Second
	// rejectionPause is how long an endpoint that has rejected a request gets no other one: as long as its rejections are counted.
	rejectionPause = time.Second
	// spareTime is how long a slot of an endpoint is left free after repeated rejections: something else than the boxes' requests
	// takes it.
	spareTime = 5 * time.Second
	// callsPerSecond is the rate at which all boxes together ask again for slots, so that one that becomes free is soon used.
	callsPerSecond = 400.0
	// minRetryDelay is the least time until a box asks again, maxRetryDelay the longest.
	minRetryDelay = 3 * time.Millisecond
	maxRetryDelay = time.Second
	// waitingTTL is how long a box whose ask got nothing counts as waiting.
	waitingTTL = 500 * time.Millisecond
	// endpointTTL is how long an endpoint that nobody asks for is remembered.
	endpointTTL = time.Minute
)

type (
	// Granter hands out reservations: at each endpoint, all boxes together have at most as many requests as it has slots.
	Granter struct {
		mu            sync.Mutex
		grantingSince time.Time // start of uninterrupted granting by this box; zero while another box grants
		holders       map[willowwick.BoxID]*holder
		endpoints     map[willowwick.EndpointID]*endpoint
		nextSweep     time.Time
	}

	// holder is what a box has.
	holder struct {
		places       map[willowwick.EndpointID]int
		sentAt       int64 // of the last call; see Call.SentAt
		validUntil   time.Time
		waitingUntil time.Time // it counts as waiting until then
	}

	// endpoint is what the granter knows of one endpoint.
	endpoint struct {
		occupied    int // by all boxes
		slots       int // 0 if unknown
		isProven    bool
		pausedUntil time.Time // after a rejection
		spare       int       // slots that are left free
		spareUntil  time.Time // when one of these is used again
		namedAt     time.Time // when a call last named it
	}
)

// NewGranter returns a granter that grants nothing until SetGranting is called.
func NewGranter() *Granter {
	return &Granter{holders: map[willowwick.BoxID]*holder{}, endpoints: map[willowwick.EndpointID]*endpoint{}}
}

// SetGranting sets whether this box is the granter, as far as it knows.
func (g *Granter) SetGranting(now time.Time, isGranting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case isGranting && g.grantingSince.IsZero():
		g.grantingSince = now
	case !isGranting && !g.grantingSince.IsZero():
		g.grantingSince = time.Time{}
		clear(g.holders)
		clear(g.endpoints)
	}
}

// Answer answers a call with reservations of the slots that this box may hand out.
func (g *Granter) Answer(call Call, share Share, now time.Time) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := Reply{Granted: make([]willowwick.EndpointID, len(call.Asks))}
	if g.grantingSince.IsZero() {
		return reply
	}
	g.sweep(now)
	if known := g.holders[call.Box]; known != nil && call.SentAt < known.sentAt {
		return reply
	}
	h := g.update(&call, now)
	if reply.IsGranting = now.Sub(g.grantingSince) >= takeoverDelay; !reply.IsGranting {
		reply.RetryMs = maxRetryDelay.Milliseconds() / 8
		return reply
	}
	isMissing := false
	for i, ask := range call.Asks {
		if chosen, found := g.choose(ask, share, now); found {
			h.places[chosen]++
			g.endpoints[chosen].occupied++
			reply.Granted[i] = chosen
			continue
		}
		isMissing = true
	}
	h.waitingUntil = time.Time{}
	if isMissing {
		h.waitingUntil = now.Add(waitingTTL)
	}
	waiting := g.countWaiting(now)
	reply.IsShort = waiting > 0
	if isMissing {
		reply.RetryMs = retryDelay(waiting).Milliseconds()
	}
	return reply
}

// update replaces what is known of the calling box by what it tells; the caller holds the lock.
func (g *Granter) update(call *Call, now time.Time) *holder {
	h := g.holders[call.Box]
	if h == nil {
		h = &holder{}
		g.holders[call.Box] = h
	}
	g.forget(h)
	h.sentAt = call.SentAt
	h.places, h.validUntil = make(map[willowwick.EndpointID]int, len(call.Places)), now.Add(holderTTL)
	for _, place := range call.Places {
		h.places[place.Endpoint] += place.Requests
		g.ensure(place.Endpoint, now).occupied += place.Requests
	}
	for _, id := range call.Rejected {
		g.ensure(id, now).noteRejection(now)
	}
	for _, ask := range call.Asks {
		for _, choice := range ask.Choices {
			e := g.ensure(choice.Endpoint, now)
			if choice.Slots > 0 {
				e.slots = choice.Slots
			}
			e.isProven = e.isProven || choice.HasAnswered
		}
	}
	return h
}

// noteRejection lets an endpoint rest, and leaves one more of its slots free if it has rejected another request before its last rest.
func (e *endpoint) noteRejection(now time.Time) {
	if !now.Before(e.pausedUntil) && now.Before(e.spareUntil) {
		e.spare++
	}
	e.pausedUntil, e.spareUntil = now.Add(rejectionPause), now.Add(spareTime)
}

// forget no longer counts what a box has; the caller holds the lock.
func (g *Granter) forget(h *holder) {
	for id, requests := range h.places {
		g.endpoints[id].occupied -= requests
	}
}

func (g *Granter) ensure(id willowwick.EndpointID, now time.Time) *endpoint {
	e := g.endpoints[id]
	if e == nil {
		e = &endpoint{}
		g.endpoints[id] = e
	}
	e.namedAt = now
	return e
}

// choose returns the preferred endpoint of an ask if it has a free slot, and otherwise the one with the most; the caller holds the
// lock.
func (g *Granter) choose(ask Ask, share Share, now time.Time) (chosen willowwick.EndpointID, found bool) {
	most := 0
	for i, choice := range ask.Choices {
		free := g.endpoints[choice.Endpoint].free(choice.Endpoint, share, now)
		if free > most {
			chosen, most = choice.Endpoint, free
		}
		if i == 0 && free > 0 {
			break
		}
	}
	return chosen, most > 0
}

// free returns how many more requests the endpoint may get: one in all until it has answered, since it may have just started.
func (e *endpoint) free(id willowwick.EndpointID, share Share, now time.Time) int {
	if now.Before(e.pausedUntil) {
		return 0
	}
	slots := max(e.slots, 1)
	if !e.isProven {
		slots = 1
	}
	if e.spare > 0 && !now.Before(e.spareUntil) {
		e.spare, e.spareUntil = e.spare-1, now.Add(spareTime)
	}
	usable := max(slots-e.spare, 1)
	return min(usable, share.of(id, slots)) - e.occupied
}

// countWaiting returns the number of boxes that wait for slots; the caller holds the lock.
func (g *Granter) countWaiting(now time.Time) int {
	waiting := 0
	for _, h := range g.holders {
		if now.Before(h.waitingUntil) {
			waiting++
		}
	}
	return waiting
}

// retryDelay returns a random delay such that the waiting boxes together make callsPerSecond calls.
func retryDelay(waiting int) time.Duration {
	mean := float64(waiting) / callsPerSecond * float64(time.Second)
	return min(max(time.Duration(2*rand.Float64()*mean), minRetryDelay), maxRetryDelay)
}

// sweep drops boxes that are silent and endpoints that are gone; the caller holds the lock.
func (g *Granter) sweep(now time.Time) {
	for box, h := range g.holders {
		if now.After(h.validUntil) {
			g.forget(h)
			delete(g.holders, box)
		}
	}
	if now.Before(g.nextSweep) {
		return
	}
	g.nextSweep = now.Add(endpointTTL)
	for id, e := range g.endpoints {
		if e.occupied == 0 && now.Sub(e.namedAt) > endpointTTL {
			delete(g.endpoints, id)
		}
	}
}
