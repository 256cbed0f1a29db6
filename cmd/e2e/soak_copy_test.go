package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// farHall is the hall that is evacuated, and evacuatedWithin how long boxes may still send to its endpoints then.
	farHall         = "hall-far"
	evacuatedWithin = 5 * time.Second
	// rewriteMost is how long the operator takes at most to write again what the store lost.
	rewriteMost = 2 * time.Second
	// copyOldest is how much the copy may lack.
	copyOldest = 3 * time.Second
)

// copies is a store that comes back from copies of itself beside an operator that evacuates a hall.
type copies struct {
	site   *soakSite
	drills sync.Mutex // one return after the other

	mu        sync.Mutex
	evacuated []span // from the acknowledgement until the hall was taken back
}

// TestSoakOfCopies plays returns of the store from a copy, two within seconds among them, beside evacuations, configurations and
// faults of boxes, their links and the store.
func TestSoakOfCopies(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		c := &copies{site: &soakSite{t: t, store: standin.NewStore(), keysKept: 1}}
		c.site.store.SetEra(1)
		startSoakSite(c.site, *soakBoxes, hallsOf(seed), soakRunners)
		for _, service := range []string{"llm", "app"} {
			c.site.addRunnerIn(farHall, service+"-far", service, "v1")
		}
		playSoak(c.site, c.newPlan(seed, *soakLength), seed, c.site.drawAny, c.check)
	})
}

// newPlan draws the events of such a soak.
func (c *copies) newPlan(seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: c.site, random: rand.New(rand.NewPCG(seed, seed+4)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.harmStoreLink, a.storeAway, a.loseBoxConns, a.loseStoreConns, a.storeForgets, a.reconfigure,
		a.reconfigureOften, a.endpointLeaves, a.endpointCrashes, a.storeLosesAnswers,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	for range 2 {
		c.comeBack(a, time.Duration(a.random.Int64N(int64(length))))
	}
	for at := time.Duration(0); at < length; at += time.Duration(1000+a.random.IntN(3000)) * time.Millisecond {
		c.evacuate(a, at)
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// comeBack takes the store away for a moment and brings it back from a copy, once or twice from the same one.
func (c *copies) comeBack(a *faultPlan, at time.Duration) {
	age := time.Duration(a.random.Int64N(int64(copyOldest)))
	away := time.Duration(100+a.random.IntN(1400)) * time.Millisecond
	rewrite := time.Duration(a.random.Int64N(int64(rewriteMost)))
	times := 1 + a.random.IntN(2)
	order := rand.New(rand.NewPCG(a.random.Uint64(), 0))
	a.add(at, fmt.Sprintf("store comes back from a copy %s old, after %s, %d times; written again within %s", age, away, times, rewrite), func() {
		c.drills.Lock()
		defer c.drills.Unlock()
		c.site.store.TakeCopy()
		time.Sleep(age)
		defer a.storeDown.begin()()
		for range times {
			c.site.store.SetFaults(standin.StoreFaults{Down: true})
			time.Sleep(away)
			lost := c.site.store.ComeBack()
			c.site.store.SetFaults(standin.StoreFaults{})
			order.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
			for _, record := range lost {
				time.Sleep(rewrite / time.Duration(len(lost)))
				c.site.store.WriteAgain(record)
			}
		}
	})
}

// evacuate declares the hall evacuated, or takes it back where it is.
func (c *copies) evacuate(a *faultPlan, at time.Duration) {
	a.add(at, "evacuation is declared or taken back", func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		last := len(c.evacuated) - 1
		isEvacuated := last >= 0 && c.evacuated[last].to.IsZero()
		var value any = map[string]any{}
		if isEvacuated {
			c.evacuated[last].to = time.Now()
			value = nil
		}
		if err := c.site.store.Put("keyed.op", "evacuate/"+farHall, value); err != nil {
			c.site.t.Error(err)
		}
		if !isEvacuated {
			c.evacuated = append(c.evacuated, span{from: time.Now()})
		}
	})
}

// check: boxes that are in touch send nothing to endpoints of an evacuated hall.
func (c *copies) check(j *judge, requests []*soakRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range requests {
		for _, run := range j.runs[a.id] {
			if run.at.hall == farHall && c.isEvacuated(run.At) && j.site.boxes[a.box].isUndisturbed(run.At, run.At) && j.agenda.storeDown.isQuiet(run.At, run.At) {
				j.tell(a, fmt.Sprintf("ran at %s in an evacuated hall at %.3f s", run.at.id, run.At.Sub(j.site.started).Seconds()))
			}
		}
	}
}

// isEvacuated reports whether the hall had been evacuated for longer than boxes may take; the caller holds the lock.
func (c *copies) isEvacuated(at time.Time) bool {
	return slices.ContainsFunc(c.evacuated, func(s span) bool {
		return at.After(s.from.Add(evacuatedWithin)) && (s.to.IsZero() || at.Before(s.to))
	})
}
