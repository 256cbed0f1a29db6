package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const testReading = 100 * time.Microsecond // for each token

// promptOf has one part that is shared with others and one of its own.
func promptOf(shared, own string, tokens willowwick.Tokens) Work {
	return Work{Model: "m", Prompt: []willowwick.PromptPart{{ID: shared, Tokens: tokens}, {ID: own, Tokens: 1000}}}
}

// readers is a pool of runners in one hall whose reading speed is known.
func readers(t *testing.T, names ...willowwick.EndpointID) *Pool {
	t.Helper()
	pool := NewPoolWith(NewHallFirst("h", 1), PoolOptions{StartLimit: 64})
	var list []willowwick.Endpoint
	for _, name := range names {
		list = append(list, willowwick.Endpoint{ID: name, Service: "s", Hall: "h"})
	}
	pool.Update(list)
	pool.speeds[speedKey{"s", "m"}] = &speed{seconds: testReading.Seconds() * 1000, tokens: 1000}
	return pool
}

func all(willowwick.Endpoint) bool { return true }

// sendTo takes a place for the work and sends it.
func sendTo(t *testing.T, pool *Pool, now time.Time, work Work) (*Place, Reading) {
	t.Helper()
	place, _ := pool.AcquireAllowed(now, "s", work, nil, all)
	require.NotNil(t, place)
	reading, isReading := place.Sent(now)
	require.True(t, isReading)
	return place, reading
}

func aheadOf(pool *Pool, now time.Time, name willowwick.EndpointID) time.Duration {
	return pool.Ahead(now, name)
}

func TestForecastAddsUpWhatAnEndpointHasToRead(t *testing.T) {
	pool, now := readers(t, "a"), noon
	first, _ := sendTo(t, pool, now, promptOf("x", "1", 4000))
	second, _ := sendTo(t, pool, now, promptOf("y", "2", 1000))
	assert.Equal(t, now.Add(500*time.Millisecond), first.due)
	assert.Equal(t, now.Add(700*time.Millisecond), second.due)
	now = now.Add(300 * time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, aheadOf(pool, now, "a"))
	first.Begun(now)
	assert.Equal(t, 200*time.Millisecond, aheadOf(pool, now, "a"), "the first was read sooner than forecast")
	second.Release(now, OutcomeCancelled)
	assert.Zero(t, aheadOf(pool, now, "a"))
}

func TestReadingThatIsHeldUpIsExpectedToTakeAsLongAgain(t *testing.T) {
	pool := readers(t, "a")
	sendTo(t, pool, noon, promptOf("x", "1", 4000))
	assert.Equal(t, 300*time.Millisecond, aheadOf(pool, noon.Add(800*time.Millisecond), "a"))
}

func TestPromptGoesWhereItsSharedPartIsKept(t *testing.T) {
	pool, now := readers(t, "a", "b", "c", "d"), noon
	place, _ := sendTo(t, pool, now, promptOf("x", "1", 8000))
	holder := place.Endpoint.ID
	now = now.Add(time.Second)
	place.Begun(now)
	place.Release(now, OutcomeGood)
	for range 10 {
		again, _ := sendTo(t, pool, now, promptOf("x", "2", 8000))
		assert.Equal(t, holder, again.Endpoint.ID)
		assert.EqualValues(t, 1000, again.unread, "its own part alone is read")
		again.Release(now, OutcomeGood)
	}
	other := promptOf("x", "3", 8000)
	other.Model = "n"
	assert.EqualValues(t, 9000, pool.endpoints[holder].reader.unread(now, other), "another model reads it anew")
	assert.EqualValues(t, 9000, pool.endpoints[holder].reader.unread(now.Add(keptFor), promptOf("x", "4", 8000)))
}

func TestHolderOfASharedPartIsLeftWhenItHasMoreToReadThanThat(t *testing.T) {
	pool, now := readers(t, "a", "b"), noon
	first, _ := sendTo(t, pool, now, promptOf("x", "1", 2000))
	second, _ := sendTo(t, pool, now, promptOf("x", "2", 2000))
	assert.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID, "reading 2000 tokens anew is sooner than waiting for 3000")
}

func TestWhatOtherBoxesSentCounts(t *testing.T) {
	one, other := readers(t, "a", "b"), readers(t, "a", "b")
	place, reading := sendTo(t, one, noon, promptOf("x", "1", 8000))
	other.NoteReading(noon, reading)
	assert.Equal(t, 900*time.Millisecond, aheadOf(other, noon, place.Endpoint.ID))
	next, _ := sendTo(t, other, noon, promptOf("y", "2", 8000))
	assert.NotEqual(t, place.Endpoint.ID, next.Endpoint.ID)
	later := noon.Add(time.Second)
	assert.EqualValues(t, 1000, other.endpoints[place.Endpoint.ID].reader.unread(later, promptOf("x", "3", 8000)))
	assert.NotPanics(t, func() { other.NoteReading(noon, Reading{Endpoint: 1, Length: time.Second}) })
}

func TestSpeedIsLearntFromReadingsThatFoundNothingAhead(t *testing.T) {
	pool := readers(t, "a")
	pool.speeds = map[speedKey]*speed{}
	key := speedKey{"s", "m"}
	now := noon
	for n := range 60 {
		place, _ := sendTo(t, pool, now, promptOf(string(rune('A'+n)), "own", 4000))
		held, _ := sendTo(t, pool, now, promptOf("held", "own", 4000))
		now = now.Add(time.Second)
		place.Begun(now)
		place.Release(now, OutcomeGood)
		now = now.Add(3 * time.Second)
		held.Begun(now)
		held.Release(now, OutcomeGood)
	}
	assert.InDelta(t, 1.0/5000, pool.speeds[key].perToken(), 1e-6)
	pool.speeds[key].learn(time.Minute, 5000)
	assert.Less(t, pool.speeds[key].perToken(), 1.2/5000, "one reading that was held up says little")
}
