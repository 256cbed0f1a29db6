package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// patientTable is a configuration whose requests have more time than a planned stop takes.
func patientTable(version uint64) *willowwick.RoutingTable {
	table := testTable(version, onceRoute(), retryRoute(), streamRoute())
	for i := range table.Routes {
		table.Routes[i].Timeout, table.Routes[i].Goal = time.Minute, time.Minute
	}
	return table
}

// Guards against a request that a planned stop cuts while a connection to its endpoint is being opened; no endpoint has it.
func TestPlannedStopAnswersRequestsThatWaitForAConnection(t *testing.T) {
	dials := make(chan struct{}, 100)
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		select {
		case dials <- struct{}{}:
		default:
		}
		return dialSilently(ctx, address)
	}
	r := newRunner(t, "r1", answerText("ok"))
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			s := startSiteOver(t, newTestControl(patientTable(1), r.endpoint("v1")), testSettings(), dial)
			for len(dials) > 0 {
				<-dials
			}
			statuses := s.goSend(t, path, "id")
			<-dials
			s.drainAndStop()
			assert.Equal(t, http.StatusServiceUnavailable, <-statuses)
			assert.Empty(t, r.requests())
		})
	}
}

// Guards against an answer that a planned stop cuts without a word while the box checks whether the endpoint that has sent it lives on.
func TestPlannedStopAnswersRequestsWhoseAnswersAreChecked(t *testing.T) {
	e := newEndingSite(t, 1, func(_ *runner, conn *net.TCPConn) { _ = conn.Close() })
	e.control.change(func() { e.control.table = patientTable(2) })
	require.Eventually(t, func() bool { return e.daemon.router.table.Load().Version == 2 }, waitTimeout, time.Millisecond)
	statuses := e.goSend(t, "/once/", "id")
	r := <-e.started
	checks := make(chan struct{}, 100)
	e.dials.set(r, func(ctx context.Context, address string) (net.Conn, error) {
		checks <- struct{}{}
		return dialSilently(context.WithoutCancel(ctx), address) // until the stop ends the request
	})
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		e.drainAndStop()
	}()
	time.Sleep(testSettings().Grace - exitMargin - lastAnswerMargin - stall)
	close(e.goOn)
	<-checks
	assert.Equal(t, http.StatusBadGateway, <-statuses)
	<-drained
}

// Guards against requests that a box closes without a word that stops before it has ever read the store.
func TestPlannedStopAnswersRequestsOfABoxWithoutConfiguration(t *testing.T) {
	control := newTestControl(nil)
	control.down = true
	s := startUnready(t, control, testSettings(), listen(t))
	statuses := s.goSend(t, "/once/", "id")
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 1 }, waitTimeout, time.Millisecond)
	s.drainAndStop()
	assert.Equal(t, http.StatusServiceUnavailable, <-statuses)
}

// Guards against a request that is cut, or runs twice, when the box that has taken it from another one stops, or both do.
func TestPlannedStopOfABoxThatTookARequestAnswersIt(t *testing.T) {
	for name, stopsBoth := range map[string]bool{"the taker stops": false, "both stop": true} {
		t.Run(name, func(t *testing.T) {
			c, statuses := passOnHeld(t)
			if stopsBoth {
				go c.daemon.Drain()
			}
			c.others[0].drainAndStop()
			assert.Equal(t, http.StatusBadGateway, <-statuses)
			assert.Equal(t, 1, c.runsOf("id"))
		})
	}
}

// Guards against a promise that isn't true, or the lack of one, for requests that an endpoint turns away as the box ends them.
func TestPlannedStopSaysOfARejectedRequestThatItHasNotRun(t *testing.T) {
	s, r := newStopEndSite(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s.daemon.router.endCalls()
	const requests = 20
	for i := range requests {
		reply := s.do(t, http.MethodPost, "/once/", fmt.Sprint(i), "x", "T-Left", "60000")
		assert.Equal(t, http.StatusServiceUnavailable, reply.status)
		assert.NotEmpty(t, reply.header.Get("Retry-After"))
	}
	assert.Empty(t, r.requests(), "a box that has ended its calls sends nothing")
}

// Guards against a caller that is left without an answer for a request that the box has not read to its end when it stops: the connection is
// closed, and nothing may have been sent.
func TestPlannedStopSendsNothingOfARequestThatIsNotRead(t *testing.T) {
	s, r := newStopEndSite(t, answerText("ok"))
	caller := s.dialRaw(t)
	caller.send(t, requestHead("/once/", "id", 2, "T-Left", "60000")+"x")
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 1 }, waitTimeout, time.Millisecond)
	s.drainAndStop()
	status, _, err := caller.receive()
	assert.True(t, err != nil || status >= http.StatusBadRequest, "status %d", status)
	assert.Empty(t, r.requests())
}

// Guards against a whole answer that its caller reads slowly, and that looks whole though the end of the box has cut it.
func TestPlannedStopCutsASlowlyReadAnswerVisibly(t *testing.T) {
	body := strings.Repeat("x", 32<<20) // more than the connection's buffers hold
	s, _ := newStopEndSite(t, answerText(body))
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		caller := s.dialRaw(t)
		caller.send(t, strings.Replace(requestHead("/once/", "id", 1, "T-Left", "60000"), "HTTP/1.1", version, 1)+"x")
		response, err := http.ReadResponse(caller.reader, nil)
		require.NoError(t, err)
		defer func() {
			read, err := io.ReadAll(response.Body)
			assert.True(t, err != nil || len(read) == len(body), "%s: %d bytes looked whole", version, len(read))
			_ = response.Body.Close()
		}()
	}
	s.drainAndStop()
}
