package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

var testKinds = []Kind{"long", "short", "plain"}

// simulateKinds observes one new answer of each kind per tick, and returns how many answers it took to find the
// version bad.
func simulateKinds(seed uint64, version rates, ticks int) (answers int, found bool) {
	random := rand.New(rand.NewPCG(seed, seed))
	p := NewKindMonitor("new")
	for range ticks {
		evidence := map[Kind]KindEvidence{}
		var all Evidence
		for _, kind := range testKinds {
			others := sample(random, oldPerTick, baselineRates, ratedEvery)
			evidence[kind] = KindEvidence{Version: sample(random, 1, version, 1), Others: others}
			all = all.Add(others)
		}
		answers += len(testKinds)
		if finding, _ := p.Observe(evidence, all); finding.Bad {
			return answers, true
		}
	}
	return answers, false
}

func TestKindMonitorFindsVersionBadForAllKinds(t *testing.T) {
	bad := baselineRates
	bad[SignalErrors] = 0.4
	total := 0
	for seed := range uint64(trials) {
		answers, found := simulateKinds(seed, bad, 100)
		assert.True(t, found)
		total += answers
	}
	assert.Less(t, total/trials, 30)
}

func TestKindMonitorRarelyBlamesAGoodVersion(t *testing.T) {
	blamed := 0
	for seed := range uint64(trials) {
		if _, found := simulateKinds(seed, baselineRates, trialTicks); found {
			blamed++
		}
	}
	assert.LessOrEqual(t, blamed, trials/50)
}

// A version may be bad for one kind of request only; the other kinds must not hide it.
func TestKindMonitorFindsVersionBadForOneKind(t *testing.T) {
	p := NewKindMonitor("new")
	good := Evidence{Requests: 300}
	evidence := map[Kind]KindEvidence{}
	for _, kind := range testKinds {
		evidence[kind] = KindEvidence{Version: Evidence{Requests: 50}, Others: good}
	}
	evidence["short"] = KindEvidence{Version: Evidence{Requests: 20, Errors: 10}, Others: good}
	finding, kind := p.Observe(evidence, good)
	assert.True(t, finding.Bad)
	assert.Equal(t, Kind("short"), kind)
}
