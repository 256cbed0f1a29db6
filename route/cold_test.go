package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const (
	coldPerSecond = 10.0
	// maxColdPerSecond is the number of requests in one second above which the endpoint is overloaded.
	maxColdPerSecond = 1.5*coldPerSecond + 5
	coldDuration     = 3 * time.Second
)

// newColdPool returns a box's pool with one loaded warm endpoint and one idle cold endpoint, which would otherwise
// get all work.
func newColdPool(begin time.Time, boxes int) *Pool {
	p := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "a"}, rand.Uint64()), PoolOptions{StartLimit: 64, QueueShare: 1})
	p.Update([]willowwick.Endpoint{
		{ID: "warm", Service: "work", Hall: "a", Slots: 64},
		{ID: "cold", Service: "work", Hall: "a", Slots: 64, ColdUntil: begin.Add(coldDuration)},
	})
	p.SetColdPauses(map[willowwick.ServiceID]time.Duration{"work": ColdPause(coldPerSecond, boxes)})
	p.Report(willowwick.EndpointLoad{Endpoint: "warm", Running: 20, Slots: 64, At: begin})
	return p
}

// busiestSecond returns the largest number of the sorted times that lie within one second.
func busiestSecond(at []time.Time) int {
	most := 0
	for first, from := range at {
		n := 0
		for n < len(at)-first && at[first+n].Sub(from) < time.Second {
			n++
		}
		most = max(most, n)
	}
	return most
}

// Guards against overloading a cold endpoint: all boxes learn of it at the same time, and it is the least loaded.
func TestColdEndpointRateAcrossBoxesIsBounded(t *testing.T) {
	begin := time.Now()
	for _, boxes := range []int{1, 6, 61, 295} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			total, worst := 0, 0
			const starts = 30
			for range starts {
				var sent []time.Time
				for range boxes {
					p := newColdPool(begin, boxes)
					// Each box has a request every 40 ms, which ends at once.
					for now := begin.Add(time.Duration(rand.IntN(40)) * time.Millisecond); now.Before(begin.Add(coldDuration)); now = now.Add(40 * time.Millisecond) {
						slot, known := p.AcquireAllowed(now, "work", Work{}, nil, nil)
						require.True(t, known)
						require.NotNil(t, slot)
						if slot.Endpoint.ID == "cold" {
							sent = append(sent, now)
						}
						slot.Release(now, OutcomeGood)
					}
				}
				slices.SortFunc(sent, time.Time.Compare)
				total += len(sent)
				worst = max(worst, busiestSecond(sent))
			}
			mean := float64(total) / starts / coldDuration.Seconds()
			t.Logf("mean %.1f a second, %d in the busiest one", mean, worst)
			assert.LessOrEqual(t, worst, int(maxColdPerSecond))
			assert.Greater(t, mean, coldPerSecond/3, "the endpoint is given work")
		})
	}
}

func TestWarmEndpointIsNotThrottled(t *testing.T) {
	begin := time.Now()
	p := newColdPool(begin, 1000)
	now := begin.Add(coldDuration)
	for range 10 {
		slot, _ := p.AcquireAllowed(now, "work", Work{}, nil, nil)
		assert.Equal(t, willowwick.EndpointID("cold"), slot.Endpoint.ID)
	}
}

// Each heartbeat reports the remaining cold time, slightly late; that must not count as becoming cold anew.
func TestHeartbeatDoesNotRestartColdPause(t *testing.T) {
	begin := time.Now()
	p := newColdPool(begin, 20)
	takeCold := func(now time.Time) bool {
		slot, _ := p.AcquireAllowed(now, "work", Work{}, nil, nil)
		return slot.Endpoint.ID == "cold"
	}
	next := func() time.Time { return p.endpoints["cold"].nextColdSendAt }
	require.False(t, takeCold(begin))
	due := next()
	list := p.Endpoints()
	list[0].ColdUntil = list[0].ColdUntil.Add(coldAgainMargin / 2)
	p.Update(list)
	require.False(t, takeCold(begin))
	assert.Equal(t, due, next())
	list[0].ColdUntil = list[0].ColdUntil.Add(2 * coldAgainMargin)
	p.Update(list)
	require.False(t, takeCold(begin))
	assert.NotEqual(t, due, next(), "it became cold again")
}
