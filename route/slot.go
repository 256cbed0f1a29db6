package route

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// baseEjection is how long an endpoint is first avoided after failures, suspectMost the longest time.
	baseEjection = 2 * time.Second
	maxEjection  = 16 * time.Second
	// ejectAfterFailures is how many failures in a row bring an endpoint under suspicion.
	ejectAfterFailures = 3
	// limitDecrease is what is left of the limit on own requests after a slow, busy or failed call.
	limitDecrease = 0.7
	// slowStartLimit is the limit on own requests from which good calls no longer raise it.
	slowStartLimit = 64
	// failureHalfLife is the time in which half of the failing share is forgotten without calls.
	failureHalfLife = 3 * time.Second
	// minReportedShift is the least change of a forecast that other boxes are told of: a short prompt's reading.
	minReportedShift = 20 * time.Millisecond
	// failureRateStep is how much of the failing share one call replaces: the last ten or so count.
	failureRateStep = 0.1
)

type (
	// Outcome is how a call to an endpoint ended.
	Outcome int

	// Slot is one request's place at an endpoint.
	Slot struct {
		Endpoint   willowwick.Endpoint
		pool       *Pool
		member     *member
		work       Work
		estimator  prefillEstimator
		acquiredAt time.Time
		released   bool
		permission willowwick.Permission // what it needs to be sent

		sentAt      time.Time         // when the work was sent; zero before
		uncached    willowwick.Tokens // tokens of the prompt that the endpoint has to read, as forecast
		hasForecast bool              // the model's speed was known then, and so the forecast is worth something
		prefillTime time.Duration     // forecast of how long it reads them
		due         time.Time         // forecast of when it has
		backlog     time.Duration     // forecast of how long it was still reading then
	}
)

// Outcomes of a call.
const (
	OutcomeGood Outcome = iota
	OutcomeSlow
	OutcomeBusy
	OutcomeFailed
	OutcomeError       // a whole answer that tells of a failure
	OutcomeUnreachable // nothing listens at the endpoint's address
	OutcomeCancelled
)

// MustRequestPermit reports whether a permit must be asked for before the request is sent; the caller then asks for one.
func (s *Slot) MustRequestPermit() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.permission != willowwick.PermissionToAsk {
		return false
	}
	s.permission = willowwick.PermissionHeld
	return true
}

// ReportedState reports whether the endpoint has said in its answers that it leaves, and whether it has asked for rest that has not ended.
func (s *Slot) ReportedState(now time.Time) (leaving, inBackoff bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.member.reported.leaving, s.member.reported.isInBackoff(now)
}

// EndpointRefusesWork reports whether the endpoint takes no requests since the place was taken: it leaves by now, or rests.
func (s *Slot) EndpointRefusesWork(now time.Time) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.member.refusesWork(now)
}

// Sent notes that the endpoint has the request's prompt to read, and returns what is to be told to other boxes of it.
func (s *Slot) Sent(now time.Time) (update PrefillUpdate, hasUpdate bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if len(s.work.Prompt) == 0 {
		return PrefillUpdate{}, false
	}
	prefills := &s.member.prefills
	s.sentAt, s.backlog = now, prefills.backlog(now)
	var prefillTime time.Duration
	prefillTime, s.uncached = s.estimator.estimate(now, s.member)
	s.hasForecast = prefillTime > 0 || s.uncached == 0
	prefills.enqueue(now, s, prefillTime)
	parts := s.estimator.hashes[:len(s.estimator.hashes)-1] // the last one is the request's own
	prefills.markCached(now, parts)
	return PrefillUpdate{Endpoint: uint32(s.member.hash), Duration: prefillTime, Parts: parts}, true
}

// AnswerStarted notes that the answer has begun: the prompt is read. It returns what is to be told to other boxes of it.
func (s *Slot) AnswerStarted(now time.Time) (shift PrefillUpdate, hasShift bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.member.lastAliveAt = now
	if !s.sentAt.IsZero() {
		s.pool.learnSpeed(now, s)
		s.pool.learnLateness(now, s)
		return s.shiftUpdate(s.member.prefills.complete(now, s))
	}
	return PrefillUpdate{}, false
}

// Cancelled notes that the request is taken back from the endpoint, if its answer has not begun, and returns what is to be
// told to other boxes of it.
func (s *Slot) Cancelled(now time.Time) (shift PrefillUpdate, hasShift bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.shiftUpdate(s.member.prefills.remove(now, s))
}

// TimedOut notes that the request is taken back from an endpoint that says nothing, and returns what is to be told to other
// boxes of it: that its answers come later by as much as this one would have, so that they try others meanwhile.
func (s *Slot) TimedOut(now time.Time) (shift PrefillUpdate, hasShift bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if !s.hasForecast {
		return PrefillUpdate{}, false
	}
	s.pool.learnLateness(now.Add(maxLateness), s)
	s.member.prefills.remove(now, s)
	return s.shiftUpdate(max(now.Sub(s.due), 0))
}

// shiftUpdate is what is told of a forecast that has moved by more than others would notice.
func (s *Slot) shiftUpdate(by time.Duration) (shift PrefillUpdate, hasShift bool) {
	if by.Abs() < minReportedShift {
		return PrefillUpdate{}, false
	}
	return PrefillUpdate{Endpoint: uint32(s.member.hash), Duration: by, IsShift: true}, true
}

// MarkAlive notes a sign of life of the endpoint.
func (s *Slot) MarkAlive(now time.Time) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.member.lastAliveAt = now
}

// IsSilent reports whether the endpoint has said nothing for long, and is not reading what it was sent.
func (s *Slot) IsSilent(now time.Time) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.member.isSilent(now, s.pool.options)
}

// Due is when the answer should have begun, as forecast, and how much later it may well begin; ok is false if nothing
// was forecast.
func (s *Slot) Due() (at time.Time, lateness time.Duration, ok bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.due, s.pool.lateness[s.speedKey()].Value(), s.hasForecast
}

// Forecast is how long the endpoint was still reading when the request was sent, and then read for it, as forecast.
func (s *Slot) Forecast() (backlog, prefillTime time.Duration) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.backlog, s.prefillTime
}

func (s *Slot) speedKey() speedKey {
	return speedKey{s.Endpoint.Service, s.work.Model}
}

// Release gives the place back with how the call ended; a second release changes nothing.
func (s *Slot) Release(now time.Time, outcome Outcome) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	if s.permission == willowwick.PermissionToAsk {
		s.pool.options.Limits.Unasked(s.Endpoint.ID)
	}
	s.member.prefills.remove(now, s)
	s.pool.inFlight--
	if s.member.inFlight--; s.member.inFlight == 0 {
		delete(s.pool.occupied, s.member)
	}
	// What came and went since the report takes no slot any more.
	if s.member.sentSinceReport > 0 && !s.acquiredAt.Before(s.member.load.At) {
		s.member.sentSinceReport--
	}
	s.member.recordOutcome(now, outcome)
}

// recordOutcome adapts the number of own requests that the endpoint is given at once.
func (m *member) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeGood:
		m.failures, m.isProbing = 0, false
		m.recordFailure(now, 0)
		if m.limit < slowStartLimit {
			m.limit += 1 / m.limit
		}
	case OutcomeSlow, OutcomeBusy:
		m.limit = max(1, m.limit*limitDecrease)
	case OutcomeFailed, OutcomeUnreachable:
		m.limit = max(1, m.limit*limitDecrease)
		m.failures++
		if outcome == OutcomeUnreachable {
			m.failures = max(m.failures, ejectAfterFailures) // it has ended, or has not started again
		}
		m.recordFailure(now, 1)
		if m.failures >= ejectAfterFailures && !now.Before(m.ejectedUntil) {
			m.ejectedUntil = now.Add(m.ejectionTime())
			m.isProbing = true
		}
	case OutcomeError:
		m.recordFailure(now, 1)
	}
}

// ejectionTime doubles with each failure in a row beyond the first that were needed.
func (m *member) ejectionTime() time.Duration {
	return min(maxEjection, baseEjection<<min(m.failures-ejectAfterFailures, 8))
}

func (m *member) recordFailure(now time.Time, value float64) {
	m.failureRateThen = m.failureRate(now)
	m.failureRateThen += failureRateStep * (value - m.failureRateThen)
	m.failureRateAt = now
}

// failureRate fades with time, so that an endpoint that is avoided is tried again.
func (m *member) failureRate(now time.Time) float64 {
	if m.failureRateThen == 0 {
		return 0
	}
	return m.failureRateThen * math.Exp2(-now.Sub(m.failureRateAt).Seconds()/failureHalfLife.Seconds())
}
