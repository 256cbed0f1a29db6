package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

const (
	// ClaimWindow is how long a claim is kept.
	ClaimWindow = 10 * time.Minute
	// maxEntries bounds the number of claims and session versions in a box's memory.
	maxEntries = 500_000
	// maxKeyClockSkew is how far the time inside a key may be off.
	maxKeyClockSkew = 5 * time.Second
)

type (
	// PutStatus is a replica's reply to a put.
	PutStatus int

	// RegistryEntry is a claim or a session version.
	RegistryEntry struct {
		Key      string
		Value    string
		Deadline time.Time // when the entry expires, by the time of day
	}

	// PutArgs sets a key that isn't set yet, or replaces its value.
	PutArgs struct {
		Epoch   willowwick.Epoch
		Entry   RegistryEntry
		Strict  bool // set for claims: refuse the entry unless this box would know of any earlier one
		Replace bool // overwrite the current value, for a session that must move to another version
	}

	// PutReply is the reply to a put; Value is the value stored under the key.
	PutReply struct {
		Status PutStatus
		Epoch  willowwick.Epoch
		Value  string
	}

	// DropArgs removes a claim whose request was not sent.
	DropArgs struct {
		Key   string
		Value string
	}

	// ExportArgs requests the entries that the box For stores under the roster of an epoch.
	ExportArgs struct {
		Epoch willowwick.Epoch
		For   willowwick.BootID
	}

	// ExportReply returns the entries. Ready is false unless the replying box has adopted the epoch, and has stored entries
	// under it if it goes by a later one; Complete says that it has all entries that it stored under the roster before it.
	ExportReply struct {
		Ready    bool
		Complete bool
		Entries  []RegistryEntry
	}

	// Registry stores entries on pairs of boxes, which are chosen by rendezvous hashing over the roster.
	//
	// A box that is new to a pair first imports the entries from a surviving member of the former pair. If there is
	// none, the entries from before the epoch are unknown until ClaimWindow has passed.
	Registry struct {
		mu          sync.Mutex
		self        willowwick.BootID
		roster      config.Roster
		transitions []*transition
		entries     map[string]RegistryEntry
		exports     map[willowwick.Epoch]exportsByBox // computed once per roster
	}

	// exportsByBox holds the entries that each box stores under one roster.
	exportsByBox map[willowwick.BootID][]RegistryEntry

	// transition is a change of roster and the progress of the imports that follow it.
	transition struct {
		former     config.Roster
		synced     map[willowwick.BootID]bool
		removed    map[willowwick.BootID]bool // members of the former roster that are not on the new one
		hadEntries bool                       // this box was a member of the former roster and still has its entries
		adopted    time.Time
	}
)

// Replies of a replica to a put.
const (
	// PutGranted: the entry is stored.
	PutGranted PutStatus = iota
	// PutHeld: another value is stored under the key.
	PutHeld
	// PutWrongEpoch: the replica has adopted another roster.
	PutWrongEpoch
	// PutSyncing: the replica is still importing entries from the surviving members.
	PutSyncing
	// PutUnknown: the entries from before the roster change are lost.
	PutUnknown
	// PutFull: the replica has reached maxEntries.
	PutFull
	// PutUnconfirmed: the replica doesn't know whether its roster is current.
	PutUnconfirmed
)

// NewRegistry returns an empty registry.
func NewRegistry(self willowwick.BootID) *Registry {
	return &Registry{self: self, entries: map[string]RegistryEntry{}, exports: map[willowwick.Epoch]exportsByBox{}}
}

// ReplicaPair returns the members that store a key: the two that rank highest by rendezvous hashing, the second from
// another hall if there is one.
func ReplicaPair(roster config.Roster, key string) []config.Member {
	var first, second, sameHall *config.Member
	var firstScore, secondScore, sameScore uint64
	for i := range roster.Members {
		if score := rendezvousScore(roster.Members[i].Boot, key); first == nil || score > firstScore {
			first, firstScore = &roster.Members[i], score
		}
	}
	if first == nil {
		return nil
	}
	for i := range roster.Members {
		m := &roster.Members[i]
		if m.Boot == first.Boot {
			continue
		}
		score := rendezvousScore(m.Boot, key)
		if m.Hall != first.Hall && (second == nil || score > secondScore) {
			second, secondScore = m, score
		}
		if sameHall == nil || score > sameScore {
			sameHall, sameScore = m, score
		}
	}
	if second == nil {
		second = sameHall
	}
	if second == nil {
		return []config.Member{*first}
	}
	return []config.Member{*first, *second}
}

func rendezvousScore(boot willowwick.BootID, key string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(boot))
	_, _ = digest.WriteString("|")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Adopt adopts a newer roster and returns the members from which entries must be imported.
func (r *Registry) Adopt(now time.Time, roster, former config.Roster) []config.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if roster.Epoch <= r.roster.Epoch {
		return nil
	}
	t := &transition{
		former: former, adopted: now,
		synced: map[willowwick.BootID]bool{}, removed: map[willowwick.BootID]bool{},
		hadEntries: former.Epoch == r.roster.Epoch && former.IsMember(r.self),
	}
	var sources []config.Member
	for _, m := range former.Members {
		switch {
		case !roster.IsMember(m.Boot):
			t.removed[m.Boot] = true
		case m.Boot != r.self:
			sources = append(sources, m)
		}
	}
	r.roster = roster
	r.transitions = append(r.transitions, t)
	clear(r.exports)
	r.dropOldTransitions(now)
	return sources
}

func (r *Registry) dropOldTransitions(now time.Time) {
	for len(r.transitions) > 0 && now.Sub(r.transitions[0].adopted) > ClaimWindow {
		r.transitions = r.transitions[1:]
	}
}

// Epoch returns the epoch of the adopted roster.
func (r *Registry) Epoch() willowwick.Epoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Epoch
}

// Roster returns the adopted roster.
func (r *Registry) Roster() config.Roster {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster
}

// Import stores entries from a member that has survived the roster change.
func (r *Registry) Import(epoch willowwick.Epoch, from willowwick.BootID, reply ExportReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range reply.Entries {
		if _, known := r.entries[entry.Key]; !known {
			r.entries[entry.Key] = entry
			clear(r.exports)
		}
	}
	if epoch == r.roster.Epoch && reply.Complete && len(r.transitions) > 0 {
		r.transitions[len(r.transitions)-1].synced[from] = true
	}
}

// Export returns the entries that the calling box must store under the roster of the epoch that it goes by.
func (r *Registry) Export(now time.Time, args ExportArgs) ExportReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOldTransitions(now)
	roster, transitions, ok := r.asOf(args.Epoch)
	if !ok {
		return ExportReply{}
	}
	return ExportReply{Ready: true, Complete: r.isComplete(transitions), Entries: r.exportsUnder(now, roster)[args.For]}
}

// asOf returns the roster of an epoch and the transitions up to it; ok is false for rosters that this box has not adopted yet
// or stored nothing under.
func (r *Registry) asOf(epoch willowwick.Epoch) (roster config.Roster, transitions []*transition, ok bool) {
	if epoch == r.roster.Epoch {
		return r.roster, r.transitions, true
	}
	for i, t := range r.transitions {
		if t.former.Epoch == epoch && t.hadEntries {
			return t.former, r.transitions[:i], true
		}
	}
	return config.Roster{}, nil, false
}

// exportsUnder groups the entries by the boxes that store them under a roster, once per roster: a pass for each calling box
// would cost the square of the fleet's size. Entries that are set under that roster need no export, since both replicas
// have accepted them.
func (r *Registry) exportsUnder(now time.Time, roster config.Roster) exportsByBox {
	if exports, ok := r.exports[roster.Epoch]; ok {
		return exports
	}
	exports := exportsByBox{}
	for key, entry := range r.entries {
		if !clock.SystemTime(now).Before(entry.Deadline) {
			continue
		}
		for _, replica := range ReplicaPair(roster, key) {
			exports[replica.Boot] = append(exports[replica.Boot], entry)
		}
	}
	r.exports[roster.Epoch] = exports
	return exports
}

// isComplete reports whether this box had all entries of the pairs to which it belonged before the last of the transitions.
func (r *Registry) isComplete(transitions []*transition) bool {
	if len(transitions) == 0 {
		return true
	}
	last := len(transitions) - 1
	if len(transitions[last].former.Members) > 0 && !transitions[last].hadEntries {
		return false
	}
	for _, t := range transitions[:last] {
		if !t.isCovered(r.self) {
			return false
		}
	}
	return true
}

// isCovered reports whether every pair of the former roster has a member whose entries this box has: its own, or imported
// ones. A pair is two boxes, so the entries of any one may be missing, be that box lost or slow.
func (t *transition) isCovered(self willowwick.BootID) bool {
	if len(t.former.Members) == 0 {
		return true
	}
	missing := 0
	for _, m := range t.former.Members {
		if isOwn := m.Boot == self && t.hadEntries; !isOwn && !t.synced[m.Boot] {
			missing++
		}
	}
	return missing <= 1 && missing < len(t.former.Members)
}

// Put sets a key that isn't set yet, or replaces its value if args.Replace is set.
func (r *Registry) Put(now time.Time, args PutArgs) PutReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := PutReply{Epoch: r.roster.Epoch}
	entry, known := r.entries[args.Entry.Key]
	known = known && clock.SystemTime(now).Before(entry.Deadline) && !args.Replace
	if known && entry.Value != args.Entry.Value {
		reply.Status, reply.Value = PutHeld, entry.Value
		return reply
	}
	if args.Strict && args.Epoch != r.roster.Epoch {
		reply.Status = PutWrongEpoch
		return reply
	}
	if known {
		reply.Value = entry.Value
		return reply
	}
	if args.Strict {
		if status := r.coverage(now, args.Entry.Key); status != PutGranted {
			reply.Status = status
			return reply
		}
	}
	if len(r.entries) >= maxEntries {
		reply.Status = PutFull
		return reply
	}
	r.entries[args.Entry.Key] = args.Entry
	reply.Value = args.Entry.Value
	return reply
}

// coverage returns PutGranted if this box would know of an earlier entry under the key, and the reason for the
// refusal otherwise.
func (r *Registry) coverage(now time.Time, key string) PutStatus {
	r.dropOldTransitions(now)
	for i := len(r.transitions) - 1; i >= 0; i-- {
		t := r.transitions[i]
		if len(t.former.Members) == 0 || isCreatedAfter(key, t.adopted) {
			return PutGranted
		}
		own, survivors := false, 0
		for _, m := range ReplicaPair(t.former, key) {
			switch {
			case m.Boot == r.self && t.hadEntries:
				own = true
			case t.synced[m.Boot]:
				return PutGranted
			case m.Boot != r.self && !t.removed[m.Boot]:
				survivors++
			}
		}
		if own {
			continue
		}
		if survivors > 0 && i == len(r.transitions)-1 {
			return PutSyncing
		}
		return PutUnknown
	}
	return PutGranted
}

// isCreatedAfter reports whether a key ends with a time-based (version 7) UUID that was made after the given time.
func isCreatedAfter(key string, at time.Time) bool {
	if len(key) < uuidLength {
		return false
	}
	id, err := uuid.Parse(key[len(key)-uuidLength:])
	if err != nil || id.Version() != uuidVersionWithTime {
		return false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).After(at.Add(maxKeyClockSkew))
}

const (
	uuidLength          = 36
	uuidVersionWithTime = 7
)

// Drop removes an entry if its value is the given one.
func (r *Registry) Drop(args DropArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[args.Key].Value == args.Value {
		delete(r.entries, args.Key)
	}
}

// Sweep removes expired entries.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, entry := range r.entries {
		if !clock.SystemTime(now).Before(entry.Deadline) {
			delete(r.entries, key)
		}
	}
}

// Len returns the number of entries.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Owner returns the box that owns a name by rendezvous hashing, or "" if there are no boxes.
func Owner(boxes []LiveBox, name string) willowwick.BoxID {
	var owner willowwick.BoxID
	var highest uint64
	for _, box := range boxes {
		if score := rendezvousScore(box.Boot, name); owner == "" || score > highest {
			owner, highest = box.Box, score
		}
	}
	return owner
}
