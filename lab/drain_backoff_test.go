package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

// noticePropagationTime is how long boxes have until all know what one of them was told: gossip takes some rounds.
const noticePropagationTime = 6 * time.Second

// TestRunnerAnnouncingDrainGetsNoNewWork: neither the list nor its load report tells so. The box that it told leaves it at
// once, and all others once that box has told them.
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
		require.Equal(t, served, len(servedTimes(draining)), "the box that was told")
		time.Sleep(noticePropagationTime)
		for n := range 60 {
			require.Equal(t, OutcomeComplete, s.askUncounted(n%3, Chat{Prompt: "after " + itoa(n)}).Outcome)
		}
		require.Equal(t, served, len(servedTimes(draining)), "the others")
	})
}

// TestServiceAnnouncingDrainGetsNoNewWork: the same for an instance of a plain service.
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

// TestBoxesRespectRunnerBackoff: each box sends it what is under way as it hears of the rest, and then nothing until its end.
func TestBoxesRespectRunnerBackoff(t *testing.T) {
	const backoff = 8 * time.Second
	withTestFleet(t, 3, func(s *testFleet) {
		runner := s.Runners[0]
		runner.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "8" })
		statuses := s.sendSteadyLoad(backoff - time.Second)
		require.Positive(t, runner.Rejected())
		require.LessOrEqual(t, runner.Rejected(), 3*len(s.Boxes), "%v", statuses)
		require.Len(t, statuses, 1, "the other runners take all: %v", statuses)
		runner.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "" })
		before := len(servedTimes(runner))
		s.sendSteadyLoad(backoff)
		require.Greater(t, len(servedTimes(runner)), before, "it is used again after its rest")
	})
}

// TestChatIsRefusedImmediatelyWhenAllRunnersBackOff, with a time to come back.
func TestChatIsRefusedImmediatelyWhenAllRunnersBackOff(t *testing.T) {
	withTestFleet(t, 1, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "600" })
		}
		for n := range 12 { // each runner tells the box
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
