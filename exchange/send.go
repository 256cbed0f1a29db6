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
	// callerLeft: the caller went away, or the time was up for a begun answer.
	callerLeft
	// notSent: nothing reached the endpoint.
	notSent
	// unreached: nothing listens at the endpoint's address, which showed at once.
	unreached
	// notRun: the endpoint said that it did not run the request.
	notRun
	// silent: nothing came back for so long that another endpoint is likely to answer sooner.
	silent
	// broken: the connection or the answer broke; the endpoint may have run the request.
	broken
	// failed: the endpoint answered with a failure of its own.
	failed
	// abandoned: the request's time was up, or its caller left.
	abandoned
	// escalated: the answer of a small model was dropped for a larger one's.
	escalated
	// withheld: the endpoint takes no requests any more since it was chosen, and the request was not sent.
	withheld
)

const (
	// muteFactor is by how many times later than an answer may well be a request is sent elsewhere even though its
	// endpoint goes on with others: the endpoint has lost it. Before that, one that works is only busy, and others would
	// be too.
	muteFactor = 3
	// crowdedRunner is the number of requests at a runner from which on large models are asked less, not at all
	// at twice as many: runs wait for each other's tokens there.
	crowdedRunner = 10.0
	// backlogLimit is how long endpoints will be reading, in the mean, from which on large models are asked less, not at
	// all at twice as long: each of their readings then makes some other answer late.
	backlogLimit = time.Second
	// easyShare is the part of the goal that must be left after the expected answer for the full threshold: answers
	// vary about twofold around what is usual.
	easyShare = 0.5
	// stallShare is the multiple of the longest pause after which a stream is taken up elsewhere: a shorter
	// silence is a runner that reads somebody's long prompt, and reading this one anew takes as long.
	stallShare = 1.5
	// maxWhole is the largest answer that is read whole before its head goes out.
	maxWhole = 256 << 10
)

type (
	sendKind int

	// sendResult is what came of one send.
	sendResult struct {
		kind sendKind
		err  error
	}

	// send is one send of a request to one endpoint.
	send struct {
		*call
		ticket  *gate.Ticket
		conn    *wire.Conn   // nil until the endpoint is reached
		answer  *wire.Answer // nil until its head has come
		head    willowwick.AnswerHead
		sentAt  time.Time
		model   willowwick.ModelID // asked of the endpoint; empty to leave the caller's
		outcome route.Outcome
		ended   bool // its connection broke because the endpoint ended
	}
)

var kindNames = map[sendKind]string{
	answered: "answered", callerLeft: "caller left", notSent: "not sent", unreached: "unreached", notRun: "not run",
	silent: "silent", broken: "broken", failed: "failed", abandoned: "abandoned", escalated: "escalated", withheld: "withheld",
}

// refusal is what the caller is told if the request is given up after this send.
func (r sendResult) refusal(c *call) *willowwick.Refusal {
	now := clock.Now()
	cause := kindNames[r.kind]
	if r.err != nil {
		cause += ": " + r.err.Error()
	}
	switch {
	case c.runs == 0:
		return willowwick.NotRun(willowwick.CodeOverloaded, now.Add(comeBack), "no endpoint took the request (%s)", cause)
	case c.timeIsUp():
		return willowwick.Failed(willowwick.CodeDeadline, "the time was up (%s)", cause)
	default:
		return willowwick.Failed(willowwick.CodeEndpointError, "no endpoint answered (%s)", cause)
	}
}

// sendOnce sends the request to the place's endpoint and passes the answer on.
func (c *call) sendOnce(ticket *gate.Ticket) sendResult {
	s := &send{call: c, ticket: ticket, outcome: route.OutcomeCancelled}
	if c.model != noModel {
		s.model = c.route.Models[c.model]
	}
	result := s.do()
	if c.ctx.Err() != nil && result.kind != answered {
		// What broke was the end of the request's time, not the endpoint.
		result = sendResult{abandoned, c.ctx.Err()}
		s.outcome = route.OutcomeCancelled
		if s.answer == nil && c.timeIsUp() && s.conn != nil && !c.route.Stream {
			s.outcome = route.OutcomeFailed
		}
	}
	if result.kind == broken {
		s.noteBroken()
	}
	if s.isWithoutAnswer(result) {
		c.router.conns.Suspect(ticket.Endpoint.Address, s.sentAt)
	}
	if result.kind == silent {
		c.router.hints.tell(ticket.HeldUp(clock.Now()))
	} else {
		c.router.hints.tell(ticket.Withdrawn(clock.Now()))
	}
	ticket.Done(s.outcome)
	if s.hasMissed(result) {
		c.noteMiss(ticket.Endpoint)
	}
	if result.kind != answered {
		c.exclude[ticket.Endpoint.ID] = true
		c.logSend(s, result)
	}
	c.router.metrics.send(result.kind)
	return result
}

// hasMissed reports whether the endpoint was not reached at its address, or another one was.
func (s *send) hasMissed(result sendResult) bool {
	isOther := s.answer != nil && s.answer.Status == http.StatusMisdirectedRequest
	return isOther || result.kind == notSent || result.kind == unreached
}

// isWithoutAnswer reports whether the endpoint's connection brought nothing, for a reason other than the caller's leaving.
func (s *send) isWithoutAnswer(result sendResult) bool {
	if s.conn == nil || s.answer != nil {
		return false
	}
	return result.kind == silent || result.kind == broken || s.timeIsUp()
}

// noteBroken finds out whether the endpoint ended under the request.
func (s *send) noteBroken() {
	broken := brokenSend{about: s.identify(), endpoint: s.ticket.Endpoint, at: clock.Now()}
	s.ended = s.router.ends.hasEnded(s.ctx, broken.endpoint, broken.at)
	if s.ended {
		s.router.noteHarm(broken)
		s.router.ends.countDropped()
	} else {
		s.router.ends.await(broken)
	}
}

func (c *call) logSend(s *send, result sendResult) {
	cause := ""
	if result.err != nil {
		cause = result.err.Error()
	}
	ahead, reading := s.ticket.Forecast()
	var more []any
	if result.kind == broken {
		// What the same request did before, under other ids, is found by its fingerprint.
		more = []any{"fingerprint", c.fingerprint().String(), "endpoint_ended", s.ended}
	}
	slog.Info("send ended", append(more, "request", c.head.ID, "outcome", kindNames[result.kind], "cause", cause,
		"endpoint", s.ticket.Endpoint.ID, "release", s.ticket.Endpoint.Release, "model", s.model,
		"confidence", s.head.Confidence, "running", s.head.Load.Running, "waiting", s.head.Load.Waiting,
		"ms", clock.Since(s.sentAt).Milliseconds(), "age_ms", clock.Since(c.arrived).Milliseconds(),
		"ahead_ms", ahead.Milliseconds(), "reading_ms", reading.Milliseconds())...)
}

func (s *send) do() sendResult {
	s.sentAt = clock.Now()
	conn, err := s.router.conns.Open(s.ctx, s.ticket.Endpoint.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.outcome = route.OutcomeUnreached
		return sendResult{unreached, err}
	}
	if err != nil {
		s.outcome = route.OutcomeFailed
		return sendResult{notSent, err}
	}
	if s.ticket.IsWithheld(clock.Now()) {
		// What it said since it was chosen holds for this request too: a permit, or a new connection, takes its time.
		conn.Release("")
		return sendResult{kind: withheld}
	}
	s.conn = conn
	// The end of the request, by time or by its caller, ends the endpoint's work too.
	stop := context.AfterFunc(s.ctx, conn.Close)
	defer stop()
	defer s.finish()
	message := s.message
	message.Header = s.encodeHeader()
	if err := conn.Send(&message); err != nil {
		// The endpoint may have answered early and closed; what it said is still to be read.
		slog.Debug("send broke off", "request", s.call.head.ID, "error", err)
	}
	s.runs++
	s.countSent()
	if s.route.Stream {
		s.router.hints.tell(s.ticket.Sent(clock.Now()))
	}
	if err := s.receive(); err != nil {
		return s.unanswered(err)
	}
	s.router.hints.tell(s.ticket.Begun(clock.Now()))
	return s.judge()
}

func (s *send) encodeHeader() http.Header {
	header := s.message.Header.Clone()
	head := willowwick.ForwardHead{
		Account: s.accountName(), Expect: s.ticket.Endpoint.ID, Model: s.model, Deadline: s.deadline,
		Priority: willowwick.NoPriority,
	}
	if s.out.begun {
		head.ResumeAfter = s.resumed
	}
	if s.route.Stream {
		head.Priority = min(urgency(s.route, s.account), lowestPriority)
	}
	s.router.codec.EncodeRequest(header, head, clock.Now())
	return header
}

// countSent counts sends to endpoints that want fewer, or none.
func (s *send) countSent() {
	now := clock.Now()
	if s.router.isLimited(now, s.ticket.Endpoint) {
		s.router.metrics.sentToLimited()
	}
	leaves, rests := s.ticket.Noticed(now)
	if leaves {
		s.router.metrics.sentToLeaving()
	}
	if rests {
		s.router.metrics.sentToResting()
	}
}

// receive reads the head of the answer; a silent endpoint is left if another may be tried.
func (s *send) receive() error {
	silentAt := s.lateAt()
	for {
		answer, err := s.conn.Receive(s.message.Method, silentAt, s.deadline, s.belongs)
		if errors.Is(err, wire.ErrSilent) && silentAt.Before(s.deadline) {
			now := clock.Now()
			if s.isLost(now) {
				return err
			}
			// The forecast may have moved meanwhile.
			silentAt = earliest(s.deadline, latest(s.lateAt(), now.Add(quietAfter)))
			continue
		}
		if err != nil {
			return err
		}
		s.answer = answer
		s.head = s.router.codec.DecodeAnswer(answer.Status, answer.Header, clock.Now())
		s.hear(answer.Status, s.head.Notice, s.sentAt)
		if s.head.HasLoad {
			s.head.Load.Endpoint = s.ticket.Endpoint.ID
			s.router.pool.Report(s.head.Load)
		}
		return nil
	}
}

// lateAt is when an answer that has not begun is later than all but a few, by the forecast of reading its prompt, or by
// what is usual on its route where no forecast is.
func (s *send) lateAt() time.Time {
	if !s.route.Repeatable {
		return s.deadline
	}
	due, lateness, known := s.ticket.Due()
	if !known {
		var usual time.Duration
		usual, lateness = s.router.releases.usual(s.route.Name, s.model)
		if usual == 0 && s.route.Stream {
			lateness = route.UnknownPatience
		}
		due = s.sentAt.Add(usual)
	}
	return earliest(s.deadline, due.Add(lateness))
}

// isLost decides whether a silent endpoint is left for another.
func (s *send) isLost(now time.Time) bool {
	if !s.mayRunAgain() || !s.router.hasRepeat(s.call, now) || !s.router.hasOther(s.call, s.ticket.Endpoint.ID) {
		return false
	}
	lateAt := s.lateAt()
	if now.Before(lateAt) {
		return false
	}
	return !s.route.Stream || s.ticket.IsQuiet(now) || now.Sub(s.sentAt) > muteFactor*(lateAt.Sub(s.sentAt)+quietAfter)
}

func (s *send) unanswered(err error) sendResult {
	s.outcome = route.OutcomeFailed
	if errors.Is(err, wire.ErrSilent) {
		return sendResult{silent, err}
	}
	return sendResult{broken, err}
}

// judge decides by the head of the answer what becomes of it.
func (s *send) judge() sendResult {
	status := s.answer.Status
	switch {
	case s.head.NotRun || status == http.StatusMisdirectedRequest:
		return s.wasNotRun()
	case status >= http.StatusInternalServerError:
		return s.hasFailed()
	case s.shouldEscalate():
		s.outcome = route.OutcomeGood
		s.observe(false)
		s.call.model = len(s.route.Models) - 1
		s.router.ends.noteDropped(s.dropped())
		return sendResult{kind: escalated}
	case s.out.begun && status != http.StatusOK:
		s.outcome = route.OutcomeFailed
		return sendResult{broken, errors.Errorf("status %d in place of the rest of the stream", status)}
	case s.route.Stream && status == http.StatusOK:
		return s.passStream()
	default:
		return s.passWhole()
	}
}

func (s *send) wasNotRun() sendResult {
	s.runs--
	s.outcome = route.OutcomeBusy
	if s.answer.Status == http.StatusMisdirectedRequest {
		s.router.pool.MarkMisplaced(s.ticket.Endpoint)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(s.answer, maxWhole)); err != nil {
		slog.Debug("rest of a refusal could not be read", "request", s.call.head.ID, "error", err)
	}
	return sendResult{notRun, errors.Errorf("status %d", s.answer.Status)}
}

// hasFailed keeps the endpoint's failure, to be passed on if nothing better comes.
func (s *send) hasFailed() sendResult {
	s.outcome = route.OutcomeError
	body, err := io.ReadAll(io.LimitReader(s.answer, maxWhole))
	s.observe(true)
	if err != nil {
		return sendResult{broken, errors.Wrap(err, "failure of the endpoint")}
	}
	s.failure = &failedAnswer{status: s.answer.Status, header: s.answer.Header, body: body}
	return sendResult{failed, errors.Errorf("status %d", s.answer.Status)}
}

// shouldEscalate decides whether the next larger model is asked instead.
func (s *send) shouldEscalate() bool {
	c := s.call
	if c.model == noModel || c.model == len(c.route.Models)-1 || s.answer.Status != http.StatusOK || c.out.begun {
		return false
	}
	if s.head.Confidence == willowwick.NoConfidence {
		return false
	}
	now := clock.Now()
	if s.head.Confidence >= s.confidenceNeeded(now) {
		return false
	}
	if !c.router.pool.HasAvailable(now, c.service, c.allowed()) {
		return false // the answer that is there is worth more than a refusal
	}
	return c.runs < c.route.MaxRuns && s.hasTimeFor(c.route.Models[len(c.route.Models)-1], now) && s.router.takeRepeat(c, route.RepeatEscalation, now)
}

// hasTimeFor reports whether a model's answer, begun now, usually begins before the request's time is up; where it does not,
// the answer that is there is all that the caller can get.
func (s *send) hasTimeFor(model willowwick.ModelID, now time.Time) bool {
	usual, _ := s.router.releases.usual(s.route.Name, model)
	return now.Add(usual).Before(s.deadline)
}

// confidenceNeeded falls from one setting to the other as the large model's answer is expected later, and as the
// runners get crowded: an answer that comes after the goal is worth less than a doubtful one in time, and a run of
// the large model makes many others late.
func (s *send) confidenceNeeded(now time.Time) int {
	settings := s.router.settings
	largest := s.route.Models[len(s.route.Models)-1]
	usual, _ := s.router.releases.usual(s.route.Name, largest)
	expected := now.Sub(s.arrived) + usual
	left := 1 - float64(expected)/float64(max(s.route.Goal, 1))
	pressure := s.router.pool.Pressure(now, s.service, s.choice.allows)
	crowd, backlog := pressure.Requests/crowdedRunner, float64(pressure.Backlog)/float64(backlogLimit)
	ease := min(max(min(left/easyShare, 2-crowd, 2-backlog), 0), 1)
	return settings.LateConfidence + int(ease*float64(settings.Confidence-settings.LateConfidence))
}

// observe counts the answer as evidence on the endpoint's release.
func (s *send) observe(isError bool) {
	s.router.releases.observe(observation{
		service: s.service, release: s.ticket.Endpoint.Release, route: s.route.Name, model: s.model,
		took: clock.Since(s.sentAt), isError: isError,
	})
}

// finish gives the connection back, or closes it where the answer was not read to its end.
func (s *send) finish() {
	if s.answer == nil {
		s.conn.Close()
		return
	}
	s.answer.Done()
}
