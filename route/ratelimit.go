package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

// unlimited implements willowwick.RateLimiter for endpoints without limits.
type unlimited struct{}

func (unlimited) MayUse(time.Time, willowwick.EndpointID) bool { return true }

func (unlimited) Use(time.Time, willowwick.EndpointID) willowwick.Permission {
	return willowwick.PermissionFree
}

func (unlimited) Limited(time.Time, willowwick.EndpointID) (time.Time, bool) {
	return time.Time{}, false
}

func (unlimited) Unasked(willowwick.EndpointID) {}

func (unlimited) Heard(time.Time, time.Time, willowwick.Endpoint, willowwick.RateLimit) bool {
	return false
}

func (unlimited) Keep([]willowwick.Endpoint) {}
