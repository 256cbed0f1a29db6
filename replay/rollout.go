package replay

import (
	"fmt"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

// evaluateRollout advances the roll-out or withdraws the new version, by the evidence since the last call or, under a
// timed roll-out, by time.
func (s *simulation) evaluateRollout() {
	version, others := s.pendingEvidence[s.trace.New.ID], s.pendingEvidence[s.trace.Cheap.ID]
	all := others.Add(s.pendingEvidence[s.trace.Strong.ID])
	clear(s.pendingEvidence)
	if s.withdrawn || s.since(s.trace.Rollout.StartMs) < 0 {
		return
	}
	if s.policy.timedRollout {
		s.advanceByTime()
		return
	}
	finding := s.monitor.Observe(version, others, all)
	switch {
	case finding.Bad:
		s.withdraw()
	case finding.Good && finding.Requests >= minRequests && s.step < len(rolloutSteps):
		s.advanceRollout()
		s.monitor.BeginStep()
	}
}

// advanceByTime advances the roll-out every timedStepInterval, and withdraws a version that began to fail after
// manualWithdrawalDelay.
func (s *simulation) advanceByTime() {
	if s.stepStarted.IsZero() {
		s.stepStarted = s.now
	}
	if s.now.Sub(s.stepStarted) >= timedStepInterval && s.step < len(rolloutSteps) {
		s.stepStarted = s.now
		s.advanceRollout()
	}
	if s.trace.Rollout.Failure != "" && s.since(s.trace.Rollout.FailureStartMs) >= manualWithdrawalDelay {
		s.withdraw()
	}
}

func (s *simulation) advanceRollout() {
	s.step++
	s.mustFold(config.Record{Kind: config.RecordRollout, Rollout: &config.RolloutStep{
		ID: willowwick.ChangeID(fmt.Sprintf("step%d", s.step)), Rollout: "new", Step: s.step, Fence: s.revision.Lease.Fence,
	}})
}

func (s *simulation) withdraw() {
	s.withdrawn = true
	s.result.withdrawnAt = s.now.Sub(epoch)
	s.mustFold(config.Record{Kind: config.RecordWithdraw, Withdraw: &config.Withdraw{ID: "withdraw", Version: s.trace.New.ID}})
}

// mustFold folds a record that the simulation made itself, and panics on an error.
func (s *simulation) mustFold(record config.Record) {
	if err := s.fold(record); err != nil {
		panic(err)
	}
}
