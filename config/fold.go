package config

import (
	"encoding/json"
	"fmt"

	"github.com/willowwick/willowwick"
)

const systemAuthor = "willowwick"

// Fold applies one log entry and returns the new state; it doesn't modify s.
//
// It is a pure function: every daemon that folds the same entries gets the same
// state, including the reasons in its audit entries. Entries up to the state's
// offset are ignored. With ErrNewerSchema it returns s.
func Fold(s *State, entry willowwick.Entry) (*State, error) {
	if entry.Offset <= s.Offset {
		return s, nil
	}
	record, err := decodeRecord(entry.Data)
	if err == ErrNewerSchema {
		return s, err
	}
	next := s.clone()
	next.Offset = entry.Offset
	if err != nil {
		next.addAuditEntry(AuditEntry{Offset: entry.Offset, Why: "malformed record"})
		return next, nil
	}
	switch {
	case record.Change != nil:
		next.applyChange(record.Change)
	case record.Withdraw != nil:
		next.applyWithdraw(record.Withdraw)
	case record.Rollout != nil:
		next.applyRolloutStep(record.Rollout)
	case record.Lease != nil:
		next.applyLeaseClaim(record.Lease)
	case record.Roster != nil:
		next.applyRoster(record.Roster)
	case record.Snapshot != nil:
		next.checkSnapshot(s, *record.Snapshot)
	default:
		next.addAuditEntry(AuditEntry{Offset: entry.Offset, Kind: record.Kind, Why: "empty record"})
	}
	return next, nil
}

// FoldAll applies entries in order and stops at the first error.
func FoldAll(s *State, entries []willowwick.Entry) (*State, error) {
	for _, entry := range entries {
		next, err := Fold(s, entry)
		if err != nil {
			return s, err
		}
		s = next
	}
	return s, nil
}

func (s *State) applyChange(c *Change) {
	if s.isSeen(c.ID) {
		return
	}
	entry := AuditEntry{Offset: s.Offset, ID: c.ID, Kind: RecordChange, Author: c.Author, Reason: c.Reason}
	for _, object := range c.Objects {
		entry.Objects = append(entry.Objects, object.Key.String())
	}
	for _, key := range c.Deleted {
		entry.Objects = append(entry.Objects, "-"+key.String())
	}
	entry.Why = s.tryChange(c)
	entry.Accepted = entry.Why == ""
	s.addAuditEntry(entry)
}

// tryChange applies the change if it is valid, and otherwise returns the reason for its rejection.
func (s *State) tryChange(c *Change) string {
	for _, object := range c.Objects {
		if reason := s.conflictReason(object.Key, c.Basis); reason != "" {
			return reason
		}
	}
	for _, key := range c.Deleted {
		if reason := s.conflictReason(key, c.Basis); reason != "" {
			return reason
		}
	}
	candidate := make(objectSet, len(s.Objects)+len(c.Objects))
	for key, object := range s.Objects {
		candidate[key] = object
	}
	for _, object := range c.Objects {
		if err := object.decode(); err != nil {
			return err.Error()
		}
		object.Modified = s.Offset
		candidate[object.Key] = object
	}
	for _, key := range c.Deleted {
		delete(candidate, key)
	}
	if problems := checkAll(candidate); len(problems) > 0 {
		return problems[0].Error()
	}
	s.Objects = candidate
	s.dropStaleProgress()
	return ""
}

// conflictReason returns why a change based on an offset conflicts with the object, or "" if it doesn't.
func (s *State) conflictReason(key Key, basis willowwick.Offset) string {
	if modified := s.lastModified(key); modified > basis {
		return fmt.Sprintf("conflict: %s was changed at offset %d, after offset %d that this change was made against", key, modified, basis)
	}
	return ""
}

// lastModified returns the offset at which the object was last changed or deleted, or 0 if none is known.
func (s *State) lastModified(key Key) willowwick.Offset {
	if object, ok := s.Objects[key]; ok {
		return object.Modified
	}
	for i := len(s.Audit) - 1; i >= 0; i-- {
		for _, touched := range s.Audit[i].Objects {
			if s.Audit[i].Accepted && touched == "-"+key.String() {
				return s.Audit[i].Offset
			}
		}
	}
	return 0
}

// dropStaleProgress deletes the progress of unfinished roll-outs whose declaration was deleted or changed.
func (s *State) dropStaleProgress() {
	for id, progress := range s.Progress {
		object, ok := s.Objects[Key{KindRollout, string(id)}]
		if !ok || object.Modified != progress.Declared {
			if !progress.Done {
				delete(s.Progress, id)
			}
		}
	}
}

func (s *State) applyWithdraw(w *Withdraw) {
	if s.isSeen(w.ID) {
		return
	}
	entry := AuditEntry{
		Offset: s.Offset, ID: w.ID, Kind: RecordWithdraw, Author: w.Author, Reason: w.Reason,
		Objects: []string{Key{KindVersion, string(w.Version)}.String()}, Accepted: true,
	}
	if w.Version == "" {
		entry.Accepted, entry.Why = false, "no version is named"
	} else if _, already := s.Withdrawn[w.Version]; !already {
		s.Withdrawn[w.Version] = Withdrawn{At: s.Offset, Author: w.Author, Reason: w.Reason}
	}
	s.addAuditEntry(entry)
}

func (s *State) applyRolloutStep(step *RolloutStep) {
	if s.isSeen(step.ID) {
		return
	}
	entry := AuditEntry{
		Offset: s.Offset, ID: step.ID, Kind: RecordRollout, Author: systemAuthor, Reason: step.Reason,
		Objects: []string{Key{KindRollout, string(step.Rollout)}.String()},
	}
	entry.Why = s.tryRolloutStep(step)
	entry.Accepted = entry.Why == ""
	s.addAuditEntry(entry)
}

// tryRolloutStep applies the step if it is valid, and otherwise returns the reason for its rejection.
func (s *State) tryRolloutStep(step *RolloutStep) string {
	if step.Fence != s.Lease.Fence {
		return fmt.Sprintf("fenced off: the lease has fence %d, the step was written under %d", s.Lease.Fence, step.Fence)
	}
	object, ok := s.Objects[Key{KindRollout, string(step.Rollout)}]
	if !ok {
		return "no such roll-out is declared"
	}
	rollout, ok := object.decoded.(*Rollout)
	if !ok {
		return "no such roll-out is declared"
	}
	if _, withdrawn := s.Withdrawn[rollout.To]; withdrawn {
		return fmt.Sprintf("version %s is withdrawn", rollout.To)
	}
	progress := s.Progress[step.Rollout]
	if progress.Declared != object.Modified {
		progress = Progress{Declared: object.Modified}
	}
	if progress.Done || step.Step != progress.Step+1 {
		return fmt.Sprintf("step %d does not follow step %d", step.Step, progress.Step)
	}
	progress.Step = step.Step
	progress.Done = step.Step >= len(rollout.Steps)
	progress.At = s.Offset
	s.Progress[step.Rollout] = progress
	return ""
}

// applyLeaseClaim acquires, renews or releases the lease as claimed, if it has not changed since the claimant read it.
func (s *State) applyLeaseClaim(claim *LeaseClaim) {
	if claim.After != s.Lease.Renewed {
		return
	}
	if claim.Release {
		if claim.Boot == s.Lease.Boot {
			s.Lease = Lease{Fence: s.Lease.Fence, Renewed: s.Offset}
		}
		return
	}
	if claim.Boot == s.Lease.Boot {
		s.Lease.Renewed, s.Lease.ClaimNumber = s.Offset, claim.ClaimNumber
		return
	}
	s.Lease = Lease{
		Boot: claim.Boot, Box: claim.Box,
		Fence: willowwick.Fence(s.Offset), Renewed: s.Offset, ClaimNumber: claim.ClaimNumber,
	}
	s.addAuditEntry(AuditEntry{
		Offset: s.Offset, Kind: RecordLease, Author: systemAuthor, Accepted: true,
		Reason: fmt.Sprintf("lease granted to box %s", claim.Box),
	})
}

func (s *State) applyRoster(proposal *RosterProposal) {
	entry := AuditEntry{
		Offset: s.Offset, Kind: RecordRoster, Author: systemAuthor,
		Reason: fmt.Sprintf("roster of %d members", len(proposal.Members)),
	}
	if proposal.Fence != s.Lease.Fence {
		entry.Why = fmt.Sprintf("fenced off: the lease has fence %d, the roster was written under %d", s.Lease.Fence, proposal.Fence)
	} else {
		s.PreviousRoster = s.Roster
		s.Roster = Roster{Epoch: willowwick.Epoch(s.Offset), Members: proposal.Members}
		entry.Accepted = true
	}
	s.addAuditEntry(entry)
}

// checkSnapshot compares a snapshot with the state before its record and adds the result to the audit; the snapshot does
// not replace the state.
func (s *State) checkSnapshot(before *State, data json.RawMessage) {
	entry := AuditEntry{Offset: s.Offset, Kind: RecordSnapshot, Author: systemAuthor, Accepted: true}
	snapshot, err := DecodeState(data)
	switch {
	case err != nil:
		entry.Accepted, entry.Why = false, "malformed snapshot"
	case snapshot.Offset != before.Offset:
		entry.Accepted, entry.Why = false, fmt.Sprintf("snapshot of offset %d came after offset %d", snapshot.Offset, before.Offset)
	case !equalStates(snapshot, before):
		entry.Accepted, entry.Why = false, "snapshot differs from the fold"
	}
	s.addAuditEntry(entry)
}

func equalStates(a, b *State) bool {
	hashA, errA := a.Hash()
	hashB, errB := b.Hash()
	return errA == nil && errB == nil && hashA == hashB
}

// Restore returns the state at the end of a stream whose first retained offset is first.
//
// If the head of the stream was trimmed, it starts from the newest usable
// snapshot, and returns false if there is none.
func Restore(first willowwick.Offset, entries []willowwick.Entry) (*State, bool, error) {
	if first <= 1 {
		s, err := FoldAll(NewState(), entries)
		return s, err == nil, err
	}
	for i := len(entries) - 1; i >= 0; i-- {
		record, err := decodeRecord(entries[i].Data)
		if err != nil || record.Snapshot == nil {
			continue
		}
		s, err := DecodeState(*record.Snapshot)
		if err != nil || s.Offset+1 != entries[i].Offset {
			continue
		}
		s, err = FoldAll(s, entries[i:])
		return s, err == nil, err
	}
	return NewState(), false, nil
}
