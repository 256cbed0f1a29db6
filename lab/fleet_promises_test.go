package lab

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/standin"
)

// postEntry posts a calibration entry through a box under an idempotency key.
func (s *testFleet) postEntry(box int, key, entry string) Reply {
	reply := CallService(context.Background(), s.client, s.Boxes[box].CallerAddress, coimbraKey,
		http.MethodPost, "/services/bookkeeping/calibrations/"+entry, key, entry)
	if reply.Outcome == OutcomeComplete {
		s.billed++
	}
	return reply
}

func (s *testFleet) effectCount(entry string) int {
	count := 0
	for _, instance := range s.Services["bookkeeping"] {
		count += instance.Effects()[entry]
	}
	return count
}

// replicasOf returns the indexes of the boxes that replicate the claim on a calibration's key.
func (s *testFleet) replicasOf(key string) []int {
	s.t.Helper()
	state, err := s.State()
	require.NoError(s.t, err)
	var boxes []int
	for _, member := range fleet.ReplicaPair(state.Roster, "claim/lab-coimbra/bookkeeping/"+key) {
		for i, box := range s.Boxes {
			if box.ID == member.Box {
				boxes = append(boxes, i)
			}
		}
	}
	return boxes
}

func (s *testFleet) boxExcept(boxes ...int) int {
	for i := range s.Boxes {
		taken := false
		for _, box := range boxes {
			taken = taken || box == i
		}
		if !taken {
			return i
		}
	}
	s.t.Fatal("no other box exists")
	return 0
}

// TestCallRunsAtMostOnce: a call whose answer is lost is not retried, and no resubmission through any box runs, while a
// replica of its claim is killed and restarted.
func TestCallRunsAtMostOnce(t *testing.T) {
	withTestFleet(t, 5, func(s *testFleet) {
		for _, instance := range s.Services["bookkeeping"] {
			instance.SetFaults(func(f *standin.ServiceFaults) { f.DroppedAnswers = 1 })
		}
		lost := s.postEntry(0, "key-1", "entry-1")
		require.Equal(t, OutcomeRefused, lost.Outcome, "%+v", lost)
		require.Equal(t, string(willowwick.KindOutcomeUnknown), lost.Text)
		for box := range s.Boxes {
			again := s.postEntry(box, "key-1", "entry-1")
			require.Equal(t, string(willowwick.KindOutcomeUnknown), again.Text, "%+v", again)
		}
		require.Equal(t, 1, s.effectCount("entry-1"))

		replicas := s.replicasOf("key-1")
		s.Boxes[replicas[0]].Kill()
		for range 40 {
			again := s.postEntry(s.boxExcept(replicas[0]), "key-1", "entry-1")
			require.Equal(t, OutcomeRefused, again.Outcome, "%+v", again)
			time.Sleep(time.Second)
		}
		require.NoError(t, s.Boxes[replicas[0]].Start())
		require.NoError(t, s.WaitReady(readyTimeout))
		for box := range s.Boxes {
			again := s.postEntry(box, "key-1", "entry-1")
			require.Equal(t, OutcomeRefused, again.Outcome, "%+v", again)
		}
		require.Equal(t, 1, s.effectCount("entry-1"))

		// Kill one replica after the other; each successor has received the claim.
		for range 2 {
			s.Boxes[s.replicasOf("key-1")[0]].Kill()
			time.Sleep(30 * time.Second)
			again := s.postEntry(s.runningBox(), "key-1", "entry-1")
			require.Equal(t, OutcomeRefused, again.Outcome, "%+v", again)
		}
		require.Equal(t, 1, s.effectCount("entry-1"))
	})
}

// Guards against calls that are refused though all is well: a box that joins the roster imports the claims that it must
// know of, and a call whose key it replicates is served once it has them.
func TestCallsWithAKeyAreServedWhileABoxJoins(t *testing.T) {
	withTestFleet(t, 5, func(s *testFleet) {
		s.Boxes[4].Kill()
		time.Sleep(40 * time.Second)
		require.NoError(t, s.Boxes[4].Start())
		for n := range 4000 {
			reply := s.postEntry(n%4, fmt.Sprintf("joining-key-%d", n), fmt.Sprintf("joining-%d", n))
			require.Equal(t, OutcomeComplete, reply.Outcome, "call %d: %+v", n, reply)
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// TestOutcomeIsUnknownWhenBothReplicasAreLost: a key that only the lost replicas could vouch for is refused, and new
// keys run.
func TestOutcomeIsUnknownWhenBothReplicasAreLost(t *testing.T) {
	withTestFleet(t, 5, func(s *testFleet) {
		// A box that has just joined the roster refuses claims until it has received those of the others, so retry.
		s.eventually(2*time.Second, "posted", func() bool { return s.postEntry(0, "key-2", "entry-2").Outcome == OutcomeComplete })
		replicas := s.replicasOf("key-2")
		for _, replica := range replicas {
			s.Boxes[replica].Kill()
		}
		survivor := s.boxExcept(replicas...)
		time.Sleep(40 * time.Second)
		again := s.postEntry(survivor, "key-2", "entry-2")
		require.Equal(t, string(willowwick.KindOutcomeUnknown), again.Text, "%+v", again)
		require.Equal(t, 1, s.effectCount("entry-2"))
		for n := range 20 {
			fresh := uuid.Must(uuid.NewV7()).String()
			reply := s.postEntry(survivor, fresh, fmt.Sprintf("fresh-%d", n))
			require.Equal(t, OutcomeComplete, reply.Outcome, "%+v", reply)
		}
	})
}

// TestConcurrentResubmissionsRunOnce submits the same key through all boxes at once.
func TestConcurrentResubmissionsRunOnce(t *testing.T) {
	withTestFleet(t, 4, func(s *testFleet) {
		var callers sync.WaitGroup
		for n := range 10 {
			for box := range s.Boxes {
				callers.Go(func() {
					CallService(context.Background(), s.client, s.Boxes[box].CallerAddress, coimbraKey, http.MethodPost,
						"/services/bookkeeping/calibrations/x", "race-"+itoa(n), "race-"+itoa(n))
				})
			}
		}
		callers.Wait()
		for n := range 10 {
			require.LessOrEqual(t, s.effectCount("race-"+itoa(n)), 1)
		}
	})
}

// TestUnsentCallReleasesItsKey: a call refused before anything was sent may run under the same key later.
func TestUnsentCallReleasesItsKey(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		for _, instance := range s.Services["bookkeeping"] {
			s.net.Cut(string(instance.ID), string(s.Boxes[0].ID))
		}
		refused := s.postEntry(0, "key-3", "entry-3")
		require.Equal(t, string(willowwick.KindNotRun), refused.Text, "%+v", refused)
		require.Equal(t, OutcomeComplete, s.postEntry(1, "key-3", "entry-3").Outcome)
		require.Equal(t, 1, s.effectCount("entry-3"))
	})
}

// TestConfigurationReachesAllBoxesAndNeverRegresses covers boxes cut off from the log, lost append answers, an outage,
// a fresh box that can only ask its peers, and concurrent operators.
func TestConfigurationReachesAllBoxesAndNeverRegresses(t *testing.T) {
	withTestFleet(t, 5, func(s *testFleet) {
		highest := make([]willowwick.Offset, len(s.Boxes))
		checkOffsets := func() {
			for i, box := range s.Boxes {
				if !box.Running() {
					highest[i] = 0
					continue
				}
				offset := box.Daemon.Status().Offset
				require.GreaterOrEqual(t, offset, highest[i], "box %d regressed", i)
				highest[i] = offset
			}
		}
		s.cutLog(1)
		s.cutLog(2)
		started := time.Now()
		s.publishChange("cascade-1", newObject(t, config.KindCascade, "extra", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Judge: config.JudgeRater}))
		require.Less(t, time.Since(started), 16*time.Second)
		checkOffsets()

		// Two operators change the same state concurrently: the same one wins on every box.
		state, err := s.State()
		require.NoError(t, err)
		for _, quality := range []willowwick.Score{0.5, 0.6} {
			_, err := s.Publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
				ID: willowwick.ChangeID(fmt.Sprint("race-", quality)), Author: "operator", Reason: "race", Basis: state.Offset,
				Objects: []config.Object{newObject(t, config.KindCascade, "extra", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Quality: quality, Judge: config.JudgeRater})},
			}})
			require.NoError(t, err)
		}
		time.Sleep(16 * time.Second)
		checkOffsets()
		hashes := map[uint64]bool{}
		for _, box := range s.Boxes {
			r := box.Daemon.Node().Follower.Revision()
			cascade, ok := r.Cascade("extra")
			require.True(t, ok)
			require.Equal(t, willowwick.Score(0.5), cascade.Quality)
			entry, ok := r.FindAuditEntry("race-0.6")
			require.True(t, ok)
			require.False(t, entry.Accepted)
			require.Contains(t, entry.Why, "conflict")
			hashes[hashOf(t, r, "race-0.6")] = true
		}
		require.Len(t, hashes, 1)

		// A fresh box joins from its peers while the log is down.
		s.setLogDown(true)
		s.Boxes[4].Kill()
		checkOffsets() // forgets what only the killed incarnation had read of the log
		newest := slices.Max(highest)
		require.NoError(t, s.Boxes[4].Start())
		s.eventually(20*time.Second, "joined from peers", func() bool { return s.Boxes[4].Daemon.Status().Offset >= newest })
		_, ok := s.Boxes[4].Daemon.Node().Follower.Revision().Cascade("extra")
		require.True(t, ok)
		checkOffsets()
		s.setLogDown(false)
		s.healLog(1)
		s.healLog(2)
		time.Sleep(20 * time.Second)
		checkOffsets()
	})
}

// hashOf hashes the declared objects and the verdict on a change, without offsets, which differ while boxes catch up.
func hashOf(t *testing.T, r *config.Revision, id willowwick.ChangeID) uint64 {
	t.Helper()
	entry, ok := r.FindAuditEntry(id)
	require.True(t, ok)
	state := config.NewState()
	state.Objects = r.Objects
	state.Audit = []config.AuditEntry{entry}
	hash, err := state.Hash()
	require.NoError(t, err)
	return hash
}

// TestBoxJoinsFromSnapshotAfterLogTruncation starts a box after the log dropped its oldest records.
func TestBoxJoinsFromSnapshotAfterLogTruncation(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		s.publishChange("kept", newObject(t, config.KindCascade, "kept", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Judge: config.JudgeRater}))
		s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.Retain = 40 })
		time.Sleep(10 * time.Minute)
		page := s.Platform.Read(willowwick.StreamConfig, 1, 1)
		require.Greater(t, page.First, willowwick.Offset(100))
		// Without running peers that could help.
		for _, box := range s.Boxes {
			box.Kill()
		}
		require.NoError(t, s.Boxes[0].Start())
		s.eventually(30*time.Second, "joined from the snapshot", func() bool { return s.Boxes[0].Daemon.Status().Offset > 0 })
		_, ok := s.Boxes[0].Daemon.Node().Follower.Revision().Cascade("kept")
		require.True(t, ok)
	})
}

// TestIsolatedLeaseHolderIsFenced: the successor gets a higher fence, and later records of the previous holder are
// void.
func TestIsolatedLeaseHolderIsFenced(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		holder := -1
		for i, box := range s.Boxes {
			if box.Daemon.Status().HoldsLease {
				holder = i
			}
		}
		require.GreaterOrEqual(t, holder, 0)
		state, err := s.State()
		require.NoError(t, err)
		previous := state.Lease
		s.isolate(holder)
		s.eventually(40*time.Second, "a successor", func() bool {
			state, err = s.State()
			require.NoError(t, err)
			return state.Lease.Boot != previous.Boot
		})
		require.Greater(t, state.Lease.Fence, previous.Fence)
		require.False(t, s.Boxes[holder].Daemon.Status().HoldsLease)
		holders := 0
		for _, box := range s.Boxes {
			if box.Daemon.Status().HoldsLease {
				holders++
			}
		}
		require.LessOrEqual(t, holders, 1)

		// Late records and orders of the previous holder have no effect.
		_, err = s.Publish(config.Record{Kind: config.RecordRoster, Roster: &config.RosterProposal{Fence: previous.Fence}})
		require.NoError(t, err)
		after, err := s.State()
		require.NoError(t, err)
		require.NotEmpty(t, after.Roster.Members)
		require.Equal(t, state.Lease.Fence, after.Lease.Fence)
	})
}

// TestAccountLimitHoldsAcrossFleet covers spread and concentrated demand, and a box cut off from the others.
func TestAccountLimitHoldsAcrossFleet(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		const limit = 1500.0
		s.publishChange("limit", newObject(t, config.KindLimit, "braga", &config.Limit{Account: "lab-braga", TokensPerSecond: limit, BurstSeconds: 1}))
		measureRate := func(seconds int, boxes ...int) float64 {
			var mu sync.Mutex
			var callers sync.WaitGroup
			total := 0.0
			for n := range seconds * 20 {
				for _, box := range boxes {
					callers.Go(func() {
						if reply := s.askUncounted(box, Chat{Key: bragaKey, Model: "run-small", Prompt: fmt.Sprint("limit ", n, box, seconds, len(boxes))}); reply.Outcome == OutcomeComplete {
							billedTokens := 4.0 + float64(4*len(standin.AnswerTo(fmt.Sprint("limit ", n, box, seconds, len(boxes))+"\n", "", 1, maxAnswerTokens)))
							mu.Lock()
							total += billedTokens
							mu.Unlock()
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
			}
			callers.Wait()
			return total / float64(seconds)
		}
		spreadRate := measureRate(15, 0, 1, 2)
		require.Less(t, spreadRate, limit*1.15)
		require.Greater(t, spreadRate, limit*0.6)
		// With all demand at one box, its share of the limit grows.
		measureRate(10, 0)
		concentratedRate := measureRate(10, 0)
		require.Greater(t, concentratedRate, limit*0.4)
		s.net.Cut("box1", "box2")
		s.net.Cut("box1", "box3")
		time.Sleep(10 * time.Second)
		measureRate(10, 0, 1, 2) // until the boxes that reach each other divide their part by demand
		partitionedRate := measureRate(15, 0, 1, 2)
		require.Less(t, partitionedRate, limit*1.15)
	})
}

// TestHeavyAccountDoesNotDelayLightOne: a flood from one account does not starve another account's small requests.
func TestHeavyAccountDoesNotDelayLightOne(t *testing.T) {
	withTestFleet(t, 2, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.FirstToken = time.Second
		}
		// A box admits only a few requests until it has measured how fast runners answer.
		s.requireAnswer(0, Chat{})
		s.requireAnswer(1, Chat{})
		var callers sync.WaitGroup
		for n := range 1500 {
			callers.Go(func() {
				s.askUncounted(n%2, Chat{Key: bragaKey, Prompt: "flood " + itoa(n), Deadline: 100 * time.Second})
			})
		}
		time.Sleep(2 * time.Second)
		for n := range 10 {
			started := time.Now()
			reply := s.askUncounted(n%2, Chat{Prompt: "light " + itoa(n)})
			require.Equal(t, OutcomeComplete, reply.Outcome, "%+v", reply)
			require.Less(t, time.Since(started), 15*time.Second)
		}
		callers.Wait()
	})
}

// TestStoppingBoxHandsOverHeldUsageRecords: a box that replicates a dead box's usage records and is stopped itself
// loses none, with the log up or down.
func TestStoppingBoxHandsOverHeldUsageRecords(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint("log down ", down), func(t *testing.T) {
			withTestFleet(t, 4, func(s *testFleet) {
				s.setLogDown(true)
				s.requireAnswer(0, Chat{})
				s.Boxes[0].Kill()
				s.setLogDown(down)
				var stops sync.WaitGroup
				for _, box := range s.Boxes[1:3] {
					stops.Go(func() { require.NoError(t, box.Stop(context.Background())) })
				}
				stops.Wait()
				s.setLogDown(false)
				s.requireBills()
			})
		})
	}
}

// Guards against two readings of an idempotency key: a chat with a key is taken once and billed once, though its cascade may ask several
// models for the one answer; the call of a plain service that may not be repeated runs once.
func TestChatWithAKeyIsTakenAndBilledOnce(t *testing.T) {
	const chats = 20
	withTestFleet(t, 3, func(s *testFleet) {
		for _, runner := range s.Runners {
			runner.SetBehaviour("run-small-1", standin.VersionBehaviour{}) // no answer of which is good enough
		}
		for n := range chats {
			chat := Chat{Key: coimbraKey, Model: "summarise", Idempotency: fmt.Sprint("chat-key-", n)}
			s.requireAnswer(n%3, chat)
			again := s.ask((n+1)%3, chat)
			require.Equal(t, OutcomeRefused, again.Outcome, "%+v", again)
			require.Equal(t, string(willowwick.KindOutcomeUnknown), again.Text)
		}
		small, large := s.ServedSince("run-small-1", time.Time{}), s.ServedSince("run-large-1", time.Time{})
		require.Greater(t, small+large, chats, "no chat has asked two models")
		s.requireBills()
	})
}
