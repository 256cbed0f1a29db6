package serve

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/rollout"
)

type (
	// watch gathers the evidence on versions and acts on it: any box withdraws
	// a version shown to be bad; the holder of the lease advances roll-outs.
	watch struct {
		daemon   *Daemon
		mu       sync.Mutex
		own      map[willowwick.VersionID]rollout.Evidence
		taken    map[willowwick.VersionID]rollout.Evidence // of own, at the last look
		tracker  *fleet.EvidenceTracker
		monitors map[willowwick.VersionID]*rollout.Monitor
		previous map[willowwick.VersionID]rollout.Evidence // the last look's news, as a baseline for a lone version
		steps    map[willowwick.RolloutID]stepState
		stopped  map[willowwick.VersionID]bool

		badVersions map[willowwick.VersionID]bool
	}

	// stepState is what was seen on the present step of a roll-out.
	stepState struct {
		step     int
		declared willowwick.Offset
		finding  rollout.Finding
	}
)

const (
	withdrawAuthor = "willowwick"
	exposureSlack  = 20 // a step without a declared bound may take this many times its minimum
)

func newWatch(d *Daemon) *watch {
	return &watch{
		daemon:   d,
		own:      map[willowwick.VersionID]rollout.Evidence{},
		taken:    map[willowwick.VersionID]rollout.Evidence{},
		tracker:  fleet.NewEvidenceTracker(),
		monitors: map[willowwick.VersionID]*rollout.Monitor{},
		previous: map[willowwick.VersionID]rollout.Evidence{},
		steps:    map[willowwick.RolloutID]stepState{},
		stopped:  map[willowwick.VersionID]bool{},

		badVersions: map[willowwick.VersionID]bool{},
	}
}

// add notes what was seen of one answer.
func (w *watch) add(version willowwick.VersionID, seen rollout.Evidence) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own[version] = w.own[version].Add(seen)
}

// counts lists this box's evidence for its digest.
func (w *watch) counts() fleet.VersionCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	var counts fleet.VersionCounts
	for version, evidence := range w.own {
		counts.Add(fleet.HashName(version), evidence)
	}
	return counts
}

// isStopped reports whether this box gives a version no new sessions: it was
// found bad, or has taken as many requests as the step allows before it is judged.
func (w *watch) isStopped(version willowwick.VersionID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped[version]
}

// isBad reports whether this box found a version bad; not even its sessions stay on it.
func (w *watch) isBad(version willowwick.VersionID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.badVersions[version]
}

// look weighs what is new since the last look.
func (w *watch) look(now time.Time, r *config.Revision) []rollout.Finding {
	w.mu.Lock()
	defer w.mu.Unlock()
	news := map[willowwick.VersionID]rollout.Evidence{}
	for version, evidence := range w.own {
		news[version] = evidence.Since(w.taken[version])
		w.taken[version] = evidence
	}
	w.addPeers(now, r, news)
	var findings []rollout.Finding
	for version, fresh := range news {
		if fresh == (rollout.Evidence{}) {
			continue
		}
		finding := w.observe(r, version, fresh, news)
		if finding.Bad {
			findings = append(findings, finding)
			w.bad(r, version, finding)
		}
	}
	w.limitExposure(r)
	return findings
}

// addPeers adds what the other boxes have newly seen.
func (w *watch) addPeers(now time.Time, r *config.Revision, news map[willowwick.VersionID]rollout.Evidence) {
	fresh := map[fleet.NameHash]rollout.Evidence{}
	w.tracker.AddDeltas(now, w.daemon.node.Table.Evidence(), fresh)
	for _, version := range r.Versions() {
		if evidence, ok := fresh[fleet.HashName(version)]; ok {
			news[version] = news[version].Add(evidence)
		}
	}
}

func (w *watch) observe(r *config.Revision, version willowwick.VersionID, fresh rollout.Evidence, news map[willowwick.VersionID]rollout.Evidence) rollout.Finding {
	monitor := w.monitors[version]
	if monitor == nil {
		monitor = rollout.NewMonitor(version)
		w.monitors[version] = monitor
	}
	w.beginStep(r, version, monitor)
	others, known := siblings(r, version, news)
	if !known {
		others = w.previous[version]
		w.previous[version] = fresh
	}
	finding := monitor.Observe(fresh, others, allOthers(version, news))
	if active, ok := activeRollout(r, version); ok {
		state := w.steps[active.ID]
		state.finding = finding
		w.steps[active.ID] = state
	}
	return finding
}

// beginStep resets the monitor when its roll-out has moved on.
func (w *watch) beginStep(r *config.Revision, version willowwick.VersionID, monitor *rollout.Monitor) {
	active, ok := activeRollout(r, version)
	if !ok {
		return
	}
	state, known := w.steps[active.ID]
	if known && state.step == active.Progress.Step && state.declared == active.Progress.Declared {
		return
	}
	monitor.BeginStep()
	w.steps[active.ID] = stepState{step: active.Progress.Step, declared: active.Progress.Declared}
	delete(w.stopped, version)
}

// activeRollout returns the roll-out under way whose new version this is.
func activeRollout(r *config.Revision, version willowwick.VersionID) (config.ActiveRollout, bool) {
	if !r.IsRollingOut(version) {
		return config.ActiveRollout{}, false
	}
	declared, ok := r.Version(version)
	if !ok {
		return config.ActiveRollout{}, false
	}
	return r.Rollout(declared.Model)
}

// siblings sums up the news of the other versions of the same model.
func siblings(r *config.Revision, version willowwick.VersionID, news map[willowwick.VersionID]rollout.Evidence) (rollout.Evidence, bool) {
	declared, ok := r.Version(version)
	if !ok {
		return rollout.Evidence{}, false
	}
	total, found := rollout.Evidence{}, false
	for other, fresh := range news {
		if sibling, ok := r.Version(other); ok && other != version && sibling.Model == declared.Model {
			total, found = total.Add(fresh), true
		}
	}
	return total, found
}

// allOthers sums up the news of all other versions, of whatever model.
func allOthers(version willowwick.VersionID, news map[willowwick.VersionID]rollout.Evidence) rollout.Evidence {
	total := rollout.Evidence{}
	for other, fresh := range news {
		if other != version {
			total = total.Add(fresh)
		}
	}
	return total
}

// bad stops a version here at once, and for good on the log, if another can take its place.
func (w *watch) bad(r *config.Revision, version willowwick.VersionID, finding rollout.Finding) {
	if w.stopped[version] && r.IsWithdrawn(version) {
		return
	}
	declared, ok := r.Version(version)
	if !ok || r.IsWithdrawn(version) {
		return
	}
	if !hasReplacement(r, declared.Model, version) {
		w.daemon.metrics.aloneBad.Inc()
		return
	}
	if !w.stopped[version] {
		slog.Warn("version stopped on this box", "version", version, "signal", finding.Signal.String(), "requests", finding.Requests)
	}
	w.stopped[version], w.badVersions[version] = true, true
	reason := fmt.Sprintf("%s beyond those of the other versions", finding.Signal)
	w.daemon.workers.Go(func() { w.daemon.withdraw(version, reason) })
}

// hasReplacement reports whether the model has another version to answer.
func hasReplacement(r *config.Revision, model willowwick.ModelID, version willowwick.VersionID) bool {
	if active, ok := r.Rollout(model); ok && active.To == version {
		return true
	}
	settled, ok := r.Settled(model)
	if ok && settled != version {
		return true
	}
	declared, ok := r.Model(model)
	if !ok {
		return false
	}
	for _, other := range append([]willowwick.VersionID{declared.Settled}, declared.Fallback...) {
		if other != version && !r.IsWithdrawn(other) {
			return true
		}
	}
	return false
}

// limitExposure holds new sessions back from a step that has taken its fill without a verdict.
func (w *watch) limitExposure(r *config.Revision) {
	for _, active := range r.Rollouts() {
		state := w.steps[active.ID]
		bound := active.MaxExposure
		if bound == 0 {
			bound = active.MinRequests * exposureSlack
		}
		if state.finding.Requests >= uint64(bound) && !state.finding.Good && !w.stopped[active.To] {
			w.stopped[active.To] = true
			slog.Warn("roll-out held: its step has taken its fill without a verdict", "rollout", active.ID, "requests", state.finding.Requests)
		}
	}
}

// readySteps lists the steps that the evidence allows.
func (w *watch) readySteps(r *config.Revision) []config.RolloutStep {
	w.mu.Lock()
	defer w.mu.Unlock()
	var steps []config.RolloutStep
	for _, active := range r.Rollouts() {
		state, known := w.steps[active.ID]
		current := known && state.step == active.Progress.Step && state.declared == active.Progress.Declared
		if !current || !state.finding.Good || state.finding.Requests < uint64(active.MinRequests) {
			continue
		}
		next := active.Progress.Step + 1
		steps = append(steps, config.RolloutStep{
			ID:      willowwick.ChangeID(fmt.Sprintf("step-%s-%d-%d", active.ID, active.Progress.Declared, next)),
			Rollout: active.ID,
			Step:    next,
			Reason:  fmt.Sprintf("%d requests on the step, no worse than the other versions", state.finding.Requests),
		})
	}
	return steps
}

// withdraw appends the withdrawal of a version; all boxes use the same id, so it counts once.
func (d *Daemon) withdraw(version willowwick.VersionID, reason string) {
	record := config.Record{Kind: config.RecordWithdraw, Withdraw: &config.Withdraw{
		ID: willowwick.ChangeID("auto-" + string(version)), Author: withdrawAuthor, Reason: reason, Version: version,
	}}
	data, err := record.Encode()
	if err != nil {
		slog.Error("withdrawal could not be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if _, err := d.outside.Log.Append(ctx, willowwick.StreamConfig, data); err != nil {
		d.metrics.withdrawFailed.Inc()
		return
	}
	_ = d.node.Follower.ReadLog(ctx)
}
