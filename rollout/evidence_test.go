package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	trials     = 200
	trialTicks = 400
	oldPerTick = 20
	newPerTick = 4
	ratedEvery = 10 // one in this many answers of the old version is rated
)

// rates holds the true shares of bad answers.
type rates [signalCount]float64

var baselineRates = rates{SignalErrors: 0.01, SignalSlow: 0.03, SignalLow: 0.3}

func sample(random *rand.Rand, n int, r rates, rated int) Evidence {
	e := Evidence{}
	for i := range n {
		e.Requests++
		switch {
		case random.Float64() < r[SignalErrors]:
			e.Errors++
			continue
		case random.Float64() < r[SignalSlow]:
			e.Slow++
		}
		if i%rated == 0 {
			e.Rated++
			if random.Float64() < r[SignalLow] {
				e.Low++
			}
		}
	}
	return e
}

// simulateRollout runs one roll-out and returns how many requests it took to find the version bad, whether it was
// found bad, and whether it was found good.
func simulateRollout(seed uint64, before, after rates, turnsAt int) (requests int, found bool, good bool) {
	random := rand.New(rand.NewPCG(seed, seed))
	m := NewMonitor("new")
	for tick := range trialTicks {
		r := before
		if tick >= turnsAt {
			r = after
		}
		others := sample(random, oldPerTick, baselineRates, ratedEvery)
		finding := m.Observe(sample(random, newPerTick, r, 1), others, others)
		good = good || finding.Good
		if tick >= turnsAt {
			requests += newPerTick
		}
		if finding.Bad {
			return requests, true, good
		}
	}
	return requests, false, good
}

func TestGoodRolloutIsNotWithdrawn(t *testing.T) {
	withdrawn, cleared := 0, 0
	for seed := range uint64(trials) {
		_, found, good := simulateRollout(seed, baselineRates, baselineRates, trialTicks)
		if found {
			withdrawn++
		}
		if good {
			cleared++
		}
	}
	t.Logf("%d of %d good roll-outs of %d requests withdrawn, %d found good", withdrawn, trials, trialTicks*newPerTick, cleared)
	require.LessOrEqual(t, withdrawn, trials/100)
	require.Greater(t, cleared, trials*9/10)
}

func TestBadVersionIsFoundSoon(t *testing.T) {
	for name, bad := range map[string]rates{
		"errors":      {SignalErrors: 0.2, SignalSlow: 0.03, SignalLow: 0.3},
		"slow":        {SignalErrors: 0.01, SignalSlow: 0.5, SignalLow: 0.3},
		"low ratings": {SignalErrors: 0.01, SignalSlow: 0.03, SignalLow: 0.85},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0
			for seed := range uint64(trials) {
				requests, found, _ := simulateRollout(seed, baselineRates, bad, trialTicks/2)
				require.True(t, found, "seed %d", seed)
				total += requests
			}
			t.Logf("found after %d requests on average", total/trials)
			require.Less(t, total/trials, 90)
		})
	}
}

func TestFallingCountsAddNoEvidence(t *testing.T) {
	before := Evidence{Requests: 10, Errors: 2}
	require.Equal(t, Evidence{Requests: 3, Errors: 1}, Evidence{Requests: 13, Errors: 3}.Since(before))
	require.Equal(t, Evidence{}, Evidence{Requests: 4}.Since(before))
}

// TestFleetWideSlownessIsNotTakenForAFault checks that a version without a baseline is found bad if it alone is slow,
// but not if all other versions are slow, too.
func TestFleetWideSlownessIsNotTakenForAFault(t *testing.T) {
	for _, everywhere := range []bool{true, false} {
		m := NewMonitor("alone")
		m.Observe(Evidence{}, Evidence{Requests: 1000, Slow: 10}, Evidence{})
		all := Evidence{Requests: 100, Slow: 3}
		if everywhere {
			all.Slow = 40
		}
		bad := false
		for range 20 {
			bad = bad || m.Observe(Evidence{Requests: 20, Slow: 8}, Evidence{}, all).Bad
		}
		require.Equal(t, !everywhere, bad)
	}
}

// Guards against a slow version passing for good where the others answer seldom: no news of them doesn't tell that they are slow.
func TestOthersThatAnswerSeldomAreNotTakenForSlow(t *testing.T) {
	m := NewMonitor("slow")
	m.Observe(Evidence{}, Evidence{Requests: 200, Slow: 4}, Evidence{Requests: 200, Slow: 4})
	isBad := false
	for tick := range 60 {
		version, others := Evidence{}, Evidence{}
		if tick%2 == 0 {
			version = Evidence{Requests: 1, Slow: uint64(tick / 2 % 2)}
		}
		if tick%5 == 0 {
			others = Evidence{Requests: 1}
		}
		isBad = isBad || m.Observe(version, others, others).Bad
	}
	require.True(t, isBad)
}
