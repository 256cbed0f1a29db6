package exchange

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/wire"
)

// Requests of a box that reaches no endpoint are passed on to one that does, as its caller sent them, over HTTP. The other box
// handles such a request like one of its own callers: it counts there, and the answer returns unchanged. It is not passed on
// again.

const (
	// headerPassedOn holds the token of the box that a request is passed on to, and headerCounted is set if the box that
	// passes it on has counted it for the retry budget: to countedAsUse if it also counts in its account's usage.
	headerPassedOn = "X-Willowwick-Passed-On"
	headerCounted  = "X-Willowwick-Counted"
	// countedForRetry and countedAsUse are its values.
	countedForRetry = "1"
	countedAsUse    = "usage"
	// headerRuns holds how many endpoints may have run the request at that box.
	headerRuns = "X-Willowwick-Runs"
	// headerNotTaken is set in the answer of a box that didn't take the request.
	headerNotTaken = "X-Willowwick-Not-Taken"
	// maxPassOns bounds the boxes that one request is passed on to.
	maxPassOns = 3
)

type (
	// passedOnKey is the context key of the origin of a request that another box passed on.
	passedOnKey struct{}

	// passedOn says how a request got here.
	passedOn struct {
		isPassedOn bool // from another box
		isCounted  bool // for the retry budget, by that box
		isUse      bool // in its account's usage, by that box
		runs       int  // endpoints that may have run it there
	}

	// passage is the passing on of a request to one box.
	passage struct {
		*call
		target target
		answer *wire.Answer // nil until its head was received
	}
)

// ServeHTTP implements http.Handler for the requests that other boxes pass on.
func (o *offers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerPassedOn) != o.token || o.own().Address == "" {
		o.refuseUntaken(w, r)
		return
	}
	counted := r.Header.Get(headerCounted)
	runs, err := strconv.Atoi(r.Header.Get(headerRuns))
	if err != nil {
		slog.Debug("a request was passed on here without its runs", "error", err) // boxes of earlier versions don't tell them
	}
	origin := passedOn{isPassedOn: true, isCounted: counted != "", isUse: counted == countedAsUse, runs: runs}
	for _, name := range []string{headerPassedOn, headerCounted, headerRuns} {
		r.Header.Del(name)
	}
	o.router.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), passedOnKey{}, origin)))
}

// refuseUntaken answers a request that this box doesn't take from another one.
func (o *offers) refuseUntaken(w http.ResponseWriter, r *http.Request) {
	head, err := o.router.codec.DecodeRequest(r.Header, clock.Now())
	if err != nil {
		slog.Info("a request that was passed on here can't be read", "request", head.ID, "error", err)
	}
	o.router.codec.EncodeOwnAnswer(w.Header(), head.ID)
	w.Header().Set(headerNotTaken, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// originOf says how a request got here.
func originOf(r *http.Request) passedOn {
	origin, _ := r.Context().Value(passedOnKey{}).(passedOn)
	return origin
}

// mustPassOn reports whether the request should go through another box.
func (c *call) mustPassOn() bool {
	return c.router.reach.isCutOff() && !c.origin.isPassedOn && (c.out.runs == 0 || c.allowsAnotherRun())
}

// passOn sends the request through another box, and reports whether that ended it: no box may take it.
func (c *call) passOn() bool {
	tried := map[string]bool{}
	for range maxPassOns {
		taken, found := c.router.offers.take(c.ctx, c.allowsHall, tried)
		if !found {
			return false
		}
		tried[taken.box.Address] = true
		p := &passage{call: c, target: taken}
		result := p.do()
		if c.ctx.Err() != nil && result.kind != answered {
			result = sendResult{abandoned, c.ctx.Err()}
		}
		c.router.offers.release(taken, result.kind != notSent && result.kind != notRun)
		c.router.metrics.countPassedOn(result.kind)
		if p.isLast(result) {
			return true
		}
	}
	return false
}

// isLast ends the request after a result that no other box can better, and reports whether it did.
func (p *passage) isLast(result sendResult) bool {
	switch result.kind {
	case answered:
		return true
	case callerLeft:
		p.router.metrics.countOutcome("caller_left")
		p.logCompletion("caller left", 0, "event", p.lastEventID)
		return true
	}
	slog.Info("passing on ended", "request", p.head.ID, "peer", p.target.box.Address, "outcome", sendKindNames[result.kind],
		"cause", errorText(result.err), "age_ms", clock.Since(p.arrived).Milliseconds())
	if result.kind == notSent || result.kind == notRun || result.kind == broken && p.allowsAnotherRun() {
		return false
	}
	p.finishUnanswered(result.refusal(p.call))
	return true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// do sends the request to the box and relays its answer.
func (p *passage) do() sendResult {
	conns := p.router.offers.conns
	conn, err := conns.Open(p.ctx, p.target.reply.Address, p.usedConns...)
	if err != nil {
		return sendResult{notSent, err}
	}
	// When the request ends, by its deadline or its caller, so does what the other box does for it.
	stop := context.AfterFunc(p.ctx, conn.Cut)
	defer func() { releaseConn(conn, p.answer, stop()) }()
	message := p.message
	message.Header = p.encodeHeader()
	p.usedConns = append(p.usedConns, conn)
	if err := conn.Send(&message); err != nil {
		slog.Debug("request could not be passed on completely", "request", p.head.ID, "error", err)
	}
	p.router.metrics.distances.countSend(p.router.topology.Distance(p.target.box.Hall), len(message.Body))
	p.out.runs++
	p.answer, err = conn.Receive(message.Method, p.deadline, p.deadline, func(answer *wire.Answer) bool {
		named := p.decode(answer).Request
		return named == "" || named == p.head.ID
	})
	if err != nil {
		return sendResult{broken, err}
	}
	return p.relay()
}

func (p *passage) encodeHeader() http.Header {
	header := p.message.Header.Clone()
	resumeAfter := ""
	if p.out.headSent {
		resumeAfter = p.lastEventID
	}
	p.router.codec.EncodePassedOn(header, resumeAfter, p.deadline, clock.Now())
	header.Set(headerPassedOn, p.target.reply.Token)
	header.Set(headerRuns, strconv.Itoa(p.out.runs))
	switch {
	case p.isCounted:
		header.Set(headerCounted, countedAsUse)
	case p.isRequestCounted:
		header.Set(headerCounted, countedForRetry)
	}
	return header
}

// decode reads the head of an answer.
func (p *passage) decode(answer *wire.Answer) willowwick.AnswerHead {
	return p.router.codec.DecodeAnswer(answer.Status, answer.Header, clock.Now())
}

// relay relays the answer of the other box. That box's promise that nothing has run counts if it names the request; the caller gets it
// only if no earlier send may have run either. An answer that ends with its connection may lack its rest: boxes send a length or chunks.
func (p *passage) relay() sendResult {
	status, head := p.answer.Status, p.decode(p.answer)
	isNamed := head.Request == p.head.ID
	switch {
	case p.answer.Header.Get(headerNotTaken) != "" && isNamed:
		p.out.runs--
		return sendResult{notRun, errors.New("the box takes no requests")}
	case promisesNotRun(status) && !isNamed:
		return sendResult{failed, errors.Errorf("status %d that names another request", status)}
	case promisesNotRun(status) && p.out.headSent:
		p.out.runs--
		return sendResult{notRun, errors.Errorf("status %d instead of the rest of the stream", status)}
	case p.answer.Framing == wire.FramedByClose:
		return sendResult{broken, errors.Errorf("status %d without a length or chunks", status)}
	case promisesNotRun(status):
		p.out.runs--
		return p.relayWhole()
	case head.Unsigned:
		return sendResult{broken, errUnsigned}
	case p.out.headSent && status != http.StatusOK:
		return sendResult{broken, errors.Errorf("status %d instead of the rest of the stream", status)}
	case p.route.Stream && status == http.StatusOK:
		return p.relayStream()
	default:
		return p.relayWhole()
	}
}

func (p *passage) relayStream() sendResult {
	err := readEvents(p.readAnswer, p.answer.Hold, func(events []byte) bool { return p.writeEvents(p.answer, events, clock.Now()) })
	if errors.Is(err, errCallerLeft) {
		return sendResult{kind: callerLeft}
	}
	if err != nil {
		return sendResult{broken, errors.Wrap(err, "stream")}
	}
	if !p.out.headSent {
		p.out.writeHead(p.answer.Status, p.answer.Header, -1)
	}
	return p.delivered()
}

func (p *passage) relayWhole() sendResult {
	body, err := readWhole(p.readAnswer, p.answer.Hold)
	if err == nil && len(body) == maxBufferedBody {
		_, err = p.writeLarge(p.answer, body)
	} else if err == nil {
		p.writeWhole(p.answer, body)
	}
	if err != nil {
		return sendResult{broken, errors.Wrap(err, "read the body of the answer")}
	}
	return p.delivered()
}

func (p *passage) readAnswer(data []byte) (int, error) {
	n, err := p.answer.Read(data)
	p.router.metrics.distances.countAnswer(p.router.topology.Distance(p.target.box.Hall), n)
	return n, err
}

// delivered logs an answer that was sent to the caller completely.
func (p *passage) delivered() sendResult {
	p.out.isWhole = true
	p.logCompletion("passed on", p.out.status, "peer", p.target.box.Address, "peer_status", p.answer.Status, "framing", p.answer.Framing)
	return sendResult{kind: answered}
}
