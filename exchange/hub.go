package exchange

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// triedAtOnce bounds how many silent boxes of a hall one round of swaps tries: with all of a large fleet started at
// once, more would take the processor from the requests of callers.
const triedAtOnce = 2

// first is the box that precedes the others of those for which use is true; the caller holds the lock.
func (p *peers) first(hall willowwick.HallID, use func(known *peer) bool) (KnownBox, bool) {
	var first KnownBox
	found := false
	for _, known := range p.known {
		if known.box.Hall == hall && use(known) && (!found || known.box.precedes(first)) {
			first, found = known.box, true
		}
	}
	return first, found
}

// reader is the digest of the box that reads the store for this one, and false if this box reads it itself.
func (p *peers) reader(now time.Time) (Digest, bool) {
	reads := p.reads(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	reader, found := p.readerOf(p.router.settings.Hall, now)
	if !found || reads && p.self().precedes(reader) {
		return Digest{}, false
	}
	return p.known[reader.Address].digest, true
}

// reads reports whether this box reaches the store, as far as it has shown.
func (p *peers) reads(now time.Time) bool {
	return p.router.sync.readAge(now) <= scale(p.router.settings.Drain, reliedShare)
}

// isBehind reports whether a box of the hall that comes before this one is in touch, whether it reads the store or not.
func (p *peers) isBehind(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, found := p.firstInTouch(p.router.settings.Hall, now)
	return found && first.precedes(p.self())
}

// readerOf is the first of a hall's boxes that are in touch and reach the store; the caller holds the lock.
func (p *peers) readerOf(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	return p.first(hall, func(known *peer) bool { return known.isInTouch(now) && !p.isCutOff(known, now) })
}

// firstInTouch is the first of a hall's boxes that were heard of lately; the caller holds the lock.
func (p *peers) firstInTouch(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	return p.first(hall, func(known *peer) bool { return known.isInTouch(now) })
}

// isCutOff reports whether a box has not read the store for too long to rely on it.
func (p *peers) isCutOff(known *peer, now time.Time) bool {
	age := time.Duration(known.digest.ReadAgeMs)*time.Millisecond + now.Sub(known.heard)
	return age > scale(p.router.settings.Drain, reliedShare)
}

// hub is the box of its hall that this one swaps with: the reader, or while no box reaches the store the first that is
// in touch, so that an absent store does not set all boxes to swapping with all; false if that is this box itself.
func (p *peers) hub(now time.Time) (Digest, bool) {
	if reader, found := p.reader(now); found {
		return reader, true
	}
	if p.reads(now) {
		return Digest{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	first, found := p.firstInTouch(p.router.settings.Hall, now)
	if !found || p.self().precedes(first) {
		return Digest{}, false
	}
	return p.known[first.Address].digest, true
}

// hubOf is the hub of another hall; the caller holds the lock.
func (p *peers) hubOf(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	if reader, found := p.readerOf(hall, now); found {
		return reader, true
	}
	return p.firstInTouch(hall, now)
}

// targets are the boxes to swap with now: the hall's hub, on a hub those of the other halls, and some silent boxes that
// would come before them.
func (p *peers) targets(now time.Time) []string {
	hub, hasHub := p.hub(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.self()
	targets := addresses(p.candidates("", KnownBox{}, now))
	for _, hall := range p.hallsKnown() {
		if hasHub && hall != self.Hall {
			continue
		}
		before := self
		switch {
		case hall != self.Hall:
			before, _ = p.hubOf(hall, now)
		case hasHub:
			before = hub.box()
		}
		if before.Address != "" && before.Address != self.Address {
			targets = append(targets, before.Address)
		}
		targets = append(targets, addresses(p.candidates(hall, before, now))...)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// candidates are the first few boxes of a hall that were not heard of lately and would come before its hub, if it has
// one; the hall is empty for boxes whose hall is not known. The caller holds the lock.
func (p *peers) candidates(hall willowwick.HallID, hub KnownBox, now time.Time) []KnownBox {
	var silent []KnownBox
	for _, known := range p.known {
		isSilent := !known.isInTouch(now) && !now.Before(known.tryAt)
		if known.box.Hall == hall && isSilent && (hub.Address == "" || known.box.precedes(hub)) {
			silent = append(silent, known.box)
		}
	}
	slices.SortFunc(silent, func(a, b KnownBox) int {
		// Those that were not tried for longest come first, so that some that are no use keep none of the others waiting.
		if order := p.known[a.Address].triedAt.Compare(p.known[b.Address].triedAt); order != 0 {
			return order
		}
		if a.precedes(b) {
			return -1
		}
		return 1
	})
	return silent[:min(len(silent), triedAtOnce)]
}

func addresses(boxes []KnownBox) []string {
	list := make([]string, 0, len(boxes))
	for _, box := range boxes {
		list = append(list, box.Address)
	}
	return list
}

// hallsKnown lists the halls of the known boxes; the caller holds the lock.
func (p *peers) hallsKnown() []willowwick.HallID {
	var halls []willowwick.HallID
	for _, known := range p.known {
		if hall := known.box.Hall; hall != "" && !slices.Contains(halls, hall) {
			halls = append(halls, hall)
		}
	}
	return halls
}
