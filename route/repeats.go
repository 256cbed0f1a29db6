package route

import (
	"sync"
	"time"
)

// RepeatKind orders repeats by what is lost without them.
type RepeatKind int

// Kinds of repeat.
const (
	// RepeatFailover sends a request again that would otherwise fail.
	RepeatFailover RepeatKind = iota
	// RepeatEscalation asks a larger model after an answer of low confidence.
	RepeatEscalation
)

const (
	// windowParts is the number of parts of the window; one part is the error of the count.
	windowParts = 10
	// repeatMargin is the share of the operator's allowance that is used: boxes count by clocks of their own,
	// and a request may arrive in another part of the window than it was counted in.
	repeatMargin = 0.85
	// escalationMargin is the share of it that escalations may use up; the rest stays for failover.
	escalationMargin = 0.8
)

type (
	// RepeatLimits are the operator's bound on arrivals beyond the first of each request.
	RepeatLimits struct {
		Ratio  float64       // repeats allowed for each request of the window
		Slack  int           // repeats allowed beyond that, for all boxes together
		Window time.Duration // setting: window in which they are counted
	}

	// RepeatBudget holds one box to its part of the bound, for one service.
	RepeatBudget struct {
		mu     sync.Mutex
		limits RepeatLimits
		parts  [windowParts]repeatPart
	}

	// repeatPart counts one part of the window.
	repeatPart struct {
		turn     int64 // which part of time it counts
		requests int
		repeats  int
	}
)

// NewRepeatBudget returns a budget with nothing counted.
func NewRepeatBudget(limits RepeatLimits) *RepeatBudget {
	return &RepeatBudget{limits: limits}
}

// Request counts a request of a caller.
func (b *RepeatBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.part(now).requests++
}

// Take counts a repeat if this box's part of the bound allows it.
func (b *RepeatBudget) Take(now time.Time, kind RepeatKind, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, kind, boxes) {
		return false
	}
	b.part(now).repeats++
	return true
}

// Allows reports whether Take would allow a repeat.
func (b *RepeatBudget) Allows(now time.Time, kind RepeatKind, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, kind, boxes)
}

func (b *RepeatBudget) allows(now time.Time, kind RepeatKind, boxes int) bool {
	requests, repeats := b.sums(now)
	allowed := repeatMargin * (b.limits.Ratio*float64(requests) + float64(b.limits.Slack)/float64(max(boxes, 1)))
	if kind == RepeatEscalation {
		allowed *= escalationMargin
	}
	return float64(repeats+1) <= allowed
}

func (b *RepeatBudget) turn(now time.Time) int64 {
	return now.UnixNano() / (int64(b.limits.Window) / windowParts)
}

func (b *RepeatBudget) part(now time.Time) *repeatPart {
	turn := b.turn(now)
	part := &b.parts[turn%windowParts]
	if part.turn != turn {
		*part = repeatPart{turn: turn}
	}
	return part
}

func (b *RepeatBudget) sums(now time.Time) (requests, repeats int) {
	turn := b.turn(now)
	for _, part := range b.parts {
		if turn-part.turn < windowParts {
			requests += part.requests
			repeats += part.repeats
		}
	}
	return requests, repeats
}
