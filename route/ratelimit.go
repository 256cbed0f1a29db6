package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

// unlimited implements willowwick.RateLimiter for endpoints without limits.
type unlimited struct{}

func (unlimited) CanAcquire(time.Time, willowwick.EndpointID) bool { return true }

func (unlimited) Acquire(time.Time, willowwick.EndpointID) willowwick.PermitState {
	return willowwick.PermitNotNeeded
}

func (unlimited) NextAt(time.Time, willowwick.EndpointID) (time.Time, bool) {
	return time.Time{}, false
}

func (unlimited) CancelPending(willowwick.EndpointID) {}

func (unlimited) Observe(time.Time, time.Time, willowwick.Endpoint, willowwick.RateLimit) bool {
	return false
}

func (unlimited) Retain([]willowwick.Endpoint) {}
