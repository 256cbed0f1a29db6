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
	missesOfHall = 2
	// queueShare is the part of the goal that a request may wait for a place: later, a refusal serves its caller better.
	queueShare = 0.25
	// comeBack is when a caller should return after a refusal: most places are free again by then.
	comeBack = 300 * time.Millisecond
	// comeBackElsewhere is when a caller should return after a refusal by a box that stops: at once, to another.
	comeBackElsewhere = 50 * time.Millisecond
	// comeBackLater is when a caller should return to a box that knows no configuration or endpoint yet.
	comeBackLater = time.Second
	// defaultTimeout holds for routes that declare none.
	defaultTimeout = 30 * time.Second
	// plainCost is the least weight of a request in its client account's turn, and that of one that names no tokens.
	plainCost = willowwick.Tokens(100)
	// promptPerOutput is how many tokens of a prompt cost an endpoint as much as one of the answer.
	promptPerOutput = 4
	// noModel stands for the model of a request that does not go through the cascade.
	noModel = -1
)

type (
	// call is one request of a caller on its way.
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

		arrived  time.Time
		deadline time.Time
		model    int // index in the route's models, or noModel
		choice   releaseChoice

		yields  bool      // it leaves what limited endpoints take to more urgent requests
		denials int       // permits that it was denied
		endedAt time.Time // of its last send
		sends   int       // times it was sent, whatever came of it
		runs    int       // endpoints that may have run it
		exclude map[willowwick.EndpointID]bool
		missed  map[willowwick.HallID]int // endpoints of the hall that were not where the list says; nil if there were none
		resumed string                    // last event that went out
		pace    pace
		failure *failedAnswer

		identity *willowwick.Fingerprint // nil until it was asked for
		trial    willowwick.ReleaseID    // the request ended endpoints, and is tried on this release
	}

	// pace is how the answer has gone out to the caller so far.
	pace struct {
		firstAt time.Time     // its first event; zero before, and for answers that are no stream
		lastAt  time.Time     // its newest event
		pause   time.Duration // measured length: the longest between two events
	}

	// failedAnswer is a whole answer of an endpoint with a status of 500 or more.
	failedAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// begin checks a request and reads its body; a refusal is written by the caller.
func (x *Router) begin(out *reply, r *http.Request, arrived time.Time) (*call, *willowwick.Refusal) {
	head, err := x.codec.DecodeRequest(r.Header, arrived)
	out.id = head.ID
	if err != nil {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, "header", "%v", err)
	}
	t := x.table.Load()
	if t == nil {
		return nil, willowwick.NotRun(willowwick.CodeStaleConfiguration, arrived.Add(comeBackLater), "no configuration is known yet")
	}
	target, path := requestTarget(r)
	c := &call{
		router: x, out: out, head: head, table: t, arrived: arrived, model: noModel,
		message: wire.Message{Method: r.Method, Target: target, Host: r.Host, Header: r.Header},
		exclude: map[willowwick.EndpointID]bool{}, resumed: head.ResumeAfter,
	}
	if refusal := c.admit(path); refusal != nil {
		return nil, x.unlessStale(refusal, t, arrived)
	}
	if head.ID == "" {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, "id", "the request has no id")
	}
	if refusal := c.readBody(r); refusal != nil {
		return nil, x.unlessStale(refusal, t, arrived)
	}
	c.plan()
	c.yields = x.shortages.mustYield(c.service, urgency(c.route, c.account), arrived)
	if refusal := c.refuseHarmful(arrived); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// admit finds the request's route and client account in the configuration.
func (c *call) admit(path string) *willowwick.Refusal {
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
	return refusal.TemporaryIfStale(isStale, now.Add(comeBackLater))
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
		limit = defaultBodyBytes
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
func (c *call) plan() {
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
		c.model = 0
	}
	wire.StripHop(c.message.Header)
	delete(c.message.Header, "Content-Length")
	delete(c.message.Header, "Expect")
	c.router.budget(c.service).Request(c.arrived)
}

// sessionText names what should stay on one release: the session, or the request if it has none.
func (c *call) sessionText() string {
	if c.head.Session != "" {
		return string(c.head.Session)
	}
	return string(c.head.ID)
}

// run sends the request until it is answered or given up.
func (c *call) run() {
	for {
		ticket, refusal := c.enter()
		if refusal != nil {
			c.noteShortage(refusal)
			c.giveUp(refusal)
			return
		}
		if c.isHarmful() {
			ticket.Done(route.OutcomeCancelled)
			c.giveUp(quarantine.Refusal())
			return
		}
		if !c.obtainPermit(ticket) {
			ticket.Done(route.OutcomeCancelled)
			c.denials++
			continue
		}
		c.sends++
		result := c.sendOnce(ticket)
		c.endedAt = clock.Now()
		if result.kind == answered || result.kind == callerLeft {
			return
		}
		if !c.mayGoOn(result) {
			c.giveUp(result.refusal(c))
			return
		}
		if result.kind == notRun && c.mustAwaitRoom(c.endedAt) {
			sleep(c.ctx, tryAgainAfter)
		}
	}
}

// enter takes a place at an endpoint.
func (c *call) enter() (*gate.Ticket, *willowwick.Refusal) {
	now := clock.Now()
	// Roll-outs may have begun or ended since the send before.
	c.choice = c.router.releases.choose(c.service, c.sessionText(), now, c.deadline)
	c.choice.only = c.trial
	until := c.deadline
	if c.sends == 0 || c.hasOnlyUnavailableLeft(now) || c.isShort(now) {
		until = earliest(until, now.Add(scale(c.route.Goal, queueShare)))
	}
	work := c.work()
	return c.router.gate.Enter(c.ctx, gate.Wish{
		Work: string(c.service), Account: c.accountName(), Weight: 1, Cost: c.cost(), Deadline: until,
		Acquire: func(now time.Time) (*route.Place, bool) {
			place, known := c.acquire(now, work, c.choice.allows)
			if place == nil && !known && c.choice.release != "" {
				return c.acquire(now, work, c.choice.otherwise)
			}
			return place, known
		},
		Hopeless: c.isHopeless,
	})
}

// acquire takes a place at an endpoint that is allowed, in a hall that the request has not missed where there is one.
func (c *call) acquire(now time.Time, work route.Work, allow func(willowwick.Endpoint) bool) (*route.Place, bool) {
	if c.avoidsLimits() {
		allowed := allow
		allow = func(endpoint willowwick.Endpoint) bool {
			return allowed(endpoint) && !c.router.isLimited(now, endpoint)
		}
	}
	if len(c.missed) > 0 {
		there := func(endpoint willowwick.Endpoint) bool {
			return c.missed[endpoint.Hall] < missesOfHall && allow(endpoint)
		}
		if place, _ := c.router.pool.AcquireAllowed(now, c.service, work, c.exclude, there); place != nil {
			return place, true
		}
	}
	return c.router.pool.AcquireAllowed(now, c.service, work, c.excluded(now), allow)
}

// noteMiss notes that an endpoint was not where the list says.
func (c *call) noteMiss(endpoint willowwick.Endpoint) {
	if c.missed == nil {
		c.missed = map[willowwick.HallID]int{}
	}
	c.missed[endpoint.Hall]++
}

// work is what the request asks of an endpoint's model.
func (c *call) work() route.Work {
	if !c.route.Affinity {
		return route.Work{}
	}
	return route.Work{Model: c.askedModel(), Prompt: c.head.Prompt}
}

// askedModel is the model that is asked now: the cascade's choice, or the caller's.
func (c *call) askedModel() willowwick.ModelID {
	if c.model == noModel {
		return c.head.Model
	}
	return c.route.Models[c.model]
}

func (c *call) accountName() willowwick.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// fingerprint names the request's content. It is taken only where it is needed: bodies are large, and on a calm day nobody asks.
func (c *call) fingerprint() willowwick.Fingerprint {
	if c.identity == nil {
		identity := c.takeFingerprint()
		c.identity = &identity
	}
	return *c.identity
}

// takeFingerprint is fingerprint for other goroutines than the call's own.
func (c *call) takeFingerprint() willowwick.Fingerprint {
	return willowwick.FingerprintOf(c.accountName(), c.message.Method, c.message.Host, c.message.Target, c.message.Body)
}

func (c *call) cost() willowwick.Tokens {
	return max(c.head.PromptTokens/promptPerOutput+c.head.MaxTokens, plainCost)
}

// mayGoOn decides whether the request is sent again after a send that brought no answer.
func (c *call) mayGoOn(result sendResult) bool {
	now := clock.Now()
	if c.ctx.Err() != nil || c.sends >= maxSends || !now.Before(c.deadline) {
		return false
	}
	switch result.kind {
	case notSent, unreached, escalated, withheld:
		return true // for an escalation the budget was asked before the answer was dropped
	case notRun:
		return c.mayAwaitRoom(now) && c.router.takeRepeat(c, route.RepeatFailover, now)
	default:
		return c.trial == "" && c.mayRunAgain() && c.router.takeRepeat(c, route.RepeatFailover, now)
	}
}

// mustAwaitRoom reports whether every endpoint that takes requests has turned this one away: a moment passes before it goes to one of
// them again, in which places come free.
func (c *call) mustAwaitRoom(now time.Time) bool {
	pool, allowed := c.router.pool, c.allowed()
	_, isShort := pool.AllUnavailable(now, c.service, allowed)
	return !isShort && pool.NoneLeft(now, c.service, c.exclude, allowed)
}

// mayAwaitRoom reports whether there is time for that where it is needed: a request that nothing has run yet is refused where its caller
// would wait too long.
func (c *call) mayAwaitRoom(now time.Time) bool {
	until := c.arrived.Add(scale(c.route.Goal, queueShare))
	return c.runs > 0 || now.Add(tryAgainAfter).Before(until) || !c.mustAwaitRoom(now)
}

// mayRunAgain reports whether one more endpoint may run the request.
func (c *call) mayRunAgain() bool {
	if c.out.begun && !c.route.Resumable {
		return false
	}
	return c.route.Repeatable && c.runs < c.route.MaxRuns
}

// giveUp ends a request that no endpoint has answered.
func (c *call) giveUp(refusal *willowwick.Refusal) {
	if c.ctx.Err() != nil && !c.timeIsUp() {
		c.router.metrics.outcome("caller_left")
		c.logEnd("caller left", 0)
		return
	}
	switch {
	case c.out.begun:
		c.router.metrics.outcome("cut")
		c.logEnd("answer cut off", 0, "cause", refusal.Message)
		c.out.abort()
	case c.failure != nil:
		c.router.metrics.outcome("endpoint_failed")
		c.logEnd("endpoint's failure passed on", c.failure.status)
		c.out.passFailure(c.failure)
	default:
		if c.runs > 0 && refusal.Kind == willowwick.KindNotRun {
			refusal = willowwick.OutcomeUnknown(refusal.Code, "an endpoint may have run it; %s", refusal.Message)
		}
		c.router.refuse(c.out, refusal)
		c.logEnd("refused", statusOf(refusal), "cause", refusal.Message, "code", refusal.Code)
	}
}

func (c *call) timeIsUp() bool {
	return errors.Is(c.ctx.Err(), context.DeadlineExceeded) || !clock.Now().Before(c.deadline)
}

// note takes the time of an event that goes out.
func (p *pace) note(now time.Time) {
	if p.firstAt.IsZero() {
		p.firstAt = now
	} else {
		p.pause = max(p.pause, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// logEnd writes the last line about a request.
func (c *call) logEnd(what string, status int, more ...any) {
	attributes := append([]any{
		"request", c.head.ID, "session", c.head.Session, "route", c.route.Name, "service", c.service, "status", status,
		"sends", c.sends, "runs", c.runs, "ms", clock.Since(c.arrived).Milliseconds(), "config", c.table.Version,
		"goal_ms", c.route.Goal.Milliseconds(),
	}, more...)
	if !c.pace.firstAt.IsZero() {
		attributes = append(attributes, "first_ms", c.pace.firstAt.Sub(c.arrived).Milliseconds(),
			"pause_ms", c.pace.pause.Milliseconds(), "pause_goal_ms", c.route.GapGoal.Milliseconds())
	}
	if c.model != noModel {
		attributes = append(attributes, "stage", c.model+1, "stages", len(c.route.Models))
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
