package exchange

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// canaryShare is the part of the sessions that try a new release in the first half of its period: enough for some
	// answers a second. exposureShare is the most that it takes of the operator's bound on exposure: sessions differ in
	// requests, and what a release got before it showed to be bad counts too.
	canaryShare   = 0.04
	exposureShare = 0.3
	// canaryBoxes is the size of a fleet for which that share is meant: in one of twice the boxes half of it brings
	// the same evidence, and half as many sessions in progress are taken for new ones by a box that has not seen them.
	canaryBoxes = 8
	// keptSpread is how long after an order no session tries the new release: by then the boxes of a hall have told each
	// other, by way of their reader, of the sessions that they had before.
	keptSpread = 1500 * time.Millisecond
	// canaryEnd, and the shares after it, are parts of the period; sessions may change release after its half.
	canaryEnd = 0.5
	// lastCall is the part of the period at which a good release is completed, even with requests under way on the old one.
	lastCall = 0.94
	// enoughEvidence is how many answers must be known of a release before all sessions move to it: with a third of them
	// bad, a release shows it by about ten. A release that has fewer at the end of its period stays on trial: completed
	// unseen, a bad one is all that is left.
	enoughEvidence = 30
	// hashParts is the resolution of shares of sessions.
	hashParts = 10000
)

// rampSteps are the shares of sessions from a part of the period on.
var rampSteps = []struct{ from, share float64 }{
	{0.70, 1}, {0.62, 0.6}, {0.56, 0.35}, {canaryEnd, 0.18},
}

type (
	// sessionHash is the hash of a service's session.
	sessionHash uint64

	// sessionSeen is where a session's newest request went, and until when that counts.
	sessionSeen struct {
		target willowwick.ReleaseID // of the roll-out that sent it there; empty if it went to another release
		until  time.Time
	}

	// releaseChoice says which endpoints a request may go to.
	releaseChoice struct {
		release   willowwick.ReleaseID // the target of a roll-out; empty if there is none
		useTarget bool
		banned    []willowwick.ReleaseID
		only      willowwick.ReleaseID // the one release on which the request is tried; empty if any will do
	}
)

// allows reports whether the endpoint has the release that was chosen.
func (c releaseChoice) allows(endpoint willowwick.Endpoint) bool {
	if c.only != "" {
		return c.otherwise(endpoint)
	}
	return c.otherwise(endpoint) && (c.release == "" || (endpoint.Release == c.release) == c.useTarget)
}

// otherwise allows what is used if no endpoint has the chosen release.
func (c releaseChoice) otherwise(endpoint willowwick.Endpoint) bool {
	return !slices.Contains(c.banned, endpoint.Release) && (c.only == "" || endpoint.Release == c.only)
}

// hashOf names a session of a service on the wire between boxes, and places it among those that try a release first.
func hashOf(service willowwick.ServiceID, session string) sessionHash {
	return sessionHash(xxhash.Sum64String(string(service) + "/" + session))
}

// isWithin reports whether the session belongs to the given share of all.
func (h sessionHash) isWithin(share float64) bool {
	return float64(h%hashParts) < share*hashParts
}

// kept names the sessions that this box knows on other releases than the target, among those that would try it first:
// another box of the hall that takes one of them up is not to move it in the first half of the period.
func (r *releases) kept(now time.Time) []sessionHash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []sessionHash
	for service, m := range r.moves {
		if m.state != willowwick.ReleaseRunning || m.part(now) >= canaryEnd {
			continue
		}
		for key, seen := range r.sessions {
			name, isOfService := strings.CutPrefix(key, string(service)+"/")
			hash := hashOf(service, name)
			if isOfService && seen.target != m.order.Target && now.Before(seen.until) && hash.isWithin(r.canary) {
				list = append(list, hash)
			}
		}
	}
	return list
}

// setKeptElsewhere takes the sessions that boxes of the fleet know on other releases.
func (r *releases) setKeptElsewhere(list []sessionHash) {
	kept := make(map[sessionHash]bool, len(list))
	for _, hash := range list {
		kept[hash] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keptElsewhere = kept
}

// choose decides whether a request goes to the target of a roll-out.
//
// The choice is remembered until a request of the session can no longer follow this one, which ends at its deadline at
// the latest.
func (r *releases) choose(service willowwick.ServiceID, session string, now, deadline time.Time) releaseChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[service]
	choice := releaseChoice{}
	if m != nil {
		choice = r.chooseIn(m, session, now)
	}
	choice.banned = r.verdicts.bannedReleases(service, now)
	key := string(service) + "/" + session
	seen := sessionSeen{until: deadline.Add(r.settings.Session)}
	if choice.useTarget {
		seen.target = choice.release
	}
	r.sessions[key] = seen
	return choice
}

// isRetired reports whether the endpoints of a release may be stopped at any time: it is given up or found to be bad, or all
// requests of its service have moved to another one.
func (r *releases) isRetired(service willowwick.ServiceID, release willowwick.ReleaseID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.verdicts.bannedReleases(service, now), release) {
		return true
	}
	m := r.moves[service]
	if m == nil {
		return false
	}
	isTarget := release == m.order.Target
	return m.state == willowwick.ReleaseCompleted && !isTarget || m.state == willowwick.ReleaseRolledBack && isTarget
}

func (r *releases) chooseIn(m *move, session string, now time.Time) releaseChoice {
	choice := releaseChoice{release: m.order.Target}
	switch m.state {
	case willowwick.ReleaseRolledBack:
		return choice
	case willowwick.ReleaseCompleted:
		choice.useTarget = true
		return choice
	}
	hash := hashOf(m.order.Service, session)
	hashed := hash.isWithin(m.share(now, r.canary))
	seen, known := r.sessions[string(m.order.Service)+"/"+session]
	known = known && now.Before(seen.until)
	switch {
	case known && seen.target == m.order.Target:
		choice.useTarget = true
	case m.part(now) < canaryEnd && (known || r.keptElsewhere[hash] || now.Sub(m.began) < keptSpread):
		choice.useTarget = false
	default:
		// A session that would be sent to a release without endpoints runs on the others, and is to stay there.
		choice.useTarget = hashed && r.isThere(m.order.Service, m.order.Target)
	}
	return choice
}

// part is how much of the period has passed.
func (m *move) part(now time.Time) float64 {
	return now.Sub(m.began).Seconds() / max(m.order.Period.Seconds(), 1)
}

// share is the part of the sessions that the target gets.
func (m *move) share(now time.Time, canary float64) float64 {
	part := m.part(now)
	if m.requests < enoughEvidence {
		part = min(part, canaryEnd) // the first step brings the evidence that the next ones need
	}
	for _, step := range rampSteps {
		if part >= step.from {
			return step.share
		}
	}
	return canary
}

// firstShare is the part of the sessions that try a new release first, in a fleet of a few boxes.
func (s ReleaseSettings) firstShare() float64 {
	if s.Exposure <= 0 {
		return canaryShare
	}
	return min(canaryShare, exposureShare*s.Exposure)
}

// setBoxes fits the share of sessions that try a new release to the size of the fleet.
//
// It goes by halves: boxes that count a few more or less than others still choose alike.
func (r *releases) setBoxes(boxes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canary = r.settings.firstShare()
	for ; boxes >= 2*canaryBoxes; boxes /= 2 {
		r.canary /= 2
	}
}
