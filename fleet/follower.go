package fleet

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

const (
	maxEntriesPerRead = 500
	maxRecentEntries  = 1024
	// ConfirmationTTL is how long a configuration counts as current after it was compared with the log or the fleet.
	ConfirmationTTL = 5 * time.Second
)

// ErrBehind is returned when the log has dropped entries that were not read yet and holds no snapshot to restore
// from.
var ErrBehind = errors.New("the log has dropped entries that were not read yet and holds no snapshot to restore from")

// Follower folds the configuration stream into the configuration in force, reading from the log or from other
// daemons.
//
// Its offset only grows, so an accepted configuration is never reverted.
type Follower struct {
	log            willowwick.Log
	revision       atomic.Pointer[config.Revision]
	onChange       func(*config.Revision)
	mu             sync.Mutex
	recent         []willowwick.Entry
	confirmedAt    time.Time // when the offset was last known to be the end of the log
	logReachedAt   time.Time // when the log itself last replied
	hasNewerSchema bool
	lastSnapshot   willowwick.Offset
	firstOffset    willowwick.Offset // oldest offset that is still in the log
}

// NewFollower returns a follower at offset 0; onChange is called after each new revision, in order.
func NewFollower(log willowwick.Log, onChange func(*config.Revision)) *Follower {
	f := &Follower{log: log, onChange: onChange}
	f.revision.Store(config.NewRevision(config.NewState()))
	return f
}

// Revision returns the configuration in force.
func (f *Follower) Revision() *config.Revision {
	return f.revision.Load()
}

// ConfirmedAt returns when the configuration was last known to be current.
func (f *Follower) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// LogReachedAt returns when the log itself last replied.
func (f *Follower) LogReachedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logReachedAt
}

// Confirm records that the given offset was known to be current at the given time.
func (f *Follower) Confirm(offset willowwick.Offset, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.Revision().Offset && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// IsBlocked reports whether the log contains a record with a newer schema, which this build can't fold.
func (f *Follower) IsBlocked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasNewerSchema
}

// ReadLog reads and folds the log up to its end.
func (f *Follower) ReadLog(ctx context.Context) error {
	for {
		requestedAt := clock.Now()
		from := f.Revision().Offset + 1
		page, err := f.log.Read(ctx, willowwick.StreamConfig, from, maxEntriesPerRead)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		f.recordLogRead(requestedAt, page.First)
		if page.First > from {
			if err := f.restoreFromSnapshot(ctx, page.First); err != nil {
				return err
			}
			continue
		}
		if err := f.Ingest(page.Entries); err != nil {
			return err
		}
		if f.Revision().Offset+1 >= page.Next {
			// A page that ends before the known offset is stale and confirms nothing.
			if f.Revision().Offset+1 == page.Next {
				f.Confirm(f.Revision().Offset, requestedAt)
			}
			return nil
		}
		if len(page.Entries) == 0 || f.Revision().Offset+1 == from {
			return errors.New("read log: the page contains none of the requested entries")
		}
	}
}

func (f *Follower) recordLogRead(at time.Time, first willowwick.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logReachedAt, f.firstOffset = at, first
}

// restoreFromSnapshot restarts from a snapshot after the log has dropped entries that were not read yet.
func (f *Follower) restoreFromSnapshot(ctx context.Context, first willowwick.Offset) error {
	var entries []willowwick.Entry
	for from := first; ; {
		page, err := f.log.Read(ctx, willowwick.StreamConfig, from, maxEntriesPerRead)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		entries = append(entries, page.Entries...)
		if len(page.Entries) == 0 {
			break
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	state, ok, err := config.Restore(first, entries)
	if err != nil {
		return err
	}
	if !ok || state.Offset <= f.Revision().Offset {
		return ErrBehind
	}
	f.Install(state)
	return nil
}

// Ingest folds entries up to the first gap; they may be unsorted and contain duplicates.
func (f *Follower) Ingest(entries []willowwick.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	sorted := append([]willowwick.Entry(nil), entries...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Offset < sorted[j].Offset })
	before := f.Revision()
	state := before.State
	for _, entry := range sorted {
		if entry.Offset <= state.Offset {
			continue
		}
		if entry.Offset != state.Offset+1 {
			break
		}
		next, err := config.Fold(state, entry)
		if err != nil {
			f.recordNewerSchema()
			f.publish(before, state)
			return err
		}
		f.recordSnapshot(state, next)
		state = next
		f.recent = append(f.recent, entry)
	}
	if len(f.recent) > maxRecentEntries {
		f.recent = append([]willowwick.Entry(nil), f.recent[len(f.recent)-maxRecentEntries:]...)
	}
	f.hasNewerSchema = false
	f.publish(before, state)
	return nil
}

func (f *Follower) recordNewerSchema() {
	if !f.hasNewerSchema {
		slog.Error("log contains a record with a newer schema; this build keeps its configuration and is not ready")
	}
	f.hasNewerSchema = true
}

func (f *Follower) recordSnapshot(before, after *config.State) {
	if len(after.Audit) == 0 {
		return
	}
	last := after.Audit[len(after.Audit)-1]
	if last.Offset != after.Offset || last.Kind != config.RecordSnapshot {
		return
	}
	if last.Accepted {
		f.lastSnapshot = before.Offset
	} else {
		slog.Error("snapshot record rejected", "offset", after.Offset, "why", last.Why)
	}
}

// publish puts state in force if it differs from before; the caller holds the lock.
func (f *Follower) publish(before *config.Revision, state *config.State) {
	if state == before.State {
		return
	}
	revision := config.NewRevision(state)
	f.revision.Store(revision)
	f.onChange(revision)
}

// Install replaces the state in force if the given one is newer, and reports whether it did.
func (f *Follower) Install(state *config.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Revision()
	if state.Offset <= before.Offset {
		return false
	}
	f.recent = nil
	f.publish(before, state)
	return true
}

// Since returns up to limit entries after an offset; ok is false if some of them are no longer in memory.
func (f *Follower) Since(offset willowwick.Offset, limit int) ([]willowwick.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset >= f.Revision().Offset {
		return nil, true
	}
	if len(f.recent) == 0 || f.recent[0].Offset > offset+1 {
		return nil, false
	}
	entries := f.recent[offset+1-f.recent[0].Offset:]
	if len(entries) > limit {
		entries = entries[:limit]
	}
	return append([]willowwick.Entry(nil), entries...), true
}

// isSnapshotDue reports whether a new snapshot must be written before the log drops the entries that precede it.
func (f *Follower) isSnapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset := f.Revision().Offset
	if offset-f.lastSnapshot > maxEntriesSinceSnapshot {
		return true
	}
	middle := f.firstOffset + (offset-f.firstOffset)/2
	return f.firstOffset > 1 && f.lastSnapshot < middle
}
