package lab

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/standin"
)

const poisonPrompt = "ends the runner that runs it"

// TestPromptThatCrashesRunnersIsRefusedByAllBoxes sends a prompt that crashes the runner that runs it, again and again
// through all boxes. The fourth runner is spared, also by boxes that saw none of the crashes, and answers other
// prompts; the version that ran the prompt is not withdrawn.
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
			assert.Contains(t, reply.Detail, string(willowwick.CodePoison))
			assert.Zero(t, reply.RetryAfter, "no retry is suggested")
			assert.Less(t, time.Since(started), 50*time.Millisecond, "the refusal is immediate")
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

// Guards against prompts that share a message, and nothing else, crashing one runner after the other.
func TestMessageThatCrashesRunnersIsRefusedByAllBoxes(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		for range 3 {
			s.addRunner(t)
		}
		for _, runner := range s.Runners {
			runner.SetFaults(func(faults *standin.EngineFaults) { faults.CrashOn = poisonPrompt })
		}
		for box := range s.Boxes {
			s.requireAnswer(box, Chat{System: []string{"common"}})
		}
		time.Sleep(2 * time.Second) // by then an endpoint that an answer crashed would be known
		for i := range 12 {
			reply := s.ask(i%3, Chat{System: []string{"common", poisonPrompt}, Prompt: fmt.Sprint("question ", i)})
			assert.NotEqual(t, OutcomeComplete, reply.Outcome)
			time.Sleep(500 * time.Millisecond)
		}
		for box := range s.Boxes {
			reply := s.ask(box, Chat{System: []string{poisonPrompt}, Prompt: fmt.Sprint("question of box ", box)})
			assert.Contains(t, reply.Detail, string(willowwick.CodePoison))
			s.requireAnswer(box, Chat{System: []string{"common"}})
		}
		assert.LessOrEqual(t, s.crashedRunners(), quarantine.RefuseAfterCrashes+1, "the first request alone may crash three")
	})
}

// addRunner adds a runner to the fleet and waits until boxes know it.
func (s *testFleet) addRunner(t *testing.T) {
	require.NoError(t, s.startRunner(len(s.Runners)))
	time.Sleep(5 * time.Second)
}

// Guards against boxes that send a request to one more runner because news of the runners that it ended reaches them late.
func TestPromptThatCrashedRunnersIsRefusedByAllBoxesWithinMoments(t *testing.T) {
	withTestFleet(t, 30, func(s *testFleet) {
		for range 3 {
			s.addRunner(t)
		}
		for _, runner := range s.Runners {
			runner.SetFaults(func(faults *standin.EngineFaults) { faults.CrashOn = poisonPrompt })
		}
		for range quarantine.RefuseAfterCrashes {
			s.ask(0, Chat{Prompt: poisonPrompt})
		}
		time.Sleep(200 * time.Millisecond)
		for box := range s.Boxes {
			reply := s.ask(box, Chat{Prompt: poisonPrompt})
			assert.Contains(t, reply.Detail, string(willowwick.CodePoison), "box %d", box)
		}
		assert.Equal(t, quarantine.RefuseAfterCrashes, s.crashedRunners())
	})
}

// crashedRunners returns how many runners have crashed.
func (s *testFleet) crashedRunners() int {
	crashed := 0
	for _, runner := range s.Runners {
		if runner.HasCrashed() {
			crashed++
		}
	}
	return crashed
}
