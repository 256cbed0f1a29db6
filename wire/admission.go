package wire

import (
	"time"

	"github.com/willowwick/willowwick/clock"
)

const (
	// maxWaitingDebt bounds for how long connections that were open before a box refused more use up what later ones may use.
	maxWaitingDebt = 500 * time.Millisecond
	// waitingLimit is the time in which a connection that is open already is accepted.
	waitingLimit = time.Millisecond
)

// Admission decides which new connections of callers a box reads: what its link carries, and what arrives in time. A nil Admission
// reads all. It isn't for connections of TLS, whose handshakes take round trips to the callers.
type Admission struct {
	link *LinkLimit // nil if the bandwidth is unknown
	pace pace
}

// NewAdmission returns the admission of a box behind a link of a bandwidth in Mbit/s, 0 if it is unknown.
func NewAdmission(mbps int) *Admission {
	return &Admission{link: NewLinkLimit(mbps)}
}

// Pace returns how many new connections a second are read at most for the time their requests take to arrive; 0 for no bound.
func (a *Admission) Pace() float64 {
	return a.pace.bound()
}

// mustRefuse reports whether no more connections may be let in.
func (a *Admission) mustRefuse(now time.Time) bool {
	isHeldUp := a.pace.mustRefuse(now)
	return a.link.mustRefuse(now) || isHeldUp
}

// admit decides on a new connection; it may use up what those of the next maxDebt may use.
func (a *Admission) admit(c *callerConn, maxDebt time.Duration) bool {
	if a == nil {
		return true
	}
	now := clock.Now()
	reserved, isAdmitted := a.link.admit(now, maxDebt)
	if !isAdmitted {
		return false
	}
	if c.cohort, isAdmitted = a.pace.admit(now, maxDebt); !isAdmitted {
		a.link.giveBack(reserved)
		return false
	}
	c.linkUse = linkUse{limit: a.link, reserved: reserved, isFirst: true}
	return true
}

// freeAt returns when new connections may be read again.
func (a *Admission) freeAt(now time.Time) time.Time {
	atLink, atPace := a.link.freeAt(now), a.pace.freeAt(now)
	if atLink.After(atPace) {
		return atLink
	}
	return atPace
}

// isLimiting reports whether only some of the new connections are read.
func (a *Admission) isLimiting(now time.Time) bool {
	return a != nil && (a.link.IsExhausted(now) || a.pace.isLimiting(now))
}

// NoteTrip records a round trip of this box's to an endpoint or another box.
func (a *Admission) NoteTrip(trip Trip) {
	a.pace.noteTrip(trip)
}

// arrived records that the first request of a connection was read.
func (a *Admission) arrived(c *callerConn, took time.Duration) {
	if a != nil {
		a.pace.arrived(c.cohort, took)
	}
}

// left records that a connection was closed before a request was read from it.
func (a *Admission) left(c *callerConn) {
	if a != nil {
		a.pace.left(c.cohort)
	}
}
