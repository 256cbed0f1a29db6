package exchange

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

// Boxes know most others from their hub alone. In each swap the box that calls tells a sum over the boxes that it knows. Where
// the other knows the same ones, it answers how lately it has seen those of each hall, and the caller takes them for seen as
// lately; where it does not, it names them all. Each box is told of with the time since it was itself heard of or named,
// so that one that is gone is forgotten by all at the same time.
//
// Without the ages, entries would run out one by one, and each would bring all the others with it.

// sum is the box's part of a sum over boxes.
func (b KnownBox) sum() uint64 {
	return xxhash.Sum64String(memberName(b))
}

// row tells of the box, seen so long ago.
func (b KnownBox) knownRow(age time.Duration) KnownRow {
	return KnownRow{Address: b.Address, Hall: b.Hall, LinkMbps: b.LinkMbps, AgeMs: age.Milliseconds()}
}

// isCounted reports whether a box is among those that boxes tell each other of.
func (known *peer) isInRoster(now time.Time) bool {
	return known.box.Hall != "" && known.isRetained(now)
}

// knownSum is a sum over the boxes whose hall is known, this one included.
func (p *peers) rosterSum(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := p.self().sum()
	for _, known := range p.known {
		if known.isInRoster(now) {
			sum += known.sum
		}
	}
	return sum
}

// knownRows lists the boxes whose hall is known, this one included.
func (p *peers) rosterRows(now time.Time) []KnownRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []KnownRow{p.self().knownRow(0)}
	for _, known := range p.known {
		if known.isInRoster(now) {
			rows = append(rows, known.box.knownRow(now.Sub(known.lastSeen())))
		}
	}
	return rows
}

// hallAges tells how lately the boxes of each hall were seen.
func (p *peers) hallAges(now time.Time) []HallAge {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := map[willowwick.HallID]int64{p.self().Hall: 0}
	for _, known := range p.known {
		if known.isInRoster(now) {
			oldest[known.box.Hall] = max(oldest[known.box.Hall], now.Sub(known.lastSeen()).Milliseconds())
		}
	}
	ages := make([]HallAge, 0, len(oldest))
	for hall, ageMs := range oldest {
		ages = append(ages, HallAge{hall, ageMs})
	}
	return ages
}

// renew takes boxes for as lately seen as by another box that knows the same ones and told their ages as of a time.
func (p *peers) renewLastSeen(ages []HallAge, asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[willowwick.HallID]time.Time, len(ages))
	for _, age := range ages {
		seen[age.Hall] = asOf.Add(-time.Duration(age.OldestMs) * time.Millisecond)
	}
	for _, known := range p.known {
		// One that is no longer counted is about to be forgotten: the ages don't tell of it.
		if known.isInRoster(asOf) {
			known.namedAt = latest(known.namedAt, seen[known.box.Hall])
		}
	}
}
