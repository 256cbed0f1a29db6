package exchange

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

// copyBytes is the size of the buffer of an answer that is sent on as it arrives.
const copyBytes = 8 << 10

var (
	errDoubtfulEnd = errors.New("the answer ended with its connection, and its endpoint is not known to live on")
	errUnsigned    = errors.New("a success without the endpoint's signature")
)

// relayWhole reads the complete answer before it sends the head, so that a broken answer can still be retried.
func (s *send) relayWhole() sendResult {
	body, err := readWhole(s.answer.Read, s.answer.Hold)
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
	s.writeWhole(s.answer, body)
	s.delivered()
	return sendResult{kind: answered}
}

// writeWhole sends a complete answer to the caller.
func (c *call) writeWhole(answer *wire.Answer, body []byte) {
	length := int64(len(body))
	if c.message.Method == http.MethodHead {
		length = answer.Length
	}
	c.out.writeHead(answer.Status, answer.Header, length)
	c.out.write(body)
}

// writeLarge sends the begin of an answer to the caller, and the rest as it arrives.
func (c *call) writeLarge(answer *wire.Answer, begin []byte) (copied int64, err error) {
	c.out.isPlain = true
	c.out.writeHead(answer.Status, answer.Header, answer.Length)
	c.out.write(begin)
	if err := answer.Hold(0); err != nil {
		return 0, err
	}
	return io.CopyBuffer(struct{ io.Writer }{c.out.writer}, answer, make([]byte, copyBytes)) // its ReadFrom takes a larger buffer
}

// relayLarge relays an answer that is too large to be buffered.
func (s *send) relayLarge(begin []byte) sendResult {
	copied, err := s.writeLarge(s.answer, begin)
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
	err := readEvents(s.readStream, s.answer.Hold, s.relayEvents)
	if err == nil {
		err = s.confirmEnd()
	}
	switch {
	case errors.Is(err, errCallerLeft):
		return s.callerDisconnected()
	case err != nil:
		return s.unanswered(errors.Wrap(err, "stream"))
	}
	if !s.out.headSent {
		s.observe(false)
		s.out.writeHead(s.answer.Status, s.answer.Header, -1)
	}
	s.outcome = route.OutcomeGood
	s.delivered()
	return sendResult{kind: answered}
}

// readStream waits for bytes of the stream and reads them.
func (s *send) readStream(p []byte) (int, error) {
	if err := s.awaitEvents(); err != nil {
		return 0, err
	}
	n, err := s.answer.Read(p)
	s.router.metrics.distances.countAnswer(s.distance(), n)
	s.ticket.MarkAlive(clock.Now())
	return n, err
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
	return s.out.runs+1 < s.route.MaxRuns || s.ticket.IsSilent(now)
}

// relayEvents sends complete events to the caller, and the head before the first of them.
func (s *send) relayEvents(events []byte) bool {
	if !s.out.headSent {
		s.observe(false)
	}
	now := clock.Now()
	if s.events == 0 {
		s.firstEventAt = now
	}
	s.events += bytes.Count(events, eventEnd)
	s.recordProgress(now)
	return s.writeEvents(s.answer, events, now)
}

// writeEvents sends complete events of an answer to the caller, and the head before the first of them.
func (c *call) writeEvents(answer *wire.Answer, events []byte, now time.Time) bool {
	if !c.out.headSent {
		c.out.writeHead(answer.Status, answer.Header, -1)
	}
	c.streamTiming.recordEvent(now)
	c.streamTiming.events += bytes.Count(events, eventEnd)
	id, hasUnnamed := newestEventID(events)
	if id != "" {
		c.lastEventID = id
	}
	c.endsUnnamed = hasUnnamed || c.endsUnnamed && id == ""
	if !c.out.write(events) {
		return false
	}
	c.out.flush()
	return true
}

// confirmEnd returns an error if an answer that ended with its connection may lack its rest, because its endpoint may have
// ended: the system closes the connections of a process that was killed in order. Meanwhile the endpoint's slot is free for other requests.
func (s *send) confirmEnd() error {
	if s.answer.Framing != wire.FramedByClose {
		return nil
	}
	s.endedAt = clock.Now()
	s.router.releases.awaitNoMore(s.awaited, s.endedAt)
	if s.mayRunElsewhere(s.endedAt) {
		if s.endpointLivesOn(endCheckPatience) {
			return nil
		}
		if s.reserveRetry(clock.Now()) {
			return errDoubtfulEnd
		}
	}
	if s.endpointLivesOn(wire.PeerCheckTimeout - clock.Since(s.endedAt)) {
		return nil
	}
	return errDoubtfulEnd
}

// endpointLivesOn reports whether the endpoint certainly lives after the end of its answer; it waits for that at most as long as limit.
func (s *send) endpointLivesOn(limit time.Duration) bool {
	lives, reason := s.router.crashes.livesOn(s.ctx, s.ticket.Endpoint, s.endedAt, limit, s.ticket.Vacate)
	s.endReason = reason
	return lives
}

func (s *send) callerDisconnected() sendResult {
	s.router.metrics.countOutcome("caller_left")
	s.logCompletion("caller left", 0, "event", s.lastEventID)
	return sendResult{kind: callerLeft}
}

// delivered counts and logs an answer that was sent to the caller completely.
func (s *send) delivered() {
	s.out.isWhole = true
	took := clock.Since(s.arrived)
	s.recordLength(clock.Now())
	s.router.metrics.countAnswer(s.route, took)
	s.recordHarmless(clock.Now())
	ahead, reading := s.ticket.Forecast()
	s.logCompletion("answered", s.out.status, append(s.connAttributes(), "endpoint", s.ticket.Endpoint.ID, "release", s.ticket.Endpoint.Release,
		"model", s.model, "confidence", s.answerHead.Confidence, "account", s.accountName(), "framing", s.answer.Framing, "end", s.endReason,
		"running", s.answerHead.Load.Running, "waiting", s.answerHead.Load.Waiting, "send_ms", s.sentAt.Sub(s.arrived).Milliseconds(),
		"ahead_ms", ahead.Milliseconds(), "reading_ms", reading.Milliseconds())...)
}
