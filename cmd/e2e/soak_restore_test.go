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
	// evacuatedHall is the hall that is evacuated, and evacuationLimit is how long boxes may still send to its endpoints.
	evacuatedHall   = "hall-far"
	evacuationLimit = 5 * time.Second
	// maxRewriteTime is the longest time in which the operator rewrites what the store lost.
	maxRewriteTime = 2 * time.Second
	// maxCopyAge is the largest age of the copy.
	maxCopyAge = 3 * time.Second
)

// storeRestores restores the store of a site from copies and evacuates a hall.
type storeRestores struct {
	site      *soakSite
	restoring sync.Mutex // held during a restore, so that restores don't overlap

	mu          sync.Mutex
	evacuations []interval // from the acknowledged write until the evacuation was canceled
}

// TestSoakStoreRestore restores the store from copies, sometimes twice within seconds, during evacuations, configuration
// changes and faults of boxes, their links and the store.
func TestSoakStoreRestore(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		s := &storeRestores{site: &soakSite{t: t, store: standin.NewStore(), keysKept: 1}}
		s.site.store.SetEra(1)
		startSoakSite(s.site, *soakBoxes, hallCount(seed), runnersPerService)
		for _, service := range []string{"llm", "app"} {
			s.site.addRunnerInHall(evacuatedHall, service+"-far", service, "v1")
		}
		runPlan(s.site, s.newPlan(seed, *soakLength), seed, s.site.drawAny, s.check)
	})
}

// newPlan draws the events of a soak with restores.
func (s *storeRestores) newPlan(seed uint64, length time.Duration) *faultPlan {
	p := &faultPlan{site: s.site, random: rand.New(rand.NewPCG(seed, seed+4)), length: length}
	kinds := []func(time.Duration){
		p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.silenceBoxConns, p.silenceStoreConns, p.compactStore, p.reconfigure,
		p.reconfigureInBurst, p.drainEndpoint, p.crashEndpoint, p.loseStoreReplies,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+p.random.IntN(1500)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	for range 2 {
		s.restore(p, time.Duration(p.random.Int64N(int64(length))))
	}
	for at := time.Duration(0); at < length; at += time.Duration(1000+p.random.IntN(3000)) * time.Millisecond {
		s.toggleEvacuation(p, at)
	}
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// restore takes the store down for a moment and restores it from a copy, once or twice from the same one. Lost records
// are rewritten in random order.
func (s *storeRestores) restore(p *faultPlan, at time.Duration) {
	age := time.Duration(p.random.Int64N(int64(maxCopyAge)))
	downtime := time.Duration(100+p.random.IntN(1400)) * time.Millisecond
	rewriteTime := time.Duration(p.random.Int64N(int64(maxRewriteTime)))
	times := 1 + p.random.IntN(2)
	order := rand.New(rand.NewPCG(p.random.Uint64(), 0))
	p.add(at, fmt.Sprintf("store is restored from a copy %s old, after an outage of %s, %d times; rewritten within %s", age, downtime, times, rewriteTime), func() {
		s.restoring.Lock()
		defer s.restoring.Unlock()
		s.site.store.SaveBackup()
		time.Sleep(age)
		defer p.storeOutages.begin()()
		for range times {
			s.site.store.SetFaults(standin.StoreFaults{Down: true})
			time.Sleep(downtime)
			lost := s.site.store.RestoreBackup()
			s.site.store.SetFaults(standin.StoreFaults{})
			order.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
			for _, record := range lost {
				time.Sleep(rewriteTime / time.Duration(len(lost)))
				s.site.store.RewriteRecords(record)
			}
		}
	})
}

// toggleEvacuation declares the hall evacuated, or cancels its evacuation.
func (s *storeRestores) toggleEvacuation(p *faultPlan, at time.Duration) {
	p.add(at, "evacuation is declared or canceled", func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		last := len(s.evacuations) - 1
		isEvacuated := last >= 0 && s.evacuations[last].to.IsZero()
		var value any = map[string]any{}
		if isEvacuated {
			s.evacuations[last].to = time.Now()
			value = nil
		}
		if err := s.site.store.Put("keyed.op", "evacuate/"+evacuatedHall, value); err != nil {
			s.site.t.Error(err)
		}
		if !isEvacuated {
			s.evacuations = append(s.evacuations, interval{from: time.Now()})
		}
	})
}

// check checks that undisturbed boxes send nothing to endpoints of an evacuated hall.
func (s *storeRestores) check(c *checker, requests []*soakRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range requests {
		for _, run := range c.runs[r.id] {
			if run.runner.hall == evacuatedHall && s.isEvacuated(run.At) && c.site.boxes[r.box].isUndisturbed(run.At, run.At) && c.plan.storeOutages.isClear(run.At, run.At) {
				c.reportRequest(r, fmt.Sprintf("ran at %s in an evacuated hall at %.3f s", run.runner.id, run.At.Sub(c.site.started).Seconds()))
			}
		}
	}
}

// isEvacuated reports whether the hall had been evacuated for longer than evacuationLimit. The caller holds the lock.
func (s *storeRestores) isEvacuated(at time.Time) bool {
	return slices.ContainsFunc(s.evacuations, func(i interval) bool {
		return at.After(i.from.Add(evacuationLimit)) && (i.to.IsZero() || at.Before(i.to))
	})
}
