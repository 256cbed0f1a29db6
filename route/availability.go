package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// reasonNone: the endpoint may be given a request, if it has room.
	reasonNone unavailableReason = iota
	// reasonOutOfService: it leaves, or its hall is evacuated, or it is not where its entry says.
	reasonOutOfService
	// reasonBackoff: it asked for rest.
	reasonBackoff
	// reasonRateLimit: it names a limit, and a request needs a permit, which may be denied.
	reasonRateLimit
)

type (
	// unavailableReason is why an endpoint is given no request for certain, whatever it has to do.
	unavailableReason int

	// availability is whether an endpoint may be given a request.
	availability struct {
		reason      unavailableReason
		availableAt time.Time // when it may be, where that is known: the end of its rest, or the next chance of a permit
	}

	// Shortage is that no endpoint that could take a request takes one now, whatever they have to do.
	Shortage struct {
		Until     time.Time // the first of them may be given one then
		IsCertain bool      // it may be, as far as is known; a permit may be denied
	}
)

// availability is the one place that knows on which grounds an endpoint is given no request: choice, refusals and forecasts go by
// it. Places that are taken, suspicions and pauses of cold endpoints are no such grounds: they may end at any moment.
func (p *Pool) availability(now time.Time, m *member) availability {
	switch {
	case !m.isInService():
		return availability{reason: reasonOutOfService}
	case m.reported.isInBackoff(now):
		return availability{reasonBackoff, m.reported.backoffUntil}
	}
	if nextAt, limited := p.options.Limits.Limited(now, m.endpoint.ID); limited {
		return availability{reasonRateLimit, nextAt}
	}
	return availability{}
}

// AllUnavailable reports whether every one of the service's endpoints that stay and are allowed takes no request now: one that
// waited for a place would wait in vain. There is no shortage where none stays.
func (p *Pool) AllUnavailable(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) (Shortage, bool) {
	return p.allUnavailable(now, workKey{service: service}, allow)
}

// AllUnavailableForVersion is AllUnavailable for the runners that serve a version.
func (p *Pool) AllUnavailableForVersion(now time.Time, version willowwick.VersionID) (Shortage, bool) {
	return p.allUnavailable(now, workKey{version: version}, nil)
}

// NoneAvailable reports whether none of the service's endpoints that are allowed and not excluded may be given a request now.
func (p *Pool) NoneAvailable(
	now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) bool {
	return !p.anyMember(service, func(m *member) bool {
		found := p.availability(now, m)
		return found.reason != reasonOutOfService && !found.availableAt.After(now) && !exclude[m.endpoint.ID] && allow(m.endpoint)
	})
}

// RemainingUnavailable reports whether those of the service's endpoints that stay, are allowed and are not excluded all take no
// request now.
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

// HasAvailable reports whether one of the service's endpoints that are allowed may be given a request for certain, if it has room.
func (p *Pool) HasAvailable(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.anyMember(service, func(m *member) bool { return allow(m.endpoint) && p.availability(now, m).reason == reasonNone })
}

// pressureFilter returns which members show how much a service has to do: one that rests or names a limit has little to do because it
// takes little, so that it counts only where there is no other.
func (p *Pool) pressureFilter(now time.Time, set *candidateSet) func(m *member) bool {
	isFree := func(m *member) bool { return p.availability(now, m).reason == reasonNone }
	for _, m := range set.members {
		if isFree(m) {
			return isFree
		}
	}
	return func(*member) bool { return true }
}
