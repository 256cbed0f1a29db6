package exchange

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// A new endpoint was the least loaded, so it once got all requests of the first moments and was overloaded.
func TestColdEndpointGetsFewRequests(t *testing.T) {
	const requests = 30
	warm, cold := newRunner(t, "r1", answerText("ok")), newRunner(t, "r2", answerText("ok"))
	s := newSite(t, warm.endpoint("v1"))
	s.control.change(func() {
		table := testTable(2, onceRoute())
		table.Services[0].ColdPerSecond = 5
		s.control.table = table
		endpoint := cold.endpoint("v1")
		endpoint.ColdUntil = time.Now().Add(time.Minute)
		s.control.endpoints[cold.id] = endpoint
	})
	require.Eventually(t, func() bool {
		_, found := s.daemon.router.sync.listedEndpoint(cold.id)
		return found && s.daemon.router.configVersion() == 2
	}, waitTimeout, time.Millisecond)
	for i := range requests {
		require.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", fmt.Sprint(i), "x").status)
	}
	assert.LessOrEqual(t, len(cold.requests()), 1, "the cold rate is shared by a fleet of up to fifty boxes")
	assert.GreaterOrEqual(t, len(warm.requests()), requests-1)
}

// Clocks differ between boxes, so the remaining cold time counts, not the time at which it ends.
func TestColdTimeIsCorrectedForClockSkew(t *testing.T) {
	const remaining, clockSkew = 3 * time.Second, time.Hour
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 1, r.endpoint("v1"))
	s := sites[0].daemon.router.sync
	now := time.Now()
	endpoint := r.endpoint("v1")
	endpoint.ID, endpoint.ColdUntil = "r2", now.Add(clockSkew+remaining)
	s.applyPeerList(SwapReply{Endpoints: &EndpointList{
		Endpoints: []willowwick.Endpoint{endpoint}, Next: 1 << 20, From: 1 << 20, Told: now.Add(clockSkew),
	}}, now)
	known, found := s.listedEndpoint("r2")
	require.True(t, found)
	assert.WithinDuration(t, now.Add(remaining), known.ColdUntil, time.Millisecond)
}
