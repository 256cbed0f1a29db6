package lease

import (
	"time"

	"github.com/willowwick/willowwick"
)

// Holds reports whether this box may call now.
func (l *Lease) Holds(now time.Time) bool {
	l.expire(now)
	return l.holds && l.isRead && !l.needsToken && !now.Before(l.actsAt)
}

// HoldsGrant reports whether the newest grant is this box's, although it may have to wait before it calls.
func (l *Lease) HoldsGrant(now time.Time) bool {
	l.expire(now)
	return l.holds
}

// ValidUntil returns when this box has to end its calls unless its membership is renewed; it is zero if it isn't the candidate.
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

// Why returns the reason of the last change of the state, for the log.
func (l *Lease) Why() string {
	return l.why
}

// End returns the end of the topic as this box knows it.
func (l *Lease) End() willowwick.Position {
	return l.known.End
}

// RequireRead makes Next ask for a read of the topic, which may hold more than this box knows.
func (l *Lease) RequireRead() {
	l.isRead = false
}

// Appended records that this box has written another record to the topic.
func (l *Lease) Appended(end willowwick.Position) {
	l.known.End = end
}
