package reservation

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// maxPending is how many requests of a box ask at a time; others wait in the fair queue.
	maxPending = 16
	// heartbeat is how often a box that has requests at endpoints tells the granter.
	heartbeat = 500 * time.Millisecond
	// releaseDelay is how soon a box tells that a slot has become free, shortReleaseDelay while boxes wait for slots.
	releaseDelay      = 50 * time.Millisecond
	shortReleaseDelay = 4 * time.Millisecond
	// callTimeout bounds a call; the next one tells all that it would have told.
	callTimeout = 600 * time.Millisecond
	// failureDelay is the delay after a call that failed.
	failureDelay = 100 * time.Millisecond
)

type (
	// Reserver asks for the reservations of one box's requests. It implements willowwick.Reserver.
	//
	// Its lock is never held while a request is moved to its endpoint, since the pool calls Released under its own.
	Reserver struct {
		*Ledger
		box willowwick.BoxID
		// places tells all that the box has at the endpoints of some services, without the requests that ask.
		places  func(services []willowwick.ServiceID) []willowwick.Occupancy
		wake    chan struct{}
		pending atomic.Int64

		mu           sync.Mutex
		asks         []*pendingAsk // those that wait, the most urgent first, of these the oldest
		retryAt      time.Time     // earliest time to ask again
		releasedAt   time.Time     // when the first slot became free that the granter doesn't know of; zero if none did
		calledAt     time.Time     // time of the last call
		rejected     []willowwick.EndpointID
		isShort      bool
		urgentGrants int         // since a less urgent request had its turn
		grants       []time.Time // of the last reservations, maxGrants at most, oldest first
		confirmedAt  time.Time   // time of the last call that was answered by a box that grants
		// failingSince is the time of the first call since then; zero if there is none.
		failingSince time.Time
		hasFailed    bool // the last call has failed
		// left holds the slots that requests have left and that the granter may still count as this box's; telling holds those of
		// them that the call under way tells.
		left, telling map[willowwick.EndpointID]int
	}

	// Request is a request that needs a reservation.
	Request struct {
		Ask
		Rank     int // 0 is the most urgent
		Deadline time.Time
		// Take moves the request to the endpoint of its reservation; false if it can't.
		Take func(willowwick.EndpointID) bool
	}

	// pendingAsk is a request that waits for its reservation.
	pendingAsk struct {
		Request
		done chan struct{} // closed once it has its reservation, or can't use one that was granted

		mu      sync.Mutex // held while isOver is set, and while the request is moved
		isMoved bool       // it has its reservation; valid once done is closed
		// isOver is set once done is closed, or the request has stopped waiting.
		isOver atomic.Bool
	}

	// Outcome is how the wait for a reservation ended.
	Outcome int

	// CallFunc calls the box that grants.
	CallFunc func(ctx context.Context, call Call) (Reply, error)
)

// Outcomes of the wait for a reservation.
const (
	// OutcomeReserved: the request has its reservation.
	OutcomeReserved Outcome = iota
	// OutcomeMissed: it had none at its deadline, or its turn would have come later.
	OutcomeMissed
	// OutcomeOutdated: its endpoint accepts no work any more, so it must choose anew.
	OutcomeOutdated
)

// NewReserver returns a Reserver for a box; places tells all that the box has at the endpoints of some services, without the
// requests that ask.
func NewReserver(box willowwick.BoxID, places func([]willowwick.ServiceID) []willowwick.Occupancy) *Reserver {
	return &Reserver{
		Ledger: NewLedger(), box: box, places: places, wake: make(chan struct{}, 1),
		left: map[willowwick.EndpointID]int{}, telling: map[willowwick.EndpointID]int{},
	}
}

// CanAsk implements willowwick.Reserver.
func (r *Reserver) CanAsk(now time.Time, service willowwick.ServiceID) bool {
	return r.pending.Load() < maxPending || !r.IsRequired(now, service)
}

// Released implements willowwick.Reserver.
func (r *Reserver) Released(now time.Time, endpoint willowwick.Endpoint) {
	if !r.IsRequired(now, endpoint.Service) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.releasedAt.IsZero() {
		r.releasedAt = now
	}
	r.left[endpoint.ID]++
	r.signal()
}

// NoteRejection records that an endpoint has rejected a request for want of room.
func (r *Reserver) NoteRejection(now time.Time, endpoint willowwick.Endpoint) {
	if !r.IsRequired(now, endpoint.Service) {
		return
	}
	slog.Info("endpoint rejected a request that had a reservation", "endpoint", endpoint.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.rejected, endpoint.ID) {
		r.rejected = append(r.rejected, endpoint.ID)
	}
	r.retryAt = time.Time{}
	r.signal()
}

func (r *Reserver) signal() {
	select {
	case r.wake <- struct{}{}:
	default: // already signalled
	}
}

// Await waits until the request has a reservation and was moved to the endpoint, until its deadline or the end of the context. It
// returns OutcomeMissed at once if those that wait already will take until the deadline.
func (r *Reserver) Await(ctx context.Context, request Request) Outcome {
	r.pending.Add(1)
	defer r.pending.Add(-1)
	p := &pendingAsk{Request: request, done: make(chan struct{})}
	if !r.enqueue(p, clock.Now()) {
		return OutcomeMissed
	}
	r.signal()
	timer := time.NewTimer(clock.Until(request.Deadline))
	defer timer.Stop()
	select {
	case <-p.done:
		return p.outcome()
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.asks = slices.DeleteFunc(r.asks, func(other *pendingAsk) bool { return other == p })
	r.mu.Unlock()
	if p.abandon() {
		return OutcomeMissed
	}
	return p.outcome()
}

// outcome returns how the wait ended, once done is closed.
func (p *pendingAsk) outcome() Outcome {
	if p.isMoved {
		return OutcomeReserved
	}
	return OutcomeOutdated
}

// abandon ends the wait, and returns false if it has ended before.
func (p *pendingAsk) abandon() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isOver.CompareAndSwap(false, true)
}

// settle ends the wait with a reservation, and reports whether the request took it.
func (p *pendingAsk) settle(id willowwick.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isOver.Load() {
		return false
	}
	p.isMoved = p.Take(id)
	p.isOver.Store(true)
	close(p.done)
	return p.isMoved
}

// Run asks for reservations until the context ends.
func (r *Reserver) Run(ctx context.Context, call CallFunc) {
	for ctx.Err() == nil {
		now := clock.Now()
		at := r.nextCallAt(now)
		if now.Before(at) {
			r.await(ctx, at)
			r.useLeft(clock.Now())
			continue
		}
		r.callOnce(ctx, call)
	}
}

// await waits until a time or a signal.
func (r *Reserver) await(ctx context.Context, at time.Time) {
	timer := time.NewTimer(clock.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timer.C:
	}
}

// nextCallAt returns when the next call is due.
func (r *Reserver) nextCallAt(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now.Add(time.Minute)
	if r.mayBeLimited.Load() {
		at = r.calledAt.Add(heartbeat)
	}
	if len(r.asks) > 0 && r.retryAt.Before(at) {
		at = r.retryAt
	}
	if len(r.rejected) > 0 {
		at = r.retryAt
	}
	if !r.releasedAt.IsZero() {
		delay := releaseDelay
		if r.isShort {
			delay = shortReleaseDelay
		}
		if due := r.releasedAt.Add(delay); due.Before(at) {
			at = due
		}
	}
	return at
}

// callOnce makes one call; meanwhile requests may use slots that the box keeps.
func (r *Reserver) callOnce(ctx context.Context, call CallFunc) {
	now := clock.Now()
	message, asking, isNeeded := r.newCall(now)
	if !isNeeded {
		return
	}
	replies := make(chan *Reply, 1)
	go func() {
		reply, err := call(ctx, message)
		if err != nil {
			slog.Debug("call for reservations failed", "error", err)
			replies <- nil
			return
		}
		replies <- &reply
	}()
	end := now.Add(callTimeout)
	for clock.Now().Before(end) && ctx.Err() == nil {
		timer := time.NewTimer(min(clock.Until(end), silentAfter/2))
		select {
		case <-ctx.Done():
		case reply := <-replies:
			timer.Stop()
			r.handleReply(clock.Now(), now, asking, reply)
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
		r.useLeft(clock.Now())
	}
	r.handleReply(clock.Now(), now, asking, nil)
}

// newCall returns the next call and the requests that ask in it; false if there is nothing to tell.
func (r *Reserver) newCall(now time.Time) (Call, []*pendingAsk, bool) {
	places := r.places(r.Required(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayKeep(now) {
		maps.DeleteFunc(r.left, func(_ willowwick.EndpointID, requests int) bool { return requests == 0 })
		for id, requests := range r.left {
			places = append(places, willowwick.Occupancy{Endpoint: id, Requests: requests})
		}
	} else {
		r.telling, r.left = r.left, map[willowwick.EndpointID]int{}
	}
	call := Call{Box: r.box, SentAt: clock.TimeOfDay().UnixMicro(), Places: places, Rejected: r.rejected}
	asking := r.inTurn()
	for _, p := range asking {
		call.Asks = append(call.Asks, p.Ask)
	}
	isNeeded := len(places) > 0 || len(asking) > 0 || len(r.rejected) > 0 || !r.releasedAt.IsZero()
	r.calledAt, r.releasedAt, r.rejected = now, time.Time{}, nil
	if isNeeded && r.failingSince.IsZero() {
		r.failingSince = now
	}
	return call, asking, isNeeded
}

// handleReply applies the reply to a call made at the given time, nil if there was none.
func (r *Reserver) handleReply(now, calledAt time.Time, asking []*pendingAsk, reply *Reply) {
	if reply == nil || !reply.IsGranting {
		r.handleFailure(now)
		r.useLeft(now)
		return
	}
	isWasted := false
	granted := 0
	for i, p := range asking {
		switch {
		case i >= len(reply.Granted) || reply.Granted[i] == "":
		case p.settle(reply.Granted[i]):
			granted++
			r.noteTurn(p)
		default:
			isWasted = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteGrants(now, granted)
	r.confirmedAt, r.failingSince, r.hasFailed, r.isShort = calledAt, time.Time{}, false, reply.IsShort
	r.retryAt = now.Add(time.Duration(reply.RetryMs) * time.Millisecond)
	if (isWasted || len(r.left) > 0) && r.releasedAt.IsZero() {
		r.releasedAt = now
	}
	clear(r.telling)
	r.dropOver()
}

// dropOver drops the requests that no longer wait; the caller holds the lock.
func (r *Reserver) dropOver() {
	r.asks = slices.DeleteFunc(r.asks, func(p *pendingAsk) bool { return p.isOver.Load() })
}
