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
	// standing is the newest set of keys that is known to stand among the operator's declarations.
	//
	// Positions compare between boxes: what is as of a later one holds all that is as of an earlier one, whoever read it.
	declaredSet[K comparable] struct {
		asOf     willowwick.Position       // the declarations before it are counted in
		members  map[K]willowwick.Position // where each of them was declared; never changed
		revoked  map[K]willowwick.Position // where others were taken back; never changed
		heldOver map[K]HeldOver            // where the store came back from a copy that says otherwise; never changed
	}

	// HeldOver is what was known of a key before the store came back from a copy of itself. It counts until the operator changes
	// the key, or has had the time to write again what the copy lacks.
	HeldOver struct {
		Stood bool                // false if it had been taken back
		At    willowwick.Position // where it was declared; 0 if it had been taken back
	}

	// standingKeeper keeps the newest set that is known, and puts it in force. No news that are older than it take its place.
	declaredSetKeeper[K comparable] struct {
		onChange func(old, news effectiveSet[K], source string) // called under the lock, one set after the other

		mu            sync.Mutex
		latest        declaredSet[K]
		settledEra    willowwick.Era // nothing is held over into it any more
		heldOverUntil time.Time      // until then something may be held over
		settleTimer   *time.Timer    // runs out then; nil before the first set
		effective     effectiveSet[K]
	}

	// inForce is what counts of a set.
	effectiveSet[K comparable] struct {
		asOf    willowwick.Position
		members map[K]willowwick.Position
	}

	// standingChange says that a key was declared, or that the operator took it back.
	declaredChange[K comparable] struct {
		key       K
		isRevoked bool
		at        willowwick.Position
	}
)

// after returns the set after what a read of the store brought, and false if that is no news: another box told of what came
// after all of it.
func (s declaredSet[K]) withRead(isWhole bool, next willowwick.Position, changes []declaredChange[K]) (declaredSet[K], bool) {
	if next <= s.asOf {
		return s, false
	}
	news := declaredSet[K]{
		asOf: next, members: map[K]willowwick.Position{}, revoked: map[K]willowwick.Position{}, heldOver: maps.Clone(s.heldOver),
	}
	if !isWhole {
		maps.Copy(news.members, s.members)
		changes = slices.DeleteFunc(slices.Clone(changes), s.includes)
	}
	maps.Copy(news.revoked, s.revoked)
	for _, change := range changes {
		news.applyChange(change)
		if !isWhole {
			delete(news.heldOver, change.key)
		}
	}
	if next.Era() != s.asOf.Era() {
		news.heldOver = s.heldOverFor(news.members)
	}
	return news, true
}

// change counts a change in.
func (s *declaredSet[K]) applyChange(change declaredChange[K]) {
	if change.isRevoked {
		delete(s.members, change.key)
		s.revoked[change.key] = change.at
	} else {
		s.members[change.key] = change.at
		delete(s.revoked, change.key)
	}
}

// isCountedIn reports whether the set holds the change or what came after it. A whole read is made of several calls
// and may have seen records after the offset that it is as of, so a key's own offset counts as well.
func (s declaredSet[K]) includes(change declaredChange[K]) bool {
	return change.at < s.asOf || change.at < s.members[change.key]
}

// heldOverTo is what this set knows otherwise than the copy that a new era of the store begins with. A declaration that the copy holds
// from before it was taken back is no news; any other one is.
func (s declaredSet[K]) heldOverFor(copied map[K]willowwick.Position) map[K]HeldOver {
	held := map[K]HeldOver{}
	members := s.effectiveSet().members
	for key, at := range members {
		if _, isCopied := copied[key]; !isCopied {
			held[key] = HeldOver{Stood: true, At: at}
		}
	}
	for key, takenBack := range s.revoked {
		if at, isCopied := copied[key]; isCopied && at.Offset() < takenBack.Offset() {
			held[key] = HeldOver{}
		}
	}
	for key, before := range s.heldOver {
		if _, isCopied := copied[key]; isCopied && !before.Stood {
			held[key] = before
		}
	}
	return held
}

// inForce is what counts of the set as long as something is held over into it.
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

// newest is the newest set that is known.
func (k *declaredSetKeeper[K]) newest() declaredSet[K] {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest
}

// inForce is what counts now.
func (k *declaredSetKeeper[K]) inEffect() effectiveSet[K] {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.effective
}

// declare takes what a read of the store brought, unless another box told of what came after all of it.
func (k *declaredSetKeeper[K]) applyRead(isWhole bool, next willowwick.Position, changes []declaredChange[K]) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if news, isNews := k.latest.withRead(isWhole, next, changes); isNews {
		k.replace(news, "store")
	}
}

// hear takes the set that another box knows, if it is newer.
func (k *declaredSetKeeper[K]) applyPeerSet(news declaredSet[K], source string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if news.asOf > k.latest.asOf {
		k.replace(news, source)
	}
}

// take keeps a set and puts it in force; the caller holds the lock.
func (k *declaredSetKeeper[K]) replace(news declaredSet[K], source string) {
	era := news.asOf.Era()
	switch {
	case era <= k.settledEra:
		news.heldOver = nil // a box that heard of the era later still holds it over
	case k.settleTimer == nil || era != k.latest.asOf.Era():
		k.scheduleSettle()
	}
	k.latest = news
	k.updateEffective(source)
}

// settleLater gives the operator the time to write again what a copy lacks; the caller holds the lock.
func (k *declaredSetKeeper[K]) scheduleSettle() {
	k.heldOverUntil = clock.Now().Add(restoreTime)
	if k.settleTimer == nil {
		k.settleTimer = time.AfterFunc(restoreTime, k.settle)
	} else {
		k.settleTimer.Reset(restoreTime)
	}
}

// settle drops what is held over: the operator has had the time to write it again.
func (k *declaredSetKeeper[K]) settle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Now().Before(k.heldOverUntil) {
		return // the store has come back once more as the timer ran out
	}
	k.settledEra = k.latest.asOf.Era()
	if len(k.latest.heldOver) > 0 {
		k.latest.heldOver = nil
		k.updateEffective("time to write again is over")
	}
}

// enforce puts the known set in force; the caller holds the lock.
func (k *declaredSetKeeper[K]) updateEffective(source string) {
	old := k.effective
	k.effective = k.latest.effectiveSet()
	k.onChange(old, k.effective, source)
}
