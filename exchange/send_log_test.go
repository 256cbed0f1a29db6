package exchange

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a record that can't tell why an answer was taken for that of a send: the log named neither the connection nor what
// it had carried before.
func TestLogTellsOnWhichConnectionAnAnswerCame(t *testing.T) {
	before := slog.Default()
	defer slog.SetDefault(before)
	var lines logBuffer
	slog.SetDefault(slog.New(slog.NewJSONHandler(&lines, nil)))
	r := newRawEndpoint(t, rejectsFirst(func(_ *rawEndpoint, try rawTry) { try.writeOwn(http.StatusOK) }))
	s := startSite(t, newTestControl(testTable(1, onceRoute()), r.endpoint()), testSettings())
	require.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", "logged", "x").status)
	rejected := lines.findLine(t, "send ended", "logged")
	assert.NotEmpty(t, rejected["conn"])
	for name, want := range map[string]any{
		"send": 1.0, "conn_requests": 0.0, "conn_status": 0.0, "skipped": 0.0, "endpoint_status": 503.0, "names_request": true,
	} {
		assert.Equal(t, want, rejected[name], name)
	}
	// The line of an answered request is written after its answer.
	require.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 0 }, waitTimeout, time.Millisecond)
	assert.Equal(t, 2.0, lines.findLine(t, "answered", "logged")["send"])
}
