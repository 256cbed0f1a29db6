package quarantine

import (
	"time"

	"github.com/willowwick/willowwick"
)

// PendingWrites returns the records to write to the store: refused requests that this box has seen itself, and
// admitted requests, without crashes, whose records are to be dropped.
func (l *Ledger) PendingWrites() []willowwick.PoisonRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []willowwick.PoisonRequest
	for request, isDue := range l.pendingWrites {
		s := l.suspects[request]
		switch {
		case !isDue:
			delete(l.pendingWrites, request)
		case !l.refused[request]:
			list = append(list, willowwick.PoisonRequest{Request: request, Scope: l.stored[request]})
		case s != nil && s.details != nil:
			record := *s.details
			record.Crashes, record.Tried = s.sortedCrashes(), s.triedReleases()
			list = append(list, record)
		default:
			delete(l.pendingWrites, request) // a box that has seen the request writes it
		}
	}
	return list
}

// MarkWritten records that the store holds the given record. What changed meanwhile is written again.
func (l *Ledger) MarkWritten(record willowwick.PoisonRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, hasCrashes := record.Request, len(record.Crashes) > 0
	if hasCrashes {
		l.stored[request] = record.Scope
	} else {
		delete(l.stored, request)
	}
	s := l.suspects[request]
	isCurrent := hasCrashes == l.refused[request] && (!hasCrashes || len(record.Tried) == len(s.trials))
	l.pendingWrites[request] = !isCurrent
}

// MarkRefusedPending marks all refused requests to be written after the store lost them, and returns their number.
func (l *Ledger) MarkRefusedPending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request := range l.refused {
		l.pendingWrites[request] = true
	}
	return len(l.refused)
}

// Restore merges the records of the store and marks those that are too old to be dropped there.
func (l *Ledger) Restore(records []willowwick.PoisonRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		l.restore(record, now)
	}
	l.updateRefused(now, "store")
	for _, record := range records {
		if l.refused[record.Request] {
			delete(l.pendingWrites, record.Request)
		}
	}
}

// restore merges one record. The caller holds the lock.
func (l *Ledger) restore(record willowwick.PoisonRequest, now time.Time) {
	l.stored[record.Request] = record.Scope
	for _, crash := range record.Crashes {
		if crash.At.After(now) {
			crash.At = now // clocks of boxes differ
		}
		if now.Sub(crash.At) > refusedTTL {
			l.pendingWrites[record.Request] = true
			continue
		}
		l.ensureSuspect(record.Request, record.Scope, crash.At).setDetails(record)
		l.addCrash(record.Request, record.Scope, crash, "")
	}
	for number, release := range record.Tried {
		l.addTrial(record.Request, trial{release, number}, now, "")
	}
}
