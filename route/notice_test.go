package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// newNoticePool returns a pool of endpoints of one service, and the first of them.
func newNoticePool(seed uint64, ids ...willowwick.EndpointID) (*Pool, willowwick.Endpoint) {
	pool := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "a"}, seed), PoolOptions{StartLimit: 64, LoadMaxAge: 1500 * time.Millisecond, FallBackToEjected: true, QueueShare: 1})
	var endpoints []willowwick.Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, noticeEndpoint(id, 1))
	}
	pool.Update(endpoints)
	return pool, endpoints[0]
}

func noticeEndpoint(id willowwick.EndpointID, incarnation willowwick.Incarnation) willowwick.Endpoint {
	return willowwick.Endpoint{ID: id, Hall: "a", Address: string(id) + ":1", Service: "work", Slots: 16, Incarnation: incarnation}
}

// backoffNotice returns a notice that asks for a backoff until a time.
func backoffNotice(until time.Time) willowwick.Notice { return willowwick.Notice{BackoffUntil: until} }

// usable lists the endpoints that may be given work.
func usable(pool *Pool, now time.Time) []willowwick.EndpointID {
	var ids []willowwick.EndpointID
	for _, endpoint := range pool.Endpoints() {
		if pool.HasOpen(now, "work", func(e willowwick.Endpoint) bool { return e.ID == endpoint.ID }) {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

func TestEndpointInBackoffGetsNoRequests(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	changes := pool.ApplyNotice(now, now, first, backoffNotice(now.Add(3*time.Second)))
	assert.Equal(t, NoticeChanges{Backoff: true}, changes)
	assert.Equal(t, NoticeChanges{}, pool.ApplyNotice(now, now, first, backoffNotice(now.Add(time.Second))), "it is already in backoff")
	for range 20 {
		slot, _ := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
		require.NotNil(t, slot)
		assert.Equal(t, willowwick.EndpointID("e2"), slot.Endpoint.ID)
		slot.Release(now, OutcomeGood)
	}
	assert.Equal(t, []willowwick.EndpointID{"e2"}, usable(pool, now.Add(3*time.Second-time.Millisecond)), "a shorter backoff does not shorten the first")
	assert.Equal(t, []willowwick.EndpointID{"e1", "e2"}, usable(pool, now.Add(3*time.Second+maxBackoffJitter)))
}

func TestBackoffHoldsForOneIncarnationAndAcrossListings(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	pool.ApplyNotice(now, now, first, backoffNotice(now.Add(time.Minute)))
	other := noticeEndpoint("e2", 1)
	pool.Update([]willowwick.Endpoint{other})
	pool.Update([]willowwick.Endpoint{first, other})
	assert.Equal(t, []willowwick.EndpointID{"e2"}, usable(pool, now), "its entry was removed and restored")
	pool.Update([]willowwick.Endpoint{noticeEndpoint("e1", 2), other})
	assert.Equal(t, []willowwick.EndpointID{"e1", "e2"}, usable(pool, now), "its next incarnation has asked for no backoff")
	pool.ApplyNotice(now, now, first, willowwick.Notice{Draining: true, BackoffUntil: now.Add(time.Minute)})
	assert.Equal(t, []willowwick.EndpointID{"e1", "e2"}, usable(pool, now), "an answer of the previous incarnation is ignored")
}

func TestAllEndpointsInBackoffReportsTheFirstToEnd(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	pool.ApplyNotice(now, now, first, backoffNotice(now.Add(9*time.Second)))
	_, all := pool.AllUnavailable(now, "work", anyEndpoint)
	assert.False(t, all)
	assert.True(t, pool.RemainingUnavailable(now, "work", map[willowwick.EndpointID]bool{"e2": true}, anyEndpoint))
	pool.ApplyNotice(now, now, noticeEndpoint("e2", 1), backoffNotice(now.Add(3*time.Second)))
	shortage, all := pool.AllUnavailable(now, "work", anyEndpoint)
	require.True(t, all)
	assert.True(t, shortage.IsCertain)
	assert.WithinRange(t, shortage.Until, now.Add(3*time.Second), now.Add(3*time.Second+maxBackoffJitter))
	assert.False(t, pool.HasAvailable(now, "work", anyEndpoint))
	slot, known := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
	assert.Nil(t, slot)
	assert.True(t, known, "they serve the work")
}

// An endpoint in backoff runs nothing. If it counted, its service would look idle, and answers of small models would
// be dropped for the large model's.
func TestEndpointsInBackoffDoNotLowerPressure(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	pool.Report(willowwick.EndpointLoad{Endpoint: "e2", Running: 12, Slots: 16, At: now})
	pool.ApplyNotice(now, now, first, backoffNotice(now.Add(time.Second)))
	assert.InDelta(t, 12, pool.Pressure(now, "work", anyEndpoint).Requests, 0.01)
}

// backoffSimulation is an endpoint at the end of a backoff that it has asked of many boxes, which all have work for
// it.
type backoffSimulation struct {
	endpoint           willowwick.Endpoint
	boxes              []*Pool
	waiting            []int // requests of each box
	inProgress         []simulatedRequest
	served, turnedAway int
}

// simulatedRequest is a request running at the endpoint.
type simulatedRequest struct {
	box   *Pool
	slot  *Slot
	until time.Time
}

// step advances the simulation: finished requests are answered with the endpoint's load, and boxes send what they
// may.
func (r *backoffSimulation) step(now time.Time, slots int) {
	const serves = 100 * time.Millisecond
	for len(r.inProgress) > 0 && !now.Before(r.inProgress[0].until) {
		done := r.inProgress[0]
		r.inProgress = r.inProgress[1:]
		running := min(len(r.inProgress), slots)
		done.box.Report(willowwick.EndpointLoad{Endpoint: r.endpoint.ID, Running: running, Waiting: len(r.inProgress) - running, Slots: slots, At: now})
		done.slot.Release(now, OutcomeGood)
		r.served++
	}
	for i, box := range r.boxes {
		for r.waiting[i] > 0 {
			slot, _ := box.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
			if slot == nil {
				break
			}
			r.waiting[i]--
			if len(r.inProgress) >= 2*slots {
				r.turnedAway++
				box.ApplyNotice(now, now, r.endpoint, backoffNotice(now.Add(2*time.Second)))
				slot.Release(now, OutcomeBusy)
				continue
			}
			until := now.Add(serves)
			if len(r.inProgress) >= slots {
				until = r.inProgress[len(r.inProgress)-slots].until.Add(serves)
			}
			r.inProgress = append(r.inProgress, simulatedRequest{box, slot, until})
		}
	}
}

// After a backoff the endpoint looks idle to every box that it asked. If all boxes sent their waiting requests at
// once, it would turn most of them away, which uses up the fleet's retry budget, and back off again.
func TestBoxesReturnGraduallyAfterABackoff(t *testing.T) {
	const boxes, waiting, slots = 30, 4, 16
	for seed := range uint64(5) {
		now := time.Now()
		r := &backoffSimulation{waiting: make([]int, boxes)}
		for i := range boxes {
			pool, endpoint := newNoticePool(seed*boxes+uint64(i), "e1")
			pool.SetRank(i, boxes)
			pool.ApplyNotice(now, now, endpoint, backoffNotice(now.Add(2*time.Second)))
			r.endpoint, r.boxes, r.waiting[i] = endpoint, append(r.boxes, pool), waiting
		}
		begin := now
		for r.served+r.turnedAway < boxes*waiting {
			now = now.Add(5 * time.Millisecond)
			r.step(now, slots)
			require.Less(t, now.Sub(begin), time.Minute)
		}
		t.Log(fmt.Sprintf("%d served and %d turned away within %s of the end of the backoff", r.served, r.turnedAway, now.Sub(begin)-2*time.Second))
		assert.Zero(t, r.turnedAway)
	}
}
