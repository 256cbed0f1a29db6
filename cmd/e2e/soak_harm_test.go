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
	// harmfulBody is the body of the request that ends each endpoint that runs it.
	harmfulBody = "ends the endpoint that runs it"
	// harmPart is one in so many requests: at most five a second at each box.
	harmPart = 60
	// harmRunners is how many endpoints each service has: more than may end in the moments before all boxes know.
	harmRunners = 8
	// harmAfter is the number of ends after which the request is to be sent no more, and harmSlack how often it may be later.
	harmAfter, harmSlack = 3, 3
	// harmMissing is how long an endpoint that ended is missing.
	harmMissing = 700 * time.Millisecond
)

// harm is what became of the harmful request.
type harm struct {
	mu     sync.Mutex
	ends   []time.Time
	random *rand.Rand
}

// TestSoakOfAHarmfulRequest plays a request that ends the endpoints that run it beside faults of boxes and of the store. Some
// endpoints are back under their own ids behind a link that goes on taking connections, others are replaced.
func TestSoakOfAHarmfulRequest(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := &harm{random: rand.New(rand.NewPCG(seed, seed+3))}
		site := &soakSite{t: t, store: standin.NewStore(), keysKept: 1}
		site.onPoison = func(r *soakRunner) { h.end(site, r) }
		startSoakSite(site, *soakBoxes, hallsOf(seed), harmRunners)
		plan := newHarmPlan(site, seed, *soakLength)
		defer plan.endpoints.begin()()
		playSoak(site, plan, seed, site.drawHarmful, h.check)
	})
}

// newHarmPlan draws the events of such a soak.
func newHarmPlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+2)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.harmStoreLink, a.storeAway, a.reconfigure, a.loseBoxConns, a.loseStoreConns, a.storeForgets,
		a.harmEndpointLink, a.endpointLeaves, a.loseEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// drawHarmful mixes the harmful request into the others.
func (s *soakSite) drawHarmful(box int, random *rand.Rand) *soakRequest {
	if random.IntN(harmPart) == 0 {
		return &soakRequest{kind: kindPoison, box: box, key: siteKey, timeout: 2 * time.Second}
	}
	return s.drawAny(box, random)
}

// end ends a runner that runs the harmful request, and lets it or another one come.
func (h *harm) end(site *soakSite, r *soakRunner) {
	h.mu.Lock()
	h.ends = append(h.ends, time.Now())
	isSame, number := h.random.IntN(2) == 0, len(h.ends)
	h.mu.Unlock()
	if !isSame {
		r.link.close()
	}
	go r.stop()
	time.AfterFunc(harmMissing, func() {
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
func (h *harm) replace(site *soakSite, r *soakRunner, number int) {
	if site.t.Context().Err() != nil {
		return
	}
	site.addRunner(fmt.Sprintf("%s-r%d", r.id, number), r.service, r.release)
	if err := site.store.Put("keyed.servers", r.id, nil); err != nil {
		site.t.Error(err)
	}
}

// check: boxes that are in touch send the request no more than a few times once it has ended three endpoints.
func (h *harm) check(j *judge, requests []*soakRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j.site.t.Logf("%d endpoints ended", len(h.ends))
	if len(h.ends) < harmAfter {
		return
	}
	slices.SortFunc(h.ends, time.Time.Compare)
	known := h.ends[harmAfter-1].Add(soakContact)
	late := 0
	for _, a := range requests {
		for _, run := range j.runs[a.id] {
			isLate := a.kind == kindPoison && run.At.After(known) && j.site.boxes[a.box].isUndisturbed(run.At, run.At)
			if isLate && j.agenda.storeDown.isQuiet(run.At, run.At) {
				late++
				j.site.t.Logf("%.3f s: %s reached %s", run.At.Sub(j.site.started).Seconds(), a.id, run.at.id)
			}
		}
	}
	if late > harmSlack {
		j.report("the harmful request reached endpoints %d times later than %s after its third end", late, soakContact)
	}
}
