package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
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

// replicatorTo replicates to one other box.
type replicatorTo struct{ other *Usage }

func (r *replicatorTo) Hold(_ context.Context, args HoldArgs) (bool, error) {
	return false, r.other.Hold(time.Now(), args)
}

func (*replicatorTo) Settle(context.Context, SettleArgs) {}

// unavailableLog accepts nothing.
type unavailableLog struct{ fakeLog }

func (*unavailableLog) Append(context.Context, willowwick.StreamID, []byte) (willowwick.Offset, error) {
	return 0, errors.New("the log is unavailable")
}

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

// Guards against bills that are lost: two boxes that stopped at once while the log was down handed their records to each
// other, and both ended.
func TestABoxThatStopsHoldsNoRecordsOfOthers(t *testing.T) {
	toSecond, toFirst := &replicatorTo{}, &replicatorTo{}
	first := NewUsage(&unavailableLog{}, toSecond, "box1.1", func() int { return 2 })
	second := NewUsage(&unavailableLog{}, toFirst, "box2.1", func() int { return 2 })
	toSecond.other, toFirst.other = second, first
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for _, usage := range []*Usage{first, second} {
		usage.Record(gone, willowwick.UsageRecord{Cost: 1}) // the canceled context skips the wait for replication
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*holdRetryInterval)
	defer cancel()
	var isFirstDone, isSecondDone bool
	var stops sync.WaitGroup
	stops.Go(func() { isFirstDone = first.HandOver(ctx) })
	stops.Go(func() { isSecondDone = second.HandOver(ctx) })
	stops.Wait()
	assert.False(t, isFirstDone && isSecondDone, "the records of both are with a box that ends")
	if isFirstDone || isSecondDone { // one was asked before its own stop, and knows that it did not hand over
		assert.Len(t, map[bool]*Usage{true: second, false: first}[isFirstDone].allRecords(), 2)
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
