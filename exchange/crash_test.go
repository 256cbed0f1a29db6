package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(line)
}

// text returns what was logged.
func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// findLine returns the line with the given message and request ID.
func (b *logBuffer) findLine(t *testing.T, message, request string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range bytes.Split(b.data.Bytes(), []byte("\n")) {
		line := map[string]any{}
		if json.Unmarshal(text, &line) == nil && line["msg"] == message && line["request"] == request {
			return line
		}
	}
	require.Fail(t, "no such log line", "%s of %s", message, request)
	return nil
}

// crash ends the runner like a crash of its process: its listener and all its connections are closed.
func (r *runner) crash() {
	_ = r.Listener.Close()
	r.CloseClientConnections()
}

// The log line of a broken send tells whether the endpoint crashed or only the connection was lost, and has the
// fingerprint of the request, which finds its retries under any ID.
func TestABrokenSendReportsWhetherItsEndpointCrashed(t *testing.T) {
	before := slog.Default()
	defer slog.SetDefault(before)
	var lines logBuffer
	slog.SetDefault(slog.New(slog.NewJSONHandler(&lines, nil)))
	for _, ends := range []bool{true, false} {
		var self *runner
		self = newRunner(t, "r1", func(w http.ResponseWriter, _ *http.Request) {
			if ends {
				self.crash()
			}
			hangUp(w)
		})
		s := newSite(t, self.endpoint("v1"))
		s.do(t, http.MethodPost, "/once/", fmt.Sprint("id-", ends), "same body")
		line := lines.findLine(t, "send ended", fmt.Sprint("id-", ends))
		assert.Equal(t, ends, line["endpoint_ended"])
		want := willowwick.FingerprintOf(testAccount, http.MethodPost, testHost, "/once/", []byte("same body"))
		assert.Equal(t, want.String(), line["fingerprint"])
	}
}

// All requests whose connections to an endpoint broke share one check. If it ended with the caller of the request
// that runs it, the others would take the endpoint for alive, and one more might crash.
func TestACrashCheckOutlivesItsCaller(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	s := newSite(t, r.endpoint("v1"))
	endpoint, _ := s.daemon.router.sync.listedEndpoint("r1")
	r.crash()
	brokeAt := clock.Now()
	left, leave := context.WithCancel(t.Context())
	leave()
	crashes := s.daemon.router.crashes
	crashes.hasCrashed(left, endpoint, brokeAt)
	assert.True(t, crashes.hasCrashed(t.Context(), endpoint, brokeAt))
}
