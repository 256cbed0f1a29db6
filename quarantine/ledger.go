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
	// RefuseAfterCrashes is how many endpoints a request must have ended, without a whole answer since, to be refused. Operators allow
	// three; one that fails by itself takes some requests with it that are as good as any others.
	RefuseAfterCrashes = 3
	// correlationWindow is the time within which ends are rather a failure of the endpoints, by a rack or a release: a request
	// that comes to many of them at once is refused, but is tried again.
	correlationWindow = time.Second
	// firstTrialDelay is how long after its last end a refused request may be tried: by then all boxes refuse it.
	firstTrialDelay = 2 * time.Second
	// trialBackoffFactor is by how much the delay before each further trial is longer: 2 s, 20 s, 3 min. Each may end one more endpoint
	// with all that is at work there; operators allow three, of which one is left for boxes that have not been told.
	trialBackoffFactor = 10
	// clearTolerance is how much later than a whole answer an end still counts as before it: boxes tell each other how long ago
	// something was, and updates may be under way for a swap.
	clearTolerance = time.Second
	// suspectTTL is how long ends count that have not led to a refusal: callers repeat for less than a minute.
	suspectTTL = 10 * time.Minute
	// refusedTTL is how long a request is refused after its last end. Within a day somebody has seen why endpoints end.
	refusedTTL = 24 * time.Hour
	// expireInterval is how often what is too old to count is looked for.
	expireInterval = time.Minute
	// maxSuspects bounds the requests that are ttl: 40 ends of endpoints with a hundred requests each, in 1 MB.
	maxSuspects = 4096
	// maxRefused bounds the requests that are refused; an endpoint has to end three times for each.
	maxRefused = 256
	// maxCrashes bounds the ends that are ttl of a request: more prove nothing.
	maxCrashes = 8
)

type (
	// Ledger remembers under which requests endpoints ended; all boxes tell each other what they noted, and so come to the
	// same opinion of a request, in whatever order the updates reach them.
	Ledger struct {
		hasSuspects atomic.Bool // anything is ttl

		mu            sync.Mutex
		suspects      map[willowwick.Fingerprint]*suspect
		candidates    map[willowwick.Fingerprint]*suspect // those with enough ends to be refused
		refused       map[willowwick.Fingerprint]bool
		admitted      map[willowwick.Fingerprint]willowwick.Position // by the operator
		knownCrashes  map[crashKey]time.Time                         // ends of endpoints under whatever request
		history       history
		pendingWrites map[willowwick.Fingerprint]bool // what of them is ttl at the store has to be written
		stored        map[willowwick.Fingerprint]bool // the store holds it, as far as this box wrote or read it
		nextExpiry    time.Time                       // not looked for what is too old before
	}

	// crashKey names the end of one life of an endpoint.
	crashKey struct {
		endpoint    willowwick.EndpointID
		incarnation willowwick.Incarnation
	}

	// suspect is a request under which an endpoint ended.
	suspect struct {
		details     *willowwick.HarmfulRequest // without ends; nil if only other boxes saw the request
		crashes     map[crashKey]willowwick.EndpointEnd
		clearedAt   time.Time // of its newest whole answer; ends before it do not count
		trials      map[trial]bool
		lastTrialAt time.Time // of its newest trial
		updatedAt   time.Time
	}

	// trial is one of the sends of a refused request that find out whether it still ends endpoints.
	trial struct {
		release willowwick.ReleaseID
		number  int // of trials before it
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

// IsEmpty reports whether no request is suspected, so that none needs to be told from others.
func (l *Ledger) IsEmpty() bool {
	return !l.hasSuspects.Load()
}

// Refuses reports whether a request is sent to no endpoint.
func (l *Ledger) Refuses(request willowwick.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isAdmitted := l.admitted[request]
	return l.refused[request] && !isAdmitted
}

// SetAdmitted says which requests the operator has sent to endpoints whatever they did there, and no others.
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

// RecordCrash notes that an endpoint ended while this box had the request there, and reports whether the end was not known before
// under any request.
func (l *Ledger) RecordCrash(details willowwick.HarmfulRequest, end willowwick.EndpointEnd) (isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isKnown := l.knownCrashes[crashKey{end.Endpoint, end.Incarnation}]
	s := l.ensureSuspect(details.Request, end.At)
	s.setDetails(details)
	l.addCrash(details.Request, end, "")
	l.updateRefused(end.At, "seen here")
	return !isKnown
}

// CrashTime returns when one life of an endpoint ended, if it is known to have ended under any request.
func (l *Ledger) CrashTime(endpoint willowwick.EndpointID, incarnation willowwick.Incarnation) (at time.Time, isKnown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, isKnown = l.knownCrashes[crashKey{endpoint, incarnation}]
	return at, isKnown
}

// RecordAnswer notes that an endpoint has answered the request whole: what ended others before was something else.
func (l *Ledger) RecordAnswer(request willowwick.Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.applyAnswer(request, now, "") {
		l.updateRefused(now, "answered here")
	}
}

// AllowTrial returns the release on whose endpoints a refused request may be tried, if there is one; no other box may ask at the same
// time. It is tried on a release that it has ended no endpoint of, which may bear it, and on any where something else may have been
// the cause of its ends: they came close together, or another request was at work at all of them.
func (l *Ledger) AllowTrial(
	details willowwick.HarmfulRequest, releases []willowwick.ReleaseID, now time.Time,
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

// Expire forgets what is too old to count; it may be called often.
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

// ensureSuspect returns what is ttl of a request, from now on if it is new; the caller holds the lock.
func (l *Ledger) ensureSuspect(request willowwick.Fingerprint, now time.Time) *suspect {
	s := l.suspects[request]
	if s == nil {
		l.evictLeastSuspect()
		s = &suspect{crashes: map[crashKey]willowwick.EndpointEnd{}, trials: map[trial]bool{}}
		l.suspects[request] = s
		l.hasSuspects.Store(true)
	}
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
	return s
}

// evictLeastSuspect forgets the request with the fewest ends, of these the oldest, where as many are ttl as may be; the caller holds
// the lock.
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

// remove drops a request; the caller holds the lock.
func (l *Ledger) remove(request willowwick.Fingerprint) {
	delete(l.suspects, request)
	delete(l.candidates, request)
	l.hasSuspects.Store(len(l.suspects) > 0)
}

// addCrash takes the end of an endpoint under a request, and reports whether it is updates; the caller holds the lock.
func (l *Ledger) addCrash(request willowwick.Fingerprint, end willowwick.EndpointEnd, from string) bool {
	s := l.ensureSuspect(request, end.At)
	key := crashKey{end.Endpoint, end.Incarnation}
	_, known := s.crashes[key]
	if known || s.isCleared(end) || len(s.crashes) >= maxCrashes {
		return false
	}
	s.crashes[key] = end
	l.knownCrashes[key] = end.At
	if len(s.crashes) >= RefuseAfterCrashes {
		l.candidates[request] = s
	}
	l.history.add(entry{kind: kindCrash, request: request, crash: end, from: from})
	return true
}

// applyAnswer takes that a request was answered whole at a moment, and reports whether it is updates; the caller holds the lock.
func (l *Ledger) applyAnswer(request willowwick.Fingerprint, at time.Time, from string) bool {
	s := l.suspects[request]
	if s == nil || len(s.crashes) == 0 || !at.After(s.clearedAt) {
		return false
	}
	s.clearedAt, s.updatedAt = at, at
	for key, end := range s.crashes {
		if s.isCleared(end) {
			delete(s.crashes, key)
		}
	}
	if len(s.crashes) < RefuseAfterCrashes {
		delete(l.candidates, request)
	}
	l.history.add(entry{kind: kindAnswer, request: request, crash: willowwick.EndpointEnd{At: at}, from: from})
	return true
}

// addTrial takes that a request is tried, and reports whether it is updates; the caller holds the lock.
func (l *Ledger) addTrial(request willowwick.Fingerprint, tried trial, at time.Time, from string) bool {
	s := l.suspects[request]
	if s == nil || s.trials[tried] {
		return false
	}
	s.trials[tried] = true
	if at.After(s.lastTrialAt) {
		s.lastTrialAt = at
	}
	l.history.add(entry{kind: kindTrial, request: request, crash: willowwick.EndpointEnd{Release: tried.release, At: at}, trial: tried.number, from: from})
	return true
}

// updateRefused finds the requests that are refused now; the caller holds the lock.
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

// refuse notes that a request is refused from now on; the caller holds the lock.
func (l *Ledger) refuse(request willowwick.Fingerprint, s *suspect, now time.Time, source string) {
	l.refused[request] = true
	l.pendingWrites[request] = true
	attributes := []any{"fingerprint", request.String(), "ends", len(s.crashes), "source", source, "last_end_ms_ago", now.Sub(s.lastCrash()).Milliseconds()}
	var endpoints []string
	for _, end := range s.sortedCrashes() {
		endpoints = append(endpoints, string(end.Endpoint))
	}
	attributes = append(attributes, "endpoints", endpoints)
	if s.details != nil {
		attributes = append(attributes, "account", s.details.Account, "service", s.details.Service, "host", s.details.Host, "target", s.details.Target)
	}
	slog.Warn("request is refused from now on: endpoints ended while they ran it", attributes...)
}

// admit notes that a request is sent to endpoints again; the caller holds the lock.
func (l *Ledger) admit(request willowwick.Fingerprint, source string) {
	delete(l.refused, request)
	l.pendingWrites[request] = l.stored[request] // others drop what they wrote
	slog.Info("request is sent to endpoints again", "fingerprint", request.String(), "source", source)
}

// isExplainedByOther reports whether another request was at work wherever endpoints ended under this one, and at more ends besides: they
// are that one's doing. The caller holds the lock.
func (l *Ledger) isExplainedByOther(s *suspect) bool {
	for _, other := range l.candidates {
		if len(other.crashes) > len(s.crashes) && other.includesCrashesOf(s) {
			return true
		}
	}
	return false
}

// hasEqualCandidate reports whether another request was at work at the same ends, and at no others; the caller holds the lock.
func (l *Ledger) hasEqualCandidate(s *suspect) bool {
	for _, other := range l.candidates {
		if other != s && len(other.crashes) == len(s.crashes) && other.includesCrashesOf(s) {
			return true
		}
	}
	return false
}

// setDetails keeps what is told of a request to operators, unless it is known.
func (s *suspect) setDetails(details willowwick.HarmfulRequest) {
	if s.details == nil {
		details.Ends, details.Tried = nil, nil
		s.details = &details
	}
}

// isCleared reports whether a whole answer makes an end count for nothing.
func (s *suspect) isCleared(end willowwick.EndpointEnd) bool {
	return !s.clearedAt.IsZero() && !end.At.After(s.clearedAt.Add(clearTolerance))
}

// includesCrashesOf reports whether all ends of another request are among those of this one.
func (s *suspect) includesCrashesOf(other *suspect) bool {
	for key := range other.crashes {
		if _, found := s.crashes[key]; !found {
			return false
		}
	}
	return true
}

// sortedCrashes are the ends in the order in which they came.
func (s *suspect) sortedCrashes() []willowwick.EndpointEnd {
	ends := make([]willowwick.EndpointEnd, 0, len(s.crashes))
	for _, end := range s.crashes {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b willowwick.EndpointEnd) int { return a.At.Compare(b.At) })
	return ends
}

// lastCrash is when the last endpoint ended under the request; zero if none did.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, end := range s.crashes {
		if end.At.After(last) {
			last = end.At
		}
	}
	return last
}

// nextTrialAt is when the request may be tried again.
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

// triedReleases are the releases on which the request was tried, in the order of the triedReleases.
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

// crashedOn reports whether an endpoint of the release ended under the request.
func (s *suspect) crashedOn(release willowwick.ReleaseID) bool {
	for _, end := range s.crashes {
		if end.Release == release {
			return true
		}
	}
	return false
}

// hasCorrelatedCrashes reports whether all ends came within a moment.
func (s *suspect) hasCorrelatedCrashes() bool {
	ends := s.sortedCrashes()
	return len(ends) > 0 && ends[len(ends)-1].At.Sub(ends[0].At) < correlationWindow
}
