package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
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
	readyTimeout = time.Minute
	settleTime   = 10 * time.Second
	// callerGoneTime is longer than the caller timeout and the deadline of any request.
	callerGoneTime = 5 * time.Minute
	// slowPause is the pause between reads or writes of a caller that is slow but makes progress.
	slowPause = 10 * time.Second
)

// withBox runs a test in virtual time on one box with a runner; its connections are unbuffered.
func withBox(t *testing.T, test func(t *testing.T, box *lab.Box, network *lab.MemoryNetwork)) {
	withFleet(t, func(t *testing.T, fleet *lab.Fleet, network *lab.MemoryNetwork) { test(t, fleet.Boxes[0], network) })
}

// withFleet is withBox for tests that change the endpoints.
func withFleet(t *testing.T, test func(t *testing.T, fleet *lab.Fleet, network *lab.MemoryNetwork)) {
	withFleetOf(t, serve.Settings{DrainDelay: drainDelay}, test)
}

// withFleetOf is withFleet with settings of the box.
func withFleetOf(t *testing.T, settings serve.Settings, test func(t *testing.T, fleet *lab.Fleet, network *lab.MemoryNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		network := lab.NewMemoryNetwork()
		versions := map[willowwick.VersionID]standin.VersionBehaviour{"run-large-1": {Quality: 1}}
		fleet, closeFleet, err := lab.NewFleet(lab.Options{
			Network: network, Boxes: 1, Halls: 1, Runners: 1, Slots: 4, Versions: versions,
			Services: map[willowwick.ServiceID]int{"registry": 1, "bookkeeping": 1},
			Settings: settings,
		})
		require.NoError(t, err)
		defer closeFleet()
		require.NoError(t, fleet.Apply(examples.Declarations))
		require.NoError(t, fleet.WaitReady(readyTimeout))
		// The request of a disconnected caller ends only once another box holds its usage record.
		defer time.Sleep(settleTime)
		test(t, fleet, network)
	})
}

// head is the head of a streamed chat with a body of the given length.
func chatHead(length int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: box\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", clientKey, length)
}

func chatBody() string {
	return `{"model": "run-large", "stream": true, "max_tokens": 200, "messages": [{"role": "user", "content": "hello"}]}`
}

func dialBox(t *testing.T, box *lab.Box, network *lab.MemoryNetwork) net.Conn {
	conn, err := network.Dial("caller")(t.Context(), "tcp", box.CallerAddress)
	require.NoError(t, err)
	return conn
}

// Guards against a caller that stalls in the middle of its answer and keeps its slot on the box and at the runner for ever:
// writes to callers had no timeout, and the request's deadline doesn't interrupt a blocked write.
func TestCallerThatStopsReadingReleasesItsSlot(t *testing.T) {
	withBox(t, func(t *testing.T, box *lab.Box, network *lab.MemoryNetwork) {
		conn := dialBox(t, box, network)
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, chatHead(len(chatBody()))+chatBody())
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.Equal(t, int64(1), box.Daemon.Status().InFlight)
		time.Sleep(callerGoneTime)
		assert.Zero(t, box.Daemon.Status().InFlight)
	})
}

// The same for a caller that stalls in the middle of its request, whether the handler reads the body or not.
func TestCallerThatStopsSendingReleasesItsSlot(t *testing.T) {
	for name, path := range map[string]string{"chat": "/v1/chat/completions", "unknown": "/services/none/path"} {
		t.Run(name, func(t *testing.T) {
			withBox(t, func(t *testing.T, box *lab.Box, network *lab.MemoryNetwork) {
				conn := dialBox(t, box, network)
				defer func() { _ = conn.Close() }()
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				start := strings.Replace(chatHead(len(chatBody())), "/v1/chat/completions", path, 1)
				_, err := io.WriteString(conn, start+chatBody()[:10])
				require.NoError(t, err)
				time.Sleep(callerGoneTime)
				assert.Zero(t, box.Daemon.Status().InFlight)
				_, err = io.WriteString(conn, "x")
				assert.Error(t, err, "the connection is closed")
			})
		})
	}
}

// A caller that sends and reads slowly, but makes progress, gets its answer.
func TestSlowCallerIsAnswered(t *testing.T) {
	withBox(t, func(t *testing.T, box *lab.Box, network *lab.MemoryNetwork) {
		conn := dialBox(t, box, network)
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, chatHead(len(chatBody())))
		require.NoError(t, err)
		for rest := chatBody(); rest != ""; {
			piece := min(len(rest), 20)
			time.Sleep(slowPause)
			_, err := io.WriteString(conn, rest[:piece])
			require.NoError(t, err)
			rest = rest[piece:]
		}
		response, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		require.Equal(t, http.StatusOK, response.StatusCode)
		var text strings.Builder
		buffer := make([]byte, 1<<10)
		for {
			time.Sleep(slowPause / 2)
			n, err := response.Body.Read(buffer)
			text.Write(buffer[:n])
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
		}
		assert.Contains(t, text.String(), "[DONE]")
	})
}

// Guards against the caller timeout applying to requests without a body, which have only their own deadline, or to the
// pause between two requests on one connection.
func TestPauseBetweenRequestsDoesNotTimeOutTheCaller(t *testing.T) {
	withBox(t, func(t *testing.T, box *lab.Box, network *lab.MemoryNetwork) {
		conn := dialBox(t, box, network)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for range 3 {
			_, err := io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: box\r\nAuthorization: Bearer "+clientKey+"\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			time.Sleep(time.Minute)
		}
	})
}
