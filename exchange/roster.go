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

// maxToldRows bounds the boxes that a caller names: all boxes of a hall call a hub that has just started.
const maxToldRows = 8

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

// noteLacked notes some of the boxes that the roster of another box lacks; the rows are empty if it equals this one's.
func (p *peers) noteLacked(address string, rows []KnownRow, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.known[address]
	if peer == nil {
		return
	}
	peer.lacks = nil
	if len(rows) == 0 {
		return
	}
	isThere := make(map[string]bool, len(rows))
	for _, row := range rows {
		isThere[row.Address] = true
	}
	for other, known := range p.known {
		if len(peer.lacks) < maxToldRows && !isThere[other] && known.isInRoster(now) {
			peer.lacks = append(peer.lacks, other)
		}
	}
}

// rowsLackedBy returns the boxes that a box's roster lacked in its last reply.
func (p *peers) rowsLackedBy(address string, now time.Time) (rows []KnownRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.known[address]
	if peer == nil {
		return nil
	}
	for _, other := range peer.lacks {
		if known := p.known[other]; known != nil && known.isInRoster(now) {
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
