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
	// RefuseAfter is how many endpoints a request must have ended, without a whole answer since, to be refused. Operators allow
	// three; one that fails by itself takes some requests with it that are as good as any others.
	RefuseAfter = 3
	// togetherWithin is the time within which ends are rather a failure of the endpoints, by a rack or a release: a request
	// that comes to many of them at once is refused, but is tried again.
	togetherWithin = time.Second
	// trialAfter is how long after its last end a refused request may be tried: by then all boxes refuse it.
	trialAfter = 2 * time.Second
	// trialGrowth is by how much the pause before each further trial is longer: 2 s, 20 s, 3 min. Each may end one more endpoint
	// with all that is at work there; operators allow three, of which one is left for boxes that have not been told.
	trialGrowth = 10
	// clearMargin is how much later than a whole answer an end still counts as before it: boxes tell each other how long ago
	// something was, and news may be under way for a swap.
	clearMargin = time.Second
	// suspectKept is how long ends count that have not led to a refusal: callers repeat for less than a minute.
	suspectKept = 10 * time.Minute
	// refusedKept is how long a request is refused after its last end. Within a day somebody has seen why endpoints end.
	refusedKept = 24 * time.Hour
	// expireEvery is how often what is too old to count is looked for.
	expireEvery = time.Minute
	// mostSuspects bounds the requests that are kept: 40 ends of endpoints with a hundred requests each, in 1 MB.
	mostSuspects = 4096
	// mostRefused bounds the requests that are refused; an endpoint has to end three times for each.
	mostRefused = 256
	// mostEnds bounds the ends that are kept of a request: more prove nothing.
	mostEnds = 8
)

type (
	// Ledger remembers under which requests endpoints ended; all boxes tell each other what they noted, and so come to the
	// same opinion of a request, in whatever order the news reach them.
	Ledger struct {
		isUsed atomic.Bool // anything is kept

		mu       sync.Mutex
		suspects map[willowwick.Fingerprint]*suspect
		likely   map[willowwick.Fingerprint]*suspect // those with enough ends to be refused
		refused  map[willowwick.Fingerprint]bool
		admitted map[willowwick.Fingerprint]willowwick.Position // by the operator
		known    map[endKey]time.Time                           // ends of endpoints under whatever request
		history  history
		due      map[willowwick.Fingerprint]bool // what of them is kept at the store has to be written
		stored   map[willowwick.Fingerprint]bool // the store holds it, as far as this box wrote or read it
		expireAt time.Time                       // not looked for what is too old before
	}

	// endKey names the end of one life of an endpoint.
	endKey struct {
		endpoint    willowwick.EndpointID
		incarnation willowwick.Incarnation
	}

	// suspect is a request under which an endpoint ended.
	suspect struct {
		about     *willowwick.HarmfulRequest // without ends; nil if only other boxes saw the request
		ends      map[endKey]willowwick.EndpointEnd
		clearedAt time.Time // of its newest whole answer; ends before it do not count
		tried     map[trial]bool
		triedAt   time.Time // of its newest trial
		updated   time.Time
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
		suspects: map[willowwick.Fingerprint]*suspect{}, likely: map[willowwick.Fingerprint]*suspect{},
		refused: map[willowwick.Fingerprint]bool{}, due: map[willowwick.Fingerprint]bool{}, known: map[endKey]time.Time{},
		stored: map[willowwick.Fingerprint]bool{},
	}
}

// IsEmpty reports whether no request is suspected, so that none needs to be told from others.
func (l *Ledger) IsEmpty() bool {
	return !l.isUsed.Load()
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
func (l *Ledger) RecordCrash(about willowwick.HarmfulRequest, end willowwick.EndpointEnd) (isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isKnown := l.known[endKey{end.Endpoint, end.Incarnation}]
	s := l.suspect(about.Request, end.At)
	s.identify(about)
	l.addEnd(about.Request, end, "")
	l.judge(end.At, "seen here")
	return !isKnown
}

// EndOf returns when one life of an endpoint ended, if it is known to have ended under any request.
func (l *Ledger) EndOf(endpoint willowwick.EndpointID, incarnation willowwick.Incarnation) (at time.Time, isKnown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, isKnown = l.known[endKey{endpoint, incarnation}]
	return at, isKnown
}

// RecordAnswer notes that an endpoint has answered the request whole: what ended others before was something else.
func (l *Ledger) RecordAnswer(request willowwick.Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clear(request, now, "") {
		l.judge(now, "answered here")
	}
}

// Trial returns the release on whose endpoints a refused request may be tried, if there is one; no other box may ask at the same
// time. It is tried on a release that it has ended no endpoint of, which may bear it, and on any where something else may have been
// the cause of its ends: they came close together, or another request was at work at all of them.
func (l *Ledger) Trial(
	about willowwick.HarmfulRequest, releases []willowwick.ReleaseID, now time.Time,
) (release willowwick.ReleaseID, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := about.Request
	s := l.suspects[request]
	if s == nil || !l.refused[request] || now.Before(s.nextTrial()) {
		return "", false
	}
	s.identify(about)
	isDoubtful := s.cameTogether() || l.hasTwin(s)
	for _, release := range releases {
		if isDoubtful || !s.endedOn(release) {
			l.addTrial(request, trial{release, len(s.tried)}, now, "")
			l.due[request] = true
			return release, true
		}
	}
	return "", false
}

// Expire forgets what is too old to count; it may be called often.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.expireAt) {
		return
	}
	l.expireAt = now.Add(expireEvery)
	for request, s := range l.suspects {
		kept := suspectKept
		if l.refused[request] {
			kept = refusedKept
		}
		if now.Sub(s.updated) > kept {
			l.forget(request)
		}
	}
	for key, at := range l.known {
		if now.Sub(at) > suspectKept {
			delete(l.known, key)
		}
	}
	l.judge(now, "too old")
}

// suspect returns what is kept of a request, from now on if it is new; the caller holds the lock.
func (l *Ledger) suspect(request willowwick.Fingerprint, now time.Time) *suspect {
	s := l.suspects[request]
	if s == nil {
		l.makeRoom()
		s = &suspect{ends: map[endKey]willowwick.EndpointEnd{}, tried: map[trial]bool{}}
		l.suspects[request] = s
		l.isUsed.Store(true)
	}
	if now.After(s.updated) {
		s.updated = now
	}
	return s
}

// makeRoom forgets the request with the fewest ends, of these the oldest, where as many are kept as may be; the caller holds
// the lock.
func (l *Ledger) makeRoom() {
	if len(l.suspects) < mostSuspects {
		return
	}
	var least willowwick.Fingerprint
	var found *suspect
	for request, s := range l.suspects {
		isLess := found == nil || len(s.ends) < len(found.ends) || len(s.ends) == len(found.ends) && s.updated.Before(found.updated)
		if isLess {
			least, found = request, s
		}
	}
	l.forget(least)
}

// forget drops a request; the caller holds the lock.
func (l *Ledger) forget(request willowwick.Fingerprint) {
	delete(l.suspects, request)
	delete(l.likely, request)
	l.isUsed.Store(len(l.suspects) > 0)
}

// addEnd takes the end of an endpoint under a request, and reports whether it is news; the caller holds the lock.
func (l *Ledger) addEnd(request willowwick.Fingerprint, end willowwick.EndpointEnd, from string) bool {
	s := l.suspect(request, end.At)
	key := endKey{end.Endpoint, end.Incarnation}
	_, known := s.ends[key]
	if known || s.isCleared(end) || len(s.ends) >= mostEnds {
		return false
	}
	s.ends[key] = end
	l.known[key] = end.At
	if len(s.ends) >= RefuseAfter {
		l.likely[request] = s
	}
	l.history.add(entry{kind: kindEnd, request: request, end: end, from: from})
	return true
}

// clear takes that a request was answered whole at a moment, and reports whether it is news; the caller holds the lock.
func (l *Ledger) clear(request willowwick.Fingerprint, at time.Time, from string) bool {
	s := l.suspects[request]
	if s == nil || len(s.ends) == 0 || !at.After(s.clearedAt) {
		return false
	}
	s.clearedAt, s.updated = at, at
	for key, end := range s.ends {
		if s.isCleared(end) {
			delete(s.ends, key)
		}
	}
	if len(s.ends) < RefuseAfter {
		delete(l.likely, request)
	}
	l.history.add(entry{kind: kindAnswer, request: request, end: willowwick.EndpointEnd{At: at}, from: from})
	return true
}

// addTrial takes that a request is tried, and reports whether it is news; the caller holds the lock.
func (l *Ledger) addTrial(request willowwick.Fingerprint, tried trial, at time.Time, from string) bool {
	s := l.suspects[request]
	if s == nil || s.tried[tried] {
		return false
	}
	s.tried[tried] = true
	if at.After(s.triedAt) {
		s.triedAt = at
	}
	l.history.add(entry{kind: kindTrial, request: request, end: willowwick.EndpointEnd{Release: tried.release, At: at}, trial: tried.number, from: from})
	return true
}

// judge finds the requests that are refused now; the caller holds the lock.
func (l *Ledger) judge(now time.Time, source string) {
	for request := range l.refused {
		if l.likely[request] == nil || l.isVictim(l.likely[request]) {
			l.admit(request, source)
		}
	}
	for request, s := range l.likely {
		if !l.refused[request] && !l.isVictim(s) && len(l.refused) < mostRefused {
			l.refuse(request, s, now, source)
		}
	}
}

// refuse notes that a request is refused from now on; the caller holds the lock.
func (l *Ledger) refuse(request willowwick.Fingerprint, s *suspect, now time.Time, source string) {
	l.refused[request] = true
	l.due[request] = true
	attributes := []any{"fingerprint", request.String(), "ends", len(s.ends), "source", source, "last_end_ms_ago", now.Sub(s.lastEnd()).Milliseconds()}
	var endpoints []string
	for _, end := range s.sorted() {
		endpoints = append(endpoints, string(end.Endpoint))
	}
	attributes = append(attributes, "endpoints", endpoints)
	if s.about != nil {
		attributes = append(attributes, "account", s.about.Account, "service", s.about.Service, "host", s.about.Host, "target", s.about.Target)
	}
	slog.Warn("request is refused from now on: endpoints ended while they ran it", attributes...)
}

// admit notes that a request is sent to endpoints again; the caller holds the lock.
func (l *Ledger) admit(request willowwick.Fingerprint, source string) {
	delete(l.refused, request)
	l.due[request] = l.stored[request] // others drop what they wrote
	slog.Info("request is sent to endpoints again", "fingerprint", request.String(), "source", source)
}

// isVictim reports whether another request was at work wherever endpoints ended under this one, and at more ends besides: they
// are that one's doing. The caller holds the lock.
func (l *Ledger) isVictim(s *suspect) bool {
	for _, other := range l.likely {
		if len(other.ends) > len(s.ends) && other.holds(s) {
			return true
		}
	}
	return false
}

// hasTwin reports whether another request was at work at the same ends, and at no others; the caller holds the lock.
func (l *Ledger) hasTwin(s *suspect) bool {
	for _, other := range l.likely {
		if other != s && len(other.ends) == len(s.ends) && other.holds(s) {
			return true
		}
	}
	return false
}

// identify keeps what is told of a request to operators, unless it is known.
func (s *suspect) identify(about willowwick.HarmfulRequest) {
	if s.about == nil {
		about.Ends, about.Tried = nil, nil
		s.about = &about
	}
}

// isCleared reports whether a whole answer makes an end count for nothing.
func (s *suspect) isCleared(end willowwick.EndpointEnd) bool {
	return !s.clearedAt.IsZero() && !end.At.After(s.clearedAt.Add(clearMargin))
}

// holds reports whether all ends of another request are among those of this one.
func (s *suspect) holds(other *suspect) bool {
	for key := range other.ends {
		if _, found := s.ends[key]; !found {
			return false
		}
	}
	return true
}

// sorted are the ends in the order in which they came.
func (s *suspect) sorted() []willowwick.EndpointEnd {
	ends := make([]willowwick.EndpointEnd, 0, len(s.ends))
	for _, end := range s.ends {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b willowwick.EndpointEnd) int { return a.At.Compare(b.At) })
	return ends
}

// lastEnd is when the last endpoint ended under the request; zero if none did.
func (s *suspect) lastEnd() time.Time {
	var last time.Time
	for _, end := range s.ends {
		if end.At.After(last) {
			last = end.At
		}
	}
	return last
}

// nextTrial is when the request may be tried again.
func (s *suspect) nextTrial() time.Time {
	pause := trialAfter
	for range s.tried {
		pause = min(trialGrowth*pause, refusedKept)
	}
	last := s.lastEnd()
	if s.triedAt.After(last) {
		last = s.triedAt
	}
	return last.Add(pause)
}

// trials are the releases on which the request was tried, in the order of the trials.
func (s *suspect) trials() []willowwick.ReleaseID {
	var list []willowwick.ReleaseID
	for _, tried := range slices.SortedFunc(maps.Keys(s.tried), compareTrials) {
		list = append(list, tried.release)
	}
	return list
}

func compareTrials(a, b trial) int {
	return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.release, b.release))
}

// endedOn reports whether an endpoint of the release ended under the request.
func (s *suspect) endedOn(release willowwick.ReleaseID) bool {
	for _, end := range s.ends {
		if end.Release == release {
			return true
		}
	}
	return false
}

// cameTogether reports whether all ends came within a moment.
func (s *suspect) cameTogether() bool {
	ends := s.sorted()
	return len(ends) > 0 && ends[len(ends)-1].At.Sub(ends[0].At) < togetherWithin
}
