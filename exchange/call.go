package exchange

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

const (
	// anyModel is the model of a caller that leaves the choice to the cascade.
	anyModel = "*"
	// maxSends bounds how often one request is sent, also where no endpoint ran it.
	maxSends = 8
	// missesOfHall is how many endpoints of a hall a request misses before it goes to others: all of a hall may end at once, while
	// their entries stand for some seconds more.
	maxMissesPerHall = 2
	// queueShare is the part of the goal that a request may wait for a place: later, a refusal serves its caller better.
	queueWaitShare = 0.25
	// comeBack is when a caller should return after a refusal: most places are free again by then.
	defaultRetryAfter = 300 * time.Millisecond
	// comeBackElsewhere is when a caller should return after a refusal by a box that stops: at once, to another.
	stoppingRetryAfter = 50 * time.Millisecond
	// comeBackLater is when a caller should return to a box that knows no configuration or endpoint yet.
	notReadyRetryAfter = time.Second
	// defaultTimeout holds for routes that declare none.
	defaultTimeout = 30 * time.Second
	// plainCost is the least weight of a request in its client account's turn, and that of one that names no tokens.
	minCost = willowwick.Tokens(100)
	// promptPerOutput is how many tokens of a prompt cost an endpoint as much as one of the answer.
	promptTokensPerOutput = 4
	// noModel stands for the model of a request that does not go through the cascade.
	noCascade = -1
)

type (
	// call is one request of a caller on its way.
	call struct {
		router  *Router
		ctx     context.Context
		out     *reply
		head    willowwick.ExchangeHead
		message wire.Message
		table   *table
		route   *willowwick.Route
		account *willowwick.RoutedAccount
		service willowwick.ServiceID

		arrived      time.Time
		deadline     time.Time
		cascadeStage int // index in the route's models, or noModel
		choice       releaseChoice

		yieldsToUrgent  bool      // it leaves what limited endpoints take to more urgent requests
		permitDenials   int       // permits that it was denied
		lastSendEndedAt time.Time // of its last send
		sends           int       // times it was sent, whatever came of it
		runs            int       // endpoints that may have run it
		triedEndpoints  map[willowwick.EndpointID]bool
		missesByHall    map[willowwick.HallID]int // endpoints of the hall that were not where the list says; nil if there were none
		lastEventID     string                    // last event that went out
		streamTiming    streamTiming
		failure         *failedAnswer

		contentHash  *willowwick.Fingerprint // nil until it was asked for
		trialRelease willowwick.ReleaseID    // the request ended endpoints, and is tried on this release
	}

	// pace is how the answer has gone out to the caller so far.
	streamTiming struct {
		firstEventAt time.Time     // its first event; zero before, and for answers that are no stream
		lastEventAt  time.Time     // its newest event
		longestGap   time.Duration // measured length: the longest between two events
	}

	// failedAnswer is a whole answer of an endpoint with a status of 500 or more.
	failedAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// begin checks a request and reads its body; a refusal is written by the caller.
func (x *Router) acceptCall(out *reply, r *http.Request, arrived time.Time) (*call, *willowwick.Refusal) {
	head, err := x.codec.DecodeRequest(r.Header, arrived)
	out.id = head.ID
	if err != nil {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, "header", "%v", err)
	}
	t := x.table.Load()
	if t == nil {
		return nil, willowwick.NotRun(willowwick.CodeStale, arrived.Add(notReadyRetryAfter), "no configuration is known yet")
	}
	target, path := requestTarget(r)
	c := &call{
		router: x, out: out, head: head, table: t, arrived: arrived, cascadeStage: noCascade,
		message:        wire.Message{Method: r.Method, Target: target, Host: r.Host, Header: r.Header},
		triedEndpoints: map[willowwick.EndpointID]bool{}, lastEventID: head.ResumeAfter,
	}
	if refusal := c.resolveRoute(path); refusal != nil {
		return nil, x.unlessStale(refusal, t, arrived)
	}
	if head.ID == "" {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, "id", "the request has no id")
	}
	if refusal := c.readBody(r); refusal != nil {
		return nil, x.unlessStale(refusal, t, arrived)
	}
	c.prepare()
	c.yieldsToUrgent = x.shortages.mustYield(c.service, urgency(c.route, c.account), arrived)
	if refusal := c.refusePoison(arrived); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// admit finds the request's route and client account in the configuration.
func (c *call) resolveRoute(path string) *willowwick.Refusal {
	if c.route = c.table.route(c.message.Host, path); c.route == nil {
		return willowwick.Invalid(willowwick.CodeUnknownService, "path", "no route of %q leads to %q", c.message.Host, path)
	}
	if c.route.Anonymous || len(c.table.Accounts) == 0 {
		return nil
	}
	if c.account = c.table.accounts[c.head.Key]; c.account == nil {
		return willowwick.Invalid(willowwick.CodeBadKey, "key", "no client account has this key")
	}
	return nil
}

// unlessStale refuses for good what a configuration does not allow, unless another one may have to be in force by now. The
// age is taken before the configuration: one that comes into force in between makes no older one up to date.
func (x *Router) unlessStale(refusal *willowwick.Refusal, t *table, now time.Time) *willowwick.Refusal {
	isStale := x.sync.isStale(now) || x.table.Load() != t
	return refusal.UnlessStale(isStale, now.Add(notReadyRetryAfter))
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
		c.message.HasLen = r.Header.Get("Content-Length") != ""
		return nil
	}
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return willowwick.Invalid(willowwick.CodeTooLarge, "body", "the body has %d bytes; %d are allowed", r.ContentLength, limit)
	}
	body, err := readAll(io.LimitReader(r.Body, limit+1), r.ContentLength)
	if err != nil {
		return willowwick.NotRun(willowwick.CodeBadRequest, time.Time{}, "the body broke off: %v", err)
	}
	if int64(len(body)) > limit {
		return willowwick.Invalid(willowwick.CodeTooLarge, "body", "more than the %d bytes that are allowed", limit)
	}
	c.message.Body, c.message.HasLen = body, true
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

// plan decides what holds for the whole request: its time, service, first model and release.
func (c *call) prepare() {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.arrived.Add(timeout)
	if !c.head.Deadline.IsZero() && c.head.Deadline.Before(c.deadline) {
		c.deadline = c.head.Deadline
	}
	c.service = c.table.service(c.route, string(c.head.ID))
	if c.head.Model == anyModel && len(c.route.Models) > 0 {
		c.cascadeStage = 0
	}
	wire.StripHop(c.message.Header)
	delete(c.message.Header, "Content-Length")
	delete(c.message.Header, "Expect")
	c.router.retryBudget(c.service).Request(c.arrived)
}

// sessionText names what should stay on one release: the session, or the request if it has none.
func (c *call) sessionKey() string {
	if c.head.Session != "" {
		return string(c.head.Session)
	}
	return string(c.head.ID)
}

// run sends the request until it is answered or given up.
func (c *call) run() {
	for {
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
		if !c.obtainPermit(ticket) {
			ticket.Done(route.OutcomeCancelled)
			c.permitDenials++
			continue
		}
		c.sends++
		result := c.sendOnce(ticket)
		c.lastSendEndedAt = clock.Now()
		if result.kind == answered || result.kind == callerLeft {
			return
		}
		if !c.shouldRetry(result) {
			c.finishUnanswered(result.refusal(c))
			return
		}
		if result.kind == notRun && c.mustAwaitFreeSlot(c.lastSendEndedAt) {
			sleep(c.ctx, sameEndpointRetryDelay)
		}
	}
}

// enter takes a place at an endpoint.
func (c *call) awaitTicket() (*gate.Ticket, *willowwick.Refusal) {
	now := clock.Now()
	// Roll-outs may have begun or ended since the send before.
	c.choice = c.router.releases.choose(c.service, c.sessionKey(), now, c.deadline)
	c.choice.onlyRelease = c.trialRelease
	until := c.deadline
	if c.sends == 0 || c.hasOnlyUnavailableLeft(now) || c.areNoneAvailable(now) {
		until = earliest(until, now.Add(scale(c.route.Goal, queueWaitShare)))
	}
	work := c.work()
	return c.router.gate.Enter(c.ctx, gate.Wish{
		Work: string(c.service), Account: c.accountName(), Weight: 1, Cost: c.cost(), Deadline: until,
		Acquire: func(now time.Time) (*route.Place, bool) {
			place, known := c.acquireSlot(now, work, c.choice.allows)
			if place == nil && !known && c.choice.release != "" {
				return c.acquireSlot(now, work, c.choice.allowsFallback)
			}
			return place, known
		},
		Hopeless: c.areAllUnavailable,
	})
}

// acquire takes a place at an endpoint that is allowed, in a hall that the request has not missed where there is one.
func (c *call) acquireSlot(now time.Time, work route.Work, allow func(willowwick.Endpoint) bool) (*route.Place, bool) {
	if c.avoidsLimitedEndpoints() {
		allowed := allow
		allow = func(endpoint willowwick.Endpoint) bool {
			return allowed(endpoint) && !c.router.isLimited(now, endpoint)
		}
	}
	if len(c.missesByHall) > 0 {
		there := func(endpoint willowwick.Endpoint) bool {
			return c.missesByHall[endpoint.Hall] < maxMissesPerHall && allow(endpoint)
		}
		if place, _ := c.router.pool.AcquireAllowed(now, c.service, work, c.triedEndpoints, there); place != nil {
			return place, true
		}
	}
	return c.router.pool.AcquireAllowed(now, c.service, work, c.excludedEndpoints(now), allow)
}

// noteMiss notes that an endpoint was not where the list says.
func (c *call) recordMiss(endpoint willowwick.Endpoint) {
	if c.missesByHall == nil {
		c.missesByHall = map[willowwick.HallID]int{}
	}
	c.missesByHall[endpoint.Hall]++
}

// work is what the request asks of an endpoint's model.
func (c *call) work() route.Work {
	if !c.route.Affinity {
		return route.Work{}
	}
	return route.Work{Model: c.requestedModel(), Prompt: c.head.Prompt}
}

// askedModel is the model that is asked now: the cascade's choice, or the caller's.
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

// fingerprint names the request's content. It is taken only where it is needed: bodies are large, and on a calm day nobody asks.
func (c *call) fingerprint() willowwick.Fingerprint {
	if c.contentHash == nil {
		contentHash := c.computeFingerprint()
		c.contentHash = &contentHash
	}
	return *c.contentHash
}

// takeFingerprint is fingerprint for other goroutines than the call's own.
func (c *call) computeFingerprint() willowwick.Fingerprint {
	return willowwick.FingerprintOf(c.accountName(), c.message.Method, c.message.Host, c.message.Target, c.message.Body)
}

func (c *call) cost() willowwick.Tokens {
	return max(c.head.PromptTokens/promptTokensPerOutput+c.head.MaxTokens, minCost)
}

// mayGoOn decides whether the request is sent again after a send that brought no answer.
func (c *call) shouldRetry(result sendResult) bool {
	now := clock.Now()
	if c.ctx.Err() != nil || c.sends >= maxSends || !now.Before(c.deadline) {
		return false
	}
	switch result.kind {
	case notSent, unreached, escalated, withheld:
		return true // for an escalation the budget was asked before the answer was dropped
	case notRun:
		return c.canAwaitFreeSlot(now) && c.router.takeRetryBudget(c, route.RepeatFailover, now)
	default:
		return c.trialRelease == "" && c.allowsAnotherRun() && c.router.takeRetryBudget(c, route.RepeatFailover, now)
	}
}

// mustAwaitRoom reports whether every endpoint that takes requests has turned this one away: a moment passes before it goes to one of
// them again, in which places come free.
func (c *call) mustAwaitFreeSlot(now time.Time) bool {
	pool, allowedEndpoints := c.router.pool, c.allowedEndpoints()
	_, isShort := pool.AllUnavailable(now, c.service, allowedEndpoints)
	return !isShort && pool.NoneLeft(now, c.service, c.triedEndpoints, allowedEndpoints)
}

// mayAwaitRoom reports whether there is time for that where it is needed: a request that nothing has run yet is refused where its caller
// would wait too long.
func (c *call) canAwaitFreeSlot(now time.Time) bool {
	until := c.arrived.Add(scale(c.route.Goal, queueWaitShare))
	return c.runs > 0 || now.Add(sameEndpointRetryDelay).Before(until) || !c.mustAwaitFreeSlot(now)
}

// mayRunAgain reports whether one more endpoint may run the request.
func (c *call) allowsAnotherRun() bool {
	if c.out.headSent && !c.route.Resumable {
		return false
	}
	return c.route.Repeatable && c.runs < c.route.MaxRuns
}

// giveUp ends a request that no endpoint has answered.
func (c *call) finishUnanswered(refusal *willowwick.Refusal) {
	if c.ctx.Err() != nil && !c.isPastDeadline() {
		c.router.metrics.outcome("caller_left")
		c.logCompletion("caller left", 0)
		return
	}
	switch {
	case c.out.headSent:
		c.router.metrics.outcome("cut")
		c.logCompletion("answer cut off", 0, "cause", refusal.Message)
		c.out.abort()
	case c.failure != nil:
		c.router.metrics.outcome("endpoint_failed")
		c.logCompletion("endpoint's failure passed on", c.failure.status)
		c.out.writeFailure(c.failure)
	default:
		if c.runs > 0 && refusal.Kind == willowwick.KindNotRun {
			refusal = willowwick.OutcomeUnknown(refusal.Code, "an endpoint may have run it; %s", refusal.Message)
		}
		c.router.refuse(c.out, refusal)
		c.logCompletion("refused", statusOf(refusal), "cause", refusal.Message, "code", refusal.Code)
	}
}

func (c *call) isPastDeadline() bool {
	return errors.Is(c.ctx.Err(), context.DeadlineExceeded) || !clock.Now().Before(c.deadline)
}

// note takes the time of an event that goes out.
func (p *streamTiming) recordEvent(now time.Time) {
	if p.firstEventAt.IsZero() {
		p.firstEventAt = now
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// logEnd writes the last line about a request.
func (c *call) logCompletion(what string, status int, more ...any) {
	attributes := append([]any{
		"request", c.head.ID, "session", c.head.Session, "route", c.route.Name, "service", c.service, "status", status,
		"sends", c.sends, "runs", c.runs, "ms", clock.Since(c.arrived).Milliseconds(), "config", c.table.Version,
		"goal_ms", c.route.Goal.Milliseconds(),
	}, more...)
	if !c.streamTiming.firstEventAt.IsZero() {
		attributes = append(attributes, "first_ms", c.streamTiming.firstEventAt.Sub(c.arrived).Milliseconds(),
			"pause_ms", c.streamTiming.longestGap.Milliseconds(), "pause_goal_ms", c.route.GapGoal.Milliseconds())
	}
	if c.cascadeStage != noCascade {
		attributes = append(attributes, "stage", c.cascadeStage+1, "stages", len(c.route.Models))
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
