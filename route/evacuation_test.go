package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// Endpoints of an evacuated hall must not count anywhere: not as open, not as a fallback to ejected endpoints, not in
// the pressure.
func TestEvacuatedHallGetsNoNewWork(t *testing.T) {
	now := time.Unix(0, 0)
	pool := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "a"}, 1), PoolOptions{StartLimit: 64, FallBackToEjected: true})
	list := []willowwick.Endpoint{{ID: "own", Service: "s", Hall: "a"}, {ID: "other", Service: "s", Hall: "b"}}
	pool.Update(list)
	running, _ := pool.AcquireService(now, "s", nil)
	require.Equal(t, willowwick.EndpointID("own"), running.Endpoint.ID)
	pool.SetEvacuated([]willowwick.HallID{"a"})
	pool.Update(list)
	all := func(willowwick.Endpoint) bool { return true }
	for range 20 {
		slot, _ := pool.AcquireService(now, "s", nil)
		require.Equal(t, willowwick.EndpointID("other"), slot.Endpoint.ID)
	}
	assert.InDelta(t, 20, pool.Pressure(now, "s", all).Requests, 0, "requests in the evacuated hall do not raise the pressure")
	assert.Equal(t, 21, pool.InFlight(), "running requests continue")
	assert.Empty(t, pool.Draining(), "an evacuation can be undone, and boxes report only endpoints that leave permanently")
	// Once the other endpoint has failed the request, it is tried again rather than one in the evacuated hall.
	slot, _ := pool.AcquireService(now, "s", map[willowwick.EndpointID]bool{"other": true})
	require.NotNil(t, slot)
	assert.Equal(t, willowwick.EndpointID("other"), slot.Endpoint.ID)
	pool.SetEvacuated([]willowwick.HallID{"a", "b"})
	slot, known := pool.AcquireService(now, "s", nil)
	assert.Nil(t, slot)
	assert.False(t, known, "no endpoint serves the work, so a request does not wait")
	running.Release(now, OutcomeGood)
	pool.SetEvacuated(nil)
	slot, _ = pool.AcquireService(now, "s", nil)
	assert.Equal(t, willowwick.EndpointID("own"), slot.Endpoint.ID)
}
