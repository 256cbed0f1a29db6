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
	isolatedAfter = 10 * time.Second // see Daemon.isIsolated
	// configPropagationLimit is the time within which a change is promised to be in force on all boxes, of which there may be
	// 390.
	configPropagationLimit = 16 * time.Second
	isolatedRetryDelay     = 2 * time.Second
	claimRetryDelay        = time.Second
	stoppingRetryDelay     = time.Second
	backlogRetryDelay      = 10 * time.Second
	maxClaimAge            = fleet.ClaimWindow / 2
	defaultPassThreshold   = willowwick.Score(0.5)
	rateTimeout            = 3 * time.Second
	platformTimeout        = 3 * time.Second
)

type (
	// run is the state of one chat request in the daemon.
	run struct {
		content     *content
		daemon      *Daemon
		request     *willowwick.Request
		revision    *config.Revision
		account     *config.ClientAccount
		plan        route.Plan
		trace       *Trace
		token       sessionToken
		prompt      string
		prefix      uint64
		calls       int  // attempts sent so far, over all stages
		sent        bool // some endpoint may have started to run the request
		billed      bool
		quality     float64 // expected quality of the answer, valid if rated
		rated       bool
		willBeRated bool // the current call's answer is rated before use
		usage       willowwick.Usage
		cost        willowwick.MicroUnits
	}

	// Answer is a streamed answer in progress; Close must be called.
	Answer struct {
		Request      willowwick.RequestID
		Version      willowwick.VersionID
		SessionToken string

		run    *run
		source chunkSource
		first  *willowwick.Chunk
		finish func()
	}

	// chunkSource returns the chunks of an answer in order, up to the one with a finish reason or a refusal.
	chunkSource interface {
		next() (willowwick.Chunk, *willowwick.Refusal)
		close()
	}

	// collectedAnswer is a complete answer in memory.
	collectedAnswer struct {
		chunks []willowwick.Chunk
	}

	// stageAnswer is the complete answer of a cheaper stage.
	stageAnswer struct {
		version willowwick.VersionID
		chunks  []willowwick.Chunk
	}
)

// Complete starts the answer of a chat request, or returns a refusal.
func (d *Daemon) Complete(ctx context.Context, request *willowwick.Request, token string) (*Answer, *willowwick.Refusal) {
	ctx, cancel := clock.WithDeadline(ctx, request.Deadline)
	r, refusal := d.newRun(request, token)
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
		r.releaseClaim(ctx)
		d.limiter.Refund(request.Account, request.EstimatedTokens())
		cancel()
		return nil, refusal
	}
	answer.finish = cancel
	return answer, nil
}

// newRun makes the checks that need no reservation of the request's idempotency key, plans the stages, and charges the
// request to the rate limit of its client account.
func (d *Daemon) newRun(request *willowwick.Request, token string) (*run, *willowwick.Refusal) {
	now := clock.Now()
	revision := d.node.Follower.Revision()
	if refusal := d.checkServing(now); refusal != nil {
		return nil, refusal
	}
	account, ok := revision.Account(request.Account)
	if !ok {
		refusal := willowwick.Invalid(willowwick.CodeBadKey, "Authorization", "the client account is no longer declared")
		return nil, d.temporaryIfStale(refusal, revision, now)
	}
	r := &run{
		daemon: d, request: request, revision: revision, account: account,
		prompt: willowwick.PromptText(request.Messages),
		trace:  d.traces.start(d.settings.Box, request.ID, request.Account, request.Target),
	}
	r.prefix = prefixHash(request.Messages)
	r.content = chatContent(request)
	r.token = sessionToken{Account: request.Account, Versions: map[willowwick.ModelID]willowwick.VersionID{}}
	if known, ok := d.sessions.read(token, request.Account, now); ok {
		r.token = known
	}
	plan, refusal := route.MakePlan(revision, request, now)
	if refusal != nil {
		return nil, d.temporaryIfStale(refusal, revision, now)
	}
	if plan.Failure != nil {
		d.metrics.policyFailures.Inc()
		r.trace.add("policy", "failed, using the default cascade: %v", plan.Failure)
	}
	r.plan = plan
	r.trace.add("plan", "rule %q, cascade %q, stages %v", plan.Rule, plan.Cascade, plan.Stages)
	if limit, ok := revision.Limit(request.Account); ok {
		if retryAt, ok := d.limiter.Take(now, request.Account, limit, request.EstimatedTokens()); !ok {
			return nil, willowwick.NotRun(willowwick.CodeRateLimited, retryAt, "client account %q is at its rate limit", request.Account)
		}
	}
	return r, nil
}

// checkServing returns a refusal if this box must not start new requests now.
func (d *Daemon) checkServing(now time.Time) *willowwick.Refusal {
	switch {
	case d.node.Follower.Revision().Offset == 0:
		return willowwick.NotRun(willowwick.CodeStaleConfiguration, now.Add(isolatedRetryDelay), "this box has no configuration yet")
	case d.isIsolated(now):
		return willowwick.NotRun(willowwick.CodeStaleConfiguration, now.Add(isolatedRetryDelay), "this box reaches neither the log nor half of the fleet")
	case d.isRefusing():
		return stoppingRefusal(now)
	case d.node.Usage.IsFull():
		return willowwick.NotRun(willowwick.CodeUsageBacklog, now.Add(backlogRetryDelay), "the log is unavailable and the backlog of usage records is full")
	}
	return nil
}

// stoppingRefusal returns the refusal of a request that a stopping box doesn't send.
func stoppingRefusal(now time.Time) *willowwick.Refusal {
	return willowwick.NotRun(willowwick.CodeStopping, now.Add(stoppingRetryDelay), "this box is stopping")
}

// correctIfStopped returns the refusal of a call that was ended because this box stops: what ends a call only knows that its context is
// done, and blames the deadline. A caller that is told so gives up, where another box may serve it at once.
func (d *Daemon) correctIfStopped(refusal *willowwick.Refusal, deadline time.Time) *willowwick.Refusal {
	now := clock.Now()
	switch {
	case refusal.Code != willowwick.CodeDeadline || d.ending.Err() == nil || !now.Before(deadline):
		return refusal
	case refusal.Kind == willowwick.KindNotRun:
		return stoppingRefusal(now)
	default:
		return willowwick.Failed(willowwick.CodeCutOff, "this box stopped before the answer was complete")
	}
}

// temporaryIfStale turns a permanent refusal into a temporary one if a newer configuration may already be in force. Contact
// with other boxes doesn't count: they may know no more, or be cut off together with this one. The age is read
// before the current revision, so that a revision that comes into force in between can't make an older one seem up to date.
func (d *Daemon) temporaryIfStale(refusal *willowwick.Refusal, revision *config.Revision, now time.Time) *willowwick.Refusal {
	isStale := now.Sub(d.node.Follower.ConfirmedAt()) > configPropagationLimit || d.node.Follower.Revision() != revision
	return refusal.TemporaryIfStale(isStale, now.Add(isolatedRetryDelay))
}

// claim reserves the request's idempotency key across the fleet.
func (r *run) claim(ctx context.Context) *willowwick.Refusal {
	if r.request.IdempotencyKey == "" {
		return nil
	}
	return r.daemon.claimKey(ctx, claimKeyOf(r.request.Account, "chat", r.request.IdempotencyKey), r.request.ID)
}

func (r *run) releaseClaim(ctx context.Context) {
	if r.request.IdempotencyKey != "" && !r.sent {
		r.daemon.node.ReleaseClaim(ctx, claimKeyOf(r.request.Account, "chat", r.request.IdempotencyKey), r.request.ID)
	}
}

// claimKeyOf returns the registry key of a claim. It ends in the caller's key, because the registry uses the time in it if
// that is a version 7 UUID.
func claimKeyOf(account willowwick.AccountID, scope, key string) string {
	return "claim/" + string(account) + "/" + scope + "/" + key
}

// claimKey reserves a key; a reservation that took longer than maxClaimAge counts as unavailable.
func (d *Daemon) claimKey(ctx context.Context, key string, id willowwick.RequestID) *willowwick.Refusal {
	started := clock.Now()
	status := d.node.Claim(ctx, key, id)
	if status == fleet.ClaimGranted && clock.Since(started) > maxClaimAge {
		status = fleet.ClaimUnavailable
	}
	switch status {
	case fleet.ClaimGranted:
		return nil
	case fleet.ClaimHeld:
		return willowwick.OutcomeUnknown(willowwick.CodeDuplicate, "a request with this idempotency key was accepted before; this one was not run")
	case fleet.ClaimUnknown:
		return willowwick.OutcomeUnknown(willowwick.CodeClaimUnavailable, "a request with this idempotency key may have run before; this one was not run")
	default:
		return willowwick.NotRun(willowwick.CodeClaimUnavailable, clock.Now().Add(claimRetryDelay), "the idempotency key cannot be reserved at the moment")
	}
}

// stream opens an answer that is streamed to the caller, and waits for its first chunk.
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

func (r *run) answerOf(c *stageAnswer) *Answer {
	return r.newAnswer(c.version, &collectedAnswer{chunks: c.chunks})
}

func (r *run) newAnswer(version willowwick.VersionID, source chunkSource) *Answer {
	answer := &Answer{Request: r.request.ID, Version: version, run: r, source: source, finish: func() {}}
	if r.request.Session != "" || len(r.token.Versions) > 0 {
		if declared, ok := r.revision.Version(version); ok {
			r.token.Versions[declared.Model] = version
		}
		r.token.Expires = clock.TimeOfDay().Add(sessionTTL)
		answer.SessionToken = r.daemon.sessions.issue(r.token)
	}
	return answer
}

// Next returns the next chunk, or io.EOF after the last. Before it returns the
// last chunk, it hands the usage record to another box or the log.
func (a *Answer) Next() (willowwick.Chunk, error) {
	if a.source == nil {
		return willowwick.Chunk{}, io.EOF
	}
	chunk, refusal := a.nextChunk()
	if refusal != nil {
		// An incomplete answer is not billed.
		a.run.billed = true
		return chunk, refusal
	}
	if chunk.Finish != "" {
		a.run.recordUsage(a.Version)
		a.source.close()
		a.source = nil
	}
	return chunk, nil
}

func (a *Answer) nextChunk() (willowwick.Chunk, *willowwick.Refusal) {
	if a.first != nil {
		chunk := *a.first
		a.first = nil
		return chunk, nil
	}
	return a.source.next()
}

// Close ends the answer; an answer that the caller did not read to its end is billed for the part generated.
func (a *Answer) Close() {
	if a.source != nil {
		a.source.close()
		a.source = nil
		a.run.recordUsage(a.Version)
	}
	a.finish()
}

// recordUsage records the usage of the request, once.
func (r *run) recordUsage(version willowwick.VersionID) {
	if r.billed {
		return
	}
	r.billed = true
	r.daemon.limiter.Refund(r.request.Account, r.request.EstimatedTokens()-r.usage.Prompt-r.usage.Output)
	r.daemon.node.Usage.Record(context.Background(), willowwick.UsageRecord{
		Request: r.request.ID, Account: r.request.Account, Version: version,
		Prompt: r.usage.Prompt, Output: r.usage.Output, Cost: r.cost, At: clock.TimeOfDay().UTC(),
	})
	r.recordQuality(version)
	r.daemon.metrics.recordAnswer(r.request.Account, version, r.cost)
	r.trace.add("billed", "%d prompt and %d output tokens, %d micro-units", r.usage.Prompt, r.usage.Output, r.cost)
}

// recordQuality reports the expected quality of the answer to the learner.
func (r *run) recordQuality(version willowwick.VersionID) {
	if !r.rated {
		r.quality, r.rated = r.daemon.learner.ExpectedPassRate(r.subject(version))
	}
	if r.rated {
		r.daemon.learner.RecordQuality(r.request.Account, r.quality)
	}
}

func (c *collectedAnswer) next() (willowwick.Chunk, *willowwick.Refusal) {
	if len(c.chunks) == 0 {
		return willowwick.Chunk{}, willowwick.Failed(willowwick.CodeCutOff, "the answer has no more chunks")
	}
	chunk := c.chunks[0]
	c.chunks = c.chunks[1:]
	return chunk, nil
}

func (*collectedAnswer) close() {}
