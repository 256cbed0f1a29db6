package wire

import (
	"time"

	"github.com/willowwick/willowwick/clock"
)

// admission decides which new connections of callers a box reads.
type admission struct {
	link *LinkLimit // nil if the bandwidth is unknown
	pace pace
}

// admit decides on a new connection.
func (a *admission) admit(c *callerConn) bool {
	now := clock.Now()
	reserved, isAdmitted := a.link.admit(now)
	if !isAdmitted {
		return false
	}
	if c.cohort, isAdmitted = a.pace.admit(now); !isAdmitted {
		a.link.giveBack(reserved)
		return false
	}
	c.linkUse = linkUse{limit: a.link, reserved: reserved, isFirst: true}
	return true
}

// freeAt returns when new connections may be read again.
func (a *admission) freeAt(now time.Time) time.Time {
	atLink, atPace := a.link.freeAt(now), a.pace.freeAt(now)
	if atLink.After(atPace) {
		return atLink
	}
	return atPace
}
