package serve

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/route"
	goahttp "goa.design/goa/v3/http"
)

const (
	servicePrefix   = "/services/"
	maxServiceReply = 64 << 20
	serviceCallCost = willowwick.Tokens(1)
)

var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

type (
	// serviceRun is the state of one call of a plain service in the daemon.
	serviceRun struct {
		content    *content
		daemon     *Daemon
		request    *willowwick.Request
		account    *config.ClientAccount
		service    willowwick.ServiceID
		call       willowwick.ServiceCall
		trace      *Trace
		repeatable bool
		attempts   attempts
		sent       bool
	}

	// serviceReply is the complete answer of a plain service.
	serviceReply struct {
		status int
		header http.Header
		body   []byte
	}
)

// mountServices adds the plain services to the generated API's mux. They define
// their own methods, statuses and bodies, so net/http serves them directly.
func (d *Daemon) mountServices(mux goahttp.Muxer) {
	for _, method := range serviceMethods {
		mux.Handle(method, servicePrefix+"{service}/{*path}", func(w http.ResponseWriter, r *http.Request) {
			d.serveService(w, r, willowwick.ServiceID(mux.Vars(r)["service"]))
		})
	}
}

func (d *Daemon) serveService(w http.ResponseWriter, r *http.Request, service willowwick.ServiceID) {
	run, refusal := d.newServiceRun(r, service)
	if refusal != nil {
		writeRefusal(w, d.countRefusal(refusal), "")
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), run.request.Deadline)
	defer cancel()
	reply, refusal := run.answer(ctx)
	if refusal != nil {
		refusal = d.correctIfStopped(refusal, run.request.Deadline)
		run.trace.add("refused", "%s", refusal.Error())
		writeRefusal(w, d.countRefusal(refusal), run.request.ID)
		return
	}
	for name, values := range reply.header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderRequestID, string(run.request.ID))
	w.WriteHeader(reply.status)
	_, _ = w.Write(reply.body)
}

// newServiceRun makes the checks that need no reservation of the request's idempotency key.
func (d *Daemon) newServiceRun(r *http.Request, service willowwick.ServiceID) (*serviceRun, *willowwick.Refusal) {
	deadline, refusal := deadlineHeader(r)
	if refusal != nil {
		return nil, refusal
	}
	request, account, refusal := d.authenticate(callerHeaders{
		authorization: headerOf(r, "Authorization"), session: headerOf(r, HeaderSession), deadlineMs: deadline,
		idempotencyKey: headerOf(r, HeaderIdempotency), class: headerOf(r, HeaderClass),
	})
	if refusal != nil {
		return nil, refusal
	}
	now := clock.Now()
	if refusal := d.checkServing(now); refusal != nil {
		return nil, refusal
	}
	revision := d.node.Follower.Revision()
	declared, ok := revision.Service(service)
	if !ok {
		refusal := willowwick.Invalid(willowwick.CodeUnknownService, "service", "service %q does not exist", service)
		return nil, d.temporaryIfStale(refusal, revision, now)
	}
	if !account.AllowsService(service) {
		refusal := willowwick.Invalid(willowwick.CodeNotAllowed, "service", "client account %q may not use service %q", request.Account, service)
		return nil, d.temporaryIfStale(refusal, revision, now)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+string(service))
	if strings.Contains(path+"/", "/../") || strings.Contains(path+"/", "/./") {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, "path", "must not contain . or .. as a segment")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, willowwick.Invalid(willowwick.CodeTooLarge, "body", "the body could not be read within the limit of %d bytes", d.settings.MaxBody)
	}
	if limit, ok := revision.Limit(request.Account); ok {
		if retryAt, ok := d.limiter.Take(now, request.Account, limit, 0); !ok {
			return nil, willowwick.NotRun(willowwick.CodeRateLimited, retryAt, "client account %q is at its rate limit", request.Account)
		}
	}
	repeatable := declared.IsRepeatable(r.Method, path)
	return &serviceRun{
		daemon: d, request: request, account: account, service: service, repeatable: repeatable,
		attempts: newAttempts(),
		content: &content{
			poison: willowwick.PoisonRequest{Account: request.Account, Service: service, Host: r.Method, Target: r.URL.RequestURI()},
			body:   func() []byte { return body },
		},
		trace: d.traces.start(d.settings.Box, request.ID, request.Account, r.Method+" "+servicePrefix+string(service)+path),
		call: willowwick.ServiceCall{
			Request: request.ID, Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: r.Header,
			Body: body, Repeatable: repeatable, Deadline: request.Deadline,
		},
	}, nil
}

func headerOf(r *http.Request, name string) *string {
	if value := r.Header.Get(name); value != "" {
		return &value
	}
	return nil
}

func deadlineHeader(r *http.Request) (*int64, *willowwick.Refusal) {
	text := r.Header.Get(HeaderDeadlineMs)
	if text == "" {
		return nil, nil
	}
	duration, err := time.ParseDuration(text + "ms")
	if err != nil {
		return nil, willowwick.Invalid(willowwick.CodeBadRequest, HeaderDeadlineMs, "must be a whole number of milliseconds, is %q", text)
	}
	ms := duration.Milliseconds()
	return &ms, nil
}

// answer claims the idempotency key of a call that is not idempotent, and sends the call.
func (s *serviceRun) answer(ctx context.Context) (*serviceReply, *willowwick.Refusal) {
	key := ""
	if !s.repeatable && s.request.IdempotencyKey != "" {
		key = claimKeyOf(s.request.Account, string(s.service), s.request.IdempotencyKey)
		if refusal := s.daemon.claimKey(ctx, key, s.request.ID); refusal != nil {
			return nil, refusal
		}
	}
	reply, refusal := s.send(ctx)
	if refusal != nil {
		if key != "" && !s.sent {
			s.daemon.node.ReleaseClaim(ctx, key, s.request.ID)
		}
		return nil, refusal
	}
	s.daemon.node.Usage.Record(context.Background(), willowwick.UsageRecord{
		Request: s.request.ID, Account: s.request.Account, Service: s.service, At: clock.TimeOfDay().UTC(),
	})
	return reply, nil
}

// send tries instances until one answers; a call that is not idempotent is
// retried only if no part of it was sent.
func (s *serviceRun) send(ctx context.Context) (*serviceReply, *willowwick.Refusal) {
	for {
		s.attempts.awaitUpdates(ctx)
		ticket, refusal := s.daemon.gate.Enter(ctx, s.admission())
		if refusal != nil {
			return nil, s.correctRefusal(refusal)
		}
		if refusal := s.daemon.refusePoison(s.content, ticket.Endpoint.Release); refusal != nil {
			ticket.Done(route.OutcomeCancelled)
			return nil, refusal
		}
		if !s.daemon.obtainPermit(ctx, ticket, s.attempts.exclude) {
			continue
		}
		s.call.Endpoint, s.call.OnNotice = ticket.Endpoint, s.daemon.onNotice(ticket.Endpoint, s.request.ID)
		s.trace.add("sent", "to endpoint %s", ticket.Endpoint.ID)
		reply, err := s.callOnce(ctx)
		if err == nil {
			ticket.Done(route.OutcomeGood)
			s.daemon.retries.Succeeded()
			if quarantine.IsCompletedRun(reply.status) {
				s.daemon.recordCompleted(s.content, ticket.Endpoint.ID, clock.Now())
			}
			return reply, nil
		}
		if refusal := s.handleError(ctx, ticket, err); refusal != nil {
			return nil, refusal
		}
		s.daemon.metrics.retries.Inc()
	}
}

func (s *serviceRun) admission() gate.Request {
	return gate.Request{
		Work: servicePrefix + string(s.service), Account: s.request.Account, Weight: s.account.FairWeight(),
		Cost: serviceCallCost, Deadline: s.request.Deadline,
		Acquire: func(now time.Time) (*route.Slot, bool) {
			return s.daemon.pool.AcquireService(now, s.service, s.attempts.exclude)
		},
		Unavailable: func(now time.Time) (route.Shortage, bool) {
			return s.daemon.pool.AllUnavailable(now, s.service, nil)
		},
	}
}

// correctRefusal changes the kind of a refusal to KindFailed if an earlier attempt was sent.
func (s *serviceRun) correctRefusal(refusal *willowwick.Refusal) *willowwick.Refusal {
	if !s.sent {
		return refusal
	}
	return willowwick.Failed(willowwick.CodeEndpointError, "no instance answered: %s", refusal.Message)
}

func (s *serviceRun) callOnce(ctx context.Context) (*serviceReply, error) {
	answer, err := s.daemon.deps.Services.Call(ctx, s.call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxServiceReply+1))
	if err != nil {
		return nil, errors.Wrap(willowwick.ErrBroken, err.Error())
	}
	if len(body) > maxServiceReply {
		return nil, errors.Wrap(willowwick.ErrBroken, "the answer is larger than this box accepts")
	}
	return &serviceReply{status: answer.Status, header: answer.Header, body: body}, nil
}

// handleError gives the slot back after a failed attempt. It returns nil if the call may be retried.
func (s *serviceRun) handleError(ctx context.Context, ticket *gate.Ticket, err error) *willowwick.Refusal {
	s.trace.add("endpoint", "%s: %v", ticket.Endpoint.ID, err)
	notTaken := isNotTaken(err)
	s.attempts.add(ticket.Endpoint.ID, err)
	ticket.Done(route.OutcomeFailed)
	s.daemon.recordFailure(ctx, s.content, ticket.Endpoint, ticket.Endpoint.Release, time.Time{}, err)
	s.sent = s.sent || !notTaken
	switch {
	case !notTaken && !s.repeatable:
		return willowwick.OutcomeUnknown(willowwick.CodeEndpointError, "the call was sent and its answer was lost; it may have taken effect, and is not retried")
	case ctx.Err() != nil && s.sent:
		return willowwick.Failed(willowwick.CodeDeadline, "the deadline passed before the service answered")
	case !s.attempts.areExhausted() && (notTaken || s.daemon.retries.Take()):
		return nil
	case s.sent:
		return willowwick.Failed(willowwick.CodeEndpointError, "no instance answered")
	default:
		return willowwick.NotRun(willowwick.CodeNoEndpoint, clock.Now().Add(gate.OverloadRetryDelay), "no instance accepted the call")
	}
}
