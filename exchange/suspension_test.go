package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/clock"
)

// asleep is longer than all bounds of the tests' settings.
const asleep = 30 * time.Second

// suspend lets the box's clock go on as if its machine had been suspended.
func suspend(t *testing.T) {
	t.Cleanup(clock.SimulateSuspension(asleep))
}

// A configuration that was the newest before the machine was suspended is not for certain after it: nothing is refused for good
// by it.
func TestABoxThatWasSuspendedRefusesNothingForGood(t *testing.T) {
	s := newSite(t)
	require.Equal(t, http.StatusNotFound, s.do(t, http.MethodGet, "/unknown/", "before", "").status)
	s.control.mu.Lock()
	s.control.down = true
	s.control.mu.Unlock()
	suspend(t)
	assert.Equal(t, http.StatusServiceUnavailable, s.do(t, http.MethodGet, "/unknown/", "after", "").status)
	assert.GreaterOrEqual(t, s.daemon.router.sync.endpointsAge(clock.Now()), asleep)
	digest := s.daemon.router.peers.digest(clock.Now())
	assert.GreaterOrEqual(t, digest.ConfigAgeMs, asleep.Milliseconds(), "other boxes are told so")
	assert.GreaterOrEqual(t, digest.StoreAgeMs, asleep.Milliseconds())
}

// A request whose time passed while the machine was suspended is not sent again with what seems to be left of it.
func TestARequestWhoseTimePassedInASuspensionIsNotSentAgain(t *testing.T) {
	a := newRunner(t, "r1", answerText("ok"))
	b := newRunner(t, "r2", answerText("ok"))
	s := newSite(t, a.endpoint("v1"), b.endpoint("v1"))
	breaks := func(w http.ResponseWriter, _ *http.Request) {
		suspend(t)
		hangUp(w)
	}
	a.handle(breaks)
	b.handle(breaks)
	reply := s.do(t, http.MethodGet, "/again/", "id", "")
	assert.Equal(t, http.StatusGatewayTimeout, reply.status)
	assert.Equal(t, 1, len(a.requests())+len(b.requests()))
}

// A record of an end that is kept at the store says when that was by the time of day.
func TestAnEndIsToldByTheTimeOfDay(t *testing.T) {
	suspend(t)
	h, sites := newHarmSite(t, 1, 4)
	for i := 0; !sites[0].refusesHarmful(); i++ {
		require.Less(t, i, 10)
		sites[0].do(t, http.MethodPost, "/stream/", "id", harmfulBody)
	}
	require.Eventually(t, func() bool {
		h.control.mu.Lock()
		defer h.control.mu.Unlock()
		return len(h.control.harmful) == 1
	}, time.Second, 5*time.Millisecond)
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	for _, request := range h.control.harmful {
		assert.WithinDuration(t, time.Now().Round(0), request.Ends[0].At.Round(0), 10*time.Second)
	}
}
