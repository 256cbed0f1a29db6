package lab

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
)

const poisonPrompt = "ends the runner that runs it"

// A prompt that ends the runner that runs it comes again, at all boxes. The fourth runner is spared, also by other boxes than those
// that saw the ends, and answers everything else; the versions that ran it are not taken for bad ones.
func TestPromptThatCrashesRunnersIsRefusedByAllBoxes(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		s.addRunner(t)
		s.addRunner(t)
		for _, runner := range s.Runners {
			runner.SetFaults(func(faults *standin.EngineFaults) { faults.CrashOn = poisonPrompt })
		}
		for i := range 12 {
			reply := s.ask(i%3, Chat{Prompt: poisonPrompt})
			assert.NotEqual(t, OutcomeComplete, reply.Outcome)
			time.Sleep(500 * time.Millisecond)
		}
		for box := range s.Boxes {
			started := time.Now()
			reply := s.ask(box, Chat{Prompt: poisonPrompt})
			assert.Equal(t, http.StatusBadGateway, reply.Status)
			assert.Contains(t, reply.Detail, string(willowwick.CodeHarmful))
			assert.Zero(t, reply.RetryAfter, "it is not to come again")
			assert.Less(t, time.Since(started), 50*time.Millisecond, "it is told so at once")
			s.requireAnswer(box, Chat{})
		}
		running := 0
		for _, runner := range s.Runners {
			if !runner.HasCrashed() {
				running++
			}
		}
		assert.GreaterOrEqual(t, running, 1)
		assert.False(t, s.isWithdrawn("run-large-1"))
	})
}

// addRunner adds a runner to those that the fleet was started with.
func (s *testFleet) addRunner(t *testing.T) {
	require.NoError(t, s.startRunner(len(s.Runners)))
	time.Sleep(5 * time.Second)
}
