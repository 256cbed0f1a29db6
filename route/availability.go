package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// mayUse: the endpoint may be given a request, if it has room.
	mayUse ground = iota
	// hasLeft: it leaves, or its hall is evacuated, or it is not where its entry says.
	hasLeft
	// rests: it asked for rest.
	rests
	// isLimited: it names a limit, and a request needs a permit, which may be denied.
	isLimited
)

type (
	// ground is why an endpoint is given no request for certain, whatever it has to do.
	ground int

	// availability is whether an endpoint may be given a request.
	availability struct {
		ground ground
		from   time.Time // when it may be, where that is known: the end of its rest, or the next chance of a permit
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
	case !m.stays():
		return availability{ground: hasLeft}
	case m.said.isResting(now):
		return availability{rests, m.said.restUntil}
	}
	if nextAt, limited := p.options.Limits.NextAt(now, m.endpoint.ID); limited {
		return availability{isLimited, nextAt}
	}
	return availability{}
}

// AllUnavailable reports whether every one of the service's endpoints that stay and are allowed takes no request now: one that
// waited for a place would wait in vain. There is no shortage where none stays.
func (p *Pool) AllUnavailable(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) (Shortage, bool) {
	return p.allUnavailable(now, row{service: service}, allow)
}

// AllUnavailableOf is AllUnavailable for the runners that serve a version.
func (p *Pool) AllUnavailableOf(now time.Time, version willowwick.VersionID) (Shortage, bool) {
	return p.allUnavailable(now, row{version: version}, nil)
}

// NoneLeft reports whether none of the service's endpoints that are allowed and not excluded may be given a request now.
func (p *Pool) NoneLeft(
	now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) bool {
	return !p.hasMember(service, func(m *member) bool {
		found := p.availability(now, m)
		return found.ground != hasLeft && !found.from.After(now) && !exclude[m.endpoint.ID] && allow(m.endpoint)
	})
}

// OnlyUnavailableLeft reports whether those of the service's endpoints that stay, are allowed and are not excluded all take no
// request now.
func (p *Pool) OnlyUnavailableLeft(
	now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) bool {
	_, all := p.AllUnavailable(now, service, func(endpoint willowwick.Endpoint) bool { return allow(endpoint) && !exclude[endpoint.ID] })
	return all
}

func (p *Pool) allUnavailable(now time.Time, name row, allow func(willowwick.Endpoint) bool) (first Shortage, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[name]
	if r == nil {
		return Shortage{}, false
	}
	for _, m := range r.members {
		if allow != nil && !allow(m.endpoint) {
			continue
		}
		found := p.availability(now, m)
		if found.ground == hasLeft {
			continue
		}
		if !found.from.After(now) {
			return Shortage{}, false
		}
		if !all || found.from.Before(first.Until) {
			first, all = Shortage{Until: found.from, IsCertain: found.ground == rests}, true
		}
	}
	return first, all
}

// HasAvailable reports whether one of the service's endpoints that are allowed may be given a request for certain, if it has room.
func (p *Pool) HasAvailable(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.hasMember(service, func(m *member) bool { return allow(m.endpoint) && p.availability(now, m).ground == mayUse })
}

// countedBy returns which members show how much a service has to do: one that rests or names a limit has little to do because it
// takes little, so that it counts only where there is no other.
func (p *Pool) countedBy(now time.Time, r *candidateRow) func(m *member) bool {
	isFree := func(m *member) bool { return p.availability(now, m).ground == mayUse }
	for _, m := range r.members {
		if isFree(m) {
			return isFree
		}
	}
	return func(*member) bool { return true }
}
