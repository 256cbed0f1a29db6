package lab

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

const (
	// rateWindow is the sliding window over which a runner's calls are counted against its limit.
	rateWindow = 4 * time.Second
	// limitPropagationTime is how long a new limit takes to reach all boxes, which is several rounds of gossip.
	limitPropagationTime = 6 * time.Second
)

// servedTimes returns the times at which a runner received calls.
func servedTimes(runner *standin.Engine) []time.Time {
	var all []time.Time
	for version := range goodVersions() {
		all = append(all, runner.Served(version)...)
	}
	return all
}

// countBetween counts the times in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// maxPerWindow returns the most times in any rateWindow that lies within from and to.
func maxPerWindow(times []time.Time, from, to time.Time) int {
	highest := 0
	for _, start := range times {
		if !start.Before(from) && !start.Add(rateWindow).After(to) {
			highest = max(highest, countBetween(times, start, start.Add(rateWindow)))
		}
	}
	return highest
}

// sendSteadyLoad sends chats to every running box for a duration and counts the replies by status.
func (s *testFleet) sendSteadyLoad(duration time.Duration) map[int]int {
	var mu sync.Mutex
	var callers sync.WaitGroup
	statuses := map[int]int{}
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for box := range s.Boxes {
			if !s.Boxes[box].Running() {
				continue
			}
			prompt := s.nextPrompt()
			callers.Go(func() {
				reply := s.askOnce(box, prompt)
				mu.Lock()
				defer mu.Unlock()
				statuses[reply.Status]++
			})
		}
	}
	callers.Wait()
	return statuses
}

// TestRunnerRateLimitHoldsAcrossBoxes covers one runner with a limit, with the log up and down and while boxes restart,
// then limits on all runners.
func TestRunnerRateLimitHoldsAcrossBoxes(t *testing.T) {
	const rate = 1.5
	withTestFleet(t, 4, func(s *testFleet) {
		requireLimited := func(runner *standin.Engine, from, to time.Time, minUsedShare float64, what string) {
			peak, total := maxPerWindow(servedTimes(runner), from, to), countBetween(servedTimes(runner), from, to)
			t.Logf("%s: peak %d in %s, total %d in %s", what, peak, rateWindow, total, to.Sub(from))
			require.LessOrEqual(t, float64(peak), 1.5*rate*rateWindow.Seconds()+5, what)
			require.GreaterOrEqual(t, float64(total), minUsedShare*rate*to.Sub(from).Seconds(), "the limit is used, %s", what)
		}
		limited := s.Runners[0]
		limited.SetFaults(func(f *standin.EngineFaults) { f.RateLimit = "1.5" })
		s.sendSteadyLoad(limitPropagationTime)
		for _, isDown := range []bool{false, true} {
			s.setLogDown(isDown)
			from := time.Now()
			statuses := s.sendSteadyLoad(40 * time.Second)
			require.Equal(t, map[int]int{http.StatusOK: statuses[http.StatusOK]}, statuses, "the other runners answer everything else")
			requireLimited(limited, from, time.Now(), 0.5, map[bool]string{false: "log up", true: "log down"}[isDown])
		}
		s.setLogDown(false)
		s.sendSteadyLoad(20 * time.Second)
		from := time.Now()
		for box := range s.Boxes {
			s.Boxes[box].Kill()
			s.sendSteadyLoad(3 * time.Second)
			require.NoError(t, s.Boxes[box].Start())
			s.sendSteadyLoad(5 * time.Second)
		}
		// The lease holder is among the restarted boxes, and its lease expires only after a while.
		requireLimited(limited, from, time.Now(), 0.25, "boxes restart")

		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { f.RateLimit = "1.5" })
		}
		s.sendSteadyLoad(limitPropagationTime)
		from = time.Now()
		statuses := s.sendSteadyLoad(20 * time.Second)
		for _, runner := range s.Runners {
			requireLimited(runner, from, time.Now(), 0.5, "all runners")
		}
		require.NotZero(t, statuses[http.StatusTooManyRequests]+statuses[http.StatusServiceUnavailable], "%v", statuses)

		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { f.RateLimit = "" })
		}
		s.sendSteadyLoad(30 * time.Second)
		statuses = s.sendSteadyLoad(5 * time.Second)
		require.Equal(t, map[int]int{http.StatusOK: statuses[http.StatusOK]}, statuses, "the limits have ended")
	})
}

// askOnce sends one chat to a box.
func (s *testFleet) askOnce(box int, prompt string) Reply {
	return Ask(context.Background(), s.client, s.Boxes[box].CallerAddress, Chat{Prompt: prompt, Key: coimbraKey, Model: "run-large", MaxTokens: maxAnswerTokens})
}

// TestRunnerRateLimitHoldsForIsolatedBoxes cuts each box in turn, the lease holder among them, off from the log and the
// other boxes.
func TestRunnerRateLimitHoldsForIsolatedBoxes(t *testing.T) {
	const rate = 8
	withTestFleet(t, 4, func(s *testFleet) {
		limited := s.Runners[0]
		limited.SetFaults(func(f *standin.EngineFaults) { f.RateLimit = "8" })
		s.sendSteadyLoad(limitPropagationTime)
		from := time.Now()
		for box := range s.Boxes {
			s.isolate(box)
			s.sendSteadyLoad(9 * time.Second)
			s.rejoin(box)
			s.sendSteadyLoad(4 * time.Second)
		}
		peak := maxPerWindow(servedTimes(limited), from, time.Now())
		total := countBetween(servedTimes(limited), from, time.Now())
		t.Logf("peak %d in %s, total %d in %s", peak, rateWindow, total, time.Since(from))
		require.LessOrEqual(t, float64(peak), 1.5*rate*rateWindow.Seconds()+5)
		require.GreaterOrEqual(t, float64(total), 0.25*rate*time.Since(from).Seconds())
	})
}

// TestServiceRateLimitHoldsAcrossBoxes covers one instance with a limit and one without, with calls that must not be
// retried.
func TestServiceRateLimitHoldsAcrossBoxes(t *testing.T) {
	const rate, duration = 1, 20 * time.Second
	withTestFleet(t, 3, func(s *testFleet) {
		instances := s.Services["bookkeeping"]
		instances[0].SetFaults(func(f *standin.ServiceFaults) { f.RateLimit = "1" })
		postFor := func(duration time.Duration, name string) {
			for deadline, n := time.Now().Add(duration), 0; time.Now().Before(deadline); n++ {
				reply := s.postEntry(n%len(s.Boxes), name+itoa(n), name+itoa(n))
				require.Equal(t, OutcomeComplete, reply.Outcome, "%+v", reply)
				time.Sleep(50 * time.Millisecond)
			}
		}
		postFor(limitPropagationTime, "before-")
		before := len(instances[0].Effects())
		postFor(duration, "after-")
		received := len(instances[0].Effects()) - before
		t.Logf("%d calls in %s", received, duration)
		require.LessOrEqual(t, float64(received), 1.5*rate*duration.Seconds()+5)
		require.GreaterOrEqual(t, float64(received), 0.4*rate*duration.Seconds())
	})
}
