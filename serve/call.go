package serve

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

const (
	firstChunkStallFactor = 3   // timeout of the first chunk as a multiple of the stall timeout
	prefixBytes           = 256 // number of bytes that prefixHash hashes
)

var (
	errCallerDisconnected = errors.New("the caller disconnected")
	// errVersionNotAllowed makes connect start over with checkAllowed, which returns the refusal.
	errVersionNotAllowed = errors.New("the version may no longer be used")
)

// resumableCall streams the answer of one version, resuming it at other runners if one fails.
//
// Every chunk must have the id of the current attempt and the next position.
// Chunks received before are dropped; a gap, a wrong id, a stall or an end
// without a finish reason fails the attempt, and the answer is resumed at the
// position reached.
type resumableCall struct {
	run          *run
	ctx          context.Context
	version      willowwick.VersionID
	attempts     attempts
	ticket       *gate.Ticket
	stream       willowwick.ChunkStream
	release      func() // releases the stream; cancel cancels its context
	cancel       context.CancelFunc
	id           willowwick.RequestID // of the current attempt
	position     int                  // of the next chunk
	startedAt    time.Time
	firstChunkAt time.Time
	// attemptBeganAt is the time of the first chunk of the current attempt; zero before it.
	attemptBeganAt time.Time
	text           strings.Builder
	isLacking      bool // some runner did not have the version
	closed         bool
	finished       bool // the answer is complete
}

// prefixHash returns the hash of the first bytes of the conversation, whose processing a runner may have cached.
func prefixHash(messages []willowwick.Message) uint64 {
	digest := xxhash.New()
	left := prefixBytes
	for _, m := range messages {
		part := m.Content[:min(left, len(m.Content))]
		_, _ = digest.WriteString(part)
		if left -= len(part); left == 0 {
			break
		}
	}
	return digest.Sum64()
}

// open starts the answer of a version at some runner.
func (r *run) open(ctx context.Context, version willowwick.VersionID) (*resumableCall, *willowwick.Refusal) {
	c := &resumableCall{run: r, ctx: ctx, version: version, attempts: newAttempts(), startedAt: clock.Now()}
	if refusal := c.connect(); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// connect opens the answer at some runner from the position reached.
func (c *resumableCall) connect() *willowwick.Refusal {
	for {
		c.attempts.awaitUpdates(c.ctx)
		if refusal := c.checkAllowed(); refusal != nil {
			return refusal
		}
		if refusal := c.run.daemon.refusePoison(c.run.content, willowwick.ReleaseID(c.version)); refusal != nil {
			return refusal
		}
		ticket, refusal := c.acquireSlot()
		if refusal != nil {
			return c.correctIfLacking(refusal)
		}
		if !c.run.daemon.obtainPermit(c.ctx, ticket, c.attempts.exclude) {
			continue
		}
		err := c.openAt(ticket)
		if err == nil {
			return nil
		}
		if refusal := c.handleOpenError(ticket, err); refusal != nil {
			return refusal
		}
	}
}

// checkAllowed checks with the newest configuration whether the account may still use the version.
func (c *resumableCall) checkAllowed() *willowwick.Refusal {
	revision := c.run.daemon.node.Follower.Revision()
	if revision.IsUsable(c.run.request.Account, c.version) {
		return nil
	}
	if c.position > 0 {
		return willowwick.Failed(willowwick.CodeNoVersion, "version %q was withdrawn while its answer was being resumed", c.version)
	}
	return willowwick.NotRun(willowwick.CodeNoVersion, clock.Now().Add(gate.OverloadRetryDelay), "version %q may no longer be used", c.version)
}

func (c *resumableCall) acquireSlot() (*gate.Ticket, *willowwick.Refusal) {
	r := c.run
	return r.daemon.gate.Enter(c.ctx, gate.Request{
		Work: string(c.version), Account: r.request.Account, Weight: r.account.FairWeight(),
		Cost: r.request.EstimatedTokens(), Deadline: r.request.Deadline,
		Acquire: func(now time.Time) (*route.Slot, bool) {
			return r.daemon.pool.AcquireVersion(now, c.version, r.prefix, c.attempts.exclude)
		},
		Unavailable: func(now time.Time) (route.Shortage, bool) { return r.daemon.pool.VersionUnavailable(now, c.version) },
	})
}

func (c *resumableCall) openAt(acquired *gate.Ticket) error {
	r := c.run
	// The version may have been withdrawn while the request waited in the queue.
	if !r.daemon.node.Follower.Revision().IsUsable(r.request.Account, c.version) {
		return errVersionNotAllowed
	}
	r.calls++
	c.attemptBeganAt = time.Time{}
	c.id = willowwick.RequestID(fmt.Sprintf("%s.%d", r.request.ID, r.calls))
	ctx, cancel := context.WithCancel(c.ctx)
	stalled := time.AfterFunc(firstChunkStallFactor*r.daemon.settings.StallTimeout, cancel)
	defer stalled.Stop()
	stream, release, err := r.daemon.deps.Engine.Open(ctx, willowwick.EngineCall{
		Endpoint: acquired.Endpoint, Request: c.id, Version: c.version, Messages: r.request.Messages,
		MaxTokens: r.request.MaxTokens, Temperature: r.request.Temperature,
		ResumeAt: c.position, Deadline: r.request.Deadline, OnNotice: r.daemon.onNotice(acquired.Endpoint, r.request.ID),
	})
	if err != nil {
		cancel()
		return err
	}
	r.sent = true
	c.ticket, c.stream, c.release, c.cancel = acquired, stream, release, cancel
	r.daemon.pool.Report(stream.Load())
	r.trace.add("sent", "%s to endpoint %s at position %d", c.version, acquired.Endpoint.ID, c.position)
	return nil
}

// handleOpenError gives the slot back after an attempt that could not be opened. It returns nil if the call may be retried.
func (c *resumableCall) handleOpenError(ticket *gate.Ticket, err error) *willowwick.Refusal {
	r := c.run
	endpoint := ticket.Endpoint.ID
	r.trace.add("endpoint", "%s: %v", endpoint, err)
	if err == errVersionNotAllowed {
		ticket.Done(route.OutcomeCancelled)
		return nil
	}
	c.attempts.add(endpoint, err)
	needsBudget := false // whether a retry takes from the retry budget
	switch {
	case errors.Is(err, willowwick.ErrDraining):
		ticket.Done(route.OutcomeCancelled)
	case errors.Is(err, willowwick.ErrVersionNotLoaded):
		ticket.Done(route.OutcomeCancelled)
		c.handleLackingVersion(ticket.Endpoint, err)
	case errors.Is(err, willowwick.ErrNotSent):
		ticket.Done(route.OutcomeFailed)
	case errors.Is(err, willowwick.ErrBusy):
		needsBudget = true
		ticket.Done(route.OutcomeBusy)
	case c.ctx.Err() != nil:
		ticket.Done(route.OutcomeCancelled)
		r.sent = true
		return c.interruptedRefusal()
	default:
		needsBudget = true
		r.sent = true
		ticket.Done(route.OutcomeFailed)
		c.recordFailure(ticket.Endpoint, err)
	}
	if !c.attempts.areExhausted() && (!needsBudget || r.daemon.retries.Take()) {
		r.daemon.metrics.retries.Inc()
		return nil
	}
	if r.sent {
		return willowwick.Failed(willowwick.CodeEndpointError, "no endpoint gave a complete answer of version %q", c.version)
	}
	return c.correctIfLacking(willowwick.NotRun(willowwick.CodeNoEndpoint, clock.Now().Add(gate.OverloadRetryDelay), "no endpoint accepted the request"))
}

// handleLackingVersion learns whether the version was withdrawn, which runners may know before this box. If not, the
// refusal is evidence against the version.
func (c *resumableCall) handleLackingVersion(endpoint willowwick.Endpoint, err error) {
	c.isLacking = true
	c.run.daemon.config.refresh(c.ctx)
	if c.checkAllowed() == nil {
		c.recordFailure(endpoint, err)
	}
}

// correctIfLacking returns the refusal of a request that found no runner: for another reason if runners lack the version.
func (c *resumableCall) correctIfLacking(refusal *willowwick.Refusal) *willowwick.Refusal {
	if !c.isLacking || refusal.Code != willowwick.CodeNoEndpoint {
		return refusal
	}
	return willowwick.NotRun(willowwick.CodeNoVersion, clock.Now().Add(gate.OverloadRetryDelay), "no endpoint has version %q", c.version)
}

// interruptedRefusal returns the refusal for a call whose context has ended: its deadline has passed, or its caller has disconnected.
// See Daemon.correctIfStopped.
func (c *resumableCall) interruptedRefusal() *willowwick.Refusal {
	if c.ctx.Err() == context.DeadlineExceeded {
		return willowwick.Failed(willowwick.CodeDeadline, "the deadline passed before the answer was complete")
	}
	return willowwick.Failed(willowwick.CodeDeadline, "%s", errCallerDisconnected.Error())
}

// next returns the next chunk of the answer, resuming the answer at another runner if the current one fails.
func (c *resumableCall) next() (willowwick.Chunk, *willowwick.Refusal) {
	for {
		chunk, err := c.receive()
		if err == nil {
			if chunk.Position < c.position {
				c.run.daemon.metrics.repeatedChunks.Inc()
				continue
			}
			c.accept(chunk)
			return chunk, nil
		}
		if refusal := c.resume(err); refusal != nil {
			return chunk, refusal
		}
	}
}

// receive reads one chunk and checks that it belongs to this attempt and leaves no gap.
func (c *resumableCall) receive() (willowwick.Chunk, error) {
	limit := c.run.daemon.settings.StallTimeout
	if c.firstChunkAt.IsZero() {
		limit *= firstChunkStallFactor
	}
	stalled := time.AfterFunc(limit, c.cancel)
	chunk, err := c.stream.Next()
	stalled.Stop()
	switch {
	case err == io.EOF:
		return chunk, errors.Wrap(willowwick.ErrBroken, "stream ended without a finish reason")
	case err != nil:
		return chunk, err
	case chunk.Request != c.id:
		return chunk, errors.Wrapf(willowwick.ErrBroken, "chunk belongs to request %q", chunk.Request)
	case chunk.Position > c.position:
		return chunk, errors.Wrapf(willowwick.ErrBroken, "position %d follows %d", chunk.Position, c.position-1)
	}
	return chunk, nil
}

// accept advances the position past the chunk, and completes the call if it is the last.
func (c *resumableCall) accept(chunk willowwick.Chunk) {
	if c.firstChunkAt.IsZero() {
		c.firstChunkAt = clock.Now()
		c.run.daemon.metrics.firstToken.UpdateDuration(c.startedAt)
	}
	if c.attemptBeganAt.IsZero() {
		c.attemptBeganAt = clock.Now()
	}
	c.position++
	c.text.WriteString(chunk.Text)
	if chunk.Finish != "" {
		c.complete(chunk)
	}
}

// resume continues a failed answer at another runner.
func (c *resumableCall) resume(err error) *willowwick.Refusal {
	r := c.run
	r.trace.add("broken", "%s at position %d: %v", c.ticket.Endpoint.ID, c.position, err)
	endpoint := c.ticket.Endpoint
	c.disconnect(route.OutcomeFailed)
	if c.ctx.Err() != nil {
		return c.interruptedRefusal()
	}
	r.daemon.metrics.resumes.Inc()
	c.attempts.add(endpoint.ID, willowwick.ErrBroken)
	c.recordFailure(endpoint, err)
	if c.attempts.areExhausted() || !r.daemon.retries.Take() {
		return willowwick.Failed(willowwick.CodeCutOff, "the answer was cut off and could not be resumed")
	}
	if refusal := c.connect(); refusal != nil {
		return willowwick.Failed(willowwick.CodeCutOff, "the answer was cut off and could not be resumed: %s", refusal.Message)
	}
	return nil
}

// recordFailure counts a failed attempt as evidence against the version; a crash of an endpoint counts once, however
// many requests the endpoint was running.
func (c *resumableCall) recordFailure(endpoint willowwick.Endpoint, err error) {
	r := c.run
	if r.daemon.recordFailure(c.ctx, r.content, endpoint, willowwick.ReleaseID(c.version), c.attemptBeganAt, err) {
		r.daemon.versionWatcher.add(c.version, rollout.Evidence{Requests: 1, Errors: 1})
	}
}

// disconnect cancels the call at the current runner and gives its slot back.
func (c *resumableCall) disconnect(outcome route.Outcome) {
	if c.ticket == nil {
		return
	}
	c.attempts.exclude[c.ticket.Endpoint.ID] = outcome == route.OutcomeFailed
	c.cancel()
	c.release()
	c.ticket.Done(outcome)
	c.ticket = nil
}

// complete charges a complete answer, records it as evidence on the version, and disconnects from the runner.
func (c *resumableCall) complete(last willowwick.Chunk) {
	c.finished = true
	r := c.run
	usage := willowwick.Usage{Prompt: r.request.PromptTokens, Output: willowwick.EstimateTokens(c.text.String())}
	if last.Usage != nil {
		usage = *last.Usage
	}
	c.charge(usage)
	now := clock.Now()
	slow := c.isSlow(now, usage.Output)
	seen := rollout.Evidence{Requests: 1}
	outcome := route.OutcomeGood
	if slow {
		seen.Slow, outcome = 1, route.OutcomeSlow
	}
	r.daemon.versionWatcher.add(c.version, seen)
	r.daemon.recordCompleted(r.content, c.ticket.Endpoint.ID, c.attemptBeganAt)
	r.daemon.retries.Succeeded()
	r.daemon.learner.RecordDuration(r.subject(c.version), now.Sub(c.startedAt))
	r.daemon.metrics.wholeAnswer.UpdateDuration(c.startedAt)
	c.disconnect(outcome)
	r.daemon.sampleRating(r, c.version, c.text.String())
}

func (c *resumableCall) isSlow(now time.Time, output willowwick.Tokens) bool {
	settings := c.run.daemon.settings
	if c.firstChunkAt.Sub(c.startedAt) > settings.SlowFirstToken {
		return true
	}
	return output > 1 && now.Sub(c.firstChunkAt)/time.Duration(output-1) > settings.SlowTokenGap
}

// charge adds usage and its cost to the request's bill.
func (c *resumableCall) charge(usage willowwick.Usage) {
	r := c.run
	r.usage.Prompt += usage.Prompt
	r.usage.Output += usage.Output
	if declared, ok := r.daemon.node.Follower.Revision().Version(c.version); ok {
		r.cost += declared.Price.Cost(usage.Prompt, usage.Output)
	}
}

// close disconnects from the runner; an incomplete answer is charged by its estimated length so far.
func (c *resumableCall) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.disconnect(route.OutcomeCancelled)
	if !c.finished {
		c.charge(willowwick.Usage{Prompt: c.run.request.PromptTokens, Output: willowwick.EstimateTokens(c.text.String())})
	}
}
