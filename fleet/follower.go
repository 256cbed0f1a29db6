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
	readLimit    = 500
	recentLength = 1024
	// ConfirmFor is how long a configuration counts as current after it was compared with the log or the fleet.
	ConfirmFor = 5 * time.Second
)

// ErrBehind says that the log no longer has the entries that are needed, and no snapshot either.
var ErrBehind = errors.New("the log no longer has the needed entries and no snapshot to start from")

// Follower folds the configuration stream, from the log or from other daemons.
//
// Its offset only ever grows, so that an accepted configuration never reverts.
type Follower struct {
	log          willowwick.Log
	revision     atomic.Pointer[config.Revision]
	changed      func(*config.Revision)
	mu           sync.Mutex
	recent       []willowwick.Entry
	confirmed    time.Time // when the offset was last known to be the log's end
	atLog        time.Time // when the log itself last answered
	newerSchema  bool
	lastSnapshot willowwick.Offset
	first        willowwick.Offset // oldest offset that the log still has
}

// NewFollower returns a follower that has read nothing; changed is called after each step, in order.
func NewFollower(log willowwick.Log, changed func(*config.Revision)) *Follower {
	f := &Follower{log: log, changed: changed}
	f.revision.Store(config.NewRevision(config.NewState()))
	return f
}

// Revision returns the configuration in force.
func (f *Follower) Revision() *config.Revision {
	return f.revision.Load()
}

// Confirmed returns when the configuration was last known to be current.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// LogReached returns when the log itself last answered.
func (f *Follower) LogReached() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.atLog
}

// Confirm notes that another daemon knew the offset to be current at the given time.
func (f *Follower) Confirm(offset willowwick.Offset, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.Revision().Offset && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// IsBlocked reports whether the log holds a record of a newer schema.
func (f *Follower) IsBlocked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newerSchema
}

// ReadLog folds the log to its end.
func (f *Follower) ReadLog(ctx context.Context) error {
	for {
		asked := clock.Now()
		from := f.Revision().Offset + 1
		page, err := f.log.Read(ctx, willowwick.StreamConfig, from, readLimit)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		f.noteLog(asked, page.First)
		if page.First > from {
			if err := f.rejoin(ctx, page.First); err != nil {
				return err
			}
			continue
		}
		if err := f.Ingest(page.Entries); err != nil {
			return err
		}
		if f.Revision().Offset+1 >= page.Next {
			// A read that lags behind what is known already confirms nothing.
			if f.Revision().Offset+1 == page.Next {
				f.Confirm(f.Revision().Offset, asked)
			}
			return nil
		}
		if len(page.Entries) == 0 || f.Revision().Offset+1 == from {
			return errors.New("read log: the answer had none of the entries that were asked for")
		}
	}
}

func (f *Follower) noteLog(at time.Time, first willowwick.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.atLog, f.first = at, first
}

// rejoin starts again from a snapshot, after the log dropped entries that were not read yet.
func (f *Follower) rejoin(ctx context.Context, first willowwick.Offset) error {
	var entries []willowwick.Entry
	for from := first; ; {
		page, err := f.log.Read(ctx, willowwick.StreamConfig, from, readLimit)
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

// Ingest folds entries; it takes them in any order, repeated or not, up to the first gap.
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
			f.noteNewerSchema()
			f.publish(before, state)
			return err
		}
		f.noteSnapshot(state, next)
		state = next
		f.recent = append(f.recent, entry)
	}
	if len(f.recent) > recentLength {
		f.recent = append([]willowwick.Entry(nil), f.recent[len(f.recent)-recentLength:]...)
	}
	f.newerSchema = false
	f.publish(before, state)
	return nil
}

func (f *Follower) noteNewerSchema() {
	if !f.newerSchema {
		slog.Error("the log holds a record of a newer schema; this build keeps what it has and is not ready")
	}
	f.newerSchema = true
}

func (f *Follower) noteSnapshot(before, after *config.State) {
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
		slog.Error("a snapshot was not taken", "offset", after.Offset, "why", last.Why)
	}
}

// publish puts a newer state in force.
func (f *Follower) publish(before *config.Revision, state *config.State) {
	if state == before.State {
		return
	}
	revision := config.NewRevision(state)
	f.revision.Store(revision)
	f.changed(revision)
}

// Install takes a whole state if it is newer than the one in force.
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

// Since returns the entries after an offset, if all of them are still at hand.
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

// snapshotDue reports whether the log should get a new snapshot before its head goes.
func (f *Follower) snapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset := f.Revision().Offset
	if offset-f.lastSnapshot > snapshotEvery {
		return true
	}
	middle := f.first + (offset-f.first)/2
	return f.first > 1 && f.lastSnapshot < middle
}
