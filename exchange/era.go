package exchange

import (
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
)

// restoreTime is how long after a restore of the store from a copy declarations that the copy lacks may be missing.
// Boxes are held to what the operator declared again once the store has been available for three to four seconds.
const restoreTime = 4 * time.Second

// noteEra records the era of the store that some data belongs to. A new era begins with a copy that lacks the last
// writes: endpoints and the operator repeat theirs, and boxes have to write theirs again.
func (s *syncer) noteEra(at willowwick.Position, now time.Time, source string) {
	s.router.duties.noteEra(at.Era())
	former, isNew := s.enterEra(at.Era(), now)
	if !isNew {
		return
	}
	x := s.router
	x.metrics.countEra()
	x.usage.noteRestored()
	rewritten := x.releases.beginEra(at.Era(), now) + x.poison.MarkRefusedPending()
	slog.Warn("store has come back from a copy of itself", "era", at.Era(), "former", former, "source", source,
		"endpoints_read_to", s.listReadTo(), "declarations_read_to", x.evacuations.newest().asOf, "to_write_again", rewritten)
}

// enterEra enters an era if it is later than the current one, and reports whether this box had read the store before.
func (s *syncer) enterEra(era willowwick.Era, now time.Time) (former willowwick.Era, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= s.era {
		return s.era, false
	}
	former, s.era = s.era, era
	if !s.hasList {
		// The box has just started and doesn't know when the era began, unless another box has told it or will.
		s.restoringUntil, s.restoreIsAssumed = now.Add(restoreTime), true
		return former, false
	}
	// Endpoints whose entries the copy lacks are listed again as soon as after an outage.
	s.lastOutageAt = now
	s.restoringUntil, s.restoreIsAssumed = now.Add(restoreTime), false
	return former, true
}

// isCurrentEra reports whether a position is in the newest known era.
func (s *syncer) isCurrentEra(at willowwick.Position) bool {
	return at.Era() >= s.currentEra()
}

func (s *syncer) currentEra() willowwick.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// isRestoring reports whether the store may still lack declarations that the operator has to write again.
func (s *syncer) isRestoring(now time.Time) bool {
	return s.restoringTimeLeft(now) > 0
}

// restoringTimeLeft returns for how long the store may still lack them.
func (s *syncer) restoringTimeLeft(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.restoringUntil.Sub(now), 0)
}

// noteRestoringFromPeer takes from another box for how long the store may still lack declarations in an era. A box that has
// started since the restore has read a configuration that need not be the newest.
func (s *syncer) noteRestoringFromPeer(era willowwick.Era, restoring time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era == s.era && s.restoreIsAssumed {
		s.restoringUntil = earliest(s.restoringUntil, now.Add(restoring))
	}
}

// isRewrittenOrder reports whether an order was known before the store was restored from a copy: the current one, which
// keeps its progress, or one of the copy that a later order had replaced. The latter is deferred until the operator has
// had time to write the later one again. The caller holds the lock.
func (r *releases) isRewrittenOrder(order willowwick.ReleaseOrder, now time.Time) bool {
	m := r.rollouts[order.Service]
	if m == nil || order.At.Era() <= m.order.At.Era() || !now.Before(r.restoredAt) {
		return false
	}
	if m.order.Target == order.Target {
		m.order.At = order.At
		return true
	}
	_, isFormer := r.verdicts[releaseKey{order.Service, order.Target}]
	if isFormer {
		r.deferredOrders[order.Service] = order
	}
	return isFormer
}

// beginDeferred begins the deferred roll-outs that are still the newest; the caller holds the lock.
func (r *releases) beginDeferred(now time.Time) {
	if now.Before(r.restoredAt) {
		return
	}
	for service, order := range r.deferredOrders {
		delete(r.deferredOrders, service)
		r.applyNewOrder(order, 0, now)
	}
}

// beginEra records that the store was restored from a copy, and returns how many states of roll-outs have to be written
// again.
func (r *releases) beginEra(era willowwick.Era, now time.Time) (rewritten int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.enterEra(era, now)
}

// enterEra enters a later era and returns how many states of roll-outs have to be written again; the caller holds the
// lock.
func (r *releases) enterEra(era willowwick.Era, now time.Time) (rewritten int) {
	if era <= r.era {
		return 0
	}
	r.era, r.restoredAt = era, now.Add(restoreTime)
	for _, m := range r.rollouts {
		m.persisted = false
	}
	return len(r.rollouts)
}
