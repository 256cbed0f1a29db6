package lab

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/standin"
	"pgregory.net/rapid"
)

var fuzzSteps = flag.Int("steps", 40, "steps of each run of the stateful fuzzing of a fleet")

const (
	fuzzBoxes       = 4
	fuzzKeys        = 5
	fuzzSessions    = 4
	settleTime      = 15 * time.Second
	inForceTime     = 16 * time.Second
	usageLossWindow = 20 * time.Second
)

// fuzzStep is one event; the meaning of Which depends on Kind.
type fuzzStep struct {
	Kind  string
	Box   int
	Which int
}

var fuzzKinds = []string{
	"chat", "chat", "chat", "stream", "session", "session", "entry", "entry", "entry", "sleep", "sleep",
	"kill", "start", "stop", "cut log", "heal log", "isolate", "rejoin", "log down", "log up", "lose answer",
	"engine fault", "drain", "no-op", "withdraw", "change", "rollout", "advance",
}

// fuzzRun applies steps to a fleet and tracks the state that the invariants are checked against.
type fuzzRun struct {
	*testFleet
	isolated  map[int]bool
	logCut    map[int]bool
	isLogDown bool
	lastKill  time.Time // last kill while usage records may have existed in the memory of two boxes only
	versions  map[string]willowwick.VersionID
	tokens    map[string]string
	withdrawn map[willowwick.VersionID]time.Time
	offsets   map[willowwick.BootID]willowwick.Offset
	changes   int
}

// TestFleetAgainstOracle applies random faults and requests to whole fleets. A long run:
// go test ./lab -run TestFleetAgainstOracle -rapid.checks=100 -steps=100
func TestFleetAgainstOracle(t *testing.T) {
	gen := rapid.Custom(func(rt *rapid.T) fuzzStep {
		return fuzzStep{
			Kind:  rapid.SampledFrom(fuzzKinds).Draw(rt, "kind"),
			Box:   rapid.IntRange(0, fuzzBoxes-1).Draw(rt, "box"),
			Which: rapid.IntRange(0, 9).Draw(rt, "which"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(gen, *fuzzSteps, *fuzzSteps).Draw(rt, "steps")
		var failure error
		withTestFleet(t, fuzzBoxes, func(s *testFleet) {
			failure = playSteps(s, steps)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func playSteps(s *testFleet, steps []fuzzStep) error {
	run := &fuzzRun{
		testFleet: s, isolated: map[int]bool{}, logCut: map[int]bool{},
		versions: map[string]willowwick.VersionID{}, tokens: map[string]string{},
		withdrawn: map[willowwick.VersionID]time.Time{}, offsets: map[willowwick.BootID]willowwick.Offset{},
	}
	for i, step := range steps {
		err := run.play(step)
		if err == nil {
			err = run.checkInvariants()
		}
		if err != nil {
			return errors.Wrapf(err, "step %d, %s at box %d", i, step.Kind, step.Box)
		}
	}
	return run.finish()
}

func (f *fuzzRun) play(step fuzzStep) error {
	box := f.Boxes[step.Box]
	switch step.Kind {
	case "chat", "stream":
		return f.playChat(step, Chat{Stream: step.Kind == "stream", Model: []string{"run-large", "run-small", "auto"}[step.Which%3]})
	case "session":
		return f.playSession(step)
	case "entry":
		return f.playEntry(step)
	case "sleep":
		time.Sleep(time.Duration(step.Which+1) * time.Second)
	case "kill":
		f.playKill(step)
	case "start":
		if !box.Running() {
			return box.Start()
		}
	case "stop":
		if box.Running() && f.stoppedCount() == 0 && len(f.isolated) == 0 {
			return box.Stop(context.Background())
		}
	case "cut log":
		f.cutLog(step.Box)
		f.logCut[step.Box] = true
	case "heal log":
		if !f.isolated[step.Box] {
			f.healLog(step.Box)
			delete(f.logCut, step.Box)
		}
	case "isolate":
		if len(f.isolated) == 0 && f.stoppedCount() == 0 {
			f.isolate(step.Box)
			f.isolated[step.Box] = true
		}
	case "rejoin":
		if f.isolated[step.Box] {
			f.rejoin(step.Box)
			delete(f.isolated, step.Box)
			delete(f.logCut, step.Box)
			time.Sleep(settleTime)
		}
	default:
		return f.playExternal(step)
	}
	return nil
}

// playExternal plays the steps that concern the platform and the runners.
func (f *fuzzRun) playExternal(step fuzzStep) error {
	runner := f.Runners[step.Which%len(f.Runners)]
	switch step.Kind {
	case "log down", "log up":
		f.isLogDown = step.Kind == "log down"
		f.Platform.SetFaults(func(faults *standin.PlatformFaults) { faults.LogDown = f.isLogDown })
	case "lose answer":
		f.Platform.SetFaults(func(faults *standin.PlatformFaults) { faults.DroppedAnswers = 1 })
	case "engine fault":
		runner.SetFaults(func(faults *standin.EngineFaults) {
			switch step.Box {
			case 0:
				faults.CutTimes, faults.CutAfter = 1, step.Which%3
			case 1:
				faults.MixUp = 1
			case 2:
				faults.Skip = 1
			default:
				faults.Repeat = 1
			}
		})
	case "drain":
		if step.Which%len(f.Runners) == 0 {
			runner.SetFaults(func(faults *standin.EngineFaults) { faults.Draining = true })
		}
	case "withdraw":
		return f.playWithdraw()
	case "change":
		f.changes++
		return f.tryChange(config.KindCascade, "fuzz", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Judge: config.JudgeRater, Quality: willowwick.Score(f.changes%10) / 10})
	case "rollout":
		return f.tryChange(config.KindRollout, "run", &config.Rollout{Model: "run-small", From: "run-small-1", To: "run-small-2", Steps: []float64{50, 80, 100}, MinRequests: 5})
	case "advance":
		return f.tryAdvance()
	}
	return nil
}

func (f *fuzzRun) stoppedCount() int {
	stopped := 0
	for _, box := range f.Boxes {
		if !box.Running() {
			stopped++
		}
	}
	return stopped
}

// playKill kills a box, unless a usage record could then be lost: with a box down already, or soon after another kill
// while the log was unreachable.
func (f *fuzzRun) playKill(step fuzzStep) {
	box := f.Boxes[step.Box]
	unsafe := f.stoppedCount() > 0 || len(f.isolated) > 0 || time.Since(f.lastKill) < usageLossWindow || f.isLogDown || len(f.logCut) > 0
	if box.Running() && !unsafe {
		box.Kill()
		f.lastKill = time.Now()
	}
}

func (f *fuzzRun) servedCount() int {
	total := 0
	for version := range goodVersions() {
		total += f.ServedSince(version, time.Time{})
	}
	return total
}

// checkReply checks a reply against the number of calls that began at endpoints.
func (f *fuzzRun) checkReply(reply Reply, began int) error {
	switch {
	case reply.Outcome == OutcomeMismatched:
		return errors.Errorf("incomplete or mixed-up answer: %+v", reply)
	case reply.Outcome == OutcomeRefused && reply.Text == string(willowwick.KindNotRun) && began > 0:
		return errors.Errorf("refused as not run, but %d calls began: %+v", began, reply)
	case reply.Outcome == OutcomeRefused && reply.Text == string(willowwick.KindInvalid):
		return errors.Errorf("refused as invalid: %+v", reply)
	}
	return nil
}

func (f *fuzzRun) playChat(step fuzzStep, chat Chat) error {
	if !f.Boxes[step.Box].Running() {
		return nil
	}
	before := f.servedCount()
	chat.Deadline = 20 * time.Second
	reply := f.ask(step.Box, chat)
	return f.checkReply(reply, f.servedCount()-before)
}

// playSession sends a chat in a session whose token the caller carries.
func (f *fuzzRun) playSession(step fuzzStep) error {
	if !f.Boxes[step.Box].Running() {
		return nil
	}
	id := "session-" + itoa(step.Which%fuzzSessions)
	before := f.servedCount()
	reply := f.ask(step.Box, Chat{Model: "run-small", Session: id, Token: f.tokens[id], Deadline: 20 * time.Second})
	if err := f.checkReply(reply, f.servedCount()-before); err != nil {
		return err
	}
	if reply.Outcome != OutcomeComplete {
		return nil
	}
	previous := f.versions[id]
	if _, withdrawn := f.withdrawn[previous]; previous != "" && !withdrawn && reply.Version != previous {
		return errors.Errorf("%s moved from %s to %s", id, previous, reply.Version)
	}
	f.versions[id], f.tokens[id] = reply.Version, reply.Token
	return nil
}

// playEntry submits one of a few entries, so that most submissions are repeats.
func (f *fuzzRun) playEntry(step fuzzStep) error {
	if !f.Boxes[step.Box].Running() {
		return nil
	}
	entry := "entry-" + itoa(step.Which%fuzzKeys)
	if step.Which >= fuzzKeys {
		for _, instance := range f.Services["bookkeeping"] {
			instance.SetFaults(func(faults *standin.ServiceFaults) { faults.DroppedAnswers = 1 })
		}
	}
	before := f.effectCount(entry)
	reply := f.postEntry(step.Box, entry, entry)
	after := f.effectCount(entry)
	for _, instance := range f.Services["bookkeeping"] {
		instance.SetFaults(func(faults *standin.ServiceFaults) { faults.DroppedAnswers = 0 })
	}
	switch {
	case after > 1:
		return errors.Errorf("%s took effect %d times", entry, after)
	case reply.Outcome == OutcomeComplete && after-before != 1:
		return errors.Errorf("%s was answered but took effect %d times", entry, after-before)
	}
	return f.checkReply(reply, after-before)
}

func (f *fuzzRun) playWithdraw() error {
	version := willowwick.VersionID("run-small-2")
	record := config.Record{Kind: config.RecordWithdraw, Withdraw: &config.Withdraw{
		ID: "withdraw", Author: "fuzz", Reason: "fuzz", Version: version,
	}}
	_, err := f.Publish(record)
	if _, already := f.withdrawn[version]; !already && err == nil {
		f.withdrawn[version] = time.Now()
	}
	return err
}

func (f *fuzzRun) tryChange(kind config.Kind, name string, spec any) error {
	object, err := config.NewObject(kind, name, spec)
	if err != nil {
		return err
	}
	state, err := f.State()
	if err != nil {
		return err
	}
	f.changes++
	_, err = f.Publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
		ID: willowwick.ChangeID(fmt.Sprint("fuzz-", f.changes)), Author: "fuzz", Reason: "fuzz", Basis: state.Offset, Objects: []config.Object{object},
	}})
	return err
}

func (f *fuzzRun) tryAdvance() error {
	state, err := f.State()
	if err != nil {
		return err
	}
	_, err = f.Publish(config.Record{Kind: config.RecordRollout, Rollout: &config.RolloutStep{
		ID: willowwick.ChangeID(fmt.Sprint("step-", state.Offset)), Rollout: "run", Step: state.Progress["run"].Step + 1, Fence: state.Lease.Fence,
	}})
	return err
}

// checkInvariants checks what must hold after every step.
func (f *fuzzRun) checkInvariants() error {
	holders := 0
	for _, box := range f.Boxes {
		if !box.Running() {
			continue
		}
		status := box.Daemon.Status()
		if status.Offset < f.offsets[status.Boot] {
			return errors.Errorf("%s regressed from offset %d to %d", box.ID, f.offsets[status.Boot], status.Offset)
		}
		f.offsets[status.Boot] = status.Offset
		if status.HoldsLease {
			holders++
		}
	}
	if holders > 1 {
		return errors.Errorf("%d boxes hold the lease", holders)
	}
	for version, withdrawnAt := range f.withdrawn {
		if lateCalls := f.ServedSince(version, withdrawnAt.Add(inForceTime)); lateCalls > 0 {
			return errors.Errorf("%s received %d calls long after its withdrawal", version, lateCalls)
		}
	}
	return nil
}

// finish heals all faults and checks what must hold at the end.
func (f *fuzzRun) finish() error {
	f.isLogDown = false
	f.Platform.SetFaults(func(faults *standin.PlatformFaults) { *faults = standin.PlatformFaults{} })
	for i, box := range f.Boxes {
		f.rejoin(i)
		if !box.Running() {
			if err := box.Start(); err != nil {
				return err
			}
		}
	}
	if err := f.WaitReady(readyTimeout); err != nil {
		return err
	}
	time.Sleep(2 * settleTime)
	if err := f.checkStates(); err != nil {
		return err
	}
	ledger := fleet.NewLedger()
	for _, entry := range f.Platform.Entries(willowwick.StreamUsage) {
		if err := ledger.Fold(entry); err != nil {
			return err
		}
	}
	if ledger.TotalCount != f.billed || ledger.BilledTwice() > 0 {
		return errors.Errorf("%d answers, %d billed, %d billed twice", f.billed, ledger.TotalCount, ledger.BilledTwice())
	}
	return f.checkInvariants()
}

// checkStates compares every box's state with the state folded from the log.
func (f *fuzzRun) checkStates() error {
	oracle, err := f.State()
	if err != nil {
		return err
	}
	for _, box := range f.Boxes {
		r := box.Daemon.Node().Follower.Revision()
		expected, err := config.FoldAll(config.NewState(), f.Platform.Entries(willowwick.StreamConfig)[:r.Offset])
		if err != nil {
			return err
		}
		actualHash, err := r.Hash()
		if err != nil {
			return err
		}
		expectedHash, err := expected.Hash()
		if err != nil {
			return err
		}
		if actualHash != expectedHash || oracle.Offset-r.Offset > 5 {
			return errors.Errorf("%s is at offset %d of %d, state differs: %t", box.ID, r.Offset, oracle.Offset, actualHash != expectedHash)
		}
	}
	return nil
}
