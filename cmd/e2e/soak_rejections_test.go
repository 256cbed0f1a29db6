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
	// crowdedRunners is the number of endpoints of each service, crowdedSlots the requests that each runs at once, crowdedInterval the
	// time of a run or between the events of a stream, and crowdedRoom the number of requests that usually wait.
	crowdedRunners  = 4
	crowdedSlots    = 4
	crowdedInterval = 20 * time.Millisecond
	crowdedRoom     = 20
	// rejectionsAt is when endpoints begin to name a limit on rejections, and minRejectionLength the shortest duration of the faults.
	rejectionsAt       = time.Second
	minRejectionLength = rejectionsAt + settleTime + 6*time.Second
	// crowdedReturn is the time until an endpoint that crashed is replaced.
	crowdedReturn = 2 * time.Second
)

// failedRejectionSeeds are seeds that failed in the past, with the parameters of that run and the cause.
var failedRejectionSeeds = []failedSeed{
	{6, 5 * time.Second, 3, "requests that were broken off no longer counted while their endpoints went on with them"},
}

// rejectionSoak is a soak whose endpoints name a limit on rejections, have less room later, and crash beyond the limit.
type rejectionSoak struct {
	site   *soakSite
	limit  int
	room   int
	random *rand.Rand

	mu        sync.Mutex
	isNamed   bool
	isCrowded bool
	crashes   []rejectionCrash
}

// rejectionCrash is a crash under rejections.
type rejectionCrash struct {
	runner   *soakRunner
	at       time.Time
	rejected []standin.BatchArrival
}

// TestSoakRejections lets endpoints crash when they reject too many requests in a second, during faults of boxes, the store and
// connections.
func TestSoakRejections(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { runRejectionSoak(t, seed, *soakLength, *soakBoxes) })
}

// TestPreviouslyFailedRejectionSeeds replays failedRejectionSeeds.
func TestPreviouslyFailedRejectionSeeds(t *testing.T) {
	replaySeeds(t, failedRejectionSeeds, func(t *testing.T, failed failedSeed) {
		runRejectionSoak(t, failed.seed, failed.length, failed.boxes)
	})
}

// runRejectionSoak runs one seed.
func runRejectionSoak(t *testing.T, seed uint64, length time.Duration, boxes int) {
	random := rand.New(rand.NewPCG(seed, seed+6))
	s := &rejectionSoak{limit: 1 + random.IntN(4), room: random.IntN(3), random: random}
	s.site = &soakSite{t: t, store: standin.NewStore(), keysKept: 1, adjust: s.adjust}
	startSoakSite(s.site, boxes, hallCount(seed), max(crowdedRunners, runnerCount(boxes)*crowdedRunners/runnersPerService))
	plan := s.newPlan(max(length, minRejectionLength))
	defer plan.endpointFaults.begin()()
	runPlan(s.site, plan, seed, s.site.drawAny, s.check)
}

// adjust gives a runner few slots, and the state that all have now.
func (s *rejectionSoak) adjust(r *soakRunner, settings *standin.BatchSettings) {
	settings.Slots, settings.Room, settings.EventInterval = crowdedSlots, crowdedRoom, crowdedInterval
	settings.OnOverload = func() { s.crash(r) }
}

// newPlan draws the events of the soak.
func (s *rejectionSoak) newPlan(length time.Duration) *faultPlan {
	p := &faultPlan{site: s.site, random: s.random, length: length}
	kinds := []func(time.Duration){
		p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.reconfigure, p.silenceBoxConns, p.silenceStoreConns, p.compactStore,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+p.random.IntN(1500)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	p.add(rejectionsAt, fmt.Sprintf("endpoints name a limit of %d rejections a second", s.limit), func() { s.setState(true, false) })
	p.add(rejectionsAt+settleTime, fmt.Sprintf("endpoints have room for %d", s.room), func() { s.setState(true, true) })
	p.add(length, "endpoints have room again", func() { s.setState(false, false) })
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// setState changes the state of all endpoints, and of those that come later.
func (s *rejectionSoak) setState(isNamed, isCrowded bool) {
	s.mu.Lock()
	s.isNamed, s.isCrowded = isNamed, isCrowded
	s.mu.Unlock()
	for _, r := range s.site.allRunners() {
		s.applyState(r)
	}
}

func (s *rejectionSoak) applyState(r *soakRunner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isNamed {
		r.Relieve()
		return
	}
	r.AnnounceRejectionLimit(s.limit)
	if s.isCrowded {
		r.Crowd(s.room)
	}
}

// crash stops an endpoint and replaces it later under another ID.
func (s *rejectionSoak) crash(r *soakRunner) {
	now := time.Now()
	s.mu.Lock()
	s.crashes = append(s.crashes, rejectionCrash{r, now, r.Rejections(now)})
	number := len(s.crashes)
	s.mu.Unlock()
	r.crash(s.site.store)
	time.Sleep(crowdedReturn)
	if s.site.t.Context().Err() == nil {
		s.applyState(s.site.addRunner(fmt.Sprintf("%s-r%d", r.id, number), r.service, r.release))
	}
}

// check checks that few endpoints of a service crash under rejections of requests of which most came from undisturbed boxes.
func (s *rejectionSoak) check(c *checker, requests []*soakRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	boxOf := map[string]*soakBox{}
	for _, r := range requests {
		boxOf[r.id] = s.site.boxes[r.box]
	}
	counts := map[string]int{}
	for _, crash := range s.crashes {
		undisturbed := 0
		for _, rejected := range crash.rejected {
			if box := boxOf[rejected.Request]; box != nil && box.isUndisturbed(rejected.At, rejected.At) {
				undisturbed++
			}
		}
		s.site.t.Logf("%s crashed at %s under %d rejections, %d of requests from undisturbed boxes",
			crash.runner.id, crash.at.Sub(s.site.started).Round(time.Millisecond), len(crash.rejected), undisturbed)
		if 2*undisturbed > len(crash.rejected) {
			counts[crash.runner.service]++
		}
	}
	allowed := 2 + crowdedRunners/10
	for service, crashes := range counts {
		if crashes > allowed {
			c.report("%d endpoints of %s crashed under rejections; allowed %d", crashes, service, allowed)
		}
	}
}
