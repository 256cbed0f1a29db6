package exchange

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// maxProbesPerRound bounds how many silent boxes of a hall are called in one gossip round: when all boxes of a large
// fleet start at once, more calls would take CPU time from the requests of callers.
const maxProbesPerRound = 2

// firstBox returns the first box of a hall in hub order among those that isEligible accepts; the caller holds the lock.
func (p *peers) firstBox(hall willowwick.HallID, isEligible func(known *peer) bool) (KnownBox, bool) {
	return p.firstBoxWhere(func(known *peer) bool { return known.box.Hall == hall && isEligible(known) })
}

// firstBoxWhere returns the first box in hub order among those that isEligible accepts; the caller holds the lock.
func (p *peers) firstBoxWhere(isEligible func(known *peer) bool) (KnownBox, bool) {
	var first KnownBox
	found := false
	for _, known := range p.known {
		if isEligible(known) && (!found || known.box.precedes(first)) {
			first, found = known.box, true
		}
	}
	return first, found
}

// reader returns the digest of the reader of this box's hall, and false if that is this box itself.
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

// reachesStore reports whether this box's recent reads show that it reaches the store.
func (p *peers) reachesStore(now time.Time) bool {
	return p.router.sync.storeReadAge(now) <= p.router.maxStoreDataAge()
}

// hasPredecessor reports whether a live box of the hall precedes this one, whether it reads the store or not.
func (p *peers) hasPredecessor(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, found := p.firstLiveBox(p.router.settings.Hall, now)
	return found && first.precedes(p.self())
}

// hallReader returns the first of a hall's live boxes that reach the store; the caller holds the lock.
func (p *peers) hallReader(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	return p.readerWhere(func(known *peer) bool { return known.box.Hall == hall }, now)
}

// readerWhere returns the first live box that reaches the store among those that isIn accepts; the caller holds the lock.
func (p *peers) readerWhere(isIn func(known *peer) bool, now time.Time) (KnownBox, bool) {
	return p.firstBoxWhere(func(known *peer) bool {
		return isIn(known) && known.isLive(now) && !p.isCutOffFromStore(known, now)
	})
}

// firstLiveBox returns the first of a hall's live boxes; the caller holds the lock.
func (p *peers) firstLiveBox(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	return p.firstBox(hall, func(known *peer) bool { return known.isLive(now) })
}

// hasUnreachableHall reports whether some known hall has no live box, or, in another region, no recent report.
func (p *peers) hasUnreachableHall(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hall := range p.knownHalls() {
		_, isReached := p.firstLiveBox(hall, now)
		if p.isInOtherRegion(hall) {
			isReached = now.Sub(p.otherHalls[hall].at) <= p.hallReportMaxAge()
		}
		if !isReached {
			return true
		}
	}
	return false
}

// hasOtherCandidate reports whether a box elsewhere can take the lease: another hall has a live box or, if one box reads
// the store for a region and only such boxes join the group, another region has a recent report.
func (p *peers) hasOtherCandidate(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hall := range p.knownHalls() {
		if p.router.readsForRegion() {
			if report, found := p.otherHalls[hall]; found && p.isInOtherRegion(hall) && now.Sub(report.at) <= p.hallReportMaxAge() {
				return true
			}
			continue
		}
		if _, found := p.firstLiveBox(hall, now); found && hall != p.router.settings.Hall {
			return true
		}
	}
	return false
}

// isCutOffFromStore reports whether a box's last read of the store is too long ago to rely on it.
func (p *peers) isCutOffFromStore(known *peer, now time.Time) bool {
	readAge, since := time.Duration(known.digest.ReadAgeMs)*time.Millisecond, now.Sub(known.heardAt)
	limit := p.router.maxStoreDataAge()
	// Checked separately: a box of an earlier release may report the longest duration, to which nothing can be added.
	return readAge > limit || readAge+since > limit
}

// hub returns the digest of the box of its hall that this one exchanges gossip with: the reader, or while no box
// reaches the store the first live one, so that an unavailable store doesn't make all boxes exchange with all; false if
// that is this box itself.
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

// hallHub returns the hub of another hall; the caller holds the lock.
func (p *peers) hallHub(hall willowwick.HallID, now time.Time) (KnownBox, bool) {
	return p.hubWhere(func(known *peer) bool { return known.box.Hall == hall }, now)
}

// hubWhere returns the reader among the boxes that isIn accepts, or the first live one while none reaches the store; the
// caller holds the lock.
func (p *peers) hubWhere(isIn func(known *peer) bool, now time.Time) (KnownBox, bool) {
	if reader, found := p.readerWhere(isIn, now); found {
		return reader, true
	}
	return p.firstBoxWhere(func(known *peer) bool { return isIn(known) && known.isLive(now) })
}

// exchangeTargets returns the addresses of the boxes to exchange gossip with now: the hall's hub, on a hub those of the
// other halls, and some silent boxes that would precede them.
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

// hubTargets returns the addresses that a hub exchanges gossip with: the hubs of the other halls of its region, some silent
// boxes of its region that would precede the hub of their hall, and those of regionTargets. The caller holds the lock.
func (p *peers) hubTargets(now time.Time) []string {
	self := p.self()
	var targets []string
	for _, hall := range p.knownHalls() {
		if hall == self.Hall {
			targets = append(targets, p.probeCandidates(hall, self, now)...)
			targets = append(targets, p.silentFollowers(now)...)
			continue
		}
		if p.isInOtherRegion(hall) {
			continue
		}
		hub, found := p.hallHub(hall, now)
		if found {
			targets = append(targets, hub.Address)
		}
		targets = append(targets, p.probeCandidates(hall, hub, now)...)
	}
	return append(targets, p.regionTargets(now)...)
}

// probeCandidates returns the addresses of a few silent boxes of a hall that would precede its hub, if it has one; the
// hall is empty for boxes whose hall is not known. The caller holds the lock.
func (p *peers) probeCandidates(hall willowwick.HallID, hub KnownBox, now time.Time) []string {
	return p.probeCandidatesWhere(func(known *peer) bool { return known.box.Hall == hall }, hub, now)
}

// probeCandidatesWhere is probeCandidates for the boxes that isIn accepts; the caller holds the lock.
func (p *peers) probeCandidatesWhere(isIn func(known *peer) bool, hub KnownBox, now time.Time) []string {
	var silent []KnownBox
	for _, known := range p.known {
		isSilent := !known.isLive(now) && !now.Before(known.nextCallAt)
		candidate := known.box
		candidate.IsStopping = false // it may have been started again
		if isIn(known) && isSilent && (hub.Address == "" || candidate.precedes(hub)) {
			silent = append(silent, candidate)
		}
	}
	slices.SortFunc(silent, p.compareLastCalls)
	var list []string
	for _, box := range silent[:min(len(silent), maxProbesPerRound)] {
		list = append(list, box.Address)
	}
	return list
}

// compareLastCalls orders boxes by their last call, the longest ago first, so that boxes that can't serve as a hub
// don't keep others from being called. The caller holds the lock.
func (p *peers) compareLastCalls(a, b KnownBox) int {
	if order := p.known[a.Address].lastCallAt.Compare(p.known[b.Address].lastCallAt); order != 0 {
		return order
	}
	if a.precedes(b) {
		return -1
	}
	return 1
}

// knownHalls lists the halls of the known boxes; the caller holds the lock.
func (p *peers) knownHalls() []willowwick.HallID {
	var halls []willowwick.HallID
	for _, known := range p.known {
		if hall := known.box.Hall; hall != "" && !slices.Contains(halls, hall) {
			halls = append(halls, hall)
		}
	}
	return halls
}
