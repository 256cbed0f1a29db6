package lab

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/standin"
)

// withdraw publishes a withdrawal and waits until every running box has applied it.
func (s *testFleet) withdraw(version willowwick.VersionID) {
	s.t.Helper()
	s.publish(config.Record{Kind: config.RecordWithdraw, Withdraw: &config.Withdraw{
		ID: willowwick.ChangeID("withdraw-" + string(version)), Author: "test", Reason: "test", Version: version,
	}})
}

// publish appends a record to the log and waits until every running box has applied it.
func (s *testFleet) publish(record config.Record) willowwick.Offset {
	s.t.Helper()
	offset, err := s.Publish(record)
	require.NoError(s.t, err)
	s.waitInForce(offset)
	return offset
}

func (s *testFleet) waitInForce(offset willowwick.Offset) {
	s.t.Helper()
	s.eventually(16*time.Second, "in force", func() bool {
		for _, box := range s.Boxes {
			if box.Running() && box.Daemon.Status().Offset < offset {
				return false
			}
		}
		return true
	})
}

// eventually polls a condition in virtual time.
func (s *testFleet) eventually(within time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
		require.False(s.t, time.Now().After(deadline), "%s within %s", what, within)
	}
}

// publishChange publishes objects as one change.
func (s *testFleet) publishChange(id string, objects ...config.Object) willowwick.Offset {
	s.t.Helper()
	state, err := s.State()
	require.NoError(s.t, err)
	return s.publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
		ID: willowwick.ChangeID(id), Author: "test", Reason: "test", Basis: state.Offset, Objects: objects,
	}})
}

func newObject(t *testing.T, kind config.Kind, name string, spec any) config.Object {
	t.Helper()
	object, err := config.NewObject(kind, name, spec)
	require.NoError(t, err)
	return object
}

// cutLog cuts a box off from the platform, and so from the log.
func (s *testFleet) cutLog(box int) {
	s.net.Cut(string(s.Boxes[box].ID), platformHost)
}

func (s *testFleet) healLog(box int) {
	s.net.Heal(string(s.Boxes[box].ID), platformHost)
}

// isolate cuts a box off from the platform and the other boxes.
func (s *testFleet) isolate(box int) {
	s.cutLog(box)
	for other := range s.Boxes {
		if other != box {
			s.net.Cut(string(s.Boxes[box].ID), string(s.Boxes[other].ID))
		}
	}
}

func (s *testFleet) rejoin(box int) {
	s.healLog(box)
	for other := range s.Boxes {
		s.net.Heal(string(s.Boxes[box].ID), string(s.Boxes[other].ID))
	}
}

func (s *testFleet) setLogDown(down bool) {
	s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.LogDown = down })
}

// TestAccountGetsAllowedVersionsOnly: a policy cannot widen what an account may use, nor can a race of changes.
func TestAccountGetsAllowedVersionsOnly(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		refusal := s.ask(0, Chat{Key: "demo-quay-notes", Model: "scan-large"})
		require.Equal(t, http.StatusForbidden, refusal.Status, "%+v", refusal)

		policy := &config.Policy{}
		policy.Rules = append(policy.Rules, disallowedModelRule())
		s.publishChange("wide", newObject(t, config.KindPolicy, "scans", policy))
		s.publishChange("point", newObject(t, config.KindClientAccount, "quay-notes", &config.ClientAccount{
			Keys: []string{config.HashKey("demo-quay-notes")}, Allow: []string{"scan-small"}, Default: "notes", Policy: "scans",
		}))
		for box := range s.Boxes {
			refusal = s.ask(box, Chat{Key: "demo-quay-notes", Model: "auto"})
			require.Equal(t, http.StatusForbidden, refusal.Status, "%+v", refusal)
		}
		require.Zero(t, s.ServedSince("scan-large-1", time.Time{}))
	})
}

// TestQueuedRequestIsRecheckedAtDispatch: a queued request is not sent to a version withdrawn in the meantime.
func TestQueuedRequestIsRecheckedAtDispatch(t *testing.T) {
	withTestFleet(t, 2, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.FirstToken = 20 * time.Second
			runner.IgnoresOrders = true
		}
		var callers sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[Outcome]int{}
		for n := range 60 {
			callers.Go(func() {
				reply := s.askUncounted(n%2, Chat{Model: "scan-small", Key: harbourKey, Prompt: "queued " + itoa(n)})
				mu.Lock()
				defer mu.Unlock()
				outcomes[reply.Outcome]++
			})
		}
		time.Sleep(time.Second)
		s.withdraw("scan-small-1")
		inForce := time.Now()
		callers.Wait()
		require.Zero(t, s.ServedSince("scan-small-1", inForce))
		require.Zero(t, outcomes[OutcomeLost]+outcomes[OutcomeMismatched], "%v", outcomes)
	})
}

// askUncounted is ask without counting the answer as billed; it is safe for concurrent use.
func (s *testFleet) askUncounted(box int, chat Chat) Reply {
	if chat.Key == "" {
		chat.Key = coimbraKey
	}
	if chat.Model == "" {
		chat.Model = "run-large"
	}
	chat.MaxTokens = maxAnswerTokens
	return Ask(context.Background(), s.client, s.Boxes[box].CallerAddress, chat)
}

// TestWithdrawnVersionGetsNoNewWork covers a concurrent change and a box cut off from the log.
func TestWithdrawnVersionGetsNoNewWork(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		s.publishChange("fallback", newObject(t, config.KindModel, "run-large", &config.Model{Settled: "run-large-1", Fallback: []willowwick.VersionID{"run-large-0"}}),
			newObject(t, config.KindVersion, "run-large-0", &config.Version{Model: "run-large"}))
		for _, runner := range s.Runners {
			runner.SetBehaviour("run-large-0", standin.VersionBehaviour{Quality: 1})
		}
		s.cutLog(1)
		// A change made before the withdrawal that arrives after it does not restore the version.
		state, err := s.State()
		require.NoError(t, err)
		s.withdraw("run-large-1")
		inForce := time.Now()
		s.publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
			ID: "race", Author: "test", Reason: "test", Basis: state.Offset,
			Objects: []config.Object{newObject(t, config.KindVersion, "run-large-1", &config.Version{Model: "run-large", Price: willowwick.Price{Prompt: 1}})},
		}})
		for box := range s.Boxes {
			for range 5 {
				s.askUncounted(box, Chat{Model: "run-large", Prompt: s.nextPrompt()})
			}
		}
		require.Zero(t, s.ServedSince("run-large-1", inForce))
	})
}

// TestIsolatedBoxRefusesRequests: a box that cannot learn of a withdrawal refuses requests as not run.
func TestIsolatedBoxRefusesRequests(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		s.requireAnswer(2, Chat{})
		s.isolate(2)
		time.Sleep(20 * time.Second)
		reply := s.ask(2, Chat{})
		require.Equal(t, OutcomeRefused, reply.Outcome, "%+v", reply)
		require.Equal(t, string(willowwick.KindNotRun), reply.Text)
		require.Positive(t, reply.RetryAfter)
		s.rejoin(2)
		s.eventually(20*time.Second, "serving again", func() bool { return s.ask(2, Chat{}).Outcome == OutcomeComplete })
	})
}

// TestSessionKeepsItsVersion covers roll-out steps, a killed box, a restarted one and an outage of the log.
func TestSessionKeepsItsVersion(t *testing.T) {
	withTestFleet(t, 4, func(s *testFleet) {
		rollout := &config.Rollout{Model: "run-small", From: "run-small-1", To: "run-small-2", Steps: []float64{50, 80, 100}, MinRequests: 1000}
		s.publishChange("roll", newObject(t, config.KindRollout, "run", rollout))
		const sessions = 24
		before := map[string]willowwick.VersionID{}
		tokensOf := map[string]string{}
		for n := range sessions {
			id := "session-" + itoa(n)
			reply := s.requireAnswer(n%len(s.Boxes), Chat{Model: "run-small", Session: id})
			before[id], tokensOf[id] = reply.Version, reply.Token
			require.NotEmpty(t, reply.Token)
		}
		check := func(event string) {
			t.Helper()
			for n := range sessions {
				id := "session-" + itoa(n)
				for box := range s.Boxes {
					if !s.Boxes[box].Running() {
						continue
					}
					require.Equal(t, before[id], s.requireAnswer(box, Chat{Model: "run-small", Session: id}).Version, "%s: %s at box %d", event, id, box)
				}
			}
		}
		check("before any event")
		s.advanceRollout("run")
		check("a step")
		s.Boxes[1].Kill()
		time.Sleep(30 * time.Second)
		check("a killed box")
		require.NoError(t, s.Boxes[1].Start())
		require.NoError(t, s.WaitReady(readyTimeout))
		s.advanceRollout("run")
		check("a restarted box and another step")
		s.setLogDown(true)
		time.Sleep(10 * time.Second)
		check("an outage of the log")
		s.setLogDown(false)
		// Callers that carry tokens do not depend on the boxes' memory.
		for id, token := range tokensOf {
			require.Equal(t, before[id], s.requireAnswer(0, Chat{Model: "run-small", Token: token}).Version)
		}
		s.withdraw("run-small-2")
		for id, version := range before {
			if version == "run-small-2" {
				moved := s.requireAnswer(0, Chat{Model: "run-small", Session: id}).Version
				require.Equal(t, willowwick.VersionID("run-small-1"), moved)
				require.Equal(t, moved, s.requireAnswer(2, Chat{Model: "run-small", Session: id}).Version)
			}
		}
	})
}

// advanceRollout appends the next step of a roll-out, as the lease holder does.
func (s *testFleet) advanceRollout(id willowwick.RolloutID) {
	s.t.Helper()
	state, err := s.State()
	require.NoError(s.t, err)
	step := state.Progress[id].Step + 1
	s.publish(config.Record{Kind: config.RecordRollout, Rollout: &config.RolloutStep{
		ID: willowwick.ChangeID("step" + itoa(step)), Rollout: id, Step: step, Fence: state.Lease.Fence,
	}})
	state, err = s.State()
	require.NoError(s.t, err)
	require.Equal(s.t, step, state.Progress[id].Step)
}

// TestEachRequestIsBilledOnce covers lost append answers, an outage of the log, and boxes killed with their memory.
func TestEachRequestIsBilledOnce(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.DroppedAnswers = 3 })
		for n := range 12 {
			s.requireAnswer(n%3, Chat{})
		}
		s.requireBills()

		s.setLogDown(true)
		for range 10 {
			s.requireAnswer(1, Chat{Stream: true})
		}
		s.Boxes[1].Kill()
		time.Sleep(5 * time.Second)
		for range 5 {
			s.requireAnswer(0, Chat{})
		}
		s.setLogDown(false)
		s.requireBills()

		// The owner of the usage records dies between the answers and the append.
		for range 5 {
			s.requireAnswer(2, Chat{})
		}
		s.Boxes[2].Kill()
		ledger := s.requireBills()
		require.Positive(t, ledger.Duplicates)
	})
}

// TestAnswersAreCompleteDespiteStreamFaults injects one fault per runner into streams.
func TestAnswersAreCompleteDespiteStreamFaults(t *testing.T) {
	for _, fault := range []struct {
		name string
		set  func(*standin.EngineFaults)
	}{
		{"cut", func(f *standin.EngineFaults) { f.CutTimes, f.CutAfter = 1, 2 }},
		{"cut at the start", func(f *standin.EngineFaults) { f.CutTimes, f.CutAfter = 1, 0 }},
		{"stalled", func(f *standin.EngineFaults) { f.Stall = 1 }},
		{"mixed up", func(f *standin.EngineFaults) { f.MixUp = 1 }},
		{"missing chunk", func(f *standin.EngineFaults) { f.Skip = 1 }},
		{"repeated chunk", func(f *standin.EngineFaults) { f.Repeat = 1 }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			withTestFleet(t, 3, func(s *testFleet) {
				for _, stream := range []bool{true, false} {
					for _, runner := range s.Runners {
						runner.SetFaults(fault.set)
					}
					for box := range s.Boxes {
						s.requireAnswer(box, Chat{Stream: stream})
					}
				}
				s.requireBills()
			})
		})
	}
}

// TestTruncatedAnswerIsReportedAsError: when no runner can finish an answer, the caller gets an error.
func TestTruncatedAnswerIsReportedAsError(t *testing.T) {
	withTestFleet(t, 2, func(s *testFleet) {
		for _, stream := range []bool{true, false} {
			for _, runner := range s.Runners {
				runner.SetFaults(func(f *standin.EngineFaults) { f.CutTimes, f.CutAfter = 100, 1 })
			}
			reply := s.ask(0, Chat{Stream: stream})
			require.Contains(t, []Outcome{OutcomeLost, OutcomeRefused}, reply.Outcome, "%+v", reply)
			if reply.Outcome == OutcomeRefused {
				require.Equal(t, string(willowwick.KindFailed), reply.Text)
			}
		}
		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { *f = standin.EngineFaults{} })
		}
		time.Sleep(5 * time.Second)
		s.requireAnswer(0, Chat{})
		s.requireBills()
	})
}

// TestOverloadRefusalIsImmediateAndNothingRan: under overload, a request refused as not run reached no runner, and is
// refused before its deadline.
func TestOverloadRefusalIsImmediateAndNothingRan(t *testing.T) {
	withTestFleet(t, 2, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.FirstToken = 2 * time.Second
		}
		s.requireAnswer(0, Chat{})
		s.requireAnswer(1, Chat{})
		var mu sync.Mutex
		var callers sync.WaitGroup
		notRun, answered := 0, 0
		started := time.Now()
		for n := range 300 {
			callers.Go(func() {
				sent := time.Now()
				reply := s.askUncounted(n%2, Chat{Prompt: "heavy " + itoa(n), Deadline: 10 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case reply.Outcome == OutcomeComplete:
					answered++
				case reply.Outcome == OutcomeRefused && reply.Text == string(willowwick.KindNotRun):
					notRun++
					require.Less(t, time.Since(sent), 10*time.Second)
					require.Positive(t, reply.RetryAfter)
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		callers.Wait()
		served := s.ServedSince("run-large-1", started.Add(-time.Millisecond))
		require.Positive(t, notRun)
		require.Greater(t, answered, 40)
		require.LessOrEqual(t, served, 300-notRun)
		s.billed += answered
		s.requireBills()
	})
}

// TestDrainingEndpointGetsNoNewWork: a draining endpoint gets no new request after 3 s, although the list lags by a
// minute; requests under way finish.
func TestDrainingEndpointGetsNoNewWork(t *testing.T) {
	t.Run("rejects new work", func(t *testing.T) { checkDraining(t, standin.EngineFaults{Draining: true}) })
	t.Run("accepts new work", func(t *testing.T) { checkDraining(t, standin.EngineFaults{Draining: true, DrainsSilently: true}) })
}

func checkDraining(t *testing.T, faults standin.EngineFaults) {
	t.Helper()
	withTestFleet(t, 3, func(s *testFleet) {
		time.Sleep(time.Minute)
		s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.ListLagMs = 60_000 })
		draining := s.Runners[0]
		for _, runner := range s.Runners {
			runner.BetweenChunks = 500 * time.Millisecond
		}
		var callers sync.WaitGroup
		for n := range 12 {
			callers.Go(func() {
				reply := s.askUncounted(n%3, Chat{Prompt: "long " + itoa(n), Stream: true})
				require.Equal(t, OutcomeComplete, reply.Outcome, "%+v", reply)
			})
		}
		time.Sleep(time.Second)
		draining.SetFaults(func(f *standin.EngineFaults) { *f = faults })
		time.Sleep(3 * time.Second)
		before := len(draining.Served("run-large-1"))
		for n := range 60 {
			reply := s.askUncounted(n%3, Chat{Prompt: "after " + itoa(n)})
			require.Equal(t, OutcomeComplete, reply.Outcome, "%+v", reply)
		}
		callers.Wait()
		require.Equal(t, before, len(draining.Served("run-large-1")))
	})
}

// TestPlannedStopInterruptsNoRequest stops two of four boxes at once, under load, with minute-long streams, while the
// log is down.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	withTestFleetSettings(t, 4, serve.Settings{DrainDelay: time.Second, StallTimeout: 10 * time.Second}, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.BetweenChunks = 3 * time.Second
		}
		var mu sync.Mutex
		var callers sync.WaitGroup
		answered := 0
		for n := range 24 {
			callers.Go(func() {
				reply := s.askUncounted(n%4, Chat{Prompt: "minute " + itoa(n), Stream: true})
				require.Equal(t, OutcomeComplete, reply.Outcome, "%+v", reply)
				mu.Lock()
				defer mu.Unlock()
				answered++
			})
		}
		time.Sleep(2 * time.Second)
		s.setLogDown(true)
		var stops sync.WaitGroup
		for _, box := range s.Boxes[2:] {
			stops.Go(func() { require.NoError(t, box.Stop(context.Background())) })
		}
		// New requests at a stopping box are answered or refused, never lost.
		for n := range 20 {
			reply := s.askUncounted(2+n%2, Chat{Prompt: "late " + itoa(n), Deadline: 90 * time.Second})
			require.Contains(t, []Outcome{OutcomeComplete, OutcomeRefused, OutcomeNotAccepted}, reply.Outcome, "%+v", reply)
			if reply.Outcome == OutcomeComplete {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		}
		callers.Wait()
		stops.Wait()
		s.setLogDown(false)
		s.billed = answered
		s.requireBills()
	})
}

// TestNotRunIsNotReportedAfterCallBegan: once a call may have begun at a runner, a refusal does not claim that nothing
// ran.
func TestNotRunIsNotReportedAfterCallBegan(t *testing.T) {
	withTestFleet(t, 2, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { f.FailAll = true })
		}
		for n := range 8 {
			before := s.ServedSince("run-large-1", time.Time{})
			reply := s.ask(n%2, Chat{Deadline: 5 * time.Second})
			began := s.ServedSince("run-large-1", time.Time{}) - before
			require.Equal(t, OutcomeRefused, reply.Outcome, "%+v", reply)
			require.Equal(t, began == 0, reply.Text == string(willowwick.KindNotRun), "%d calls began: %+v", began, reply)
		}
	})
}

// TestNotRunIsNotReportedAfterCascadeStageRan: a failed first stage followed by a second that nobody serves is not
// refused as not run.
func TestNotRunIsNotReportedAfterCascadeStageRan(t *testing.T) {
	withTestFleet(t, 2, func(s *testFleet) {
		listing := s.Platform.Endpoints()
		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { f.CutTimes, f.CutAfter = 100, 1 })
			endpoint := listing[runner.ID]
			endpoint.Versions = []willowwick.VersionID{"run-small-1"}
			s.Platform.SetEndpoint(endpoint)
		}
		time.Sleep(3 * time.Second)
		before := s.ServedSince("run-small-1", time.Time{})
		reply := s.ask(0, Chat{Model: "summarise"})
		require.Equal(t, OutcomeRefused, reply.Outcome, "%+v", reply)
		require.Greater(t, s.ServedSince("run-small-1", time.Time{}), before)
		require.Equal(t, string(willowwick.KindFailed), reply.Text, "%+v", reply)
	})
}
