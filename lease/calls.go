package lease

import (
	"time"

	"github.com/willowwick/willowwick"
)

// outcomeNames are used in metrics.
var outcomeNames = map[Outcome]string{
	OutcomeUnknown: "unknown", OutcomeNotSent: "not_sent", OutcomeRejected: "rejected", OutcomeFenced: "fenced",
	OutcomeNoCapacity: "no_capacity", OutcomeExecuted: "executed",
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// BeginCall returns the token for a call that is made right after, if it may be made.
//
// Until EndCall says otherwise the outcome of the call is unknown.
func (l *Lease) BeginCall(subject willowwick.DutySubject, now time.Time) (willowwick.FencingToken, Verdict) {
	switch {
	case !l.Holds(now):
		return 0, NotHolder
	case !l.isUsable(subject, l.token):
		return 0, NeedsToken
	}
	l.unusableTokens[subject] = l.token
	l.running++
	return l.token, MayCall
}

// RequireToken makes Next ask for a new grant unless the token is still usable on the subject.
func (l *Lease) RequireToken(subject willowwick.DutySubject) {
	if l.holds && !l.isUsable(subject, l.token) {
		l.needsToken = true
	}
}

// EndCall records the outcome of a call that BeginCall allowed.
func (l *Lease) EndCall(subject willowwick.DutySubject, token willowwick.FencingToken, outcome Outcome, now time.Time) {
	l.running--
	switch outcome {
	case OutcomeUnknown:
		l.unknownAt = now
		l.noteFailure(now)
		return
	case OutcomeNotSent:
		l.noteFailure(now)
	case OutcomeFenced:
		l.failures = 0
		l.isRead = false
		return
	case OutcomeNoCapacity:
		// The API answers a fenced call with the same status.
		l.isRead = l.isRead && now.Before(l.readAt.Add(noCapacityReadAge))
		l.answeredAt = now
		l.failures = 0
	case OutcomeExecuted:
		l.answeredAt = now
		l.failures = 0
	case OutcomeRejected:
		l.failures = 0
	}
	if l.unusableTokens[subject] == token {
		delete(l.unusableTokens, subject)
	}
}

func (l *Lease) noteFailure(now time.Time) {
	if l.failures == 0 {
		l.failingSince = now
	}
	l.failures++
}

// isUsable reports whether the API, once it has seen the token, rejects all earlier calls on the subject that may still be
// executed.
func (l *Lease) isUsable(subject willowwick.DutySubject, token willowwick.FencingToken) bool {
	unusable, found := l.unusableTokens[subject]
	return !found || token > unusable
}

// ShouldStepDown reports whether this holder has not reached the API for so long that another box should try.
func (l *Lease) ShouldStepDown(now time.Time) bool {
	return l.Holds(now) && l.failures >= stepDownFailures && !now.Before(l.failingSince.Add(stepDownAfter))
}

// StepDown gives up the lease, and keeps this box from taking it again for stepDownTime.
func (l *Lease) StepDown(now time.Time) {
	l.Left("the API is not reached", now)
	l.failures = 0
	l.steppedDownUntil = now.Add(stepDownTime)
}

// HasSteppedDown reports whether this box may not become the candidate, for a time after StepDown or for good after Stop.
func (l *Lease) HasSteppedDown(now time.Time) bool {
	return l.stopped || now.Before(l.steppedDownUntil)
}
