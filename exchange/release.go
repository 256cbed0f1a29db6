package exchange

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/rollout"
)

const (
	// canaryShare is the part of the sessions that try a new release in the first half of its period: under the
	// operator's bound on exposure, and enough for some answers a second.
	canaryShare = 0.04
	// canaryBoxes is the size of a fleet for which that share is meant: in one of twice the boxes half of it brings
	// the same evidence, and half as many sessions in progress are taken for new ones by a box that has not seen them.
	canaryBoxes = 8
	// canaryEnd, and the shares after it, are parts of the period; sessions may change release after its half.
	canaryEnd = 0.5
	// lastCall is the part of the period at which a good release is completed, come what may.
	lastCall = 0.94
	// enoughEvidence is how many answers must be known of a release before all sessions move to it.
	enoughEvidence = 30
	// plainlyBad and plainlyBadShare withdraw a release where there is nothing to compare it with.
	plainlyBad      = 12
	plainlyBadShare = 0.3
	// typicalFade is how much of the usual time of an answer one answer replaces.
	typicalFade = 0.1
	// hashParts is the resolution of shares of sessions.
	hashParts = 10000
)

// rampSteps are the shares of sessions from a part of the period on.
var rampSteps = []struct{ from, share float64 }{
	{0.70, 1}, {0.62, 0.6}, {0.56, 0.35}, {canaryEnd, 0.18},
}

type (
	// ReleaseSettings bound roll-outs of releases.
	ReleaseSettings struct {
		Session time.Duration // setting: requests of a session follow each other within this
	}

	// evidenceKey names what one kind of answer is counted under.
	evidenceKey struct {
		Service willowwick.ServiceID
		Release willowwick.ReleaseID
		Route   willowwick.RouteID
	}

	// releaseKey names a release of a service.
	releaseKey struct {
		Service willowwick.ServiceID
		Release willowwick.ReleaseID
	}

	// typicalKey names answers that usually take alike.
	typicalKey struct {
		route willowwick.RouteID
		model willowwick.ModelID
	}

	// observation is one answer as evidence.
	observation struct {
		service willowwick.ServiceID
		release willowwick.ReleaseID
		route   willowwick.RouteID
		model   willowwick.ModelID
		took    time.Duration // to the head
		isError bool
	}

	// releases decides which release answers, and judges new ones.
	releases struct {
		settings ReleaseSettings
		// isThere reports whether a service has an endpoint of a release that stays.
		isThere func(willowwick.ServiceID, willowwick.ReleaseID) bool

		mu       sync.Mutex
		moves    map[willowwick.ServiceID]*move
		canary   float64             // share of the sessions that try a new release first
		banned   map[releaseKey]bool // releases that were rolled back, or given up for a later order
		own      map[evidenceKey]rollout.Evidence
		typical  map[typicalKey]float64 // seconds
		sessions map[string]sessionSeen
	}

	// move is a roll-out as this box sees it.
	move struct {
		order    willowwick.ReleaseOrder
		began    time.Time
		state    willowwick.ReleaseState
		written  bool // the state is in the store
		monitors map[willowwick.RouteID]*rollout.Monitor
		seen     map[evidenceKey]rollout.Evidence
		requests uint64 // answers known of the target
	}

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

func newReleases(settings ReleaseSettings, isThere func(willowwick.ServiceID, willowwick.ReleaseID) bool) *releases {
	return &releases{
		settings: settings,
		isThere:  isThere,
		canary:   canaryShare,
		moves:    map[willowwick.ServiceID]*move{},
		banned:   map[releaseKey]bool{},
		own:      map[evidenceKey]rollout.Evidence{},
		typical:  map[typicalKey]float64{},
		sessions: map[string]sessionSeen{},
	}
}

// allows reports whether the endpoint has the release that was chosen.
func (c releaseChoice) allows(endpoint willowwick.Endpoint) bool {
	return c.otherwise(endpoint) && (c.release == "" || (endpoint.Release == c.release) == c.useTarget)
}

// otherwise allows what is used if no endpoint has the chosen release.
func (c releaseChoice) otherwise(endpoint willowwick.Endpoint) bool {
	return !slices.Contains(c.banned, endpoint.Release)
}

// begin takes an order; age is how long ago it was given, as far as is known.
func (r *releases) begin(order willowwick.ReleaseOrder, age time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[order.Service]
	if m != nil && m.order.At >= order.At {
		if began := now.Add(-age); m.order.At == order.At && began.Before(m.began) {
			m.began = began
		}
		return
	}
	if m != nil && m.state == willowwick.ReleaseRunning {
		// Its sessions go back to what the others use; only one release is tried at a time.
		r.ban(order.Service, m.order.Target)
	}
	delete(r.banned, releaseKey{order.Service, order.Target})
	r.moves[order.Service] = &move{
		order: order, began: now.Add(-age), state: willowwick.ReleaseRunning,
		monitors: map[willowwick.RouteID]*rollout.Monitor{}, seen: map[evidenceKey]rollout.Evidence{},
	}
	slog.Info("roll-out ordered", "service", order.Service, "release", order.Target,
		"period_ms", order.Period.Milliseconds(), "age_ms", age.Milliseconds())
}

// settle takes a state that is final; it returns whether it was news.
func (r *releases) settle(status willowwick.ReleaseStatus, written bool, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[status.Service]
	if m == nil || m.order.Target != status.Target {
		return false
	}
	if status.State == willowwick.ReleaseRunning {
		m.written = m.written || written && m.state == willowwick.ReleaseRunning
		return false
	}
	news := m.state != status.State
	// What the store holds goes before what this box believes.
	if written || m.state == willowwick.ReleaseRunning {
		m.state, m.written = status.State, written
		r.noteBan(m)
	}
	if news {
		slog.Info("roll-out ended", "service", status.Service, "release", status.Target, "state", m.state, "source", source)
	}
	return news
}

// noteBan keeps a release that was rolled back out of use, whatever is ordered after it.
func (r *releases) noteBan(m *move) {
	if m.state == willowwick.ReleaseRolledBack {
		r.ban(m.order.Service, m.order.Target)
	} else {
		delete(r.banned, releaseKey{m.order.Service, m.order.Target})
	}
}

func (r *releases) ban(service willowwick.ServiceID, release willowwick.ReleaseID) {
	r.banned[releaseKey{service, release}] = true
}

// bans lists the releases that are out of use.
func (r *releases) bans() []releaseKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.banned))
}

// takeBans takes what another box keeps out of use, unless this box has a roll-out to it.
func (r *releases) takeBans(bans []releaseKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range bans {
		if m := r.moves[key.Service]; m == nil || m.order.Target != key.Release {
			r.banned[key] = true
		}
	}
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
	for banned := range r.banned {
		if banned.Service == service {
			choice.banned = append(choice.banned, banned.Release)
		}
	}
	key := string(service) + "/" + session
	r.sessions[key] = sessionSeen{target: choice.useTarget, until: deadline.Add(r.settings.Session)}
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

// observe counts one answer.
func (r *releases) observe(o observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[o.service]
	isTarget := m != nil && m.order.Target == o.release
	key := evidenceKey{Service: o.service, Release: o.release, Route: o.route}
	counts := r.own[key]
	counts.Requests++
	if o.isError {
		counts.Errors++
	} else if r.isSlow(o, isTarget) {
		counts.Slow++
	}
	r.own[key] = counts
}

// isSlow compares an answer with the usual ones of its route and model; those of a new release set no measure.
func (r *releases) isSlow(o observation, isTarget bool) bool {
	key := typicalKey{route: o.route, model: o.model}
	typical, known := r.typical[key]
	took := o.took.Seconds()
	if !known {
		if !isTarget {
			r.typical[key] = took
		}
		return false
	}
	slow := took > slowFactor*typical
	if !isTarget {
		r.typical[key] = typical + typicalFade*(min(took, slowFactor*typical)-typical)
	}
	return slow
}

// usual is how long the head of an answer usually takes on the route; 0 if that is not known yet.
func (r *releases) usual(route willowwick.RouteID, model willowwick.ModelID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.typical[typicalKey{route: route, model: model}] * float64(time.Second))
}

// evidence returns what this box has counted.
func (r *releases) evidence() map[evidenceKey]rollout.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[evidenceKey]rollout.Evidence, len(r.own))
	for key, value := range r.own {
		counts[key] = value
	}
	return counts
}

// judge looks at the evidence of all boxes and returns the services whose roll-out turned out bad.
func (r *releases) judge(fleet map[evidenceKey]rollout.Evidence, now time.Time) []willowwick.ReleaseStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	var bad []willowwick.ReleaseStatus
	for service, m := range r.moves {
		if m.state != willowwick.ReleaseRunning {
			continue
		}
		if cause, isBad := m.judge(service, fleet); isBad {
			m.state, m.written = willowwick.ReleaseRolledBack, false
			r.noteBan(m)
			bad = append(bad, willowwick.ReleaseStatus{Service: service, Target: m.order.Target, State: m.state})
			slog.Info("release is bad", "service", service, "release", m.order.Target, "cause", cause,
				"answers", m.requests, "age_ms", now.Sub(m.began).Milliseconds())
		}
	}
	return bad
}

func (r *releases) forget(now time.Time) {
	for key, seen := range r.sessions {
		if now.After(seen.until) {
			delete(r.sessions, key)
		}
	}
}

// judge adds what is new in the evidence to the monitors of the routes.
func (m *move) judge(service willowwick.ServiceID, fleet map[evidenceKey]rollout.Evidence) (cause string, isBad bool) {
	type pair struct{ target, others rollout.Evidence }
	routes := map[willowwick.RouteID]pair{}
	var all, target rollout.Evidence
	for key, total := range fleet {
		if key.Service != service {
			continue
		}
		news := total.Since(m.seen[key])
		m.seen[key] = total
		p := routes[key.Route]
		if key.Release == m.order.Target {
			p.target = p.target.Add(news)
			target = target.Add(total)
		} else {
			p.others = p.others.Add(news)
			all = all.Add(news)
		}
		routes[key.Route] = p
	}
	m.requests = target.Requests
	for name, p := range routes {
		monitor := m.monitors[name]
		if monitor == nil {
			monitor = rollout.NewMonitor(willowwick.VersionID(m.order.Target))
			m.monitors[name] = monitor
		}
		if finding := monitor.Observe(p.target, p.others, all); finding.Bad {
			return string(name) + ": " + finding.Signal.String(), true
		}
	}
	if target.Errors >= plainlyBad && float64(target.Errors) > plainlyBadShare*float64(target.Requests) {
		return "most answers are errors", true
	}
	return "", false
}

// progress is how far a box has come with a roll-out.
type progress struct {
	Status willowwick.ReleaseStatus
	Order  willowwick.ReleaseOrder
	AgeMs  int64
	Moved  bool // all new requests go to the target
}

// progresses returns this box's roll-outs.
func (r *releases) progresses(now time.Time) []progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]progress, 0, len(r.moves))
	for service, m := range r.moves {
		list = append(list, progress{
			Status: willowwick.ReleaseStatus{Service: service, Target: m.order.Target, State: m.state},
			Order:  m.order, AgeMs: now.Sub(m.began).Milliseconds(), Moved: m.share(now, r.canary) >= 1,
		})
	}
	return list
}

// dueStatus is a state that is to be written to the store.
type dueStatus struct {
	willowwick.ReleaseStatus
	lastCall bool // the period ends: it is written even while requests are under way on the old release
}

// due returns the states that the box that leads should write.
func (r *releases) due(now time.Time) []dueStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []dueStatus
	for service, m := range r.moves {
		status := willowwick.ReleaseStatus{Service: service, Target: m.order.Target, State: m.state}
		switch {
		case m.state == willowwick.ReleaseRunning && m.share(now, r.canary) >= 1:
			status.State = willowwick.ReleaseCompleted
			list = append(list, dueStatus{status, m.part(now) >= lastCall})
		case !m.written:
			list = append(list, dueStatus{status, true})
		}
	}
	return list
}
