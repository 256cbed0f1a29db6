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

// enter posts a calibration entry through a box under an idempotency key.
func (s *scene) enter(box int, key, entry string) Reply {
	reply := CallService(context.Background(), s.client, s.Boxes[box].Callers, coimbra,
		http.MethodPost, "/services/bookkeeping/calibrations/"+entry, key, entry)
	if reply.Outcome == OutcomeWhole {
		s.billed++
	}
	return reply
}

func (s *scene) effects(entry string) int {
	count := 0
	for _, instance := range s.Services["bookkeeping"] {
		count += instance.Effects()[entry]
	}
	return count
}

// keepers returns the indexes of the boxes that keep a calibration's key.
func (s *scene) keepers(key string) []int {
	s.t.Helper()
	state, err := s.State()
	require.NoError(s.t, err)
	var boxes []int
	for _, member := range fleet.Pair(state.Roster, "claim/lab-coimbra/bookkeeping/"+key) {
		for i, box := range s.Boxes {
			if box.ID == member.Box {
				boxes = append(boxes, i)
			}
		}
	}
	return boxes
}

func (s *scene) otherThan(boxes ...int) int {
	for i := range s.Boxes {
		taken := false
		for _, box := range boxes {
			taken = taken || box == i
		}
		if !taken {
			return i
		}
	}
	s.t.Fatal("every box is taken")
	return 0
}

// TestCallRunsAtMostOnce: a lost answer is not tried again, and no resubmission through any box runs, while a keeper
// of its key is killed and restarted.
func TestCallRunsAtMostOnce(t *testing.T) {
	inScene(t, 5, func(s *scene) {
		for _, instance := range s.Services["bookkeeping"] {
			instance.SetFaults(func(f *standin.ServiceFaults) { f.DropAfter = 1 })
		}
		lost := s.enter(0, "key-1", "entry-1")
		require.Equal(t, OutcomeRefused, lost.Outcome, "%+v", lost)
		require.Equal(t, string(willowwick.KindOutcomeUnknown), lost.Text)
		for box := range s.Boxes {
			again := s.enter(box, "key-1", "entry-1")
			require.Equal(t, string(willowwick.KindOutcomeUnknown), again.Text, "%+v", again)
		}
		require.Equal(t, 1, s.effects("entry-1"))

		keepers := s.keepers("key-1")
		s.Boxes[keepers[0]].Kill()
		for range 40 {
			again := s.enter(s.otherThan(keepers[0]), "key-1", "entry-1")
			require.Equal(t, OutcomeRefused, again.Outcome, "%+v", again)
			time.Sleep(time.Second)
		}
		require.NoError(t, s.Boxes[keepers[0]].Start())
		require.NoError(t, s.WaitReady(readyTime))
		for box := range s.Boxes {
			again := s.enter(box, "key-1", "entry-1")
			require.Equal(t, OutcomeRefused, again.Outcome, "%+v", again)
		}
		require.Equal(t, 1, s.effects("entry-1"))

		// One keeper after the other goes; whoever takes over was told.
		for range 2 {
			s.Boxes[s.keepers("key-1")[0]].Kill()
			time.Sleep(30 * time.Second)
			again := s.enter(s.running(), "key-1", "entry-1")
			require.Equal(t, OutcomeRefused, again.Outcome, "%+v", again)
		}
		require.Equal(t, 1, s.effects("entry-1"))
	})
}

// TestBothKeepersGone: when nobody can know whether a key was used, its call is not run; new keys are.
func TestBothKeepersGone(t *testing.T) {
	inScene(t, 5, func(s *scene) {
		// A box that has just come into the roster refuses claims until it has those of the others: callers return.
		s.eventually(2*time.Second, "entered", func() bool { return s.enter(0, "key-2", "entry-2").Outcome == OutcomeWhole })
		keepers := s.keepers("key-2")
		for _, keeper := range keepers {
			s.Boxes[keeper].Kill()
		}
		left := s.otherThan(keepers...)
		time.Sleep(40 * time.Second)
		again := s.enter(left, "key-2", "entry-2")
		require.Equal(t, string(willowwick.KindOutcomeUnknown), again.Text, "%+v", again)
		require.Equal(t, 1, s.effects("entry-2"))
		for n := range 20 {
			fresh := uuid.Must(uuid.NewV7()).String()
			reply := s.enter(left, fresh, fmt.Sprintf("fresh-%d", n))
			require.Equal(t, OutcomeWhole, reply.Outcome, "%+v", reply)
		}
	})
}

// TestRacingResubmissions: the same key through all boxes at once runs once.
func TestRacingResubmissions(t *testing.T) {
	inScene(t, 4, func(s *scene) {
		var callers sync.WaitGroup
		for n := range 10 {
			for box := range s.Boxes {
				callers.Go(func() {
					CallService(context.Background(), s.client, s.Boxes[box].Callers, coimbra, http.MethodPost,
						"/services/bookkeeping/calibrations/x", "race-"+itoa(n), "race-"+itoa(n))
				})
			}
		}
		callers.Wait()
		for n := range 10 {
			require.LessOrEqual(t, s.effects("race-"+itoa(n)), 1)
		}
	})
}

// TestNotSentCallMayRunLater: a call refused before anything was sent gives its key back.
func TestNotSentCallMayRunLater(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		for _, instance := range s.Services["bookkeeping"] {
			s.net.Cut(string(instance.ID), string(s.Boxes[0].ID))
		}
		refused := s.enter(0, "key-3", "entry-3")
		require.Equal(t, string(willowwick.KindNotRun), refused.Text, "%+v", refused)
		require.Equal(t, OutcomeWhole, s.enter(1, "key-3", "entry-3").Outcome)
		require.Equal(t, 1, s.effects("entry-3"))
	})
}

// TestConfigurationIsInForceEverywhereAndStays: with boxes cut off from the log, lost append answers, an outage, a
// fresh box that can only ask its peers, and racing operators.
func TestConfigurationIsInForceEverywhereAndStays(t *testing.T) {
	inScene(t, 5, func(s *scene) {
		highest := make([]willowwick.Offset, len(s.Boxes))
		watch := func() {
			for i, box := range s.Boxes {
				if !box.Running() {
					highest[i] = 0
					continue
				}
				offset := box.Daemon.Status().Offset
				require.GreaterOrEqual(t, offset, highest[i], "box %d went back", i)
				highest[i] = offset
			}
		}
		s.cutLog(1)
		s.cutLog(2)
		begun := time.Now()
		s.change("cascade-1", object(t, config.KindCascade, "extra", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Judge: config.JudgeRater}))
		require.Less(t, time.Since(begun), 16*time.Second)
		watch()

		// Two operators who read the same state: one winner, the same on every box.
		state, err := s.State()
		require.NoError(t, err)
		for _, quality := range []willowwick.Score{0.5, 0.6} {
			_, err := s.Publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
				ID: willowwick.ChangeID(fmt.Sprint("race-", quality)), Author: "operator", Reason: "race", Basis: state.Offset,
				Objects: []config.Object{object(t, config.KindCascade, "extra", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Quality: quality, Judge: config.JudgeRater})},
			}})
			require.NoError(t, err)
		}
		time.Sleep(16 * time.Second)
		watch()
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
		s.logDown(true)
		s.Boxes[4].Kill()
		watch() // what its former life alone had read of the log is gone
		newest := slices.Max(highest)
		require.NoError(t, s.Boxes[4].Start())
		s.eventually(20*time.Second, "joined from peers", func() bool { return s.Boxes[4].Daemon.Status().Offset >= newest })
		_, ok := s.Boxes[4].Daemon.Node().Follower.Revision().Cascade("extra")
		require.True(t, ok)
		watch()
		s.logDown(false)
		s.healLog(1)
		s.healLog(2)
		time.Sleep(20 * time.Second)
		watch()
	})
}

// hashOf sums the declared objects and the verdict of a change; offsets differ while boxes catch up.
func hashOf(t *testing.T, r *config.Revision, id willowwick.ChangeID) uint64 {
	t.Helper()
	entry, ok := r.FindAuditEntry(id)
	require.True(t, ok)
	part := config.NewState()
	part.Objects = r.Objects
	part.Audit = []config.AuditEntry{entry}
	hash, err := part.Hash()
	require.NoError(t, err)
	return hash
}

// TestJoinAfterTheHeadIsGone: a box that starts after the log dropped its oldest records takes the snapshot.
func TestJoinAfterTheHeadIsGone(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		s.change("kept", object(t, config.KindCascade, "kept", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Judge: config.JudgeRater}))
		s.Platform.SetFaults(func(f *standin.PlatformFaults) { f.Retain = 40 })
		time.Sleep(10 * time.Minute)
		page := s.Platform.Read(willowwick.StreamConfig, 1, 1)
		require.Greater(t, page.First, willowwick.Offset(100))
		// Alone, so that no peer can help.
		for _, box := range s.Boxes {
			box.Kill()
		}
		require.NoError(t, s.Boxes[0].Start())
		s.eventually(30*time.Second, "joined from the snapshot", func() bool { return s.Boxes[0].Daemon.Status().Offset > 0 })
		_, ok := s.Boxes[0].Daemon.Node().Follower.Revision().Cascade("kept")
		require.True(t, ok)
	})
}

// TestLeaseHolderThatIsCutOff: its successor gets a higher fence; what the old one writes afterwards is void.
func TestLeaseHolderThatIsCutOff(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		holder := -1
		for i, box := range s.Boxes {
			if box.Daemon.Status().HoldsLease {
				holder = i
			}
		}
		require.GreaterOrEqual(t, holder, 0)
		state, err := s.State()
		require.NoError(t, err)
		old := state.Lease
		s.isolate(holder)
		s.eventually(40*time.Second, "a successor", func() bool {
			state, err = s.State()
			require.NoError(t, err)
			return state.Lease.Boot != old.Boot
		})
		require.Greater(t, state.Lease.Fence, old.Fence)
		require.False(t, s.Boxes[holder].Daemon.Status().HoldsLease)
		holders := 0
		for _, box := range s.Boxes {
			if box.Daemon.Status().HoldsLease {
				holders++
			}
		}
		require.LessOrEqual(t, holders, 1)

		// The old holder's late records and orders come to nothing.
		_, err = s.Publish(config.Record{Kind: config.RecordRoster, Roster: &config.RosterProposal{Fence: old.Fence}})
		require.NoError(t, err)
		after, err := s.State()
		require.NoError(t, err)
		require.NotEmpty(t, after.Roster.Members)
		require.Equal(t, state.Lease.Fence, after.Lease.Fence)
	})
}

// TestLimitHoldsOverTheFleet also while a box is cut off from the others.
func TestLimitHoldsOverTheFleet(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		const limit = 1500.0
		s.change("limit", object(t, config.KindLimit, "braga", &config.Limit{Account: "lab-braga", TokensPerSecond: limit, BurstSeconds: 1}))
		load := func(seconds int, boxes ...int) float64 {
			var mu sync.Mutex
			var callers sync.WaitGroup
			taken := 0.0
			for n := range seconds * 20 {
				for _, box := range boxes {
					callers.Go(func() {
						if reply := s.askQuietly(box, Chat{Key: braga, Model: "run-small", Prompt: fmt.Sprint("limit ", n, box, seconds, len(boxes))}); reply.Outcome == OutcomeWhole {
							ledger := 4.0 + float64(4*len(standin.AnswerTo(fmt.Sprint("limit ", n, box, seconds, len(boxes))+"\n", "", 1, tokens)))
							mu.Lock()
							taken += ledger
							mu.Unlock()
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
			}
			callers.Wait()
			return taken / float64(seconds)
		}
		all := load(15, 0, 1, 2)
		require.Less(t, all, limit*1.15)
		require.Greater(t, all, limit*0.6)
		// All demand at one box: the share follows it.
		load(10, 0)
		one := load(10, 0)
		require.Greater(t, one, limit*0.4)
		s.net.Cut("box1", "box2")
		s.net.Cut("box1", "box3")
		time.Sleep(10 * time.Second)
		cut := load(15, 0, 1, 2)
		require.Less(t, cut, limit*1.15)
	})
}

// TestHeavyAccountDoesNotDelayLightOne: one account's flood leaves another's small requests their turns.
func TestHeavyAccountDoesNotDelayLightOne(t *testing.T) {
	inScene(t, 2, func(s *scene) {
		for _, runner := range s.Runners {
			runner.FirstToken = time.Second
		}
		// A box takes in only a few requests before it knows how fast they are worked off.
		s.whole(0, Chat{})
		s.whole(1, Chat{})
		var callers sync.WaitGroup
		for n := range 1500 {
			callers.Go(func() {
				s.askQuietly(n%2, Chat{Key: braga, Prompt: "flood " + itoa(n), Deadline: 100 * time.Second})
			})
		}
		time.Sleep(2 * time.Second)
		for n := range 10 {
			begun := time.Now()
			reply := s.askQuietly(n%2, Chat{Prompt: "light " + itoa(n)})
			require.Equal(t, OutcomeWhole, reply.Outcome, "%+v", reply)
			require.Less(t, time.Since(begun), 15*time.Second)
		}
		callers.Wait()
	})
}

// TestStoppingBoxHandsOverWhatItHolds: a box that holds a dead box's bills and is stopped itself loses none, with the
// log up or down.
func TestStoppingBoxHandsOverWhatItHolds(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint("log down ", down), func(t *testing.T) {
			inScene(t, 4, func(s *scene) {
				s.logDown(true)
				s.whole(0, Chat{})
				s.Boxes[0].Kill()
				s.logDown(down)
				var stops sync.WaitGroup
				for _, box := range s.Boxes[1:3] {
					stops.Go(func() { require.NoError(t, box.Stop(context.Background())) })
				}
				stops.Wait()
				s.logDown(false)
				s.requireBills()
			})
		})
	}
}
