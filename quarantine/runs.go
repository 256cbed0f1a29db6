package quarantine

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// HarmlessRunTime is how long an endpoint must live after the begin of an answer to show that no part of the prompt crashes
	// it: a harmful part does so as the answer begins.
	HarmlessRunTime = 500 * time.Millisecond
	// finishedRunDelay is how long after the begin of an answer that ended sooner a crash of the endpoint may become known: no
	// connection of this box shows it then, but another box may tell of it.
	finishedRunDelay = 1500 * time.Millisecond
	// maxFinishedRuns bounds the answers that wait for that.
	maxFinishedRuns = 4096
	// maxAnsweredParts bounds the parts of each generation, and answeredPartTTL is the time after which a generation ends.
	maxAnsweredParts = 4096
	answeredPartTTL  = 5 * time.Minute
)

type (
	// Run is the run of a request at an endpoint.
	Run struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
		BeganAt     time.Time // when the answer began; zero before that
	}

	// finishedRun is a run whose endpoint may have crashed since.
	finishedRun struct {
		Run
		parts willowwick.PartFingerprints
	}

	// answeredParts keeps when endpoints last answered prompts with a part; the least recent ones give way. In a storm of
	// crashes hardly any answer comes to its end, so that the answers before it have to tell which parts are harmless.
	answeredParts struct {
		newer, older map[willowwick.Fingerprint]time.Time
		newerUntil   time.Time
	}
)

// IsHarmless reports whether the run has gone on for so long that no part of its prompt crashes endpoints.
func (r Run) IsHarmless(now time.Time) bool {
	return !r.BeganAt.IsZero() && now.Sub(r.BeganAt) >= HarmlessRunTime
}

// note records that the part was answered at a time.
func (a *answeredParts) note(part willowwick.Fingerprint, at time.Time) {
	if a.newer == nil || len(a.newer) >= maxAnsweredParts || at.After(a.newerUntil) {
		a.newer, a.older = map[willowwick.Fingerprint]time.Time{}, a.newer
		a.newerUntil = at.Add(answeredPartTTL)
	}
	if at.After(a.newer[part]) {
		a.newer[part] = at
	}
}

// newest returns when the part was last answered; zero if that is not known.
func (a *answeredParts) newest(part willowwick.Fingerprint) time.Time {
	if at, isKnown := a.newer[part]; isKnown {
		return at
	}
	return a.older[part]
}

// RecordRun records that an endpoint has answered a prompt, for HarmlessRunTime or to the end, so that its parts are harmless.
func (l *Ledger) RecordRun(parts willowwick.PartFingerprints, run Run, now time.Time) {
	if len(parts.OfAll) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	isChanged := l.confirmFinishedRuns(now)
	if run.IsHarmless(now) {
		isChanged = l.recordHarmless(parts, run.BeganAt) || isChanged
	} else if len(l.finishedRuns) < maxFinishedRuns {
		l.finishedRuns = append(l.finishedRuns, finishedRun{run, parts})
	}
	if isChanged {
		l.updateRefused(now, "answered here")
	}
}

// confirmFinishedRuns records those finished runs as harmless whose endpoints did not crash in time, and reports whether that
// changes what is suspected. The caller holds the lock.
func (l *Ledger) confirmFinishedRuns(now time.Time) (isChanged bool) {
	due := 0
	for due < len(l.finishedRuns) && now.Sub(l.finishedRuns[due].BeganAt) >= finishedRunDelay {
		run := l.finishedRuns[due]
		crashedAt, hasCrashed := l.knownCrashes[crashKey{run.Endpoint, run.Incarnation}]
		if !hasCrashed || crashedAt.Sub(run.BeganAt) > finishedRunDelay {
			isChanged = l.recordHarmless(run.parts, run.BeganAt) || isChanged
		}
		due++
	}
	l.finishedRuns = slices.Delete(l.finishedRuns, 0, due)
	return isChanged
}

// recordHarmless records an answer to a prompt with these parts, and reports whether that changes what is suspected. The caller
// holds the lock.
func (l *Ledger) recordHarmless(parts willowwick.PartFingerprints, at time.Time) (isChanged bool) {
	for _, list := range [][]willowwick.Fingerprint{parts.OfAccount, parts.OfAll} {
		for _, part := range list {
			l.answered.note(part, at)
			isChanged = l.clear(part, at, "") || isChanged
		}
	}
	return isChanged
}
