package fleet

import (
	"math/bits"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

const (
	// baseLivenessTimeout is how long a box may send no digest and still count as alive, in addition to missedDigests
	// digest intervals and the time that a digest takes to spread through the hall.
	baseLivenessTimeout = 2 * time.Second
	missedDigests       = 3
	missedHallPeriods   = 3
	// hallPeriod is how often the digest of a hall is renewed.
	hallPeriod = 5 * time.Second
	// forgetAfter is how long a box without new digests stays in the table.
	forgetAfter = 10 * time.Minute
)

type (
	// Table holds the latest digests of the boxes of this hall and of the other halls.
	Table struct {
		mu    sync.Mutex
		self  Identity
		boxes map[willowwick.BoxID]receivedDigest
		halls map[willowwick.HallID]receivedHallDigest
	}

	// Identity identifies a daemon.
	Identity struct {
		Box     willowwick.BoxID
		Boot    willowwick.BootID
		Hall    willowwick.HallID
		Peer    string
		Started time.Time
	}

	receivedDigest struct {
		Digest
		receivedAt time.Time
	}

	receivedHallDigest struct {
		HallDigest
		receivedAt time.Time
	}

	// LiveBox is a box whose digest was received recently enough to count as alive.
	LiveBox struct {
		Box  willowwick.BoxID
		Boot willowwick.BootID
		Hall willowwick.HallID
		Peer string
		// Draining is set during a planned stop of the box.
		Draining bool
	}
)

// NewTable returns an empty table.
func NewTable(self Identity) *Table {
	return &Table{
		self:  self,
		boxes: map[willowwick.BoxID]receivedDigest{},
		halls: map[willowwick.HallID]receivedHallDigest{},
	}
}

// Merge stores the digests that are newer than the known ones, and returns the stored digests of boxes.
func (t *Table) Merge(now time.Time, digests []Digest, halls []HallDigest) []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var taken []Digest
	for _, d := range digests {
		known := t.boxes[d.Box]
		if d.Hall != t.self.Hall || d.Version <= known.Version || !d.isWellFormed() {
			continue
		}
		if d.Box == t.self.Box && d.Boot != t.self.Boot {
			continue
		}
		t.boxes[d.Box] = receivedDigest{Digest: d, receivedAt: now}
		taken = append(taken, d)
	}
	for _, h := range halls {
		if h.Hall != t.self.Hall && h.Stamp > t.halls[h.Hall].Stamp && h.isWellFormed() {
			t.halls[h.Hall] = receivedHallDigest{HallDigest: h, receivedAt: now}
		}
	}
	return taken
}

// Marks returns the versions and stamps of the digests in the table.
func (t *Table) Marks() (Marks, []HallMark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks Marks
	for _, d := range t.boxes {
		marks.Boxes = append(marks.Boxes, HashName(d.Box))
		marks.Versions = append(marks.Versions, d.Version)
	}
	hallMarks := make([]HallMark, 0, len(t.halls))
	for _, h := range t.halls {
		hallMarks = append(hallMarks, HallMark{Hall: h.Hall, Stamp: h.Stamp})
	}
	return marks, hallMarks
}

// Newer returns the digests that a peer with the given marks lacks, and the boxes of which the peer has newer
// digests.
func (t *Table) Newer(args ExchangeArgs) ([]Digest, []HallDigest, []NameHash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var digests []Digest
	var want []NameHash
	if args.Hall == t.self.Hall && len(args.Marks.Boxes) == len(args.Marks.Versions) {
		digests, want = t.compareMarks(args.Marks)
	}
	var halls []HallDigest
	for id, h := range t.halls {
		if id != args.Hall && h.Stamp > args.knownStamp(id) {
			halls = append(halls, h.HallDigest)
		}
	}
	return digests, halls, want
}

func (t *Table) compareMarks(marks Marks) (newer []Digest, want []NameHash) {
	peerVersions := make(map[NameHash]DigestVersion, len(marks.Boxes))
	for row, box := range marks.Boxes {
		peerVersions[box] = marks.Versions[row]
	}
	for _, own := range t.boxes {
		box := HashName(own.Box)
		switch {
		case own.Version > peerVersions[box]:
			newer = append(newer, own.Digest)
		case own.Version < peerVersions[box]:
			want = append(want, box)
		}
		delete(peerVersions, box)
	}
	// The remaining boxes are known to the peer only.
	for box := range peerVersions {
		want = append(want, box)
	}
	return newer, want
}

// Select returns the digests of the named boxes.
func (t *Table) Select(boxes []NameHash) []Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var digests []Digest
	for _, d := range t.boxes {
		if slices.Contains(boxes, HashName(d.Box)) {
			digests = append(digests, d.Digest)
		}
	}
	return digests
}

// DigestInterval returns how often a box renews its digest in a hall of the given size.
func DigestInterval(hallSize int) time.Duration {
	return loopInterval * time.Duration(1+hallSize/digestsPerSecond)
}

// livenessTimeout returns how long a box may send no new digest and still count as alive; the caller holds the lock.
func (t *Table) livenessTimeout() time.Duration {
	size := len(t.boxes)
	spread := loopInterval * time.Duration(bits.Len(uint(size)))
	return baseLivenessTimeout + missedDigests*DigestInterval(size) + spread
}

// hallLivenessTimeout is livenessTimeout for boxes of other halls, which are known through their hall's digest only.
func (t *Table) hallLivenessTimeout() time.Duration {
	return t.livenessTimeout() + missedHallPeriods*hallPeriod
}

// hallStamp returns the number of the current period. All digests of a hall within a period have the same stamp,
// whichever box makes them, so that only one digest per period spreads.
func hallStamp(now time.Time) int64 {
	return clock.SystemTime(now).UnixNano() / int64(hallPeriod) // by the time of day, which all boxes share
}

// HallDigest sums up the digests of this hall.
func (t *Table) HallDigest(now time.Time) HallDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := HallDigest{Hall: t.self.Hall, Stamp: hallStamp(now)}
	total := newDigestTotals()
	for _, d := range t.boxes {
		age := now.Sub(d.receivedAt)
		if age > t.livenessTimeout() {
			continue
		}
		h.Members = append(h.Members, HallMember{Box: d.Box, Boot: d.Boot, AgeMs: age.Milliseconds(), Draining: d.Draining})
		h.Offset = max(h.Offset, d.Offset)
		total.add(&d.Digest)
	}
	sort.Slice(h.Members, func(i, j int) bool { return h.Members[i].Box < h.Members[j].Box })
	total.writeTo(&h)
	return h
}

// Live returns the live boxes, this one included, sorted by box ID. Boxes of other halls have no peer address here:
// only the platform's list has it.
func (t *Table) Live(now time.Time) []LiveBox {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := []LiveBox{{Box: t.self.Box, Boot: t.self.Boot, Hall: t.self.Hall, Peer: t.self.Peer}}
	for _, d := range t.boxes {
		if d.Box != t.self.Box && now.Sub(d.receivedAt) <= t.livenessTimeout() {
			live = append(live, LiveBox{Box: d.Box, Boot: d.Boot, Hall: d.Hall, Peer: d.Peer, Draining: d.Draining})
		}
	}
	for _, h := range t.halls {
		for _, m := range h.Members {
			if now.Sub(h.receivedAt)+time.Duration(m.AgeMs)*time.Millisecond <= t.hallLivenessTimeout() {
				live = append(live, LiveBox{Box: m.Box, Boot: m.Boot, Hall: h.Hall, Draining: m.Draining})
			}
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Box < live[j].Box })
	return live
}

// Evidence returns the counts of each source, which is another box of this hall or another hall.
func (t *Table) Evidence() map[string]VersionCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sources := map[string]VersionCounts{}
	for _, d := range t.boxes {
		if d.Box != t.self.Box {
			sources[string(d.Boot)] = d.Evidence
		}
	}
	for _, h := range t.halls {
		sources["hall/"+string(h.Hall)] = h.Evidence
	}
	return sources
}

// Peers returns the demand of the other boxes for the limiter; expected is the size of the fleet, and names maps the
// hashes of the client accounts.
func (t *Table) Peers(now time.Time, expected int, names map[NameHash]willowwick.AccountID) []route.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []route.Peer
	for _, d := range t.boxes {
		if d.Box != t.self.Box && now.Sub(d.receivedAt) <= t.livenessTimeout() {
			peers = append(peers, route.Peer{Fresh: true, Demand: decodeDemand(d.Demand, names)})
		}
	}
	for _, h := range t.halls {
		if now.Sub(h.receivedAt) > t.hallLivenessTimeout() || len(h.Members) == 0 {
			continue
		}
		// The hall's whole demand is assigned to one of its members; the limiter uses only sums.
		peers = append(peers, route.Peer{Fresh: true, Demand: decodeDemand(h.Demand, names)})
		for range len(h.Members) - 1 {
			peers = append(peers, route.Peer{Fresh: true})
		}
	}
	for len(peers)+1 < expected {
		peers = append(peers, route.Peer{})
	}
	return peers
}

func decodeDemand(columns Demand, names map[NameHash]willowwick.AccountID) route.Demand {
	demand := make(route.Demand, len(columns.Accounts))
	for row, account := range columns.Accounts {
		if name, ok := names[account]; ok {
			demand[name] = float64(columns.Rates[row])
		}
	}
	return demand
}

// Forget removes boxes and halls without new digests for forgetAfter.
func (t *Table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for box, d := range t.boxes {
		if now.Sub(d.receivedAt) > forgetAfter {
			delete(t.boxes, box)
		}
	}
	for hall, h := range t.halls {
		if now.Sub(h.receivedAt) > forgetAfter {
			delete(t.halls, hall)
		}
	}
}

// EvidenceTracker computes the increments of the cumulative counts of many sources.
type EvidenceTracker struct {
	marks map[string]map[NameHash]evidenceMark
}

// evidenceMark holds the counts of a version that were added last.
type evidenceMark struct {
	rollout.Evidence
	lowSince time.Time // since when the counts are below these; zero if they aren't
}

const counterResetDelay = 16 * time.Second

// NewEvidenceTracker returns an empty tracker.
func NewEvidenceTracker() *EvidenceTracker {
	return &EvidenceTracker{marks: map[string]map[NameHash]evidenceMark{}}
}

// AddDeltas adds the increments of all sources to totals, and forgets sources that are no longer present.
func (e *EvidenceTracker) AddDeltas(now time.Time, sources map[string]VersionCounts, totals map[NameHash]rollout.Evidence) {
	for source := range e.marks {
		if _, known := sources[source]; !known {
			delete(e.marks, source)
		}
	}
	for source, counts := range sources {
		e.addDelta(now, source, counts, totals)
	}
}

// addDelta adds the increments of one source to totals.
//
// The totals of a hall may drop a little when another box computed them, or for good when a box restarted; counting
// restarts only in the second case, which is a drop that lasts longer than counterResetDelay.
func (e *EvidenceTracker) addDelta(now time.Time, source string, counts VersionCounts, totals map[NameHash]rollout.Evidence) {
	marks := e.marks[source]
	if marks == nil {
		marks = map[NameHash]evidenceMark{}
		e.marks[source] = marks
	}
	for row, version := range counts.Versions {
		mark, seen := marks[version], counts.At(row)
		if seen.Requests >= mark.Requests {
			totals[version] = totals[version].Add(seen.Since(mark.Evidence))
			marks[version] = evidenceMark{Evidence: seen}
			continue
		}
		if mark.lowSince.IsZero() {
			mark.lowSince = now
		} else if now.Sub(mark.lowSince) > counterResetDelay {
			mark = evidenceMark{Evidence: seen}
		}
		marks[version] = mark
	}
}
