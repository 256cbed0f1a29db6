package exchange

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// callerLeftWithin is how soon an endpoint's work ends after its caller has left.
const callerLeftWithin = 500 * time.Millisecond

// countsToldWithin is how soon a box has told the others what it counted.
const countsToldWithin = 500 * time.Millisecond

// cutOffNow cuts the box off, which it notices at once.
func (c *cutSite) cutOffNow(t *testing.T) {
	c.network.cut(cutReset)
	c.daemon.router.reach.noteMiss("r1")
	c.daemon.router.reach.noteMiss("r2")
	require.Eventually(t, c.daemon.router.reach.isCutOff, waitTimeout, time.Millisecond)
}

// handleAll replaces the handler of all runners.
func (c *cutSite) handleAll(handler http.HandlerFunc) {
	for _, r := range c.runners {
		r.handle(handler)
	}
}

// A request that is passed on goes no further, also if the other box reaches no endpoint either.
func TestRequestIsPassedOnOnce(t *testing.T) {
	c := newCutSite(t, 1)
	other := c.others[0].daemon.router
	c.cutOffNow(t)
	c.requireServed(t, "one box cut off")
	other.reach.update(false)
	defer other.reach.update(true)
	reply := c.do(t, http.MethodPost, "/once/", "id", "x")
	assert.Equal(t, http.StatusServiceUnavailable, reply.status)
	assert.NotEmpty(t, reply.header.Get("Retry-After"))
	assert.Empty(t, reply.header.Get(headerNotTaken))
	assert.Zero(t, c.runsOf("id"))
}

// The end of a passed-on request must reach the endpoint as that of any other.
func TestCallerThatLeavesEndsItsRequestThatWasPassedOn(t *testing.T) {
	for _, path := range []string{"/again/", "/stream/"} {
		c := newCutSite(t, 1)
		c.cutOffNow(t)
		started, ended := make(chan struct{}, 1), make(chan struct{})
		c.handleAll(func(_ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-r.Context().Done()
			close(ended)
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			if response, err := c.client.Do(c.request(t, http.MethodPost, path, "id", "x").WithContext(ctx)); err == nil {
				_ = response.Body.Close()
			}
		}()
		<-started
		cancel()
		requireClosed(t, ended, callerLeftWithin, "the request went on at the endpoint")
	}
}

// A box that takes requests of another one is killed: a stream goes on through a third.
func TestStreamThatWasPassedOnGoesOnWhenThatBoxIsKilled(t *testing.T) {
	const last = 5
	c := newCutSite(t, 2)
	c.cutOffNow(t)
	started := make(chan struct{}, 4)
	c.handleAll(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("T-Resume") == "" {
			streamEvents(w, r, 2)
			started <- struct{}{}
			<-r.Context().Done()
			return
		}
		streamEvents(w, r, last)
	})
	replies := make(chan siteReply, 1)
	go func() { replies <- c.do(t, http.MethodPost, "/stream/", "id", "x") }()
	<-started
	c.killTaker(t)
	reply := <-replies
	assert.NoError(t, reply.err)
	assert.Equal(t, events(last), reply.body)
}

// A box that takes requests of another one is killed: what may run once is not sent again.
func TestUnrepeatableRequestThatWasPassedOnIsNotSentAgainWhenThatBoxIsKilled(t *testing.T) {
	c := newCutSite(t, 2)
	c.cutOffNow(t)
	started := make(chan struct{}, 4)
	c.handleAll(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	})
	replies := make(chan siteReply, 1)
	go func() { replies <- c.do(t, http.MethodPost, "/once/", "id", "x") }()
	<-started
	c.killTaker(t)
	assert.Equal(t, http.StatusBadGateway, (<-replies).status)
	assert.Equal(t, 1, c.runsOf("id"))
}

// killTaker ends the box that has the request of the one that is cut off.
func (c *cutSite) killTaker(t *testing.T) {
	for _, other := range c.others {
		if other.daemon.router.inFlight.Load() > 0 {
			other.stop()
			return
		}
	}
	require.Fail(t, "no box has the request")
}

// doCutOff sends a request that an endpoint begins to run, cuts its box off from all endpoints, which then answer by the handler, and
// returns the answer.
func (c *cutSite) doCutOff(t *testing.T, path string, then http.HandlerFunc) siteReply {
	started := make(chan struct{}, 1)
	c.handleAll(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	})
	replies := make(chan siteReply, 1)
	go func() { replies <- c.do(t, http.MethodPost, path, "id", "x") }()
	<-started
	c.handleAll(then)
	c.daemon.router.reach.update(false)
	c.network.cut(cutReset)
	return <-replies
}

// The promise of the other box that nothing ran must not cover a send that came before.
func TestRefusalOfAPassedOnRequestThatMayHaveRunPromisesNothing(t *testing.T) {
	c := newCutSite(t, 1)
	reply := c.doCutOff(t, "/again/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	assert.Equal(t, http.StatusBadGateway, reply.status)
}

// A planned stop of a box waits for the requests that others have passed on to it.
func TestPlannedStopWaitsForRequestsThatWerePassedOn(t *testing.T) {
	c := newCutSite(t, 1)
	c.cutOffNow(t)
	started := make(chan struct{}, 1)
	c.handleAll(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		time.Sleep(testSettings().UnreadyDelay + 200*time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	replies := make(chan siteReply, 1)
	go func() { replies <- c.do(t, http.MethodPost, "/once/", "id", "x") }()
	<-started
	other := c.others[0]
	other.daemon.Drain()
	other.stop()
	reply := <-replies
	assert.Equal(t, http.StatusOK, reply.status)
	assert.Equal(t, "ok", reply.body)
}

// An endpoint that sets the header by which a box says that it took no request must not cause a second run.
func TestEndpointCannotSayThatABoxTookNoRequest(t *testing.T) {
	c := newCutSite(t, 2)
	c.cutOffNow(t)
	c.handleAll(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNotTaken, "1")
		_, _ = io.WriteString(w, "ok")
	})
	reply := c.do(t, http.MethodPost, "/once/", "id", "x")
	assert.Equal(t, http.StatusOK, reply.status)
	assert.Equal(t, 1, c.runsOf("id"))
}

// Guards against requests that run though they were refused with a promise, found by reading: a box took any answer on a connection to
// another box for the answer to the request that it had passed on.
func TestPromiseOfAnotherBoxCountsOnlyIfItNamesTheRequest(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	for name, head := range map[string]string{
		"not taken": headerNotTaken + ": 1\r\n", "refused": "", "of another request": "T-Id: other\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			box := newRawEndpoint(t, func(_ *rawEndpoint, try rawTry) {
				try.write("HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", head)
				_ = try.conn.Close()
			})
			c, recorder := s.newCall(t, "/once/", "id")
			p := &passage{call: c, target: target{reply: OfferReply{Address: box.address}}}
			require.True(t, p.isLast(p.do()))
			assert.Equal(t, http.StatusBadGateway, recorder.Code)
		})
	}
}

// Guards against an answer in part that looks complete: one of another box that ended with its connection, as no box ends its answers,
// was taken for whole.
func TestAnswerOfAnotherBoxThatEndsWithItsConnectionIsNotWhole(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	box := newRawEndpoint(t, func(_ *rawEndpoint, try rawTry) {
		try.write("HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", try.id, events(2))
		_ = try.conn.Close()
	})
	for path, isLast := range map[string]bool{"/once/": true, "/again/": false, "/stream/": false} {
		t.Run(path, func(t *testing.T) {
			c, recorder := s.newCall(t, path, "id")
			p := &passage{call: c, target: target{reply: OfferReply{Address: box.address}}}
			result := p.do()
			assert.Equal(t, broken, result.kind)
			assert.Equal(t, isLast, p.isLast(result))
			assert.NotContains(t, recorder.Body.String(), events(1), "a part of the answer")
		})
	}
}

// Guards against a request counting twice in its account's usage that is passed on after its stream has begun here.
func TestBegunStreamThatIsPassedOnCountsOnce(t *testing.T) {
	const last = 5
	c := newCutSiteWith(t, 1, usageDuty)
	rest, err := io.ReadAll(c.passOnBegunStream(t, func(w http.ResponseWriter, r *http.Request) { streamEvents(w, r, last) }))
	require.NoError(t, err)
	assert.Equal(t, events(last), events(2)+string(rest))
	assert.Equal(t, 1, c.usage())
	isTwice := func() bool { return c.others[0].usage() > 1 }
	assert.Never(t, isTwice, countsToldWithin, 10*time.Millisecond, "both boxes have counted it")
}
