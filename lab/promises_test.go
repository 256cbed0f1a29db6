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

// withdraw publishes a withdrawal and waits until every running box has it.
func (s *scene) withdraw(version willowwick.VersionID) {
	s.t.Helper()
	s.publish(config.Record{Kind: config.RecordWithdraw, Withdraw: &config.Withdraw{
		ID: willowwick.ChangeID("withdraw-" + string(version)), Author: "test", Reason: "test", Version: version,
	}})
}

// publish puts a record on the log and waits until every running box has folded it.
func (s *scene) publish(record config.Record) willowwick.Offset {
	s.t.Helper()
	offset, err := s.Publish(record)
	require.NoError(s.t, err)
	s.waitInForce(offset)
	return offset
}

func (s *scene) waitInForce(offset willowwick.Offset) {
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

// eventually waits in virtual time.
func (s *scene) eventually(within time.Duration, what string, condition func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
		require.False(s.t, time.Now().After(limit), "%s within %s", what, within)
	}
}

// change publishes objects as one change.
func (s *scene) change(id string, objects ...config.Object) willowwick.Offset {
	s.t.Helper()
	state, err := s.State()
	require.NoError(s.t, err)
	return s.publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
		ID: willowwick.ChangeID(id), Author: "test", Reason: "test", Basis: state.Offset, Objects: objects,
	}})
}

func object(t *testing.T, kind config.Kind, name string, spec any) config.Object {
	t.Helper()
	made, err := config.NewObject(kind, name, spec)
	require.NoError(t, err)
	return made
}

// cutLog takes the log away from a box.
func (s *scene) cutLog(box int) {
	s.net.Cut(string(s.Boxes[box].ID), hostPlatform)
}

func (s *scene) healLog(box int) {
	s.net.Heal(string(s.Boxes[box].ID), hostPlatform)
}

// isolate cuts a box off from the platform and the other boxes.
func (s *scene) isolate(box int) {
	s.cutLog(box)
	for other := range s.Boxes {
		if other != box {
			s.net.Cut(string(s.Boxes[box].ID), string(s.Boxes[other].ID))
		}
	}
}

func (s *scene) rejoin(box int) {
	s.healLog(box)
	for other := range s.Boxes {
		s.net.Heal(string(s.Boxes[box].ID), string(s.Boxes[other].ID))
	}
}

func (s *scene) logDown(down bool) {
	s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.LogDown = down })
}

// TestAccountGetsAllowedVersionsOnly: neither a policy nor a race widens what an account may use.
func TestAccountGetsAllowedVersionsOnly(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		refusal := s.ask(0, Chat{Key: "demo-quay-notes", Model: "scan-large"})
		require.Equal(t, http.StatusForbidden, refusal.Status, "%+v", refusal)

		policy := &config.Policy{}
		policy.Rules = append(policy.Rules, wideRule())
		s.change("wide", object(t, config.KindPolicy, "scans", policy))
		s.change("point", object(t, config.KindClientAccount, "quay-notes", &config.ClientAccount{
			Keys: []string{config.HashKey("demo-quay-notes")}, Allow: []string{"scan-small"}, Default: "notes", Policy: "scans",
		}))
		for box := range s.Boxes {
			refusal = s.ask(box, Chat{Key: "demo-quay-notes", Model: "auto"})
			require.Equal(t, http.StatusForbidden, refusal.Status, "%+v", refusal)
		}
		require.Zero(t, s.ServedSince("scan-large-1", time.Time{}))
	})
}

// TestQueuedRequestIsCheckedAgain: a request that waits while its version is withdrawn is not sent to it.
func TestQueuedRequestIsCheckedAgain(t *testing.T) {
	inScene(t, 2, func(s *scene) {
		for _, runner := range s.Runners {
			runner.FirstToken = 20 * time.Second
			runner.IgnoresOrders = true
		}
		var callers sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[Outcome]int{}
		for n := range 60 {
			callers.Go(func() {
				reply := s.askQuietly(n%2, Chat{Model: "scan-small", Key: harbour, Prompt: "queued " + itoa(n)})
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
		require.Zero(t, outcomes[OutcomeLost]+outcomes[OutcomeCrossed], "%v", outcomes)
	})
}

// askQuietly sends a chat without counting it; callers may run at once.
func (s *scene) askQuietly(box int, chat Chat) Reply {
	if chat.Key == "" {
		chat.Key = coimbra
	}
	if chat.Model == "" {
		chat.Model = "run-large"
	}
	chat.MaxTokens = tokens
	return Ask(context.Background(), s.client, s.Boxes[box].Callers, chat)
}

// TestWithdrawnVersionGetsNoNewWork: also while a change races, a box is cut off from the log, or from all.
func TestWithdrawnVersionGetsNoNewWork(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		s.change("fallback", object(t, config.KindModel, "run-large", &config.Model{Settled: "run-large-1", Fallback: []willowwick.VersionID{"run-large-0"}}),
			object(t, config.KindVersion, "run-large-0", &config.Version{Model: "run-large"}))
		for _, runner := range s.Runners {
			runner.SetBehaviour("run-large-0", standin.VersionBehaviour{Quality: 1})
		}
		s.cutLog(1)
		// A change that was made before the withdrawal and arrives after it does not bring the version back.
		state, err := s.State()
		require.NoError(t, err)
		s.withdraw("run-large-1")
		inForce := time.Now()
		s.publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
			ID: "race", Author: "test", Reason: "test", Basis: state.Offset,
			Objects: []config.Object{object(t, config.KindVersion, "run-large-1", &config.Version{Model: "run-large", Price: willowwick.Price{Prompt: 1}})},
		}})
		for box := range s.Boxes {
			for range 5 {
				s.askQuietly(box, Chat{Model: "run-large", Prompt: s.prompt()})
			}
		}
		require.Zero(t, s.ServedSince("run-large-1", inForce))
	})
}

// TestIsolatedBoxTakesNoWork: a box that cannot know of a withdrawal stops taking work, and says that it did not run.
func TestIsolatedBoxTakesNoWork(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		s.whole(2, Chat{})
		s.isolate(2)
		time.Sleep(20 * time.Second)
		reply := s.ask(2, Chat{})
		require.Equal(t, OutcomeRefused, reply.Outcome, "%+v", reply)
		require.Equal(t, string(willowwick.KindNotRun), reply.Text)
		require.Positive(t, reply.RetryAfter)
		s.rejoin(2)
		s.eventually(20*time.Second, "serving again", func() bool { return s.ask(2, Chat{}).Outcome == OutcomeWhole })
	})
}

// TestSessionKeepsItsVersion through roll-out steps, a killed box, a restarted one and an outage of the log.
func TestSessionKeepsItsVersion(t *testing.T) {
	inScene(t, 4, func(s *scene) {
		rollout := &config.Rollout{Model: "run-small", From: "run-small-1", To: "run-small-2", Steps: []float64{50, 80, 100}, MinRequests: 1000}
		s.change("roll", object(t, config.KindRollout, "run", rollout))
		const sessions = 24
		before := map[string]willowwick.VersionID{}
		tokensOf := map[string]string{}
		for n := range sessions {
			id := "session-" + itoa(n)
			reply := s.whole(n%len(s.Boxes), Chat{Model: "run-small", Session: id})
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
					require.Equal(t, before[id], s.whole(box, Chat{Model: "run-small", Session: id}).Version, "%s: %s at box %d", event, id, box)
				}
			}
		}
		check("no event")
		s.advance("run")
		check("a step")
		s.Boxes[1].Kill()
		time.Sleep(30 * time.Second)
		check("a killed box")
		require.NoError(t, s.Boxes[1].Start())
		require.NoError(t, s.WaitReady(readyTime))
		s.advance("run")
		check("a restarted box and another step")
		s.logDown(true)
		time.Sleep(10 * time.Second)
		check("an outage of the log")
		s.logDown(false)
		// Callers that carry tokens do not even need the boxes' memory.
		for id, token := range tokensOf {
			require.Equal(t, before[id], s.whole(0, Chat{Model: "run-small", Token: token}).Version)
		}
		s.withdraw("run-small-2")
		for id, version := range before {
			if version == "run-small-2" {
				moved := s.whole(0, Chat{Model: "run-small", Session: id}).Version
				require.Equal(t, willowwick.VersionID("run-small-1"), moved)
				require.Equal(t, moved, s.whole(2, Chat{Model: "run-small", Session: id}).Version)
			}
		}
	})
}

// advance writes the next step of a roll-out, as the holder of the lease would.
func (s *scene) advance(id willowwick.RolloutID) {
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

// TestEachRequestIsBilledOnce through lost append answers, an outage of the log, and boxes killed with their memory.
func TestEachRequestIsBilledOnce(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.LoseAnswer = 3 })
		for n := range 12 {
			s.whole(n%3, Chat{})
		}
		s.requireBills()

		s.logDown(true)
		for range 10 {
			s.whole(1, Chat{Stream: true})
		}
		s.Boxes[1].Kill()
		time.Sleep(5 * time.Second)
		for range 5 {
			s.whole(0, Chat{})
		}
		s.logDown(false)
		s.requireBills()

		// The owner dies between the answer and the append.
		for range 5 {
			s.whole(2, Chat{})
		}
		s.Boxes[2].Kill()
		ledger := s.requireBills()
		require.Positive(t, ledger.Duplicates)
	})
}

// TestAnswersAreWhole through cut, silent, crossed, gapped and repeated streams.
func TestAnswersAreWhole(t *testing.T) {
	for _, fault := range []struct {
		name string
		set  func(*standin.EngineFaults)
	}{
		{"cut", func(f *standin.EngineFaults) { f.CutTimes, f.CutAfter = 1, 2 }},
		{"cut at the start", func(f *standin.EngineFaults) { f.CutTimes, f.CutAfter = 1, 0 }},
		{"silent", func(f *standin.EngineFaults) { f.Stall = 1 }},
		{"crossed", func(f *standin.EngineFaults) { f.Cross = 1 }},
		{"gapped", func(f *standin.EngineFaults) { f.Skip = 1 }},
		{"repeated", func(f *standin.EngineFaults) { f.Repeat = 1 }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			inScene(t, 3, func(s *scene) {
				for _, stream := range []bool{true, false} {
					for _, runner := range s.Runners {
						runner.SetFaults(fault.set)
					}
					for box := range s.Boxes {
						s.whole(box, Chat{Stream: stream})
					}
				}
				s.requireBills()
			})
		})
	}
}

// TestBrokenAnswerNeverLooksWhole: when no runner can finish an answer, the caller gets an error.
func TestBrokenAnswerNeverLooksWhole(t *testing.T) {
	inScene(t, 2, func(s *scene) {
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
		s.whole(0, Chat{})
		s.requireBills()
	})
}

// TestNotRunIsTrueAndAtOnce: under overload and with a box short of time, what is refused as not run reached no
// runner, and the refusal does not wait for the deadline.
func TestNotRunIsTrueAndAtOnce(t *testing.T) {
	inScene(t, 2, func(s *scene) {
		for _, runner := range s.Runners {
			runner.FirstToken = 2 * time.Second
		}
		s.whole(0, Chat{})
		s.whole(1, Chat{})
		var mu sync.Mutex
		var callers sync.WaitGroup
		notRun, answered := 0, 0
		begun := time.Now()
		for n := range 300 {
			callers.Go(func() {
				sent := time.Now()
				reply := s.askQuietly(n%2, Chat{Prompt: "heavy " + itoa(n), Deadline: 10 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case reply.Outcome == OutcomeWhole:
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
		served := s.ServedSince("run-large-1", begun.Add(-time.Millisecond))
		require.Positive(t, notRun)
		require.Greater(t, answered, 40)
		require.LessOrEqual(t, served, 300-notRun)
		s.billed += answered
		s.requireBills()
	})
}

// TestLeavingEndpointGetsNoNewWork within 3 s, though the list lags by a minute; what is under way is finished.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Run("refuses", func(t *testing.T) { checkLeaving(t, standin.EngineFaults{Leaving: true}) })
	t.Run("takes what comes", func(t *testing.T) { checkLeaving(t, standin.EngineFaults{Leaving: true, Quietly: true}) })
}

func checkLeaving(t *testing.T, faults standin.EngineFaults) {
	t.Helper()
	inScene(t, 3, func(s *scene) {
		time.Sleep(time.Minute)
		s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.ListLagMs = 60_000 })
		leaving := s.Runners[0]
		for _, runner := range s.Runners {
			runner.BetweenChunks = 500 * time.Millisecond
		}
		var underWay sync.WaitGroup
		for n := range 12 {
			underWay.Go(func() {
				reply := s.askQuietly(n%3, Chat{Prompt: "long " + itoa(n), Stream: true})
				require.Equal(t, OutcomeWhole, reply.Outcome, "%+v", reply)
			})
		}
		time.Sleep(time.Second)
		leaving.SetFaults(func(f *standin.EngineFaults) { *f = faults })
		time.Sleep(3 * time.Second)
		before := len(leaving.Served("run-large-1"))
		for n := range 60 {
			reply := s.askQuietly(n%3, Chat{Prompt: "after " + itoa(n)})
			require.Equal(t, OutcomeWhole, reply.Outcome, "%+v", reply)
		}
		underWay.Wait()
		require.Equal(t, before, len(leaving.Served("run-large-1")))
	})
}

// TestPlannedStopCutsNothing: two of four boxes stop at once, under load, with streams of a minute, while the log is down.
func TestPlannedStopCutsNothing(t *testing.T) {
	inSceneWith(t, 4, serve.Settings{DrainWait: time.Second, Stall: 10 * time.Second}, func(s *scene) {
		for _, runner := range s.Runners {
			runner.BetweenChunks = 3 * time.Second
		}
		var mu sync.Mutex
		var callers sync.WaitGroup
		whole := 0
		for n := range 24 {
			callers.Go(func() {
				reply := s.askQuietly(n%4, Chat{Prompt: "minute " + itoa(n), Stream: true})
				require.Equal(t, OutcomeWhole, reply.Outcome, "%+v", reply)
				mu.Lock()
				defer mu.Unlock()
				whole++
			})
		}
		time.Sleep(2 * time.Second)
		s.logDown(true)
		var stops sync.WaitGroup
		for _, box := range s.Boxes[2:] {
			stops.Go(func() { require.NoError(t, box.Stop(context.Background())) })
		}
		// New arrivals at a stopping box are served or honestly refused.
		for n := range 20 {
			reply := s.askQuietly(2+n%2, Chat{Prompt: "late " + itoa(n), Deadline: 90 * time.Second})
			require.Contains(t, []Outcome{OutcomeWhole, OutcomeRefused, OutcomeNotTaken}, reply.Outcome, "%+v", reply)
			if reply.Outcome == OutcomeWhole {
				mu.Lock()
				whole++
				mu.Unlock()
			}
		}
		callers.Wait()
		stops.Wait()
		s.logDown(false)
		s.billed = whole
		s.requireBills()
	})
}

// TestNotRunIsTrueAfterFailedCalls: once a runner may have begun, a refusal no longer says that nothing ran.
func TestNotRunIsTrueAfterFailedCalls(t *testing.T) {
	inScene(t, 2, func(s *scene) {
		for _, runner := range s.Runners {
			runner.SetFaults(func(f *standin.EngineFaults) { f.DenyAfter = true })
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

// TestNotRunIsTrueAfterATriedStage: a cheap model that was asked in vain and a strong one that nobody serves do not
// add up to "not run".
func TestNotRunIsTrueAfterATriedStage(t *testing.T) {
	inScene(t, 2, func(s *scene) {
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
