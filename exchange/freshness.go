package exchange

import (
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
)

// isConfigStale reports whether the store may have accepted a newer configuration that must be in force by now: this
// box's was last known to be the newest more than ConfigApplyLimit ago. Without failures configAge is at most twice
// longPollLimit plus one gossip exchange, since the store may answer with changes at the end of one long poll and
// without at the end of the next.
func (s *syncer) isConfigStale(now time.Time) bool {
	return s.configAge(now) > s.router.settings.ConfigApplyLimit
}

// noteConfigAsOf records that this box's configuration includes all that the store had accepted by the given time. It is
// called once that configuration is in force here.
func (s *syncer) noteConfigAsOf(asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configAsOf = latest(s.configAsOf, asOf)
}

// noteConfigFromPeer applies the age that another box reported for its configuration, unless this box's own is older
// than that one or the store is being restored.
func (s *syncer) noteConfigFromPeer(digest *Digest, now time.Time) {
	if digest.ConfigAgeMs == 0 || digest.TableVersion > s.router.configVersion() || s.isRestoring(now) {
		return
	}
	s.noteConfigAsOf(now.Add(-time.Duration(digest.ConfigAgeMs) * time.Millisecond))
}

// configAge returns the time since this box's configuration was last known to be the newest, whichever box read the
// store; it is at most maxReportedAge. Reads of endpoints don't count: they use connections of their own.
func (s *syncer) configAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(now.Sub(s.configAsOf), maxReportedAge)
}

// declarationsAsOf returns the latest time at which the answer to a read of the declarations was certainly up to date.
// The store answers as soon as there are changes: an answer with changes may date from when the read was sent and have
// been in transit since. One without changes dates from after the store had held the read for all of wait.
func declarationsAsOf(began, ended time.Time, wait time.Duration, from willowwick.Position, declared willowwick.Declarations) time.Time {
	if waited := began.Add(wait); declared.Next == from && !waited.After(ended) {
		return waited
	}
	return began
}

// storeReadAge returns the time since this box was last known to reach the store: since the last answer to the kind of
// read that has failed or been overdue for longest, or storeAnswerAge if there is none.
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

// storeAnswerAge returns the time since the store last answered any read of this box. While none of its reads is
// failing, a read by another box counts too, since this one may have had no need to read. The caller holds the lock.
func (s *syncer) storeAnswerAge(now time.Time) time.Duration {
	age := min(now.Sub(s.answeredAt[declarationsRead]), now.Sub(s.answeredAt[endpointsRead]))
	if s.isAnyReadFailing() {
		return age
	}
	return min(age, now.Sub(s.endpointsAsOf))
}

// isStoreReached reports whether the store answers any read of this box.
func (s *syncer) isStoreReached(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeAnswerAge(now) <= s.router.maxStoreDataAge()
}

// isAnyReadFailing reports whether the last read of any kind failed; the caller holds the lock.
func (s *syncer) isAnyReadFailing() bool {
	return s.failing != [readKindCount]bool{}
}

// endpointsAge returns the age of this box's data on endpoints, whichever box read it; it is at most maxReportedAge.
func (s *syncer) endpointsAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(now.Sub(s.endpointsAsOf), maxReportedAge)
}

// noteAnswer records that the store answers reads of a kind.
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

// failedSince reports whether a read has failed since a time.
func (s *syncer) failedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFailureAt.After(since)
}

// noteFailure records that a read of a kind failed. It doesn't cancel a running read of the other kind, which has
// timeouts of its own and whose answer may be arriving.
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

// isReadFailing reports whether the last read of a kind failed.
func (s *syncer) isReadFailing(kind readKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing[kind]
}

// longPollDuration returns how long the running long poll has lasted, 0 if there is none; the caller holds the lock.
func (s *syncer) longPollDuration(now time.Time) time.Duration {
	if s.longPollSince.IsZero() {
		return 0
	}
	return now.Sub(s.longPollSince)
}

// longPollAge is longPollDuration for callers that don't hold the lock.
func (s *syncer) longPollAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longPollDuration(now)
}

// declarationsAnswerAge returns the time since the store last answered a read of the declarations, 0 if it never did.
func (s *syncer) declarationsAnswerAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt[declarationsRead].IsZero() {
		return 0
	}
	return now.Sub(s.answeredAt[declarationsRead])
}
