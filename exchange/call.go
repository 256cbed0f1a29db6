package exchange

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

const (
	// anyModel is the model name with which a caller leaves the choice to the cascade.
	anyModel = "*"
	// maxSends bounds how often one request is sent, including sends that no endpoint ran.
	maxSends = 8
	// defaultRetryAfter is the Retry-After of a refusal that names no time: most slots are free again by then.
	defaultRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a box that is shutting down: the caller should try another box at
	// once.
	stoppingRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is the Retry-After of a box that has no configuration or no endpoints yet.
	notReadyRetryAfter = time.Second
	// defaultTimeout applies to routes that declare no timeout.
	defaultTimeout = 30 * time.Second
	// minCost is the least cost of a request in the fair queue of its client account, and the cost of a request
	// that names no tokens.
	minCost = willowwick.Tokens(100)
	// promptTokensPerOutput is the number of prompt tokens that cost an endpoint as much as one output token.
	promptTokensPerOutput = 4
	// noCascade is the cascade stage of a request that does not go through the cascade.
	noCascade = -1
)

type (
	// call is the state of one caller's request while the router handles it.
	call struct {
		router  *Router
		ctx     context.Context
		out     *reply
		head    willowwick.RequestHead
		message wire.Message
		table   *table
		route   *willowwick.Route
		account *willowwick.RoutedAccount
		service willowwick.ServiceID

		origin           passedOn
		isRequestCounted bool // for the retry budget
		isRetryReserved  bool // the next retry after a run is taken from the budget already

		arrived      time.Time
		deadline     time.Time
		cascadeStage int // index in the route's models, or noCascade
		choice       releaseChoice

		yieldsToUrgent  bool      // leaves the capacity of rate-limited endpoints to more urgent requests
		permitDenials   int       // permits that this request was denied
		queueUntil      time.Time // end of the wait in the queue before the next send; zero after each send
		shortWaitUntil  time.Time // end of all short waits in the queue; zero before the first and after each run
		lastSendEndedAt time.Time // zero before the first send has ended
		sends           int       // all sends, whatever their result
		isCounted       bool      // in its account's usage
		triedEndpoints  map[willowwick.EndpointID]bool
		usedConns       []*wire.Conn   // connections on which it was sent
		regions         allowedRegions // by the newest configuration; see allowsHall
		misses          misses
		leftRegionFor   string // why the last send went to another region; empty if it didn't
		lastEventID     string // ID of the newest event that the caller has received
		endsUnnamed     bool   // the caller has received events without an ID after that one
		streamTiming    streamTiming
		failure         atomic.Pointer[failedAnswer] // nil if there is none, or its memory was needed

		contentHash  *willowwick.Fingerprint      // computed on first use; nil before
		partHashes   *willowwick.PartFingerprints // of the prompt; computed on first use
		trialRelease willowwick.ReleaseID         // the only release a poison request is tried on; empty for other requests
	}

	// streamTiming records when the events of a stream were sent to the caller.
	streamTiming struct {
		firstEventAt time.Time     // zero before the first event, and for answers that are not streams
		lastEventAt  time.Time     // the newest event
		longestGap   time.Duration // between two successive events
		events       int
	}

	// failedAnswer is a complete answer of an endpoint with a status of 500 or more.
	failedAnswer struct {
		status int
		header http.Header
		body   []byte
		hold   *wire.Hold
	}
)

// acceptCall validates a request and reads its body. The caller of acceptCall writes the refusal.
func (x *Router) acceptCall(out *reply, r *http.Request, arrived time.Time) (*call, *willowwick.Refusal) {
	head, err := x.codec.DecodeRequest(r.Header, arrived)
	out.id = head.ID
	if err != nil {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, "header", "%v", err)
	}
	t := x.table.Load()
	if t == nil {
		return nil, willowwick.NotRun(willowwick.CodeStaleConfiguration, arrived.Add(notReadyRetryAfter), "no configuration has been loaded yet")
	}
	target, path := requestTarget(r)
	c := &call{
		router: x, out: out, head: head, table: t, arrived: arrived, cascadeStage: noCascade,
		message:        wire.Message{Method: r.Method, Target: target, Host: r.Host, Header: r.Header},
		triedEndpoints: map[willowwick.EndpointID]bool{}, lastEventID: head.ResumeAfter, origin: originOf(r),
	}
	c.isRequestCounted, c.isCounted = c.origin.isCounted, c.origin.isUse
	if refusal := c.resolveRoute(path); refusal != nil {
		return nil, x.unlessStale(refusal, t, arrived)
	}
	if head.ID == "" {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, "id", "the request has no ID")
	}
	if refusal := c.readBody(r); refusal != nil {
		return nil, x.unlessStale(refusal, t, arrived)
	}
	c.prepare()
	c.yieldsToUrgent = x.shortages.mustYield(c.queueName(), requestPriority(c.route, c.account), arrived)
	if refusal := c.refusePoison(arrived); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// resolveRoute looks up the request's route and client account in the configuration.
func (c *call) resolveRoute(path string) *willowwick.Refusal {
	if c.route = c.table.findRoute(c.message.Host, path); c.route == nil {
		return willowwick.Invalid(willowwick.CodeUnknownService, "path", "no route matches host %q and path %q", c.message.Host, path)
	}
	if c.route.Anonymous || len(c.table.Accounts) == 0 {
		return nil
	}
	if c.account = c.table.accounts[c.head.Key]; c.account == nil {
		return willowwick.Invalid(willowwick.CodeBadKey, "key", "no client account has this key")
	}
	return nil
}

// unlessStale turns a permanent refusal into a temporary one if a newer configuration may already have to be in
// force. Staleness is determined before the table is compared: a configuration that takes effect in between doesn't
// make the older one current.
func (x *Router) unlessStale(refusal *willowwick.Refusal, t *table, now time.Time) *willowwick.Refusal {
	isStale := x.sync.isConfigStale(now) || x.table.Load() != t
	return refusal.TemporaryIfStale(isStale, now.Add(notReadyRetryAfter))
}

// requestTarget returns the request line's target and its path, both as the caller wrote them.
func requestTarget(r *http.Request) (target, path string) {
	target = r.RequestURI
	if r.URL.IsAbs() {
		target = r.URL.RequestURI()
	}
	for i := range len(target) {
		if target[i] == '?' {
			return target, target[:i]
		}
	}
	return target, target
}

func (c *call) readBody(r *http.Request) *willowwick.Refusal {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		c.message.HasBody = r.Header.Get("Content-Length") != ""
		return nil
	}
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return willowwick.Invalid(willowwick.CodeTooLarge, "body", "the body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	body, err := readAll(io.LimitReader(r.Body, limit+1), r.ContentLength)
	if err != nil {
		return willowwick.NotRun(willowwick.CodeBadRequest, time.Time{}, "the body could not be read completely: %v", err)
	}
	if int64(len(body)) > limit {
		return willowwick.Invalid(willowwick.CodeTooLarge, "body", "the body exceeds the limit of %d bytes", limit)
	}
	c.message.Body, c.message.HasBody = body, true
	return nil
}

func readAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// prepare sets the deadline, the service and the first cascade stage, and removes hop-by-hop headers.
func (c *call) prepare() {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.arrived.Add(timeout)
	if !c.head.Deadline.IsZero() && c.head.Deadline.Before(c.deadline) {
		c.deadline = c.head.Deadline
	}
	c.service = c.table.chooseService(c.route, string(c.head.ID))
	if c.head.Model == anyModel && len(c.route.Models) > 0 {
		c.cascadeStage = 0
	}
	wire.StripHopHeaders(c.message.Header)
	delete(c.message.Header, "Content-Length")
	delete(c.message.Header, "Expect")
}

// countRequest counts the request for the retry budget, once and at one box.
func (c *call) countRequest() {
	if !c.isRequestCounted {
		c.isRequestCounted = true
		c.router.retryBudget(c.service).Request(c.arrived)
	}
}

// sessionKey returns the key by which requests stay on one release: the session, or the request ID if there is
// none.
func (c *call) sessionKey() string {
	if c.head.Session != "" {
		return string(c.head.Session)
	}
	return string(c.head.ID)
}

// begin limits the call to its deadline, the caller's presence and the time that a planned stop leaves; it returns a function that ends
// it.
func (c *call) begin(caller context.Context) func() {
	ctx, cancel := clock.WithDeadline(caller, c.deadline)
	forget := context.AfterFunc(c.router.ending, cancel)
	c.ctx = ctx
	return func() {
		forget()
		cancel()
	}
}

// run sends the request until it is answered or cannot be retried.
func (c *call) run() {
	for {
		if c.mustPassOn() && c.passOn() {
			return
		}
		c.countRequest()
		ticket, refusal := c.awaitTicket()
		if refusal != nil {
			c.recordShortage(refusal)
			c.finishUnanswered(refusal)
			return
		}
		if c.isPoison() {
			ticket.Done(route.OutcomeCancelled)
			c.finishUnanswered(quarantine.Refusal())
			return
		}
		if isReserved, refusal := c.obtainReservation(ticket); !isReserved {
			ticket.Done(route.OutcomeCancelled)
			if refusal == nil {
				continue
			}
			c.finishUnanswered(refusal)
			return
		}
		if !c.obtainPermit(ticket) {
			ticket.Done(route.OutcomeCancelled)
			c.permitDenials++
			continue
		}
		c.recordLimitedSend(ticket)
		c.sends++
		result := c.sendOnce(ticket)
		c.lastSendEndedAt = clock.Now()
		c.resetQueueWait()
		if result.kind == answered || result.kind == callerLeft {
			return
		}
		if !c.shouldRetry(result) {
			c.finishUnanswered(result.refusal(c))
			return
		}
		if result.kind == notRun && c.mustAwaitFreeSlot(c.lastSendEndedAt) {
			clock.Sleep(c.ctx, sameEndpointRetryDelay)
		}
	}
}

// work describes the request's model and prompt for routes with prefix affinity; it is empty for other routes.
func (c *call) work() route.Work {
	if !c.route.Affinity {
		return route.Work{}
	}
	return route.Work{Model: c.requestedModel(), Prompt: c.head.Prompt}
}

// requestedModel returns the model to request now: that of the current cascade stage, or the one the caller named.
func (c *call) requestedModel() willowwick.ModelID {
	if c.cascadeStage == noCascade {
		return c.head.Model
	}
	return c.route.Models[c.cascadeStage]
}

func (c *call) accountName() willowwick.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// fingerprint returns the fingerprint of the request's content. It is computed on first use, because bodies are
// large and it is rarely needed.
func (c *call) fingerprint() willowwick.Fingerprint {
	if c.contentHash == nil {
		contentHash := c.computeFingerprint()
		c.contentHash = &contentHash
	}
	return *c.contentHash
}

// computeFingerprint computes the fingerprint anew: the cached one may be used by the call's own goroutine only.
func (c *call) computeFingerprint() willowwick.Fingerprint {
	return willowwick.FingerprintOf(c.accountName(), c.message.Method, c.message.Host, c.message.Target, c.message.Body)
}

// partFingerprints returns the fingerprints of the parts that the prompt may share with others.
func (c *call) partFingerprints() willowwick.PartFingerprints {
	if c.partHashes == nil {
		hashes := willowwick.PartFingerprintsOf(c.accountName(), c.service, c.head.SharedParts())
		c.partHashes = &hashes
	}
	return *c.partHashes
}

func (c *call) cost() willowwick.Tokens {
	return max(c.head.PromptTokens/promptTokensPerOutput+c.head.MaxTokens, minCost)
}

// shouldRetry reports whether the request is retried after a send that brought no answer.
func (c *call) shouldRetry(result sendResult) bool {
	now := clock.Now()
	if c.ctx.Err() != nil || c.router.isEnding() || c.sends >= maxSends || !now.Before(c.deadline) {
		return false
	}
	switch result.kind {
	case notSent, unreached, escalated, withheld:
		return true // the budget for an escalation was taken before the answer was dropped
	case notRun:
		return c.canAwaitFreeSlot(now) && c.router.takeRetryBudget(c, route.RetryFailover, now)
	default:
		return c.allowsRetryOfRun() && c.takeRetry(now)
	}
}

// allowsRetryOfRun reports whether the request may be retried, but for the budget, after an endpoint may have run it.
func (c *call) allowsRetryOfRun() bool {
	return c.trialRelease == "" && c.allowsAnotherRun()
}

// takeRetry takes a retry after a run from the budget, unless one is reserved, and reports whether there was one.
func (c *call) takeRetry(now time.Time) bool {
	if c.isRetryReserved {
		c.isRetryReserved = false
		return true
	}
	return c.router.takeRetryBudget(c, route.RetryFailover, now)
}

// allowsAnotherRun reports whether one more endpoint may run the request.
func (c *call) allowsAnotherRun() bool {
	if c.out.headSent && !c.mayResume() {
		return false
	}
	return c.route.Repeatable && c.allRuns() < c.route.MaxRuns
}

// allRuns returns the number of endpoints that may have run the request, also at the box that has passed it on here.
func (c *call) allRuns() int {
	return c.origin.runs + c.out.runs
}

// mayResume reports whether another endpoint may go on with the answer that was begun.
func (c *call) mayResume() bool {
	return c.route.Resumable && !c.out.isPlain && !c.endsUnnamed
}

// finishUnanswered ends a request that no endpoint has answered: it leaves a begun answer unfinished, which breaks it off, passes on an
// endpoint's failure, or writes the refusal.
func (c *call) finishUnanswered(refusal *willowwick.Refusal) {
	if c.hasCallerLeft() {
		c.router.metrics.countOutcome("caller_left")
		c.logCompletion("caller left", 0)
		return
	}
	if c.router.isEnding() && !c.isPastDeadline() {
		refusal = stoppingRefusal(clock.Now())
	}
	failure := c.failure.Load()
	switch {
	case c.out.headSent:
		c.router.metrics.countOutcome("cut")
		c.logCompletion("answer cut off", 0, "cause", refusal.Message)
	case failure != nil:
		c.router.metrics.countOutcome("endpoint_failed")
		c.logCompletion("endpoint's failure passed on", failure.status)
		c.out.writeFailure(failure)
	default:
		if c.out.runs > 0 && refusal.Kind == willowwick.KindNotRun {
			refusal = willowwick.OutcomeUnknown(refusal.Code, "an endpoint may have run it; %s", refusal.Message)
		}
		c.router.refuse(c.out, refusal)
		c.logCompletion("refused", statusOf(refusal), "cause", refusal.Message, "code", refusal.Code)
	}
}

// hasCallerLeft reports whether the caller disconnected; once this box ends its calls, their callers count as still there.
func (c *call) hasCallerLeft() bool {
	return c.ctx.Err() != nil && !c.isPastDeadline() && !c.router.isEnding()
}

// dropFailure gives back the memory of the endpoint's error answer that was kept.
func (c *call) dropFailure() {
	if failure := c.failure.Swap(nil); failure != nil {
		failure.hold.Release()
	}
}

func (c *call) isPastDeadline() bool {
	return errors.Is(c.ctx.Err(), context.DeadlineExceeded) || !clock.Now().Before(c.deadline)
}

// recordEvent records the time of an event that is sent to the caller.
func (p *streamTiming) recordEvent(now time.Time) {
	if p.firstEventAt.IsZero() {
		p.firstEventAt = now
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// logCompletion writes the last log line of a request.
func (c *call) logCompletion(what string, status int, more ...any) {
	attributes := append([]any{
		"request", c.head.ID, "session", c.head.Session, "route", c.route.Name, "service", c.service, "status", status,
		"sends", c.sends, "runs", c.out.runs, "ms", clock.Since(c.arrived).Milliseconds(), "config", c.table.Version,
		"goal_ms", c.route.Goal.Milliseconds(),
	}, more...)
	if !c.streamTiming.firstEventAt.IsZero() {
		attributes = append(attributes, "first_ms", c.streamTiming.firstEventAt.Sub(c.arrived).Milliseconds(),
			"pause_ms", c.streamTiming.longestGap.Milliseconds(), "pause_goal_ms", c.route.GapGoal.Milliseconds())
	}
	if c.cascadeStage != noCascade {
		attributes = append(attributes, "stage", c.cascadeStage+1, "stages", len(c.route.Models))
	}
	if c.leftRegionFor != leftNowhere {
		attributes = append(attributes, "left_region", c.leftRegionFor)
	}
	slog.Info(what, attributes...)
}

func retryAfter(at, now time.Time) string {
	seconds := max(at.Sub(now).Seconds(), 0.05)
	return strconv.FormatFloat(seconds, 'f', 2, 64)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
