package exchange

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// newBackoffSite starts a box with one runner that rejects its first request with a backoff and answers the later
// ones. The route lets requests wait for half a second.
func newBackoffSite(t *testing.T, backoff time.Duration, hasRun bool) (*site, *runner) {
	var rejected atomic.Bool
	r := newRunner(t, "r1", func(w http.ResponseWriter, _ *http.Request) {
		if rejected.Swap(true) {
			_, _ = w.Write([]byte("ok"))
			return
		}
		if !hasRun {
			w.Header().Set("T-Not-Run", "1")
		}
		w.Header().Set("T-Rest", strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	patient := onceRoute()
	patient.Goal = 2 * time.Second
	return startSite(t, newTestControl(testTable(1, patient), r.endpoint("v1")), testSettings()), r
}

// answerOnceFree rejects requests until an endpoint that is full for a time from its beginning on has free slots, and
// answers the later ones.
func answerOnceFree(began *time.Time, full time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if time.Since(*began) < full {
			w.Header().Set("T-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok"))
	}
}

// A request with enough time left after the backoff waits for its end; another one is refused, with the end of the
// backoff in Retry-After.
func TestRequestWaitsForShortBackoffOnly(t *testing.T) {
	for backoff, status := range map[time.Duration]int{100 * time.Millisecond: http.StatusOK, time.Second: http.StatusServiceUnavailable} {
		t.Run(backoff.String(), func(t *testing.T) {
			s, r := newBackoffSite(t, backoff, false)
			began := time.Now()
			reply := s.do(t, http.MethodPost, "/once/", "first", "x")
			assert.Equal(t, status, reply.status, reply.body)
			reply = s.do(t, http.MethodPost, "/once/", "second", "x")
			assert.Equal(t, status, reply.status, reply.body)
			if status == http.StatusOK {
				assert.GreaterOrEqual(t, time.Since(began), backoff)
				return
			}
			assert.Less(t, time.Since(began), refusalMax, "refused at once")
			seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			assert.InDelta(t, 1.5*backoff.Seconds(), seconds, backoff.Seconds()/2+0.2, "time of the retry")
			assert.Len(t, r.requests(), 1)
		})
	}
}

// A 503 requests a backoff even if it does not say that the request did not run.
func TestBackoffIsHonoredFrom503ThatMayHaveRun(t *testing.T) {
	s, r := newBackoffSite(t, time.Second, true)
	assert.Equal(t, http.StatusBadGateway, s.do(t, http.MethodPost, "/once/", "first", "x").status, "it may have run")
	for n := range 5 {
		assert.Equal(t, http.StatusServiceUnavailable, s.do(t, http.MethodPost, "/once/", fmt.Sprint(n), "x").status)
	}
	assert.Len(t, r.requests(), 1)
}

// While all other endpoints back off, a request that a full endpoint rejected is retried there after a delay.
func TestRetryToFullEndpointIsDelayedWhenOthersBackOff(t *testing.T) {
	const full = 150 * time.Millisecond
	began := time.Now()
	backedOff := newRunner(t, "r1", answerText("ok"))
	other := newRunner(t, "r2", answerOnceFree(&began, full))
	patient := onceRoute()
	patient.Goal = 2 * time.Second
	s := startSite(t, newTestControl(testTable(1, patient), backedOff.endpoint("v1"), other.endpoint("v1")), testSettings())
	now := time.Now()
	s.daemon.router.pool.ApplyNotice(now, now, backedOff.endpoint("v1"), willowwick.Notice{BackoffUntil: now.Add(time.Minute)})
	for range 20 {
		s.daemon.router.retryBudget("work").Request(now)
	}
	began = time.Now()
	assert.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", "first", "x").status)
	assert.Empty(t, backedOff.requests())
	assert.LessOrEqual(t, len(other.requests()), maxSends)
}

// A backoff that is requested between the choice of an endpoint and the send holds for that request.
func TestRequestIsWithheldWhenChosenEndpointBacksOff(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	s := newSite(t, r.endpoint("v1"))
	c, _ := s.newCall(t, "/once/", "meanwhile")
	ticket, refusal := c.awaitTicket()
	require.Nil(t, refusal)
	now := time.Now()
	s.daemon.router.pool.ApplyNotice(now, now, ticket.Endpoint, willowwick.Notice{BackoffUntil: now.Add(time.Minute)})
	assert.Equal(t, withheld, c.sendOnce(ticket).kind)
	assert.Empty(t, r.requests())
	_, refusal = c.awaitTicket()
	require.NotNil(t, refusal)
	assert.Equal(t, willowwick.CodeOverloaded, refusal.Code)
}

// All endpoints but one are draining, and that one is full for a moment: a request was sent there eight times within
// two milliseconds, each time using the fleet's retry budget, and then failed.
func TestRetryToOnlyEndpointIsDelayed(t *testing.T) {
	const full = 150 * time.Millisecond
	began := time.Now()
	r := newRunner(t, "r1", answerOnceFree(&began, full))
	patient := onceRoute()
	patient.Goal = 2 * time.Second
	s := startSite(t, newTestControl(testTable(1, patient), r.endpoint("v1")), testSettings())
	for range 40 {
		s.daemon.router.retryBudget("work").Request(time.Now())
	}
	began = time.Now()
	assert.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", "first", "x").status)
	assert.LessOrEqual(t, len(r.requests()), int(full/sameEndpointRetryDelay)+2)
}
