package exchange

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lineWith returns the line that contains all parts; empty if there is none.
func (b *syncBuffer) lineWith(parts ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
next:
	for line := range strings.Lines(b.text.String()) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue next
			}
		}
		return line
	}
	return ""
}

// Guards against a record that can't tell why an answer was taken for that of a send: the log named neither the connection nor what
// it had carried before.
func TestLogTellsOnWhichConnectionAnAnswerCame(t *testing.T) {
	logged := &syncBuffer{}
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(logged, nil)))
	defer slog.SetDefault(before)
	r := newRawEndpoint(t, rejectsFirst(func(_ *rawEndpoint, try rawTry) { try.writeOwn(http.StatusOK) }))
	s := startSite(t, newTestControl(testTable(1, onceRoute()), r.endpoint()), testSettings())
	require.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", "logged", "x").status)
	rejected := logged.lineWith("send ended", "request=logged")
	assert.Contains(t, rejected, "send=1 conn=127.0.0.1:")
	assert.Contains(t, rejected, "conn_requests=0 conn_status=0 skipped=0 endpoint_status=503 names_request=true")
	require.Eventually(t, func() bool { return logged.lineWith("msg=answered", "request=logged", "send=2") != "" }, waitTimeout, waitTimeout/100)
}
