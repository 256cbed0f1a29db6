package route

import (
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// departureMargin is how long before an endpoint ends the last answers leave it; the end is known only roughly.
	departureMargin = 400 * time.Millisecond
	// observationWeight is the weight of one answer in the moving average of lengths.
	observationWeight = 0.1
	// longAnswerFactor is the multiple of the usual time within which an answer whose pace is not known yet is expected to end.
	longAnswerFactor = 1.25
)

type (
	// AnswerLengths learns how long the answers of each route and model usually are.
	AnswerLengths struct {
		mu    sync.Mutex
		usual map[answerKind]answerLength
	}

	// AnswerProgress is the state of an answer in progress.
	AnswerProgress struct {
		SentAt       time.Time
		FirstEventAt time.Time // of this send; zero before the first event
		LastEventAt  time.Time // of this send
		SendEvents   int       // received of this send
		AllEvents    int       // received of all sends of the request
	}

	answerKind struct {
		route willowwick.RouteID
		model willowwick.ModelID
	}

	answerLength struct {
		seconds float64 // from the send of the request to the end
		events  float64
	}
)

// NewAnswerLengths returns lengths that know no answers.
func NewAnswerLengths() *AnswerLengths {
	return &AnswerLengths{usual: map[answerKind]answerLength{}}
}

// Observe records a complete answer that took one send.
func (l *AnswerLengths) Observe(route willowwick.RouteID, model willowwick.ModelID, took time.Duration, events int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := answerKind{route, model}
	known, isKnown := l.usual[kind]
	if !isKnown {
		l.usual[kind] = answerLength{took.Seconds(), float64(events)}
		return
	}
	known.seconds += observationWeight * (took.Seconds() - known.seconds)
	known.events += observationWeight * (float64(events) - known.events)
	l.usual[kind] = known
}

// IsLikelyDone reports whether an answer in progress is likely to end by itself before the given time; it isn't if no
// answer of its kind is known.
func (l *AnswerLengths) IsLikelyDone(route willowwick.RouteID, model willowwick.ModelID, progress AnswerProgress, before time.Time) bool {
	l.mu.Lock()
	usual, isKnown := l.usual[answerKind{route, model}]
	l.mu.Unlock()
	if !isKnown {
		return false
	}
	return progress.expectedEnd(usual).Before(before)
}

// expectedEnd returns when the answer ends at the pace of its events, or by the usual time while fewer than two have come.
func (p AnswerProgress) expectedEnd(usual answerLength) time.Time {
	if p.SendEvents < 2 {
		return p.SentAt.Add(seconds(longAnswerFactor * usual.seconds))
	}
	gap := p.LastEventAt.Sub(p.FirstEventAt).Seconds() / float64(p.SendEvents-1)
	left := max(usual.events-float64(p.AllEvents), 0)
	return p.LastEventAt.Add(seconds(left * gap))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// DepartureTime returns when an answer leaves an endpoint that ends at leavesAt, which became known at knownAt. The share,
// from 0 to 1, of the time left passes before; different shares spread the answers over that time.
func DepartureTime(knownAt, leavesAt time.Time, share float64) time.Time {
	window := max(leavesAt.Add(-departureMargin).Sub(knownAt), 0)
	return knownAt.Add(time.Duration(share * float64(window)))
}
