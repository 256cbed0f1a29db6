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
	// minRate is the rate at which an endpoint with a limit of zero is probed: only an answer shows that it accepts
	// requests again.
	minRate willowwick.PerSecond = 0.1
	// maxRate is the rate from which on a limit is ignored: boxes do not send as much to one endpoint.
	maxRate willowwick.PerSecond = 10_000
	// recoveryPeriod is how long an endpoint that no longer reports a limit is still limited. Its rate doubles once each
	// recoveryDoubling: the endpoint has little load then, and without a limit all boxes would choose it at once.
	recoveryPeriod   = 6 * time.Second
	recoveryDoubling = time.Second
	// permitTTL is how long after it was requested a permit may be used; one used later may coincide with later
	// permits.
	permitTTL = 250 * time.Millisecond
	// askTimeout bounds a call for a permit; meanwhile the endpoint is not given to other requests.
	askTimeout = time.Second
	// minAskDelay is the minimum delay after a call without reply; up to as much again is added at random.
	minAskDelay = 250 * time.Millisecond
	// batchWindow is the time for which a box may get permits in one call.
	batchWindow = 50 * time.Millisecond
)

type (
	// Ledger holds the rate limits of endpoints that one box knows. It implements willowwick.RateLimiter.
	Ledger struct {
		// mayBeLimited is false while no endpoint is limited. It is read for each candidate of each request.
		mayBeLimited atomic.Bool

		mu     sync.Mutex
		limits map[willowwick.EndpointID]*limit

		awaitUntil time.Time // other boxes may still send limits that are unknown here
		// awaitingFirstAnswer is used until awaitUntil: true for an endpoint that got its first request, false once it
		// has answered.
		awaitingFirstAnswer map[willowwick.EndpointID]bool
	}

	// limit is the rate limit of one endpoint, with the permits of this box.
	limit struct {
		incarnation willowwick.Incarnation
		rate        willowwick.PerSecond
		reportedAt  time.Time // when an answer first reported it, or another rate
		endedAt     time.Time // when an answer to a later request reported none; counts if after reportedAt
		wasListed   bool      // the list has contained the endpoint since the limit became known

		permits      int       // available permits
		usableUntil  time.Time // expiry of the permits
		askingUntil  time.Time // end of the pending call for a permit; zero if none is pending
		askedAt      time.Time // time of the last call
		usedSinceAsk int       // permits used since the last call
		nextAskAt    time.Time // earliest time of the next call
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{limits: map[willowwick.EndpointID]*limit{}, awaitingFirstAnswer: map[willowwick.EndpointID]bool{}}
}

// AwaitUpdates marks the limits as unknown after a start. Until another box sends its limits, or until the given
// time, each endpoint gets one request, and more only after its answer.
func (l *Ledger) AwaitUpdates(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaitUntil = until
	l.mayBeLimited.Store(true)
}

// isAwaitingUpdates reports whether other boxes may know limits that this one does not. The caller holds the lock.
func (l *Ledger) isAwaitingUpdates(now time.Time) bool {
	return now.Before(l.awaitUntil)
}

// Observe implements willowwick.RateLimiter.
//
// An answer without a limit ends one only if its request was sent after the limit was known: answers to earlier
// requests may still be under way.
func (l *Ledger) Observe(now, sentAt time.Time, endpoint willowwick.Endpoint, reported willowwick.RateLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isAwaitingUpdates(now) {
		l.awaitingFirstAnswer[endpoint.ID] = false
	}
	known := l.limits[endpoint.ID]
	switch {
	case reported.Unreadable != "":
		slog.Debug("cannot parse rate limit of endpoint", "endpoint", endpoint.ID, "text", reported.Unreadable)
		return false
	case reported.IsSet && (known == nil || !known.isReported() || known.rate != reported.Rate):
		known = l.ensureLimit(endpoint.ID, endpoint.Incarnation)
		former := known.rate
		known.rate, known.reportedAt = reported.Rate, now
		known.shortenWait(former, now)
		known.log(endpoint.ID, "answer")
		return true
	case !reported.IsSet && known != nil && known.isReported() && sentAt.After(known.reportedAt):
		known.endedAt = now
		known.log(endpoint.ID, "answer")
		return true
	}
	return false
}

// ensureLimit returns the endpoint's limit and creates it if there is none. The caller holds the lock.
func (l *Ledger) ensureLimit(endpoint willowwick.EndpointID, incarnation willowwick.Incarnation) *limit {
	known := l.limits[endpoint]
	if known == nil {
		known = &limit{incarnation: incarnation}
		l.limits[endpoint] = known
		l.mayBeLimited.Store(true)
	}
	return known
}

// log logs a change of the limit.
func (k *limit) log(endpoint willowwick.EndpointID, source string) {
	what := "endpoint names no rate limit any more"
	if k.isReported() {
		what = "endpoint names a rate limit"
	}
	slog.Info(what, "endpoint", endpoint, "per_second", float64(k.rate), "source", source)
}

// isReported reports whether the endpoint still reports the limit, as far as is known.
func (k *limit) isReported() bool {
	return k.reportedAt.After(k.endedAt)
}

// rateAt returns the rate for the endpoint, and false if it is not limited.
func (k *limit) rateAt(now time.Time) (willowwick.PerSecond, bool) {
	rate := max(k.rate, minRate)
	if k.isReported() {
		return rate, rate < maxRate
	}
	since := now.Sub(k.endedAt)
	if since >= recoveryPeriod {
		return 0, false
	}
	return rate * willowwick.PerSecond(math.Exp2(since.Seconds()/recoveryDoubling.Seconds())), true
}

// Rate returns the rate for all boxes together to the endpoint, and false if it is not limited.
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

// shortenWait shortens the wait for the next call, which was computed for a former rate, in proportion to a higher one.
func (k *limit) shortenWait(former willowwick.PerSecond, now time.Time) {
	if wait := k.nextAskAt.Sub(now); wait > 0 && k.rate > former {
		share := float64(max(former, minRate)) / float64(max(k.rate, minRate))
		k.nextAskAt = now.Add(time.Duration(float64(wait) * share))
	}
}

func (k *limit) hasPermit(now time.Time) bool {
	return k.permits > 0 && now.Before(k.usableUntil)
}

// nextAsk returns the earliest time of the next call for a permit.
func (k *limit) nextAsk() time.Time {
	if k.askingUntil.After(k.nextAskAt) {
		return k.askingUntil
	}
	return k.nextAskAt
}

// Acquire implements willowwick.RateLimiter.
func (l *Ledger) Acquire(now time.Time, endpoint willowwick.EndpointID) willowwick.PermitState {
	if !l.mayBeLimited.Load() {
		return willowwick.PermitNotNeeded
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[endpoint]
	if known == nil {
		l.recordFirstUse(now, endpoint)
		return willowwick.PermitNotNeeded
	}
	if _, isLimited := known.rateAt(now); !isLimited {
		return willowwick.PermitNotNeeded
	}
	if known.hasPermit(now) {
		known.permits--
		known.usedSinceAsk++
		return willowwick.PermitHeld
	}
	known.askingUntil = now.Add(askTimeout)
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

// recordFirstUse records the first request to an endpoint while the box awaits updates. The caller holds the lock.
func (l *Ledger) recordFirstUse(now time.Time, endpoint willowwick.EndpointID) {
	if _, isTried := l.awaitingFirstAnswer[endpoint]; l.isAwaitingUpdates(now) && !isTried {
		l.awaitingFirstAnswer[endpoint] = true
	}
}

// NextAt implements willowwick.RateLimiter.
func (l *Ledger) NextAt(now time.Time, endpoint willowwick.EndpointID) (nextAskAt time.Time, isLimited bool) {
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
	isAsking := now.Before(known.askingUntil) // a permit may arrive at any moment
	if known.hasPermit(now) || isAsking && !known.nextAskAt.After(now) {
		return now, true
	}
	return known.nextAskAt, true
}

// Retain implements willowwick.RateLimiter.
func (l *Ledger) Retain(listing []willowwick.Endpoint) {
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
		// An endpoint that was received from another box may not be listed here yet.
		if known.wasListed && !listed[id] {
			delete(l.limits, id)
		}
	}
}

// NewCall returns the call for permits that must follow an Acquire that returned PermitRequired.
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

// wanted returns how many permits to ask for at once: more than one only if as many have just been used.
func (k *limit) wanted(now time.Time) int {
	rate, _ := k.rateAt(now)
	most := int(min(float64(rate)*batchWindow.Seconds(), math.MaxInt16))
	if now.Sub(k.askedAt) > batchWindow {
		return 1
	}
	return max(1, min(2*k.usedSinceAsk, most))
}

// HandleReply applies the reply to a call that was made at askedAt, and reports whether the request may be sent.
func (l *Ledger) HandleReply(now, askedAt time.Time, endpoint willowwick.EndpointID, reply Reply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeRow(reply.Row, "grant", now)
	known := l.limits[endpoint]
	if known == nil {
		return true // the endpoint is gone or has restarted
	}
	known.askingUntil = time.Time{}
	known.applyReply(now, askedAt, reply)
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

// HandleLateReply applies the reply to a call whose request no longer waits for it: its permits serve other requests. It
// ignores a reply that another call has overtaken.
func (l *Ledger) HandleLateReply(now, askedAt time.Time, endpoint willowwick.EndpointID, reply Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeRow(reply.Row, "grant", now)
	if known := l.limits[endpoint]; known != nil && known.askedAt.Equal(askedAt) {
		known.applyReply(now, askedAt, reply)
	}
}

// applyReply takes over the permits of a reply, and the time of the next call.
func (k *limit) applyReply(now, askedAt time.Time, reply Reply) {
	k.nextAskAt = now.Add(time.Duration(reply.RetryMs) * time.Millisecond)
	k.permits, k.usableUntil = reply.Permits, askedAt.Add(permitTTL)
}

// HandleNoReply records that a call got no reply; the next one waits for a random delay.
func (l *Ledger) HandleNoReply(now time.Time, endpoint willowwick.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[endpoint]; known != nil {
		known.askingUntil = time.Time{}
		known.nextAskAt = now.Add(minAskDelay + time.Duration(rand.Int64N(int64(minAskDelay))))
	}
}

// Count returns the number of endpoints that report a limit.
func (l *Ledger) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, known := range l.limits {
		if known.isReported() {
			count++
		}
	}
	return count
}
