package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/willowwick/willowwick/standin"
)

type (
	// event is a fault, or planned work, of a soak.
	event struct {
		at   time.Duration // from the start of traffic
		name string
		run  func()
	}

	// faultPlan is what happens in a soak; the seed fixes it.
	faultPlan struct {
		site   *soakSite
		random *rand.Rand
		length time.Duration
		events []event

		storeOutages   intervals // the store was away, or connections of all boxes to it were lost
		endpointFaults intervals // endpoints or their links failed

		mu         sync.Mutex
		badRelease string // release of a roll-out whose answers are all failures; empty if there is none
	}
)

// newFaultPlan draws the events of a soak; they come in series and overlap.
func newFaultPlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed)), length: length}
	kinds := []func(time.Duration){
		a.terminate, a.kill, a.freeze, a.reload, a.disruptStoreLink, a.disruptEndpointLink, a.takeStoreDown, a.compactStore,
		a.loseStoreReplies, a.failEndpoint, a.drainEndpoint, a.crashEndpoint, a.reconfigure, a.reconfigureInBurst,
		a.silenceBoxConns, a.silenceStoreConns, a.silenceEndpointConns, a.loseStoreCalls, a.returnStoreSilent,
	}
	for at := 300 * time.Millisecond; at < length; at += time.Duration(100+a.random.IntN(900)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	if a.random.IntN(2) == 0 {
		a.rollOut(time.Duration(a.random.Int64N(int64(length / 2))))
	}
	a.addFinalConnLoss(length)
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

func (a *faultPlan) add(at time.Duration, name string, run func()) {
	a.events = append(a.events, event{at, name, run})
}

// play runs the events at their times and returns when all are over.
func (a *faultPlan) play(began time.Time) {
	var running sync.WaitGroup
	for _, e := range a.events {
		time.Sleep(time.Until(began.Add(e.at)))
		running.Go(e.run)
	}
	running.Wait()
}

func (a *faultPlan) drawBox() *soakBox { return a.site.boxes[a.random.IntN(len(a.site.boxes))] }

func (a *faultPlan) drawDuration() time.Duration {
	return time.Duration(200+a.random.IntN(2500)) * time.Millisecond
}

// terminate tells a daemon to stop, sometimes twice as an operator in a hurry does, and kills it after its grace.
func (a *faultPlan) terminate(at time.Duration) {
	box, hurry := a.drawBox(), a.random.IntN(4) == 0
	a.add(at, "SIGTERM "+box.name, func() {
		defer box.plannedStops.begin()()
		life := box.incarnationNumber()
		box.signal(syscall.SIGTERM)
		if hurry {
			time.Sleep(100 * time.Millisecond)
			box.signal(syscall.SIGTERM)
		}
		for limit := time.Now().Add(shutdownGrace); box.incarnationNumber() == life && time.Now().Before(limit); {
			time.Sleep(20 * time.Millisecond)
		}
		if box.incarnationNumber() == life {
			box.signal(syscall.SIGKILL)
		}
		box.awaitReady()
	})
}

// kill ends a daemon at once.
func (a *faultPlan) kill(at time.Duration) {
	box := a.drawBox()
	a.add(at, "SIGKILL "+box.name, func() {
		defer box.outages.begin()()
		box.signal(syscall.SIGKILL)
		time.Sleep(2 * restartPause)
		box.awaitReady()
	})
}

// freeze holds a daemon for a while; its connections stay open.
func (a *faultPlan) freeze(at time.Duration) {
	box, duration := a.drawBox(), a.drawDuration()
	a.add(at, fmt.Sprint("SIGSTOP ", box.name, " ", duration), func() {
		defer box.outages.begin()()
		defer box.freezes.begin()()
		box.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		box.signal(syscall.SIGCONT)
	})
}

// reload tells a daemon to read its settings file again.
func (a *faultPlan) reload(at time.Duration) {
	box := a.drawBox()
	a.add(at, "SIGHUP "+box.name, func() { box.signal(syscall.SIGHUP) })
}

// drawLinkFault draws a fault of a link and how long it lasts.
func (a *faultPlan) drawLinkFault(l *link) (name string, run func()) {
	state, duration := linkFaults[a.random.IntN(len(linkFaults))], a.drawDuration()
	return fmt.Sprint(linkNames[state], " ", duration), func() {
		l.set(state)
		time.Sleep(duration)
		l.set(linkClear)
	}
}

func (a *faultPlan) disruptStoreLink(at time.Duration) {
	box := a.drawBox()
	name, run := a.drawLinkFault(box.storeLink)
	a.add(at, "store link of "+box.name+" "+name, func() {
		defer box.outages.begin()()
		run()
	})
}

func (a *faultPlan) drawRunner() *soakRunner {
	runners := a.site.allRunners()
	return runners[a.random.IntN(len(runners))]
}

func (a *faultPlan) disruptEndpointLink(at time.Duration) {
	runner := a.drawRunner()
	name, run := a.drawLinkFault(runner.link)
	a.add(at, "link of "+runner.id+" "+name, func() {
		defer a.endpointFaults.begin()()
		run()
	})
}

func (a *faultPlan) takeStoreDown(at time.Duration) {
	duration := a.drawDuration()
	a.add(at, fmt.Sprint("store away ", duration), func() {
		defer a.storeOutages.begin()()
		a.site.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(duration)
		a.site.store.SetFaults(standin.StoreFaults{})
	})
}

// compactStore lets the store drop its history but the newest record of each key, so that boxes must read anew.
func (a *faultPlan) compactStore(at time.Duration) {
	a.add(at, "store forgets its history", func() {
		a.site.store.Forget("keyed.op")
		a.site.store.Forget("keyed.servers")
	})
}

// loseStoreReplies lets the next two writes of the store take effect without an answer; reads are answered.
func (a *faultPlan) loseStoreReplies(at time.Duration) {
	duration := a.drawDuration()
	a.add(at, fmt.Sprint("store loses answers ", duration), func() {
		a.site.store.SetFaults(standin.StoreFaults{LoseAnswer: 2})
		time.Sleep(duration)
		a.site.store.SetFaults(standin.StoreFaults{})
	})
}

// failEndpoint lets an endpoint fail answers, break streams off, or refuse as full.
func (a *faultPlan) failEndpoint(at time.Duration) {
	runner, duration := a.drawRunner(), a.drawDuration()
	faults := []standin.BatchFaults{{FailEvery: 2}, {BreakAfter: 3}, {Full: true}}[a.random.IntN(3)]
	a.add(at, fmt.Sprintf("%s fails %+v %v", runner.id, faults, duration), func() {
		defer a.endpointFaults.begin()()
		runner.SetFaults(faults)
		time.Sleep(duration)
		runner.SetFaults(standin.BatchFaults{})
	})
}

// replaceEndpoint starts an endpoint of release v1 and then ends another of its service, so that the service stays.
func (a *faultPlan) replaceEndpoint(at time.Duration, how string, end func(*soakRunner)) {
	number := len(a.events)
	service := []string{"llm", "app"}[a.random.IntN(2)]
	a.add(at, "an endpoint of "+service+" "+how, func() {
		a.site.addRunner(fmt.Sprintf("%s-n%d", service, number), service, "v1")
		old := a.site.claimRunner(service, "v1")
		defer a.endpointFaults.begin()()
		end(old)
	})
}

func (a *faultPlan) drainEndpoint(at time.Duration) {
	a.replaceEndpoint(at, "leaves", func(r *soakRunner) { r.drain(a.site.store) })
}

func (a *faultPlan) crashEndpoint(at time.Duration) {
	a.replaceEndpoint(at, "crashes", func(r *soakRunner) { r.crash(a.site.store) })
}

func (a *faultPlan) reconfigure(at time.Duration) {
	a.add(at, "configuration", a.site.writeConfig)
}

// reconfigureInBurst writes some configurations in quick succession.
func (a *faultPlan) reconfigureInBurst(at time.Duration) {
	for i := range 4 {
		a.add(at+time.Duration(i)*150*time.Millisecond, "configuration of a row", a.site.writeConfig)
	}
}

// rollOut orders a release whose endpoints work, or answer with failures only.
func (a *faultPlan) rollOut(at time.Duration) {
	isBad := a.random.IntN(2) == 0
	a.add(at, fmt.Sprint("roll-out, bad: ", isBad), func() {
		for i := range 2 {
			runner := a.site.addRunner(fmt.Sprint("llm-new-", i), "llm", "v2")
			if isBad {
				runner.SetFaults(standin.BatchFaults{FailEvery: 1})
			}
		}
		if isBad {
			defer a.endpointFaults.begin()()
			a.mu.Lock()
			a.badRelease = "v2"
			a.mu.Unlock()
		}
		order := map[string]any{"service": "llm", "target-version": "v2", "period-s": a.length.Seconds()}
		if err := a.site.store.Put("keyed.op", "rollout/llm", order); err != nil {
			a.site.t.Error(err)
		}
		time.Sleep(a.length / 2)
	})
}
