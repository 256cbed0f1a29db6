package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const testTimePerToken = 100 * time.Microsecond // for each token

// promptOf returns work with one part that is shared with others and one of its own.
func promptOf(shared, own string, tokens willowwick.Tokens) Work {
	return Work{Model: "m", Prompt: []willowwick.PromptPart{{ID: shared, Tokens: tokens}, {ID: own, Tokens: 1000}}}
}

// newPrefillPool returns a pool of runners in one hall whose prefill speed is known.
func newPrefillPool(t *testing.T, names ...willowwick.EndpointID) *Pool {
	t.Helper()
	pool := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "h"}, 1), PoolOptions{StartLimit: 64})
	var list []willowwick.Endpoint
	for _, name := range names {
		list = append(list, willowwick.Endpoint{ID: name, Service: "s", Hall: "h"})
	}
	pool.Update(list)
	pool.speeds[speedKey{"s", "m"}] = &prefillSpeed{seconds: testTimePerToken.Seconds() * 1000, tokens: 1000}
	return pool
}

func all(willowwick.Endpoint) bool { return true }

// acquireAndSend acquires a slot for the work and sends it.
func acquireAndSend(t *testing.T, pool *Pool, now time.Time, work Work) (*Slot, PrefillUpdate) {
	t.Helper()
	slot, _ := pool.AcquireAllowed(now, "s", work, nil, all)
	require.NotNil(t, slot)
	update, hasUpdate := slot.Sent(now)
	require.True(t, hasUpdate)
	return slot, update
}

// uncachedTokensAt returns how many tokens of the work's prompt the endpoint must read.
func uncachedTokensAt(pool *Pool, now time.Time, name willowwick.EndpointID, work Work) willowwick.Tokens {
	return pool.endpoints[name].prefillQueue.uncachedTokens(now, work.Prompt, work.partHashes())
}

func backlogOf(pool *Pool, now time.Time, name willowwick.EndpointID) time.Duration {
	return pool.PrefillBacklog(now, name)
}

func TestPrefillForecastSumsPendingPrompts(t *testing.T) {
	pool, now := newPrefillPool(t, "a"), noon
	first, _ := acquireAndSend(t, pool, now, promptOf("x", "1", 4000))
	second, _ := acquireAndSend(t, pool, now, promptOf("y", "2", 1000))
	assert.Equal(t, now.Add(500*time.Millisecond), first.due)
	assert.Equal(t, now.Add(700*time.Millisecond), second.due)
	now = now.Add(300 * time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, backlogOf(pool, now, "a"))
	first.AnswerStarted(now)
	assert.Equal(t, 200*time.Millisecond, backlogOf(pool, now, "a"), "the first prompt was read sooner than forecast")
	second.Release(now, OutcomeCancelled)
	assert.Zero(t, backlogOf(pool, now, "a"))
}

func TestOverduePrefillIsExpectedToTakeAsLongAgain(t *testing.T) {
	pool := newPrefillPool(t, "a")
	acquireAndSend(t, pool, noon, promptOf("x", "1", 4000))
	assert.Equal(t, 300*time.Millisecond, backlogOf(pool, noon.Add(800*time.Millisecond), "a"))
}

func TestPromptIsSentWhereItsSharedPartIsCached(t *testing.T) {
	pool, now := newPrefillPool(t, "a", "b", "c", "d"), noon
	slot, _ := acquireAndSend(t, pool, now, promptOf("x", "1", 8000))
	holder := slot.Endpoint.ID
	now = now.Add(time.Second)
	slot.AnswerStarted(now)
	slot.Release(now, OutcomeGood)
	for range 10 {
		again, _ := acquireAndSend(t, pool, now, promptOf("x", "2", 8000))
		assert.Equal(t, holder, again.Endpoint.ID)
		assert.EqualValues(t, 1000, again.uncached, "only the part of its own is read")
		again.Release(now, OutcomeGood)
	}
	other := promptOf("x", "3", 8000)
	other.Model = "n"
	assert.EqualValues(t, 9000, uncachedTokensAt(pool, now, holder, other), "another model reads it anew")
	assert.EqualValues(t, 9000, uncachedTokensAt(pool, now.Add(prefixCacheTTL), holder, promptOf("x", "4", 8000)))
}

// If the prefill time of the request counted only once, each part of a prompt would end up cached at every endpoint.
func TestCacheHolderIsPreferredUnlessItsBacklogIsMuchLonger(t *testing.T) {
	for ahead, leaves := range map[willowwick.Tokens]bool{3000: false, 30000: true} {
		pool, now := newPrefillPool(t, "a", "b"), noon
		first, _ := acquireAndSend(t, pool, now, promptOf("x", "1", 2000))
		pool.ApplyPrefillUpdate(now, PrefillUpdate{Endpoint: uint32(first.member.hash), Added: time.Duration(ahead) * testTimePerToken})
		second, _ := acquireAndSend(t, pool, now, promptOf("x", "2", 2000))
		assert.Equal(t, leaves, first.Endpoint.ID != second.Endpoint.ID, "backlog of %d tokens", ahead)
	}
}

func TestPrefillUpdatesFromOtherBoxesCount(t *testing.T) {
	one, other := newPrefillPool(t, "a", "b"), newPrefillPool(t, "a", "b")
	slot, update := acquireAndSend(t, one, noon, promptOf("x", "1", 8000))
	other.ApplyPrefillUpdate(noon, update)
	assert.Equal(t, 900*time.Millisecond, backlogOf(other, noon, slot.Endpoint.ID))
	next, _ := acquireAndSend(t, other, noon, promptOf("y", "2", 8000))
	assert.NotEqual(t, slot.Endpoint.ID, next.Endpoint.ID)
	later := noon.Add(time.Second)
	assert.EqualValues(t, 1000, uncachedTokensAt(other, later, slot.Endpoint.ID, promptOf("x", "3", 8000)))
	assert.NotPanics(t, func() { other.ApplyPrefillUpdate(noon, PrefillUpdate{Endpoint: 1, Added: time.Second}) })
}

// If speeds were learnt only from prefills without a backlog, a model whose speed was taken for too slow after a
// restart would never be corrected, since it always has a backlog.
func TestPrefillSpeedIsLearntUnderLoadFromAnyStart(t *testing.T) {
	key := speedKey{"s", "m"}
	const tokens, truth = 4000, 100 * time.Microsecond
	for name, first := range map[string]time.Duration{"unknown": 0, "slow": 10 * truth, "fast": truth / 10} {
		pool, now := newPrefillPool(t, "a"), noon
		pool.speeds[key] = &prefillSpeed{seconds: first.Seconds() * 1000, tokens: 1000}
		if first == 0 {
			delete(pool.speeds, key)
		}
		var queue []*Slot
		for n := range 300 {
			// Three prompts are always pending, one read after the other.
			for len(queue) < 3 {
				slot, _ := acquireAndSend(t, pool, now, promptOf(fmt.Sprint("part", n, len(queue)), "own", tokens-1000))
				queue = append(queue, slot)
			}
			now = now.Add(tokens * truth)
			queue[0].AnswerStarted(now)
			queue[0].Release(now, OutcomeGood)
			queue = queue[1:]
		}
		assert.InEpsilon(t, truth.Seconds(), pool.speeds[key].secondsPerToken(), 0.1, name)
		assert.InDelta(t, (2 * tokens * truth).Seconds(), pool.PrefillBacklog(now, "a").Seconds(), 0.1, name)
	}
}

func TestOneSlowPrefillBarelyChangesTheSpeed(t *testing.T) {
	pool := newPrefillPool(t, "a")
	known := pool.speeds[speedKey{"s", "m"}]
	for range 100 {
		known.learn(time.Second, 5000)
	}
	known.learn(time.Minute, 5000)
	assert.Less(t, known.secondsPerToken(), 1.2/5000)
}

// If boxes reported only prefills and not those that finished early, forecasts would keep growing, as seen with 91
// boxes.
func TestPrefillForecastIsCorrectedAtAllBoxes(t *testing.T) {
	one, other := newPrefillPool(t, "a"), newPrefillPool(t, "a")
	slot, update := acquireAndSend(t, one, noon, promptOf("x", "1", 9000))
	other.ApplyPrefillUpdate(noon, update)
	held, _ := acquireAndSend(t, other, noon, promptOf("y", "2", 4000))
	now := noon.Add(200 * time.Millisecond)
	shift, hasShift := slot.AnswerStarted(now)
	require.True(t, hasShift)
	assert.Equal(t, -800*time.Millisecond, shift.Added)
	other.ApplyPrefillUpdate(now, shift)
	assert.Equal(t, now.Add(500*time.Millisecond), held.due)
	assert.Equal(t, 500*time.Millisecond, other.PrefillBacklog(now, "a"))
	shift, hasShift = held.Cancelled(now)
	require.True(t, hasShift)
	assert.Equal(t, -500*time.Millisecond, shift.Added)
	assert.Zero(t, other.PrefillBacklog(now, "a"))
	_, hasShift = held.Cancelled(now)
	assert.False(t, hasShift)
}

func TestStartingBoxAdoptsSpeedsOfOtherBoxes(t *testing.T) {
	known, fresh := newPrefillPool(t, "a"), newPrefillPool(t, "a")
	fresh.speeds = map[speedKey]*prefillSpeed{}
	fresh.MergeSpeeds([]SpeedRow{{Service: "s", Model: "n"}})
	fresh.MergeSpeeds(known.Speeds())
	assert.InDelta(t, testTimePerToken.Seconds(), fresh.speeds[speedKey{"s", "m"}].secondsPerToken(), 1e-9)
	assert.Len(t, fresh.speeds, 1, "an unknown speed is not adopted")
	known.MergeSpeeds([]SpeedRow{{Service: "s", Model: "m", PerToken: time.Second}})
	assert.InDelta(t, testTimePerToken.Seconds(), known.speeds[speedKey{"s", "m"}].secondsPerToken(), 1e-9, "its own speed takes precedence")
}

func TestSilentEndpointIsAvoidedByOtherBoxes(t *testing.T) {
	one, other := newPrefillPool(t, "a", "b"), newPrefillPool(t, "a", "b")
	slot, update := acquireAndSend(t, one, noon, promptOf("x", "1", 1000))
	other.ApplyPrefillUpdate(noon, update)
	now := noon.Add(time.Second)
	before := one.lateness[slot.speedKey()].Value()
	shift, hasShift := slot.TimedOut(now)
	require.True(t, hasShift)
	other.ApplyPrefillUpdate(now, shift)
	assert.Equal(t, 800*time.Millisecond, other.PrefillBacklog(now, slot.Endpoint.ID))
	assert.Greater(t, one.lateness[slot.speedKey()].Value(), before, "it counts as a late answer")
	for range 100 {
		one.learnLateness(now.Add(time.Hour), slot)
	}
	assert.Equal(t, maxLateness, one.lateness[slot.speedKey()].Value())
}
