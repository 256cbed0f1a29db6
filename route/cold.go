package route

import (
	"math/rand/v2"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// coldRateShare is the part of what a cold endpoint bears that all boxes together send it: each box keeps its own pauses, so
	// that in some seconds more of them come due than in others.
	coldRateShare = 0.6
	// coldAgainMargin is by how much later a cold endpoint must say that it is cold to have become so again: what is left of the
	// same time is told with each heartbeat, and read up to some 1.2 s later.
	coldAgainMargin = 2 * time.Second
)

// ColdPause is the pause that each of so many boxes keeps between its requests to a cold endpoint that bears so many a
// second; 0 if it bears any.
func ColdPause(perSecond float64, boxes int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(boxes) / (coldRateShare * perSecond) * float64(time.Second))
}

// IsColdAgain reports whether an endpoint that was cold until the one time has become cold anew until the other.
func IsColdAgain(before, until time.Time) bool {
	return until.After(before.Add(coldAgainMargin))
}

// SetColdPauses sets the pauses between this box's requests to one cold endpoint, by service.
func (p *Pool) SetColdPauses(pauses map[willowwick.ServiceID]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldPauses = pauses
}

// isCold reports whether the endpoint bears little yet.
func (m *member) isCold(now time.Time) bool {
	return now.Before(m.endpoint.ColdUntil)
}

// isColdPaused reports whether the endpoint is cold and this box's next request to it must wait. The first one waits for a
// random part of the pause: all boxes hear of the endpoint at the same time.
func (p *Pool) isColdPaused(now time.Time, m *member) bool {
	if !m.isCold(now) {
		return false
	}
	if m.nextColdSendAt.IsZero() {
		m.nextColdSendAt = now.Add(time.Duration(rand.Float64() * float64(p.coldPauses[m.endpoint.Service])))
	}
	return now.Before(m.nextColdSendAt)
}

// startColdPause begins the pause after a request to a cold endpoint.
func (p *Pool) startColdPause(now time.Time, m *member) {
	if m.isCold(now) {
		m.nextColdSendAt = now.Add(p.coldPauses[m.endpoint.Service])
	}
}
