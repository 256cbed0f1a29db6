package lease

import "time"

const (
	// paceShare of the rate that the API takes is used, half of it for bursts, so that a former holder's last calls fit too.
	paceShare  = 0.8
	burstShare = 0.5
	// rejectedPause is the time without calls after the API rejected one for its load; after calls without an answer it
	// doubles from minFailurePause to maxFailurePause.
	rejectedPause   = 500 * time.Millisecond
	minFailurePause = 250 * time.Millisecond
	maxFailurePause = 2 * time.Second
)

// Pace spreads the calls of one box within the rate that the API takes.
type Pace struct {
	perS     float64 // 0 for unlimited
	burst    float64
	tokens   float64
	filledAt time.Time
	pausedTo time.Time // no calls before
	failures int
}

// NewPace returns the pace for a limit in calls per second, 0 for none.
func NewPace(limitPerS float64, now time.Time) *Pace {
	share := limitPerS * paceShare
	burst := max(share*burstShare, 1)
	return &Pace{perS: share * (1 - burstShare), burst: burst, tokens: 1, filledAt: now}
}

// Take takes the right to one call, or returns how long to wait before the next try.
func (p *Pace) Take(now time.Time) (wait time.Duration) {
	if p.perS <= 0 {
		return 0
	}
	p.tokens = min(p.burst, p.tokens+now.Sub(p.filledAt).Seconds()*p.perS)
	p.filledAt = now
	if p.tokens < 1 {
		return time.Duration((1 - p.tokens) / p.perS * float64(time.Second))
	}
	p.tokens--
	return 0
}

// IsPaused reports whether no call should be made now, since the last ones were rejected or got no answer.
func (p *Pace) IsPaused(now time.Time) bool {
	return now.Before(p.pausedTo)
}

// Ended records the outcome of a call.
func (p *Pace) Ended(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeAnswered, OutcomeNoCapacity, OutcomeFenced:
		p.failures = 0
	case OutcomeRejected:
		p.pausedTo = now.Add(rejectedPause)
	case OutcomeUnknown, OutcomeNotSent:
		// A single answer may be lost; from the second on the API itself may be out of reach.
		if p.failures++; p.failures > 1 {
			p.pausedTo = now.Add(min(minFailurePause<<min(p.failures-2, 8), maxFailurePause))
		}
	}
}
