package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

// foldLease folds a claim as the log's next record.
func foldLease(t *testing.T, state *config.State, record config.Record) *config.State {
	t.Helper()
	data, err := record.Encode()
	require.NoError(t, err)
	next, err := config.Fold(state, willowwick.Entry{Offset: state.Offset + 1, Data: data})
	require.NoError(t, err)
	return next
}

// TestLeaseExpiryCountsFromGrantedClaim checks that a holder that learns late of its grant counts the lease from the
// claim that was granted, not from a later one.
func TestLeaseExpiryCountsFromGrantedClaim(t *testing.T) {
	begun := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := NewLease(Identity{Boot: "a", Box: "a", Started: begun})
	state := config.NewState()
	first, due := l.Claim(begun, 0)
	require.True(t, due)
	state = foldLease(t, state, first)
	// The log can't be read for a while, so the daemon claims the lease again.
	later := begun.Add(10 * time.Second)
	second, due := l.Claim(later, 0)
	require.True(t, due)
	state = foldLease(t, state, second)
	l.Observe(later, state.Lease)
	_, held := l.Fence(begun.Add(leaseDuration - time.Millisecond))
	require.True(t, held)
	_, held = l.Fence(begun.Add(leaseDuration))
	require.False(t, held, "others may take the lease %s after they saw the first claim", leaseTakeoverDelay)
}

// TestPausedHolderLosesLeaseByItsOwnClock checks that a holder that was paused detects the expiry without contacting
// another box.
func TestPausedHolderLosesLeaseByItsOwnClock(t *testing.T) {
	begun := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := NewLease(Identity{Boot: "a", Box: "a", Started: begun})
	claim, _ := l.Claim(begun, 0)
	state := foldLease(t, config.NewState(), claim)
	l.Observe(begun, state.Lease)
	fence, held := l.Fence(begun.Add(time.Second))
	require.True(t, held)
	require.Equal(t, willowwick.Fence(1), fence)
	_, held = l.Fence(begun.Add(time.Minute))
	require.False(t, held)
}

// TestTakeoverWaitsUntilHolderExpiresDespiteClockDrift runs the claimant's clock a quarter faster than the holder's.
func TestTakeoverWaitsUntilHolderExpiresDespiteClockDrift(t *testing.T) {
	begun := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	holder := NewLease(Identity{Boot: "a", Box: "a", Started: begun})
	other := NewLease(Identity{Boot: "b", Box: "b", Started: begun})
	claim, _ := holder.Claim(begun, 0)
	state := foldLease(t, config.NewState(), claim)
	holder.Observe(begun, state.Lease)
	other.Observe(begun, state.Lease)
	for gap := time.Duration(0); gap <= time.Minute; gap += 100 * time.Millisecond {
		_, held := holder.Fence(begun.Add(gap))
		_, due := other.Claim(begun.Add(gap*5/4), 0)
		require.False(t, held && due, "after %s", gap)
		if due {
			return
		}
	}
	t.Fatal("the lease was never taken over")
}
