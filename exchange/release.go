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
	// ReleaseSettings bound roll-outs of releases.
	ReleaseSettings struct {
		Session time.Duration // setting: requests of a session follow each other within this
		// Exposure is the share of a service's requests that a bad release may get; 0 if the operator names none.
		Exposure float64
	}

	// releaseKey names a release of a service.
	releaseKey struct {
		Service willowwick.ServiceID
		Release willowwick.ReleaseID
	}

	// releases decides which release answers, and judges new ones.
	releases struct {
		settings ReleaseSettings
		// isThere reports whether a service has an endpoint of a release that stays.
		isThere func(willowwick.ServiceID, willowwick.ReleaseID) bool

		mu    sync.Mutex
		moves map[willowwick.ServiceID]*move
		// keptElsewhere are sessions that other boxes know on other releases than a roll-out's target.
		keptElsewhere map[sessionHash]bool
		canary        float64 // share of the sessions that try a new release first
		verdicts      verdicts
		own           map[evidenceKey]rollout.Evidence
		typical       map[latencyKey]float64 // seconds
		lateness      map[latencyKey]*route.Lateness
		sessions      map[string]sessionSeen

		era        willowwick.Era                                   // the newest that an order is of
		restoredAt time.Time                                        // until then orders may be ones that are written again
		putOff     map[willowwick.ServiceID]willowwick.ReleaseOrder // until then
	}

	// move is a roll-out as this box sees it.
	move struct {
		order    willowwick.ReleaseOrder
		began    time.Time
		state    willowwick.ReleaseState
		written  bool // the state is in the store
		panel    *rollout.Panel
		seen     map[evidenceKey]rollout.Evidence
		requests uint64 // answers known of the target
	}

	// progress is how far a box has come with a roll-out.
	progress struct {
		Status willowwick.ReleaseStatus
		Order  willowwick.ReleaseOrder
		AgeMs  int64
		Moved  bool // all new requests go to the target
	}

	// dueStatus is a state that is to be written to the store.
	dueStatus struct {
		willowwick.ReleaseStatus
		lastCall bool // the period ends: it is written even while requests are under way on the old release
	}
)

func newReleases(settings ReleaseSettings, isThere func(willowwick.ServiceID, willowwick.ReleaseID) bool) *releases {
	return &releases{
		settings: settings,
		isThere:  isThere,
		canary:   settings.firstShare(),
		moves:    map[willowwick.ServiceID]*move{},
		verdicts: verdicts{},
		own:      map[evidenceKey]rollout.Evidence{},
		typical:  map[latencyKey]float64{},
		lateness: map[latencyKey]*route.Lateness{},
		sessions: map[string]sessionSeen{},
		putOff:   map[willowwick.ServiceID]willowwick.ReleaseOrder{},
	}
}

// begin takes an order; age is how long ago it was given, as far as is known.
func (r *releases) begin(order willowwick.ReleaseOrder, age time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enterEra(order.At.Era(), now)
	if !r.isRewrittenOrder(order, now) {
		r.beginNew(order, age, now)
	}
}

// beginNew takes an order unless a later one is known; the caller holds the lock.
func (r *releases) beginNew(order willowwick.ReleaseOrder, age time.Duration, now time.Time) {
	m := r.moves[order.Service]
	if m != nil && m.order.At >= order.At {
		if began := now.Add(-age); m.order.At == order.At && began.Before(m.began) {
			m.began = began
		}
		return
	}
	if m != nil && m.state == willowwick.ReleaseRunning {
		// Its sessions go back to what the others use; only one release is tried at a time.
		r.verdicts.supersede(releaseKey{order.Service, m.order.Target}, now)
	}
	delete(r.verdicts, releaseKey{order.Service, order.Target})
	r.moves[order.Service] = &move{
		order: order, began: now.Add(-age), state: willowwick.ReleaseRunning,
		panel: rollout.NewPanel(willowwick.VersionID(order.Target)), seen: map[evidenceKey]rollout.Evidence{},
	}
	slog.Info("roll-out ordered", "service", order.Service, "release", order.Target,
		"period_ms", order.Period.Milliseconds(), "age_ms", age.Milliseconds())
}

// settle takes the state of a roll-out as the store holds it, or as another box believes it to be.
func (r *releases) settle(status willowwick.ReleaseStatus, written bool, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[status.Service]
	if m == nil || m.order.Target != status.Target {
		return
	}
	if status.State == willowwick.ReleaseRunning {
		m.written = m.written || written && m.state == willowwick.ReleaseRunning
		return
	}
	news := m.state != status.State
	// What the store holds goes before what this box believes.
	if written || m.state == willowwick.ReleaseRunning {
		m.state, m.written = status.State, written
		r.noteEnd(m)
	}
	if news {
		slog.Info("roll-out ended", "service", status.Service, "release", status.Target, "state", m.state, "source", source)
	}
}

// noteEnd keeps how a roll-out ended, whatever is ordered after it.
func (r *releases) noteEnd(m *move) {
	key := releaseKey{m.order.Service, m.order.Target}
	switch m.state {
	case willowwick.ReleaseRolledBack:
		r.verdicts.set(key, rolledBack)
	case willowwick.ReleaseCompleted:
		r.verdicts.set(key, completed)
	}
}

// ended lists what became of releases.
func (r *releases) ended(now time.Time) []verdictRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdicts.effectiveRows(now)
}

// hearEnded takes what another box knows of releases, but for those that this box has a roll-out to.
func (r *releases) hearEnded(rows []verdictRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if m := r.moves[row.Key.Service]; m == nil || m.order.Target != row.Key.Release {
			r.verdicts.merge(row)
		}
	}
}

func (r *releases) forget(now time.Time) {
	for key, seen := range r.sessions {
		if now.After(seen.until) {
			delete(r.sessions, key)
		}
	}
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
