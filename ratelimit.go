package willowwick

import (
	"math"
	"strconv"
	"strings"
	"time"
)

type (
	// PerSecond is a rate of requests.
	PerSecond float64

	// RateLimit is what an answer of an endpoint says of the requests that the endpoint takes from all boxes together.
	RateLimit struct {
		Rate  PerSecond // of a limit that is named
		IsSet bool
		// Unreadable is what stands in the answer in place of a rate; such an answer tells nothing of the limit.
		Unreadable string
	}

	// PermitState is what a request needs in order to be sent to an endpoint.
	PermitState int

	// RateLimiter knows the endpoints that name limits, and who may send to them.
	RateLimiter interface {
		// Observe takes what an answer says of its endpoint's limit, to a request that was sent at the given time, and reports
		// whether it is news.
		Observe(now, sentAt time.Time, endpoint Endpoint, said RateLimit) bool
		// CanAcquire reports whether a request may be given the endpoint: it names no limit, a permit is at hand, or one may be
		// asked for.
		CanAcquire(now time.Time, endpoint EndpointID) bool
		// Acquire gives a request the endpoint; CanAcquire must have allowed it.
		Acquire(now time.Time, endpoint EndpointID) PermitState
		// CancelPending takes back PermitRequired of a request for which none was asked.
		CancelPending(endpoint EndpointID)
		// NextAt reports whether the endpoint names a limit, and when a request may next be given it.
		NextAt(now time.Time, endpoint EndpointID) (nextAt time.Time, isLimited bool)
		// Retain takes the platform's list: limits of endpoints that are gone, or have started again, are forgotten.
		Retain(listing []Endpoint)
	}
)

// Permissions.
const (
	// PermitNotNeeded: the endpoint names no limit.
	PermitNotNeeded PermitState = iota
	// PermitHeld: a permit was at hand, and is used.
	PermitHeld
	// PermitRequired: a permit must be asked for before the request is sent.
	PermitRequired
)

// ParseRateLimit reads the limit in an answer; no text names none.
func ParseRateLimit(text string) RateLimit {
	text = strings.TrimSpace(text)
	if text == "" {
		return RateLimit{}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return RateLimit{Unreadable: text}
	}
	return RateLimit{Rate: PerSecond(rate), IsSet: true}
}
