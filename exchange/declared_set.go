package exchange

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

type (
	// declaredSet is the newest known set of keys that the operator has declared and not revoked.
	//
	// Positions are comparable between boxes: a set as of a later one includes all that is as of an earlier one,
	// whoever read it.
	declaredSet[K comparable] struct {
		asOf     willowwick.Position       // includes the declarations before it
		members  map[K]willowwick.Position // where each was declared; immutable
		revoked  map[K]willowwick.Position // where others were revoked; immutable
		heldOver map[K]HeldOver            // kept through a restore of the store, against the copy; immutable
	}

	// HeldOver is the state of a key before the store was restored from a copy. It applies until the operator changes
	// the key, or has had restoreTime to write again what the copy lacks.
	HeldOver struct {
		Stood bool                // true if it was declared, false if it had been revoked
		At    willowwick.Position // where it was declared; 0 if it had been revoked
	}

	// declaredSetKeeper keeps the newest known set and applies it. Older sets never replace it.
	declaredSetKeeper[K comparable] struct {
		onChange func(old, updated effectiveSet[K], source string) // called under the lock, in the order of the changes

		mu            sync.Mutex
		latest        declaredSet[K]
		settledEra    willowwick.Era // nothing is held over into this era any more
		heldOverUntil time.Time      // until then keys may be held over
		settleTimer   *time.Timer    // fires then; nil before the first set
		effective     effectiveSet[K]
	}

	// effectiveSet is the part of a set that applies, including keys that are held over.
	effectiveSet[K comparable] struct {
		asOf    willowwick.Position
		members map[K]willowwick.Position
	}

	// declaredChange is a key that the operator declared or revoked.
	declaredChange[K comparable] struct {
		key       K
		isRevoked bool
		at        willowwick.Position
	}
)

// withRead returns the set with the result of a read of the store applied, and false if the read brings nothing later:
// another box may have reported a set as of a later position.
func (s declaredSet[K]) withRead(isWhole bool, next willowwick.Position, changes []declaredChange[K]) (declaredSet[K], bool) {
	if next <= s.asOf {
		return s, false
	}
	updated := declaredSet[K]{
		asOf: next, members: map[K]willowwick.Position{}, revoked: map[K]willowwick.Position{}, heldOver: maps.Clone(s.heldOver),
	}
	if !isWhole {
		maps.Copy(updated.members, s.members)
		changes = slices.DeleteFunc(slices.Clone(changes), s.includes)
	}
	maps.Copy(updated.revoked, s.revoked)
	for _, change := range changes {
		updated.applyChange(change)
		if !isWhole {
			delete(updated.heldOver, change.key)
		}
	}
	if next.Era() != s.asOf.Era() {
		updated.heldOver = s.heldOverFor(updated.members)
	}
	return updated, true
}

// applyChange applies a change to the set.
func (s *declaredSet[K]) applyChange(change declaredChange[K]) {
	if change.isRevoked {
		delete(s.members, change.key)
		s.revoked[change.key] = change.at
	} else {
		s.members[change.key] = change.at
		delete(s.revoked, change.key)
	}
}

// includes reports whether the set holds the change or a later one of the key. A whole read is made of several calls
// and may have seen records after the offset that it is as of, so a key's own offset counts as well.
func (s declaredSet[K]) includes(change declaredChange[K]) bool {
	return change.at < s.asOf || change.at < s.members[change.key]
}

// heldOverFor returns the keys on which this set and the copy that a new era of the store begins with differ. A
// declaration that the copy holds from before its revocation is held over as revoked; any other one is new and applies.
func (s declaredSet[K]) heldOverFor(copied map[K]willowwick.Position) map[K]HeldOver {
	held := map[K]HeldOver{}
	members := s.effectiveSet().members
	for key, at := range members {
		if _, isCopied := copied[key]; !isCopied {
			held[key] = HeldOver{Stood: true, At: at}
		}
	}
	for key, revokedAt := range s.revoked {
		if at, isCopied := copied[key]; isCopied && at.Offset() < revokedAt.Offset() {
			held[key] = HeldOver{}
		}
	}
	for key, former := range s.heldOver {
		if _, isCopied := copied[key]; isCopied && !former.Stood {
			held[key] = former
		}
	}
	return held
}

// effectiveSet returns the part of the set that applies while keys are held over.
func (s declaredSet[K]) effectiveSet() effectiveSet[K] {
	if len(s.heldOver) == 0 {
		return effectiveSet[K]{s.asOf, s.members}
	}
	members := maps.Clone(s.members)
	for key, held := range s.heldOver {
		if held.Stood {
			members[key] = held.At
		} else {
			delete(members, key)
		}
	}
	return effectiveSet[K]{s.asOf, members}
}

// newest returns the newest known set.
func (k *declaredSetKeeper[K]) newest() declaredSet[K] {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest
}

// inEffect returns the set that applies now.
func (k *declaredSetKeeper[K]) inEffect() effectiveSet[K] {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.effective
}

// applyRead applies the result of a read of the store, unless another box has reported a later set.
func (k *declaredSetKeeper[K]) applyRead(isWhole bool, next willowwick.Position, changes []declaredChange[K]) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if updated, isNewer := k.latest.withRead(isWhole, next, changes); isNewer {
		k.replace(updated, "store")
	}
}

// applyPeerSet applies the set of another box if it is newer.
func (k *declaredSetKeeper[K]) applyPeerSet(updated declaredSet[K], source string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if updated.asOf > k.latest.asOf {
		k.replace(updated, source)
	}
}

// replace keeps a set and applies it; the caller holds the lock.
func (k *declaredSetKeeper[K]) replace(updated declaredSet[K], source string) {
	era := updated.asOf.Era()
	switch {
	case era <= k.settledEra:
		updated.heldOver = nil // a box that learnt of the era later still holds keys over
	case k.settleTimer == nil || era != k.latest.asOf.Era():
		k.scheduleSettle()
	}
	k.latest = updated
	k.updateEffective(source)
}

// scheduleSettle gives the operator restoreTime to write again what a copy lacks; the caller holds the lock.
func (k *declaredSetKeeper[K]) scheduleSettle() {
	k.heldOverUntil = clock.Now().Add(restoreTime)
	if k.settleTimer == nil {
		k.settleTimer = time.AfterFunc(restoreTime, k.settle)
	} else {
		k.settleTimer.Reset(restoreTime)
	}
}

// settle drops the keys that are held over: the operator has had the time to write them again.
func (k *declaredSetKeeper[K]) settle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Now().Before(k.heldOverUntil) {
		return // the store was restored once more as the timer fired
	}
	k.settledEra = k.latest.asOf.Era()
	if len(k.latest.heldOver) > 0 {
		k.latest.heldOver = nil
		k.updateEffective("time to write again is over")
	}
}

// updateEffective applies the known set; the caller holds the lock.
func (k *declaredSetKeeper[K]) updateEffective(source string) {
	old := k.effective
	k.effective = k.latest.effectiveSet()
	k.onChange(old, k.effective, source)
}
