package exchange

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

const (
	// answered: the caller has the whole answer.
	answered sendKind = iota
	// callerLeft: the caller disconnected, or the deadline passed after the answer had begun.
	callerLeft
	// notSent: no connection to the endpoint could be opened.
	notSent
	// unreached: the endpoint's address refused the connection.
	unreached
	// notRun: the endpoint reported that it did not run the request.
	notRun
	// silent: nothing came back for so long that another endpoint is likely to answer sooner.
	silent
	// broken: the connection or the answer broke off; the endpoint may have run the request.
	broken
	// failed: the endpoint answered with an error status.
	failed
	// abandoned: the request's deadline passed, or its caller disconnected.
	abandoned
	// escalated: a small model's answer was dropped in favour of a larger model.
	escalated
	// withheld: the endpoint stopped taking requests after it was chosen, and the request was not sent.
	withheld
	// moved: the endpoint is about to end, and the request was taken elsewhere.
	moved
)

const (
	// lostRequestFactor is the multiple of the time by which an answer is overdue after which a request is retried
	// elsewhere even though its endpoint is making progress with other requests: the endpoint has lost this one.
	// Before that, an endpoint that makes progress is only busy, and others would be too.
	lostRequestFactor = 3
	// stallGapFactor is the multiple of the route's gap goal after which a silent stream is resumed elsewhere: in a
	// shorter silence the runner reads another long prompt, and reading this one anew would take as long.
	stallGapFactor = 1.5
	// maxBufferedBody is the size in bytes from which an answer is sent on before it was read completely.
	maxBufferedBody = 256 << 10
)

type (
	sendKind int

	// sendResult is the result of one send.
	sendResult struct {
		kind sendKind
		err  error
	}

	// send is one send of a request to one endpoint.
	send struct {
		*call
		ticket     *gate.Ticket
		conn       *wire.Conn   // nil until the endpoint is reached
		connPast   wire.Past    // what the connection had carried before
		skipped    int          // answers to other requests that were skipped
		answer     *wire.Answer // nil until its head was received
		answerHead willowwick.AnswerHead
		sentAt     time.Time
		model      willowwick.ModelID // overrides the caller's model; empty to leave it
		outcome    route.Outcome
		awaited    *awaitedAnswer // nil until the request is sent
		crashed    bool           // the connection broke because the endpoint crashed
		endedAt    time.Time      // when an answer ended with its connection; zero for others
		endReason  endReason      // why such an answer is taken for whole, or not

		departure    departureWatch
		firstEventAt time.Time // zero before the first event of this send
		events       int       // received of this send
		isHarmless   bool      // the answer has gone on, which is recorded
	}
)

var sendKindNames = map[sendKind]string{
	answered: "answered", callerLeft: "caller left", notSent: "not sent", unreached: "unreached", notRun: "not run",
	silent: "silent", broken: "broken", failed: "failed", abandoned: "abandoned", escalated: "escalated", withheld: "withheld", moved: "moved",
}

// refusal returns the refusal for a request that is not retried after this send.
func (r sendResult) refusal(c *call) *willowwick.Refusal {
	now := clock.Now()
	cause := sendKindNames[r.kind]
	if r.err != nil {
		cause += ": " + r.err.Error()
	}
	switch {
	case c.out.runs == 0:
		return willowwick.NotRun(willowwick.CodeOverloaded, now.Add(defaultRetryAfter), "no endpoint accepted the request (%s)", cause)
	case c.isPastDeadline():
		return willowwick.Failed(willowwick.CodeDeadline, "the time was up (%s)", cause)
	default:
		return willowwick.Failed(willowwick.CodeEndpointError, "no endpoint answered (%s)", cause)
	}
}

// sendOnce sends the request to the ticket's endpoint and relays the answer.
func (c *call) sendOnce(ticket *gate.Ticket) sendResult {
	s := &send{call: c, ticket: ticket, outcome: route.OutcomeCancelled}
	c.leftRegionFor = c.reasonToLeave(clock.Now(), ticket.Endpoint)
	if c.cascadeStage != noCascade {
		s.model = c.route.Models[c.cascadeStage]
	}
	result := s.do()
	if c.ctx.Err() != nil && result.kind != answered {
		// The end of the request's context, not the endpoint, broke the send.
		result = sendResult{abandoned, c.ctx.Err()}
		s.outcome = route.OutcomeCancelled
		if s.answer == nil && c.isPastDeadline() && s.conn != nil && !c.route.Stream {
			s.outcome = route.OutcomeFailed
		}
	}
	if result.kind == broken {
		s.checkForCrash()
	}
	if s.receivedNothing(result) {
		c.router.conns.CloseIdleBefore(ticket.Endpoint.Address, s.sentAt)
		c.router.reach.noteMiss(ticket.Endpoint.Address)
	}
	if result.kind == silent && !c.router.reach.isCutOff() {
		c.router.hints.publish(ticket.TimedOut(clock.Now()))
	} else {
		c.router.hints.publish(ticket.Cancelled(clock.Now()))
	}
	if s.mayStillRun(result) {
		ticket.MarkUnfinished()
	}
	ticket.Done(s.outcome)
	if s.missedEndpoint(result) {
		c.misses.record(c.router.topology, ticket.Endpoint.Hall)
	}
	if result.kind != answered {
		c.triedEndpoints[ticket.Endpoint.ID] = true
		s.logEnd(result)
	}
	c.router.metrics.countSend(result.kind)
	s.countDeparture(result)
	return result
}

// missedEndpoint reports whether the endpoint was not reached at its address, or another one answered there.
func (s *send) missedEndpoint(result sendResult) bool {
	isOther := s.answer != nil && s.answer.Status == http.StatusMisdirectedRequest
	return isOther || result.kind == notSent || result.kind == unreached
}

// receivedNothing reports whether the endpoint's connection returned no answer, for a reason other than a caller
// that disconnected.
func (s *send) receivedNothing(result sendResult) bool {
	if s.conn == nil || s.answer != nil || isBrokenHead(result.err) {
		return false
	}
	return result.kind == silent || result.kind == broken || s.isPastDeadline()
}

func (s *send) do() sendResult {
	s.sentAt = clock.Now()
	conn, err := s.router.conns.Open(s.ctx, s.ticket.Endpoint.Address, s.usedConns...)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.outcome = route.OutcomeUnreachable
		return sendResult{unreached, err}
	}
	if err != nil {
		s.outcome = route.OutcomeFailed
		return sendResult{notSent, err}
	}
	s.conn = conn
	stopWatching := s.router.departures.watch(s)
	if s.ticket.EndpointRefusesWork(clock.Now()) || !s.allowsHall(s.ticket.Endpoint.Hall) || s.isPoison() || s.router.isEnding() {
		// What arrived after the endpoint was chosen applies to this request too, be it a notice, a configuration or a crash:
		// getting a permit or a new connection takes time. Slots also become free as other requests end with this box.
		stopWatching()
		s.conn = nil
		conn.Release("")
		return sendResult{kind: withheld}
	}
	// When the request ends, by its deadline or its caller, the endpoint's work ends too.
	stop := context.AfterFunc(s.ctx, conn.Cut)
	defer func() { releaseConn(conn, s.answer, stop()) }()
	defer stopWatching()
	message := s.message
	message.Header = s.encodeHeader()
	s.connPast = conn.Past()
	s.usedConns = append(s.usedConns, conn)
	if err := conn.Send(&message); err != nil {
		// The endpoint may have answered early and closed the connection; its answer can still be read.
		slog.Debug("request could not be sent completely", "request", s.call.head.ID, "error", err)
	}
	s.out.runs++
	defer s.awaitAnswer()()
	s.router.metrics.distances.countSend(s.distance(), len(message.Body))
	s.countUnwantedSend()
	if s.route.Stream {
		s.router.hints.publish(s.ticket.Sent(clock.Now()))
	}
	if err := s.receive(); err != nil {
		return s.unanswered(err)
	}
	s.router.hints.publish(s.ticket.AnswerStarted(clock.Now()))
	return s.handleAnswer()
}

func (s *send) encodeHeader() http.Header {
	header := s.message.Header.Clone()
	head := willowwick.ForwardHead{
		Account: s.accountName(), Expect: s.ticket.Endpoint.ID, Model: s.model, Deadline: s.deadline,
		Priority: willowwick.NoPriority,
	}
	if s.out.headSent {
		head.ResumeAfter = s.lastEventID
	}
	if s.route.Stream {
		head.Priority = min(requestPriority(s.route, s.account), lowestPriority)
	}
	s.router.codec.EncodeRequest(header, head, clock.Now())
	return header
}

// countUnwantedSend counts sends to endpoints that are rate-limited, draining or in backoff.
func (s *send) countUnwantedSend() {
	now := clock.Now()
	if s.router.isLimited(now, s.ticket.Endpoint) {
		s.router.metrics.countSendToLimited()
	}
	isLeaving, inBackoff := s.ticket.ReportedState(now)
	if isLeaving {
		s.router.metrics.countSendToDraining()
	}
	if inBackoff {
		s.router.metrics.countSendToBackingOff()
	}
}

// receive reads the head of the answer; it gives up a silent endpoint if another one may be tried.
func (s *send) receive() error {
	silentAt := s.overdueAt()
	for {
		answer, err := s.conn.Receive(s.message.Method, s.waitUntil(silentAt), s.deadline, s.answersRequest)
		s.skipped = s.conn.Past().Skipped - s.connPast.Skipped
		now := clock.Now()
		if errors.Is(err, wire.ErrSilent) && s.mustDepart(now) {
			return errDeparted
		}
		if errors.Is(err, wire.ErrSilent) && now.Before(silentAt) {
			continue
		}
		if errors.Is(err, wire.ErrSilent) && silentAt.Before(s.deadline) {
			if s.shouldTryAnother(now) {
				return err
			}
			// The forecast may have changed in the meantime.
			silentAt = earliest(s.deadline, latest(s.overdueAt(), now.Add(quietAfter)))
			continue
		}
		if err != nil {
			return err
		}
		s.answer = answer
		s.answerHead = s.router.codec.DecodeAnswer(answer.Status, answer.Header, clock.Now())
		s.applyNotice(answer.Status, s.answerHead.Notice, s.sentAt)
		s.countUsage()
		if s.answerHead.HasLoad {
			s.answerHead.Load.Endpoint = s.ticket.Endpoint.ID
			s.router.pool.Report(s.answerHead.Load)
		}
		return nil
	}
}

// overdueAt returns the time after which an answer that has not begun is later than nearly all others, by the
// forecast for reading its prompt, or by the usual time of its route if there is no forecast.
func (s *send) overdueAt() time.Time {
	if !s.route.Repeatable {
		return s.deadline
	}
	due, lateness, known := s.ticket.Due()
	if !known {
		var usual time.Duration
		usual, lateness = s.router.releases.typicalLatency(s.route.Name, s.model)
		if usual == 0 && s.route.Stream {
			lateness = route.DefaultAnswerTimeout
		}
		due = s.sentAt.Add(usual)
	}
	return earliest(s.deadline, due.Add(lateness))
}

// shouldTryAnother reports whether the request leaves a silent endpoint for another.
func (s *send) shouldTryAnother(now time.Time) bool {
	if !s.mayRunElsewhere(now) {
		return false
	}
	overdueAt := s.overdueAt()
	if now.Before(overdueAt) {
		return false
	}
	return !s.route.Stream || s.ticket.IsSilent(now) || now.Sub(s.sentAt) > lostRequestFactor*(overdueAt.Sub(s.sentAt)+quietAfter)
}

func (s *send) unanswered(err error) sendResult {
	s.outcome = route.OutcomeFailed
	if isBrokenHead(err) && !s.out.headSent {
		s.observe(true)
	}
	if errors.Is(err, wire.ErrSilent) {
		return sendResult{silent, err}
	}
	if errors.Is(err, errDeparted) {
		s.outcome = route.OutcomeCancelled
		return sendResult{moved, err}
	}
	return sendResult{broken, err}
}

// isBrokenHead reports whether the endpoint did answer, with a head that HTTP doesn't allow.
func isBrokenHead(err error) bool {
	var broken *wire.BrokenHeadError
	return errors.As(err, &broken)
}

// handleAnswer decides by the answer's head whether it is relayed, dropped or retried.
func (s *send) handleAnswer() sendResult {
	status := s.answer.Status
	switch {
	case s.answerHead.NotRun:
		return s.handleNotRun()
	case status == http.StatusMisdirectedRequest:
		s.noteMisdirected()
		return sendResult{failed, errors.New("another endpoint answered, and doesn't say whether it ran the request")}
	case status >= http.StatusInternalServerError:
		return s.handleFailure()
	case s.answerHead.Unsigned:
		s.outcome = route.OutcomeFailed
		return sendResult{broken, errUnsigned}
	case s.shouldEscalate():
		return s.escalate()
	case s.out.headSent && status != http.StatusOK:
		s.outcome = route.OutcomeFailed
		return sendResult{broken, errors.Errorf("status %d instead of the rest of the stream", status)}
	case s.route.Stream && status == http.StatusOK:
		return s.relayStream()
	default:
		return s.relayWhole()
	}
}

func (s *send) handleNotRun() sendResult {
	s.out.runs--
	s.outcome = route.OutcomeBusy
	if s.answer.Status == http.StatusMisdirectedRequest {
		s.noteMisdirected()
	} else {
		s.noteRejection()
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(s.answer, maxBufferedBody)); err != nil {
		slog.Debug("body of a refusal could not be read", "request", s.call.head.ID, "error", err)
	}
	return sendResult{notRun, errors.Errorf("status %d", s.answer.Status)}
}

// handleFailure keeps the endpoint's error answer, which is relayed if no other endpoint answers.
func (s *send) handleFailure() sendResult {
	s.outcome = route.OutcomeError
	body, err := readWhole(s.answer.Read, s.answer.Hold)
	s.observe(true)
	switch {
	case err == nil && len(body) == maxBufferedBody:
		err = errors.Errorf("it has %d bytes or more", maxBufferedBody)
	case err == nil:
		err = s.confirmEnd()
	}
	if err == nil {
		err = s.keepFailure(body)
	}
	if err != nil {
		return sendResult{broken, errors.Wrap(err, "read the endpoint's error answer")}
	}
	return sendResult{failed, errors.Errorf("status %d", s.answer.Status)}
}

// keepFailure keeps the endpoint's error answer in place of an earlier one, until others need its memory.
func (s *send) keepFailure(body []byte) error {
	s.dropFailure()
	hold, err := s.answer.HoldOn(cap(body), s.dropFailure)
	if err != nil {
		return err
	}
	s.failure.Store(&failedAnswer{status: s.answer.Status, header: s.answer.Header, body: body, hold: hold})
	return nil
}

// awaitAnswer lets the answer be evidence on the endpoint's release as soon as it is late, and returns a function that ends that. The
// rest of a stream isn't observed.
func (s *send) awaitAnswer() func() {
	s.awaited = &awaitedAnswer{sentAt: s.sentAt, observation: observation{
		service: s.service, release: s.ticket.Endpoint.Release, route: s.route.Name, model: s.model, goal: s.route.Goal,
	}}
	if s.out.headSent {
		return func() {}
	}
	return s.router.releases.await(s.awaited)
}

// observe counts the answer as evidence on the endpoint's release.
func (s *send) observe(isError bool) {
	s.router.releases.observeAwaited(s.awaited, isError, clock.Now())
}

// releaseConn returns the connection to the pool, or closes it if the answer was not read to its end, or the request's end closes it.
func releaseConn(conn *wire.Conn, answer *wire.Answer, isOwned bool) {
	if answer == nil || !isOwned {
		conn.Close()
		return
	}
	answer.Done()
}
