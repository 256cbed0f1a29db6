package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// RefuseAfterCrashes is how many endpoints must crash under a request, without a complete answer since, before it
	// is refused. Operators allow three; an endpoint that crashes for another reason takes innocent requests with it.
	RefuseAfterCrashes = 3
	// refuseAnsweredPartAfterCrashes is the same for a part of prompts that endpoints have answered: many sound requests may have
	// it, and all of them are at work where endpoints crash for a reason of their own.
	refuseAnsweredPartAfterCrashes = 8
	// correlationWindow is the time within which crashes probably have a common cause other than the request, such
	// as a failed rack or a bad release. A request that was on many of the endpoints at once is refused, but may get a
	// trial on any release.
	correlationWindow = time.Second
	// firstTrialDelay is the time from the last crash to the first trial of a refused request; by then all boxes
	// refuse it.
	firstTrialDelay = 2 * time.Second
	// trialBackoffFactor multiplies the delay before each further trial: 2 s, 20 s, 3 min. Each trial may crash one
	// more endpoint with all its requests; operators allow three, and the remaining one allows for boxes that have
	// not received the updates yet.
	trialBackoffFactor = 10
	// clearTolerance is how much later than a complete answer a crash may be and still be cleared by it: boxes
	// exchange ages instead of times, so a reported time may be off by the duration of a gossip exchange.
	clearTolerance = time.Second
	// partClearTolerance is how much later than the begin of an answer a crash may be and still say nothing against the parts of
	// the prompt: answers come rarely while endpoints crash.
	partClearTolerance = 5 * time.Second
	// suspectTTL is how long crashes count if they have not led to a refusal. Callers retry for less than a minute.
	suspectTTL = 10 * time.Minute
	// refusedTTL is how long a request is refused after its last crash. Within a day somebody has looked into the
	// crashes.
	refusedTTL = 24 * time.Hour
	// expireInterval is the minimum time between two sweeps for expired entries.
	expireInterval = time.Minute
	// maxSuspects bounds the requests that are kept: 40 crashes of endpoints with a hundred requests each, in 1 MB.
	maxSuspects = 4096
	// maxRefused bounds the refused whole requests; three endpoints have to crash for each.
	maxRefused = 256
	// maxCrashes bounds the crashes that are kept for a request; more prove nothing. maxPartCrashes bounds those of a part: which
	// part accounts for the crashes of others shows only as long as all of them are kept.
	maxCrashes     = 8
	maxPartCrashes = 32
)

type (
	// Ledger records the requests under which endpoints crashed, and the parts of their prompts. Boxes exchange their records and come to the same
	// decisions, in whatever order the updates arrive.
	Ledger struct {
		hasSuspects atomic.Bool // whether suspects is not empty; read without the lock

		mu            sync.Mutex
		suspects      map[willowwick.Fingerprint]*suspect
		candidates    map[willowwick.Fingerprint]*suspect // suspects with enough crashes to be refused
		refused       map[willowwick.Fingerprint]bool
		companions    map[willowwick.Fingerprint][]willowwick.Fingerprint // of refused parts; see culprit
		admitted      map[willowwick.Fingerprint]willowwick.Position      // despite their crashes, by the operator
		knownCrashes  map[crashKey]time.Time                              // crashes under any request
		history       history
		pendingWrites map[willowwick.Fingerprint]bool                   // requests whose stored record has to be written or dropped
		stored        map[willowwick.Fingerprint]willowwick.PoisonScope // requests with a stored record, as far as this box wrote or read it
		answered      answeredParts
		finishedRuns  []finishedRun // in the order in which they ended
		nextExpiry    time.Time     // no sweep for expired entries before
	}

	// crashKey identifies a crash by the incarnation of the endpoint.
	crashKey struct {
		endpoint    willowwick.EndpointID
		incarnation willowwick.Incarnation
	}
)

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		suspects: map[willowwick.Fingerprint]*suspect{}, candidates: map[willowwick.Fingerprint]*suspect{},
		refused: map[willowwick.Fingerprint]bool{}, pendingWrites: map[willowwick.Fingerprint]bool{}, knownCrashes: map[crashKey]time.Time{},
		stored: map[willowwick.Fingerprint]willowwick.PoisonScope{}, companions: map[willowwick.Fingerprint][]willowwick.Fingerprint{},
	}
}

// IsEmpty reports whether no request is suspected, so that requests need no fingerprint.
func (l *Ledger) IsEmpty() bool {
	return !l.hasSuspects.Load()
}

// Refuses reports whether the request must not be sent to any endpoint.
func (l *Ledger) Refuses(request willowwick.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isRefused(request)
}

// RefusesParts reports whether prompts with these parts must not be sent to any endpoint.
func (l *Ledger) RefusesParts(parts willowwick.PartFingerprints) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.refusedParts(parts)) > 0
}

// refusedParts returns the parts for which a prompt is refused. The caller holds the lock.
func (l *Ledger) refusedParts(parts willowwick.PartFingerprints) (refused []willowwick.Fingerprint) {
	for _, list := range [][]willowwick.Fingerprint{parts.OfAccount, parts.OfAll} {
		for _, part := range list {
			lacksCompanion := slices.ContainsFunc(l.companions[part], func(companion willowwick.Fingerprint) bool {
				return l.isRefused(companion) && !slices.Contains(list, companion)
			})
			if l.isRefused(part) && !lacksCompanion {
				refused = append(refused, part)
			}
		}
	}
	return refused
}

// isRefused reports whether a request or part is refused and the operator does not admit it. The caller holds the lock.
func (l *Ledger) isRefused(request willowwick.Fingerprint) bool {
	_, isAdmitted := l.admitted[request]
	return l.refused[request] && !isAdmitted
}

// SetAdmitted replaces the set of requests that the operator admits despite their crashes.
func (l *Ledger) SetAdmitted(requests map[willowwick.Fingerprint]willowwick.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitted = requests
}

// Counts returns how many requests, and parts of prompts, are suspected, and how many of them are refused.
func (l *Ledger) Counts() (suspected, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects), len(l.refused)
}

// CountParts returns how many parts of prompts are suspected, and how many of them are refused.
func (l *Ledger) CountParts() (suspected, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fingerprint, s := range l.suspects {
		if s.scope == willowwick.ScopeContent {
			continue
		}
		suspected++
		if l.refused[fingerprint] {
			refused++
		}
	}
	return suspected, refused
}

// RecordCrash records that an endpoint crashed while it ran the request for this box, and reports whether the crash
// was not known before under any request.
func (l *Ledger) RecordCrash(details willowwick.PoisonRequest, crash willowwick.EndpointCrash) (isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isKnown := l.knownCrashes[crashKey{crash.Endpoint, crash.Incarnation}]
	l.confirmFinishedRuns(crash.At)
	l.recordCrashUnder(details, crash)
	for _, part := range partsOf(details) {
		l.recordCrashUnder(part, crash)
	}
	l.updateRefused(crash.At, "seen here")
	return !isKnown
}

// recordCrashUnder records a crash under a request or part. The caller holds the lock.
func (l *Ledger) recordCrashUnder(details willowwick.PoisonRequest, crash willowwick.EndpointCrash) {
	l.addCrash(details.Request, details.Scope, crash, "")
	if s := l.suspects[details.Request]; s != nil {
		s.setDetails(details)
	}
}

// partsOf describes the parts of a request's prompt as requests of wider scopes.
func partsOf(request willowwick.PoisonRequest) (parts []willowwick.PoisonRequest) {
	for _, part := range request.Parts.OfAccount {
		parts = append(parts, willowwick.PoisonRequest{
			Request: part, Scope: willowwick.ScopeAccountPart, Account: request.Account, Service: request.Service,
		})
	}
	for _, part := range request.Parts.OfAll {
		parts = append(parts, willowwick.PoisonRequest{Request: part, Scope: willowwick.ScopePart, Service: request.Service})
	}
	return parts
}

// CrashTime returns when the incarnation of the endpoint crashed, if a crash is known under any request.
func (l *Ledger) CrashTime(endpoint willowwick.EndpointID, incarnation willowwick.Incarnation) (at time.Time, isKnown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, isKnown = l.knownCrashes[crashKey{endpoint, incarnation}]
	return at, isKnown
}

// RecordAnswer records that an endpoint answered the request completely, so that earlier crashes had another cause.
func (l *Ledger) RecordAnswer(request willowwick.Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clear(request, now, "") {
		l.updateRefused(now, "answered here")
	}
}

// AllowTrial returns the release on whose endpoints a refused request may be tried, if there is one; only one box may
// call it at a time. The request may be tried on a release none of whose endpoints crashed under it, and on any
// release if its crashes may have another cause: they all lie within correlationWindow, or another request has exactly
// the same crashes. The same holds for each part of its prompt that is refused.
func (l *Ledger) AllowTrial(
	details willowwick.PoisonRequest, releases []willowwick.ReleaseID, now time.Time,
) (release willowwick.ReleaseID, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refusedParts(details.Parts)
	if s := l.suspects[details.Request]; s != nil && l.isRefused(details.Request) {
		s.setDetails(details)
		refused = append(refused, details.Request)
	}
	for _, release := range releases {
		isAllowed := func(request willowwick.Fingerprint) bool { return l.allowsTrialOn(l.suspects[request], release, now) }
		if len(refused) == 0 || slices.ContainsFunc(refused, func(request willowwick.Fingerprint) bool { return !isAllowed(request) }) {
			continue
		}
		for _, request := range refused {
			l.addTrial(request, trial{release, len(l.suspects[request].trials)}, now, "")
			l.pendingWrites[request] = true
		}
		return release, true
	}
	return "", false
}

// allowsTrialOn reports whether a refused suspect may be tried on a release. The caller holds the lock.
func (l *Ledger) allowsTrialOn(s *suspect, release willowwick.ReleaseID, now time.Time) bool {
	if s == nil || now.Before(s.nextTrialAt()) {
		return false
	}
	// A prompt that has all of several parts with the same crashes doesn't tell which of them it is.
	isDoubtful := s.hasCorrelatedCrashes() || s.scope == willowwick.ScopeContent && l.hasEqualCandidate(s)
	return isDoubtful || !s.crashedOn(release)
}

// Expire drops entries that are too old to count. It does so at most once every expireInterval, so it may be called
// often.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(expireInterval)
	for request, s := range l.suspects {
		ttl := suspectTTL
		if l.refused[request] {
			ttl = refusedTTL
		}
		if now.Sub(s.updatedAt) > ttl {
			l.remove(request)
		}
	}
	for key, at := range l.knownCrashes {
		if now.Sub(at) > suspectTTL {
			delete(l.knownCrashes, key)
		}
	}
	l.updateRefused(now, "too old")
}

// ensureSuspect returns the entry of a request or part and creates it if there is none. The caller holds the lock.
func (l *Ledger) ensureSuspect(request willowwick.Fingerprint, scope willowwick.PoisonScope, now time.Time) *suspect {
	s := l.suspects[request]
	if s == nil {
		l.evictLeastSuspect()
		s = newSuspect(scope)
		l.suspects[request] = s
		l.hasSuspects.Store(true)
	}
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
	return s
}

// evictLeastSuspect drops the request with the fewest crashes, the oldest of these, if the ledger is full. The caller
// holds the lock.
func (l *Ledger) evictLeastSuspect() {
	if len(l.suspects) < maxSuspects {
		return
	}
	var least willowwick.Fingerprint
	var found *suspect
	for request, s := range l.suspects {
		isLess := found == nil || len(s.crashes) < len(found.crashes) || len(s.crashes) == len(found.crashes) && s.updatedAt.Before(found.updatedAt)
		if isLess {
			least, found = request, s
		}
	}
	l.remove(least)
}

// remove drops a request. The caller holds the lock.
func (l *Ledger) remove(request willowwick.Fingerprint) {
	delete(l.suspects, request)
	delete(l.candidates, request)
	l.hasSuspects.Store(len(l.suspects) > 0)
}

// addCrash adds a crash under a request or part, and reports whether that is news. The caller holds the lock.
func (l *Ledger) addCrash(request willowwick.Fingerprint, scope willowwick.PoisonScope, crash willowwick.EndpointCrash, from string) bool {
	key := crashKey{crash.Endpoint, crash.Incarnation}
	answeredAt := l.answered.newest(request)
	if l.suspects[request] == nil && from == "" && isClearedBy(answeredAt, scope, crash) {
		return false // a part that endpoints answer
	}
	s := l.ensureSuspect(request, scope, crash.At)
	_, isKnown := s.crashes[key]
	if isKnown || s.isCleared(crash) || s.isFull() {
		return false
	}
	s.crashes[key] = crash
	l.knownCrashes[key] = crash.At
	if l.clear(request, answeredAt, "") && s.isCleared(crash) {
		return true // other boxes learn of the answer instead
	}
	if len(s.crashes) >= RefuseAfterCrashes {
		l.candidates[request] = s
	}
	l.history.add(entry{kind: kindCrash, request: request, scope: scope, crash: crash, from: from})
	return true
}

// clear clears the crashes up to the time of an answer, and reports whether that is news. The caller holds the lock.
func (l *Ledger) clear(request willowwick.Fingerprint, at time.Time, from string) bool {
	s := l.suspects[request]
	if s == nil || len(s.crashes) == 0 || !at.After(s.clearedAt) {
		return false
	}
	count, wasAnswered := len(s.crashes), s.isAnswered()
	maps.DeleteFunc(s.crashes, func(_ crashKey, crash willowwick.EndpointCrash) bool { return isClearedBy(at, s.scope, crash) })
	if s.scope != willowwick.ScopeContent && wasAnswered && len(s.crashes) == count {
		return false // parts are answered all the time
	}
	s.clearedAt = at
	if at.After(s.updatedAt) {
		s.updatedAt = at
	}
	if len(s.crashes) < RefuseAfterCrashes {
		delete(l.candidates, request)
	}
	l.history.add(entry{kind: kindAnswer, request: request, crash: willowwick.EndpointCrash{At: at}, from: from})
	return true
}

// addTrial adds a trial of a request and reports whether it is new. The caller holds the lock.
func (l *Ledger) addTrial(request willowwick.Fingerprint, tried trial, at time.Time, from string) bool {
	s := l.suspects[request]
	if s == nil || s.trials[tried] {
		return false
	}
	s.trials[tried] = true
	if at.After(s.lastTrialAt) {
		s.lastTrialAt = at
	}
	l.history.add(entry{kind: kindTrial, request: request, crash: willowwick.EndpointCrash{Release: tried.release, At: at}, trial: tried.number, from: from})
	return true
}
