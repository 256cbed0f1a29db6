package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

// noticePropagationTime is how long a notice to one box takes to reach all boxes, which is several rounds of gossip.
const noticePropagationTime = 6 * time.Second

// TestRunnerAnnouncingDrainGetsNoNewWork covers a runner that announces draining in its answers only, neither in the
// list nor in its load report. The box that got such an answer stops at once, the others once gossip reaches them.
func TestRunnerAnnouncingDrainGetsNoNewWork(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		draining := s.Runners[0]
		draining.SetFaults(func(f *standin.EngineFaults) { f.AnnouncesDraining = true })
		before := len(servedTimes(draining))
		for n := 0; len(servedTimes(draining)) == before; n++ {
			require.Less(t, n, 200)
			require.Equal(t, OutcomeComplete, s.askUncounted(0, Chat{Prompt: "tell " + itoa(n)}).Outcome)
		}
		served := len(servedTimes(draining))
		for n := range 40 {
			require.Equal(t, OutcomeComplete, s.askUncounted(0, Chat{Prompt: "at once " + itoa(n)}).Outcome)
		}
		require.Equal(t, served, len(servedTimes(draining)), "the box that got the answer")
		time.Sleep(noticePropagationTime)
		for n := range 60 {
			require.Equal(t, OutcomeComplete, s.askUncounted(n%3, Chat{Prompt: "after " + itoa(n)}).Outcome)
		}
		require.Equal(t, served, len(servedTimes(draining)), "the other boxes")
	})
}

// TestServiceAnnouncingDrainGetsNoNewWork covers an instance of a plain service that announces draining in its answers
// only.
func TestServiceAnnouncingDrainGetsNoNewWork(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		draining := s.Services["bookkeeping"][0]
		draining.SetFaults(func(f *standin.ServiceFaults) { f.AnnouncesDraining = true })
		for n := 0; len(draining.Effects()) == 0; n++ {
			require.Less(t, n, 200)
			require.Equal(t, OutcomeComplete, s.postEntry(0, "tell"+itoa(n), "tell"+itoa(n)).Outcome)
		}
		time.Sleep(noticePropagationTime)
		served := len(draining.Effects())
		for n := range 60 {
			require.Equal(t, OutcomeComplete, s.postEntry(n%3, "after"+itoa(n), "after"+itoa(n)).Outcome)
		}
		require.Equal(t, served, len(draining.Effects()))
	})
}

// TestBoxesRespectRunnerBackoff: from the moment it learns of a backoff, each box sends only what is already under way
// until the backoff ends.
func TestBoxesRespectRunnerBackoff(t *testing.T) {
	const backoff = 8 * time.Second
	withTestFleet(t, 3, func(s *testFleet) {
		runner := s.Runners[0]
		runner.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "8" })
		statuses := s.sendSteadyLoad(backoff - time.Second)
		require.Positive(t, runner.Rejected())
		require.LessOrEqual(t, runner.Rejected(), 3*len(s.Boxes), "%v", statuses)
		require.Len(t, statuses, 1, "the other runners answer everything: %v", statuses)
		runner.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "" })
		before := len(servedTimes(runner))
		s.sendSteadyLoad(backoff)
		require.Greater(t, len(servedTimes(runner)), before, "it is used again after its backoff")
	})
}

// TestChatIsRefusedImmediatelyWhenAllRunnersBackOff: no runner is tried, and the refusal does not wait for a backoff to
// end.
func TestChatIsRefusedImmediatelyWhenAllRunnersBackOff(t *testing.T) {
	withTestFleet(t, 1, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "600" })
		}
		for n := range 12 { // the box learns of each runner's backoff
			s.askOnce(0, "tell "+itoa(n))
		}
		before := 0
		for _, runner := range s.Runners {
			before += runner.Rejected()
		}
		started := time.Now()
		reply := s.askOnce(0, "after")
		require.Equal(t, OutcomeRefused, reply.Outcome, "%+v", reply)
		require.Less(t, time.Since(started), 100*time.Millisecond)
		after := 0
		for _, runner := range s.Runners {
			after += runner.Rejected()
		}
		require.Equal(t, before, after)
	})
}
