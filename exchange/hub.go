package exchange

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// triedAtOnce bounds how many silent boxes of a hall one round of swaps tries: with all of a large fleet started at
// once, more would take the processor from the requests of callers.
const maxProbesPerRound = 2

// first is the box of a hall that precedes the others of those that use accepts; the caller holds the lock.
func (p *peers) firstBox(hall willowwick.HallID, use func(known *peer) bool) (KnownBox, bool) {
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
	reads := p.reachesStore(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	reader, found := p.hallReader(p.router.settings.Hall, now)
	if !found || reads && p.self().precedes(reader) {
		return Digest{}, false
	}
	return p.known[reader.Address].digest, true
}

// reads reports whether this box reaches the store, as far as it has shown.
func (p *peers) reachesStore(now time.Time) bool {
	return p.router.sync.storeReadAge(now) <= p.router.maxStoreDataAge()
}

// isBehind reports whether a box of the hall that comes before this one is in touch, whether it reads the store or not.
func (p *peers) hasPredecessor(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, found := p.firstLiveBox(p.router.settings.Hall, now)
	return found && first.precedes(p.self())
}

// readerOf is the first of a hall's boxes that are in touch and reach the store; the caller holds the lock.
func (p *peers) hallReader(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	return p.firstBox(hall, func(known *peer) bool { return known.isLive(now) && !p.isCutOffFromStore(known, now) })
}

// firstInTouch is the first of a hall's boxes that were heard of lately; the caller holds the lock.
func (p *peers) firstLiveBox(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	return p.firstBox(hall, func(known *peer) bool { return known.isLive(now) })
}

// missesHall reports whether no box of some hall has been heard of lately, though there is one.
func (p *peers) hasUnreachableHall(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hall := range p.knownHalls() {
		if _, found := p.firstLiveBox(hall, now); !found {
			return true
		}
	}
	return false
}

// isCutOff reports whether a box has not read the store for too long to rely on it.
func (p *peers) isCutOffFromStore(known *peer, now time.Time) bool {
	told, since := time.Duration(known.digest.ReadAgeMs)*time.Millisecond, now.Sub(known.heardAt)
	limit := p.router.maxStoreDataAge()
	// Nothing can be added to the longest length of time there is, which a box of an earlier release may tell.
	return told > limit || told+since > limit
}

// hub is the box of its hall that this one swaps with: the reader, or while no box reaches the store the first that is
// in touch, so that an absent store does not set all boxes to swapping with all; false if that is this box itself.
func (p *peers) hub(now time.Time) (Digest, bool) {
	if reader, found := p.reader(now); found {
		return reader, true
	}
	if p.reachesStore(now) {
		return Digest{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	first, found := p.firstLiveBox(p.router.settings.Hall, now)
	if !found || p.self().precedes(first) {
		return Digest{}, false
	}
	return p.known[first.Address].digest, true
}

// hubOf is the hub of another hall; the caller holds the lock.
func (p *peers) hallHub(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	if reader, found := p.hallReader(hall, now); found {
		return reader, true
	}
	return p.firstLiveBox(hall, now)
}

// targets are the addresses of the boxes to swap with now: the hall's hub, on a hub those of the other halls, and some
// silent boxes that would come before them.
func (p *peers) exchangeTargets(now time.Time) []string {
	hub, hasHub := p.hub(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.self()
	targets := p.probeCandidates("", KnownBox{}, now)
	if hasHub {
		targets = append(targets, hub.Address)
		targets = append(targets, p.probeCandidates(self.Hall, hub.knownBox(), now)...)
	} else {
		targets = append(targets, p.hubTargets(now)...)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// hubTargets are the addresses of what a hub swaps with: the hubs of the other halls, and some silent boxes of all
// halls that would come before the hub of theirs. The caller holds the lock.
func (p *peers) hubTargets(now time.Time) []string {
	self := p.self()
	var targets []string
	for _, hall := range p.knownHalls() {
		if hall == self.Hall {
			targets = append(targets, p.probeCandidates(hall, self, now)...)
			continue
		}
		hub, found := p.hallHub(hall, now)
		if found {
			targets = append(targets, hub.Address)
		}
		targets = append(targets, p.probeCandidates(hall, hub, now)...)
	}
	return targets
}

// candidates are the addresses of a few boxes of a hall that were not heard of lately and would come before its hub,
// if it has one; the hall is empty for boxes whose hall is not known. The caller holds the lock.
func (p *peers) probeCandidates(hall willowwick.HallID, hub KnownBox, now time.Time) []string {
	var silent []KnownBox
	for _, known := range p.known {
		isSilent := !known.isLive(now) && !now.Before(known.nextCallAt)
		if known.box.Hall == hall && isSilent && (hub.Address == "" || known.box.precedes(hub)) {
			silent = append(silent, known.box)
		}
	}
	slices.SortFunc(silent, p.compareLastCalls)
	var list []string
	for _, box := range silent[:min(len(silent), maxProbesPerRound)] {
		list = append(list, box.Address)
	}
	return list
}

// compareTries orders boxes by who is to be tried first: the one that was not tried for longer, so that boxes that are
// no use as a hub keep none of the others waiting. The caller holds the lock.
func (p *peers) compareLastCalls(a, b KnownBox) int {
	if order := p.known[a.Address].lastCallAt.Compare(p.known[b.Address].lastCallAt); order != 0 {
		return order
	}
	if a.precedes(b) {
		return -1
	}
	return 1
}

// hallsKnown lists the halls of the known boxes; the caller holds the lock.
func (p *peers) knownHalls() []willowwick.HallID {
	var halls []willowwick.HallID
	for _, known := range p.known {
		if hall := known.box.Hall; hall != "" && !slices.Contains(halls, hall) {
			halls = append(halls, hall)
		}
	}
	return halls
}
