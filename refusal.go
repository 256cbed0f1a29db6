package willowwick

import (
	"fmt"
	"time"
)

type (
	// RefusalKind tells the caller what is known of the effect of its request.
	RefusalKind string
	// RefusalCode is the cause of a refusal.
	RefusalCode string
)

// Kinds of refusal.
const (
	// KindInvalid: the request is wrong and will be wrong again.
	KindInvalid RefusalKind = "invalid"
	// KindNotRun: nothing was sent to any endpoint.
	KindNotRun RefusalKind = "not_run"
	// KindOutcomeUnknown: something was sent, and its effect is not known.
	KindOutcomeUnknown RefusalKind = "outcome_unknown"
	// KindFailed: it was tried and no whole answer came of it.
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
	// CodePoison: endpoints ended while they ran the request, so that it is sent to none.
	CodePoison RefusalCode = "ends_endpoints"
)

// Refusal is the typed error that a caller is given instead of an answer.
type Refusal struct {
	Kind    RefusalKind
	Code    RefusalCode
	Message string
	Param   string    // field or header that is wrong
	RetryAt time.Time // when a retry makes sense; zero if it does not help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Code, r.Message)
}

// NotRun returns the refusal of a request of which nothing was sent.
func NotRun(code RefusalCode, retryAt time.Time, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindNotRun, Code: code, RetryAt: retryAt, Message: fmt.Sprintf(format, args...)}
}

// Invalid returns the refusal of a request that is wrong in itself.
func Invalid(code RefusalCode, param, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindInvalid, Code: code, Param: param, Message: fmt.Sprintf(format, args...)}
}

// TemporaryIfStale returns the refusal, or in place of one for good that rests on a configuration one for now, if another
// configuration may have to be in force by now. A caller that is refused for good gives up what would be served a moment
// later, or by another box.
func (r *Refusal) TemporaryIfStale(isStale bool, retryAt time.Time) *Refusal {
	if !isStale || r.Kind != KindInvalid {
		return r
	}
	return NotRun(CodeStaleConfiguration, retryAt, "%s, but the configuration may be old", r.Message)
}

// Failed returns the refusal of a request that was tried without success.
func Failed(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindFailed, Code: code, Message: fmt.Sprintf(format, args...)}
}

// OutcomeUnknown returns the refusal of a request that may have taken effect.
func OutcomeUnknown(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Kind: KindOutcomeUnknown, Code: code, Message: fmt.Sprintf(format, args...)}
}
