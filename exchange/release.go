package exchange

import (
	"log/slog"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

type (
	// ReleaseSettings limit roll-outs of releases.
	ReleaseSettings struct {
		Session time.Duration // longest time between two successive requests of a session
		// Exposure is the share of a service's requests that a bad release may get; 0 if the operator sets none.
		Exposure float64
	}

	// releaseKey identifies a release of a service.
	releaseKey struct {
		Service willowwick.ServiceID
		Release willowwick.ReleaseID
	}

	// releases chooses the release for each request, and evaluates new releases by the evidence.
	releases struct {
		settings ReleaseSettings
		// hasRelease reports whether a service has an endpoint of a release that isn't draining.
		hasRelease func(willowwick.ServiceID, willowwick.ReleaseID) bool

		mu       sync.Mutex
		rollouts map[willowwick.ServiceID]*rolloutState
		// pinnedElsewhere are sessions that other boxes reported on releases other than a roll-out's target.
		pinnedElsewhere map[sessionHash]bool
		canary          float64 // share of the sessions that try a new release first
		verdicts        verdicts
		ownEvidence     map[evidenceKey]rollout.Evidence
		awaited         map[*awaitedAnswer]bool
		usual           map[latencyKey]usualTime
		typical         map[latencyKey]float64 // seconds
		lateness        map[latencyKey]*route.Lateness
		sessions        map[string]sessionRecord

		regionDelay    time.Duration                                    // time that updates from other regions take beyond those of this one
		era            willowwick.Era                                   // the newest era of an order
		restoredAt     time.Time                                        // until then, orders may be ones that the operator writes again
		deferredOrders map[willowwick.ServiceID]willowwick.ReleaseOrder // applied at restoredAt if still the newest
	}

	// rolloutState is a roll-out as this box knows it.
	rolloutState struct {
		order         willowwick.ReleaseOrder
		startedAt     time.Time
		state         willowwick.ReleaseState
		persisted     bool // the state is in the store
		panel         *rollout.KindMonitor
		evidence      map[evidenceKey]rollout.Evidence
		targetAnswers uint64  // answers of the target known to this box
		rampedTo      float64 // share of the period up to which the target's share has risen
		loggedAnswers uint64  // targetAnswers when the evidence was last logged
	}

	// progress is how far a box has come with a roll-out.
	progress struct {
		Status willowwick.ReleaseStatus
		Order  willowwick.ReleaseOrder
		AgeMs  int64
		Moved  bool // all new requests go to the target
	}

	// dueStatus is a state that has to be written to the store.
	dueStatus struct {
		willowwick.ReleaseStatus
		isForced bool // written even with requests in flight on the old release: the period is about to end, or the state is known
	}
)

func newReleases(settings ReleaseSettings, hasRelease func(willowwick.ServiceID, willowwick.ReleaseID) bool) *releases {
	return &releases{
		settings:       settings,
		hasRelease:     hasRelease,
		canary:         settings.initialCanaryShare(),
		rollouts:       map[willowwick.ServiceID]*rolloutState{},
		verdicts:       verdicts{},
		ownEvidence:    map[evidenceKey]rollout.Evidence{},
		awaited:        map[*awaitedAnswer]bool{},
		usual:          map[latencyKey]usualTime{},
		typical:        map[latencyKey]float64{},
		lateness:       map[latencyKey]*route.Lateness{},
		sessions:       map[string]sessionRecord{},
		deferredOrders: map[willowwick.ServiceID]willowwick.ReleaseOrder{},
	}
}

// applyOrder starts the roll-out of an order; age is how long ago it was given, as far as known.
func (r *releases) applyOrder(order willowwick.ReleaseOrder, age time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enterEra(order.At.Era(), now)
	if !r.isRewrittenOrder(order, now) {
		r.applyNewOrder(order, age, now)
	}
}

// applyNewOrder starts a roll-out unless a later order is known; the caller holds the lock.
func (r *releases) applyNewOrder(order willowwick.ReleaseOrder, age time.Duration, now time.Time) {
	m := r.rollouts[order.Service]
	if m != nil && m.order.At >= order.At {
		if startedAt := now.Add(-age); m.order.At == order.At && startedAt.Before(m.startedAt) {
			m.startedAt = startedAt
		}
		return
	}
	if m != nil && m.state == willowwick.ReleaseRunning {
		// Only one release is tried at a time: the sessions on the previous target return to the other releases.
		r.verdicts.supersede(releaseKey{order.Service, m.order.Target}, now.Add(supersedeDelay+r.regionDelay))
	}
	delete(r.verdicts, releaseKey{order.Service, order.Target})
	r.rollouts[order.Service] = &rolloutState{
		order: order, startedAt: now.Add(-age), state: willowwick.ReleaseRunning,
		panel: rollout.NewKindMonitor(willowwick.VersionID(order.Target)), evidence: map[evidenceKey]rollout.Evidence{},
	}
	slog.Info("roll-out ordered", "service", order.Service, "release", order.Target,
		"period_ms", order.Period.Milliseconds(), "age_ms", age.Milliseconds())
}

// applyStatus applies the state of a roll-out from the store (persisted) or from another box.
func (r *releases) applyStatus(status willowwick.ReleaseStatus, persisted bool, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.rollouts[status.Service]
	if m == nil || m.order.Target != status.Target {
		return
	}
	if status.State == willowwick.ReleaseRunning {
		m.persisted = m.persisted || persisted && m.state == willowwick.ReleaseRunning
		return
	}
	isChange := m.state != status.State
	// The store's state takes precedence over this box's own.
	if persisted || m.state == willowwick.ReleaseRunning {
		m.state, m.persisted = status.State, persisted
		r.recordVerdict(m)
	}
	if isChange {
		slog.Info("roll-out ended", "service", status.Service, "release", status.Target, "state", m.state, "source", source)
	}
}

// recordVerdict keeps the result of a roll-out, whatever is ordered after it; the caller holds the lock.
func (r *releases) recordVerdict(m *rolloutState) {
	key := releaseKey{m.order.Service, m.order.Target}
	switch m.state {
	case willowwick.ReleaseRolledBack:
		r.verdicts.set(key, rolledBack)
	case willowwick.ReleaseCompleted:
		r.verdicts.set(key, completed)
	}
}

// verdictRows returns the verdicts on releases for other boxes.
func (r *releases) verdictRows(now time.Time) []verdictRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdicts.effectiveRows(now)
}

// receiveVerdicts merges another box's verdicts, except on releases that this box has a roll-out to.
func (r *releases) receiveVerdicts(rows []verdictRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if m := r.rollouts[row.Key.Service]; m == nil || m.order.Target != row.Key.Release {
			r.verdicts.merge(row)
		}
	}
}

func (r *releases) forgetSessions(now time.Time) {
	for key, seen := range r.sessions {
		if now.After(seen.until) {
			delete(r.sessions, key)
		}
	}
}

// progressList returns the progress of this box's roll-outs.
func (r *releases) progressList(now time.Time) []progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]progress, 0, len(r.rollouts))
	for service, m := range r.rollouts {
		list = append(list, progress{
			Status: willowwick.ReleaseStatus{Service: service, Target: m.order.Target, State: m.state},
			Order:  m.order, AgeMs: now.Sub(m.startedAt).Milliseconds(), Moved: m.targetShare(now, r.canary) >= 1,
		})
	}
	return list
}

// due returns the states that the leader has to write.
func (r *releases) due(now time.Time) []dueStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []dueStatus
	for service, m := range r.rollouts {
		status := willowwick.ReleaseStatus{Service: service, Target: m.order.Target, State: m.state}
		switch {
		case m.state == willowwick.ReleaseRunning && m.targetShare(now, r.canary) >= 1:
			status.State = willowwick.ReleaseCompleted
			list = append(list, dueStatus{status, m.elapsedShare(now) >= forcedCompletionShare})
		case !m.persisted:
			list = append(list, dueStatus{status, true})
		}
	}
	return list
}
