package lease

import (
	"time"

	"github.com/willowwick/willowwick"
)

// outcomeNames are used in metrics.
var outcomeNames = map[Outcome]string{
	OutcomeUnknown: "unknown", OutcomeNotSent: "not_sent", OutcomeRejected: "rejected", OutcomeFenced: "fenced",
	OutcomeNoCapacity: "no_capacity", OutcomeAnswered: "executed",
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Holds reports whether this box may call now.
func (l *Lease) Holds(now time.Time) bool {
	l.expire(now)
	return l.holds && l.isRead && !l.outdated && !now.Before(l.actsAt)
}

// HoldsGrant reports whether the newest grant is this box's, although it may have to wait before it calls.
func (l *Lease) HoldsGrant(now time.Time) bool {
	l.expire(now)
	return l.holds
}

// ValidUntil returns when the box has to end its calls unless its membership is renewed.
func (l *Lease) ValidUntil() time.Time {
	return l.validUntil
}

// Token returns the token of this box's newest grant.
func (l *Lease) Token() willowwick.FencingToken {
	return l.token
}

// ActsAt returns when the box may make its first call.
func (l *Lease) ActsAt() time.Time {
	return l.actsAt
}

// Former returns the holder before this box's newest grant; it is empty if there was none.
func (l *Lease) Former() willowwick.BoxID {
	return l.former
}

// Why says why the state changed last.
func (l *Lease) Why() string {
	return l.why
}

// End returns the end of the topic as this box knows it.
func (l *Lease) End() willowwick.Position {
	return l.known.End
}

// Outdated records that the topic may hold more than this box knows, since another write failed; it is read again.
func (l *Lease) Outdated() {
	l.isRead = false
}

// Appended records that this box has written another record to the topic.
func (l *Lease) Appended(end willowwick.Position) {
	l.known.End = end
}

// BeginCall returns the token for a call that is made right after, if it may be made.
//
// Until EndCall says otherwise the outcome of the call is unknown.
func (l *Lease) BeginCall(subject willowwick.DutySubject, now time.Time) (willowwick.FencingToken, Verdict) {
	switch {
	case !l.Holds(now):
		return 0, NotHolder
	case l.isSpent(subject, l.token):
		return 0, NeedsToken
	}
	l.spent[subject] = l.token
	l.running++
	return l.token, MayCall
}

// RequireToken makes Next ask for a new grant unless the token is still usable on the subject.
func (l *Lease) RequireToken(subject willowwick.DutySubject) {
	if l.holds && l.isSpent(subject, l.token) {
		l.outdated = true
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
		// The status is that of a call that was fenced.
		l.isRead = l.isRead && now.Before(l.readAt.Add(noCapacityReadAge))
		l.answeredAt = now
		l.failures = 0
	case OutcomeAnswered:
		l.answeredAt = now
		l.failures = 0
	case OutcomeRejected:
		l.failures = 0
	}
	if l.spent[subject] == token {
		delete(l.spent, subject)
	}
}

func (l *Lease) noteFailure(now time.Time) {
	if l.failures == 0 {
		l.failingSince = now
	}
	l.failures++
}

// isSpent reports whether a call with the token could be executed after, or beside, one that was sent before.
func (l *Lease) isSpent(subject willowwick.DutySubject, token willowwick.FencingToken) bool {
	spent, found := l.spent[subject]
	return found && token <= spent
}

// ShouldStepAside reports whether the API has not been reached for so long, while the store is, that another box should try.
func (l *Lease) ShouldStepAside(now time.Time) bool {
	return l.Holds(now) && l.failures >= stepAsideCalls && !now.Before(l.failingSince.Add(stepAsideAfter))
}

// StepAside gives up the lease, and leaves it to others for a while.
func (l *Lease) StepAside(now time.Time) {
	l.Left("the API is not reached", now)
	l.failures = 0
	l.asideUntil = now.Add(asideTime)
}

// IsAside reports whether this box leaves the lease to others, and stays out of the group for that.
func (l *Lease) IsAside(now time.Time) bool {
	return l.stopped || now.Before(l.asideUntil)
}
