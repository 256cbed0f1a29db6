package exchange

import (
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
)

// isStale reports whether a configuration may have to be in force that this box does not have: one that was accepted long
// enough ago, and after this box's was the newest for certain. Where nothing fails, a box's is at most twice heldLimit and one
// swap old, since the store may answer with news at the end of one held read and without at the end of the next.
func (s *syncer) isConfigStale(now time.Time) bool {
	return s.configAge(now) > s.router.settings.InForce
}

// noteConfig notes that this box has the configuration that was in the store at a moment, or a newer one: all that was
// accepted until then. It is called once that configuration is in force here.
func (s *syncer) noteConfigAsOf(asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configAsOf = latest(s.configAsOf, asOf)
}

// hearConfig takes from another box's answer from when its configuration is. It says something of this box's own only if
// that is as new.
func (s *syncer) noteConfigFromPeer(digest *Digest, now time.Time) {
	if digest.ConfigAgeMs == 0 || digest.TableVersion > s.router.configVersion() || s.isRestoring(now) {
		return
	}
	s.noteConfigAsOf(now.Add(-time.Duration(digest.ConfigAgeMs) * time.Millisecond))
}

// configAge is how long ago the configuration that this box has was the newest for certain, whichever box read that;
// longestAge if it never was. Reads of endpoints, which go on connections of their own, say nothing of it.
func (s *syncer) configAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(now.Sub(s.configAsOf), maxReportedAge)
}

// readAsOf is from when the answer to a read of the declarations is for certain, of which only the arrival is known. The
// store answers as soon as there is news: an answer that brings some may have been made as soon as the read was sent, and
// may have been under way since. One without news was made once the store had waited for it.
func declarationsAsOf(began, ended time.Time, wait time.Duration, from willowwick.Position, declared willowwick.Declarations) time.Time {
	if waited := began.Add(wait); declared.Next == from && !waited.After(ended) {
		return waited
	}
	return began
}

// readAge is how long ago it showed that this box can read the store, all of it; as long as no read has failed, what
// other boxes read for it counts too, since it did not have to read then.
func (s *syncer) storeReadAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var age time.Duration
	for kind, failing := range s.failing {
		if failing || readKind(kind) == declarationsRead && s.longPollDuration(now) > s.longPollLimit()+longPollMargin {
			age = max(age, now.Sub(s.answeredAt[kind]))
		}
	}
	if age > 0 {
		return age
	}
	return s.storeAnswerAge(now)
}

// reachAge is how long ago the store answered this box anything, or another box that read for it; the caller holds the
// lock.
func (s *syncer) storeAnswerAge(now time.Time) time.Duration {
	age := min(now.Sub(s.answeredAt[declarationsRead]), now.Sub(s.answeredAt[endpointsRead]))
	if s.isAnyReadFailing() {
		return age
	}
	return min(age, now.Sub(s.endpointsAsOf))
}

// isReached reports whether the store answers this box anything.
func (s *syncer) isStoreReached(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeAnswerAge(now) <= s.router.maxStoreDataAge()
}

// isUnreachable reports whether a last read failed; the caller holds the lock.
func (s *syncer) isAnyReadFailing() bool {
	return s.failing != [readKindCount]bool{}
}

// endpointsAge is how old what this box knows of the endpoints is, whichever box read that; longestAge if none did.
func (s *syncer) endpointsAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(now.Sub(s.endpointsAsOf), maxReportedAge)
}

// noteAnswer notes that the store answers reads of a kind.
func (s *syncer) noteAnswer(kind readKind, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt[kind] = now
	if !s.failing[kind] {
		return
	}
	s.failing[kind] = false
	slog.Info("store is reached again", "read", kind.String(), "away_ms", now.Sub(s.lastFailureAt).Milliseconds(), "held_read_ms", s.longPollDuration(now).Milliseconds())
}

// noteFailure notes that the store does not answer reads of a kind. A read of the other kind goes on: its own limits end it,
// and its answer may be coming in.
func (s *syncer) noteFailure(kind readKind, now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailureAt = now
	if now.Sub(s.endpointsAsOf) > s.router.maxStoreDataAge() {
		s.lastOutageAt = now
	}
	if !s.failing[kind] {
		s.failing[kind] = true
		slog.Info("store is not reached", "read", kind.String(), "error", err, "answered_ms_ago", now.Sub(s.answeredAt[kind]).Milliseconds())
	}
}

// isFailing reports whether the last read of a kind failed.
func (s *syncer) isReadFailing(kind readKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing[kind]
}

// heldFor is how long the store has held a read; the caller holds the lock.
func (s *syncer) longPollDuration(now time.Time) time.Duration {
	if s.longPollSince.IsZero() {
		return 0
	}
	return now.Sub(s.longPollSince)
}

// heldAge is how long the store has held a read, 0 if it holds none.
func (s *syncer) longPollAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longPollDuration(now)
}

// declaredAge is how long ago the store last answered with what is declared, 0 if it never did.
func (s *syncer) declaredAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt[declarationsRead].IsZero() {
		return 0
	}
	return now.Sub(s.answeredAt[declarationsRead])
}
