package reservation

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

func named(text string) willowwick.RateLimit { return willowwick.ParseRateLimit(text) }

// Guards against a limit that ends by an answer to an earlier request, that never ends, or that a text which is no number changes.
func TestLimitOnRejectionsIsInForceWhileItIsNamed(t *testing.T) {
	begin := time.Now()
	l := NewLedger()
	for _, text := range []string{"-1", "NaN", "+Inf", "many", ""} {
		assert.False(t, l.Observe(begin, begin, "s", named(text)), text)
	}
	assert.False(t, l.IsRequired(begin, "s"))
	assert.True(t, l.Observe(begin, begin, "s", named("0")))
	assert.True(t, l.IsRequired(begin, "s"))
	assert.False(t, l.IsRequired(begin, "other"))
	l.Observe(begin.Add(2*time.Second), begin.Add(-time.Second), "s", named(""))
	l.Observe(begin.Add(2*time.Second), begin.Add(time.Second), "s", named("many"))
	assert.True(t, l.IsRequired(begin.Add(time.Hour), "s"), "an answer to an earlier request ends nothing")
	l.Observe(begin.Add(3*time.Second), begin.Add(time.Second), "s", named(""))
	assert.False(t, l.IsRequired(begin.Add(3*time.Second), "s"))
	l.Observe(begin.Add(4*time.Second), begin.Add(3*time.Second), "s", named("1e6"))
	assert.False(t, l.IsRequired(begin.Add(4*time.Second), "s"), "a limit that nothing reaches")
}

// Guards against news of a limit that are lost between boxes, or of which the older ones count.
func TestBoxesTellEachOtherOfLimitsOnRejections(t *testing.T) {
	begin := time.Now()
	from, to := NewLedger(), NewLedger()
	from.Observe(begin, begin, "s", named("2"))
	assert.True(t, to.Merge(from.Rows(begin.Add(time.Second)), "test", begin.Add(time.Second)))
	assert.True(t, to.IsRequired(begin.Add(time.Minute), "s"))
	old := from.Rows(begin.Add(time.Second))
	from.Observe(begin.Add(2*time.Second), begin.Add(time.Second), "s", named(""))
	assert.True(t, to.Merge(from.Rows(begin.Add(3*time.Second)), "test", begin.Add(3*time.Second)))
	assert.False(t, to.Merge(old, "test", begin.Add(time.Second)))
	assert.False(t, to.IsRequired(begin.Add(3*time.Second), "s"))
}

func grantingSince(begin time.Time) *Granter {
	g := NewGranter()
	g.SetGranting(begin.Add(-takeoverDelay), true)
	return g
}

func callOf(box willowwick.BoxID, at int64, places []willowwick.Occupancy, choices ...willowwick.Alternative) Call {
	return Call{Box: box, SentAt: at, Places: places, Asks: []Ask{{choices}}}
}

// Guards against an endpoint that gets more than it can run: what a box has counts until it tells otherwise or is long silent.
func TestGranterHandsOutEachSlotOnce(t *testing.T) {
	now := time.Now()
	g := grantingSince(now)
	choice := willowwick.Alternative{Endpoint: "e", Slots: 2, HasAnswered: true}
	granted := func(call Call, at time.Time) int {
		count := 0
		for _, id := range g.Answer(call, Share{}, at).Granted {
			if id != "" {
				count++
			}
		}
		return count
	}
	require.Equal(t, 1, granted(callOf("a", 1, nil, choice), now))
	require.Equal(t, 1, granted(callOf("b", 1, nil, choice), now))
	require.Zero(t, granted(callOf("c", 1, nil, choice), now), "both slots are taken")
	require.Zero(t, granted(callOf("a", 0, nil, choice), now), "a call that another has overtaken")
	require.Equal(t, 1, granted(callOf("c", 2, []willowwick.Occupancy{}, choice), now.Add(holderTTL+1)), "boxes that are silent for long have nothing")
	require.Equal(t, 1, granted(callOf("d", 1, nil, choice), now.Add(holderTTL+1)))
	require.Zero(t, granted(callOf("a", 2, []willowwick.Occupancy{{Endpoint: "e", Requests: 1}}, choice), now.Add(holderTTL+2)))
}

// Guards against a rush to an endpoint that has just started, and to one that has less room than is known.
func TestGranterIsCarefulWithNewAndFullEndpoints(t *testing.T) {
	now := time.Now()
	g := grantingSince(now)
	fresh := willowwick.Alternative{Endpoint: "fresh", Slots: 4}
	full := willowwick.Alternative{Endpoint: "full", Slots: 4, HasAnswered: true}
	assert.Equal(t, []willowwick.EndpointID{"fresh", ""}, g.Answer(Call{Box: "a", Asks: []Ask{{[]willowwick.Alternative{fresh}}, {[]willowwick.Alternative{fresh}}}}, Share{}, now).Granted)
	asks := []Ask{{[]willowwick.Alternative{full}}, {[]willowwick.Alternative{full}}, {[]willowwick.Alternative{full}}, {[]willowwick.Alternative{full}}}
	rejected := Call{Box: "b", Rejected: []willowwick.EndpointID{"full"}, Asks: asks}
	assert.Equal(t, make([]willowwick.EndpointID, 4), g.Answer(rejected, Share{}, now).Granted)
	now = now.Add(rejectionPause)
	assert.Equal(t, []willowwick.EndpointID{"full", "full", "full", "full"}, g.Answer(Call{Box: "b", SentAt: 1, Asks: asks}, Share{}, now).Granted)
	rejected.SentAt = 2
	g.Answer(rejected, Share{}, now)
	now = now.Add(rejectionPause)
	assert.Equal(t, []willowwick.EndpointID{"full", "full", "full", ""}, g.Answer(Call{Box: "b", SentAt: 3, Asks: asks}, Share{}, now).Granted, "one slot is left free")
}

// Guards against sides of a cut that hand out the same slot, or leave one to nobody.
func TestSharesOfACutAddUpToTheSlots(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	for _, id := range []willowwick.EndpointID{"x", "y", "z"} {
		for slots := range 20 {
			assert.Equal(t, slots, NewShare(all, all[:2]).of(id, slots)+NewShare(all, all[2:]).of(id, slots))
		}
	}
}

// Guards against less urgent requests that wait before urgent ones, or never have their turn.
func TestUrgentRequestsHaveTheirReservationsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := NewReserver("box", func([]willowwick.ServiceID) []willowwick.Occupancy { return nil })
		r.Observe(time.Now(), time.Now(), "s", named("1"))
		var order []int
		free := atomic.Int64{}
		go r.Run(ctx, func(_ context.Context, call Call) (Reply, error) {
			reply := Reply{IsGranting: true, IsShort: true, RetryMs: 10, Granted: make([]willowwick.EndpointID, len(call.Asks))}
			if free.Swap(0) > 0 && len(call.Asks) > 0 {
				reply.Granted[0] = "e"
			}
			return reply, nil
		})
		for i := range 12 {
			rank := 5 - 4*(i%2) // the patient ones come first
			go r.Await(ctx, Request{
				Rank: rank, Deadline: time.Now().Add(time.Minute),
				Take: func(willowwick.EndpointID) bool { order = append(order, rank); return true },
			})
			synctest.Wait()
		}
		for range 9 {
			free.Store(1)
			time.Sleep(time.Second)
			synctest.Wait()
		}
		assert.Equal(t, []int{1, 1, 5, 1, 1, 5, 1, 1, 5}, order)
		cancel()
		synctest.Wait()
	})
}

// Guards against a request whose endpoint has begun to drain asking for it again and again, without a pause.
func TestRequestThatCannotUseItsReservationChoosesAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := NewReserver("box", func([]willowwick.ServiceID) []willowwick.Occupancy { return nil })
		r.Observe(time.Now(), time.Now(), "s", named("1"))
		var calls atomic.Int64
		go r.Run(ctx, func(_ context.Context, call Call) (Reply, error) {
			calls.Add(1)
			reply := Reply{IsGranting: true}
			for range call.Asks {
				reply.Granted = append(reply.Granted, "drains")
			}
			return reply, nil
		})
		outcome := r.Await(ctx, Request{Deadline: time.Now().Add(time.Minute), Take: func(willowwick.EndpointID) bool { return false }})
		assert.Equal(t, OutcomeOutdated, outcome)
		time.Sleep(time.Second)
		assert.LessOrEqual(t, calls.Load(), int64(3))
		cancel()
		synctest.Wait()
	})
}

// Guards against delays that overflow in a fleet of any size.
func TestRetryDelayIsBounded(t *testing.T) {
	for _, waiting := range []int{0, 1, 295, math.MaxInt32} {
		assert.GreaterOrEqual(t, retryDelay(waiting), minRetryDelay)
		assert.LessOrEqual(t, retryDelay(waiting), maxRetryDelay)
	}
}
