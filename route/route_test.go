package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// TestSharesNeverExceedTheLimit: whatever the demand, and whoever is cut off from whom, the boxes' shares of a limit
// do not add up to more than the whole.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		boxes := rapid.IntRange(1, 8).Draw(rt, "boxes")
		side := make([]int, boxes) // boxes of one side hear each other
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
				share = limiter.equal
			}
			total += share
		}
		require.LessOrEqual(rt, total, 1.000001)
	})
}

// TestSharesNeverExceedTheLimitWhileDemandChanges: the boxes hear of each other's demand some seconds late.
func TestSharesNeverExceedTheLimitWhileDemandChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const boxes, ticks = 3, 60
		limiters := make([]*AccountLimiter, boxes)
		delay := make([]int, boxes) // seconds until the others hear of a box's demand
		told := make([][]Demand, boxes)
		for i := range boxes {
			limiters[i] = NewAccountLimiter()
			delay[i] = rapid.IntRange(0, 7).Draw(rt, "delay")
		}
		asked := make([]int, boxes)
		for tick := range ticks {
			now := noon.Add(time.Duration(tick) * time.Second)
			for i, limiter := range limiters {
				if rapid.IntRange(0, 5).Draw(rt, "turn") == 0 {
					asked[i] = rapid.SampledFrom([]int{0, 10, 1000}).Draw(rt, "asked")
				}
				if asked[i] > 0 {
					limiter.asked["a"] += float64(asked[i])
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
					share = limiter.equal
				}
				total += share
			}
			require.LessOrEqual(rt, total, 1.000001, "second %d", tick)
		}
	})
}

// TestQueueIsFair: under a flood, an account's share of the work follows its weight.
func TestQueueIsFair(t *testing.T) {
	q := NewQueue()
	for range 400 {
		for account, cost := range map[willowwick.AccountID]willowwick.Tokens{"heavy": 4000, "light": 200} {
			_, ok := q.Push(noon, &Waiter{Account: account, Weight: 1, Cost: cost, Deadline: noon.Add(time.Hour)})
			if !ok {
				q.Served(4000, time.Second)
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

// TestBucketKeepsItsRate over any pattern of takes.
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

// TestCascadeChoices: trust, try and skip, by what was learnt, the judge and the deadline.
func TestCascadeChoices(t *testing.T) {
	subject := Subject{Account: "a", Class: "c", Version: "small"}
	choice := StageChoice{
		Subject: subject, StrongOf: Subject{Account: "a", Class: "c", Version: "large"}, Cheap: 10, Strong: 100,
		Judged: true, Quality: 0.9, Now: noon, Deadline: noon.Add(time.Minute),
	}
	l := NewLearner()
	require.Equal(t, TryStage, l.Choose(choice), "nothing is known")
	unjudged := choice
	unjudged.Judged = false
	require.Equal(t, SkipStage, l.Choose(unjudged), "nothing is known, and nobody judges")
	for range 300 {
		l.Rated(subject, true)
	}
	require.Equal(t, TrustStage, l.Choose(unjudged), "it always passes")
	for range 1500 {
		l.Rated(subject, false)
	}
	require.Equal(t, SkipStage, l.Choose(choice), "it hardly ever passes")
	l = NewLearner()
	l.Took(subject, 40*time.Second)
	l.Took(choice.StrongOf, 40*time.Second)
	require.Equal(t, SkipStage, l.Choose(choice), "there is no time for both")
}

// TestTrustBySlackKeepsTheTarget: an account far above its target is given unjudged answers, and stays above it.
func TestTrustBySlackKeepsTheTarget(t *testing.T) {
	l := NewLearner()
	subject := Subject{Account: "a", Class: "c", Version: "small"}
	for n := range 200 {
		l.Rated(subject, n%5 != 0)
	}
	choice := StageChoice{
		Subject: subject, StrongOf: Subject{Account: "a", Class: "c", Version: "large"}, Cheap: 10, Strong: 100,
		Judged: true, Quality: 0.9, Now: noon, Deadline: noon.Add(time.Minute),
	}
	given, trusted := 0.0, 0
	const requests = 2000
	for range requests {
		quality := 0.99
		if l.Choose(choice) == TrustStage {
			trusted++
			quality = 0.8
		}
		l.Gave("a", quality)
		given += quality
	}
	require.Greater(t, trusted, requests/10)
	require.GreaterOrEqual(t, given/requests, 0.9)
}

// TestSessionNeverMovesWithoutCause: over any steps and withdrawals, a pinned version stays while it may be used.
func TestSessionNeverMovesWithoutCause(t *testing.T) {
	revision := benchRevision(t)
	for _, pinned := range []willowwick.VersionID{"small-1", "small-2"} {
		version, refusal := ChooseVersion(revision, VersionQuery{Account: "a", Model: "small", Seed: "s", Pinned: pinned, Confirmed: true, Now: noon})
		require.Nil(t, refusal)
		require.Equal(t, pinned, version)
	}
	_, refusal := ChooseVersion(revision, VersionQuery{Account: "a", Model: "small", Seed: "s", Pinned: "small-2", Now: noon})
	require.Equal(t, willowwick.CodeStaleConfiguration, refusal.Code, "an unconfirmed box gives nothing to a version that rolls out")
	bad := func(v willowwick.VersionID) bool { return v == "small-2" }
	version, refusal := ChooseVersion(revision, VersionQuery{Account: "a", Model: "small", Seed: "s", Pinned: "small-2", Confirmed: true, Stopped: bad, Now: noon})
	require.Nil(t, refusal)
	require.Equal(t, willowwick.VersionID("small-1"), version)
}

// TestEndedRequestsTakeNoSlots: many short requests between two load reports do not make an idle runner look full.
func TestEndedRequestsTakeNoSlots(t *testing.T) {
	pool := NewPool(NewPowerOfTwo("hall", true, 1))
	pool.Update([]willowwick.Endpoint{{ID: "r", Versions: []willowwick.VersionID{"v"}}})
	pool.Report(willowwick.EndpointLoad{Endpoint: "r", Slots: 4, At: noon})
	for range 100 {
		place, _ := pool.AcquireVersion(noon, "v", 0, nil)
		require.NotNil(t, place)
		place.Release(noon, OutcomeGood)
	}
}

// A runner that had gone without a word once got request after request, since it looked idle.
func TestSilentEndpointIsAvoidedBeforeItsRequestsFail(t *testing.T) {
	now := time.Unix(0, 0)
	pool := NewPoolWith(NewHallFirst("h", 1), PoolOptions{StartLimit: 64, TrustLast: true, QuietAfter: 300 * time.Millisecond})
	pool.Update([]willowwick.Endpoint{{ID: "dead", Service: "s", Hall: "h"}, {ID: "live", Service: "s", Hall: "h"}})
	var dead, live []*Place
	for len(dead) == 0 || len(live) == 0 {
		place, _ := pool.AcquireService(now, "s", nil)
		if place.Endpoint.ID == "dead" {
			dead = append(dead, place)
		} else {
			live = append(live, place)
		}
	}
	now = now.Add(400 * time.Millisecond)
	live[0].Heard(now)
	for range 20 {
		place, _ := pool.AcquireService(now, "s", nil)
		require.Equal(t, willowwick.EndpointID("live"), place.Endpoint.ID)
	}
	for _, place := range dead {
		place.Release(now, OutcomeFailed)
	}
}

func TestEndpointUnderSuspicionIsTriedByOneRequestAndLonger(t *testing.T) {
	now := time.Unix(0, 0)
	pool := NewPoolWith(NewHallFirst("h", 1), PoolOptions{StartLimit: 64, QuietAfter: 300 * time.Millisecond})
	pool.Update([]willowwick.Endpoint{{ID: "e", Service: "s", Hall: "h"}})
	fail := func() {
		place, _ := pool.AcquireService(now, "s", nil)
		require.NotNil(t, place)
		place.Release(now, OutcomeFailed)
	}
	for range suspectAfter {
		fail()
	}
	place, known := pool.AcquireService(now, "s", nil)
	require.Nil(t, place)
	require.True(t, known)
	now = now.Add(suspectFor)
	trial, _ := pool.AcquireService(now, "s", nil)
	require.NotNil(t, trial)
	second, _ := pool.AcquireService(now, "s", nil)
	require.Nil(t, second, "one request tries the endpoint")
	trial.Release(now, OutcomeFailed)
	place, _ = pool.AcquireService(now.Add(suspectFor), "s", nil)
	require.Nil(t, place, "the suspicion lasts longer each time")
	now = now.Add(2 * suspectFor)
	trial, _ = pool.AcquireService(now, "s", nil)
	require.NotNil(t, trial)
	trial.Release(now, OutcomeGood)
	for range 3 {
		place, _ = pool.AcquireService(now, "s", nil)
		require.NotNil(t, place)
	}
}

// One connection that is refused shows that nothing listens there, so the requests after it are spared the same.
func TestAnEndpointThatRefusesConnectionsIsLeftAtOnce(t *testing.T) {
	p := NewPoolWith(NewHallFirst("hall-a", 1), PoolOptions{TrustLast: true})
	p.Update([]willowwick.Endpoint{
		{ID: "ended", Hall: "hall-a", Service: "work", Slots: 8}, {ID: "living", Hall: "hall-b", Service: "work", Slots: 8},
	})
	now := time.Now()
	every := func(willowwick.Endpoint) bool { return true }
	place, _ := p.AcquireAllowed(now, "work", Work{}, nil, every)
	require.Equal(t, willowwick.EndpointID("ended"), place.Endpoint.ID)
	place.Release(now, OutcomeUnreached)
	for range 20 {
		place, _ = p.AcquireAllowed(now, "work", Work{}, nil, every)
		require.Equal(t, willowwick.EndpointID("living"), place.Endpoint.ID)
		place.Release(now, OutcomeGood)
	}
	place, _ = p.AcquireAllowed(now, "work", Work{}, map[willowwick.EndpointID]bool{"living": true}, every)
	require.Equal(t, willowwick.EndpointID("ended"), place.Endpoint.ID, "the last one is tried all the same")
}
