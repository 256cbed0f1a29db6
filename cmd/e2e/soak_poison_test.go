package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// poisonBody is the body of the request that ends each endpoint that runs it.
	poisonBody = "ends the endpoint that runs it"
	// requestsPerPoison is one in so many requests: at most five a second at each box.
	requestsPerPoison = 60
	// poisonRunners is how many endpoints each service has: more than may end in the moments before all boxes know.
	poisonRunners = 8
	// quarantineAfter is the number of ends after which the request is to be sent no more, and maxLateRuns how often it may be later.
	quarantineAfter, maxLateRuns = 3, 3
	// crashDowntime is how long an endpoint that ended is missing.
	crashDowntime = 700 * time.Millisecond
)

// harm is what became of the harmful request.
type poisonCrashes struct {
	mu     sync.Mutex
	times  []time.Time
	random *rand.Rand
}

// TestSoakPoisonRequest plays a request that ends the endpoints that run it beside faults of boxes and of the store. Some
// endpoints are back under their own ids behind a link that goes on taking connections, others are replaced.
func TestSoakPoisonRequest(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		h := &poisonCrashes{random: rand.New(rand.NewPCG(seed, seed+3))}
		site := &soakSite{t: t, store: standin.NewStore(), keysKept: 1}
		site.onPoison = func(r *soakRunner) { h.crash(site, r) }
		startSoakSite(site, *soakBoxes, hallCount(seed), poisonRunners)
		plan := newPoisonPlan(site, seed, *soakLength)
		defer plan.endpointFaults.begin()()
		runPlan(site, plan, seed, site.drawWithPoison, h.check)
	})
}

// newPoisonPlan draws the events of such a soak.
func newPoisonPlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+2)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.disruptStoreLink, a.takeStoreDown, a.reconfigure, a.silenceBoxConns, a.silenceStoreConns, a.compactStore,
		a.disruptEndpointLink, a.drainEndpoint, a.silenceEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// drawWithPoison mixes the harmful request into the others.
func (s *soakSite) drawWithPoison(box int, random *rand.Rand) *soakRequest {
	if random.IntN(requestsPerPoison) == 0 {
		return &soakRequest{kind: kindPoison, box: box, key: siteKey, timeout: 2 * time.Second}
	}
	return s.drawAny(box, random)
}

// crash ends a runner that runs the harmful request, and lets it or another one come.
func (h *poisonCrashes) crash(site *soakSite, r *soakRunner) {
	h.mu.Lock()
	h.times = append(h.times, time.Now())
	isSame, number := h.random.IntN(2) == 0, len(h.times)
	h.mu.Unlock()
	if !isSame {
		r.link.close()
	}
	go r.stop()
	time.AfterFunc(crashDowntime, func() {
		if site.t.Context().Err() != nil || !isSame {
			h.replace(site, r, number)
			return
		}
		if listener, err := net.Listen("tcp", r.link.target); err == nil {
			site.serveRunner(&soakRunner{id: r.id, service: r.service, release: r.release, link: r.link}, listener)
		}
	})
}

// replace adds a runner in the place of one that ended, whose entry goes.
func (h *poisonCrashes) replace(site *soakSite, r *soakRunner, number int) {
	if site.t.Context().Err() != nil {
		return
	}
	site.addRunner(fmt.Sprintf("%s-r%d", r.id, number), r.service, r.release)
	if err := site.store.Put("keyed.servers", r.id, nil); err != nil {
		site.t.Error(err)
	}
}

// check: boxes that are in touch send the request no more than a few times once it has ended three endpoints.
func (h *poisonCrashes) check(j *checker, requests []*soakRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j.site.t.Logf("%d endpoints ended", len(h.times))
	if len(h.times) < quarantineAfter {
		return
	}
	slices.SortFunc(h.times, time.Time.Compare)
	known := h.times[quarantineAfter-1].Add(settleTime)
	late := 0
	for _, a := range requests {
		for _, run := range j.runs[a.id] {
			isLate := a.kind == kindPoison && run.At.After(known) && j.site.boxes[a.box].isUndisturbed(run.At, run.At)
			if isLate && j.plan.storeOutages.isClear(run.At, run.At) {
				late++
				j.site.t.Logf("%.3f s: %s reached %s", run.At.Sub(j.site.started).Seconds(), a.id, run.runner.id)
			}
		}
	}
	if late > maxLateRuns {
		j.report("the harmful request reached endpoints %d times later than %s after its third end", late, settleTime)
	}
}
