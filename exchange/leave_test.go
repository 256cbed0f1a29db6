package exchange

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// leftWithin is within what time nothing more is done for a caller that has left.
const leftWithin = 500 * time.Millisecond

// A caller that leaves while its request waits for a place costs no endpoint anything.
func TestRequestOfACallerThatLeftIsNotSentWhenItsTurnComes(t *testing.T) {
	const places = startLimit
	goOn := make(chan struct{})
	r := newRunner(t, "r1", func(w http.ResponseWriter, _ *http.Request) {
		<-goOn
		w.WriteHeader(http.StatusOK)
	})
	s := newSite(t, r.endpoint("v1"))
	answered := make(chan int, places)
	for i := range places {
		go func() {
			answered <- s.do(t, http.MethodPost, "/once/", fmt.Sprint("before-", i), "x").status
		}()
	}
	require.Eventually(t, func() bool { return len(r.requests()) == places }, waitTimeout, time.Millisecond)
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		response, err := s.client.Do(s.request(t, http.MethodPost, "/once/", "leaves", "x").WithContext(ctx))
		if err == nil {
			_ = response.Body.Close()
		}
		left <- err
	}()
	require.Eventually(t, func() bool { return s.daemon.router.gate.WaitingNow() == 1 }, waitTimeout, time.Millisecond)
	leave()
	require.Error(t, <-left)
	require.Eventually(t, func() bool { return s.daemon.router.gate.WaitingNow() == 0 }, leftWithin, time.Millisecond)
	close(goOn)
	for range places {
		assert.Equal(t, http.StatusOK, <-answered)
	}
	time.Sleep(100 * time.Millisecond)
	assert.Len(t, r.requests(), places, "nothing was sent for the caller that left")
}

// A request that was not read to its end reaches no endpoint.
func TestRequestOfACallerThatLeftWithinItIsNotSent(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	s := newStopSite(t, testSettings(), listen(t), r.endpoint("v1"))
	caller := s.dialWire(t)
	caller.send(t, headOf("/once/", "half", 100)+"half of it")
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 0 }, leftWithin, time.Millisecond)
	assert.Empty(t, r.requests())
}
