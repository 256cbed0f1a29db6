package exchange

import (
	"time"

	"github.com/willowwick/willowwick"
)

// isStale reports whether a configuration may have to be in force that this box does not have: one that was accepted long
// enough ago, and after this box's was the newest for certain. Where nothing fails, a box's is at most twice heldLimit and one
// swap old, since the store may answer with news at the end of one held read and without at the end of the next: 1.6 to
// 1.8 s of 2 s, in fleets of 2 to 295 boxes in virtual time.
func (s *syncer) isStale(now time.Time) bool {
	return s.configAge(now) > s.router.settings.InForce
}

// noteConfig notes that this box has the configuration that was in the store at a moment, or a newer one: all that was
// accepted until then. It is called once that configuration is in force here.
func (s *syncer) noteConfig(asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configAsOf = latest(s.configAsOf, asOf)
}

// hearConfig takes from another box's answer from when its configuration is. It says something of this box's own only if
// that is as new.
func (s *syncer) hearConfig(digest *Digest, now time.Time) {
	if digest.ConfigAgeMs == 0 || digest.TableVersion > s.router.configVersion() {
		return
	}
	s.noteConfig(now.Add(-time.Duration(digest.ConfigAgeMs) * time.Millisecond))
}

// configAge is how long ago the configuration that this box has was the newest for certain, whichever box read that;
// longestAge if it never was. Reads of endpoints, which go on connections of their own, say nothing of it.
func (s *syncer) configAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configAsOf.IsZero() {
		return longestAge
	}
	return min(now.Sub(s.configAsOf), longestAge)
}

// readAsOf is from when the answer to a read of the declarations is for certain, of which only the arrival is known. The
// store answers as soon as there is news: an answer that brings some may have been made as soon as the read was sent, and
// may have been under way since. One without news was made once the store had waited for it.
func readAsOf(began, ended time.Time, wait time.Duration, from willowwick.Offset, declared willowwick.Declarations) time.Time {
	if waited := began.Add(wait); declared.Next == from && !waited.After(ended) {
		return waited
	}
	return began
}
