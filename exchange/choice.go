package exchange

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// canaryShare is the share of the sessions that try a new release in the first half of its period: enough for
	// some answers a second. exposureShare is the largest part of the operator's bound on exposure that the canary
	// may use: sessions differ in requests, and what a bad release answered before it was detected counts too.
	canaryShare   = 0.04
	exposureShare = 0.3
	// canaryBoxes is the size of a fleet for which canaryShare is meant. In a fleet of twice the boxes, half the
	// share brings the same evidence, and half as many sessions in progress are mistaken for new ones by a box that
	// has not seen them.
	canaryBoxes = 8
	// sessionSyncDelay is the time after an order during which no session tries the new release: by then the boxes
	// of a hall have exchanged, through the hub, the sessions they had before.
	sessionSyncDelay = 1500 * time.Millisecond
	// canaryEnd is the share of the period after which sessions may change release; the steps of rampSteps are
	// shares of the period too.
	canaryEnd = 0.5
	// forcedCompletionShare is the share of the period at which a good release is completed even with requests in
	// flight on the old one.
	forcedCompletionShare = 0.94
	// minRampAnswers is the number of answers that must be known of a release before all sessions move to it: a
	// release that fails a third of them is detected after about ten. A release with fewer answers at the end of
	// its period stays on trial, since a bad one completed unseen would be all that is left.
	minRampAnswers = 30
	// maxRampSuspicion is how much the evidence may tell against a release, 1 being enough to roll it back, for more sessions to move
	// to it.
	maxRampSuspicion = 0.4
	// hashResolution is the number of steps into which shares of sessions are divided.
	hashResolution = 10000
)

// rampSteps are the shares of sessions on the target from a share of the period on, latest first.
var rampSteps = []struct{ from, targetShare float64 }{
	{0.70, 1}, {0.62, 0.6}, {0.56, 0.35}, {canaryEnd, 0.18},
}

type (
	// sessionHash is the hash of a session of a service.
	sessionHash uint64

	// sessionRecord is the release choice of a session's newest request, valid until a time.
	sessionRecord struct {
		target willowwick.ReleaseID // target of the roll-out that the session was sent to; empty for another release
		until  time.Time
	}

	// releaseChoice says which endpoints a request may use during a roll-out.
	releaseChoice struct {
		release     willowwick.ReleaseID // the target of the roll-out; empty if there is none
		useTarget   bool
		banned      []willowwick.ReleaseID
		onlyRelease willowwick.ReleaseID // the one release a poison request is tried on; empty to allow any
	}
)

// allows reports whether the endpoint has the chosen release.
func (c releaseChoice) allows(endpoint willowwick.Endpoint) bool {
	if c.onlyRelease != "" {
		return c.allowsFallback(endpoint)
	}
	return c.allowsFallback(endpoint) && (c.release == "" || (endpoint.Release == c.release) == c.useTarget)
}

// allowsFallback reports whether the endpoint may be used if no endpoint has the chosen release.
func (c releaseChoice) allowsFallback(endpoint willowwick.Endpoint) bool {
	return !slices.Contains(c.banned, endpoint.Release) && (c.onlyRelease == "" || endpoint.Release == c.onlyRelease)
}

// hashSession returns the hash that identifies a session between boxes and ranks it for the canary.
func hashSession(service willowwick.ServiceID, session string) sessionHash {
	return sessionHash(xxhash.Sum64String(string(service) + "/" + session))
}

// isWithin reports whether the session belongs to the given share of all sessions.
func (h sessionHash) isWithin(share float64) bool {
	return float64(h%hashResolution) < share*hashResolution
}

// pinnedSessions returns the sessions that this box knows on releases other than the target, among those in the
// canary share: another box of the hall that receives such a session must not move it in the first half of the
// period.
func (r *releases) pinnedSessions(now time.Time) []sessionHash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []sessionHash
	for service, m := range r.rollouts {
		if m.state != willowwick.ReleaseRunning || m.elapsedShare(now) >= canaryEnd {
			continue
		}
		for key, seen := range r.sessions {
			name, isOfService := strings.CutPrefix(key, string(service)+"/")
			hash := hashSession(service, name)
			if isOfService && seen.target != m.order.Target && now.Before(seen.until) && hash.isWithin(r.canary) {
				list = append(list, hash)
			}
		}
	}
	return list
}

// setPinnedElsewhere replaces the sessions that other boxes of the fleet reported as pinned to other releases.
func (r *releases) setPinnedElsewhere(list []sessionHash) {
	pinned := make(map[sessionHash]bool, len(list))
	for _, hash := range list {
		pinned[hash] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pinnedElsewhere = pinned
}

// choose decides whether a request goes to the target of a roll-out.
//
// The choice is remembered until no further request of the session can follow this one, which ends at its deadline
// at the latest.
func (r *releases) choose(service willowwick.ServiceID, session string, now, deadline time.Time) releaseChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.rollouts[service]
	choice := releaseChoice{}
	if m != nil {
		choice = r.chooseInRollout(m, session, now)
	}
	choice.banned = r.verdicts.bannedReleases(service, now)
	key := string(service) + "/" + session
	seen := sessionRecord{until: deadline.Add(r.settings.Session)}
	if choice.useTarget {
		seen.target = choice.release
	}
	r.sessions[key] = seen
	return choice
}

// isRetired reports whether the endpoints of a release may be stopped at any time: the release was given up or
// found to be bad, or all requests of its service have moved to another one.
func (r *releases) isRetired(service willowwick.ServiceID, release willowwick.ReleaseID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.verdicts.bannedReleases(service, now), release) {
		return true
	}
	m := r.rollouts[service]
	if m == nil {
		return false
	}
	isTarget := release == m.order.Target
	return m.state == willowwick.ReleaseCompleted && !isTarget || m.state == willowwick.ReleaseRolledBack && isTarget
}

// chooseInRollout chooses between the target and the other releases; the caller holds the lock.
func (r *releases) chooseInRollout(m *rolloutState, session string, now time.Time) releaseChoice {
	choice := releaseChoice{release: m.order.Target}
	switch m.state {
	case willowwick.ReleaseRolledBack:
		return choice
	case willowwick.ReleaseCompleted:
		choice.useTarget = true
		return choice
	}
	hash := hashSession(m.order.Service, session)
	hashed := hash.isWithin(m.targetShare(now, r.canary))
	seen, known := r.sessions[string(m.order.Service)+"/"+session]
	known = known && now.Before(seen.until)
	switch {
	case known && seen.target == m.order.Target:
		choice.useTarget = true
	case m.elapsedShare(now) < canaryEnd && (known || r.pinnedElsewhere[hash] || now.Sub(m.startedAt) < sessionSyncDelay+r.regionDelay):
		choice.useTarget = false
	default:
		// A session whose target has no endpoints runs on the other releases, and stays there.
		choice.useTarget = hashed && r.hasRelease(m.order.Service, m.order.Target)
	}
	return choice
}

// elapsedShare returns how much of the period has passed, as a share.
func (m *rolloutState) elapsedShare(now time.Time) float64 {
	return now.Sub(m.startedAt).Seconds() / max(m.order.Period.Seconds(), 1)
}

// targetShare returns the share of the sessions that go to the target.
func (m *rolloutState) targetShare(now time.Time, canary float64) float64 {
	elapsedShare := m.elapsedShare(now)
	if m.targetAnswers < minRampAnswers {
		elapsedShare = min(elapsedShare, canaryEnd) // the canary brings the evidence that the next steps need
	}
	if m.panel.Suspicion() > maxRampSuspicion {
		elapsedShare = min(elapsedShare, max(m.rampedTo, canaryEnd))
	}
	m.rampedTo = max(m.rampedTo, elapsedShare)
	for _, step := range rampSteps {
		if elapsedShare >= step.from {
			return step.targetShare
		}
	}
	return canary
}

// initialCanaryShare returns the canary share in a fleet of fewer than 2*canaryBoxes boxes.
func (s ReleaseSettings) initialCanaryShare() float64 {
	if s.Exposure <= 0 {
		return canaryShare
	}
	return min(canaryShare, exposureShare*s.Exposure)
}

// setFleetSize adapts the canary share to the number of boxes.
//
// It halves the share for each doubling of the fleet, so that boxes whose counts differ slightly still choose
// alike.
func (r *releases) setFleetSize(boxes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.canary = r.settings.initialCanaryShare()
	for ; boxes >= 2*canaryBoxes; boxes /= 2 {
		r.canary /= 2
	}
}
