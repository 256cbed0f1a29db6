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
		leaving.SetFaults(func(f *standin.EngineFaults) { f.Announced = true })
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
		leaving.SetFaults(func(f *standin.ServiceFaults) { f.Announced = true })
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
