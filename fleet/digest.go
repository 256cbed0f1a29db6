package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/rollout"
)

type (
	// NameHash is the hash that stands for a name in digests, where full names would take up most of the bytes.
	NameHash uint32

	// DigestVersion orders the digests of a box, first by the start time of the box, then by sequence number.
	DigestVersion uint64

	// Demand holds the demand of client accounts in tokens per second, one column per field.
	Demand struct {
		Accounts []NameHash
		Rates    []uint32
	}

	// VersionCounts holds the evidence on versions since a box started, one column per field.
	VersionCounts struct {
		Versions []NameHash
		Requests []uint64
		Errors   []uint64
		Slow     []uint64
		Rated    []uint64
		Low      []uint64
	}

	// Loads holds the endpoint load reports that one box of the hall polled, one column per field.
	Loads struct {
		Endpoints []NameHash
		Running   []uint32
		Waiting   []uint32
		Slots     []uint32
		AgeMs     []uint32 // age of the report when the digest was made
	}

	// Digest is the state that a box sends to the other boxes of its hall.
	Digest struct {
		Box       willowwick.BoxID
		Boot      willowwick.BootID
		Version   DigestVersion
		Hall      willowwick.HallID
		Peer      string
		Offset    willowwick.Offset
		ConfirmMs int64 // time since the offset was last confirmed as current; negative if never
		Demand    Demand
		Evidence  VersionCounts
		Loads     Loads
		Leaving   []willowwick.EndpointID
		Draining  bool
	}

	// HallMember describes one box in a hall's digest.
	HallMember struct {
		Box   willowwick.BoxID
		Boot  willowwick.BootID
		AgeMs int64 // time since its digest last changed

		Draining bool
	}

	// HallDigest sums up a hall for the other halls.
	HallDigest struct {
		Hall     willowwick.HallID
		Stamp    int64 // sequence number of the period in which it was made
		Offset   willowwick.Offset
		Members  []HallMember
		Demand   Demand
		Evidence VersionCounts
		Leaving  []willowwick.EndpointID
	}

	// Marks lists the digest version that the sender has of each box, one column per field.
	Marks struct {
		Boxes    []NameHash
		Versions []DigestVersion
	}

	// HallMark is the stamp of the digest that the sender has of a hall.
	HallMark struct {
		Hall  willowwick.HallID
		Stamp int64
	}

	// ExchangeArgs lists the digests that the caller has. Digests of the caller's own hall are sent only within that
	// hall.
	ExchangeArgs struct {
		Peer      string // the caller's own address
		Hall      willowwick.HallID
		Offset    willowwick.Offset
		Marks     Marks
		HallMarks []HallMark
		Halls     []HallDigest
		Harm      quarantine.Call
		Limits    ratelimit.Updates
	}

	// ExchangeReply returns the digests that the caller lacked and lists those that the replying box lacks.
	ExchangeReply struct {
		Offset    willowwick.Offset
		ConfirmMs int64
		Digests   []Digest
		Halls     []HallDigest
		Want      []NameHash
		Boot      willowwick.BootID
		Harm      quarantine.Updates
		Limits    ratelimit.Updates
	}

	// PushArgs carries the digests that an ExchangeReply asked for.
	PushArgs struct {
		Digests []Digest
	}

	// Nothing is the empty argument or reply of an RPC.
	Nothing struct{}
)

const (
	hashBits    = 32
	versionBits = 24 // bits for the sequence number; the rest holds the start time in seconds
)

// HashName returns the hash that stands for a name in digests.
func HashName[T ~string](name T) NameHash {
	return NameHash(xxhash.Sum64String(string(name)) >> hashBits)
}

// newDigestVersion packs a box's start time and the sequence number of a digest into a version.
func newDigestVersion(started time.Time, number uint64) DigestVersion {
	return DigestVersion(uint64(started.Unix())<<versionBits | number&(1<<versionBits-1))
}

// Add adds one account's demand.
func (d *Demand) Add(account NameHash, rate float64) {
	d.Accounts = append(d.Accounts, account)
	d.Rates = append(d.Rates, uint32(rate))
}

// Add adds the evidence on one version.
func (v *VersionCounts) Add(version NameHash, e rollout.Evidence) {
	v.Versions = append(v.Versions, version)
	v.Requests = append(v.Requests, e.Requests)
	v.Errors = append(v.Errors, e.Errors)
	v.Slow = append(v.Slow, e.Slow)
	v.Rated = append(v.Rated, e.Rated)
	v.Low = append(v.Low, e.Low)
}

// At returns the evidence in one row.
func (v *VersionCounts) At(row int) rollout.Evidence {
	return rollout.Evidence{
		Requests: v.Requests[row], Errors: v.Errors[row], Slow: v.Slow[row], Rated: v.Rated[row], Low: v.Low[row],
	}
}

// isWellFormed reports whether all columns have the same length.
func (v *VersionCounts) isWellFormed() bool {
	n := len(v.Versions)
	return len(v.Requests) == n && len(v.Errors) == n && len(v.Slow) == n && len(v.Rated) == n && len(v.Low) == n
}

// Add adds one endpoint's report.
func (l *Loads) Add(load willowwick.EndpointLoad, now time.Time) {
	l.Endpoints = append(l.Endpoints, HashName(load.Endpoint))
	l.Running = append(l.Running, uint32(load.Running))
	l.Waiting = append(l.Waiting, uint32(load.Waiting))
	l.Slots = append(l.Slots, uint32(load.Slots))
	l.AgeMs = append(l.AgeMs, uint32(max(0, now.Sub(load.At).Milliseconds())))
}

// At returns the report in one row; its age is relative to the time when the digest was received.
func (l *Loads) At(row int, received time.Time) willowwick.EndpointLoad {
	return willowwick.EndpointLoad{
		Running: int(l.Running[row]),
		Waiting: int(l.Waiting[row]),
		Slots:   int(l.Slots[row]),
		At:      received.Add(-time.Duration(l.AgeMs[row]) * time.Millisecond),
	}
}

func (l *Loads) isWellFormed() bool {
	n := len(l.Endpoints)
	return len(l.Running) == n && len(l.Waiting) == n && len(l.Slots) == n && len(l.AgeMs) == n
}

// isWellFormed reports whether the digest's columns have matching lengths; a digest from a peer may not.
func (d *Digest) isWellFormed() bool {
	return len(d.Demand.Accounts) == len(d.Demand.Rates) && d.Evidence.isWellFormed() && d.Loads.isWellFormed()
}

func (h *HallDigest) isWellFormed() bool {
	return len(h.Demand.Accounts) == len(h.Demand.Rates) && h.Evidence.isWellFormed()
}

// knownStamp returns the stamp of the digest that the caller has of a hall, or 0 if it has none.
func (a ExchangeArgs) knownStamp(hall willowwick.HallID) int64 {
	for _, mark := range a.HallMarks {
		if mark.Hall == hall {
			return mark.Stamp
		}
	}
	return 0
}

// digestTotals sums up the digests of one hall.
type digestTotals struct {
	demand   map[NameHash]float64
	evidence map[NameHash]rollout.Evidence
	draining map[willowwick.EndpointID]bool
}

func newDigestTotals() *digestTotals {
	return &digestTotals{
		demand:   map[NameHash]float64{},
		evidence: map[NameHash]rollout.Evidence{},
		draining: map[willowwick.EndpointID]bool{},
	}
}

func (s *digestTotals) add(d *Digest) {
	for row, account := range d.Demand.Accounts {
		s.demand[account] += float64(d.Demand.Rates[row])
	}
	for row, version := range d.Evidence.Versions {
		s.evidence[version] = s.evidence[version].Add(d.Evidence.At(row))
	}
	for _, id := range d.Leaving {
		s.draining[id] = true
	}
}

// writeTo writes the totals into a hall's digest, sorted by key.
func (s *digestTotals) writeTo(h *HallDigest) {
	for _, account := range sortedNames(s.demand) {
		h.Demand.Add(account, s.demand[account])
	}
	for _, version := range sortedNames(s.evidence) {
		h.Evidence.Add(version, s.evidence[version])
	}
	h.Leaving = sortedNames(s.draining)
}

func sortedNames[K NameHash | willowwick.EndpointID, V any](m map[K]V) []K {
	names := make([]K, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
