package lease

import "time"

const (
	// paceShare is the share of the API's rate limit that is used; the rest is for the last calls of a former holder.
	paceShare = 0.8
	// burstShare is the share of that which is used for bursts.
	burstShare = 0.5
	// rejectedPause is the time without calls after the API rejected one for its load.
	rejectedPause = 500 * time.Millisecond
	// minFailurePause and maxFailurePause bound the time without calls after some got no answer; it doubles with each.
	minFailurePause = 250 * time.Millisecond
	maxFailurePause = 2 * time.Second
)

// Pace keeps the calls of one box within the API's rate limit, as a token bucket, and pauses them after failures.
type Pace struct {
	callsPerS   float64 // 0 for unlimited
	burst       float64
	tokens      float64
	filledAt    time.Time
	pausedUntil time.Time // no calls before
	failures    int
}

// NewPace returns the pace for a limit in calls per second, 0 for none.
func NewPace(limitPerS float64, now time.Time) *Pace {
	share := limitPerS * paceShare
	burst := max(share*burstShare, 1)
	return &Pace{callsPerS: share * (1 - burstShare), burst: burst, tokens: 1, filledAt: now}
}

// Take takes a token for one call, or returns how long to wait before the next try.
func (p *Pace) Take(now time.Time) (wait time.Duration) {
	if p.callsPerS <= 0 {
		return 0
	}
	p.tokens = min(p.burst, p.tokens+now.Sub(p.filledAt).Seconds()*p.callsPerS)
	p.filledAt = now
	if p.tokens < 1 {
		return time.Duration((1 - p.tokens) / p.callsPerS * float64(time.Second))
	}
	p.tokens--
	return 0
}

// IsPaused reports whether no call should be made now, since the last ones were rejected or got no answer.
func (p *Pace) IsPaused(now time.Time) bool {
	return now.Before(p.pausedUntil)
}

// Ended records the outcome of a call.
func (p *Pace) Ended(outcome Outcome, now time.Time) {
	switch outcome {
	case OutcomeExecuted, OutcomeNoCapacity, OutcomeFenced:
		p.failures = 0
	case OutcomeRejected:
		p.pausedUntil = now.Add(rejectedPause)
	case OutcomeUnknown, OutcomeNotSent:
		// A single answer may be lost; from the second on the API itself may be out of reach.
		if p.failures++; p.failures > 1 {
			p.pausedUntil = now.Add(min(minFailurePause<<min(p.failures-2, 8), maxFailurePause))
		}
	}
}
