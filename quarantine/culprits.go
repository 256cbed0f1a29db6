package quarantine

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// Which suspects are refused follows from the crashes alone, so that all boxes come to the same decision.
//
// A whole request is refused after RefuseAfterCrashes, unless another one has all its crashes and more. So is a part of prompts,
// unless a narrower suspect has all its crashes: a whole request, or the part among the requests of one account. Of the parts
// that are left, the one with the most crashes comes first, and its crashes then count against no other part. Parts that
// endpoints have answered come last: others account for their crashes if they can.

// culprit is a suspect that is to be refused.
type culprit struct {
	*suspect
	fingerprint willowwick.Fingerprint
	// companions are the other parts that have the same crashes; only prompts that have all of them are refused. Another
	// prompt tells which of them it is.
	companions []willowwick.Fingerprint
}

// updateRefused recomputes which requests and parts are refused; source names the origin of the change, for the log. The caller
// holds the lock.
func (l *Ledger) updateRefused(now time.Time, source string) {
	culprits := l.findCulprits()
	for fingerprint := range l.refused {
		if culprits[fingerprint] == nil {
			l.admit(fingerprint, source)
		}
	}
	clear(l.companions)
	for fingerprint, found := range culprits {
		// Each crash refuses many requests in a storm, but not many parts.
		mayRefuse := found.scope != willowwick.ScopeContent || len(l.refused) < maxRefused
		if !l.refused[fingerprint] && mayRefuse {
			l.refuse(found, now, source)
		}
		if len(found.companions) > 0 {
			l.companions[fingerprint] = found.companions
		}
	}
}

// findCulprits returns the suspects to be refused. The caller holds the lock.
func (l *Ledger) findCulprits() map[willowwick.Fingerprint]*culprit {
	culprits := map[willowwick.Fingerprint]*culprit{}
	accountParts, parts := []*culprit{}, []*culprit{}
	for fingerprint, s := range l.candidates {
		candidate := &culprit{suspect: s, fingerprint: fingerprint}
		switch {
		case s.scope == willowwick.ScopeContent && !l.isExplainedByOther(s):
			culprits[fingerprint] = candidate
		case s.scope == willowwick.ScopeAccountPart && !l.isExplainedByNarrower(s):
			accountParts = append(accountParts, candidate)
		case s.scope == willowwick.ScopePart && !l.isExplainedByNarrower(s):
			parts = append(parts, candidate)
		}
	}
	for _, list := range [][]*culprit{accountParts, parts} {
		for _, found := range selectParts(list) {
			culprits[found.fingerprint] = found
		}
	}
	return culprits
}

// selectParts returns the parts that account for the crashes of all parts of the list.
func selectParts(list []*culprit) (selected []*culprit) {
	explained := map[crashKey]bool{}
	for len(list) > 0 {
		first := slices.MinFunc(list, func(a, b *culprit) int { return a.compareSuspicion(b, explained) })
		if !first.hasCulpritCrashes(explained) {
			return selected // nor has any other part that is left
		}
		isSame := func(other *culprit) bool {
			return first.hasSameCrashes(other.suspect) && first.isAnswered() == other.isAnswered()
		}
		group := slices.DeleteFunc(slices.Clone(list), func(other *culprit) bool { return !isSame(other) })
		list = slices.DeleteFunc(list, isSame)
		for _, member := range group {
			member.companions = companionsOf(member, group)
		}
		selected = append(selected, group...)
		for key := range first.crashes {
			explained[key] = true
		}
	}
	return selected
}

func companionsOf(member *culprit, group []*culprit) (companions []willowwick.Fingerprint) {
	for _, other := range group {
		if other != member {
			companions = append(companions, other.fingerprint)
		}
	}
	return companions
}

// compareSuspicion orders parts by how suspect they are, the most suspect first.
func (c *culprit) compareSuspicion(other *culprit, explained map[crashKey]bool) int {
	return cmp.Or(
		-compareBools(c.hasCulpritCrashes(explained), other.hasCulpritCrashes(explained)),
		compareBools(c.isAnswered(), other.isAnswered()),
		-cmp.Compare(len(c.unexplained(explained)), len(other.unexplained(explained))),
		slices.Compare(c.fingerprint[:], other.fingerprint[:]),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// unexplained returns the crashes that other parts don't account for.
func (s *suspect) unexplained(explained map[crashKey]bool) []willowwick.EndpointCrash {
	var list []willowwick.EndpointCrash
	for key, crash := range s.crashes {
		if !explained[key] {
			list = append(list, crash)
		}
	}
	return list
}

// hasCulpritCrashes reports whether enough crashes are left that no other part accounts for. Those of a part that endpoints have
// answered must not have a common cause either, such as a failed rack.
func (s *suspect) hasCulpritCrashes(explained map[crashKey]bool) bool {
	left := s.unexplained(explained)
	if s.isAnswered() {
		return len(left) >= refuseAnsweredPartAfterCrashes && !areCorrelated(left)
	}
	return len(left) >= RefuseAfterCrashes
}

// isExplainedByOther reports whether another request of the same scope has all crashes of this one and more, and so is the more
// likely cause. The caller holds the lock.
func (l *Ledger) isExplainedByOther(s *suspect) bool {
	for _, other := range l.candidates {
		if other.scope == s.scope && len(other.crashes) > len(s.crashes) && other.includesCrashesOf(s) {
			return true
		}
	}
	return false
}

// isExplainedByNarrower reports whether a suspect of a narrower scope has all crashes of this one. The caller holds the lock.
func (l *Ledger) isExplainedByNarrower(s *suspect) bool {
	for _, other := range l.candidates {
		if other.isNarrowerThan(s) && other.includesCrashesOf(s) {
			return true
		}
	}
	return false
}

// hasEqualCandidate reports whether another candidate of the same scope has exactly the same crashes. The caller holds the lock.
func (l *Ledger) hasEqualCandidate(s *suspect) bool {
	for _, other := range l.candidates {
		if other != s && other.scope == s.scope && other.hasSameCrashes(s) {
			return true
		}
	}
	return false
}

// refuse starts refusing a request or part. The caller holds the lock.
func (l *Ledger) refuse(found *culprit, now time.Time, source string) {
	l.refused[found.fingerprint] = true
	l.pendingWrites[found.fingerprint] = true
	attributes := []any{
		"fingerprint", found.fingerprint.String(), "scope", string(found.scope), "ends", len(found.crashes), "source", source,
		"last_end_ms_ago", now.Sub(found.lastCrash()).Milliseconds(), "companions", len(found.companions),
	}
	var endpoints []string
	for _, crash := range found.sortedCrashes() {
		endpoints = append(endpoints, string(crash.Endpoint))
	}
	attributes = append(attributes, "endpoints", endpoints)
	if details := found.details; details != nil {
		attributes = append(attributes, "account", details.Account, "service", details.Service, "host", details.Host, "target", details.Target)
	}
	slog.Warn("request is refused from now on: endpoints ended while they ran it", attributes...)
}

// admit stops refusing a request or part. The caller holds the lock.
func (l *Ledger) admit(fingerprint willowwick.Fingerprint, source string) {
	delete(l.refused, fingerprint)
	_, isStored := l.stored[fingerprint]
	l.pendingWrites[fingerprint] = isStored // a record that another box wrote is dropped by that box
	slog.Info("request is sent to endpoints again", "fingerprint", fingerprint.String(), "source", source)
}
