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
	// farHall is the hall that is evacuated, and evacuationLimit how long boxes may still send to its endpoints then.
	farHall         = "hall-far"
	evacuationLimit = 5 * time.Second
	// maxRewriteTime is how long the operator takes at most to write again what the store lost.
	maxRewriteTime = 2 * time.Second
	// maxCopyAge is how much the copy may lack.
	maxCopyAge = 3 * time.Second
)

// copies is a store that comes back from copies of itself beside an operator that evacuates a hall.
type storeRestores struct {
	site      *soakSite
	restoring sync.Mutex // one return after the other

	mu        sync.Mutex
	evacuated []interval // from the acknowledgement until the hall was taken back
}

// TestSoakStoreRestore plays returns of the store from a copy, two within seconds among them, beside evacuations, configurations and
// faults of boxes, their links and the store.
func TestSoakStoreRestore(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		c := &storeRestores{site: &soakSite{t: t, store: standin.NewStore(), keysKept: 1}}
		c.site.store.SetEra(1)
		startSoakSite(c.site, *soakBoxes, hallCount(seed), runnersPerService)
		for _, service := range []string{"llm", "app"} {
			c.site.addRunnerIn(farHall, service+"-far", service, "v1")
		}
		runPlan(c.site, c.newPlan(seed, *soakLength), seed, c.site.drawAny, c.check)
	})
}

// newPlan draws the events of such a soak.
func (c *storeRestores) newPlan(seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: c.site, random: rand.New(rand.NewPCG(seed, seed+4)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.disruptStoreLink, a.takeStoreDown, a.silenceBoxConns, a.silenceStoreConns, a.compactStore, a.reconfigure,
		a.reconfigureInBurst, a.drainEndpoint, a.crashEndpoint, a.loseStoreReplies,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	for range 2 {
		c.restore(a, time.Duration(a.random.Int64N(int64(length))))
	}
	for at := time.Duration(0); at < length; at += time.Duration(1000+a.random.IntN(3000)) * time.Millisecond {
		c.toggleEvacuation(a, at)
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// restore takes the store away for a moment and brings it back from a copy, once or twice from the same one.
func (c *storeRestores) restore(a *faultPlan, at time.Duration) {
	age := time.Duration(a.random.Int64N(int64(maxCopyAge)))
	away := time.Duration(100+a.random.IntN(1400)) * time.Millisecond
	rewrite := time.Duration(a.random.Int64N(int64(maxRewriteTime)))
	times := 1 + a.random.IntN(2)
	order := rand.New(rand.NewPCG(a.random.Uint64(), 0))
	a.add(at, fmt.Sprintf("store comes back from a copy %s old, after %s, %d times; written again within %s", age, away, times, rewrite), func() {
		c.restoring.Lock()
		defer c.restoring.Unlock()
		c.site.store.TakeCopy()
		time.Sleep(age)
		defer a.storeOutages.begin()()
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

// toggleEvacuation declares the hall evacuated, or takes it back where it is.
func (c *storeRestores) toggleEvacuation(a *faultPlan, at time.Duration) {
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
			c.evacuated = append(c.evacuated, interval{from: time.Now()})
		}
	})
}

// check: boxes that are in touch send nothing to endpoints of an evacuated hall.
func (c *storeRestores) check(j *checker, requests []*soakRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range requests {
		for _, run := range j.runs[a.id] {
			if run.runner.hall == farHall && c.isEvacuated(run.At) && j.site.boxes[a.box].isUndisturbed(run.At, run.At) && j.plan.storeOutages.isClear(run.At, run.At) {
				j.reportRequest(a, fmt.Sprintf("ran at %s in an evacuated hall at %.3f s", run.runner.id, run.At.Sub(j.site.started).Seconds()))
			}
		}
	}
}

// isEvacuated reports whether the hall had been evacuated for longer than boxes may take; the caller holds the lock.
func (c *storeRestores) isEvacuated(at time.Time) bool {
	return slices.ContainsFunc(c.evacuated, func(s interval) bool {
		return at.After(s.from.Add(evacuationLimit)) && (s.to.IsZero() || at.Before(s.to))
	})
}
