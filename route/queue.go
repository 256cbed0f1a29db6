package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	quantumTokens        = 512 // tokens that an account of weight 1 is given each round
	speedSmoothing       = 0.05
	minServiceSeconds    = 0.001
	maxUnmeasuredBacklog = 64 // requests queued before the service rate is known
)

type (
	// Waiter is a queued request.
	Waiter struct {
		Account  willowwick.AccountID
		Weight   int
		Cost     willowwick.Tokens
		Deadline time.Time
		Value    any // opaque value of the caller
	}

	// Queue orders the requests of client accounts by deficit round robin in estimated tokens.
	Queue struct {
		flows    map[willowwick.AccountID]*flow
		ring     []*flow // the flows with queued requests; the first is served next
		length   int
		backlog  willowwick.Tokens
		speed    float64 // tokens a second that one slot processes, smoothed
		inFlight int
	}

	// flow is the queue of one client account.
	flow struct {
		account willowwick.AccountID
		weight  int
		deficit willowwick.Tokens
		waiting []*Waiter
		backlog willowwick.Tokens
	}
)

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{flows: map[willowwick.AccountID]*flow{}}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	return q.length
}

// EstimateDispatch estimates when a new request of the account would be dispatched.
//
// An account waits for its own backlog at its share of the rate, but never longer than for the whole backlog.
func (q *Queue) EstimateDispatch(now time.Time, account willowwick.AccountID, weight int, cost willowwick.Tokens) time.Time {
	rate := q.rate()
	if rate <= 0 {
		return now
	}
	own := cost
	total := max(weight, 1)
	if f := q.flows[account]; f != nil {
		own += f.backlog
	}
	for _, f := range q.ring {
		if f.account != account {
			total += f.weight
		}
	}
	share := rate * float64(max(weight, 1)) / float64(total)
	fair := float64(own) / share
	whole := float64(q.backlog+cost) / rate
	return now.Add(time.Duration(min(fair, whole) * float64(time.Second)))
}

// Push queues a request, or returns when to retry if it could not be dispatched before its deadline.
func (q *Queue) Push(now time.Time, w *Waiter) (retryAt time.Time, ok bool) {
	dispatchAt := q.EstimateDispatch(now, w.Account, w.Weight, w.Cost)
	isBacklogFull := q.rate() <= 0 && q.length >= maxUnmeasuredBacklog
	if dispatchAt.After(w.Deadline) || isBacklogFull || !now.Before(w.Deadline) {
		return dispatchAt, false
	}
	f := q.flows[w.Account]
	if f == nil {
		f = &flow{account: w.Account}
		q.flows[w.Account] = f
	}
	f.weight = max(w.Weight, 1)
	if len(f.waiting) == 0 {
		f.deficit = 0
		q.ring = append(q.ring, f)
	}
	f.waiting = append(f.waiting, w)
	f.backlog += w.Cost
	q.backlog += w.Cost
	q.length++
	return time.Time{}, true
}

// Head returns the next request without removing it, or nil.
func (q *Queue) Head() *Waiter {
	for len(q.ring) > 0 {
		f := q.ring[0]
		if head := f.waiting[0]; f.deficit >= head.Cost {
			return head
		}
		f.deficit += quantumTokens * willowwick.Tokens(f.weight)
		q.ring = append(q.ring[1:], f)
	}
	return nil
}

// Pop removes and returns the next request, or nil.
func (q *Queue) Pop() *Waiter {
	head := q.Head()
	if head == nil {
		return nil
	}
	f := q.ring[0]
	f.deficit -= head.Cost
	q.drop(f, 0)
	if len(f.waiting) == 0 {
		q.ring = q.ring[1:]
	}
	return head
}

// Remove removes a request, and reports whether it was queued.
func (q *Queue) Remove(w *Waiter) bool {
	f := q.flows[w.Account]
	if f == nil {
		return false
	}
	for i, waiting := range f.waiting {
		if waiting != w {
			continue
		}
		q.drop(f, i)
		if len(f.waiting) == 0 {
			q.removeFlow(f)
		}
		return true
	}
	return false
}

// RemoveValue removes the account's request with the given value.
func (q *Queue) RemoveValue(account willowwick.AccountID, value any) bool {
	f := q.flows[account]
	if f == nil {
		return false
	}
	for _, w := range f.waiting {
		if w.Value == value {
			return q.Remove(w)
		}
	}
	return false
}

// Expired removes and returns the requests whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Waiter {
	var expired []*Waiter
	for _, f := range q.ring {
		for _, w := range f.waiting {
			if !now.Before(w.Deadline) {
				expired = append(expired, w)
			}
		}
	}
	for _, w := range expired {
		q.Remove(w)
	}
	return expired
}

// RecordServed records how long one slot took for a request of the given cost.
func (q *Queue) RecordServed(cost willowwick.Tokens, took time.Duration) {
	speed := float64(cost) / max(took.Seconds(), minServiceSeconds)
	if q.speed == 0 {
		q.speed = speed
	}
	q.speed += speedSmoothing * (speed - q.speed)
}

// SetInFlight sets the number of requests in progress.
func (q *Queue) SetInFlight(inFlight int) {
	q.inFlight = inFlight
}

// rate returns the service rate of the whole pool in tokens a second, or 0 if unknown.
func (q *Queue) rate() float64 {
	return q.speed * float64(max(q.inFlight, 1))
}

func (q *Queue) drop(f *flow, i int) {
	w := f.waiting[i]
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	f.backlog -= w.Cost
	q.backlog -= w.Cost
	q.length--
}

func (q *Queue) removeFlow(f *flow) {
	for i, other := range q.ring {
		if other == f {
			q.ring = append(q.ring[:i], q.ring[i+1:]...)
			return
		}
	}
}
