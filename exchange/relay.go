package exchange

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

const (
	// streamBuffer holds what one read of a stream brings.
	streamBuffer = 8 << 10
	// maxEvent bounds an event that is not yet whole.
	maxEvent = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// reply is the answer to one caller.
type reply struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	codec      willowwick.HeaderCodec
	id         willowwick.RequestID
	begun      bool // the head is out
}

// head sends the status and the endpoint's headers.
func (r *reply) head(status int, header http.Header, length int64) {
	wire.StripHop(header)
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
	r.begun = true
	r.writer.WriteHeader(status)
}

// passFailure sends an endpoint's failure; one whose status would promise that nothing ran is changed.
func (r *reply) passFailure(f *failedAnswer) {
	status := f.status
	if status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
		r.codec.RemoveSignature(f.header)
		delete(f.header, "Retry-After")
	}
	r.head(status, f.header, int64(len(f.body)))
	r.write(f.body)
}

// write passes bytes on; a caller that is gone shows in the request's context.
func (r *reply) write(data []byte) bool {
	if _, err := r.writer.Write(data); err != nil {
		slog.Debug("caller does not take its answer", "request", r.id, "error", err)
		return false
	}
	return true
}

func (r *reply) flush() {
	if err := r.controller.Flush(); err != nil {
		slog.Debug("caller does not take its answer", "request", r.id, "error", err)
	}
}

// abort closes the connection, so that the caller sees that the answer is not whole.
func (r *reply) abort() {
	panic(http.ErrAbortHandler)
}

// passWhole reads the answer to its end before its head goes out, so that a break can still be made good.
func (s *send) passWhole() sendResult {
	body, err := io.ReadAll(io.LimitReader(s.answer, maxWhole))
	if err != nil {
		s.outcome = route.OutcomeFailed
		return sendResult{broken, errors.Wrap(err, "body of the answer")}
	}
	s.observe(false)
	s.outcome = route.OutcomeGood
	if len(body) == maxWhole {
		return s.passLarge(body)
	}
	length := int64(len(body))
	if s.message.Method == http.MethodHead {
		length = s.answer.Length
	}
	s.out.head(s.answer.Status, s.answer.Header, length)
	s.out.write(body)
	s.delivered()
	return sendResult{kind: answered}
}

// passLarge passes an answer on that is too large to be held.
func (s *send) passLarge(begin []byte) sendResult {
	s.out.head(s.answer.Status, s.answer.Header, s.answer.Length)
	s.out.write(begin)
	if _, err := io.Copy(s.out.writer, s.answer); err != nil {
		s.outcome = route.OutcomeFailed
		return sendResult{broken, errors.Wrap(err, "body of the answer")}
	}
	s.delivered()
	return sendResult{kind: answered}
}

// passStream passes whole events on as they come.
func (s *send) passStream() sendResult {
	buffer := make([]byte, 0, streamBuffer)
	for {
		if err := s.awaitEvents(); err != nil {
			return s.streamBroke(err)
		}
		buffer = grow(buffer)
		n, err := s.answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		s.ticket.Heard(clock.Now())
		whole := bytes.LastIndex(buffer, eventEnd) + len(eventEnd)
		if whole >= len(eventEnd) {
			if !s.passEvents(buffer[:whole]) {
				return s.callerGone()
			}
			buffer = buffer[:copy(buffer, buffer[whole:])]
		}
		switch {
		case err == io.EOF:
			return s.endStream(buffer)
		case err != nil:
			return s.streamBroke(err)
		case len(buffer) > maxEvent:
			return s.streamBroke(errors.New("an event is too large"))
		}
	}
}

// grow makes room for a read.
func grow(buffer []byte) []byte {
	if cap(buffer)-len(buffer) >= streamBuffer/2 {
		return buffer
	}
	return append(make([]byte, 0, 2*cap(buffer)), buffer...)
}

// awaitEvents waits for bytes of the stream; a silent endpoint is left if another may go on.
func (s *send) awaitEvents() error {
	stallAt := s.deadline
	if s.route.Resumable && s.route.GapGoal > 0 {
		stallAt = earliest(stallAt, clock.Now().Add(scale(s.route.GapGoal, stallShare)))
	}
	for {
		err := s.answer.Await(stallAt)
		if !errors.Is(err, wire.ErrSilent) || !stallAt.Before(s.deadline) {
			return err
		}
		if s.mayLeaveStream(clock.Now()) {
			return err
		}
		stallAt = s.deadline
	}
}

// mayLeaveStream decides whether a stream that pauses for long is taken up elsewhere. An endpoint that goes on with
// others may still finish it, so there it takes one more run in reserve: the next endpoint may fail.
func (s *send) mayLeaveStream(now time.Time) bool {
	if !s.mayRunAgain() || !s.router.hasRepeat(s.call, now) || !s.router.hasOther(s.call, s.ticket.Endpoint.ID) {
		return false
	}
	return s.runs+1 < s.route.MaxRuns || s.ticket.IsQuiet(now)
}

// passEvents sends whole events, the head before the first of them.
func (s *send) passEvents(events []byte) bool {
	if !s.out.begun {
		s.observe(false)
		s.out.head(s.answer.Status, s.answer.Header, -1)
	}
	s.pace.note(clock.Now())
	if id := lastID(events); id != "" {
		s.resumed = id
	}
	if !s.out.write(events) {
		return false
	}
	s.out.flush()
	return true
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	at := bytes.LastIndex(events, idField)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], idField)
	}
	if at < 0 {
		return ""
	}
	line := events[at+len(idField):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// endStream ends a stream whose last byte has come; a part of an event at its end means that it broke off.
func (s *send) endStream(rest []byte) sendResult {
	if len(bytes.TrimSpace(rest)) > 0 {
		return s.streamBroke(errors.New("the stream ended within an event"))
	}
	if !s.out.begun {
		s.observe(false)
		s.out.head(s.answer.Status, s.answer.Header, -1)
	}
	s.outcome = route.OutcomeGood
	s.delivered()
	return sendResult{kind: answered}
}

func (s *send) streamBroke(err error) sendResult {
	return s.unanswered(errors.Wrap(err, "stream"))
}

func (s *send) callerGone() sendResult {
	s.router.metrics.outcome("caller_left")
	s.logEnd("caller left", 0, "event", s.resumed)
	return sendResult{kind: callerLeft}
}

// delivered counts and logs an answer that the caller has whole.
func (s *send) delivered() {
	took := clock.Since(s.arrived)
	s.router.metrics.delivered(s.route, took)
	s.noteHarmless(clock.Now())
	ahead, reading := s.ticket.Forecast()
	s.logEnd("answered", s.answer.Status, "endpoint", s.ticket.Endpoint.ID, "release", s.ticket.Endpoint.Release,
		"model", s.model, "confidence", s.head.Confidence, "account", s.accountName(),
		"running", s.head.Load.Running, "waiting", s.head.Load.Waiting, "send_ms", s.sentAt.Sub(s.arrived).Milliseconds(),
		"ahead_ms", ahead.Milliseconds(), "reading_ms", reading.Milliseconds())
}
