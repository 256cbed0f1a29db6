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
	// versionWatcher collects the evidence on versions and acts on it: any box
	// withdraws a bad version; the holder of the lease advances roll-outs.
	versionWatcher struct {
		daemon         *Daemon
		mu             sync.Mutex
		ownEvidence    map[willowwick.VersionID]rollout.Evidence
		processed      map[willowwick.VersionID]rollout.Evidence // ownEvidence at the last evaluation
		tracker        *fleet.EvidenceTracker
		monitors       map[willowwick.VersionID]*rollout.Monitor
		previousDeltas map[willowwick.VersionID]rollout.Evidence // of the last evaluation, as baseline of a lone version
		steps          map[willowwick.RolloutID]stepState
		stopped        map[willowwick.VersionID]bool

		badVersions map[willowwick.VersionID]bool
	}

	// stepState is the finding on the current step of a roll-out.
	stepState struct {
		step     int
		declared willowwick.Offset
		finding  rollout.Finding
	}
)

const (
	withdrawAuthor        = "willowwick"
	defaultExposureFactor = 20 // exposure limit of a step without a declared one, as a multiple of its minimum of requests
)

func newVersionWatcher(d *Daemon) *versionWatcher {
	return &versionWatcher{
		daemon:         d,
		ownEvidence:    map[willowwick.VersionID]rollout.Evidence{},
		processed:      map[willowwick.VersionID]rollout.Evidence{},
		tracker:        fleet.NewEvidenceTracker(),
		monitors:       map[willowwick.VersionID]*rollout.Monitor{},
		previousDeltas: map[willowwick.VersionID]rollout.Evidence{},
		steps:          map[willowwick.RolloutID]stepState{},
		stopped:        map[willowwick.VersionID]bool{},

		badVersions: map[willowwick.VersionID]bool{},
	}
}

// add adds the evidence from one answer.
func (w *versionWatcher) add(version willowwick.VersionID, seen rollout.Evidence) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ownEvidence[version] = w.ownEvidence[version].Add(seen)
}

// counts returns this box's evidence for its digest.
func (w *versionWatcher) counts() fleet.VersionCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	var counts fleet.VersionCounts
	for version, evidence := range w.ownEvidence {
		counts.Add(fleet.HashName(version), evidence)
	}
	return counts
}

// isStopped reports whether this box gives a version no new sessions: it was
// found bad, or its step has reached the exposure limit without a verdict.
func (w *versionWatcher) isStopped(version willowwick.VersionID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped[version]
}

// isBad reports whether this box found a version bad; even existing sessions leave it.
func (w *versionWatcher) isBad(version willowwick.VersionID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.badVersions[version]
}

// evaluate observes the evidence since the last evaluation and acts on versions found bad.
func (w *versionWatcher) evaluate(now time.Time, r *config.Revision) []rollout.Finding {
	w.mu.Lock()
	defer w.mu.Unlock()
	deltas := map[willowwick.VersionID]rollout.Evidence{}
	for version, evidence := range w.ownEvidence {
		deltas[version] = evidence.Since(w.processed[version])
		w.processed[version] = evidence
	}
	w.addPeerDeltas(now, r, deltas)
	var findings []rollout.Finding
	for version, fresh := range deltas {
		if fresh == (rollout.Evidence{}) {
			continue
		}
		finding := w.observe(r, version, fresh, deltas)
		if finding.Bad {
			findings = append(findings, finding)
			w.markBad(r, version, finding)
		}
	}
	w.limitExposure(r)
	return findings
}

// addPeerDeltas adds the new evidence of the other boxes.
func (w *versionWatcher) addPeerDeltas(now time.Time, r *config.Revision, deltas map[willowwick.VersionID]rollout.Evidence) {
	fresh := map[fleet.NameHash]rollout.Evidence{}
	w.tracker.AddDeltas(now, w.daemon.node.Table.Evidence(), fresh)
	for _, version := range r.Versions() {
		if evidence, ok := fresh[fleet.HashName(version)]; ok {
			deltas[version] = deltas[version].Add(evidence)
		}
	}
}

func (w *versionWatcher) observe(r *config.Revision, version willowwick.VersionID, fresh rollout.Evidence, deltas map[willowwick.VersionID]rollout.Evidence) rollout.Finding {
	monitor := w.monitors[version]
	if monitor == nil {
		monitor = rollout.NewMonitor(version)
		w.monitors[version] = monitor
	}
	w.beginStep(r, version, monitor)
	others, known := siblingEvidence(r, version, deltas)
	if !known {
		others = w.previousDeltas[version]
		w.previousDeltas[version] = fresh
	}
	finding := monitor.Observe(fresh, others, otherEvidence(version, deltas))
	if active, ok := activeRollout(r, version); ok {
		state := w.steps[active.ID]
		state.finding = finding
		w.steps[active.ID] = state
	}
	return finding
}

// beginStep resets the monitor when its roll-out has reached another step.
func (w *versionWatcher) beginStep(r *config.Revision, version willowwick.VersionID, monitor *rollout.Monitor) {
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

// activeRollout returns the active roll-out of which this is the new version.
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

// siblingEvidence sums the new evidence on the other versions of the same model.
func siblingEvidence(r *config.Revision, version willowwick.VersionID, deltas map[willowwick.VersionID]rollout.Evidence) (rollout.Evidence, bool) {
	declared, ok := r.Version(version)
	if !ok {
		return rollout.Evidence{}, false
	}
	total, found := rollout.Evidence{}, false
	for other, fresh := range deltas {
		if sibling, ok := r.Version(other); ok && other != version && sibling.Model == declared.Model {
			total, found = total.Add(fresh), true
		}
	}
	return total, found
}

// otherEvidence sums the new evidence on all other versions of all models.
func otherEvidence(version willowwick.VersionID, deltas map[willowwick.VersionID]rollout.Evidence) rollout.Evidence {
	total := rollout.Evidence{}
	for other, fresh := range deltas {
		if other != version {
			total = total.Add(fresh)
		}
	}
	return total
}

// markBad stops a version on this box at once and withdraws it through the log, if another version can replace it.
func (w *versionWatcher) markBad(r *config.Revision, version willowwick.VersionID, finding rollout.Finding) {
	if w.stopped[version] && r.IsWithdrawn(version) {
		return
	}
	declared, ok := r.Version(version)
	if !ok || r.IsWithdrawn(version) {
		return
	}
	if !hasReplacement(r, declared.Model, version) {
		w.daemon.metrics.badWithoutReplacement.Inc()
		return
	}
	if !w.stopped[version] {
		slog.Warn("version stopped on this box", "version", version, "signal", finding.Signal.String(), "requests", finding.Requests)
	}
	w.stopped[version], w.badVersions[version] = true, true
	reason := fmt.Sprintf("%s beyond those of the other versions", finding.Signal)
	w.daemon.workers.Go(func() { w.daemon.withdraw(version, reason) })
}

// hasReplacement reports whether the model has another usable version.
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

// limitExposure stops new sessions for a step that has reached its exposure limit without a verdict.
func (w *versionWatcher) limitExposure(r *config.Revision) {
	for _, active := range r.Rollouts() {
		state := w.steps[active.ID]
		limit := active.MaxExposure
		if limit == 0 {
			limit = active.MinRequests * defaultExposureFactor
		}
		if state.finding.Requests >= uint64(limit) && !state.finding.Good && !w.stopped[active.To] {
			w.stopped[active.To] = true
			slog.Warn("roll-out paused: exposure limit reached without a verdict", "rollout", active.ID, "requests", state.finding.Requests)
		}
	}
}

// readySteps returns the next steps of the roll-outs whose evidence allows them.
func (w *versionWatcher) readySteps(r *config.Revision) []config.RolloutStep {
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

// withdraw appends the withdrawal of a version to the log; all boxes use the same id, so that it counts once.
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
	if _, err := d.deps.Log.Append(ctx, willowwick.StreamConfig, data); err != nil {
		d.metrics.withdrawalsNotAppended.Inc()
		return
	}
	_ = d.node.Follower.ReadLog(ctx)
}
