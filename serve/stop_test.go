package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/examples"
	"github.com/willowwick/willowwick/lab"
	"github.com/willowwick/willowwick/serve"
)

const (
	callersKey = "demo-lab-coimbra"
	// longPause is how long a caller rests before it takes its answer: longer than the server's own shutdown may take.
	longPause = 20 * time.Second
	drainWait = time.Second
	// drainLimit is how long a planned stop may take.
	drainLimit = time.Minute
)

// stopScene is a fleet in virtual time with a caller that writes and reads its connection as a test wants.
type stopScene struct {
	*lab.Fleet
	t      *testing.T
	caller net.Conn
	reader *bufio.Reader
}

func inStopScene(t *testing.T, test func(*stopScene)) {
	t.Helper()
	inStopSceneWith(t, serve.DefaultCallerWait, test)
}

// inStopSceneWith has boxes that give a silent caller up after the given wait.
func inStopSceneWith(t *testing.T, callerWait time.Duration, test func(*stopScene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := lab.NewMemoryNetwork()
		fleet, closeFleet, err := lab.NewFleet(lab.Options{
			Network: network, Boxes: 2, Halls: 1, Services: map[willowwick.ServiceID]int{"bookkeeping": 1},
			Settings: serve.Settings{DrainWait: drainWait, DrainLimit: drainLimit, CallerWait: callerWait},
		})
		require.NoError(t, err)
		defer closeFleet()
		require.NoError(t, fleet.Apply(examples.Declarations))
		require.NoError(t, fleet.WaitReady(time.Minute))
		caller, err := network.Dial("caller")(t.Context(), "tcp", fleet.Boxes[0].CallerAddress)
		require.NoError(t, err)
		defer func() { _ = caller.Close() }()
		test(&stopScene{fleet, t, caller, bufio.NewReader(caller)})
	})
}

// call is the text of a call that may run once.
func call(entry string) string {
	return fmt.Sprintf("POST /services/bookkeeping/calibrations/%s HTTP/1.1\r\nHost: box\r\nAuthorization: Bearer %s\r\n"+
		"X-Entry: %s\r\nContent-Length: %d\r\n\r\n%s", entry, callersKey, entry, len(entry), entry)
}

func (s *stopScene) send(text string) {
	s.t.Helper()
	_, err := io.WriteString(s.caller, text)
	require.NoError(s.t, err)
}

// awaitRun returns once the call took effect.
func (s *stopScene) awaitRun(entry string) {
	s.t.Helper()
	for range 100 {
		if s.Services["bookkeeping"][0].Effects()[entry] > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(s.t, "the call did not run", entry)
}

func (s *stopScene) requireAnswer(entry string) {
	s.t.Helper()
	answer, err := http.ReadResponse(s.reader, nil)
	require.NoError(s.t, err, "the call ran, and its answer was cut")
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	require.NoError(s.t, err, "the call ran, and its answer was cut")
	assert.Equal(s.t, http.StatusOK, answer.StatusCode)
	assert.Contains(s.t, string(text), entry)
}

// stop begins the planned stop of the box; what it returns waits for its end.
func (s *stopScene) stop() func() {
	ended := make(chan error, 1)
	go func() { ended <- s.Boxes[0].Stop(context.Background()) }()
	return func() { require.NoError(s.t, <-ended) }
}

// Seen: the answer of a call that had run was cut at a planned stop, minutes before the stop's limit.
// How: its caller took the answer slowly; the last bytes were still to be written when its handler had returned.
// Cause: only handlers were waited for until the limit, and the writing of what they left for 5 s.
func TestAnswerThatIsTakenSlowlyIsNotCutAtAStop(t *testing.T) {
	inStopScene(t, func(s *stopScene) {
		s.send(call("slow"))
		s.awaitRun("slow")
		awaitEnd := s.stop()
		time.Sleep(longPause)
		s.requireAnswer("slow")
		awaitEnd()
	})
}

// Seen: as above, as soon as the box had seen that no handler was at work.
// How: the call had been read together with the one before it, by a server that takes such a connection for idle.
// Cause: a server that is shut down closes idle connections, also with an answer on them that is being written.
func TestAnswerOfACallThatWasReadWithTheOneBeforeIsNotCutAtAStop(t *testing.T) {
	inStopScene(t, func(s *stopScene) {
		s.send(call("first") + call("second"))
		s.requireAnswer("first")
		s.awaitRun("second")
		awaitEnd := s.stop()
		time.Sleep(longPause)
		s.requireAnswer("second")
		awaitEnd()
	})
}

func TestCallerThatNeverTakesItsAnswerDoesNotKeepABoxBeyondItsLimit(t *testing.T) {
	inStopSceneWith(t, 2*drainLimit, func(s *stopScene) {
		s.send(call("never"))
		s.awaitRun("never")
		began := time.Now()
		err := s.Boxes[0].Daemon.Drain(context.Background())
		assert.ErrorContains(t, err, "under way at the limit")
		assert.InDelta(t, drainLimit.Seconds(), time.Since(began).Seconds(), 1)
	})
}

// A caller that takes nothing is given up before the limit, and then keeps the box no longer.
func TestCallerThatIsGivenUpDoesNotKeepABoxFromItsStop(t *testing.T) {
	inStopScene(t, func(s *stopScene) {
		s.send(call("never"))
		s.awaitRun("never")
		began := time.Now()
		require.NoError(t, s.Boxes[0].Daemon.Drain(context.Background()))
		assert.InDelta(t, serve.DefaultCallerWait.Seconds(), time.Since(began).Seconds(), 1)
	})
}
