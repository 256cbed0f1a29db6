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

// cleanupLimit is the time within which a box stops working for a caller that has disconnected.
const cleanupLimit = 500 * time.Millisecond

// A request whose caller disconnects while it waits for a slot is not sent to an endpoint.
func TestQueuedRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	const slots = initialEndpointLimit
	goOn := make(chan struct{})
	r := newRunner(t, "r1", func(w http.ResponseWriter, _ *http.Request) {
		<-goOn
		w.WriteHeader(http.StatusOK)
	})
	s := newSite(t, r.endpoint("v1"))
	answered := make(chan int, slots)
	for i := range slots {
		go func() {
			answered <- s.do(t, http.MethodPost, "/once/", fmt.Sprint("before-", i), "x").status
		}()
	}
	require.Eventually(t, func() bool { return len(r.requests()) == slots }, waitTimeout, time.Millisecond)
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		response, err := s.client.Do(s.request(t, http.MethodPost, "/once/", "leaves", "x").WithContext(ctx))
		if err == nil {
			_ = response.Body.Close()
		}
		left <- err
	}()
	require.Eventually(t, func() bool { return s.daemon.router.gate.WaitingCount() == 1 }, waitTimeout, time.Millisecond)
	leave()
	require.Error(t, <-left)
	require.Eventually(t, func() bool { return s.daemon.router.gate.WaitingCount() == 0 }, cleanupLimit, time.Millisecond)
	close(goOn)
	for range slots {
		assert.Equal(t, http.StatusOK, <-answered)
	}
	time.Sleep(100 * time.Millisecond)
	assert.Len(t, r.requests(), slots, "the request of the disconnected caller was sent")
}

// A request whose body was not read completely is not sent to an endpoint.
func TestIncompleteRequestIsNotSent(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	s := newStopSite(t, testSettings(), listen(t), r.endpoint("v1"))
	caller := s.dialRaw(t)
	caller.send(t, requestHead("/once/", "half", 100)+"half of it")
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 0 }, cleanupLimit, time.Millisecond)
	assert.Empty(t, r.requests())
}
