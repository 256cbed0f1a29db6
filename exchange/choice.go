package exchange

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// canaryShare is the part of the sessions that try a new release in the first half of its period: under the
	// operator's bound on exposure, and enough for some answers a second.
	canaryShare = 0.07
	// canaryBoxes is the size of a fleet for which that share is meant: in one of twice the boxes half of it brings
	// the same evidence, and half as many sessions in progress are taken for new ones by a box that has not seen them.
	canaryBoxes = 8
	// canaryEnd, and the shares after it, are parts of the period; sessions may change release after its half.
	canaryEnd = 0.5
	// lastCall is the part of the period at which a good release is completed, even with requests under way on the old one.
	lastCall = 0.94
	// enoughEvidence is how many answers must be known of a release before all sessions move to it.
	enoughEvidence = 30
	// hashParts is the resolution of shares of sessions.
	hashParts = 10000
)

// rampSteps are the shares of sessions from a part of the period on.
var rampSteps = []struct{ from, share float64 }{
	{0.70, 1}, {0.62, 0.6}, {0.56, 0.35}, {canaryEnd, 0.18},
}

type (
	// sessionSeen is where a session's newest request went, and until when that counts.
	sessionSeen struct {
		target bool
		until  time.Time
	}

	// releaseChoice says which endpoints a request may go to.
	releaseChoice struct {
		release   willowwick.ReleaseID // the target of a roll-out; empty if there is none
		useTarget bool
		banned    []willowwick.ReleaseID
	}
)

// allows reports whether the endpoint has the release that was chosen.
func (c releaseChoice) allows(endpoint willowwick.Endpoint) bool {
	return c.otherwise(endpoint) && (c.release == "" || (endpoint.Release == c.release) == c.useTarget)
}

// otherwise allows what is used if no endpoint has the chosen release.
func (c releaseChoice) otherwise(endpoint willowwick.Endpoint) bool {
	return !slices.Contains(c.banned, endpoint.Release)
}

// choose decides whether a request goes to the target of a roll-out.
func (r *releases) choose(service willowwick.ServiceID, session string, now time.Time) releaseChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[service]
	choice := releaseChoice{}
	if m != nil {
		choice = r.chooseIn(m, session, now)
	}
	for banned := range r.banned {
		if banned.Service == service {
			choice.banned = append(choice.banned, banned.Release)
		}
	}
	key := string(service) + "/" + session
	r.sessions[key] = sessionSeen{target: choice.useTarget, until: now.Add(r.settings.Session)}
	return choice
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
	share := m.share(now, r.canary)
	hashed := float64(xxhash.Sum64String(session)%hashParts) < share*hashParts
	seen, known := r.sessions[string(m.order.Service)+"/"+session]
	known = known && now.Before(seen.until)
	switch {
	case known && seen.target:
		choice.useTarget = true
	case known && m.part(now) < canaryEnd:
		choice.useTarget = false
	default:
		choice.useTarget = hashed
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
	if m.requests < enoughEvidence && part < lastCall {
		return canary
	}
	for _, step := range rampSteps {
		if part >= step.from {
			return step.share
		}
	}
	return canary
}

// setBoxes fits the share of sessions that try a new release to the size of the fleet.
//
// It goes by halves: boxes that count a few more or less than others still choose alike.
func (r *releases) setBoxes(boxes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canary = canaryShare
	for ; boxes >= 2*canaryBoxes; boxes /= 2 {
		r.canary /= 2
	}
}
