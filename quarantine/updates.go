package quarantine

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// kindCrash records that an endpoint crashed under the request.
	kindCrash kind = iota
	// kindAnswer records that the request was answered completely.
	kindAnswer
	// kindTrial records that the request is tried on a release.
	kindTrial
)

// maxHistory bounds the entries that are kept for incremental updates; a box that is further behind receives
// everything.
const maxHistory = 2 * maxSuspects

type (
	// kind is the type of a history entry.
	kind uint8

	// entry is one fact that a box observed or received from another box.
	entry struct {
		kind    kind
		request willowwick.Fingerprint
		scope   willowwick.PoisonScope   // only for a crash
		crash   willowwick.EndpointCrash // only the time for an answer, only time and release for a trial
		trial   int                      // number of the trial
		from    string                   // the box that sent it; empty if observed here
	}

	// history holds the entries of the ledger in order of arrival.
	history struct {
		first   uint64 // number of the first entry that is kept
		entries []entry
	}

	// Position is how much of another box's history a box knows.
	Position struct {
		Boot willowwick.BootID // the incarnation of the other box to which Next belongs
		Next uint64
	}

	// Updates holds what one box sends to another. Boxes of different releases exchange it.
	Updates struct {
		Position Position // in the sender's history, after these updates
		Ends     []CrashRow
		Answers  []AnswerRow
		Trials   []TrialRow
	}

	// CrashRow is a crash with the requests that were running there and the parts of their prompts, 16 bytes each on the wire.
	// Its fields keep the names that are on the wire; an earlier release passes over the parts.
	CrashRow struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
		Release     willowwick.ReleaseID
		AgeMs       int64
		Requests    []willowwick.Fingerprint
		// AccountParts and Parts are of the scopes of these names.
		AccountParts, Parts []willowwick.Fingerprint
	}

	// AnswerRow is a complete answer to a request.
	AnswerRow struct {
		Request willowwick.Fingerprint
		AgeMs   int64
	}

	// TrialRow is a trial of a request on a release.
	TrialRow struct {
		Request willowwick.Fingerprint
		Release willowwick.ReleaseID
		Number  int // number of earlier trials
		AgeMs   int64
	}
)

// add appends an entry and drops the oldest half when there are too many.
func (h *history) add(e entry) {
	h.entries = append(h.entries, e)
	if len(h.entries) > maxHistory {
		dropped := len(h.entries) - maxHistory/2
		h.entries = append([]entry(nil), h.entries[dropped:]...)
		h.first += uint64(dropped)
	}
}

// next returns the number of the next entry.
func (h *history) next() uint64 {
	return h.first + uint64(len(h.entries))
}

// UpdatesSince returns what the other box does not know beyond its position, without what it sent itself.
func (l *Ledger) UpdatesSince(known Position, boot willowwick.BootID, to string, now time.Time) Updates {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmFinishedRuns(now) {
		l.updateRefused(now, "answered here")
	}
	if l.history.next() == 0 {
		return Updates{} // keeps gossip exchanges small while nothing crashes
	}
	updates := Updates{Position: Position{Boot: boot, Next: l.history.next()}}
	if known.Boot != boot || known.Next < l.history.first {
		l.addEverything(&updates, now)
		return updates
	}
	at := map[crashKey]int{}
	for _, e := range l.history.entries[min(known.Next, l.history.next())-l.history.first:] {
		if e.from == "" || e.from != to {
			updates.add(e, at, now)
		}
	}
	return updates
}

// addEverything adds all that the ledger knows. The caller holds the lock.
func (l *Ledger) addEverything(updates *Updates, now time.Time) {
	at := map[crashKey]int{}
	for request, s := range l.suspects {
		if !s.clearedAt.IsZero() {
			updates.add(entry{kind: kindAnswer, request: request, crash: willowwick.EndpointCrash{At: s.clearedAt}}, at, now)
		}
		for _, crash := range s.crashes {
			updates.add(entry{kind: kindCrash, request: request, scope: s.scope, crash: crash}, at, now)
		}
		for tried := range s.trials {
			crash := willowwick.EndpointCrash{Release: tried.release, At: s.lastTrialAt}
			updates.add(entry{kind: kindTrial, request: request, crash: crash, trial: tried.number}, at, now)
		}
	}
}

// add adds an entry; at maps crashes to their rows.
func (n *Updates) add(e entry, at map[crashKey]int, now time.Time) {
	age := now.Sub(e.crash.At).Milliseconds()
	switch e.kind {
	case kindAnswer:
		n.Answers = append(n.Answers, AnswerRow{e.request, age})
	case kindTrial:
		n.Trials = append(n.Trials, TrialRow{e.request, e.crash.Release, e.trial, age})
	default:
		key := crashKey{e.crash.Endpoint, e.crash.Incarnation}
		row, found := at[key]
		if !found {
			row = len(n.Ends)
			at[key] = row
			n.Ends = append(n.Ends, CrashRow{Endpoint: key.endpoint, Incarnation: key.incarnation, Release: e.crash.Release, AgeMs: age})
		}
		n.Ends[row].add(e)
	}
}

// add adds a request or part to the crash.
func (r *CrashRow) add(e entry) {
	list := &r.Requests
	switch e.scope {
	case willowwick.ScopeAccountPart:
		list = &r.AccountParts
	case willowwick.ScopePart:
		list = &r.Parts
	}
	*list = append(*list, e.request)
}

// Merge merges updates of another box and reports whether any was new.
func (l *Ledger) Merge(updates Updates, from string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := l.confirmFinishedRuns(now)
	for _, row := range updates.Ends {
		crash := willowwick.EndpointCrash{Endpoint: row.Endpoint, Incarnation: row.Incarnation, Release: row.Release, At: ago(now, row.AgeMs)}
		for scope, list := range map[willowwick.PoisonScope][]willowwick.Fingerprint{
			willowwick.ScopeContent: row.Requests, willowwick.ScopeAccountPart: row.AccountParts, willowwick.ScopePart: row.Parts,
		} {
			for _, request := range list {
				isNew = l.addCrash(request, scope, crash, from) || isNew
			}
		}
	}
	for _, row := range updates.Trials {
		isNew = l.addTrial(row.Request, trial{row.Release, row.Number}, ago(now, row.AgeMs), from) || isNew
	}
	// Answers come last: they may clear crashes that came with them.
	for _, row := range updates.Answers {
		isNew = l.clear(row.Request, ago(now, row.AgeMs), from) || isNew
	}
	if isNew {
		l.updateRefused(now, "peer "+from)
	}
	return isNew
}

func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
