package exchange

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hold keeps a request until the connection that it came on ends.
func hold(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// newStopEndSite starts a box with one endpoint, whose requests have more time than a planned stop takes.
func newStopEndSite(t *testing.T, work http.HandlerFunc) (*site, *runner) {
	r := newRunner(t, "r1", work)
	return startSite(t, newTestControl(patientTable(1), r.endpoint("v1")), testSettings()), r
}

// goSend sends a request that has a minute, and returns a channel that receives its status, or 0 if it got no whole answer.
func (s *site) goSend(t *testing.T, path, id string) <-chan int {
	t.Helper()
	statuses := make(chan int, 1)
	request := s.request(t, http.MethodPost, path, id, "x", "T-Left", "60000")
	go func() {
		response, err := s.client.Do(request)
		if err != nil {
			t.Logf("%s: %v", id, err)
			statuses <- 0
			return
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		statuses <- response.StatusCode
	}()
	return statuses
}

// Guards against requests that are cut without an answer at the end of a planned stop: those that wait at an endpoint, of which nobody
// knows whether they run, and those that wait here, of which the box knows that they won't.
func TestPlannedStopAnswersRequestsThatStillWait(t *testing.T) {
	s, r := newStopEndSite(t, hold)
	atEndpoint := make([]<-chan int, initialEndpointLimit)
	for i := range atEndpoint {
		atEndpoint[i] = s.goSend(t, "/once/", fmt.Sprint("sent-", i))
	}
	require.Eventually(t, func() bool { return len(r.requests()) == len(atEndpoint) }, waitTimeout, time.Millisecond)
	inQueue := s.goSend(t, "/once/", "queued")
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == initialEndpointLimit+1 }, waitTimeout, time.Millisecond)
	began := time.Now()
	s.drainAndStop()
	assert.Less(t, time.Since(began), testSettings().Grace)
	for _, statuses := range atEndpoint {
		assert.Equal(t, http.StatusBadGateway, <-statuses)
	}
	assert.Equal(t, http.StatusServiceUnavailable, <-inQueue)
	assert.Len(t, r.requests(), len(atEndpoint))
}

// Guards against answers that come in time and are ended before: a box that stops needs only the time to write what is left.
func TestPlannedStopWaitsForAnswersUntilItsEnd(t *testing.T) {
	s, _ := newStopEndSite(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(testSettings().Grace - exitMargin - lastAnswerMargin - stall)
		_, _ = io.WriteString(w, "whole")
	})
	statuses := s.goSend(t, "/once/", "id")
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 1 }, waitTimeout, time.Millisecond)
	s.drainAndStop()
	assert.Equal(t, http.StatusOK, <-statuses)
}

// requireVisibleBreak requires that a caller without chunks, for which the end of its connection is the end of the answer, sees that its
// stream isn't whole once the box that relays it has ended.
func requireVisibleBreak(t *testing.T, endBox func(*site)) {
	s, _ := newStopEndSite(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(w, r, 1)
		hold(w, r)
	})
	caller := s.dialRaw(t)
	caller.send(t, strings.Replace(requestHead("/stream/", "id", 1, "T-Left", "60000"), "HTTP/1.1", "HTTP/1.0", 1)+"x")
	response, err := http.ReadResponse(caller.reader, nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadFull(response.Body, make([]byte, len(event(1))))
	require.NoError(t, err)
	endBox(s)
	_, err = io.ReadAll(response.Body)
	assert.Error(t, err)
}

// Guards against a stream that looks whole to a caller without chunks when the box that relays it stops.
func TestPlannedStopBreaksOffStreamsVisibly(t *testing.T) {
	requireVisibleBreak(t, (*site).drainAndStop)
}

// Guards against the same when the connection is closed before the box can say that the answer is broken off, as at the end of a process.
func TestEndOfABoxBreaksOffStreamsVisibly(t *testing.T) {
	requireVisibleBreak(t, func(s *site) {
		for _, server := range s.daemon.servers {
			_ = server.Close()
		}
	})
}

// passOnHeld lets a box that is cut off pass on a request, which an endpoint holds, and returns the channel of its status.
func passOnHeld(t *testing.T) (*cutSite, <-chan int) {
	c := newCutSite(t, 1)
	c.cutOffNow(t)
	c.handleAll(hold)
	for _, each := range []*site{c.site, c.others[0]} {
		each.daemon.router.setTable(patientTable(2), "test")
	}
	statuses := c.goSend(t, "/once/", "id")
	require.Eventually(t, func() bool { return c.runsOf("id") == 1 }, waitTimeout, time.Millisecond)
	return c, statuses
}

// Guards against the same cut of a request that the stopping box has passed on to another one.
func TestPlannedStopAnswersWhatItHasPassedOn(t *testing.T) {
	c, statuses := passOnHeld(t)
	c.drainAndStop()
	assert.Equal(t, http.StatusBadGateway, <-statuses)
}
