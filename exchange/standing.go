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
	standing[K comparable] struct {
		asOf      willowwick.Position       // the declarations before it are counted in
		members   map[K]willowwick.Position // where each of them was declared; never changed
		takenBack map[K]willowwick.Position // where others were taken back; never changed
		heldOver  map[K]HeldOver            // where the store came back from a copy that says otherwise; never changed
	}

	// HeldOver is what was known of a key before the store came back from a copy of itself. It counts until the operator changes
	// the key, or has had the time to write again what the copy lacks.
	HeldOver struct {
		Stood bool                // false if it had been taken back
		At    willowwick.Position // where it was declared; 0 if it had been taken back
	}

	// standingKeeper keeps the newest set that is known, and puts it in force. No news that are older than it take its place.
	standingKeeper[K comparable] struct {
		put func(old, news inForce[K], source string) // called under the lock, one set after the other

		mu       sync.Mutex
		known    standing[K]
		settled  willowwick.Era // nothing is held over into it any more
		settleAt time.Time      // until then something may be held over
		timer    *time.Timer    // runs out then; nil before the first set
		force    inForce[K]
	}

	// inForce is what counts of a set.
	inForce[K comparable] struct {
		asOf    willowwick.Position
		members map[K]willowwick.Position
	}

	// standingChange says that a key was declared, or that the operator took it back.
	standingChange[K comparable] struct {
		key       K
		takenBack bool
		at        willowwick.Position
	}
)

// after returns the set after what a read of the store brought, and false if that is no news: another box told of what came
// after all of it.
func (s standing[K]) after(isWhole bool, next willowwick.Position, changes []standingChange[K]) (standing[K], bool) {
	if next <= s.asOf {
		return s, false
	}
	news := standing[K]{
		asOf: next, members: map[K]willowwick.Position{}, takenBack: map[K]willowwick.Position{}, heldOver: maps.Clone(s.heldOver),
	}
	if !isWhole {
		maps.Copy(news.members, s.members)
		changes = slices.DeleteFunc(slices.Clone(changes), s.isCountedIn)
	}
	maps.Copy(news.takenBack, s.takenBack)
	for _, change := range changes {
		news.change(change)
		if !isWhole {
			delete(news.heldOver, change.key)
		}
	}
	if next.Era() != s.asOf.Era() {
		news.heldOver = s.heldOverTo(news.members)
	}
	return news, true
}

// change counts a change in.
func (s *standing[K]) change(change standingChange[K]) {
	if change.takenBack {
		delete(s.members, change.key)
		s.takenBack[change.key] = change.at
	} else {
		s.members[change.key] = change.at
		delete(s.takenBack, change.key)
	}
}

// isCountedIn reports whether the set holds the change or what came after it. A whole read is made of several calls
// and may have seen records after the offset that it is as of, so a key's own offset counts as well.
func (s standing[K]) isCountedIn(change standingChange[K]) bool {
	return change.at < s.asOf || change.at < s.members[change.key]
}

// heldOverTo is what this set knows otherwise than the copy that a new era of the store begins with. A declaration that the copy holds
// from before it was taken back is no news; any other one is.
func (s standing[K]) heldOverTo(copied map[K]willowwick.Position) map[K]HeldOver {
	held := map[K]HeldOver{}
	members := s.inForce().members
	for key, at := range members {
		if _, isCopied := copied[key]; !isCopied {
			held[key] = HeldOver{Stood: true, At: at}
		}
	}
	for key, takenBack := range s.takenBack {
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
func (s standing[K]) inForce() inForce[K] {
	if len(s.heldOver) == 0 {
		return inForce[K]{s.asOf, s.members}
	}
	members := maps.Clone(s.members)
	for key, held := range s.heldOver {
		if held.Stood {
			members[key] = held.At
		} else {
			delete(members, key)
		}
	}
	return inForce[K]{s.asOf, members}
}

// newest is the newest set that is known.
func (k *standingKeeper[K]) newest() standing[K] {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known
}

// inForce is what counts now.
func (k *standingKeeper[K]) inForce() inForce[K] {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.force
}

// declare takes what a read of the store brought, unless another box told of what came after all of it.
func (k *standingKeeper[K]) declare(isWhole bool, next willowwick.Position, changes []standingChange[K]) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if news, isNews := k.known.after(isWhole, next, changes); isNews {
		k.take(news, "store")
	}
}

// hear takes the set that another box knows, if it is newer.
func (k *standingKeeper[K]) hear(news standing[K], source string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if news.asOf > k.known.asOf {
		k.take(news, source)
	}
}

// take keeps a set and puts it in force; the caller holds the lock.
func (k *standingKeeper[K]) take(news standing[K], source string) {
	era := news.asOf.Era()
	switch {
	case era <= k.settled:
		news.heldOver = nil // a box that heard of the era later still holds it over
	case k.timer == nil || era != k.known.asOf.Era():
		k.settleLater()
	}
	k.known = news
	k.enforce(source)
}

// settleLater gives the operator the time to write again what a copy lacks; the caller holds the lock.
func (k *standingKeeper[K]) settleLater() {
	k.settleAt = clock.Now().Add(restoreTime)
	if k.timer == nil {
		k.timer = time.AfterFunc(restoreTime, k.settle)
	} else {
		k.timer.Reset(restoreTime)
	}
}

// settle drops what is held over: the operator has had the time to write it again.
func (k *standingKeeper[K]) settle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Now().Before(k.settleAt) {
		return // the store has come back once more as the timer ran out
	}
	k.settled = k.known.asOf.Era()
	if len(k.known.heldOver) > 0 {
		k.known.heldOver = nil
		k.enforce("time to write again is over")
	}
}

// enforce puts the known set in force; the caller holds the lock.
func (k *standingKeeper[K]) enforce(source string) {
	old := k.force
	k.force = k.known.inForce()
	k.put(old, k.force, source)
}
