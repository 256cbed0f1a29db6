package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// reserver requires reservations for all services.
type reserver struct{ released int }

func (*reserver) IsRequired(time.Time, willowwick.ServiceID) bool { return true }

func (*reserver) CanAsk(time.Time, willowwick.ServiceID) bool { return true }

func (r *reserver) Released(time.Time, willowwick.Endpoint) { r.released++ }

// Guards against slots that count as free while their endpoints go on with requests that were broken off, and against requests that
// count where they were never sent.
func TestOccupiedSlotsAreThoseThatEndpointsMayUse(t *testing.T) {
	now, told := time.Now(), &reserver{}
	p := NewPoolWith(LeastLoaded{}, PoolOptions{Reservations: told})
	p.Update([]willowwick.Endpoint{{ID: "a", Address: "1:1", Service: "s"}, {ID: "b", Address: "1:2", Service: "s"}})
	occupied := func(at time.Time) map[willowwick.EndpointID]int {
		counts := map[willowwick.EndpointID]int{}
		for _, each := range p.Occupied(at, []willowwick.ServiceID{"s"}) {
			counts[each.Endpoint] += each.Requests
		}
		return counts
	}
	take := func() *Slot {
		slot, _ := p.AcquireService(now, "s", map[willowwick.EndpointID]bool{"b": true})
		require.NotNil(t, slot)
		return slot
	}
	unsent, whole, broken := take(), take(), take()
	require.True(t, whole.IsUnreserved())
	assert.Empty(t, occupied(now), "none has its reservation")
	require.True(t, whole.Reserve(now, "a"))
	require.True(t, broken.Reserve(now, "b"))
	assert.Equal(t, map[willowwick.EndpointID]int{"a": 1, "b": 1}, occupied(now))
	unsent.Release(now, OutcomeCancelled)
	whole.Release(now, OutcomeGood)
	assert.Equal(t, 1, told.released)
	broken.MarkUnfinished()
	broken.Release(now, OutcomeCancelled)
	assert.Equal(t, map[willowwick.EndpointID]int{"b": 1}, occupied(now.Add(lingerTime/2)))
	assert.Empty(t, occupied(now.Add(lingerTime)))
	assert.Equal(t, 1, told.released)
}
