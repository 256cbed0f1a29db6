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

	// RateLimit is the limit on requests from all boxes together that an endpoint reports in an answer.
	RateLimit struct {
		Rate  PerSecond // valid if IsSet
		IsSet bool
		// Unreadable is a header value that is not a rate; such an answer doesn't change the known limit.
		Unreadable string
	}

	// PermitState says whether a request needs a permit to be sent to an endpoint. A permit is the right to send one request
	// to an endpoint with a rate limit; boxes request it from the box that grants those of the endpoint.
	PermitState int

	// RateLimiter tracks the rate limits of endpoints and the permits to send to them.
	RateLimiter interface {
		// Observe records the limit in an answer to a request that was sent at the given time, and reports whether it changed
		// what is known.
		Observe(now, sentAt time.Time, endpoint Endpoint, reported RateLimit) bool
		// CanAcquire reports whether a request may use the endpoint: it has no limit, a permit is available, or one may be
		// requested.
		CanAcquire(now time.Time, endpoint EndpointID) bool
		// Acquire assigns the endpoint to a request; CanAcquire must have returned true.
		Acquire(now time.Time, endpoint EndpointID) PermitState
		// CancelPending undoes an Acquire that returned PermitRequired and for which no permit was requested.
		CancelPending(endpoint EndpointID)
		// NextAt reports whether the endpoint has a limit, and when the next request may use it.
		NextAt(now time.Time, endpoint EndpointID) (nextAt time.Time, isLimited bool)
		// Retain drops the limits of endpoints that are not on the platform's list or have restarted.
		Retain(listing []Endpoint)
	}
)

// States of the permit of a request.
const (
	// PermitNotNeeded means that the endpoint has no limit.
	PermitNotNeeded PermitState = iota
	// PermitHeld means that a permit was available and is used.
	PermitHeld
	// PermitRequired means that a permit must be requested before the request is sent.
	PermitRequired
)

// ParseRateLimit parses the limit in an answer; an empty text means that there is none.
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
