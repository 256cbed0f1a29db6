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

// logBuffer keeps what is logged.
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

// lineOf is the line with a message about a request.
func (b *logBuffer) lineOf(t *testing.T, message, request string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range bytes.Split(b.data.Bytes(), []byte("\n")) {
		line := map[string]any{}
		if json.Unmarshal(text, &line) == nil && line["msg"] == message && line["request"] == request {
			return line
		}
	}
	require.Fail(t, "no such line", "%s of %s", message, request)
	return nil
}

// crash ends the runner as the end of its process would: nothing listens any more, and all its connections break.
func (r *runner) crash() {
	_ = r.Listener.Close()
	r.CloseClientConnections()
}

// A line about a send that broke tells whether the endpoint ended or only the connection was lost, and names the content
// of the request, so that its repeats are found whatever their ids.
func TestABrokenSendTellsWhetherItsEndpointEnded(t *testing.T) {
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
		line := lines.lineOf(t, "send ended", fmt.Sprint("id-", ends))
		assert.Equal(t, ends, line["endpoint_ended"])
		want := willowwick.FingerprintOf(testAccount, http.MethodPost, testHost, "/once/", []byte("same body"))
		assert.Equal(t, want.String(), line["fingerprint"])
	}
}

// All requests that broke at an endpoint share one look at it. The caller of the one that makes it may leave meanwhile; the others
// would take the endpoint for alive, and one more may end.
func TestALookAtAnEndpointOutlivesItsCaller(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "r1", answerText("ok"))
	s := newSite(t, r.endpoint("v1"))
	endpoint, _ := s.daemon.router.sync.listedEndpoint("r1")
	r.crash()
	brokeAt := clock.Now()
	left, leave := context.WithCancel(t.Context())
	leave()
	ends := s.daemon.router.ends
	ends.hasEnded(left, endpoint, brokeAt)
	assert.True(t, ends.hasEnded(t.Context(), endpoint, brokeAt))
}
