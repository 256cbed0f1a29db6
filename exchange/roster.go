package exchange

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

// The roster is the set of known boxes. Most boxes know the others from their hub alone. In each gossip exchange the
// caller sends a checksum of its roster. A peer with the same roster replies how recently it has seen the boxes of each
// hall, and the caller takes over these ages; a peer with another one replies with its whole roster. Each entry carries
// the time since the box was last seen (its digest arrived) or named, so that all boxes forget a box that is gone at the
// same time.
//
// Without the ages of halls entries would expire one by one, and each would cause the whole roster to be sent.

// sum returns the box's term of the roster's checksum.
func (b KnownBox) sum() uint64 {
	return xxhash.Sum64String(memberName(b))
}

// knownRow returns the roster entry of the box, last seen that long ago.
func (b KnownBox) knownRow(age time.Duration) KnownRow {
	return KnownRow{Address: b.Address, Hall: b.Hall, LinkMbps: b.LinkMbps, AgeMs: age.Milliseconds()}
}

// isInRoster reports whether a box is part of the roster.
func (known *peer) isInRoster(now time.Time) bool {
	return known.box.Hall != "" && known.isRetained(now)
}

// rosterSum returns the checksum of the roster: the boxes whose hall is known, this one included.
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

// rosterRows lists the boxes whose hall is known, this one included.
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

// hallAges returns how recently the boxes of each hall were seen.
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

// hallAgesFor returns hallAges for a box of a hall; another region gets those of this one only.
func (p *peers) hallAgesFor(hall willowwick.HallID, now time.Time) []HallAge {
	ages := p.hallAges(now)
	if p.isInOtherRegion(hall) {
		ages = slices.DeleteFunc(ages, func(age HallAge) bool { return p.isInOtherRegion(age.Hall) })
	}
	return ages
}

// renewLastSeen takes over the ages of another box with the same roster, as of the given time.
func (p *peers) renewLastSeen(ages []HallAge, asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[willowwick.HallID]time.Time, len(ages))
	for _, age := range ages {
		seen[age.Hall] = asOf.Add(-time.Duration(age.OldestMs) * time.Millisecond)
	}
	for _, known := range p.known {
		// A box that has left the roster is about to be dropped: the ages don't include it.
		if known.isInRoster(asOf) {
			known.namedAt = latest(known.namedAt, seen[known.box.Hall])
		}
	}
}
