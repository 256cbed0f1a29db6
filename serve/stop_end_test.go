package serve_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/examples"
	"github.com/willowwick/willowwick/lab"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/standin"
)

const (
	// longerThanAnyStop is the time that an endpoint takes for a call that a stopping box can't finish.
	longerThanAnyStop = 2 * drainTimeout
	// answersWithin is how soon callers have their answers once a stop has ended, or a box is told to end it at once.
	answersWithin = time.Second
)

type (
	// stopScenario is a box in virtual time whose endpoints take longer than its planned stop may.
	stopScenario struct {
		*lab.Fleet
		t       *testing.T
		network *lab.MemoryNetwork
	}

	// stopAnswer is what a caller gets of a box that stops.
	stopAnswer struct {
		status     int
		retryAfter string
		kind       willowwick.RefusalKind
		code       willowwick.RefusalCode
		err        error // the connection closed without a whole answer
	}
)

func runStopScenario(t *testing.T, test func(*stopScenario)) {
	t.Helper()
	settings := serve.Settings{DrainDelay: drainDelay, DrainTimeout: drainTimeout, StallTimeout: longerThanAnyStop}
	withFleetOf(t, settings, func(t *testing.T, fleet *lab.Fleet, network *lab.MemoryNetwork) {
		fleet.Runners[0].SetFaults(func(f *standin.EngineFaults) { f.Stall = 1 << 10 })
		fleet.Services["bookkeeping"][0].SetFaults(func(f *standin.ServiceFaults) { f.SlowMs = int(longerThanAnyStop.Milliseconds()) })
		defer time.Sleep(longerThanAnyStop) // until the handlers of the endpoints have ended
		test(&stopScenario{fleet, t, network})
	})
}

// goSend sends a request on a connection of its own, and returns a channel that receives what comes of it.
func (s *stopScenario) goSend(method, path, body string) <-chan stopAnswer {
	s.t.Helper()
	conn, err := s.network.Dial("caller")(s.t.Context(), "tcp", s.Boxes[0].CallerAddress)
	require.NoError(s.t, err)
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: box\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n"+
		"%s: %d\r\nContent-Length: %d\r\n\r\n%s", method, path, clientKey, serve.HeaderDeadlineMs, longerThanAnyStop.Milliseconds(), len(body), body)
	require.NoError(s.t, err)
	answers := make(chan stopAnswer, 1)
	go func() { answers <- readStopAnswer(conn) }()
	return answers
}

func readStopAnswer(conn net.Conn) (answer stopAnswer) {
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return stopAnswer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	refusal := struct {
		Error struct {
			Kind willowwick.RefusalKind `json:"kind"`
			Code willowwick.RefusalCode `json:"code"`
		} `json:"error"`
	}{}
	_ = json.Unmarshal(body, &refusal) // an answer that is no refusal has no kind
	return stopAnswer{response.StatusCode, response.Header.Get("Retry-After"), refusal.Error.Kind, refusal.Error.Code, err}
}

// calls sends a call of each kind, and returns the channels of their answers by the kind.
func (s *stopScenario) calls() map[string]<-chan stopAnswer {
	answers := map[string]<-chan stopAnswer{
		"may run once": s.goSend(http.MethodPost, "/services/bookkeeping/calibrations/1", "entry"),
		"repeatable":   s.goSend(http.MethodGet, "/services/bookkeeping/runs/1", ""),
		"chat":         s.goSend(http.MethodPost, "/v1/chat/completions", `{"model": "run-large", "messages": [{"role": "user", "content": "hello"}]}`),
		"chat, stream": s.goSend(http.MethodPost, "/v1/chat/completions", chatBody()),
	}
	time.Sleep(startTime)
	require.EqualValues(s.t, len(answers), s.Boxes[0].Daemon.Status().InFlight)
	return answers
}

// requireAnswered requires that calls that an endpoint may have run are answered so, within some time from now on.
func (s *stopScenario) requireAnswered(answers map[string]<-chan stopAnswer, within time.Duration) {
	s.t.Helper()
	limit := time.After(within)
	for kind, channel := range answers {
		select {
		case answer := <-channel:
			if kind == "chat, stream" {
				assert.Error(s.t, answer.err, "a begun stream must be broken off visibly")
				continue
			}
			assert.NoError(s.t, answer.err, "%s: the connection closed without an answer", kind)
			assert.Equal(s.t, http.StatusBadGateway, answer.status, kind)
			assert.NotEqual(s.t, willowwick.KindNotRun, answer.kind, kind)
		case <-limit:
			assert.Fail(s.t, "no answer in time", kind)
		}
	}
}

// stop ends the box as its process does: by a planned stop whose context ends at a second signal.
func (s *stopScenario) stop(secondSignal context.Context) {
	_ = s.Boxes[0].Daemon.Drain(secondSignal)
	s.Boxes[0].Kill()
}

// Guards against calls of each kind that a planned stop cuts without an answer, or answers as if their deadlines had passed.
func TestPlannedStopAnswersCallsOfEachKind(t *testing.T) {
	runStopScenario(t, func(s *stopScenario) {
		answers := s.calls()
		s.stop(context.Background())
		s.requireAnswered(answers, answersWithin)
	})
}

// Guards against calls that are cut without an answer by the second signal of an operator that can't wait for the end of a planned stop,
// whatever the stop is busy with then.
func TestSecondSignalAnswersCallsInProgress(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "not ready": drainDelay / 2, "refusing": 2 * drainDelay} {
		t.Run(name, func(t *testing.T) {
			runStopScenario(t, func(s *stopScenario) {
				answers := s.calls()
				secondSignal, cancel := context.WithCancel(context.Background())
				defer time.AfterFunc(after, cancel).Stop()
				began := time.Now()
				s.stop(secondSignal)
				assert.Less(t, time.Since(began)-after, answersWithin)
				s.requireAnswered(answers, answersWithin)
			})
		})
	}
}

// Guards against a call that waited for a slot until the end of a planned stop, and was told that its deadline had passed, and not when to
// come back.
func TestPlannedStopRefusesCallsThatStillWaitForASlot(t *testing.T) {
	for path, body := range map[string]string{
		"/services/bookkeeping/calibrations/1": "entry",
		"/v1/chat/completions":                 `{"model": "run-large", "messages": [{"role": "user", "content": "hello"}]}`,
	} {
		t.Run(path, func(t *testing.T) {
			runStopScenario(t, func(s *stopScenario) { s.requireRefusedWhileWaiting(path, body) })
		})
	}
}

// requireRefusedWhileWaiting requires that a planned stop refuses those of many calls that no endpoint has got.
func (s *stopScenario) requireRefusedWhileWaiting(path, body string) {
	const calls = 64 // more than endpoints run at once
	var answers []<-chan stopAnswer
	for range calls {
		answers = append(answers, s.goSend(http.MethodPost, path, body))
	}
	time.Sleep(startTime)
	require.EqualValues(s.t, calls, s.Boxes[0].Daemon.Status().InFlight)
	s.stop(context.Background())
	refused := 0
	for _, channel := range answers {
		answer := <-channel
		require.NoError(s.t, answer.err)
		if answer.status == http.StatusBadGateway {
			continue
		}
		refused++
		assert.Equal(s.t, http.StatusServiceUnavailable, answer.status)
		assert.Equal(s.t, willowwick.KindNotRun, answer.kind)
		assert.Equal(s.t, willowwick.CodeStopping, answer.code)
		assert.NotEmpty(s.t, answer.retryAfter)
	}
	assert.Positive(s.t, refused, "no call waited for a slot")
}

// Guards against a call over HTTP/2, whose connection carries several, that a planned stop cuts without an answer.
func TestPlannedStopAnswersCallsOverHTTP2(t *testing.T) {
	t.Parallel()
	server := httptest.NewUnstartedServer(nil) // for its certificate
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	fleet, closeFleet, err := lab.NewFleet(lab.Options{
		Network: lab.Loopback{}, Boxes: 1, Halls: 1, Services: map[willowwick.ServiceID]int{"bookkeeping": 1},
		Settings: serve.Settings{CallerTLS: server.TLS.Clone(), DrainDelay: time.Millisecond, DrainTimeout: 2 * time.Second},
	})
	require.NoError(t, err)
	defer closeFleet()
	require.NoError(t, fleet.Apply(examples.Declarations))
	require.NoError(t, fleet.WaitReady(readyTimeout))
	fleet.Services["bookkeeping"][0].SetFaults(func(f *standin.ServiceFaults) { f.SlowMs = 3000 }) // longer than the stop may take
	statuses := make(chan int, 1)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "https://"+fleet.Boxes[0].CallerAddress+"/services/bookkeeping/calibrations/1", nil)
		request.Header.Set("Authorization", "Bearer "+clientKey)
		response, err := server.Client().Do(request)
		if err != nil || response.ProtoMajor != 2 {
			t.Logf("%v, %v", response, err)
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return fleet.Boxes[0].Daemon.Status().InFlight == 1 }, readyTimeout, time.Millisecond)
	time.Sleep(startTime)
	_ = fleet.Boxes[0].Daemon.Drain(context.Background())
	fleet.Boxes[0].Kill()
	assert.Equal(t, http.StatusBadGateway, <-statuses)
}
