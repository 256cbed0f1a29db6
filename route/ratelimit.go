package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

// unlimited implements willowwick.RateLimiter where no endpoint names a limit.
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

// AllLimited reports whether every one of the service's endpoints that stay and are allowed names a limit that takes no request
// now, and when the first of them may be given one: a request that waited for a place would wait in vain.
func (p *Pool) AllLimited(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) (nextAt time.Time, all bool) {
	return p.allLimited(now, row{service: service}, allow)
}

// OnlyLimitedLeft reports whether those of the service's endpoints that stay, are allowed and are not excluded all name limits
// that take no request now.
func (p *Pool) OnlyLimitedLeft(
	now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) bool {
	_, all := p.AllLimited(now, service, func(endpoint willowwick.Endpoint) bool { return allow(endpoint) && !exclude[endpoint.ID] })
	return all
}

// AllLimitedOf is AllLimited for the runners that serve a version.
func (p *Pool) AllLimitedOf(now time.Time, version willowwick.VersionID) (nextAt time.Time, all bool) {
	return p.allLimited(now, row{version: version}, nil)
}

func (p *Pool) allLimited(now time.Time, name row, allow func(willowwick.Endpoint) bool) (nextAt time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[name]
	if r == nil {
		return time.Time{}, false
	}
	for _, m := range r.members {
		if !m.stays() || allow != nil && !allow(m.endpoint) {
			continue
		}
		at, isLimited := p.options.Limits.Limited(now, m.endpoint.ID)
		if !isLimited || !at.After(now) {
			return time.Time{}, false
		}
		if !all || at.Before(nextAt) {
			nextAt, all = at, true
		}
	}
	return nextAt, all
}

// countedBy returns which members show how much a service has to do: an endpoint that names a limit has little to do because
// it takes little, so that it counts only where there is no other.
func (p *Pool) countedBy(now time.Time, r *candidateRow) func(m *member) bool {
	isFree := func(m *member) bool {
		_, isLimited := p.options.Limits.Limited(now, m.endpoint.ID)
		return !isLimited
	}
	for _, m := range r.members {
		if m.stays() && isFree(m) {
			return isFree
		}
	}
	return func(*member) bool { return true }
}
