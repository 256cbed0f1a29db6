package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// TestSharesNeverExceedTheLimit checks that the boxes' shares of a limit add up to at most the limit, for any demand
// and any partition of the boxes.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boxes := rapid.IntRange(1, 8).Draw(rt, "boxes")
		side := make([]int, boxes) // boxes on one side reach each other
		demand := make([]float64, boxes)
		for i := range boxes {
			side[i] = rapid.IntRange(0, 2).Draw(rt, "side")
			demand[i] = float64(rapid.IntRange(0, 1000).Draw(rt, "demand"))
		}
		total := 0.0
		for i := range boxes {
			limiter := NewAccountLimiter()
			limiter.demand["a"], limiter.settled["a"] = demand[i], demand[i]
			var peers []Peer
			connected := boxes == 1
			for j := range boxes {
				if j == i {
					continue
				}
				fresh := side[i] == side[j]
				connected = connected || fresh
				peer := Peer{Fresh: fresh}
				if fresh {
					peer.Demand = Demand{"a": demand[j]}
				}
				peers = append(peers, peer)
			}
			limiter.Divide(peers, connected)
			share, known := limiter.shares["a"]
			if !known {
				share = limiter.equalShare
			}
			total += share
		}
		require.LessOrEqual(rt, total, 1.000001)
	})
}

// TestSharesNeverExceedTheLimitWhileDemandChanges checks the same if boxes learn of each other's demand some seconds
// late.
func TestSharesNeverExceedTheLimitWhileDemandChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const boxes, ticks = 3, 60
		limiters := make([]*AccountLimiter, boxes)
		delay := make([]int, boxes) // seconds until the others learn of a box's demand
		told := make([][]Demand, boxes)
		for i := range boxes {
			limiters[i] = NewAccountLimiter()
			delay[i] = rapid.IntRange(0, 7).Draw(rt, "delay")
		}
		requested := make([]int, boxes)
		for tick := range ticks {
			now := noon.Add(time.Duration(tick) * time.Second)
			for i, limiter := range limiters {
				if rapid.IntRange(0, 5).Draw(rt, "turn") == 0 {
					requested[i] = rapid.SampledFrom([]int{0, 10, 1000}).Draw(rt, "asked")
				}
				if requested[i] > 0 {
					limiter.requested["a"] += float64(requested[i])
				}
				told[i] = append(told[i], limiter.Measure(now))
			}
			total := 0.0
			for i, limiter := range limiters {
				var peers []Peer
				for j := range boxes {
					if j != i {
						peers = append(peers, Peer{Fresh: true, Demand: told[j][max(0, tick-delay[j])]})
					}
				}
				limiter.Divide(peers, true)
				share, known := limiter.shares["a"]
				if !known {
					share = limiter.equalShare
				}
				total += share
			}
			require.LessOrEqual(rt, total, 1.000001, "second %d", tick)
		}
	})
}

// TestQueueIsFair checks that under overload, an account's share of the work follows its weight.
func TestQueueIsFair(t *testing.T) {
	q := NewQueue()
	for range 400 {
		for account, cost := range map[willowwick.AccountID]willowwick.Tokens{"heavy": 4000, "light": 200} {
			_, ok := q.Push(noon, &Waiter{Account: account, Weight: 1, Cost: cost, Deadline: noon.Add(time.Hour)})
			if !ok {
				q.RecordServed(4000, time.Second)
			}
		}
	}
	served := map[willowwick.AccountID]willowwick.Tokens{}
	for served["light"] < 20_000 {
		w := q.Pop()
		served[w.Account] += w.Cost
	}
	ratio := float64(served["heavy"]) / float64(served["light"])
	require.InDelta(t, 1, ratio, 0.3)
}

// TestBucketKeepsItsRate checks the rate over any pattern of takes.
func TestBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const rate, burst = 100.0, 200.0
		b, now, taken := Bucket{}, noon, 0.0
		for range rapid.IntRange(1, 60).Draw(rt, "takes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "gap")) * time.Millisecond)
			amount := float64(rapid.IntRange(1, 150).Draw(rt, "amount"))
			if retryAt, ok := b.Take(now, rate, burst, amount); ok {
				taken += amount
			} else {
				require.True(rt, retryAt.After(now))
			}
			require.LessOrEqual(rt, taken, burst+rate*now.Sub(noon).Seconds()+0.001)
		}
	})
}

// TestCascadeChoices checks the choice to trust, try or skip a stage by pass rates, judge and deadline.
func TestCascadeChoices(t *testing.T) {
	subject := Subject{Account: "a", Class: "c", Version: "small"}
	choice := StageChoice{
		Subject: subject, StrongSubject: Subject{Account: "a", Class: "c", Version: "large"}, Cheap: 10, Strong: 100,
		HasJudge: true, Quality: 0.9, Now: noon, Deadline: noon.Add(time.Minute),
	}
	l := NewLearner()
	require.Equal(t, TryStage, l.Choose(choice), "no data yet")
	unjudged := choice
	unjudged.HasJudge = false
	require.Equal(t, SkipStage, l.Choose(unjudged), "no data yet, and no judge")
	for range 300 {
		l.Rated(subject, true)
	}
	require.Equal(t, TrustStage, l.Choose(unjudged), "it always passes")
	for range 1500 {
		l.Rated(subject, false)
	}
	require.Equal(t, SkipStage, l.Choose(choice), "it rarely passes")
	l = NewLearner()
	l.RecordDuration(subject, 40*time.Second)
	l.RecordDuration(choice.StrongSubject, 40*time.Second)
	require.Equal(t, SkipStage, l.Choose(choice), "there is no time for both")
}

// TestTrustedAnswersKeepTheQualityTarget checks that an account far above its target is given unjudged answers and
// stays above it.
func TestTrustedAnswersKeepTheQualityTarget(t *testing.T) {
	l := NewLearner()
	subject := Subject{Account: "a", Class: "c", Version: "small"}
	for n := range 200 {
		l.Rated(subject, n%5 != 0)
	}
	choice := StageChoice{
		Subject: subject, StrongSubject: Subject{Account: "a", Class: "c", Version: "large"}, Cheap: 10, Strong: 100,
		HasJudge: true, Quality: 0.9, Now: noon, Deadline: noon.Add(time.Minute),
	}
	given, trusted := 0.0, 0
	const requests = 2000
	for range requests {
		quality := 0.99
		if l.Choose(choice) == TrustStage {
			trusted++
			quality = 0.8
		}
		l.RecordQuality("a", quality)
		given += quality
	}
	require.Greater(t, trusted, requests/10)
	require.GreaterOrEqual(t, given/requests, 0.9)
}

// TestSessionKeepsItsPinnedVersion checks that a session's pinned version stays as long as it may be used.
func TestSessionKeepsItsPinnedVersion(t *testing.T) {
	revision := benchRevision(t)
	for _, pinned := range []willowwick.VersionID{"small-1", "small-2"} {
		version, refusal := ChooseVersion(revision, VersionQuery{Account: "a", Model: "small", Seed: "s", Pinned: pinned, Confirmed: true, Now: noon})
		require.Nil(t, refusal)
		require.Equal(t, pinned, version)
	}
	_, refusal := ChooseVersion(revision, VersionQuery{Account: "a", Model: "small", Seed: "s", Pinned: "small-2", Now: noon})
	require.Equal(t, willowwick.CodeStaleConfiguration, refusal.Code, "a box without a confirmed configuration uses no version that is rolling out")
	bad := func(v willowwick.VersionID) bool { return v == "small-2" }
	version, refusal := ChooseVersion(revision, VersionQuery{Account: "a", Model: "small", Seed: "s", Pinned: "small-2", Confirmed: true, Stopped: bad, Now: noon})
	require.Nil(t, refusal)
	require.Equal(t, willowwick.VersionID("small-1"), version)
}

// TestFinishedRequestsTakeNoSlots checks that many short requests between two load reports do not make an idle runner
// look full.
func TestFinishedRequestsTakeNoSlots(t *testing.T) {
	pool := NewPool(NewPowerOfTwo("hall", true, 1))
	pool.Update([]willowwick.Endpoint{{ID: "r", Versions: []willowwick.VersionID{"v"}}})
	pool.Report(willowwick.EndpointLoad{Endpoint: "r", Slots: 4, At: noon})
	for range 100 {
		slot, _ := pool.AcquireVersion(noon, "v", 0, nil)
		require.NotNil(t, slot)
		slot.Release(noon, OutcomeGood)
	}
}

// A runner that stops responding looks idle, so it must be avoided before its requests fail.
func TestSilentEndpointIsAvoidedBeforeItsRequestsFail(t *testing.T) {
	now := time.Unix(0, 0)
	pool := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "h"}, 1), PoolOptions{StartLimit: 64, FallBackToEjected: true, SilentAfter: 300 * time.Millisecond})
	pool.Update([]willowwick.Endpoint{{ID: "dead", Service: "s", Hall: "h"}, {ID: "live", Service: "s", Hall: "h"}})
	var dead, live []*Slot
	for len(dead) == 0 || len(live) == 0 {
		slot, _ := pool.AcquireService(now, "s", nil)
		if slot.Endpoint.ID == "dead" {
			dead = append(dead, slot)
		} else {
			live = append(live, slot)
		}
	}
	now = now.Add(400 * time.Millisecond)
	live[0].MarkAlive(now)
	for range 20 {
		slot, _ := pool.AcquireService(now, "s", nil)
		require.Equal(t, willowwick.EndpointID("live"), slot.Endpoint.ID)
	}
	for _, slot := range dead {
		slot.Release(now, OutcomeFailed)
	}
}

func TestEjectedEndpointIsProbedByOneRequestAndEjectedLonger(t *testing.T) {
	now := time.Unix(0, 0)
	pool := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "h"}, 1), PoolOptions{StartLimit: 64, SilentAfter: 300 * time.Millisecond})
	pool.Update([]willowwick.Endpoint{{ID: "e", Service: "s", Hall: "h"}})
	fail := func() {
		slot, _ := pool.AcquireService(now, "s", nil)
		require.NotNil(t, slot)
		slot.Release(now, OutcomeFailed)
	}
	for range ejectAfterFailures {
		fail()
	}
	slot, known := pool.AcquireService(now, "s", nil)
	require.Nil(t, slot)
	require.True(t, known)
	now = now.Add(baseEjection)
	trial, _ := pool.AcquireService(now, "s", nil)
	require.NotNil(t, trial)
	second, _ := pool.AcquireService(now, "s", nil)
	require.Nil(t, second, "one request probes the endpoint")
	trial.Release(now, OutcomeFailed)
	slot, _ = pool.AcquireService(now.Add(baseEjection), "s", nil)
	require.Nil(t, slot, "each ejection lasts longer")
	now = now.Add(2 * baseEjection)
	trial, _ = pool.AcquireService(now, "s", nil)
	require.NotNil(t, trial)
	trial.Release(now, OutcomeGood)
	for range 3 {
		slot, _ = pool.AcquireService(now, "s", nil)
		require.NotNil(t, slot)
	}
}

// A refused connection shows that nothing listens at the address, so later requests must not try it.
func TestUnreachableEndpointIsEjectedAtOnce(t *testing.T) {
	p := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "hall-a"}, 1), PoolOptions{FallBackToEjected: true})
	p.Update([]willowwick.Endpoint{
		{ID: "crashed", Hall: "hall-a", Service: "work", Slots: 8}, {ID: "live", Hall: "hall-b", Service: "work", Slots: 8},
	})
	now := time.Now()
	every := func(willowwick.Endpoint) bool { return true }
	slot, _ := p.AcquireAllowed(now, "work", Work{}, nil, every)
	require.Equal(t, willowwick.EndpointID("crashed"), slot.Endpoint.ID)
	slot.Release(now, OutcomeUnreachable)
	for range 20 {
		slot, _ = p.AcquireAllowed(now, "work", Work{}, nil, every)
		require.Equal(t, willowwick.EndpointID("live"), slot.Endpoint.ID)
		slot.Release(now, OutcomeGood)
	}
	slot, _ = p.AcquireAllowed(now, "work", Work{}, map[willowwick.EndpointID]bool{"live": true}, every)
	require.Equal(t, willowwick.EndpointID("crashed"), slot.Endpoint.ID, "the last endpoint is still tried")
}

// An endpoint whose failures are forgotten gets as many requests as a new one.
func TestEndpointGetsRequestsAgainOnceItsFailuresAreForgotten(t *testing.T) {
	const limit = 8
	p := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "hall-a"}, 1), PoolOptions{StartLimit: limit})
	p.Update([]willowwick.Endpoint{{ID: "e", Hall: "hall-a", Service: "work", Slots: limit}})
	now := time.Now()
	every := func(willowwick.Endpoint) bool { return true }
	for range 2 {
		slot, _ := p.AcquireAllowed(now, "work", Work{}, nil, every)
		require.NotNil(t, slot)
		slot.Release(now, OutcomeUnreachable)
		p.ForgetFailures()
	}
	for range limit {
		slot, _ := p.AcquireAllowed(now, "work", Work{}, nil, every)
		require.NotNil(t, slot)
	}
}
