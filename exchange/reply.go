package exchange

import (
	"log/slog"
	"net/http"
	"strconv"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/wire"
)

// reply is the answer to one caller.
type reply struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	codec      willowwick.HeaderCodec
	id         willowwick.RequestID
	headSent   bool // the status line and headers were sent
	status     int  // that was sent; 0 before
	runs       int  // endpoints that may have run the request
	isPlain    bool // the answer that was begun is no stream, whose events could come from several sends
	isWhole    bool // everything was written: an endpoint's answer to its end, or a refusal
	isSpoilt   bool // a second answer was begun
}

// writeHead sends the status and the endpoint's headers; a negative length sends none.
func (r *reply) writeHead(status int, header http.Header, length int64) {
	wire.StripHopHeaders(header)
	delete(header, headerNotTaken) // endpoints don't speak for boxes
	own := r.writer.Header()
	for name, values := range header {
		if name != "Content-Length" && name != "Date" {
			own[name] = values
		}
	}
	if _, given := header["Content-Type"]; !given {
		own["Content-Type"] = nil
	}
	if length >= 0 {
		own["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	r.writeStatus(status)
}

// writeStatus sends the status and the headers, also of refusals. A status that promises that nothing has run becomes a 502 unless the
// box knows that nothing has. A second status would become part of the body of the first answer, and breaks it off.
func (r *reply) writeStatus(status int) {
	if r.headSent {
		slog.Error("a second answer to one request", "request", r.id, "status", r.status, "second_status", status)
		r.isSpoilt = true
		return
	}
	if r.runs > 0 && promisesNotRun(status) {
		status = http.StatusBadGateway
		r.codec.RemoveSignature(r.writer.Header())
		r.writer.Header().Del("Retry-After")
	}
	r.headSent, r.status = true, status
	r.writer.WriteHeader(status)
}

// promisesNotRun reports whether a status promises the caller that its request was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// writeFailure relays an endpoint's error answer.
func (r *reply) writeFailure(f *failedAnswer) {
	r.writeHead(f.status, f.header, int64(len(f.body)))
	r.write(f.body)
	r.isWhole = true
}

// write sends bytes to the caller and reports whether that succeeded; a caller that disconnected also cancels the
// request's context.
func (r *reply) write(data []byte) bool {
	if _, err := r.writer.Write(data); err != nil {
		slog.Debug("write to the caller failed", "request", r.id, "error", err)
		return false
	}
	return true
}

func (r *reply) flush() {
	if err := r.controller.Flush(); err != nil {
		slog.Debug("write to the caller failed", "request", r.id, "error", err)
	}
}

// end breaks the answer off unless it is whole: of what a handler has written when it returns, the server makes a complete answer.
func (r *reply) end() {
	if !r.isWhole || r.isSpoilt {
		r.abort()
	}
}

// abort breaks the answer off, so that the caller sees that it is incomplete.
func (r *reply) abort() {
	panic(http.ErrAbortHandler)
}
