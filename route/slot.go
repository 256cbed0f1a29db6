package route

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// baseEjection is how long an endpoint is first avoided after repeated failures, maxEjection the longest time.
	baseEjection = 2 * time.Second
	maxEjection  = 16 * time.Second
	// ejectAfterFailures is how many consecutive failures eject an endpoint.
	ejectAfterFailures = 3
	// limitDecrease is the factor by which a slow, busy or failed call lowers member.limit.
	limitDecrease = 0.7
	// maxLimit is the value from which on good calls no longer raise member.limit.
	maxLimit = 64
	// failureHalfLife is the time in which the failure rate halves if there are no calls.
	failureHalfLife = 3 * time.Second
	// minReportedShift is the least shift of a forecast that is reported to other boxes: the prefill of a short
	// prompt.
	minReportedShift = 20 * time.Millisecond
	// failureRateStep is the weight of one call in the failure rate, so that about the last 10 count.
	failureRateStep = 0.1
)

type (
	// Outcome is how a call to an endpoint ended.
	Outcome int

	// LoadView is what a box knew of an endpoint's load when it chose the endpoint for a request.
	LoadView struct {
		Reported        willowwick.EndpointLoad // the newest load report; zero if there was none
		InFlight        int                     // this box's requests at the endpoint, without the new one
		SentSinceReport int                     // those of them that the report doesn't count
	}

	// Slot is a request's reservation at an endpoint.
	Slot struct {
		Endpoint   willowwick.Endpoint
		pool       *Pool
		member     *member
		work       Work
		estimator  prefill
		acquiredAt time.Time
		released   bool
		isVacated  bool // see Vacate
		// isUnreserved is set while the request must not be sent before Reserve.
		isUnreserved bool
		isReserved   bool                   // Reserve has succeeded
		isUnfinished bool                   // see MarkUnfinished
		permit       willowwick.PermitState // whether the request still needs a permit before it is sent
		view         LoadView

		sentAt      time.Time         // when the request was sent; zero before, and if it has no prompt
		uncached    willowwick.Tokens // forecast number of prompt tokens that the endpoint has not cached and must read
		hasForecast bool              // the prefill time was known when the request was sent
		prefill     time.Duration     // forecast time to read them
		due         time.Time         // forecast time at which the prompt is read, and the answer begins
		backlog     time.Duration     // forecast of the endpoint's backlog when the request was sent
	}
)

// Outcomes of a call.
const (
	OutcomeGood Outcome = iota
	OutcomeSlow
	OutcomeBusy
	OutcomeFailed
	OutcomeError       // a complete answer that reports a failure
	OutcomeUnreachable // nothing listens at the endpoint's address
	OutcomeCancelled
)

// LoadView returns what was known of the endpoint's load when it was chosen.
func (s *Slot) LoadView() LoadView {
	return s.view
}

// MustRequestPermit reports whether the caller must request a permit before it sends the request. It returns true
// only once, and counts the permit as held from then on.
func (s *Slot) MustRequestPermit() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.permit != willowwick.PermitRequired {
		return false
	}
	s.permit = willowwick.PermitHeld
	return true
}

// ReportedState reports whether the endpoint is known to be draining, and whether it is in a backoff that it asked
// for.
func (s *Slot) ReportedState(now time.Time) (isDraining, inBackoff bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.member.reportedState.draining, s.member.reportedState.isInBackoff(now)
}

// EndpointRefusesWork reports whether the endpoint accepts no work now, since it is out of service or in backoff; that
// may have begun after the slot was acquired.
func (s *Slot) EndpointRefusesWork(now time.Time) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.member.refusesWork(now)
}

// Sent records that the request was sent, and returns the update for other boxes if it has a prompt.
func (s *Slot) Sent(now time.Time) (update PrefillUpdate, hasUpdate bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if len(s.work.Prompt) == 0 {
		return PrefillUpdate{}, false
	}
	prefillQueue := &s.member.prefillQueue
	s.sentAt, s.backlog = now, prefillQueue.backlog(now)
	var prefillTime time.Duration
	prefillTime, s.uncached = s.estimator.estimate(now, s.member)
	s.hasForecast = prefillTime > 0 || s.uncached == 0
	prefillQueue.enqueue(now, s, prefillTime)
	parts := s.estimator.hashes[:len(s.estimator.hashes)-1] // the last one is unique to the request
	prefillQueue.markCached(now, parts)
	return PrefillUpdate{Endpoint: uint32(s.member.hash), Hall: s.Endpoint.Hall, Added: prefillTime, Parts: parts}, true
}

// AnswerStarted records that the answer has begun, so the prompt is read, and returns the update for other boxes.
func (s *Slot) AnswerStarted(now time.Time) (shiftUpdate PrefillUpdate, hasShift bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.member.lastAliveAt = now
	if !s.sentAt.IsZero() {
		s.pool.learnSpeed(now, s)
		s.pool.learnLateness(now, s)
		return s.shiftUpdate(s.member.prefillQueue.complete(now, s))
	}
	return PrefillUpdate{}, false
}

// Cancelled records that the request was withdrawn from the endpoint. It returns the update for other boxes if the
// answer had not begun.
func (s *Slot) Cancelled(now time.Time) (shiftUpdate PrefillUpdate, hasShift bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.shiftUpdate(s.member.prefillQueue.remove(now, s))
}

// TimedOut records that the request was withdrawn from a silent endpoint, and learns its lateness as if the answer
// began maxLateness from now. It returns an update that delays the endpoint's forecast by as much as the answer is
// overdue, so that other boxes try other endpoints meanwhile.
func (s *Slot) TimedOut(now time.Time) (shiftUpdate PrefillUpdate, hasShift bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if !s.hasForecast {
		return PrefillUpdate{}, false
	}
	s.pool.learnLateness(now.Add(maxLateness), s)
	s.member.prefillQueue.remove(now, s)
	return s.shiftUpdate(max(now.Sub(s.due), 0))
}

// shiftUpdate returns the update for a shift of the forecast; there is none for less than minReportedShift.
func (s *Slot) shiftUpdate(by time.Duration) (shiftUpdate PrefillUpdate, hasShift bool) {
	if by.Abs() < minReportedShift {
		return PrefillUpdate{}, false
	}
	return PrefillUpdate{Endpoint: uint32(s.member.hash), Hall: s.Endpoint.Hall, Added: by, IsShift: true}, true
}

// MarkAlive records that data arrived from the endpoint.
func (s *Slot) MarkAlive(now time.Time) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.member.lastAliveAt = now
}

// IsSilent reports whether the endpoint has been silent for longer than SilentAfter while it is not reading a prompt.
func (s *Slot) IsSilent(now time.Time) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.member.isSilent(now, s.pool.options)
}

// Due returns when the answer should have begun by the forecast, and how much later it may begin; ok is false without
// a forecast.
func (s *Slot) Due() (at time.Time, lateness time.Duration, ok bool) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.due, s.pool.lateness[s.speedKey()].Value(), s.hasForecast
}

// Forecast returns the endpoint's forecast backlog when the request was sent, and the forecast prefill time of the
// request.
func (s *Slot) Forecast() (backlog, prefill time.Duration) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.backlog, s.prefill
}

func (s *Slot) speedKey() speedKey {
	return speedKey{s.Endpoint.Service, s.work.Model}
}

// Vacate frees the slot of a request that has ended at its endpoint, before it is known how; Release records that later. It reports whether
// the slot was in use.
func (s *Slot) Vacate(now time.Time) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.released || s.isVacated {
		return false
	}
	s.isVacated = true
	s.vacate()
	s.leave(now)
	return true
}

// Release frees the slot and records how the call ended; later calls do nothing.
func (s *Slot) Release(now time.Time, outcome Outcome) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	if s.permit == willowwick.PermitRequired {
		s.pool.options.Limits.CancelPending(s.Endpoint.ID)
	}
	s.member.prefillQueue.remove(now, s)
	if s.isVacated {
		s.member.recordOutcome(now, outcome)
		return
	}
	s.vacate()
	s.member.recordOutcome(now, outcome)
	s.leave(now)
}

// occupy takes a slot of the endpoint; the caller holds the lock.
func (s *Slot) occupy(now time.Time, m *member) {
	if m.inFlight == 0 {
		m.lastAliveAt = now
	}
	s.pool.startColdPause(now, m)
	s.Endpoint, s.member = m.endpoint, m
	s.permit = s.pool.options.Limits.Acquire(now, m.endpoint.ID)
	s.view = LoadView{Reported: m.load, InFlight: m.inFlight, SentSinceReport: m.sentSinceReport}
	m.inFlight++
	m.sentSinceReport++
	s.pool.inFlight++
	s.pool.occupied[m] = true
}

// vacate gives the slot back to its endpoint; the caller holds the lock.
func (s *Slot) vacate() {
	s.pool.inFlight--
	if s.member.inFlight--; s.member.inFlight == 0 {
		delete(s.pool.occupied, s.member)
	}
	// The last load report does not include a request that acquired its slot later; now that the request has ended,
	// it must not be added to the report any more.
	if s.member.sentSinceReport > 0 && !s.acquiredAt.Before(s.member.load.At) {
		s.member.sentSinceReport--
	}
}

// recordOutcome updates member.limit, the failure rate and the ejection by the outcome of a call.
func (m *member) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeGood:
		m.failures, m.isProbing, m.hasAnswered = 0, false, true
		m.recordFailure(now, 0)
		if m.limit < maxLimit {
			m.limit += 1 / m.limit
		}
	case OutcomeSlow, OutcomeBusy:
		m.hasAnswered = true
		m.limit = max(1, m.limit*limitDecrease)
	case OutcomeFailed, OutcomeUnreachable:
		m.limit = max(1, m.limit*limitDecrease)
		m.failures++
		if outcome == OutcomeUnreachable {
			m.failures = max(m.failures, ejectAfterFailures) // it crashed or has not restarted
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

// ejectionTime doubles with each consecutive failure beyond ejectAfterFailures, up to maxEjection.
func (m *member) ejectionTime() time.Duration {
	return min(maxEjection, baseEjection<<min(m.failures-ejectAfterFailures, 8))
}

func (m *member) recordFailure(now time.Time, value float64) {
	m.lastFailureRate = m.failureRate(now)
	m.lastFailureRate += failureRateStep * (value - m.lastFailureRate)
	m.lastFailureRateAt = now
}

// failureRate returns the failure rate, which decays with time so that an avoided endpoint is tried again.
func (m *member) failureRate(now time.Time) float64 {
	if m.lastFailureRate == 0 {
		return 0
	}
	return m.lastFailureRate * math.Exp2(-now.Sub(m.lastFailureRateAt).Seconds()/failureHalfLife.Seconds())
}
