package serve

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// answerPiece is the number of bytes that a caller must take within its wait, so that a slow one that makes progress is
// not cut: at the default wait, 18 kbit/s will do.
const maxWriteBytes = 64 << 10

type (
	// callerWriter writes to a caller, and waits so long at most for it to take something.
	callerWriter struct {
		http.ResponseWriter
		control *http.ResponseController
		timeout time.Duration // setting
	}

	// callerBody reads from a caller, and waits so long at most for it to bring something.
	callerBody struct {
		io.ReadCloser
		control *http.ResponseController
		timeout time.Duration // setting
		isDone  bool          // it has come to its end, or failed
	}
)

// boundCallers bounds bodies, and how long a caller may be silent in its request and in the answer: it holds a place for
// the wait then, and not for ever. The request's own deadline is not looked at behind a read or a write.
func withCallerLimits(settings Settings, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		body := &callerBody{ReadCloser: r.Body, control: control, timeout: settings.CallerTimeout}
		if r.Body == http.NoBody {
			body.isDone = true
		}
		body.extendReadDeadline()
		r.Body = http.MaxBytesReader(w, body, settings.MaxBody)
		defer func() {
			// The library reads what was not asked for, and writes what is left in its buffers.
			body.extendReadDeadline()
			logDeadlineError(control.SetWriteDeadline(time.Now().Add(settings.CallerTimeout)))
		}()
		next.ServeHTTP(&callerWriter{ResponseWriter: w, control: control, timeout: settings.CallerTimeout}, r)
	})
}

// noteDeadline logs that a connection takes no deadline, as one that is closed.
func logDeadlineError(err error) {
	if err != nil {
		slog.Debug("caller's connection takes no deadline", "error", err)
	}
}

// expect bounds the wait for what comes next of the body, if more is to come.
func (b *callerBody) extendReadDeadline() {
	if !b.isDone {
		logDeadlineError(b.control.SetReadDeadline(time.Now().Add(b.timeout)))
	}
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.extendReadDeadline()
	n, err := b.ReadCloser.Read(p)
	b.isDone = b.isDone || err != nil
	if err == io.EOF {
		// The library reads on, to find out when the caller leaves.
		logDeadlineError(b.control.SetReadDeadline(time.Time{}))
	}
	return n, err
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := w.writePart(p[written:min(written+maxWriteBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (w *callerWriter) writePart(piece []byte) (int, error) {
	w.setWriteDeadline()
	defer w.clearWriteDeadline()
	return w.ResponseWriter.Write(piece)
}

// FlushError implements what http.ResponseController flushes by.
func (w *callerWriter) FlushError() error {
	w.setWriteDeadline()
	defer w.clearWriteDeadline()
	return errors.Wrap(w.control.Flush(), "flush")
}

// Unwrap implements what http.ResponseController looks for.
func (w *callerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *callerWriter) setWriteDeadline() {
	logDeadlineError(w.control.SetWriteDeadline(time.Now().Add(w.timeout)))
}

// end takes the deadline off until the next write: over HTTP/2 it would end the stream between two.
func (w *callerWriter) clearWriteDeadline() {
	logDeadlineError(w.control.SetWriteDeadline(time.Time{}))
}
