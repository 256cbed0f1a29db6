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
	pool := NewPoolWith(NewHallFirst("a", 1), PoolOptions{StartLimit: 64, FallBackToEjected: true})
	list := []willowwick.Endpoint{{ID: "own", Service: "s", Hall: "a"}, {ID: "other", Service: "s", Hall: "b"}}
	pool.Update(list)
	running, _ := pool.AcquireService(now, "s", nil)
	require.Equal(t, willowwick.EndpointID("own"), running.Endpoint.ID)
	pool.SetEvacuated([]willowwick.HallID{"a"})
	pool.Update(list)
	all := func(willowwick.Endpoint) bool { return true }
	for range 20 {
		place, _ := pool.AcquireService(now, "s", nil)
		require.Equal(t, willowwick.EndpointID("other"), place.Endpoint.ID)
	}
	assert.InDelta(t, 20, pool.Pressure(now, "s", all).Requests, 0, "what runs in the evacuated hall makes no other crowded")
	assert.Equal(t, 21, pool.InFlight(), "what runs there goes on")
	assert.Empty(t, pool.Leaving(), "a hall can be taken back, and other boxes are told of endpoints that leave for good")
	// Once the other endpoint has failed the request, it is tried again rather than one in the evacuated hall.
	place, _ := pool.AcquireService(now, "s", map[willowwick.EndpointID]bool{"other": true})
	require.NotNil(t, place)
	assert.Equal(t, willowwick.EndpointID("other"), place.Endpoint.ID)
	pool.SetEvacuated([]willowwick.HallID{"a", "b"})
	place, known := pool.AcquireService(now, "s", nil)
	assert.Nil(t, place)
	assert.False(t, known, "nothing serves it: a request does not wait")
	running.Release(now, OutcomeGood)
	pool.SetEvacuated(nil)
	place, _ = pool.AcquireService(now, "s", nil)
	assert.Equal(t, willowwick.EndpointID("own"), place.Endpoint.ID)
}
