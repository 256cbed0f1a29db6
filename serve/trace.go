package serve

import (
	"fmt"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	maxTraces     = 4096
	maxTraceSteps = 64
)

type (
	// TraceStep is one decision in the handling of a request.
	TraceStep struct {
		At     time.Time `json:"at"`
		Event  string    `json:"event"`
		Detail string    `json:"detail"`
	}

	// Trace lists the decisions in the handling of a request.
	Trace struct {
		Request willowwick.RequestID `json:"request"`
		Account willowwick.AccountID `json:"account"`
		Target  string               `json:"target"`
		Box     willowwick.BoxID     `json:"box"`
		Steps   []TraceStep          `json:"steps"`

		mu sync.Mutex
	}

	// traces holds the newest maxTraces traces of a box.
	traces struct {
		mu   sync.Mutex
		byID map[willowwick.RequestID]*Trace
		ring []willowwick.RequestID
		next int
	}
)

func newTraces() *traces {
	return &traces{byID: map[willowwick.RequestID]*Trace{}, ring: make([]willowwick.RequestID, maxTraces)}
}

func (t *traces) start(box willowwick.BoxID, id willowwick.RequestID, account willowwick.AccountID, target string) *Trace {
	trace := &Trace{Request: id, Account: account, Target: target, Box: box}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.ring[t.next])
	t.ring[t.next] = id
	t.next = (t.next + 1) % maxTraces
	t.byID[id] = trace
	return trace
}

func (t *traces) find(id willowwick.RequestID) (*Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace, ok := t.byID[id]
	return trace, ok
}

// add appends a decision, unless the trace already has maxTraceSteps.
func (t *Trace) add(event, format string, args ...any) {
	step := TraceStep{At: clock.TimeOfDay(), Event: event, Detail: fmt.Sprintf(format, args...)}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.Steps) < maxTraceSteps {
		t.Steps = append(t.Steps, step)
	}
}

// clone returns a copy of the trace.
func (t *Trace) clone() *Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Trace{
		Request: t.Request, Account: t.Account, Target: t.Target, Box: t.Box,
		Steps: append([]TraceStep(nil), t.Steps...),
	}
}
