package willowwick

import (
	"fmt"
	"time"
)

type (
	// RefusalKind tells the caller what is known about the effect of its request.
	RefusalKind string
	// RefusalCode is the cause of a refusal.
	RefusalCode string
)

// Kinds of refusal.
const (
	// KindInvalid means that the request is invalid and a retry would fail again.
	KindInvalid RefusalKind = "invalid"
	// KindNotRun means that nothing was sent to any endpoint.
	KindNotRun RefusalKind = "not_run"
	// KindOutcomeUnknown means that the request was sent and its effect is unknown.
	KindOutcomeUnknown RefusalKind = "outcome_unknown"
	// KindFailed means that the request was tried and gave no complete answer.
	KindFailed RefusalKind = "failed"
)

// Causes of refusal.
const (
	CodeBadRequest         RefusalCode = "bad_request"
	CodeBadKey             RefusalCode = "bad_key"
	CodeNotAllowed         RefusalCode = "not_allowed"
	CodeUnknownModel       RefusalCode = "unknown_model"
	CodeUnknownService     RefusalCode = "unknown_service"
	CodeTooLarge           RefusalCode = "too_large"
	CodeDeniedByPolicy     RefusalCode = "denied_by_policy"
	CodeRateLimited        RefusalCode = "rate_limited"
	CodeOverloaded         RefusalCode = "overloaded"
	CodeDeadline           RefusalCode = "deadline"
	CodeNoEndpoint         RefusalCode = "no_endpoint"
	CodeNoVersion          RefusalCode = "no_version"
	CodeStaleConfiguration RefusalCode = "configuration_not_confirmed"
	CodeStopping           RefusalCode = "stopping"
	CodeUsageBacklog       RefusalCode = "usage_backlog"
	CodeDuplicate          RefusalCode = "duplicate"
	CodeClaimUnavailable   RefusalCode = "claim_unavailable"
	CodeEndpointError      RefusalCode = "endpoint_error"
	CodeCutOff             RefusalCode = "cut_off"
	// CodePoison means that endpoints crashed while running the request, which is therefore sent to none.
	CodePoison RefusalCode = "ends_endpoints"
)

// Refusal is the error that a caller gets instead of an answer.
type Refusal struct {
	Kind    RefusalKind
	Code    RefusalCode
	Message string
	Param   string    // the invalid field or header
	RetryAt time.Time // when to retry; zero if a retry doesn't help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Code, r.Message)
}

// NotRun returns the refusal of a request that was not sent to any endpoint.
func NotRun(code RefusalCode, retryAt time.Time, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindNotRun, Code: code, RetryAt: retryAt, Message: fmt.Sprintf(format, args...)}
}

// Invalid returns the refusal of an invalid request.
func Invalid(code RefusalCode, param, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindInvalid, Code: code, Param: param, Message: fmt.Sprintf(format, args...)}
}

// TemporaryIfStale turns a permanent refusal into a temporary one if the configuration behind it may be out of date: a
// caller that is refused permanently gives up a request that this box would serve a moment later, or another box at once.
func (r *Refusal) TemporaryIfStale(isStale bool, retryAt time.Time) *Refusal {
	if !isStale || r.Kind != KindInvalid {
		return r
	}
	return NotRun(CodeStaleConfiguration, retryAt, "%s, but the configuration may be out of date", r.Message)
}

// Failed returns the refusal of a request that was tried and gave no complete answer.
func Failed(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindFailed, Code: code, Message: fmt.Sprintf(format, args...)}
}

// OutcomeUnknown returns the refusal of a request that may have taken effect.
func OutcomeUnknown(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindOutcomeUnknown, Code: code, Message: fmt.Sprintf(format, args...)}
}
