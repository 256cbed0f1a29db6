package exchange

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	bytes.Buffer
	released chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.Buffer.Write(p)
}

// Guards against a log that drops lines without saying so: the record of an incident lacked the lines of the requests
// that it named.
func TestLogReportsDroppedLines(t *testing.T) {
	const dropped = 7
	out := &blockedWriter{released: make(chan struct{})}
	queue, flush := NewLogQueue(out, func(to io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(to, nil)) })
	// The writer may have taken one line out of the full queue already.
	for n := range logQueueLines + 1 + dropped {
		_, _ = fmt.Fprintf(queue, "line %d\n", n)
	}
	lost := queue.Dropped()
	assert.GreaterOrEqual(t, lost, uint64(dropped))
	close(out.released)
	flush()
	text := out.String()
	assert.Contains(t, text, `msg="log lines were dropped" lines=`+fmt.Sprint(lost)+` dropped_so_far=`+fmt.Sprint(lost))
	assert.Equal(t, logQueueLines+1+dropped-int(lost)+1, strings.Count(text, "\n"), "each line that was queued, and the report")
	assert.Equal(t, 1, strings.Count(text, "were dropped"), "it is reported once")
}

// Guards against a daemon that can't start, and panics in place of telling why: its log is closed by then.
func TestLogWritesLinesAfterItIsClosed(t *testing.T) {
	out := &bytes.Buffer{}
	queue, flush := NewLogQueue(out, func(to io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(to, nil)) })
	_, _ = fmt.Fprintln(queue, "first")
	flush()
	_, _ = fmt.Fprintln(queue, "daemon failed")
	assert.Equal(t, "first\ndaemon failed\n", out.String())
}
