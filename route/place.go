package route

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// suspectFor is how long an endpoint is first avoided after failures, suspectMost the longest time.
	suspectFor  = 2 * time.Second
	suspectMost = 16 * time.Second
	// suspectAfter is how many failures in a row bring an endpoint under suspicion.
	suspectAfter = 3
	// limitDecrease is what is left of the limit on own requests after a slow, busy or failed call.
	limitDecrease = 0.7
	// slowStartLimit is the limit on own requests from which good calls no longer raise it.
	slowStartLimit = 64
	// failingHalf is the time in which half of the failing share is forgotten without calls.
	failingHalf = 3 * time.Second
	// failingFade is how much of the failing share one call replaces: the last ten or so count.
	failingFade = 0.1
)

type (
	// Outcome is how a call to an endpoint ended.
	Outcome int

	// Place is one request's place at an endpoint.
	Place struct {
		Endpoint willowwick.Endpoint
		pool     *Pool
		member   *member
		taken    time.Time
		weight   float64 // part of the endpoint's pending work
		released bool
	}
)

// Outcomes of a call.
const (
	OutcomeGood Outcome = iota
	OutcomeSlow
	OutcomeBusy
	OutcomeFailed
	OutcomeError // a whole answer that tells of a failure
	OutcomeCancelled
)

// Expect notes that the endpoint has work worth so many slots to do before the request begins to run.
func (p *Place) Expect(slots float64) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.weight = slots
	p.member.pending += slots
}

// Begun notes that the request runs, and so counts as one slot.
func (p *Place) Begun(now time.Time) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.member.heardAt = now
	p.begun()
}

func (p *Place) begun() {
	p.member.pending = max(0, p.member.pending-p.weight)
	p.weight = 0
}

// Heard notes a sign of life of the endpoint.
func (p *Place) Heard(now time.Time) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.member.heardAt = now
}

// IsQuiet reports whether the endpoint owes an answer and has said nothing for long.
func (p *Place) IsQuiet(now time.Time) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return now.Sub(p.member.heardAt) > p.pool.options.QuietAfter
}

// Release gives the place back with how the call ended; a second release changes nothing.
func (p *Place) Release(now time.Time, outcome Outcome) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	p.begun()
	p.pool.inFlight--
	if p.member.inFlight--; p.member.inFlight == 0 {
		delete(p.pool.busy, p.member)
	}
	// What came and went since the report takes no slot any more.
	if p.member.recent > 0 && !p.taken.Before(p.member.load.At) {
		p.member.recent--
	}
	p.member.learn(now, outcome)
}

// learn adapts the number of own requests that the endpoint is given at once.
func (m *member) learn(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeGood:
		m.failures, m.trial = 0, false
		m.noteFailing(now, 0)
		if m.limit < slowStartLimit {
			m.limit += 1 / m.limit
		}
	case OutcomeSlow, OutcomeBusy:
		m.limit = max(1, m.limit*limitDecrease)
	case OutcomeFailed:
		m.limit = max(1, m.limit*limitDecrease)
		m.failures++
		m.noteFailing(now, 1)
		if m.failures >= suspectAfter && !now.Before(m.suspectUntil) {
			m.suspectUntil = now.Add(m.suspicion())
			m.trial = true
		}
	case OutcomeError:
		m.noteFailing(now, 1)
	}
}

// suspicion doubles with each failure in a row beyond the first that were needed.
func (m *member) suspicion() time.Duration {
	return min(suspectMost, suspectFor<<min(m.failures-suspectAfter, 8))
}

func (m *member) noteFailing(now time.Time, value float64) {
	m.failing = m.failingShare(now)
	m.failing += failingFade * (value - m.failing)
	m.failingAt = now
}

// failingShare fades with time, so that an endpoint that is avoided is tried again.
func (m *member) failingShare(now time.Time) float64 {
	if m.failing == 0 {
		return 0
	}
	return m.failing * math.Exp2(-now.Sub(m.failingAt).Seconds()/failingHalf.Seconds())
}
