package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/policy"
	"github.com/willowwick/willowwick/ratelimit"
)

func benchRevision(tb testing.TB) *config.Revision {
	tb.Helper()
	change := &config.Change{ID: "bench"}
	for _, object := range []struct {
		kind config.Kind
		name string
		spec any
	}{
		{config.KindModel, "small", &config.Model{Settled: "small-1"}},
		{config.KindVersion, "small-1", &config.Version{Model: "small"}},
		{config.KindVersion, "small-2", &config.Version{Model: "small"}},
		{config.KindRollout, "roll", &config.Rollout{Model: "small", From: "small-1", To: "small-2", Steps: []float64{20, 100}, MinRequests: 10}},
		{config.KindCascade, "both", &config.Cascade{Stages: []willowwick.ModelID{"small"}, Judge: config.JudgeLearned}},
		{config.KindPolicy, "rules", &config.Policy{Spec: policy.Spec{
			Let: []policy.Binding{{Name: "long", Value: "prompt_tokens > 4000"}},
			Rules: []policy.Rule{
				{When: `class == "explain" && long`, Then: policy.Action{Model: "small"}},
				{When: "seconds_left < 2.0", Then: policy.Action{Cascade: "both"}},
			},
		}}},
		{config.KindClientAccount, "a", &config.ClientAccount{
			Keys: []string{config.HashKey("a")}, Allow: []string{"small"}, Default: "both", Policy: "rules",
		}},
	} {
		made, err := config.NewObject(object.kind, object.name, object.spec)
		require.NoError(tb, err)
		change.Objects = append(change.Objects, made)
	}
	data, err := config.Record{Kind: config.RecordChange, Change: change}.Encode()
	require.NoError(tb, err)
	state, err := config.Fold(config.NewState(), willowwick.Entry{Offset: 1, Data: data})
	require.NoError(tb, err)
	require.True(tb, state.Audit[0].Accepted, state.Audit[0].Why)
	return config.NewRevision(state)
}

// BenchmarkDecision measures one whole decision: policy, plan, version and endpoint.
func BenchmarkDecision(b *testing.B) {
	for _, runners := range []int{18, 670, 2700} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			revision := benchRevision(b)
			pool := NewPool(NewPowerOfTwo("hall0", true, 1))
			var endpoints []willowwick.Endpoint
			for i := range runners {
				endpoints = append(endpoints, willowwick.Endpoint{
					ID: willowwick.EndpointID(fmt.Sprint("runner", i)), Hall: willowwick.HallID(fmt.Sprint("hall", i%6)),
					Versions: []willowwick.VersionID{"small-1", "small-2"},
				})
			}
			pool.Update(endpoints)
			now := time.Now()
			for i, endpoint := range endpoints {
				pool.Report(willowwick.EndpointLoad{Endpoint: endpoint.ID, Running: i % 40, Slots: 64, At: now})
			}
			request := &willowwick.Request{
				ID: "r", Account: "a", Class: "explain", Target: willowwick.TargetAuto, PromptTokens: 900, MaxTokens: 400,
				Deadline: now.Add(time.Minute),
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				plan, refusal := MakePlan(revision, request, now)
				if refusal != nil {
					b.Fatal(refusal)
				}
				version, refusal := ChooseVersion(revision, VersionQuery{
					Account: "a", Model: plan.Stages[0], Seed: "session", Confirmed: true, Now: now,
				})
				if refusal != nil {
					b.Fatal(refusal)
				}
				slot, _ := pool.AcquireVersion(now, version, uint64(n)<<40, nil)
				if slot == nil {
					b.Fatal("no slot")
				}
				slot.Release(now, OutcomeGood)
			}
		})
	}
}

// BenchmarkAcquire measures the choice of an endpoint for a long prompt by the prefill forecast, and the release of
// the slot.
func BenchmarkAcquire(b *testing.B) {
	for _, runners := range []int{18, 140, 670, 2700} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			pool := NewPoolWith(NewHallFirst(willowwick.Topology{Hall: "hall0"}, 1), PoolOptions{StartLimit: 64, FallBackToEjected: true, SilentAfter: time.Second, Limits: ratelimit.NewLedger()})
			var endpoints []willowwick.Endpoint
			for i := range runners {
				endpoints = append(endpoints, willowwick.Endpoint{
					ID: willowwick.EndpointID(fmt.Sprint("runner", i)), Service: "s", Hall: willowwick.HallID(fmt.Sprint("hall", i%6)),
				})
			}
			pool.Update(endpoints)
			pool.speeds[speedKey{"s", "m"}] = &prefillSpeed{seconds: 0.1, tokens: 1000}
			now := noon
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				now = now.Add(time.Millisecond)
				work := Work{Model: "m", Prompt: []willowwick.PromptPart{{ID: "common", Tokens: 2520}, {ID: fmt.Sprint("subject", n%50), Tokens: 3780}, {ID: "own", Tokens: 2890}}}
				slot, _ := pool.AcquireAllowed(now, "s", work, nil, all)
				slot.Sent(now)
				slot.AnswerStarted(now)
				slot.Release(now, OutcomeGood)
			}
		})
	}
}
