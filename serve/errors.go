package serve

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gen/chat"
	"github.com/willowwick/willowwick/gen/models"
	goahttp "goa.design/goa/v3/http"
)

type (
	// statusClass is the wire form of a class of refusals.
	statusClass struct {
		name      string // of the error in the goa design
		status    int
		errorType string // error type of the OpenAI API
	}

	// errorBody is the JSON form of a refusal.
	errorBody struct {
		Error  errorDetail `json:"error"`
		status int
	}

	errorDetail struct {
		Message   string                 `json:"message"`
		Type      string                 `json:"type"`
		Param     *string                `json:"param"`
		Code      willowwick.RefusalCode `json:"code"`
		Kind      willowwick.RefusalKind `json:"kind"`
		RequestID string                 `json:"request_id,omitempty"`
	}
)

const (
	errorTypeInvalid = "invalid_request_error"
	errorTypeAuth    = "authentication_error"
	errorTypeDenied  = "permission_error"
	errorTypeLimit   = "rate_limit_error"
	errorTypeServer  = "server_error"
)

var (
	classInvalid     = statusClass{"invalid", http.StatusBadRequest, errorTypeInvalid}
	classUnavailable = statusClass{"unavailable", http.StatusServiceUnavailable, errorTypeServer}

	classByCode = map[willowwick.RefusalCode]statusClass{
		willowwick.CodeBadRequest:     classInvalid,
		willowwick.CodeBadKey:         {"unauthorized", http.StatusUnauthorized, errorTypeAuth},
		willowwick.CodeNotAllowed:     {"forbidden", http.StatusForbidden, errorTypeDenied},
		willowwick.CodeDeniedByPolicy: {"forbidden", http.StatusForbidden, errorTypeDenied},
		willowwick.CodeUnknownModel:   {"not_found", http.StatusNotFound, errorTypeInvalid},
		willowwick.CodeUnknownService: {"not_found", http.StatusNotFound, errorTypeInvalid},
		willowwick.CodeDuplicate:      {"conflict", http.StatusConflict, errorTypeInvalid},
		willowwick.CodeTooLarge:       {"too_large", http.StatusRequestEntityTooLarge, errorTypeInvalid},
		willowwick.CodeRateLimited:    {"limited", http.StatusTooManyRequests, errorTypeLimit},
		willowwick.CodeEndpointError:  {"failed", http.StatusBadGateway, errorTypeServer},
		willowwick.CodeCutOff:         {"failed", http.StatusBadGateway, errorTypeServer},
		willowwick.CodeDeadline:       {"timeout", http.StatusGatewayTimeout, errorTypeServer},
	}
)

// classify returns the status class of a refusal.
func classify(r *willowwick.Refusal) statusClass {
	if class, ok := classByCode[r.Code]; ok {
		return class
	}
	switch r.Kind {
	case willowwick.KindOutcomeUnknown:
		return classByCode[willowwick.CodeDuplicate]
	case willowwick.KindFailed:
		return classByCode[willowwick.CodeEndpointError] // a status that doesn't imply that nothing ran
	default:
		return classUnavailable
	}
}

// retryAfter returns the value of Retry-After in whole seconds, at least 1, or nil if a retry doesn't help.
func retryAfter(r *willowwick.Refusal) *int {
	if r.RetryAt.IsZero() {
		return nil
	}
	seconds := max(1, int(math.Ceil(clock.Until(r.RetryAt).Seconds())))
	return &seconds
}

// StatusCode implements goahttp.Statuser.
func (e errorBody) StatusCode() int {
	return e.status
}

func newErrorBody(r *willowwick.Refusal, id willowwick.RequestID) errorBody {
	class := classify(r)
	body := errorBody{status: class.status, Error: errorDetail{
		Message: r.Message, Type: class.errorType, Code: r.Code, Kind: r.Kind, RequestID: string(id),
	}}
	if r.Param != "" {
		body.Error.Param = &r.Param
	}
	return body
}

// writeRefusal answers a request that goa doesn't handle with a refusal.
func writeRefusal(w http.ResponseWriter, r *willowwick.Refusal, id willowwick.RequestID) {
	if seconds := retryAfter(r); seconds != nil {
		w.Header().Set("Retry-After", strconv.Itoa(*seconds))
	}
	body := newErrorBody(r, id)
	writeJSON(w, body.status, body)
}

func (s *chatService) chatError(r *willowwick.Refusal, id willowwick.RequestID) error {
	s.daemon.countRefusal(r)
	body := newErrorBody(r, id)
	detail := &chat.ErrorDetail{
		Message: r.Message, Type: body.Error.Type, Param: body.Error.Param,
		Code: string(r.Code), Kind: string(r.Kind),
	}
	if id != "" {
		detail.RequestID = &body.Error.RequestID
	}
	return &chat.ErrorBody{Name: classify(r).name, Detail: detail, RetryAfter: retryAfter(r)}
}

func (s *modelsService) modelsError(r *willowwick.Refusal) error {
	s.daemon.countRefusal(r)
	body := newErrorBody(r, "")
	return &models.ErrorBody{Name: classify(r).name, RetryAfter: retryAfter(r), Detail: &models.ErrorDetail{
		Message: r.Message, Type: body.Error.Type, Param: body.Error.Param, Code: string(r.Code), Kind: string(r.Kind),
	}}
}

// formatError converts every error of the API to an errorBody, including the errors that goa finds in requests.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var chatBody *chat.ErrorBody
	if errors.As(err, &chatBody) {
		return formatDetail(chatBody.Name, errorDetail{
			Message: chatBody.Detail.Message, Type: chatBody.Detail.Type, Param: chatBody.Detail.Param,
			Code: willowwick.RefusalCode(chatBody.Detail.Code), Kind: willowwick.RefusalKind(chatBody.Detail.Kind),
			RequestID: deref(chatBody.Detail.RequestID),
		})
	}
	var modelsBody *models.ErrorBody
	if errors.As(err, &modelsBody) {
		return formatDetail(modelsBody.Name, errorDetail{
			Message: modelsBody.Detail.Message, Type: modelsBody.Detail.Type, Param: modelsBody.Detail.Param,
			Code: willowwick.RefusalCode(modelsBody.Detail.Code), Kind: willowwick.RefusalKind(modelsBody.Detail.Kind),
		})
	}
	if strings.Contains(err.Error(), "request body too large") {
		return newErrorBody(willowwick.Invalid(willowwick.CodeTooLarge, "body", "the body is larger than this box accepts"), "")
	}
	return newErrorBody(willowwick.Invalid(willowwick.CodeBadRequest, "", "%s", err.Error()), "")
}

func formatDetail(name string, detail errorDetail) errorBody {
	for _, class := range classByCode {
		if class.name == name {
			return errorBody{Error: detail, status: class.status}
		}
	}
	return errorBody{Error: detail, status: classUnavailable.status}
}
