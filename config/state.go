package config

import (
	"encoding/json"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	maxAuditEntries = 512
	maxSeenChanges  = 4096
)

type (
	// State is the result of folding the configuration stream up to Offset. It is immutable.
	State struct {
		Offset         willowwick.Offset                  `json:"offset"`
		Objects        map[Key]Object                     `json:"objects"`
		Withdrawn      map[willowwick.VersionID]Withdrawn `json:"withdrawn"`
		Progress       map[willowwick.RolloutID]Progress  `json:"progress"`
		Lease          Lease                              `json:"lease"`
		Roster         Roster                             `json:"roster"`
		PreviousRoster Roster                             `json:"former"` // previous roster
		Audit          []AuditEntry                       `json:"audit"`
		Seen           []SeenChange                       `json:"seen"`
	}

	// Withdrawn records the withdrawal of a version: it is permanently out of use.
	Withdrawn struct {
		At     willowwick.Offset `json:"at"`
		Author string            `json:"author"`
		Reason string            `json:"reason"`
	}

	// Progress is the progress of a roll-out.
	Progress struct {
		Step     int               `json:"step"`
		Done     bool              `json:"done"`
		Declared willowwick.Offset `json:"declared"` // offset of the declaration that the progress belongs to
		At       willowwick.Offset `json:"at"`
	}

	// Lease names the daemon that may write the roster and advance roll-outs. Fence rises with each new holder, so that the
	// fold rejects records of former holders.
	Lease struct {
		Boot        willowwick.BootID `json:"boot,omitempty"`
		Box         willowwick.BoxID  `json:"box,omitempty"`
		Fence       willowwick.Fence  `json:"fence,omitempty"`
		Renewed     willowwick.Offset `json:"renewed,omitempty"`
		ClaimNumber uint64            `json:"ask,omitempty"` // number of the claim that was granted last
	}

	// Roster is the list of the fleet's members at an epoch.
	Roster struct {
		Epoch   willowwick.Epoch `json:"epoch"`
		Members []Member         `json:"members,omitempty"`
	}

	// AuditEntry records the author of a record and whether the fold accepted it.
	AuditEntry struct {
		Offset   willowwick.Offset   `json:"offset"`
		ID       willowwick.ChangeID `json:"id,omitempty"`
		Kind     RecordKind          `json:"kind"`
		Author   string              `json:"author"`
		Reason   string              `json:"reason"`
		Objects  []string            `json:"objects,omitempty"` // their keys, with "-" before that of a deleted object
		Accepted bool                `json:"accepted"`
		Why      string              `json:"why,omitempty"` // reason of a rejection
	}

	// SeenChange is the ID of a folded change, kept so that the fold ignores a retried append.
	SeenChange struct {
		ID willowwick.ChangeID `json:"id"`
		At willowwick.Offset   `json:"at"`
	}
)

// NewState returns the empty state before the first record.
func NewState() *State {
	return &State{
		Objects:   map[Key]Object{},
		Withdrawn: map[willowwick.VersionID]Withdrawn{},
		Progress:  map[willowwick.RolloutID]Progress{},
	}
}

// Encode returns the state as JSON, as used in snapshots and sent to joining boxes.
func (s *State) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode state")
}

// DecodeState decodes the output of Encode.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	for key, object := range s.Objects {
		if err := object.decode(); err != nil {
			return nil, errors.Wrap(err, "decode state")
		}
		s.Objects[key] = object
	}
	return s, nil
}

// Hash returns a hash of the state without its offset, to compare the states of boxes.
func (s *State) Hash() (uint64, error) {
	plain := *s
	plain.Offset = 0
	data, err := plain.Encode()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}

// FindAuditEntry returns the newest audit entry of a change, and false if none is kept.
func (s *State) FindAuditEntry(id willowwick.ChangeID) (AuditEntry, bool) {
	for i := len(s.Audit) - 1; i >= 0; i-- {
		if s.Audit[i].ID == id {
			return s.Audit[i], true
		}
	}
	return AuditEntry{}, false
}

// IsMember reports whether the roster lists a daemon.
func (r Roster) IsMember(boot willowwick.BootID) bool {
	for _, m := range r.Members {
		if m.Boot == boot {
			return true
		}
	}
	return false
}

// HasBox reports whether the roster lists any daemon of a box.
func (r Roster) HasBox(box willowwick.BoxID) bool {
	for _, m := range r.Members {
		if m.Box == box {
			return true
		}
	}
	return false
}

// clone copies the maps that a record may change. Slices stay shared, because appendBounded never writes to a shared array.
func (s *State) clone() *State {
	next := *s
	next.Objects = maps.Clone(s.Objects)
	next.Withdrawn = maps.Clone(s.Withdrawn)
	next.Progress = maps.Clone(s.Progress)
	return &next
}

func (s *State) isSeen(id willowwick.ChangeID) bool {
	for _, seen := range s.Seen {
		if seen.ID == id {
			return true
		}
	}
	return false
}

// addAuditEntry appends an audit entry and marks its change ID as seen.
func (s *State) addAuditEntry(entry AuditEntry) {
	s.Audit = appendBounded(s.Audit, entry, maxAuditEntries)
	if entry.ID != "" {
		s.Seen = appendBounded(s.Seen, SeenChange{ID: entry.ID, At: entry.Offset}, maxSeenChanges)
	}
}

// appendBounded appends to a copy of a slice that older states share, keeping the newest limit elements.
func appendBounded[T any](list []T, element T, limit int) []T {
	if len(list) >= limit {
		kept := make([]T, 0, limit+limit/4)
		kept = append(kept, list[len(list)-limit+1:]...)
		return append(kept, element)
	}
	return append(list[:len(list):len(list)], element)
}
