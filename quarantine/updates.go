package quarantine

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// kindCrash: an endpoint ended under the request.
	kindCrash kind = iota
	// kindAnswer: the request was answered whole.
	kindAnswer
	// kindTrial: the request is tried on a release.
	kindTrial
)

// maxHistory bounds what is kept to be told to other boxes one by one; to a box that is further behind all is told.
const maxHistory = 2 * maxSuspects

type (
	// kind is what an entry of the history says.
	kind uint8

	// entry is one thing that a box learnt, by itself or from another box.
	entry struct {
		kind    kind
		request willowwick.Fingerprint
		crash   willowwick.EndpointEnd // of an answer only the time, of a trial the time and the release
		trial   int                    // number of a trial
		from    string                 // the box that told of it; empty if it was seen here
	}

	// history is what the ledger learnt, in order.
	history struct {
		first   uint64 // number of the first entry that is kept
		entries []entry
	}

	// Position is up to where a box knows what another one has learnt.
	Position struct {
		Boot willowwick.BootID // the life of the other box in which it counted
		Next uint64
	}

	// Updates is what one box tells another.
	Updates struct {
		Position Position // of the box that tells, after these updates
		Ends     []CrashRow
		Answers  []AnswerRow
		Trials   []TrialRow
	}

	// CrashRow is the end of an endpoint with the requests that were at work there: 16 bytes each on the wire.
	CrashRow struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
		Release     willowwick.ReleaseID
		AgeMs       int64
		Requests    []willowwick.Fingerprint
	}

	// AnswerRow is the whole answer to a request.
	AnswerRow struct {
		Request willowwick.Fingerprint
		AgeMs   int64
	}

	// TrialRow is the trial of a request on a release.
	TrialRow struct {
		Request willowwick.Fingerprint
		Release willowwick.ReleaseID
		Number  int // of trials before it
		AgeMs   int64
	}
)

// add appends an entry.
func (h *history) add(e entry) {
	h.entries = append(h.entries, e)
	if len(h.entries) > maxHistory {
		dropped := len(h.entries) - maxHistory/2
		h.entries = append([]entry(nil), h.entries[dropped:]...)
		h.first += uint64(dropped)
	}
}

// next is the number of the next entry.
func (h *history) next() uint64 {
	return h.first + uint64(len(h.entries))
}

// UpdatesSince returns what another box does not know, which has told how far it does; what it told itself is left out.
func (l *Ledger) UpdatesSince(known Position, boot willowwick.BootID, to string, now time.Time) Updates {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history.next() == 0 {
		return Updates{} // on a calm day this costs swaps nothing
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

// addEverything adds all that is known; the caller holds the lock.
func (l *Ledger) addEverything(updates *Updates, now time.Time) {
	at := map[crashKey]int{}
	for request, s := range l.suspects {
		if !s.clearedAt.IsZero() {
			updates.add(entry{kind: kindAnswer, request: request, crash: willowwick.EndpointEnd{At: s.clearedAt}}, at, now)
		}
		for _, end := range s.crashes {
			updates.add(entry{kind: kindCrash, request: request, crash: end}, at, now)
		}
		for tried := range s.trials {
			end := willowwick.EndpointEnd{Release: tried.release, At: s.lastTrialAt}
			updates.add(entry{kind: kindTrial, request: request, crash: end, trial: tried.number}, at, now)
		}
	}
}

// add adds an entry; at is where the rows of ends stand.
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
		n.Ends[row].Requests = append(n.Ends[row].Requests, e.request)
	}
}

// Merge takes what another box told, and reports whether it was updates.
func (l *Ledger) Merge(updates Updates, from string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := false
	for _, row := range updates.Ends {
		end := willowwick.EndpointEnd{Endpoint: row.Endpoint, Incarnation: row.Incarnation, Release: row.Release, At: ago(now, row.AgeMs)}
		for _, request := range row.Requests {
			isNew = l.addCrash(request, end, from) || isNew
		}
	}
	for _, row := range updates.Trials {
		isNew = l.addTrial(row.Request, trial{row.Release, row.Number}, ago(now, row.AgeMs), from) || isNew
	}
	// Answers come last: they may clear ends that came with them.
	for _, row := range updates.Answers {
		isNew = l.applyAnswer(row.Request, ago(now, row.AgeMs), from) || isNew
	}
	if isNew {
		l.updateRefused(now, "peer "+from)
	}
	return isNew
}

func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
