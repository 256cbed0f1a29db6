package exchange

import (
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
)

// writtenAgainWithin is how long after a store came back from a copy of itself what the copy lacks of the operator's declarations may
// be missing. Boxes are held to what was declared again once the store has been well for three to four seconds.
const writtenAgainWithin = 4 * time.Second

// noteEra notes the era of the store that something known is of. A new one begins with a copy that lacks what was written last: what
// endpoints and the operator wrote, they write again; what boxes wrote, they have to.
func (s *syncer) noteEra(at willowwick.Position, now time.Time, source string) {
	former, isNew := s.enterEra(at.Era(), now)
	if !isNew {
		return
	}
	x := s.router
	x.metrics.eraBegan()
	rewritten := x.releases.beginEra(at.Era(), now) + x.harm.MarkRefusedPending()
	slog.Warn("store has come back from a copy of itself", "era", at.Era(), "former", former, "source", source,
		"endpoints_read_to", s.endpointsAt(), "declarations_read_to", x.evacuations.newest().asOf, "to_write_again", rewritten)
}

// enterEra takes an era if it is later than the one that is known, and reports whether a store that was known has begun it.
func (s *syncer) enterEra(era willowwick.Era, now time.Time) (former willowwick.Era, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= s.era {
		return s.era, false
	}
	former, s.era = s.era, era
	if !s.known {
		return former, false // the box has just started
	}
	// Endpoints whose entries the copy lacks are back as soon as after an outage.
	s.blindAt = now
	s.restoredAt = now.Add(writtenAgainWithin)
	return former, true
}

// isCurrent reports whether a position is of the newest era that is known.
func (s *syncer) isCurrent(at willowwick.Position) bool {
	return at.Era() >= s.currentEra()
}

func (s *syncer) currentEra() willowwick.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// isRestoring reports whether the store may still lack what the operator had declared, and has to write again.
func (s *syncer) isRestoring(now time.Time) bool {
	return s.restoringFor(now) > 0
}

// restoringFor is for how long the store may still lack it.
func (s *syncer) restoringFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.restoredAt.Sub(now), 0)
}

// hearRestoring takes from another box for how long the store may still lack something. A box that has started since then has read a
// configuration that need not be the newest.
func (s *syncer) hearRestoring(restoring time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restoring > 0 && s.restoredAt.IsZero() {
		s.restoredAt, s.configAsOf = now.Add(restoring), time.Time{}
	}
}

// isWrittenAgain reports whether an order is one that was known before the store came back from a copy: the current one, which keeps
// how far it has come, or one of the copy whose place a later one had taken, which is put off until that one has had the time to be
// written again. The caller holds the lock.
func (r *releases) isWrittenAgain(order willowwick.ReleaseOrder, now time.Time) bool {
	m := r.moves[order.Service]
	if m == nil || order.At.Era() <= m.order.At.Era() || !now.Before(r.restoredAt) {
		return false
	}
	if m.order.Target == order.Target {
		m.order.At = order.At
		return true
	}
	_, isFormer := r.verdicts[releaseKey{order.Service, order.Target}]
	if isFormer {
		r.putOff[order.Service] = order
	}
	return isFormer
}

// beginPutOff begins the roll-outs that were put off and still are the newest; the caller holds the lock.
func (r *releases) beginPutOff(now time.Time) {
	if now.Before(r.restoredAt) {
		return
	}
	for service, order := range r.putOff {
		delete(r.putOff, service)
		r.beginNew(order, 0, now)
	}
}

// beginEra notes that the store came back from a copy, and returns how many states of roll-outs have to be written again.
func (r *releases) beginEra(era willowwick.Era, now time.Time) (rewritten int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.enterEra(era, now)
}

// enterEra takes a later era; the caller holds the lock.
func (r *releases) enterEra(era willowwick.Era, now time.Time) (rewritten int) {
	if era <= r.era {
		return 0
	}
	r.era, r.restoredAt = era, now.Add(writtenAgainWithin)
	for _, m := range r.moves {
		m.written = false
	}
	return len(r.moves)
}
