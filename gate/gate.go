package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
)

const (
	// tickInterval is how often the queues are checked for expired requests and free slots.
	tickInterval = 20 * time.Millisecond
	// OverloadRetryDelay is the least time after which a request refused for lack of slots should retry.
	OverloadRetryDelay = time.Second
	// noEndpointRetryDelay is the time after which a request that no endpoint serves should retry.
	noEndpointRetryDelay = 2 * time.Second
	// minShortageRetryDelay is the least time after which a request refused in a shortage should retry.
	minShortageRetryDelay = 300 * time.Millisecond
	// maxShortageRetryDelay is the longest such time: the retry probably reaches another box, which may serve it
	// sooner.
	maxShortageRetryDelay = 3 * time.Second
	// shortageWaitDivisor bounds waiting in a shortage: endpoints must accept requests again within the request's
	// remaining time divided by it, since at first they accept few and other requests wait as well.
	shortageWaitDivisor = 2
)

type (
	// Gate admits requests to endpoints in fair order, with one queue for each kind of work.
	Gate struct {
		mu     sync.Mutex
		queues map[string]*route.Queue
		inUse  map[string]int
	}

	// Request asks for a slot.
	Request struct {
		Work     string // the version or service
		Account  willowwick.AccountID
		Weight   int
		Cost     willowwick.Tokens
		Deadline time.Time
		// Acquire acquires a slot if one is free; known is false if no endpoint serves the work.
		Acquire func(now time.Time) (slot *route.Slot, known bool)
		// Unavailable returns the current shortage if no slot can become free before it ends; nil if that never happens.
		Unavailable func(now time.Time) (shortage route.Shortage, isShort bool)
	}

	// waiter is a request with its result.
	waiter struct {
		Request
		slot   *route.Slot
		result chan *willowwick.Refusal
	}

	// Ticket is an acquired slot with what is needed to release it.
	Ticket struct {
		*route.Slot
		gate       *Gate
		work       string
		cost       willowwick.Tokens
		acquiredAt time.Time
		vacatedAt  time.Time // when Vacate freed the slot; zero if Done does
	}
)

// New returns a gate with empty queues.
func New() *Gate {
	return &Gate{queues: map[string]*route.Queue{}, inUse: map[string]int{}}
}

// Enter returns a slot, at once or when the request reaches the head of its queue.
//
// A request that cannot be dispatched before its deadline is refused at once.
func (g *Gate) Enter(ctx context.Context, request Request) (*Ticket, *willowwick.Refusal) {
	w, acquired, refusal := g.acquireOrQueue(request)
	if refusal != nil {
		return nil, refusal
	}
	if !acquired {
		select {
		case refusal := <-w.result:
			if refusal != nil {
				return nil, refusal
			}
		case <-ctx.Done():
			return nil, g.cancel(w)
		}
	}
	return &Ticket{Slot: w.slot, gate: g, work: request.Work, cost: request.Cost, acquiredAt: clock.Now()}, nil
}

// acquireOrQueue acquires a slot if one is free, and otherwise queues the request.
func (g *Gate) acquireOrQueue(request Request) (w *waiter, acquired bool, refusal *willowwick.Refusal) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(request.Work)
	w = &waiter{Request: request, result: make(chan *willowwick.Refusal, 1)}
	if q.Len() == 0 {
		slot, known := request.Acquire(now)
		if !known {
			return nil, false, willowwick.NotRun(willowwick.CodeNoEndpoint, now.Add(noEndpointRetryDelay), "no endpoint serves %q", request.Work)
		}
		if slot != nil {
			g.assign(w, slot)
			return w, true, nil
		}
	}
	if shortage, mustRefuse := request.mustRefuse(now); mustRefuse {
		return nil, false, shortageRefusal(now, shortage, request.Work)
	}
	retryAt, ok := q.Push(now, &route.Waiter{Account: request.Account, Weight: request.Weight, Cost: request.Cost, Deadline: request.Deadline, Value: w})
	if !ok {
		if retryAt.Before(now.Add(OverloadRetryDelay)) {
			retryAt = now.Add(OverloadRetryDelay)
		}
		return nil, false, willowwick.NotRun(willowwick.CodeOverloaded, retryAt, "the turn of this request would come after its deadline")
	}
	return w, false, nil
}

// mustRefuse reports whether no slot can become free in time for the request to wait for it.
func (w *Request) mustRefuse(now time.Time) (shortage route.Shortage, mustRefuse bool) {
	if w.Unavailable == nil {
		return route.Shortage{}, false
	}
	if shortage, mustRefuse = w.Unavailable(now); !mustRefuse {
		return shortage, false
	}
	mayWait := shortage.IsCertain && shortage.Until.Sub(now) < w.Deadline.Sub(now)/shortageWaitDivisor
	return shortage, !mayWait
}

// shortageRefusal returns the refusal for a request in a shortage. Retries after the same backoff are spread, since
// all at once would be more than the endpoints accept at its end.
func shortageRefusal(now time.Time, shortage route.Shortage, work string) *willowwick.Refusal {
	after := shortage.Until.Sub(now)
	if shortage.IsCertain {
		after += time.Duration(rand.Int64N(int64(max(after/2, minShortageRetryDelay))))
	}
	until := now.Add(min(max(after, minShortageRetryDelay), maxShortageRetryDelay))
	if shortage.IsCertain {
		return willowwick.NotRun(willowwick.CodeOverloaded, until, "every endpoint that serves %q has asked for a backoff", work)
	}
	return willowwick.NotRun(willowwick.CodeRateLimited, until, "every endpoint that serves %q is rate-limited and accepts no more requests now", work)
}

// cancel withdraws a request whose caller has left or whose deadline has passed.
func (g *Gate) cancel(w *waiter) *willowwick.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(w.Work)
	if w.slot != nil {
		w.slot.Release(clock.Now(), route.OutcomeCancelled)
		g.free(w.Work)
	} else {
		q.RemoveValue(w.Account, w)
	}
	return willowwick.NotRun(willowwick.CodeDeadline, time.Time{}, "the caller disconnected or the deadline passed before a slot was free")
}

func (g *Gate) queue(work string) *route.Queue {
	q := g.queues[work]
	if q == nil {
		q = route.NewQueue()
		g.queues[work] = q
	}
	return q
}

func (g *Gate) assign(w *waiter, slot *route.Slot) {
	w.slot = slot
	g.inUse[w.Work]++
	g.queue(w.Work).SetInFlight(g.inUse[w.Work])
}

func (g *Gate) free(work string) {
	g.inUse[work]--
	g.queue(work).SetInFlight(g.inUse[work])
}

// dispatch gives free slots to the requests at the head of the queue.
func (g *Gate) dispatch(work string, now time.Time) {
	q := g.queue(work)
	for {
		head := q.Head()
		if head == nil {
			return
		}
		w, ok := head.Value.(*waiter)
		if !ok {
			return
		}
		slot, known := w.Acquire(now)
		if slot == nil && known {
			if !w.refuseInShortage(q, now) {
				return
			}
			continue
		}
		q.Pop()
		if !known {
			w.result <- willowwick.NotRun(willowwick.CodeNoEndpoint, now.Add(noEndpointRetryDelay), "no endpoint serves %q any more", work)
			continue
		}
		g.assign(w, slot)
		w.result <- nil
	}
}

// refuseInShortage refuses the request at the head of its queue if no slot can become free in time, and reports
// whether it did.
func (w *waiter) refuseInShortage(q *route.Queue, now time.Time) bool {
	shortage, mustRefuse := w.mustRefuse(now)
	if !mustRefuse {
		return false
	}
	q.Pop()
	w.result <- shortageRefusal(now, shortage, w.Work)
	return true
}

// sweep refuses expired requests and dispatches to free slots.
func (g *Gate) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for work, q := range g.queues {
		for _, expired := range q.Expired(now) {
			if w, ok := expired.Value.(*waiter); ok {
				w.result <- willowwick.NotRun(willowwick.CodeDeadline, now.Add(OverloadRetryDelay), "the deadline passed before a slot was free")
			}
		}
		if q.Len() > 0 {
			g.dispatch(work, now)
		}
	}
}

// Run dispatches and expires queued requests until the context ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

// WaitingCount returns the number of requests in all queues.
func (g *Gate) WaitingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, q := range g.queues {
		total += q.Len()
	}
	return total
}

// WaitingWhere returns the number of requests that wait for slots of the kinds of work for which counts returns true.
func (g *Gate) WaitingWhere(counts func(work string) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for work, q := range g.queues {
		if counts(work) {
			total += q.Len()
		}
	}
	return total
}

// Vacate frees the slot of a request that has ended at its endpoint, before it is known how, and dispatches the next request. Done must
// still be called.
func (t *Ticket) Vacate() {
	now := clock.Now()
	if !t.Slot.Vacate(now) {
		return
	}
	t.vacatedAt = now
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.free(t.work)
	t.gate.dispatch(t.work, now)
}

// Done releases the slot and dispatches the next request.
func (t *Ticket) Done(outcome route.Outcome) {
	now := clock.Now()
	t.Release(now, outcome)
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	endedAt := t.vacatedAt
	if endedAt.IsZero() {
		endedAt = now
		t.gate.free(t.work)
	}
	q := t.gate.queue(t.work)
	if outcome == route.OutcomeGood || outcome == route.OutcomeSlow {
		q.RecordServed(t.cost, endedAt.Sub(t.acquiredAt))
	}
	t.gate.dispatch(t.work, now)
}
