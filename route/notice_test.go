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
	pool := NewPoolWith(NewHallFirst("a", seed), PoolOptions{StartLimit: 64, LoadFresh: 1500 * time.Millisecond, TrustLast: true, QueueShare: 1})
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

// rest is a notice that asks for rest until a time.
func rest(until time.Time) willowwick.Notice { return willowwick.Notice{BackoffUntil: until} }

// usable lists the endpoints that may be given work, each once.
func usable(pool *Pool, now time.Time) []willowwick.EndpointID {
	var ids []willowwick.EndpointID
	for _, endpoint := range pool.Endpoints() {
		if pool.HasOpen(now, "work", func(e willowwick.Endpoint) bool { return e.ID == endpoint.ID }) {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

func TestAnEndpointThatRestsGetsNothingUntilItsRestEnds(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	news := pool.Hear(now, now, first, rest(now.Add(3*time.Second)))
	assert.Equal(t, News{Rest: true}, news)
	assert.Equal(t, News{}, pool.Hear(now, now, first, rest(now.Add(time.Second))), "it rests already")
	for range 20 {
		place, _ := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
		require.NotNil(t, place)
		assert.Equal(t, willowwick.EndpointID("e2"), place.Endpoint.ID)
		place.Release(now, OutcomeGood)
	}
	assert.Equal(t, []willowwick.EndpointID{"e2"}, usable(pool, now.Add(3*time.Second-time.Millisecond)), "a shorter rest takes nothing back")
	assert.Equal(t, []willowwick.EndpointID{"e1", "e2"}, usable(pool, now.Add(3*time.Second+restSpread)))
}

func TestARestHoldsForOneLifeAndThroughTheList(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	pool.Hear(now, now, first, rest(now.Add(time.Minute)))
	other := noticeEndpoint("e2", 1)
	pool.Update([]willowwick.Endpoint{other})
	pool.Update([]willowwick.Endpoint{first, other})
	assert.Equal(t, []willowwick.EndpointID{"e2"}, usable(pool, now), "its entry went and came back")
	pool.Update([]willowwick.Endpoint{noticeEndpoint("e1", 2), other})
	assert.Equal(t, []willowwick.EndpointID{"e1", "e2"}, usable(pool, now), "its next life has asked for nothing")
	pool.Hear(now, now, first, willowwick.Notice{Draining: true, BackoffUntil: now.Add(time.Minute)})
	assert.Equal(t, []willowwick.EndpointID{"e1", "e2"}, usable(pool, now), "an answer of the life before")
}

func TestWhereAllEndpointsRestThatShowsWithTheFirstEnd(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	pool.Hear(now, now, first, rest(now.Add(9*time.Second)))
	_, all := pool.AllUnavailable(now, "work", anyEndpoint)
	assert.False(t, all)
	assert.True(t, pool.OnlyUnavailableLeft(now, "work", map[willowwick.EndpointID]bool{"e2": true}, anyEndpoint))
	pool.Hear(now, now, noticeEndpoint("e2", 1), rest(now.Add(3*time.Second)))
	shortage, all := pool.AllUnavailable(now, "work", anyEndpoint)
	require.True(t, all)
	assert.True(t, shortage.IsCertain)
	assert.WithinRange(t, shortage.Until, now.Add(3*time.Second), now.Add(3*time.Second+restSpread))
	assert.False(t, pool.HasAvailable(now, "work", anyEndpoint))
	place, known := pool.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
	assert.Nil(t, place)
	assert.True(t, known, "they serve the work")
}

// An endpoint that rests runs nothing, and made its service look idle: small models' answers were dropped for the large model's.
func TestEndpointsThatRestDoNotMakeAServiceLookIdle(t *testing.T) {
	now := time.Now()
	pool, first := newNoticePool(1, "e1", "e2")
	pool.Report(willowwick.EndpointLoad{Endpoint: "e2", Running: 12, Slots: 16, At: now})
	pool.Hear(now, now, first, rest(now.Add(time.Second)))
	assert.InDelta(t, 12, pool.Pressure(now, "work", anyEndpoint).Requests, 0.01)
}

// restEnd is an endpoint at the end of a rest that it has asked many boxes for, which all have work for it.
type restEnd struct {
	endpoint         willowwick.Endpoint
	boxes            []*Pool
	waiting          []int // requests of each box
	atWork           []restWork
	served, turnedTo int
}

// restWork is a request at the endpoint.
type restWork struct {
	box   *Pool
	place *Place
	until time.Time
}

// step lets a moment pass: answers go out, with the endpoint's load, and boxes send what they may.
func (r *restEnd) step(now time.Time, slots int) {
	const serves = 100 * time.Millisecond
	for len(r.atWork) > 0 && !now.Before(r.atWork[0].until) {
		done := r.atWork[0]
		r.atWork = r.atWork[1:]
		running := min(len(r.atWork), slots)
		done.box.Report(willowwick.EndpointLoad{Endpoint: r.endpoint.ID, Running: running, Waiting: len(r.atWork) - running, Slots: slots, At: now})
		done.place.Release(now, OutcomeGood)
		r.served++
	}
	for i, box := range r.boxes {
		for r.waiting[i] > 0 {
			place, _ := box.AcquireAllowed(now, "work", Work{}, nil, anyEndpoint)
			if place == nil {
				break
			}
			r.waiting[i]--
			if len(r.atWork) >= 2*slots {
				r.turnedTo++
				box.Hear(now, now, r.endpoint, rest(now.Add(2*time.Second)))
				place.Release(now, OutcomeBusy)
				continue
			}
			until := now.Add(serves)
			if len(r.atWork) >= slots {
				until = r.atWork[len(r.atWork)-slots].until.Add(serves)
			}
			r.atWork = append(r.atWork, restWork{box, place, until})
		}
	}
}

// An endpoint that asks for rest asks all boxes that send to it, and looks idle to each of them at its end. If they sent what they
// have at once, it would have to turn most of it away, on the fleet's budget of repeats, and rest again.
func TestBoxesComeBackToAnEndpointThatHasRestedWithoutARush(t *testing.T) {
	const boxes, waiting, slots = 30, 4, 16
	for seed := range uint64(5) {
		now := time.Now()
		r := &restEnd{waiting: make([]int, boxes)}
		for i := range boxes {
			pool, endpoint := newNoticePool(seed*boxes+uint64(i), "e1")
			pool.Hear(now, now, endpoint, rest(now.Add(2*time.Second)))
			r.endpoint, r.boxes, r.waiting[i] = endpoint, append(r.boxes, pool), waiting
		}
		begin := now
		for r.served+r.turnedTo < boxes*waiting {
			now = now.Add(5 * time.Millisecond)
			r.step(now, slots)
			require.Less(t, now.Sub(begin), time.Minute)
		}
		t.Log(fmt.Sprintf("%d served and %d turned away within %s of the rest's end", r.served, r.turnedTo, now.Sub(begin)-2*time.Second))
		assert.Zero(t, r.turnedTo)
	}
}
