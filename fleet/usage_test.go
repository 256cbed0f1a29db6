package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// maxTestAppends is where a log gives up on a box that appends without end; a test's records fit into one batch.
const maxTestAppends = 10

type (
	// countingLog fails once more has been appended than a test's records can need.
	countingLog struct {
		fakeLog
	}

	// noReplicator stands for a fleet that has no other box.
	noReplicator struct{}
)

var errTooManyAppends = errors.New("the same records are appended without end")

func (l *countingLog) Append(ctx context.Context, stream willowwick.StreamID, data []byte) (willowwick.Offset, error) {
	if len(l.entries) == maxTestAppends {
		return 0, errTooManyAppends
	}
	return l.fakeLog.Append(ctx, stream, data)
}

func (noReplicator) Hold(context.Context, HoldArgs) (bool, error) {
	return true, nil
}

func (noReplicator) Settle(context.Context, SettleArgs) {}

func usageWithRecords(log willowwick.Log, records int) *Usage {
	usage := NewUsage(log, noReplicator{}, "box1.1", func() int { return 2 })
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for range records {
		// The caller does not wait for the record to be held.
		usage.Record(gone, willowwick.UsageRecord{Cost: 1})
	}
	return usage
}

// What was seen: a box appends a few usage records to the log again and again, without a pause, until it is stopped.
//
// How it came about: while the log was down, another box held this one's records. It was stopped as planned and gave all
// that it held to this box.
//
// What caused it: the box kept its own records as held for another. What is held so is due after heldFor, and is
// forgotten after an append only if it is of another boot.
func TestReturnedOwnRecordsAreAppendedOnce(t *testing.T) {
	for _, back := range []struct {
		name     string
		appended bool // before they come back
	}{
		{"before they are on the log", false},
		{"after they are on the log", true},
	} {
		t.Run(back.name, func(t *testing.T) {
			log := &countingLog{}
			usage := usageWithRecords(log, 3)
			records := usage.allRecords()
			require.Len(t, records, 3)
			if back.appended {
				require.True(t, usage.AppendNow(t.Context()))
			}
			given := time.Now().Add(-2 * heldAppendDelay)
			require.NoError(t, usage.Hold(given, HoldArgs{Boot: "box2.1", Records: records}))
			require.True(t, usage.AppendNow(t.Context()), "%d batches on the log", len(log.entries))
			require.Len(t, log.entries, 1)
			own, held := usage.Backlog()
			require.Zero(t, own+held)
		})
	}
}

// TestHeldRecordsAreAppendedOnceAfterDelay: what another box gives is kept, and appended after heldFor.
func TestHeldRecordsAreAppendedOnceAfterDelay(t *testing.T) {
	log := &countingLog{}
	usage := usageWithRecords(log, 0)
	records := []willowwick.UsageRecord{{Boot: "box2.1", Seq: 1}, {Boot: "box3.1", Seq: 1}}
	require.NoError(t, usage.Hold(time.Now(), HoldArgs{Boot: "box2.1", Records: records}))
	require.True(t, usage.AppendNow(t.Context()))
	require.Empty(t, log.entries)
	require.NoError(t, usage.Hold(time.Now().Add(-2*heldAppendDelay), HoldArgs{Boot: "box2.1", Records: records}))
	require.True(t, usage.AppendNow(t.Context()))
	require.Len(t, log.entries, 1)
	_, held := usage.Backlog()
	require.Zero(t, held)
}
