package ratelimit

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// leastRate is the rate at which an endpoint that takes nothing is asked again: only an answer shows that it takes
	// something.
	leastRate willowwick.PerSecond = 0.1
	// mostRate is the rate from which on a limit bounds nothing: boxes do not send one endpoint as much.
	mostRate willowwick.PerSecond = 10_000
	// recoverFor is how long an endpoint that names no limit any more is used more and more, doubling once each
	// recoverDouble: it has nothing to do then, and all boxes would choose it at once.
	recoverFor    = 6 * time.Second
	recoverDouble = time.Second
	// permitFor is how long after it was asked for a permit may be used; what is used later may come together with
	// later permits.
	permitFor = 250 * time.Millisecond
	// askFor is how long a question for a permit may take; the endpoint is not given to other requests meanwhile.
	askFor = time.Second
	// askPause is the least pause after a question that nobody answered; up to as much again is added at random.
	askPause = 250 * time.Millisecond
	// batchFor is for how long a box may be given permits at once.
	batchFor = 50 * time.Millisecond
)

type (
	// Ledger is what one box knows of the limits that endpoints name. It implements willowwick.RateLimiter.
	Ledger struct {
		// isNeeded is false while nothing bounds any endpoint: the choice of one asks for each of them.
		isNeeded atomic.Bool

		mu     sync.Mutex
		limits map[willowwick.EndpointID]*limit

		untoldUntil time.Time                      // no other box has told of limits yet, and may still
		unanswered  map[willowwick.EndpointID]bool // until then, endpoints with a request that is the first one
	}

	// limit is the limit of one endpoint, with what this box may send there.
	limit struct {
		incarnation willowwick.Incarnation
		rate        willowwick.PerSecond
		namedAt     time.Time // when an answer named it first, or with another rate
		endedAt     time.Time // when an answer to a later request named none; before namedAt if none did since
		isListed    bool      // the list has held the endpoint since

		permits     int       // at hand
		usableUntil time.Time // they are
		askingUntil time.Time // a permit is being asked for; zero if none is
		askedAt     time.Time // last
		used        int       // permits since then
		nextAt      time.Time // no permit is asked for before
	}
)

// NewLedger returns a ledger that knows of no limit.
func NewLedger() *Ledger {
	return &Ledger{limits: map[willowwick.EndpointID]*limit{}, unanswered: map[willowwick.EndpointID]bool{}}
}

// AwaitNews tells that nothing is known yet of what endpoints have named to other boxes. Until one of them tells, or the given
// time, an endpoint gets one request, and others only after its answer.
func (l *Ledger) AwaitNews(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.untoldUntil = until
	l.isNeeded.Store(true)
}

// isUntold reports whether other boxes may know of limits that this one does not; the caller holds the lock.
func (l *Ledger) isUntold(now time.Time) bool {
	return now.Before(l.untoldUntil)
}

// Observe implements willowwick.RateLimiter.
//
// An answer without a limit ends one only if its request was sent after the limit was known: others may have been on their way
// since before.
func (l *Ledger) Observe(now, sentAt time.Time, endpoint willowwick.Endpoint, said willowwick.RateLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isUntold(now) {
		l.unanswered[endpoint.ID] = false
	}
	known := l.limits[endpoint.ID]
	switch {
	case said.Unreadable != "":
		slog.Debug("limit of an endpoint cannot be read", "endpoint", endpoint.ID, "text", said.Unreadable)
		return false
	case said.IsSet && (known == nil || !known.isNamed() || known.rate != said.Rate):
		known = l.entry(endpoint.ID, endpoint.Incarnation)
		known.rate, known.namedAt = said.Rate, now
		known.log(endpoint.ID, "answer")
		return true
	case !said.IsSet && known != nil && known.isNamed() && sentAt.After(known.namedAt):
		known.endedAt = now
		known.log(endpoint.ID, "answer")
		return true
	}
	return false
}

// entry returns the endpoint's limit, a new one if there is none; the caller holds the lock.
func (l *Ledger) entry(endpoint willowwick.EndpointID, incarnation willowwick.Incarnation) *limit {
	known := l.limits[endpoint]
	if known == nil {
		known = &limit{incarnation: incarnation}
		l.limits[endpoint] = known
		l.isNeeded.Store(true)
	}
	return known
}

// log writes a line about a change of the limit.
func (k *limit) log(endpoint willowwick.EndpointID, source string) {
	what := "endpoint names no rate limit any more"
	if k.isNamed() {
		what = "endpoint names a rate limit"
	}
	slog.Info(what, "endpoint", endpoint, "per_second", float64(k.rate), "source", source)
}

// isNamed reports whether the endpoint still names the limit, as far as is known.
func (k *limit) isNamed() bool {
	return k.namedAt.After(k.endedAt)
}

// rateAt is what the endpoint may be sent, and false if nothing bounds it.
func (k *limit) rateAt(now time.Time) (willowwick.PerSecond, bool) {
	rate := max(k.rate, leastRate)
	if k.isNamed() {
		return rate, rate < mostRate
	}
	since := now.Sub(k.endedAt)
	if since >= recoverFor {
		return 0, false
	}
	return rate * willowwick.PerSecond(math.Exp2(since.Seconds()/recoverDouble.Seconds())), true
}

// Rate is what all boxes together may send to the endpoint, and false if nothing bounds it.
func (l *Ledger) Rate(now time.Time, endpoint willowwick.EndpointID) (willowwick.PerSecond, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[endpoint]; known != nil {
		return known.rateAt(now)
	}
	return 0, false
}

// CanAcquire implements willowwick.RateLimiter.
func (l *Ledger) CanAcquire(now time.Time, endpoint willowwick.EndpointID) bool {
	if !l.isNeeded.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		return !l.isUntold(now) || !l.unanswered[endpoint]
	}
	if _, isLimited := known.rateAt(now); !isLimited {
		return true
	}
	return known.hasPermit(now) || !now.Before(known.askAt())
}

func (k *limit) hasPermit(now time.Time) bool {
	return k.permits > 0 && now.Before(k.usableUntil)
}

// askAt is when a permit may next be asked for.
func (k *limit) askAt() time.Time {
	if k.askingUntil.After(k.nextAt) {
		return k.askingUntil
	}
	return k.nextAt
}

// Acquire implements willowwick.RateLimiter.
func (l *Ledger) Acquire(now time.Time, endpoint willowwick.EndpointID) willowwick.PermitState {
	if !l.isNeeded.Load() {
		return willowwick.PermitNotNeeded
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		l.noteFirst(now, endpoint)
		return willowwick.PermitNotNeeded
	}
	if _, isLimited := known.rateAt(now); !isLimited {
		return willowwick.PermitNotNeeded
	}
	if known.hasPermit(now) {
		known.permits--
		known.used++
		return willowwick.PermitHeld
	}
	known.askingUntil = now.Add(askFor)
	return willowwick.PermitRequired
}

// CancelPending implements willowwick.RateLimiter.
func (l *Ledger) CancelPending(endpoint willowwick.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[endpoint]; known != nil {
		known.askingUntil = time.Time{}
	}
}

// noteFirst notes that an endpoint gets its first request of a box that knows nothing yet; the caller holds the lock.
func (l *Ledger) noteFirst(now time.Time, endpoint willowwick.EndpointID) {
	if _, isTried := l.unanswered[endpoint]; l.isUntold(now) && !isTried {
		l.unanswered[endpoint] = true
	}
}

// NextAt implements willowwick.RateLimiter.
func (l *Ledger) NextAt(now time.Time, endpoint willowwick.EndpointID) (nextAt time.Time, isLimited bool) {
	if !l.isNeeded.Load() {
		return time.Time{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		return time.Time{}, false
	}
	if _, isLimited := known.rateAt(now); !isLimited {
		return time.Time{}, false
	}
	isAsking := now.Before(known.askingUntil) // a permit may come at any moment
	if known.hasPermit(now) || isAsking && !known.nextAt.After(now) {
		return now, true
	}
	return known.nextAt, true
}

// Retain implements willowwick.RateLimiter.
func (l *Ledger) Retain(listing []willowwick.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) == 0 {
		l.isNeeded.Store(!l.untoldUntil.IsZero())
		return
	}
	listed := make(map[willowwick.EndpointID]bool, len(listing))
	for _, endpoint := range listing {
		known := l.limits[endpoint.ID]
		if known == nil {
			continue
		}
		if known.incarnation != 0 && known.incarnation < endpoint.Incarnation {
			delete(l.limits, endpoint.ID)
			continue
		}
		listed[endpoint.ID], known.isListed = true, true
	}
	for id, known := range l.limits {
		// One that another box told of may not be listed here yet.
		if known.isListed && !listed[id] {
			delete(l.limits, id)
		}
	}
}

// Ask makes the question for a permit that Acquire has told to ask for.
func (l *Ledger) Ask(now time.Time, endpoint willowwick.EndpointID, box willowwick.BoxID) Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		return Call{Box: box, Row: unknownRow(endpoint), Wanted: 1}
	}
	call := Call{Box: box, Row: known.row(endpoint, now), Wanted: known.wanted(now)}
	known.askedAt, known.used = now, 0
	return call
}

// wanted is how many permits a box asks for at once: more only where it has just used as many.
func (k *limit) wanted(now time.Time) int {
	rate, _ := k.rateAt(now)
	most := int(min(float64(rate)*batchFor.Seconds(), math.MaxInt16))
	if now.Sub(k.askedAt) > batchFor {
		return 1
	}
	return max(1, min(2*k.used, most))
}

// Answered takes the answer to a question that was asked at the given time, and reports whether the request may be sent.
func (l *Ledger) Answered(now, askedAt time.Time, endpoint willowwick.EndpointID, reply Reply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(reply.Row, "grant", now)
	known := l.limits[endpoint]
	if known == nil {
		return true // it is gone, or has started again
	}
	known.askingUntil = time.Time{}
	known.nextAt = now.Add(time.Duration(reply.RetryMs) * time.Millisecond)
	known.permits, known.usableUntil = reply.Permits, askedAt.Add(permitFor)
	if _, isLimited := known.rateAt(now); !isLimited {
		return true
	}
	if !known.hasPermit(now) {
		return false
	}
	known.permits--
	known.used++
	return true
}

// Unanswered notes that nobody answered a question; the next one is asked after a pause.
func (l *Ledger) Unanswered(now time.Time, endpoint willowwick.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[endpoint]; known != nil {
		known.askingUntil = time.Time{}
		known.nextAt = now.Add(askPause + time.Duration(rand.Int64N(int64(askPause))))
	}
}

// Count is the number of endpoints that name a limit.
func (l *Ledger) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, known := range l.limits {
		if known.isNamed() {
			count++
		}
	}
	return count
}
