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
	// minRate is the rate at which an endpoint that takes nothing is asked again: only an answer shows that it takes
	// something.
	minRate willowwick.PerSecond = 0.1
	// maxRate is the rate from which on a limit bounds nothing: boxes do not send one endpoint as much.
	maxRate willowwick.PerSecond = 10_000
	// recoveryPeriod is how long an endpoint that names no limit any more is used more and more, doubling once each
	// recoverDouble: it has nothing to do then, and all boxes would choose it at once.
	recoveryPeriod   = 6 * time.Second
	recoveryDoubling = time.Second
	// permitTTL is how long after it was asked for a permit may be used; what is used later may come together with
	// later permits.
	permitTTL = 250 * time.Millisecond
	// askTimeout is how long a question for a permit may take; the endpoint is not given to other requests meanwhile.
	askTimeout = time.Second
	// minAskDelay is the least pause after a question that nobody answered; up to as much again is added at random.
	minAskDelay = 250 * time.Millisecond
	// batchWindow is for how long a box may be given permits at once.
	batchWindow = 50 * time.Millisecond
)

type (
	// Ledger is what one box knows of the limits that endpoints name. It implements willowwick.RateLimiter.
	Ledger struct {
		// mayBeLimited is false while nothing bounds any endpoint: the choice of one asks for each of them.
		mayBeLimited atomic.Bool

		mu     sync.Mutex
		limits map[willowwick.EndpointID]*limit

		awaitUntil          time.Time                      // no other box has told of limits yet, and may still
		awaitingFirstAnswer map[willowwick.EndpointID]bool // until then, endpoints with a request that is the first one
	}

	// limit is the limit of one endpoint, with what this box may send there.
	limit struct {
		incarnation willowwick.Incarnation
		rate        willowwick.PerSecond
		namedAt     time.Time // when an answer named it first, or with another rate
		endedAt     time.Time // when an answer to a later request named none; before namedAt if none did since
		wasListed   bool      // the list has held the endpoint since

		permits      int       // at hand
		usableUntil  time.Time // they are
		askingUntil  time.Time // a permit is being asked for; zero if none is
		askedAt      time.Time // last
		usedSinceAsk int       // permits since then
		noAskUntil   time.Time // no permit is asked for before
	}
)

// NewLedger returns a ledger that knows of no limit.
func NewLedger() *Ledger {
	return &Ledger{limits: map[willowwick.EndpointID]*limit{}, awaitingFirstAnswer: map[willowwick.EndpointID]bool{}}
}

// AwaitUpdates tells that nothing is known yet of what endpoints have named to other boxes. Until one of them tells, or the given
// time, an endpoint gets one request, and others only after its answer.
func (l *Ledger) AwaitUpdates(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaitUntil = until
	l.mayBeLimited.Store(true)
}

// isAwaitingUpdates reports whether other boxes may know of limits that this one does not; the caller holds the lock.
func (l *Ledger) isAwaitingUpdates(now time.Time) bool {
	return now.Before(l.awaitUntil)
}

// Heard implements willowwick.RateLimiter.
//
// An answer without a limit ends one only if its request was sent after the limit was known: others may have been on their way
// since before.
func (l *Ledger) Heard(now, sentAt time.Time, endpoint willowwick.Endpoint, reported willowwick.RateLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isAwaitingUpdates(now) {
		l.awaitingFirstAnswer[endpoint.ID] = false
	}
	known := l.limits[endpoint.ID]
	switch {
	case reported.Unreadable != "":
		slog.Debug("limit of an endpoint cannot be read", "endpoint", endpoint.ID, "text", reported.Unreadable)
		return false
	case reported.Named && (known == nil || !known.isNamed() || known.rate != reported.Rate):
		known = l.ensureLimit(endpoint.ID, endpoint.Incarnation)
		known.rate, known.namedAt = reported.Rate, now
		known.log(endpoint.ID, "answer")
		return true
	case !reported.Named && known != nil && known.isNamed() && sentAt.After(known.namedAt):
		known.endedAt = now
		known.log(endpoint.ID, "answer")
		return true
	}
	return false
}

// ensureLimit returns the endpoint's limit, a new one if there is none; the caller holds the lock.
func (l *Ledger) ensureLimit(endpoint willowwick.EndpointID, incarnation willowwick.Incarnation) *limit {
	known := l.limits[endpoint]
	if known == nil {
		known = &limit{incarnation: incarnation}
		l.limits[endpoint] = known
		l.mayBeLimited.Store(true)
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
	rate := max(k.rate, minRate)
	if k.isNamed() {
		return rate, rate < maxRate
	}
	since := now.Sub(k.endedAt)
	if since >= recoveryPeriod {
		return 0, false
	}
	return rate * willowwick.PerSecond(math.Exp2(since.Seconds()/recoveryDoubling.Seconds())), true
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

// MayUse implements willowwick.RateLimiter.
func (l *Ledger) MayUse(now time.Time, endpoint willowwick.EndpointID) bool {
	if !l.mayBeLimited.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		return !l.isAwaitingUpdates(now) || !l.awaitingFirstAnswer[endpoint]
	}
	if _, isLimited := known.rateAt(now); !isLimited {
		return true
	}
	return known.hasPermit(now) || !now.Before(known.nextAsk())
}

func (k *limit) hasPermit(now time.Time) bool {
	return k.permits > 0 && now.Before(k.usableUntil)
}

// nextAsk is when a permit may next be asked for.
func (k *limit) nextAsk() time.Time {
	if k.askingUntil.After(k.noAskUntil) {
		return k.askingUntil
	}
	return k.noAskUntil
}

// Use implements willowwick.RateLimiter.
func (l *Ledger) Use(now time.Time, endpoint willowwick.EndpointID) willowwick.Permission {
	if !l.mayBeLimited.Load() {
		return willowwick.PermissionFree
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		l.recordFirstUse(now, endpoint)
		return willowwick.PermissionFree
	}
	if _, isLimited := known.rateAt(now); !isLimited {
		return willowwick.PermissionFree
	}
	if known.hasPermit(now) {
		known.permits--
		known.usedSinceAsk++
		return willowwick.PermissionHeld
	}
	known.askingUntil = now.Add(askTimeout)
	return willowwick.PermissionToAsk
}

// Unasked implements willowwick.RateLimiter.
func (l *Ledger) Unasked(endpoint willowwick.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[endpoint]; known != nil {
		known.askingUntil = time.Time{}
	}
}

// recordFirstUse notes that an endpoint gets its first request of a box that knows nothing yet; the caller holds the lock.
func (l *Ledger) recordFirstUse(now time.Time, endpoint willowwick.EndpointID) {
	if _, isTried := l.awaitingFirstAnswer[endpoint]; l.isAwaitingUpdates(now) && !isTried {
		l.awaitingFirstAnswer[endpoint] = true
	}
}

// Limited implements willowwick.RateLimiter.
func (l *Ledger) Limited(now time.Time, endpoint willowwick.EndpointID) (nextAt time.Time, isLimited bool) {
	if !l.mayBeLimited.Load() {
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
	if known.hasPermit(now) || isAsking && !known.noAskUntil.After(now) {
		return now, true
	}
	return known.noAskUntil, true
}

// Keep implements willowwick.RateLimiter.
func (l *Ledger) Keep(listing []willowwick.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) == 0 {
		l.mayBeLimited.Store(!l.awaitUntil.IsZero())
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
		listed[endpoint.ID], known.wasListed = true, true
	}
	for id, known := range l.limits {
		// One that another box told of may not be listed here yet.
		if known.wasListed && !listed[id] {
			delete(l.limits, id)
		}
	}
}

// NewCall makes the question for a permit that Use has told to ask for.
func (l *Ledger) NewCall(now time.Time, endpoint willowwick.EndpointID, box willowwick.BoxID) Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		return Call{Box: box, Row: unknownRow(endpoint), Wanted: 1}
	}
	call := Call{Box: box, Row: known.row(endpoint, now), Wanted: known.wanted(now)}
	known.askedAt, known.usedSinceAsk = now, 0
	return call
}

// wanted is how many permits a box asks for at once: more only where it has just used as many.
func (k *limit) wanted(now time.Time) int {
	rate, _ := k.rateAt(now)
	most := int(min(float64(rate)*batchWindow.Seconds(), math.MaxInt16))
	if now.Sub(k.askedAt) > batchWindow {
		return 1
	}
	return max(1, min(2*k.usedSinceAsk, most))
}

// HandleReply takes the answer to a question that was asked at the given time, and reports whether the request may be sent.
func (l *Ledger) HandleReply(now, askedAt time.Time, endpoint willowwick.EndpointID, reply Reply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeRow(reply.Row, "grant", now)
	known := l.limits[endpoint]
	if known == nil {
		return true // it is gone, or has started again
	}
	known.askingUntil = time.Time{}
	known.noAskUntil = now.Add(time.Duration(reply.RetryMs) * time.Millisecond)
	known.permits, known.usableUntil = reply.Permits, askedAt.Add(permitTTL)
	if _, isLimited := known.rateAt(now); !isLimited {
		return true
	}
	if !known.hasPermit(now) {
		return false
	}
	known.permits--
	known.usedSinceAsk++
	return true
}

// HandleNoReply notes that nobody answered a question; the next one is asked after a pause.
func (l *Ledger) HandleNoReply(now time.Time, endpoint willowwick.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[endpoint]; known != nil {
		known.askingUntil = time.Time{}
		known.noAskUntil = now.Add(minAskDelay + time.Duration(rand.Int64N(int64(minAskDelay))))
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
