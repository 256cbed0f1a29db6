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
		Named bool
		// Unreadable is what stands in the answer in place of a rate; such an answer tells nothing of the limit.
		Unreadable string
	}

	// Permission is what a request needs in order to be sent to an endpoint.
	Permission int

	// RateLimiter knows the endpoints that name limits, and who may send to them.
	RateLimiter interface {
		// Heard takes what an answer says of its endpoint's limit, to a request that was sent at the given time, and reports
		// whether it is news.
		Heard(now, sentAt time.Time, endpoint Endpoint, said RateLimit) bool
		// MayUse reports whether a request may be given the endpoint: it names no limit, a permit is at hand, or one may be
		// asked for.
		MayUse(now time.Time, endpoint EndpointID) bool
		// Use gives a request the endpoint; MayUse must have allowed it.
		Use(now time.Time, endpoint EndpointID) Permission
		// Unasked takes back PermissionToAsk of a request for which none was asked.
		Unasked(endpoint EndpointID)
		// Limited reports whether the endpoint names a limit, and when a request may next be given it.
		Limited(now time.Time, endpoint EndpointID) (nextAt time.Time, isLimited bool)
		// Keep takes the platform's list: limits of endpoints that are gone, or have started again, are forgotten.
		Keep(listing []Endpoint)
	}
)

// Permissions.
const (
	// PermissionFree: the endpoint names no limit.
	PermissionFree Permission = iota
	// PermissionHeld: a permit was at hand, and is used.
	PermissionHeld
	// PermissionToAsk: a permit must be asked for before the request is sent.
	PermissionToAsk
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
	return RateLimit{Rate: PerSecond(rate), Named: true}
}
