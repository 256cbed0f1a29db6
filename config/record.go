package config

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

// SchemaVersion is the newest record schema that this build can fold.
const SchemaVersion = 1

// RecordKind is the kind of a record in the configuration stream.
type RecordKind string

// Kinds of record.
const (
	RecordChange   RecordKind = "change"
	RecordWithdraw RecordKind = "withdraw"
	RecordRollout  RecordKind = "rollout"
	RecordLease    RecordKind = "lease"
	RecordRoster   RecordKind = "roster"
	RecordSnapshot RecordKind = "snapshot"
)

type (
	// Record is one entry of the configuration stream; the field named by Kind is set.
	Record struct {
		Schema   int              `json:"schema"`
		Kind     RecordKind       `json:"kind"`
		Change   *Change          `json:"change,omitempty"`
		Withdraw *Withdraw        `json:"withdraw,omitempty"`
		Rollout  *RolloutStep     `json:"rollout,omitempty"`
		Lease    *LeaseClaim      `json:"lease,omitempty"`
		Roster   *RosterProposal  `json:"roster,omitempty"`
		Snapshot *json.RawMessage `json:"snapshot,omitempty"`
	}

	// Change replaces or deletes objects atomically.
	Change struct {
		ID      willowwick.ChangeID `json:"id"`
		Author  string              `json:"author"`
		Reason  string              `json:"reason"`
		Basis   willowwick.Offset   `json:"basis"` // offset of the state that the author read
		Objects []Object            `json:"objects,omitempty"`
		Deleted []Key               `json:"deleted,omitempty"`
	}

	// Withdraw permanently takes a version out of use; it never conflicts with other records.
	Withdraw struct {
		ID      willowwick.ChangeID  `json:"id"`
		Author  string               `json:"author"`
		Reason  string               `json:"reason"`
		Version willowwick.VersionID `json:"version"`
	}

	// RolloutStep moves a roll-out to its next step; the fold rejects it unless Fence is that of the current lease.
	RolloutStep struct {
		ID      willowwick.ChangeID  `json:"id"`
		Rollout willowwick.RolloutID `json:"rollout"`
		Step    int                  `json:"step"` // index of the step that starts; len(Steps) completes the roll-out
		Fence   willowwick.Fence     `json:"fence"`
		Reason  string               `json:"reason"`
	}

	// LeaseClaim acquires, renews or releases the lease, if the lease has not changed since offset After.
	LeaseClaim struct {
		Boot        willowwick.BootID `json:"boot"`
		Box         willowwick.BoxID  `json:"box"`
		After       willowwick.Offset `json:"after"`
		ClaimNumber uint64            `json:"ask,omitempty"` // number that the claimant gave this claim

		Release bool `json:"release,omitempty"` // the holder releases the lease
	}

	// RosterProposal replaces the roster; the fold rejects it unless Fence is that of the current lease.
	RosterProposal struct {
		Fence   willowwick.Fence `json:"fence"`
		Members []Member         `json:"members"`
	}

	// Member is a daemon on the roster.
	Member struct {
		Boot willowwick.BootID `json:"boot"`
		Box  willowwick.BoxID  `json:"box"`
		Hall willowwick.HallID `json:"hall"`
		Peer string            `json:"peer"`
	}
)

// ErrNewerSchema means that a newer build wrote the record; the state before it stays in force.
var ErrNewerSchema = errors.New("record is of a newer schema than this build can fold")

// Encode returns the record as it is appended to the log.
func (r Record) Encode() ([]byte, error) {
	r.Schema = SchemaVersion
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

func decodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if record.Schema > SchemaVersion {
		return record, ErrNewerSchema
	}
	return record, nil
}
