package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

type (
	// suspect is a request, or a part of prompts, under which an endpoint crashed.
	suspect struct {
		scope       willowwick.PoisonScope
		details     *willowwick.PoisonRequest // without crashes; nil if only other boxes saw the request
		crashes     map[crashKey]willowwick.EndpointCrash
		clearedAt   time.Time // time of the newest complete answer, or of one to a prompt with the part that went on; see isCleared
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

// scopeRanks orders the scopes from the narrowest to the widest.
var scopeRanks = map[willowwick.PoisonScope]int{willowwick.ScopeContent: 0, willowwick.ScopeAccountPart: 1, willowwick.ScopePart: 2}

func newSuspect(scope willowwick.PoisonScope) *suspect {
	return &suspect{scope: scope, crashes: map[crashKey]willowwick.EndpointCrash{}, trials: map[trial]bool{}}
}

// setDetails sets the description of the request for operators, unless it is known.
func (s *suspect) setDetails(details willowwick.PoisonRequest) {
	if s.details == nil {
		details.Crashes, details.Tried = nil, nil
		s.details = &details
	}
}

// isAnswered reports whether an endpoint has answered the request, or a prompt with the part.
func (s *suspect) isAnswered() bool {
	return !s.clearedAt.IsZero()
}

// isCleared reports whether an answer makes the crash irrelevant.
func (s *suspect) isCleared(crash willowwick.EndpointCrash) bool {
	return s.isAnswered() && isClearedBy(s.clearedAt, s.scope, crash)
}

func isClearedBy(answeredAt time.Time, scope willowwick.PoisonScope, crash willowwick.EndpointCrash) bool {
	tolerance := clearTolerance
	if scope != willowwick.ScopeContent {
		tolerance = partClearTolerance
	}
	return !crash.At.After(answeredAt.Add(tolerance))
}

// isFull reports whether further crashes prove nothing.
func (s *suspect) isFull() bool {
	if s.scope == willowwick.ScopeContent {
		return len(s.crashes) >= maxCrashes
	}
	return len(s.crashes) >= maxPartCrashes
}

// isNarrowerThan reports whether the requests of this suspect may be a part of those of the other one.
func (s *suspect) isNarrowerThan(other *suspect) bool {
	return scopeRanks[s.scope] < scopeRanks[other.scope]
}

// hasSameCrashes reports whether the other suspect has exactly the crashes of this one.
func (s *suspect) hasSameCrashes(other *suspect) bool {
	return len(s.crashes) == len(other.crashes) && s.includesCrashesOf(other)
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
	return areCorrelated(slices.Collect(maps.Values(s.crashes)))
}

func areCorrelated(crashes []willowwick.EndpointCrash) bool {
	if len(crashes) == 0 {
		return false
	}
	byTime := func(a, b willowwick.EndpointCrash) int { return a.At.Compare(b.At) }
	first, last := slices.MinFunc(crashes, byTime), slices.MaxFunc(crashes, byTime)
	return last.At.Sub(first.At) < correlationWindow
}
