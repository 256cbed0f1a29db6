package quarantine

import (
	"time"

	"github.com/willowwick/willowwick"
)

// Due returns what has to be written to the store: the refused requests that this box has seen itself, and those that are admitted
// again, without ends.
func (l *Ledger) Due() []willowwick.PoisonRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []willowwick.PoisonRequest
	for request, isDue := range l.due {
		s := l.suspects[request]
		switch {
		case !isDue:
			delete(l.due, request)
		case !l.refused[request]:
			list = append(list, willowwick.PoisonRequest{Request: request})
		case s != nil && s.about != nil:
			record := *s.about
			record.Crashes, record.Tried = s.sorted(), s.trials()
			list = append(list, record)
		default:
			delete(l.due, request) // a box that has seen it writes it
		}
	}
	return list
}

// Written notes that the store has what was due of a request. What changed meanwhile is due again.
func (l *Ledger) Written(record willowwick.PoisonRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, holds := record.Request, len(record.Crashes) > 0
	if holds {
		l.stored[request] = true
	} else {
		delete(l.stored, request)
	}
	s := l.suspects[request]
	isCurrent := holds == l.refused[request] && (!holds || len(record.Tried) == len(s.tried))
	l.due[request] = !isCurrent
}

// WriteAgain makes all that is refused due, since the store has lost it, and returns how much that is.
func (l *Ledger) WriteAgain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request := range l.refused {
		l.due[request] = true
	}
	return len(l.refused)
}

// Restore takes what the store holds; what is too old to count is to be dropped there.
func (l *Ledger) Restore(records []willowwick.PoisonRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		l.restore(record, now)
	}
	l.judge(now, "store")
	for _, record := range records {
		if l.refused[record.Request] {
			delete(l.due, record.Request)
		}
	}
}

// restore takes one record; the caller holds the lock.
func (l *Ledger) restore(record willowwick.PoisonRequest, now time.Time) {
	l.stored[record.Request] = true
	for _, end := range record.Crashes {
		if end.At.After(now) {
			end.At = now // clocks of boxes differ
		}
		if now.Sub(end.At) > refusedKept {
			l.due[record.Request] = true
			continue
		}
		l.suspect(record.Request, end.At).identify(record)
		l.addEnd(record.Request, end, "")
	}
	for number, release := range record.Tried {
		l.addTrial(record.Request, trial{release, number}, now, "")
	}
}
