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
	// State is the fold of the configuration stream up to Offset; it is never changed in place.
	State struct {
		Offset    willowwick.Offset                  `json:"offset"`
		Objects   map[Key]Object                     `json:"objects"`
		Withdrawn map[willowwick.VersionID]Withdrawn `json:"withdrawn"`
		Progress  map[willowwick.RolloutID]Progress  `json:"progress"`
		Lease     Lease                              `json:"lease"`
		Roster    Roster                             `json:"roster"`
		Former    Roster                             `json:"former"` // the roster before
		Audit     []AuditEntry                       `json:"audit"`
		Seen      []SeenChange                       `json:"seen"`
	}

	// Withdrawn says when and why a version was taken out of use.
	Withdrawn struct {
		At     willowwick.Offset `json:"at"`
		Author string            `json:"author"`
		Reason string            `json:"reason"`
	}

	// Progress is how far a roll-out has come.
	Progress struct {
		Step     int               `json:"step"`
		Done     bool              `json:"done"`
		Declared willowwick.Offset `json:"declared"` // of the declaration that the progress belongs to
		At       willowwick.Offset `json:"at"`
	}

	// Lease names the daemon that may order and advance.
	Lease struct {
		Boot    willowwick.BootID `json:"boot,omitempty"`
		Box     willowwick.BoxID  `json:"box,omitempty"`
		Fence   willowwick.Fence  `json:"fence,omitempty"`
		Renewed willowwick.Offset `json:"renewed,omitempty"`
		Ask     uint64            `json:"ask,omitempty"` // of the claim that was granted last
	}

	// Roster names the members of the fleet at an epoch.
	Roster struct {
		Epoch   willowwick.Epoch `json:"epoch"`
		Members []Member         `json:"members,omitempty"`
	}

	// AuditEntry says who asked for what, and what came of it.
	AuditEntry struct {
		Offset   willowwick.Offset   `json:"offset"`
		ID       willowwick.ChangeID `json:"id,omitempty"`
		Kind     RecordKind          `json:"kind"`
		Author   string              `json:"author"`
		Reason   string              `json:"reason"`
		Objects  []string            `json:"objects,omitempty"`
		Accepted bool                `json:"accepted"`
		Why      string              `json:"why,omitempty"` // of a rejection
	}

	// SeenChange remembers a change id, so that a repeated append changes nothing.
	SeenChange struct {
		ID willowwick.ChangeID `json:"id"`
		At willowwick.Offset   `json:"at"`
	}
)

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Objects:   map[Key]Object{},
		Withdrawn: map[willowwick.VersionID]Withdrawn{},
		Progress:  map[willowwick.RolloutID]Progress{},
	}
}

// Encode returns the whole state, as it stands in snapshots and joins.
func (s *State) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode state")
}

// DecodeState reads a state that Encode wrote.
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

// Hash sums the whole state but for its offset, to compare boxes.
func (s *State) Hash() (uint64, error) {
	plain := *s
	plain.Offset = 0
	data, err := plain.Encode()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}

// FindAuditEntry returns the audit entry of a change.
func (s *State) FindAuditEntry(id willowwick.ChangeID) (AuditEntry, bool) {
	for i := len(s.Audit) - 1; i >= 0; i-- {
		if s.Audit[i].ID == id {
			return s.Audit[i], true
		}
	}
	return AuditEntry{}, false
}

// IsMember reports whether a daemon is on the roster.
func (r Roster) IsMember(boot willowwick.BootID) bool {
	for _, m := range r.Members {
		if m.Boot == boot {
			return true
		}
	}
	return false
}

// HasBox reports whether some start of a box is on the roster.
func (r Roster) HasBox(box willowwick.BoxID) bool {
	for _, m := range r.Members {
		if m.Box == box {
			return true
		}
	}
	return false
}

// clone copies the parts that a record may change; slices are only ever appended to through cut copies.
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

// addAuditEntry notes the change id and the audit entry.
func (s *State) addAuditEntry(entry AuditEntry) {
	s.Audit = appendBounded(s.Audit, entry, maxAuditEntries)
	if entry.ID != "" {
		s.Seen = appendBounded(s.Seen, SeenChange{ID: entry.ID, At: entry.Offset}, maxSeenChanges)
	}
}

// appendBounded appends to a slice that older states share, keeping at most limit elements.
func appendBounded[T any](list []T, element T, limit int) []T {
	if len(list) >= limit {
		kept := make([]T, 0, limit+limit/4)
		kept = append(kept, list[len(list)-limit+1:]...)
		return append(kept, element)
	}
	return append(list[:len(list):len(list)], element)
}
