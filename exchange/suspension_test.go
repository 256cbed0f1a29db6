package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/clock"
)

// suspendedFor exceeds all timeouts in the test settings.
const suspendedFor = 30 * time.Second

// suspend advances the box's clock as if its machine had been suspended.
func suspend(t *testing.T) {
	t.Cleanup(clock.SimulateSuspension(suspendedFor))
}

// After a suspension the known configuration may be out of date, so the box must not refuse anything permanently
// because of it.
func TestSuspendedBoxRefusesNothingPermanently(t *testing.T) {
	s := newSite(t)
	require.Equal(t, http.StatusNotFound, s.do(t, http.MethodGet, "/unknown/", "before", "").status)
	s.control.mu.Lock()
	s.control.down = true
	s.control.mu.Unlock()
	suspend(t)
	assert.Equal(t, http.StatusServiceUnavailable, s.do(t, http.MethodGet, "/unknown/", "after", "").status)
	assert.GreaterOrEqual(t, s.daemon.router.sync.endpointsAge(clock.Now()), suspendedFor)
	digest := s.daemon.router.peers.ownDigest(clock.Now())
	assert.GreaterOrEqual(t, digest.ConfigAgeMs, suspendedFor.Milliseconds(), "reported to other boxes")
	assert.GreaterOrEqual(t, digest.StoreAgeMs, suspendedFor.Milliseconds())
}

// A request that expired during a suspension is not retried with the time that seems to be left.
func TestRequestExpiredDuringSuspensionIsNotRetried(t *testing.T) {
	a := newRunner(t, "r1", answerText("ok"))
	b := newRunner(t, "r2", answerText("ok"))
	s := newSite(t, a.endpoint("v1"), b.endpoint("v1"))
	disconnect := func(w http.ResponseWriter, _ *http.Request) {
		suspend(t)
		hangUp(w)
	}
	a.handle(disconnect)
	b.handle(disconnect)
	reply := s.do(t, http.MethodGet, "/again/", "id", "")
	assert.Equal(t, http.StatusGatewayTimeout, reply.status)
	assert.Equal(t, 1, len(a.requests())+len(b.requests()))
}

// The stored record of a crash gives its time as the time of day.
func TestCrashIsStoredWithTimeOfDay(t *testing.T) {
	suspend(t)
	h, sites := newPoisonSite(t, 1, 4)
	for i := 0; !sites[0].refusesPoison(); i++ {
		require.Less(t, i, 10)
		sites[0].do(t, http.MethodPost, "/stream/", "id", poisonBody)
	}
	require.Eventually(t, func() bool {
		h.control.mu.Lock()
		defer h.control.mu.Unlock()
		return len(h.control.harmful) == 1
	}, time.Second, 5*time.Millisecond)
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	for _, request := range h.control.harmful {
		assert.WithinDuration(t, time.Now().Round(0), request.Crashes[0].At.Round(0), 10*time.Second)
	}
}
