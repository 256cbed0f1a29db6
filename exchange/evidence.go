package exchange

import (
	"log/slog"
	"maps"
	"math"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

const (
	// rollbackErrors and rollbackErrorShare are the number and the share of errors that roll a release back where there
	// is nothing to compare it with.
	rollbackErrors     = 12
	rollbackErrorShare = 0.3
	// slowFactor is the ratio to the usual time to header of its route and model above which an answer counts as slow, and
	// slowGoalShare the share of the route's goal by which it must be later: callers don't feel less.
	slowFactor    = 2.5
	slowGoalShare = 0.1
	// typicalLimit is the ratio to the typical time above which an answer changes that no further.
	typicalLimit = 3.0
	// evidenceLogStep is the number of new answers of a roll-out's target after which the evidence is logged again.
	evidenceLogStep = 10
	// typicalSmoothing is the weight of one answer in the moving average of the typical time.
	typicalSmoothing = 0.1
	// minLearntTime is the least time that is learnt.
	minLearntTime = 100 * time.Microsecond
)

type (
	// evidenceKey identifies the answers that are counted together.
	evidenceKey struct {
		Service willowwick.ServiceID
		Release willowwick.ReleaseID
		Route   willowwick.RouteID
	}

	// latencyKey identifies the answers that share a typical latency.
	latencyKey struct {
		route willowwick.RouteID
		model willowwick.ModelID
	}

	// observation is one answer as evidence.
	observation struct {
		service willowwick.ServiceID
		release willowwick.ReleaseID
		route   willowwick.RouteID
		model   willowwick.ModelID
		goal    time.Duration // of the route; 0 if it has none
		took    time.Duration // to the header
		isError bool
	}

	// usualTime is the geometric mean of the times that answers took to the header: a few long ones hardly change it.
	usualTime struct {
		log     float64 // of seconds
		answers int
	}

	// awaitedAnswer is an answer that has not begun.
	awaitedAnswer struct {
		observation
		sentAt  time.Time
		endedAt time.Time // when it had arrived and its end was to be confirmed; zero for others
		isSlow  bool      // counted already, as a slow one
	}
)

// await counts a request as one with a slow answer as soon as its answer is late, until it is observed or the returned function is
// called.
func (r *releases) await(awaited *awaitedAnswer) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited[awaited] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.awaited, awaited)
	}
}

// awaitNoMore records that an answer has arrived whose end is to be confirmed: the time that takes is not the endpoint's.
func (r *releases) awaitNoMore(awaited *awaitedAnswer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.awaited, awaited)
	awaited.endedAt = now
}

// observeAwaited counts an answer that has begun or failed.
func (r *releases) observeAwaited(awaited *awaitedAnswer, isError bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.awaited, awaited)
	if !awaited.endedAt.IsZero() {
		now = awaited.endedAt
	}
	o := awaited.observation
	o.took, o.isError = now.Sub(awaited.sentAt), isError
	r.count(o, awaited.isSlow)
}

// count counts one answer, unless it was counted as slow before it began; the caller holds the lock.
func (r *releases) count(o observation, isCounted bool) {
	key := evidenceKey{Service: o.service, Release: o.release, Route: o.route}
	counts := r.ownEvidence[key]
	isSlow := r.isSlow(o)
	if !o.isError {
		r.learn(o)
	}
	if !isCounted {
		counts.Requests++
	}
	switch {
	case o.isError:
		counts.Errors++
	case isSlow && !isCounted:
		counts.Slow++
	}
	r.ownEvidence[key] = counts
}

// countOverdue counts the answers that have not begun and are slow already; the caller holds the lock.
func (r *releases) countOverdue(now time.Time) {
	for awaited := range r.awaited {
		o := awaited.observation
		if o.took = now.Sub(awaited.sentAt); awaited.isSlow || !r.isSlow(o) {
			continue
		}
		awaited.isSlow = true
		key := evidenceKey{Service: o.service, Release: o.release, Route: o.route}
		counts := r.ownEvidence[key]
		counts.Requests++
		counts.Slow++
		r.ownEvidence[key] = counts
	}
}

// isSlow compares an answer with the usual time of its route and model.
func (r *releases) isSlow(o observation) bool {
	usual, known := r.usual[latencyKey{route: o.route, model: o.model}]
	if !known {
		return false
	}
	seconds := math.Exp(usual.log)
	took := o.took.Seconds()
	return took > slowFactor*seconds && took-seconds > slowGoalShare*o.goal.Seconds()
}

// learn learns the usual and the typical time of a route and model from an answer; those of a new release don't change them.
func (r *releases) learn(o observation) {
	if m := r.rollouts[o.service]; m != nil && m.order.Target == o.release {
		return
	}
	key := latencyKey{route: o.route, model: o.model}
	took := o.took.Seconds()
	usual := r.usual[key]
	usual.answers++
	weight := max(typicalSmoothing, 1/float64(usual.answers))
	usual.log += weight * (math.Log(max(took, minLearntTime.Seconds())) - usual.log)
	r.usual[key] = usual
	typical, known := r.typical[key]
	if !known {
		r.typical[key], r.lateness[key] = took, &route.Lateness{}
		return
	}
	r.typical[key] = typical + typicalSmoothing*(min(took, typicalLimit*typical)-typical)
	r.lateness[key].Learn(o.took - time.Duration(typical*float64(time.Second)))
}

// typicalLatency returns the typical time to the header of an answer on the route, 0 if that is not known yet, and how
// much longer it may well take.
func (r *releases) typicalLatency(name willowwick.RouteID, model willowwick.ModelID) (typical, lateness time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := latencyKey{route: name, model: model}
	return time.Duration(r.typical[key] * float64(time.Second)), r.lateness[key].Value()
}

// evidence returns a copy of what this box has counted.
func (r *releases) evidence(now time.Time) map[evidenceKey]rollout.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countOverdue(now)
	return maps.Clone(r.ownEvidence)
}

// evaluate checks the evidence of all boxes and returns the services whose roll-out is rolled back.
func (r *releases) evaluate(fleet map[evidenceKey]rollout.Evidence, now time.Time) []willowwick.ReleaseStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetSessions(now)
	r.beginDeferred(now)
	var bad []willowwick.ReleaseStatus
	for service, m := range r.rollouts {
		if m.state != willowwick.ReleaseRunning {
			continue
		}
		if cause, isBad := m.evaluate(service, fleet); isBad {
			m.state, m.persisted = willowwick.ReleaseRolledBack, false
			r.recordVerdict(m)
			bad = append(bad, willowwick.ReleaseStatus{Service: service, Target: m.order.Target, State: m.state})
			slog.Info("release is bad", "service", service, "release", m.order.Target, "cause", cause,
				"answers", m.targetAnswers, "age_ms", now.Sub(m.startedAt).Milliseconds())
		}
	}
	return bad
}

// evaluate adds the new evidence to the panel of the routes and reports whether the target is bad.
func (m *rolloutState) evaluate(service willowwick.ServiceID, fleet map[evidenceKey]rollout.Evidence) (cause string, isBad bool) {
	routes, others := m.newEvidence(service, fleet)
	target := m.targetEvidence(service, fleet)
	m.targetAnswers = target.Requests
	defer func() { m.logEvidence(service, target, others) }()
	if finding, route := m.panel.Observe(routes, others); finding.Bad {
		if route == "" {
			route = "all routes"
		}
		return string(route) + ": " + finding.Signal.String(), true
	}
	if target.Errors >= rollbackErrors && float64(target.Errors) > rollbackErrorShare*float64(target.Requests) {
		return "most answers are errors", true
	}
	return "", false
}

// logEvidence writes what is known of a roll-out's target whenever that has changed by evidenceLogStep answers.
func (m *rolloutState) logEvidence(service willowwick.ServiceID, target, others rollout.Evidence) {
	if target.Requests < m.loggedAnswers+evidenceLogStep {
		return
	}
	m.loggedAnswers = target.Requests
	slog.Info("evidence on a roll-out", "service", service, "release", m.order.Target, "answers", target.Requests, "errors", target.Errors,
		"slow", target.Slow, "new_others", others.Requests, "new_others_slow", others.Slow, "suspicion", m.panel.Suspicion())
}

// newEvidence returns the evidence since the last call by route, and the sum of that on other releases over all routes.
func (m *rolloutState) newEvidence(
	service willowwick.ServiceID, fleet map[evidenceKey]rollout.Evidence,
) (routes map[rollout.Kind]rollout.KindEvidence, others rollout.Evidence) {
	routes = map[rollout.Kind]rollout.KindEvidence{}
	for key, total := range fleet {
		if key.Service != service {
			continue
		}
		added := total.Since(m.evidence[key])
		m.evidence[key] = total
		kind := rollout.Kind(key.Route)
		counts := routes[kind]
		if key.Release == m.order.Target {
			counts.Version = counts.Version.Add(added)
		} else {
			counts.Others = counts.Others.Add(added)
			others = others.Add(added)
		}
		routes[kind] = counts
	}
	return routes, others
}

// targetEvidence returns the evidence on the target, summed over all routes.
func (m *rolloutState) targetEvidence(service willowwick.ServiceID, fleet map[evidenceKey]rollout.Evidence) rollout.Evidence {
	var sum rollout.Evidence
	for key, total := range fleet {
		if key.Service == service && key.Release == m.order.Target {
			sum = sum.Add(total)
		}
	}
	return sum
}
