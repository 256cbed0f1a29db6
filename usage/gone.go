package usage

import (
	"maps"
	"time"

	"github.com/willowwick/willowwick"
)

// A box that is silent may be cut off and serve on, so a start of a box counts as gone only on evidence: nothing listens
// at its address, or neither the other boxes nor the store hear of it.

// farFuture is later than any time of day.
var farFuture = time.Unix(1<<40, 0)

// isGone reports whether others found that the start had ended, and it has told nothing since.
func (o *origin) isGone() bool {
	return o.goneBy.After(o.until)
}

// mayCountUntil returns until when the start may have counted what it has not told.
func (o *origin) mayCountUntil() time.Time {
	switch {
	case o.ended:
		return o.until
	case o.isGone():
		return later(o.until.Add(restartLoss), o.goneBy)
	default:
		return farFuture
	}
}

// setGone records that a start had ended by a time, and reports whether that is new; the caller holds the lock.
func (l *Ledger) setGone(o *origin, by time.Time) (isNew bool) {
	isKnown := o.isGone() && !by.Before(o.goneBy)
	if o == l.own || o.ended || isKnown || !by.After(o.until) {
		return false
	}
	l.revision++
	o.goneBy, o.stateAt = by, l.revision
	return true
}

// NoteRefused records that nothing listened at the address of a box at a time: what was started there before has ended.
func (l *Ledger) NoteRefused(address string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, isRefused := l.refused[address]
	for _, o := range l.origins {
		if o.address != address {
			continue
		}
		l.setGone(o, at)
		isRefused = isRefused && !o.until.After(first) // it was started again since
	}
	if !isRefused {
		l.refused[address] = at
	}
}

// applyRefusal records of a start of which another box has told whether nothing listened at its address since; the caller
// holds the lock.
func (l *Ledger) applyRefusal(o *origin) {
	if at, isRefused := l.refused[o.address]; isRefused {
		l.setGone(o, at)
	}
}

// forgetRefusals drops refusals from before a time; the caller holds the lock.
func (l *Ledger) forgetRefusals(before time.Time) {
	maps.DeleteFunc(l.refused, func(_ string, at time.Time) bool { return at.Before(before) })
}

// NoteSilence records that this box hears from all that reach the store for themselves: on a hub, starts of which nobody
// has heard for silentTime then count as gone, and their boxes are returned. A box that is cut off from the others alone
// would reach the store for itself.
func (l *Ledger) NoteSilence(now time.Time) (gone []willowwick.BoxID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.collectingSince.IsZero() || l.isNewHub(now) {
		return nil
	}
	for _, o := range l.origins {
		if now.Sub(o.until) >= silentTime && l.setGone(o, now) {
			gone = append(gone, o.box)
		}
	}
	return gone
}

// isNewHub reports whether this box became a hub a moment ago; the caller holds the lock.
func (l *Ledger) isNewHub(now time.Time) bool {
	return !l.collectingSince.IsZero() && now.Before(l.hubSince.Add(hearTime))
}
