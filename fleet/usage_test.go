package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// maxTestAppends is the number of appends after which countingLog fails; the records of a test fit into one batch.
const maxTestAppends = 10

type (
	// countingLog fails after maxTestAppends appends.
	countingLog struct {
		fakeLog
	}

	// noReplicator is the replicator of a fleet with a single box.
	noReplicator struct{}
)

var errTooManyAppends = errors.New("the same records are appended endlessly")

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
		// The canceled context skips the wait for the record to be replicated.
		usage.Record(gone, willowwick.UsageRecord{Cost: 1})
	}
	return usage
}

// A box appended a few usage records to the log again and again, without a pause, until it was stopped.
//
// While the log was down, another box held this box's records. That box was stopped as planned and handed all that it
// held to this one, which stored its own records as held for another box. Held records are due after heldAppendDelay,
// and are removed after an append only if they are of another incarnation.
func TestReturnedOwnRecordsAreAppendedOnce(t *testing.T) {
	for _, back := range []struct {
		name     string
		appended bool // whether the records are appended before they are returned
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

// TestHeldRecordsAreAppendedOnceAfterDelay checks that records of another box are held, and appended once
// heldAppendDelay has passed.
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
