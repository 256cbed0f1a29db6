package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

// noticeContact is how long boxes have until all know what one of them was told: gossip takes some rounds.
const noticeContact = 6 * time.Second

// TestARunnerThatSaysInAnswersThatItLeavesGetsNothing: neither the list nor its load report tells so. The box that it told leaves it at
// once, and all others once that box has told them.
func TestARunnerThatSaysInAnswersThatItLeavesGetsNothing(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		leaving := s.Runners[0]
		leaving.SetFaults(func(f *standin.EngineFaults) { f.AnnouncesDraining = true })
		before := len(servedBy(leaving))
		for n := 0; len(servedBy(leaving)) == before; n++ {
			require.Less(t, n, 200)
			require.Equal(t, OutcomeWhole, s.askQuietly(0, Chat{Prompt: "tell " + itoa(n)}).Outcome)
		}
		told := len(servedBy(leaving))
		for n := range 40 {
			require.Equal(t, OutcomeWhole, s.askQuietly(0, Chat{Prompt: "at once " + itoa(n)}).Outcome)
		}
		require.Equal(t, told, len(servedBy(leaving)), "the box that was told")
		time.Sleep(noticeContact)
		for n := range 60 {
			require.Equal(t, OutcomeWhole, s.askQuietly(n%3, Chat{Prompt: "after " + itoa(n)}).Outcome)
		}
		require.Equal(t, told, len(servedBy(leaving)), "the others")
	})
}

// TestAServiceThatSaysInAnswersThatItLeavesGetsNothing: the same for an instance of a plain service.
func TestAServiceThatSaysInAnswersThatItLeavesGetsNothing(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		leaving := s.Services["bookkeeping"][0]
		leaving.SetFaults(func(f *standin.ServiceFaults) { f.AnnouncesDraining = true })
		for n := 0; len(leaving.Effects()) == 0; n++ {
			require.Less(t, n, 200)
			require.Equal(t, OutcomeWhole, s.enter(0, "tell"+itoa(n), "tell"+itoa(n)).Outcome)
		}
		time.Sleep(noticeContact)
		told := len(leaving.Effects())
		for n := range 60 {
			require.Equal(t, OutcomeWhole, s.enter(n%3, "after"+itoa(n), "after"+itoa(n)).Outcome)
		}
		require.Equal(t, told, len(leaving.Effects()))
	})
}

// TestARunnerThatAsksForRestGetsIt: each box sends it what is under way as it hears of the rest, and then nothing until its end.
func TestARunnerThatAsksForRestGetsIt(t *testing.T) {
	const rest = 8 * time.Second
	inScene(t, 3, func(s *scene) {
		resting := s.Runners[0]
		resting.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "8" })
		statuses := s.keepAsking(rest - time.Second)
		require.Positive(t, resting.Rejected())
		require.LessOrEqual(t, resting.Rejected(), 3*len(s.Boxes), "%v", statuses)
		require.Len(t, statuses, 1, "the other runners take all: %v", statuses)
		resting.SetFaults(func(f *standin.EngineFaults) { f.BackoffSeconds = "" })
		before := len(servedBy(resting))
		s.keepAsking(rest)
		require.Greater(t, len(servedBy(resting)), before, "it is used again after its rest")
	})
}

// TestWhereAllRunnersRestChatsAreRefusedAtOnce, with a time to come back.
func TestWhereAllRunnersRestChatsAreRefusedAtOnce(t *testing.T) {
	inScene(t, 1, func(s *scene) {
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
		began := time.Now()
		reply := s.askOnce(0, "after")
		require.Equal(t, OutcomeRefused, reply.Outcome, "%+v", reply)
		require.Less(t, time.Since(began), 100*time.Millisecond)
		after := 0
		for _, runner := range s.Runners {
			after += runner.Rejected()
		}
		require.Equal(t, before, after)
	})
}
