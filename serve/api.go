package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/gen/chat"
	chatserver "github.com/willowwick/willowwick/gen/http/chat/server"
	modelsserver "github.com/willowwick/willowwick/gen/http/models/server"
	"github.com/willowwick/willowwick/gen/models"
	"github.com/willowwick/willowwick/wire"
	goahttp "goa.design/goa/v3/http"
)

const (
	bearerPrefix     = "Bearer "
	defaultMaxTokens = 512
	maxHeaderText    = 256
	ownedBy          = "willowwick"
	contentTypeSSE   = "text/event-stream"
	contentTypeJSON  = "application/json"
)

// Request and response headers of the callers' API.
const (
	HeaderSession      = "X-Willowwick-Session"
	HeaderSessionToken = "X-Willowwick-Session-Token"
	HeaderDeadlineMs   = "X-Willowwick-Deadline-Ms"
	HeaderClass        = "X-Willowwick-Class"
	HeaderVersion      = "X-Willowwick-Version"
	HeaderIdempotency  = "Idempotency-Key"
	HeaderRequestID    = "X-Request-Id"
)

type (
	chatService struct {
		daemon *Daemon
	}

	modelsService struct {
		daemon *Daemon
	}

	// callerHeaders holds the headers common to all requests of callers.
	callerHeaders struct {
		authorization  *string
		session        *string
		deadlineMs     *int64
		idempotencyKey *string
		class          *string
	}
)

// callerHandler returns the handler of the callers' API.
func (d *Daemon) callerHandler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	chatEndpoints := chat.NewEndpoints(&chatService{daemon: d})
	chatserver.Mount(mux, chatserver.New(chatEndpoints, mux, decoder, encoder, logEncodeError, formatError))
	modelsEndpoints := models.NewEndpoints(&modelsService{daemon: d})
	modelsserver.Mount(mux, modelsserver.New(modelsEndpoints, mux, decoder, encoder, logEncodeError, formatError))
	d.mountServices(mux)
	return withCallerLimits(d.settings, wire.ResetUnfinished(d.limitRequests(mux)))
}

// limitRequests refuses requests whose body is too large, and those above the limit of concurrent requests.
func (d *Daemon) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > d.settings.MaxBody {
			writeRefusal(w, d.countRefusal(willowwick.Invalid(willowwick.CodeTooLarge, "body",
				"the body has %d bytes, the limit is %d", r.ContentLength, d.settings.MaxBody)), "")
			return
		}
		select {
		case d.requestSlots <- struct{}{}:
		default:
			writeRefusal(w, d.countRefusal(willowwick.NotRun(willowwick.CodeOverloaded, clock.Now().Add(gate.OverloadRetryDelay),
				"this box already serves %d requests, its limit", d.settings.MaxRequests)), "")
			return
		}
		d.inFlight.Add(1)
		defer func() {
			d.inFlight.Add(-1)
			<-d.requestSlots
		}()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(d.ending, cancel)()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// countRefusal counts a refusal in the metrics and returns it.
func (d *Daemon) countRefusal(refusal *willowwick.Refusal) *willowwick.Refusal {
	d.metrics.recordRefusal(refusal)
	return refusal
}

func (d *Daemon) newRequestID() willowwick.RequestID {
	return willowwick.RequestID(fmt.Sprintf("%s-%s-%d", d.settings.Box, d.settings.Boot, d.nextID.Add(1)))
}

// authenticate finds the caller's client account and reads the headers common to all requests.
func (d *Daemon) authenticate(h callerHeaders) (*willowwick.Request, *config.ClientAccount, *willowwick.Refusal) {
	authorization := deref(h.authorization)
	if !strings.HasPrefix(authorization, bearerPrefix) {
		return nil, nil, willowwick.Invalid(willowwick.CodeBadKey, "Authorization", "send the client account's key as 'Authorization: Bearer KEY'")
	}
	now := clock.Now()
	revision := d.node.Follower.Revision()
	id, account, ok := revision.Authenticate(strings.TrimPrefix(authorization, bearerPrefix))
	if !ok {
		if revision.Offset == 0 {
			return nil, nil, willowwick.NotRun(willowwick.CodeStaleConfiguration, now.Add(isolatedRetryDelay), "this box has no configuration yet")
		}
		refusal := willowwick.Invalid(willowwick.CodeBadKey, "Authorization", "no client account has this key")
		return nil, nil, d.temporaryIfStale(refusal, revision, now)
	}
	request := &willowwick.Request{
		ID: d.newRequestID(), Account: id, Class: willowwick.Class(deref(h.class)),
		Session: willowwick.SessionID(deref(h.session)), IdempotencyKey: deref(h.idempotencyKey),
		Arrived: now, Deadline: account.Deadline(now),
	}
	for name, value := range map[string]string{
		HeaderSession: string(request.Session), HeaderClass: string(request.Class), HeaderIdempotency: request.IdempotencyKey,
	} {
		if len(value) > maxHeaderText {
			return nil, nil, willowwick.Invalid(willowwick.CodeBadRequest, name, "may have at most %d characters", maxHeaderText)
		}
	}
	if h.deadlineMs != nil {
		if *h.deadlineMs <= 0 {
			return nil, nil, willowwick.Invalid(willowwick.CodeBadRequest, HeaderDeadlineMs, "must be above 0, is %d", *h.deadlineMs)
		}
		if deadline := now.Add(time.Duration(*h.deadlineMs) * time.Millisecond); deadline.Before(request.Deadline) {
			request.Deadline = deadline
		}
	}
	return request, account, nil
}

func deref(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}

// Completions implements the chat service.
func (s *chatService) Completions(ctx context.Context, p *chat.CompletionsPayload) (*chat.CompletionsResult, io.ReadCloser, error) {
	request, _, refusal := s.daemon.authenticate(callerHeaders{
		authorization: p.Authorization, session: p.Session, deadlineMs: p.DeadlineMs,
		idempotencyKey: p.IdempotencyKey, class: p.Class,
	})
	if refusal == nil {
		refusal = applyChatPayload(request, p)
	}
	if refusal != nil {
		return nil, nil, s.chatError(refusal, "")
	}
	answer, refusal := s.daemon.Complete(ctx, request, deref(p.SessionToken))
	if refusal != nil {
		return nil, nil, s.chatError(s.daemon.correctIfStopped(refusal, request.Deadline), request.ID)
	}
	result := &chat.CompletionsResult{ContentType: contentTypeJSON, RequestID: string(request.ID)}
	version := string(answer.Version)
	result.Version = &version
	if answer.SessionToken != "" {
		result.SessionToken = &answer.SessionToken
	}
	if request.Stream {
		result.ContentType = contentTypeSSE
		return result, newEventBody(answer, p.Model), nil
	}
	body, refusal := collectBody(answer, p.Model)
	if refusal != nil {
		return nil, nil, s.chatError(s.daemon.correctIfStopped(refusal, request.Deadline), request.ID)
	}
	return result, body, nil
}

// applyChatPayload fills the request with the conversation and options from the body.
func applyChatPayload(request *willowwick.Request, p *chat.CompletionsPayload) *willowwick.Refusal {
	request.Target, request.Stream, request.Temperature = p.Model, p.Stream, p.Temperature
	request.MaxTokens = defaultMaxTokens
	for _, given := range []*int{p.MaxTokens, p.MaxCompletionTokens} {
		if given != nil {
			request.MaxTokens = willowwick.Tokens(*given)
		}
	}
	for i, m := range p.Messages {
		if m == nil {
			return willowwick.Invalid(willowwick.CodeBadRequest, fmt.Sprintf("messages[%d]", i), "must not be null")
		}
		text, ok := contentText(m.Content)
		if !ok {
			return willowwick.Invalid(willowwick.CodeBadRequest, fmt.Sprintf("messages[%d].content", i),
				"must be a string or a list of parts {\"type\": \"text\", \"text\": ...}")
		}
		request.Messages = append(request.Messages, willowwick.Message{Role: m.Role, Content: text, Name: deref(m.Name)})
		request.PromptTokens += willowwick.EstimateTokens(text)
	}
	return nil
}

// contentText returns the text of content that is a string, null, or a list of text parts.
func contentText(content any) (string, bool) {
	switch typed := content.(type) {
	case nil:
		return "", true
	case string:
		return typed, true
	case []any:
		var text strings.Builder
		for _, part := range typed {
			fields, ok := part.(map[string]any)
			if !ok || fields["type"] != "text" {
				return "", false
			}
			piece, ok := fields["text"].(string)
			if !ok {
				return "", false
			}
			text.WriteString(piece)
		}
		return text.String(), true
	default:
		return "", false
	}
}

// List implements the models service.
func (s *modelsService) List(_ context.Context, p *models.ListPayload) (*models.ListResult, error) {
	request, _, refusal := s.daemon.authenticate(callerHeaders{authorization: p.Authorization})
	if refusal != nil {
		return nil, s.modelsError(refusal)
	}
	result := &models.ListResult{Object: "list"}
	targets := s.daemon.node.Follower.Revision().Targets(request.Account)
	for _, id := range append(targets, willowwick.TargetAuto) {
		result.Data = append(result.Data, &models.ModelEntry{ID: id, Object: "model", OwnedBy: ownedBy})
	}
	return result, nil
}

func logEncodeError(context.Context, http.ResponseWriter, error) {
	// An encoding error means that the caller's connection is closed, which needs no log line.
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
