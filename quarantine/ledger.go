package quarantine

import (
	"cmp"
	"log/slog"
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
	// suspectTTL is how long crashes count if they have not led to a refusal. Callers retry for less than a minute.
	suspectTTL = 10 * time.Minute
	// refusedTTL is how long a request is refused after its last crash. Within a day somebody has looked into the
	// crashes.
	refusedTTL = 24 * time.Hour
	// expireInterval is the minimum time between two sweeps for expired entries.
	expireInterval = time.Minute
	// maxSuspects bounds the requests that are kept: 40 crashes of endpoints with a hundred requests each, in 1 MB.
	maxSuspects = 4096
	// maxRefused bounds the refused requests; three endpoints have to crash for each.
	maxRefused = 256
	// maxCrashes bounds the crashes that are kept for a request; more prove nothing.
	maxCrashes = 8
)

type (
	// Ledger records the requests under which endpoints crashed. Boxes exchange their records and come to the same
	// decisions, in whatever order the updates arrive.
	Ledger struct {
		hasSuspects atomic.Bool // whether suspects is not empty; read without the lock

		mu            sync.Mutex
		suspects      map[willowwick.Fingerprint]*suspect
		candidates    map[willowwick.Fingerprint]*suspect // suspects with enough crashes to be refused
		refused       map[willowwick.Fingerprint]bool
		admitted      map[willowwick.Fingerprint]willowwick.Position // despite their crashes, by the operator
		knownCrashes  map[crashKey]time.Time                         // crashes under any request
		history       history
		pendingWrites map[willowwick.Fingerprint]bool // requests whose stored record has to be written or dropped
		stored        map[willowwick.Fingerprint]bool // requests with a stored record, as far as this box wrote or read it
		nextExpiry    time.Time                       // no sweep for expired entries before
	}

	// crashKey identifies a crash by the incarnation of the endpoint.
	crashKey struct {
		endpoint    willowwick.EndpointID
		incarnation willowwick.Incarnation
	}

	// suspect is a request under which an endpoint crashed.
	suspect struct {
		details     *willowwick.PoisonRequest // without crashes; nil if only other boxes saw the request
		crashes     map[crashKey]willowwick.EndpointCrash
		clearedAt   time.Time // time of the newest complete answer; crashes before it do not count
		trials      map[trial]bool
		lastTrialAt time.Time // time of the newest trial
		updatedAt   time.Time
	}

	// trial is one send of a refused request that tests whether it still crashes endpoints.
	trial struct {
		release willowwick.ReleaseID
		number  int // number of earlier trials
	}
)

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		suspects: map[willowwick.Fingerprint]*suspect{}, candidates: map[willowwick.Fingerprint]*suspect{},
		refused: map[willowwick.Fingerprint]bool{}, pendingWrites: map[willowwick.Fingerprint]bool{}, knownCrashes: map[crashKey]time.Time{},
		stored: map[willowwick.Fingerprint]bool{},
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
	_, isAdmitted := l.admitted[request]
	return l.refused[request] && !isAdmitted
}

// SetAdmitted replaces the set of requests that the operator admits despite their crashes.
func (l *Ledger) SetAdmitted(requests map[willowwick.Fingerprint]willowwick.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitted = requests
}

// Counts returns how many requests are suspected, and how many of them are refused.
func (l *Ledger) Counts() (suspected, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects), len(l.refused)
}

// RecordCrash records that an endpoint crashed while it ran the request for this box, and reports whether the crash
// was not known before under any request.
func (l *Ledger) RecordCrash(details willowwick.PoisonRequest, crash willowwick.EndpointCrash) (isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isKnown := l.knownCrashes[crashKey{crash.Endpoint, crash.Incarnation}]
	s := l.ensureSuspect(details.Request, crash.At)
	s.setDetails(details)
	l.addCrash(details.Request, crash, "")
	l.updateRefused(crash.At, "seen here")
	return !isKnown
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
// the same crashes.
func (l *Ledger) AllowTrial(
	details willowwick.PoisonRequest, releases []willowwick.ReleaseID, now time.Time,
) (release willowwick.ReleaseID, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := details.Request
	s := l.suspects[request]
	if s == nil || !l.refused[request] || now.Before(s.nextTrialAt()) {
		return "", false
	}
	s.setDetails(details)
	isDoubtful := s.hasCorrelatedCrashes() || l.hasEqualCandidate(s)
	for _, release := range releases {
		if isDoubtful || !s.crashedOn(release) {
			l.addTrial(request, trial{release, len(s.trials)}, now, "")
			l.pendingWrites[request] = true
			return release, true
		}
	}
	return "", false
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

// ensureSuspect returns the entry of a request and creates it if there is none. The caller holds the lock.
func (l *Ledger) ensureSuspect(request willowwick.Fingerprint, now time.Time) *suspect {
	s := l.suspects[request]
	if s == nil {
		l.evictLeastSuspect()
		s = &suspect{crashes: map[crashKey]willowwick.EndpointCrash{}, trials: map[trial]bool{}}
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

// addCrash adds a crash under a request and reports whether it is new. The caller holds the lock.
func (l *Ledger) addCrash(request willowwick.Fingerprint, crash willowwick.EndpointCrash, from string) bool {
	s := l.ensureSuspect(request, crash.At)
	key := crashKey{crash.Endpoint, crash.Incarnation}
	_, known := s.crashes[key]
	if known || s.isCleared(crash) || len(s.crashes) >= maxCrashes {
		return false
	}
	s.crashes[key] = crash
	l.knownCrashes[key] = crash.At
	if len(s.crashes) >= RefuseAfterCrashes {
		l.candidates[request] = s
	}
	l.history.add(entry{kind: kindCrash, request: request, crash: crash, from: from})
	return true
}

// clear clears a request's crashes up to the time of a complete answer, and reports whether that is new. The
// caller holds the lock.
func (l *Ledger) clear(request willowwick.Fingerprint, at time.Time, from string) bool {
	s := l.suspects[request]
	if s == nil || len(s.crashes) == 0 || !at.After(s.clearedAt) {
		return false
	}
	s.clearedAt, s.updatedAt = at, at
	for key, crash := range s.crashes {
		if s.isCleared(crash) {
			delete(s.crashes, key)
		}
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

// updateRefused recomputes which requests are refused; source names the origin of the change, for the log. The caller
// holds the lock.
func (l *Ledger) updateRefused(now time.Time, source string) {
	for request := range l.refused {
		if l.candidates[request] == nil || l.isExplainedByOther(l.candidates[request]) {
			l.admit(request, source)
		}
	}
	for request, s := range l.candidates {
		if !l.refused[request] && !l.isExplainedByOther(s) && len(l.refused) < maxRefused {
			l.refuse(request, s, now, source)
		}
	}
}

// refuse starts refusing a request. The caller holds the lock.
func (l *Ledger) refuse(request willowwick.Fingerprint, s *suspect, now time.Time, source string) {
	l.refused[request] = true
	l.pendingWrites[request] = true
	attributes := []any{"fingerprint", request.String(), "ends", len(s.crashes), "source", source, "last_end_ms_ago", now.Sub(s.lastCrash()).Milliseconds()}
	var endpoints []string
	for _, crash := range s.sortedCrashes() {
		endpoints = append(endpoints, string(crash.Endpoint))
	}
	attributes = append(attributes, "endpoints", endpoints)
	if s.details != nil {
		attributes = append(attributes, "account", s.details.Account, "service", s.details.Service, "host", s.details.Host, "target", s.details.Target)
	}
	slog.Warn("request is refused from now on: endpoints ended while they ran it", attributes...)
}

// admit stops refusing a request. The caller holds the lock.
func (l *Ledger) admit(request willowwick.Fingerprint, source string) {
	delete(l.refused, request)
	l.pendingWrites[request] = l.stored[request] // a record that another box wrote is dropped by that box
	slog.Info("request is sent to endpoints again", "fingerprint", request.String(), "source", source)
}

// isExplainedByOther reports whether another candidate has all crashes of this one and more, and so is the more likely
// cause. The caller holds the lock.
func (l *Ledger) isExplainedByOther(s *suspect) bool {
	for _, other := range l.candidates {
		if len(other.crashes) > len(s.crashes) && other.includesCrashesOf(s) {
			return true
		}
	}
	return false
}

// hasEqualCandidate reports whether another candidate has exactly the same crashes. The caller holds the lock.
func (l *Ledger) hasEqualCandidate(s *suspect) bool {
	for _, other := range l.candidates {
		if other != s && len(other.crashes) == len(s.crashes) && other.includesCrashesOf(s) {
			return true
		}
	}
	return false
}

// setDetails sets the description of the request for operators, unless it is known.
func (s *suspect) setDetails(details willowwick.PoisonRequest) {
	if s.details == nil {
		details.Crashes, details.Tried = nil, nil
		s.details = &details
	}
}

// isCleared reports whether a complete answer makes the crash irrelevant.
func (s *suspect) isCleared(crash willowwick.EndpointCrash) bool {
	return !s.clearedAt.IsZero() && !crash.At.After(s.clearedAt.Add(clearTolerance))
}

// includesCrashesOf reports whether all crashes of the other request are among those of this one.
func (s *suspect) includesCrashesOf(other *suspect) bool {
	for key := range other.crashes {
		if _, found := s.crashes[key]; !found {
			return false
		}
	}
	return true
}

// sortedCrashes returns the crashes in order of time.
func (s *suspect) sortedCrashes() []willowwick.EndpointCrash {
	crashes := make([]willowwick.EndpointCrash, 0, len(s.crashes))
	for _, crash := range s.crashes {
		crashes = append(crashes, crash)
	}
	slices.SortFunc(crashes, func(a, b willowwick.EndpointCrash) int { return a.At.Compare(b.At) })
	return crashes
}

// lastCrash returns the time of the newest crash, zero if there is none.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, crash := range s.crashes {
		if crash.At.After(last) {
			last = crash.At
		}
	}
	return last
}

// nextTrialAt returns the time of the next allowed trial.
func (s *suspect) nextTrialAt() time.Time {
	delay := firstTrialDelay
	for range s.trials {
		delay = min(trialBackoffFactor*delay, refusedTTL)
	}
	last := s.lastCrash()
	if s.lastTrialAt.After(last) {
		last = s.lastTrialAt
	}
	return last.Add(delay)
}

// triedReleases returns the releases of the trials, in the order of the trials.
func (s *suspect) triedReleases() []willowwick.ReleaseID {
	var list []willowwick.ReleaseID
	for _, tried := range slices.SortedFunc(maps.Keys(s.trials), compareTrials) {
		list = append(list, tried.release)
	}
	return list
}

func compareTrials(a, b trial) int {
	return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.release, b.release))
}

// crashedOn reports whether an endpoint of the release crashed under the request.
func (s *suspect) crashedOn(release willowwick.ReleaseID) bool {
	for _, crash := range s.crashes {
		if crash.Release == release {
			return true
		}
	}
	return false
}

// hasCorrelatedCrashes reports whether all crashes lie within correlationWindow.
func (s *suspect) hasCorrelatedCrashes() bool {
	crashes := s.sortedCrashes()
	return len(crashes) > 0 && crashes[len(crashes)-1].At.Sub(crashes[0].At) < correlationWindow
}
