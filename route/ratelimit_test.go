package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/ratelimit"
)

// newLimitedPool returns a pool of endpoints of one service; the limited ones declare a rate limit and were denied
// permits until a time.
func newLimitedPool(now, deniedUntil time.Time, all []willowwick.EndpointID, limited ...willowwick.EndpointID) *Pool {
	ledger := ratelimit.NewLedger()
	pool := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "a"}, 1), PoolOptions{StartLimit: 64, FallBackToEjected: true, Limits: ledger})
	var endpoints []willowwick.Endpoint
	for _, id := range all {
		endpoints = append(endpoints, willowwick.Endpoint{ID: id, Hall: "a", Service: "work", Slots: 8})
	}
	pool.Update(endpoints)
	for _, id := range limited {
		ledger.Observe(now, now, willowwick.Endpoint{ID: id}, willowwick.RateLimit{Rate: 2, IsSet: true})
		ledger.Acquire(now, id)
		row := ledger.NewCall(now, id, "b1").Row
		ledger.HandleReply(now, now, id, ratelimit.Reply{Row: row, RetryMs: deniedUntil.Sub(now).Milliseconds()})
	}
	return pool
}

func anyEndpoint(willowwick.Endpoint) bool { return true }

func TestRequestOverALimitGoesToAnotherEndpoint(t *testing.T) {
	now := time.Now()
	pool := newLimitedPool(now, now.Add(time.Second), []willowwick.EndpointID{"e1", "e2"}, "e1")
	for range 8 {
		slot, known := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
		require.True(t, known)
		require.NotNil(t, slot)
		assert.Equal(t, willowwick.EndpointID("e2"), slot.Endpoint.ID)
		assert.False(t, slot.MustRequestPermit())
	}
	_, all := pool.AllUnavailable(now, "work", anyEndpoint)
	assert.False(t, all)
	assert.True(t, pool.HasOpen(now, "work", anyEndpoint))
}

func TestAllEndpointsLimitedIsReported(t *testing.T) {
	now := time.Now()
	pool := newLimitedPool(now, now.Add(time.Second), []willowwick.EndpointID{"e1", "e2"}, "e1", "e2")
	slot, known := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
	assert.Nil(t, slot)
	assert.True(t, known)
	shortage, all := pool.AllUnavailable(now, "work", anyEndpoint)
	assert.True(t, all)
	nextAt := now.Add(time.Second)
	assert.Equal(t, Shortage{Until: nextAt}, shortage, "a permit may be denied")
	assert.False(t, pool.HasOpen(now, "work", anyEndpoint))
	_, all = pool.AllUnavailable(nextAt, "work", anyEndpoint)
	assert.False(t, all, "a permit may be requested")
	slot, _ = pool.AcquireAllowed(nextAt, "work", Work{}, nil, anyEndpoint)
	require.NotNil(t, slot)
	assert.True(t, slot.MustRequestPermit())
}

func TestRemainingEndpointsAreAllLimited(t *testing.T) {
	now := time.Now()
	pool := newLimitedPool(now, now.Add(time.Minute), []willowwick.EndpointID{"e1", "e2"}, "e1")
	assert.False(t, pool.RemainingUnavailable(now, "work", nil, anyEndpoint))
	assert.True(t, pool.RemainingUnavailable(now, "work", map[willowwick.EndpointID]bool{"e2": true}, anyEndpoint))
	assert.False(t, pool.RemainingUnavailable(now, "work", map[willowwick.EndpointID]bool{"e1": true, "e2": true}, anyEndpoint))
}

// An endpoint with a limit of two requests a second runs almost nothing without being idle.
func TestLimitedEndpointsDoNotLowerPressure(t *testing.T) {
	now := time.Now()
	pool := newLimitedPool(now, now.Add(time.Second), []willowwick.EndpointID{"e1", "e2", "e3"}, "e1", "e2")
	pool.Report(willowwick.EndpointLoad{Endpoint: "e3", Running: 6, Slots: 8, At: now})
	assert.InDelta(t, 6, pool.Pressure(now, "work", anyEndpoint).Requests, 0.01)
	all := newLimitedPool(now, now.Add(time.Second), []willowwick.EndpointID{"e1"}, "e1")
	all.Report(willowwick.EndpointLoad{Endpoint: "e1", Running: 2, Slots: 8, At: now})
	assert.InDelta(t, 2, all.Pressure(now, "work", anyEndpoint).Requests, 0.01, "without other endpoints, it counts")
}

// A caller that leaves before a permit was requested must not keep others from requesting one.
func TestSlotReleasedBeforeAskingLetsOthersAskForAPermit(t *testing.T) {
	now := time.Now()
	pool := newLimitedPool(now, now, []willowwick.EndpointID{"e1"}, "e1")
	slot, _ := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
	require.NotNil(t, slot)
	none, _ := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
	assert.Nil(t, none, "a permit request is pending")
	slot.Release(now, OutcomeCancelled)
	again, _ := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
	require.NotNil(t, again)
	assert.True(t, again.MustRequestPermit())
}
