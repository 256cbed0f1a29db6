package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// coldRateShare is the share of a cold endpoint's declared rate that all boxes together send it. Boxes pace
	// independently, so in some seconds more of their requests coincide than in others.
	coldRateShare = 0.6
	// coldAgainMargin is by how much ColdUntil must move for the endpoint to count as cold anew: each heartbeat
	// reports the remaining time afresh, and is read up to about 1.2 s later.
	coldAgainMargin = 2 * time.Second
)

// ColdPause returns the pause that each of a number of boxes keeps between its requests to a cold endpoint that
// accepts perSecond requests a second; 0 if perSecond is 0, which means no limit.
func ColdPause(perSecond float64, boxes int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(boxes) / (coldRateShare * perSecond) * float64(time.Second))
}

// IsColdAgain reports whether an endpoint has become cold anew, given its former ColdUntil and its current one.
func IsColdAgain(former, current time.Time) bool {
	return current.After(former.Add(coldAgainMargin))
}

// SetColdPauses sets the pause between this box's requests to one cold endpoint, by service.
func (p *Pool) SetColdPauses(pauses map[willowwick.ServiceID]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldPauses = pauses
}

// isCold reports whether the endpoint is still warming up.
func (m *member) isCold(now time.Time) bool {
	return now.Before(m.endpoint.ColdUntil)
}

// isColdPaused reports whether the endpoint is cold and this box must wait before its next request to it. The first
// request waits for a part of the pause, since all boxes learn of the endpoint at the same time.
func (p *Pool) isColdPaused(now time.Time, m *member) bool {
	if !m.isCold(now) {
		return false
	}
	if m.nextColdSendAt.IsZero() {
		m.nextColdSendAt = now.Add(time.Duration(p.drawTurn(m.endpoint.ID) * float64(p.coldPauses[m.endpoint.Service])))
	}
	return now.Before(m.nextColdSendAt)
}

// startColdPause starts the pause that follows a request to a cold endpoint.
func (p *Pool) startColdPause(now time.Time, m *member) {
	if m.isCold(now) {
		m.nextColdSendAt = now.Add(p.coldPauses[m.endpoint.Service])
	}
}
