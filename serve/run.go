package serve

import (
	"context"
	"io"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/route"
)

const (
	isolatedAfter = 10 * time.Second
	// inForceWithin is within what time operators are promised a change in force on all boxes, at 390 of them.
	inForceWithin   = 16 * time.Second
	isolatedRetry   = 2 * time.Second
	claimRetry      = time.Second
	stoppingRetry   = time.Second
	backlogRetry    = 10 * time.Second
	claimFreshFor   = fleet.ClaimWindow / 2
	defaultPass     = willowwick.Score(0.5)
	rateWait        = 3 * time.Second
	platformTimeout = 3 * time.Second
)

type (
	// run is one chat request on its way through the daemon.
	run struct {
		content  *content
		daemon   *Daemon
		request  *willowwick.Request
		revision *config.Revision
		account  *config.ClientAccount
		plan     route.Plan
		trace    *Trace
		token    sessionToken
		prompt   string
		prefix   uint64
		calls    int
		sent     bool // some endpoint may have begun the work
		billed   bool
		quality  float64 // expected of the answer, if rated
		rated    bool
		judging  bool // the answer under way will be judged
		usage    willowwick.Usage
		cost     willowwick.MicroUnits
	}

	// Answer is an answer under way; Close must be called.
	Answer struct {
		Request      willowwick.RequestID
		Version      willowwick.VersionID
		SessionToken string

		run    *run
		source chunkSource
		first  *willowwick.Chunk
		finish func()
	}

	// chunkSource yields chunks in order, whole or with an error.
	chunkSource interface {
		next() (willowwick.Chunk, *willowwick.Refusal)
		close()
	}

	// collected is an answer that is all there.
	collected struct {
		chunks []willowwick.Chunk
	}

	// candidate is a judged answer of a cheaper model.
	candidate struct {
		version willowwick.VersionID
		chunks  []willowwick.Chunk
	}
)

// Complete answers a chat request, or says why not.
func (d *Daemon) Complete(ctx context.Context, request *willowwick.Request, token string) (*Answer, *willowwick.Refusal) {
	ctx, cancel := clock.WithDeadline(ctx, request.Deadline)
	r, refusal := d.beginRun(request, token)
	if refusal == nil {
		refusal = r.claim(ctx)
	}
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	answer, refusal := r.cascade(ctx)
	if refusal != nil {
		r.trace.add("refused", "%s", refusal.Error())
		r.unclaim(ctx)
		d.limiter.Refund(request.Account, request.EstimatedTokens())
		cancel()
		return nil, refusal
	}
	answer.finish = cancel
	return answer, nil
}

// beginRun checks what can be known before anything is reserved.
func (d *Daemon) beginRun(request *willowwick.Request, token string) (*run, *willowwick.Refusal) {
	now := clock.Now()
	revision := d.node.Follower.Revision()
	if refusal := d.mayServe(now); refusal != nil {
		return nil, refusal
	}
	account, ok := revision.Account(request.Account)
	if !ok {
		refusal := willowwick.Invalid(willowwick.CodeBadKey, "Authorization", "the client account is not declared any more")
		return nil, d.unlessStale(refusal, revision, now)
	}
	r := &run{
		daemon: d, request: request, revision: revision, account: account,
		prompt: willowwick.PromptText(request.Messages),
		trace:  d.traces.begin(d.settings.Box, request.ID, request.Account, request.Target),
	}
	r.prefix = prefixHash(request.Messages)
	r.content = contentOf(request)
	r.token = sessionToken{Account: request.Account, Versions: map[willowwick.ModelID]willowwick.VersionID{}}
	if known, ok := d.sessions.read(token, request.Account, now); ok {
		r.token = known
	}
	plan, refusal := route.MakePlan(revision, request, now)
	if refusal != nil {
		return nil, d.unlessStale(refusal, revision, now)
	}
	if plan.Failure != nil {
		d.metrics.policyFailures.Inc()
		r.trace.add("policy", "failed, the default cascade is used: %v", plan.Failure)
	}
	r.plan = plan
	r.trace.add("plan", "rule %q, cascade %q, stages %v", plan.Rule, plan.Cascade, plan.Stages)
	if limit, ok := revision.Limit(request.Account); ok {
		if retryAt, ok := d.limiter.Take(now, request.Account, limit, request.EstimatedTokens()); !ok {
			return nil, willowwick.NotRun(willowwick.CodeRateLimited, retryAt, "client account %q is at its limit", request.Account)
		}
	}
	return r, nil
}

// mayServe refuses what this box must not begin now.
func (d *Daemon) mayServe(now time.Time) *willowwick.Refusal {
	switch {
	case d.node.Follower.Revision().Offset == 0:
		return willowwick.NotRun(willowwick.CodeStale, now.Add(isolatedRetry), "this box has no configuration yet")
	case d.isIsolated(now):
		return willowwick.NotRun(willowwick.CodeStale, now.Add(isolatedRetry), "this box reaches neither the log nor half of the fleet")
	case d.isRefusing():
		return willowwick.NotRun(willowwick.CodeStopping, now.Add(stoppingRetry), "this box is stopping")
	case d.node.Usage.IsFull():
		return willowwick.NotRun(willowwick.CodeUsageBacklog, now.Add(backlogRetry), "usage cannot be billed while the log is down; the backlog is full")
	}
	return nil
}

// unlessStale refuses for good what a configuration does not hold, unless another one may have to be in force by now. Boxes in
// touch are no excuse here: they may know no more, or be cut off with this one. The age is taken before the
// configuration: one that comes into force in between makes no older one up to date.
func (d *Daemon) unlessStale(refusal *willowwick.Refusal, revision *config.Revision, now time.Time) *willowwick.Refusal {
	isStale := now.Sub(d.node.Follower.ConfirmedAt()) > inForceWithin || d.node.Follower.Revision() != revision
	return refusal.UnlessStale(isStale, now.Add(isolatedRetry))
}

// claim reserves the request's idempotency key over the whole fleet.
func (r *run) claim(ctx context.Context) *willowwick.Refusal {
	if r.request.IdempotencyKey == "" {
		return nil
	}
	return r.daemon.claimKey(ctx, claimKeyOf(r.request.Account, "chat", r.request.IdempotencyKey), r.request.ID)
}

func (r *run) unclaim(ctx context.Context) {
	if r.request.IdempotencyKey != "" && !r.sent {
		r.daemon.node.ReleaseClaim(ctx, claimKeyOf(r.request.Account, "chat", r.request.IdempotencyKey), r.request.ID)
	}
}

// claimKeyOf ends in the caller's own key, whose time may matter.
func claimKeyOf(account willowwick.AccountID, scope, key string) string {
	return "claim/" + string(account) + "/" + scope + "/" + key
}

// claimKey reserves a key, and makes sure that the reservation is still young when it returns.
func (d *Daemon) claimKey(ctx context.Context, key string, id willowwick.RequestID) *willowwick.Refusal {
	begun := clock.Now()
	status := d.node.Claim(ctx, key, id)
	if status == fleet.ClaimGranted && clock.Since(begun) > claimFreshFor {
		status = fleet.ClaimUnavailable
	}
	switch status {
	case fleet.ClaimGranted:
		return nil
	case fleet.ClaimHeld:
		return willowwick.OutcomeUnknown(willowwick.CodeDuplicate, "a request with this idempotency key was taken on before; this one was not run")
	case fleet.ClaimUnknown:
		return willowwick.OutcomeUnknown(willowwick.CodeClaim, "whether a request with this idempotency key ran before is not known; this one was not run")
	default:
		return willowwick.NotRun(willowwick.CodeClaim, clock.Now().Add(claimRetry), "the idempotency key cannot be reserved just now")
	}
}

// stream opens the answer that goes to the caller as it comes; its first chunk is there when it returns.
func (r *run) stream(ctx context.Context, version willowwick.VersionID) (*Answer, *willowwick.Refusal) {
	call, refusal := r.open(ctx, version)
	if refusal != nil {
		return nil, refusal
	}
	first, refusal := call.next()
	if refusal != nil {
		call.close()
		return nil, refusal
	}
	answer := r.newAnswer(version, call)
	answer.first = &first
	return answer, nil
}

func (r *run) answerOf(c *candidate) *Answer {
	return r.newAnswer(c.version, &collected{chunks: c.chunks})
}

func (r *run) newAnswer(version willowwick.VersionID, source chunkSource) *Answer {
	answer := &Answer{Request: r.request.ID, Version: version, run: r, source: source, finish: func() {}}
	if r.request.Session != "" || len(r.token.Versions) > 0 {
		if declared, ok := r.revision.Version(version); ok {
			r.token.Versions[declared.Model] = version
		}
		r.token.Expires = clock.TimeOfDay().Add(sessionFor)
		answer.SessionToken = r.daemon.sessions.issue(r.token)
	}
	return answer
}

// Next returns the next chunk, or io.EOF after the last. The bill is held
// elsewhere before the last chunk is returned.
func (a *Answer) Next() (willowwick.Chunk, error) {
	if a.source == nil {
		return willowwick.Chunk{}, io.EOF
	}
	chunk, refusal := a.take()
	if refusal != nil {
		// What did not come whole is not billed.
		a.run.billed = true
		return chunk, refusal
	}
	if chunk.Finish != "" {
		a.run.bill(a.Version)
		a.source.close()
		a.source = nil
	}
	return chunk, nil
}

func (a *Answer) take() (willowwick.Chunk, *willowwick.Refusal) {
	if a.first != nil {
		chunk := *a.first
		a.first = nil
		return chunk, nil
	}
	return a.source.next()
}

// Close ends the answer; one that was not taken to its end is billed for what was generated.
func (a *Answer) Close() {
	if a.source != nil {
		a.source.close()
		a.source = nil
		a.run.bill(a.Version)
	}
	a.finish()
}

// bill records the usage of the request, once.
func (r *run) bill(version willowwick.VersionID) {
	if r.billed {
		return
	}
	r.billed = true
	r.daemon.limiter.Refund(r.request.Account, r.request.EstimatedTokens()-r.usage.Prompt-r.usage.Output)
	r.daemon.node.Usage.Record(context.Background(), willowwick.UsageRecord{
		Request: r.request.ID, Account: r.request.Account, Version: version,
		Prompt: r.usage.Prompt, Output: r.usage.Output, Cost: r.cost, At: clock.TimeOfDay().UTC(),
	})
	r.noteQuality(version)
	r.daemon.metrics.answered(r.request.Account, version, r.cost)
	r.trace.add("billed", "%d prompt and %d output tokens, %d micro-units", r.usage.Prompt, r.usage.Output, r.cost)
}

// noteQuality tells the learner how good the answer is expected to be.
func (r *run) noteQuality(version willowwick.VersionID) {
	if !r.rated {
		r.quality, r.rated = r.daemon.learner.Expected(r.subject(version))
	}
	if r.rated {
		r.daemon.learner.Gave(r.request.Account, r.quality)
	}
}

func (c *collected) next() (willowwick.Chunk, *willowwick.Refusal) {
	if len(c.chunks) == 0 {
		return willowwick.Chunk{}, willowwick.Failed(willowwick.CodeCutOff, "the answer has no more chunks")
	}
	chunk := c.chunks[0]
	c.chunks = c.chunks[1:]
	return chunk, nil
}

func (*collected) close() {}
