package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

// Pressure is the mean load of a service's endpoints.
type Pressure struct {
	Requests float64       // at one endpoint, by its newest report or, without one, this box's own requests
	Backlog  time.Duration // forecast time to read the prompts sent to it
}

// Pressure returns the pressure on the service's allowed endpoints.
func (p *Pool) Pressure(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) Pressure {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.candidates[workKey{service: service}]
	if set == nil {
		return Pressure{}
	}
	counts := p.pressureFilter(now, set)
	var totalBacklog time.Duration
	requests, endpoints := 0, 0
	for _, m := range set.members {
		if !m.isInService() || now.Before(m.ejectedUntil) || !allow(m.endpoint) || !counts(m) {
			continue
		}
		load := m.knownLoad(now, p.options)
		requests += max(load.Running+load.Waiting, m.inFlight)
		totalBacklog += m.prefillQueue.backlog(now)
		endpoints++
	}
	if endpoints == 0 {
		return Pressure{}
	}
	return Pressure{float64(requests) / float64(endpoints), totalBacklog / time.Duration(endpoints)}
}
