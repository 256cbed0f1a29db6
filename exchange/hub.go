package exchange

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// triedAtOnce bounds how many silent boxes of a hall one round of swaps tries: with all of a large fleet started at
// once, more would take the processor from the requests of callers.
const triedAtOnce = 2

// reader is the digest of the box that reads the store for this one, and false if this box reads it itself.
func (p *peers) reader(now time.Time) (Digest, bool) {
	self := p.router.settings
	reads := p.router.sync.readAge(now) <= scale(self.Drain, reliedShare)
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.readerOf(self.Hall, now)
	if address == "" || reads && self.Peers < address {
		return Digest{}, false
	}
	return p.known[address].digest, true
}

// isBehind reports whether a box of the hall with a lower address is in touch, whether it reads the store or not.
func (p *peers) isBehind(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.known {
		if known.hall == p.router.settings.Hall && now.Sub(known.heard) <= peerFresh && address < p.router.settings.Peers {
			return true
		}
	}
	return false
}

// hallSize is the number of the hall's boxes as far as they are known, this one included; most are known from the hub.
func (p *peers) hallSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 1
	for _, known := range p.known {
		if known.hall == p.router.settings.Hall {
			size++
		}
	}
	return size
}

// readerOf is the lowest address of a hall's boxes that are in touch and reach the store; the caller holds the lock.
func (p *peers) readerOf(hall willowwick.HallID, now time.Time) string {
	lowest := ""
	for address, known := range p.known {
		if known.hall != hall || now.Sub(known.heard) > peerFresh || p.isCutOff(known, now) {
			continue
		}
		if lowest == "" || address < lowest {
			lowest = address
		}
	}
	return lowest
}

// isCutOff reports whether a box has not read the store for too long to rely on it.
func (p *peers) isCutOff(known *peer, now time.Time) bool {
	age := time.Duration(known.digest.ReadAgeMs)*time.Millisecond + now.Sub(known.heard)
	return age > scale(p.router.settings.Drain, reliedShare)
}

// hub is the box of its hall that this one swaps with: the reader, or while no box reaches the store the lowest address
// in touch, so that an absent store does not set all boxes to swapping with all; false if that is this box itself.
func (p *peers) hub(now time.Time) (Digest, bool) {
	if reader, found := p.reader(now); found {
		return reader, true
	}
	self := p.router.settings
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readerOf(self.Hall, now) != "" {
		// This box reads the store and comes before the others that do.
		return Digest{}, false
	}
	lowest := p.lowestInTouch(self.Hall, now)
	if lowest == "" || self.Peers < lowest {
		return Digest{}, false
	}
	return p.known[lowest].digest, true
}

// hubOf is the hub of another hall; the caller holds the lock.
func (p *peers) hubOf(hall willowwick.HallID, now time.Time) string {
	if reader := p.readerOf(hall, now); reader != "" {
		return reader
	}
	return p.lowestInTouch(hall, now)
}

// lowestInTouch is the lowest address of a hall's boxes that were heard of lately; the caller holds the lock.
func (p *peers) lowestInTouch(hall willowwick.HallID, now time.Time) string {
	lowest := ""
	for address, known := range p.known {
		if known.hall == hall && now.Sub(known.heard) <= peerFresh && (lowest == "" || address < lowest) {
			lowest = address
		}
	}
	return lowest
}

// targets are the boxes to swap with now: the hall's hub, on a hub those of the other halls, and some silent boxes that
// would come before them.
func (p *peers) targets(now time.Time) []string {
	hub, hasHub := p.hub(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.router.settings
	targets := p.candidates("", "", now)
	for _, hall := range p.hallsKnown() {
		if hasHub && hall != self.Hall {
			continue
		}
		before := self.Peers
		switch {
		case hall != self.Hall:
			before = p.hubOf(hall, now)
		case hasHub:
			before = hub.Address
		}
		if before != "" && before != self.Peers {
			targets = append(targets, before)
		}
		targets = append(targets, p.candidates(hall, before, now)...)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// candidates are the first few boxes of a hall that were not heard of lately and would come before its hub; the hall is
// empty for boxes whose hall is not known. The caller holds the lock.
func (p *peers) candidates(hall willowwick.HallID, hub string, now time.Time) []string {
	var silent []string
	for address, known := range p.known {
		isSilent := now.Sub(known.heard) > peerFresh && !now.Before(known.tryAt)
		if known.hall == hall && isSilent && (hub == "" || address < hub) {
			silent = append(silent, address)
		}
	}
	slices.Sort(silent)
	return silent[:min(len(silent), triedAtOnce)]
}

// hallsKnown lists the halls of the known boxes; the caller holds the lock.
func (p *peers) hallsKnown() []willowwick.HallID {
	var halls []willowwick.HallID
	for _, known := range p.known {
		if known.hall != "" && !slices.Contains(halls, known.hall) {
			halls = append(halls, known.hall)
		}
	}
	return halls
}
