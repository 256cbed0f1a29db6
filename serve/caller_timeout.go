package serve

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxWriteBytes is the number of bytes that a caller must read within its timeout. Each part of a write has its own timeout,
// so that a slow caller that makes progress is not cut off: at the default timeout, 18 kbit/s is enough.
const maxWriteBytes = 64 << 10

type (
	// callerWriter writes to a caller with a timeout for each part of at most maxWriteBytes.
	callerWriter struct {
		http.ResponseWriter
		control *http.ResponseController
		timeout time.Duration
	}

	// callerBody reads a request's body with a timeout for each read.
	callerBody struct {
		io.ReadCloser
		control *http.ResponseController
		timeout time.Duration
		isDone  bool // the body was read to its end, or a read failed
	}
)

// withCallerLimits limits the size of bodies and the time that a caller may neither send nor read, so that a stalled caller
// releases its slot. The request's own deadline doesn't interrupt a blocked read or write.
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
			// After the handler, net/http reads the rest of the body and flushes its buffers.
			body.extendReadDeadline()
			logDeadlineError(control.SetWriteDeadline(time.Now().Add(settings.CallerTimeout)))
		}()
		next.ServeHTTP(&callerWriter{ResponseWriter: w, control: control, timeout: settings.CallerTimeout}, r)
	})
}

// logDeadlineError logs that a deadline could not be set, for instance because the connection is closed.
func logDeadlineError(err error) {
	if err != nil {
		slog.Debug("could not set a deadline on the caller's connection", "error", err)
	}
}

// extendReadDeadline restarts the timeout of the next read, unless the body is done.
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
		// net/http goes on reading, to notice when the caller disconnects.
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

// FlushError implements the method that http.ResponseController uses for Flush.
func (w *callerWriter) FlushError() error {
	w.setWriteDeadline()
	defer w.clearWriteDeadline()
	return errors.Wrap(w.control.Flush(), "flush")
}

// Unwrap implements the method by which http.ResponseController finds the underlying writer.
func (w *callerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *callerWriter) setWriteDeadline() {
	logDeadlineError(w.control.SetWriteDeadline(time.Now().Add(w.timeout)))
}

// clearWriteDeadline removes the deadline until the next write: over HTTP/2 it would end the stream between two writes.
func (w *callerWriter) clearWriteDeadline() {
	logDeadlineError(w.control.SetWriteDeadline(time.Time{}))
}
