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
	// streamReadBytes is the initial size of the buffer of a stream.
	streamReadBytes = 8 << 10
	// maxEventBytes limits the size of an incomplete event.
	maxEventBytes = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")

	errCrashedAtEnd = errors.New("the answer ended with its connection, and its endpoint has crashed")
)

// reply is the answer to one caller.
type reply struct {
	request    *http.Request // the caller's
	writer     http.ResponseWriter
	controller *http.ResponseController
	codec      willowwick.HeaderCodec
	id         willowwick.RequestID
	headSent   bool // the status line and headers were sent
	isPlain    bool // the answer that was begun is no stream, whose events could come from several sends
}

// writeHead sends the status and the endpoint's headers; a negative length sends none.
func (r *reply) writeHead(status int, header http.Header, length int64) {
	wire.StripHopHeaders(header)
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
	r.headSent = true
	r.writer.WriteHeader(status)
}

// writeFailure relays an endpoint's error answer. A 503 becomes a 502, since a 503 would promise that nothing ran.
func (r *reply) writeFailure(f *failedAnswer) {
	status := f.status
	if status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
		r.codec.RemoveSignature(f.header)
		delete(f.header, "Retry-After")
	}
	r.writeHead(status, f.header, int64(len(f.body)))
	r.write(f.body)
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

// abort breaks the answer off, so that the caller sees that it is incomplete.
func (r *reply) abort() {
	wire.AbortAnswer(r.request)
}

// relayWhole reads the complete answer before it sends the head, so that a broken answer can still be retried.
func (s *send) relayWhole() sendResult {
	body, err := io.ReadAll(io.LimitReader(s.answer, maxBufferedBody))
	if err == nil && len(body) < maxBufferedBody {
		err = s.confirmEnd()
	}
	if err != nil {
		s.outcome = route.OutcomeFailed
		return sendResult{broken, errors.Wrap(err, "read the body of the answer")}
	}
	s.router.metrics.distances.countAnswer(s.distance(), len(body))
	s.observe(false)
	s.outcome = route.OutcomeGood
	if len(body) == maxBufferedBody {
		return s.relayLarge(body)
	}
	length := int64(len(body))
	if s.message.Method == http.MethodHead {
		length = s.answer.Length
	}
	s.out.writeHead(s.answer.Status, s.answer.Header, length)
	s.out.write(body)
	s.delivered()
	return sendResult{kind: answered}
}

// relayLarge relays an answer that is too large to be buffered.
func (s *send) relayLarge(begin []byte) sendResult {
	s.out.isPlain = true
	s.out.writeHead(s.answer.Status, s.answer.Header, s.answer.Length)
	s.out.write(begin)
	copied, err := io.Copy(s.out.writer, s.answer)
	s.router.metrics.distances.countAnswer(s.distance(), int(copied))
	if err == nil {
		err = s.confirmEnd()
	}
	if err != nil {
		s.outcome = route.OutcomeFailed
		return sendResult{broken, errors.Wrap(err, "read the body of the answer")}
	}
	s.delivered()
	return sendResult{kind: answered}
}

// relayStream relays complete events as they arrive.
func (s *send) relayStream() sendResult {
	buffer := make([]byte, 0, streamReadBytes)
	for {
		if err := s.awaitEvents(); err != nil {
			return s.streamBroken(err)
		}
		buffer = grow(buffer)
		n, err := s.answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		s.router.metrics.distances.countAnswer(s.distance(), n)
		s.ticket.MarkAlive(clock.Now())
		whole := bytes.LastIndex(buffer, eventEnd) + len(eventEnd)
		if whole >= len(eventEnd) {
			if !s.relayEvents(buffer[:whole]) {
				return s.callerDisconnected()
			}
			buffer = buffer[:copy(buffer, buffer[whole:])]
		}
		switch {
		case err == io.EOF:
			return s.endStream(buffer)
		case err != nil:
			return s.streamBroken(err)
		case len(buffer) > maxEventBytes:
			return s.streamBroken(errors.New("an event exceeds the maximum size"))
		}
	}
}

// grow ensures room for a read of at least half of streamReadBytes.
func grow(buffer []byte) []byte {
	if cap(buffer)-len(buffer) >= streamReadBytes/2 {
		return buffer
	}
	return append(make([]byte, 0, 2*cap(buffer)), buffer...)
}

// awaitEvents waits for bytes of the stream; it gives up a silent endpoint if the stream may be resumed elsewhere.
func (s *send) awaitEvents() error {
	stallAt := s.deadline
	if s.route.Resumable && s.route.GapGoal > 0 {
		stallAt = earliest(stallAt, clock.Now().Add(scale(s.route.GapGoal, stallGapFactor)))
	}
	for {
		if s.mustDepart(clock.Now()) {
			return errDeparted
		}
		err := s.answer.Await(s.waitUntil(stallAt))
		if errors.Is(err, wire.ErrSilent) && clock.Now().Before(stallAt) {
			continue
		}
		if !errors.Is(err, wire.ErrSilent) || !stallAt.Before(s.deadline) {
			return err
		}
		if s.mayResumeElsewhere(clock.Now()) {
			return err
		}
		stallAt = s.deadline
	}
}

// mayResumeElsewhere reports whether a stream that has been silent for long is resumed at another endpoint. While
// the endpoint makes progress with other requests it may still finish this one, so one run must then be left in
// reserve: the next endpoint may fail.
func (s *send) mayResumeElsewhere(now time.Time) bool {
	if !s.mayRunElsewhere(now) {
		return false
	}
	return s.runs+1 < s.route.MaxRuns || s.ticket.IsSilent(now)
}

// relayEvents sends complete events to the caller, and the head before the first of them.
func (s *send) relayEvents(events []byte) bool {
	if !s.out.headSent {
		s.observe(false)
		s.out.writeHead(s.answer.Status, s.answer.Header, -1)
	}
	s.recordEvents(events, clock.Now())
	if id := newestEventID(events); id != "" {
		s.lastEventID = id
	}
	if !s.out.write(events) {
		return false
	}
	s.out.flush()
	return true
}

func (s *send) recordEvents(events []byte, now time.Time) {
	if s.events == 0 {
		s.firstEventAt = now
	}
	count := bytes.Count(events, eventEnd)
	s.events += count
	s.streamTiming.recordEvent(now)
	s.streamTiming.events += count
}

// newestEventID returns the ID of the last event that has one.
func newestEventID(events []byte) string {
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

// endStream ends a stream after its last byte; an incomplete event at the end means that it broke off.
func (s *send) endStream(rest []byte) sendResult {
	if len(bytes.TrimSpace(rest)) > 0 {
		return s.streamBroken(errors.New("the stream ended with an incomplete event"))
	}
	if err := s.confirmEnd(); err != nil {
		return s.streamBroken(err)
	}
	if !s.out.headSent {
		s.observe(false)
		s.out.writeHead(s.answer.Status, s.answer.Header, -1)
	}
	s.outcome = route.OutcomeGood
	s.delivered()
	return sendResult{kind: answered}
}

// confirmEnd returns an error if an answer that ended with its connection may lack its rest, because its endpoint has
// crashed: the system closes the connections of a process that was killed in order.
func (s *send) confirmEnd() error {
	if s.answer.Framing == wire.FramedByClose && s.router.crashes.hasCrashed(s.ctx, s.ticket.Endpoint, clock.Now()) {
		return errCrashedAtEnd
	}
	return nil
}

func (s *send) streamBroken(err error) sendResult {
	return s.unanswered(errors.Wrap(err, "stream"))
}

func (s *send) callerDisconnected() sendResult {
	s.router.metrics.countOutcome("caller_left")
	s.logCompletion("caller left", 0, "event", s.lastEventID)
	return sendResult{kind: callerLeft}
}

// delivered counts and logs an answer that was sent to the caller completely.
func (s *send) delivered() {
	took := clock.Since(s.arrived)
	s.recordLength(clock.Now())
	s.router.metrics.countAnswer(s.route, took)
	s.recordHarmless(clock.Now())
	ahead, reading := s.ticket.Forecast()
	s.logCompletion("answered", s.answer.Status, "endpoint", s.ticket.Endpoint.ID, "release", s.ticket.Endpoint.Release,
		"model", s.model, "confidence", s.answerHead.Confidence, "account", s.accountName(), "framing", s.answer.Framing,
		"running", s.answerHead.Load.Running, "waiting", s.answerHead.Load.Waiting, "send_ms", s.sentAt.Sub(s.arrived).Milliseconds(),
		"ahead_ms", ahead.Milliseconds(), "reading_ms", reading.Milliseconds())
}
