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
	// leastShift is the least change of a forecast that other boxes are told of: a short prompt's reading.
	leastShift = 20 * time.Millisecond
	// failingFade is how much of the failing share one call replaces: the last ten or so count.
	failingFade = 0.1
)

type (
	// Outcome is how a call to an endpoint ended.
	Outcome int

	// Place is one request's place at an endpoint.
	Place struct {
		Endpoint   willowwick.Endpoint
		pool       *Pool
		member     *member
		work       Work
		prompt     reading
		taken      time.Time
		released   bool
		permission willowwick.PermitState // what it needs to be sent

		sentAt  time.Time         // when the work was sent; zero before
		unread  willowwick.Tokens // tokens of the prompt that the endpoint has to read, as forecast
		known   bool              // the model's speed was known then, and so the forecast is worth something
		reading time.Duration     // forecast of how long it reads them
		due     time.Time         // forecast of when it has
		ahead   time.Duration     // forecast of how long it was still reading then
	}
)

// Outcomes of a call.
const (
	OutcomeGood Outcome = iota
	OutcomeSlow
	OutcomeBusy
	OutcomeFailed
	OutcomeError     // a whole answer that tells of a failure
	OutcomeUnreached // nothing listens at the endpoint's address
	OutcomeCancelled
)

// MustAsk reports whether a permit must be asked for before the request is sent; the caller then asks for one.
func (p *Place) MustAsk() bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.permission != willowwick.PermitRequired {
		return false
	}
	p.permission = willowwick.PermitHeld
	return true
}

// Noticed reports whether the endpoint has said in its answers that it leaves, and whether it has asked for rest that has not ended.
func (p *Place) Noticed(now time.Time) (leaves, rests bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.member.said.leaving, p.member.said.isResting(now)
}

// IsWithheld reports whether the endpoint takes no requests since the place was taken: it leaves by now, or rests.
func (p *Place) IsWithheld(now time.Time) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.member.isWithheld(now)
}

// Sent notes that the endpoint has the request's prompt to read, and returns what is to be told to other boxes of it.
func (p *Place) Sent(now time.Time) (reading Reading, isReading bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if len(p.work.Prompt) == 0 {
		return Reading{}, false
	}
	reader := &p.member.reader
	p.sentAt, p.ahead = now, reader.ahead(now)
	var length time.Duration
	length, p.unread = p.prompt.at(now, p.member)
	p.known = length > 0 || p.unread == 0
	reader.push(now, p, length)
	parts := p.prompt.names[:len(p.prompt.names)-1] // the last one is the request's own
	reader.keep(now, parts)
	return Reading{Endpoint: uint32(p.member.hash), Length: length, Parts: parts}, true
}

// Begun notes that the answer has begun: the prompt is read. It returns what is to be told to other boxes of it.
func (p *Place) Begun(now time.Time) (shift Reading, isShift bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.member.heardAt = now
	if !p.sentAt.IsZero() {
		p.pool.learnSpeed(now, p)
		p.pool.learnLateness(now, p)
		return p.shift(p.member.reader.begun(now, p))
	}
	return Reading{}, false
}

// Withdrawn notes that the request is taken back from the endpoint, if its answer has not begun, and returns what is to be
// told to other boxes of it.
func (p *Place) Withdrawn(now time.Time) (shift Reading, isShift bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.shift(p.member.reader.drop(now, p))
}

// HeldUp notes that the request is taken back from an endpoint that says nothing, and returns what is to be told to other
// boxes of it: that its answers come later by as much as this one would have, so that they try others meanwhile.
func (p *Place) HeldUp(now time.Time) (shift Reading, isShift bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if !p.known {
		return Reading{}, false
	}
	p.pool.learnLateness(now.Add(mostLateness), p)
	p.member.reader.drop(now, p)
	return p.shift(max(now.Sub(p.due), 0))
}

// shift is what is told of a forecast that has moved by more than others would notice.
func (p *Place) shift(by time.Duration) (shift Reading, isShift bool) {
	if by.Abs() < leastShift {
		return Reading{}, false
	}
	return Reading{Endpoint: uint32(p.member.hash), Length: by, IsShift: true}, true
}

// Heard notes a sign of life of the endpoint.
func (p *Place) Heard(now time.Time) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.member.heardAt = now
}

// IsQuiet reports whether the endpoint has said nothing for long, and is not reading what it was sent.
func (p *Place) IsQuiet(now time.Time) bool {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.member.isQuiet(now, p.pool.options)
}

// Due is when the answer should have begun, as forecast, and how much later it may well begin; ok is false if nothing
// was forecast.
func (p *Place) Due() (at time.Time, lateness time.Duration, ok bool) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.due, p.pool.lateness[p.speedKey()].Value(), p.known
}

// Forecast is how long the endpoint was still reading when the request was sent, and then read for it, as forecast.
func (p *Place) Forecast() (ahead, reading time.Duration) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.ahead, p.reading
}

func (p *Place) speedKey() speedKey {
	return speedKey{p.Endpoint.Service, p.work.Model}
}

// Release gives the place back with how the call ended; a second release changes nothing.
func (p *Place) Release(now time.Time, outcome Outcome) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	if p.permission == willowwick.PermitRequired {
		p.pool.options.Limits.CancelPending(p.Endpoint.ID)
	}
	p.member.reader.drop(now, p)
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
	case OutcomeFailed, OutcomeUnreached:
		m.limit = max(1, m.limit*limitDecrease)
		m.failures++
		if outcome == OutcomeUnreached {
			m.failures = max(m.failures, suspectAfter) // it has ended, or has not started again
		}
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
