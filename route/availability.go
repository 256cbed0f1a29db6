package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// reasonNone: the endpoint may be given a request if it has capacity.
	reasonNone reason = iota
	// reasonOutOfService: it is draining, its hall is evacuated, or another endpoint answers at its address.
	reasonOutOfService
	// reasonBackoff: it asked for a backoff that has not ended.
	reasonBackoff
	// reasonRateLimit: it declares a rate limit, and a request needs a permit, which may be denied.
	reasonRateLimit
)

type (
	// reason is why an endpoint is given no request, whatever its load.
	reason int

	// availability is whether an endpoint may be given a request.
	availability struct {
		reason      reason
		availableAt time.Time // end of the backoff or the next chance of a permit, where known
	}

	// Shortage describes a moment at which every endpoint that could serve a request is unavailable, whatever its
	// load.
	Shortage struct {
		Until     time.Time // when the first of them becomes available
		IsCertain bool      // false if a permit is needed at Until, which may be denied
	}
)

// availability returns whether an endpoint may be given a request; selection, refusals and forecasts all rely on it.
// Occupied slots, ejections and the pauses of cold endpoints do not count, since they may end at any moment. The
// caller holds the lock.
func (p *Pool) availability(now time.Time, m *member) availability {
	switch {
	case !m.isInService():
		return availability{reason: reasonOutOfService}
	case m.reportedState.isInBackoff(now):
		return availability{reasonBackoff, m.reportedState.backoffUntil}
	}
	if nextAt, limited := p.options.Limits.NextAt(now, m.endpoint.ID); limited {
		return availability{reasonRateLimit, nextAt}
	}
	return availability{}
}

// AllUnavailable reports whether all of the service's allowed endpoints that are in service are unavailable now, so
// that waiting for a slot would be in vain. There is no shortage if none is in service.
func (p *Pool) AllUnavailable(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) (Shortage, bool) {
	return p.allUnavailable(now, workKey{service: service}, allow)
}

// VersionUnavailable is AllUnavailable for the runners that serve a version.
func (p *Pool) VersionUnavailable(now time.Time, version willowwick.VersionID) (Shortage, bool) {
	return p.allUnavailable(now, workKey{version: version}, nil)
}

// NoneAvailable reports whether none of the service's allowed endpoints outside exclude may be given a request now.
func (p *Pool) NoneAvailable(
	now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) bool {
	return !p.anyMember(service, func(m *member) bool {
		found := p.availability(now, m)
		return found.reason != reasonOutOfService && !found.availableAt.After(now) && !exclude[m.endpoint.ID] && allow(m.endpoint)
	})
}

// RemainingUnavailable is AllUnavailable for the allowed endpoints outside exclude.
func (p *Pool) RemainingUnavailable(
	now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) bool {
	_, all := p.AllUnavailable(now, service, func(endpoint willowwick.Endpoint) bool { return allow(endpoint) && !exclude[endpoint.ID] })
	return all
}

func (p *Pool) allUnavailable(now time.Time, key workKey, allow func(willowwick.Endpoint) bool) (first Shortage, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.candidates[key]
	if set == nil {
		return Shortage{}, false
	}
	for _, m := range set.members {
		if allow != nil && !allow(m.endpoint) {
			continue
		}
		found := p.availability(now, m)
		if found.reason == reasonOutOfService {
			continue
		}
		if !found.availableAt.After(now) {
			return Shortage{}, false
		}
		if !all || found.availableAt.Before(first.Until) {
			first, all = Shortage{Until: found.availableAt, IsCertain: found.reason == reasonBackoff}, true
		}
	}
	return first, all
}

// HasAvailable reports whether one of the service's allowed endpoints may be given a request without a permit, if it
// has capacity.
func (p *Pool) HasAvailable(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.anyMember(service, func(m *member) bool { return allow(m.endpoint) && p.availability(now, m).reason == reasonNone })
}

// pressureFilter returns which members count for the load of a service. Endpoints in backoff or with a rate limit
// have little load because they accept little, so they count only if there are no others.
func (p *Pool) pressureFilter(now time.Time, set *candidateSet) func(m *member) bool {
	isFree := func(m *member) bool { return p.availability(now, m).reason == reasonNone }
	for _, m := range set.members {
		if isFree(m) {
			return isFree
		}
	}
	return func(*member) bool { return true }
}
