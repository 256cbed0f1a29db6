package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// poisonBody is the body of the poison request, which crashes each endpoint that runs it.
	poisonBody = "ends the endpoint that runs it"
	// requestsPerPoison: one in this many requests is the poison request, at most five per second at each box.
	requestsPerPoison = 60
	// poisonRunners is the number of endpoints of each service: more than can crash before all boxes have been informed.
	poisonRunners = 8
	// quarantineAfter is the number of crashes after which the request must not be sent any more, and maxLateRuns is how
	// often it may be sent later than settleTime after that.
	quarantineAfter, maxLateRuns = 3, 3
	// crashDowntime is the time between an endpoint's crash and its restart or replacement.
	crashDowntime = 700 * time.Millisecond
)

// isPoison reports whether a request crashes the endpoint that runs it.
func isPoison(r *http.Request, body []byte) bool {
	return string(body) == poisonBody || strings.Contains(r.Header.Get("Prompt-Prefix"), poisonPart+":")
}

// poisonCrashes records the crashes that the poison request causes.
type poisonCrashes struct {
	mu     sync.Mutex
	times  []time.Time
	random *rand.Rand
}

// TestSoakPoisonRequest sends a request that crashes the endpoints that run it, during faults of boxes and of the store.
// Some endpoints restart under their own ids behind a link that keeps accepting connections; others are replaced.
func TestSoakPoisonRequest(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		playPoison(t, seed, (*soakSite).drawWithPoison, func(*faultPlan) {}, (*poisonCrashes).check)
	})
}

// playPoison plays a seed in which some of the requests that draw returns crash endpoints; prepare may add to the plan.
func playPoison(
	t *testing.T, seed uint64, draw func(s *soakSite, box int, random *rand.Rand) *soakRequest, prepare func(*faultPlan),
	check func(p *poisonCrashes, c *checker, requests []*soakRequest),
) {
	p := &poisonCrashes{random: rand.New(rand.NewPCG(seed, seed+3))}
	site := &soakSite{t: t, store: standin.NewStore(), keysKept: 1}
	site.onPoison = func(r *soakRunner) { p.crash(site, r) }
	startSoakSite(site, *soakBoxes, hallCount(seed), poisonRunners)
	plan := newPoisonPlan(site, seed, *soakLength)
	prepare(plan)
	defer plan.endpointFaults.begin()()
	runPlan(site, plan, seed, func(box int, random *rand.Rand) *soakRequest { return draw(site, box, random) },
		func(c *checker, requests []*soakRequest) { check(p, c, requests) })
}

// newPoisonPlan draws the events of a soak with a poison request.
func newPoisonPlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	p := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+2)), length: length}
	kinds := []func(time.Duration){
		p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.reconfigure, p.silenceBoxConns, p.silenceStoreConns, p.compactStore,
		p.disruptEndpointLink, p.drainEndpoint, p.silenceEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+p.random.IntN(1500)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// drawWithPoison draws the poison request once in requestsPerPoison times and any other request otherwise.
func (s *soakSite) drawWithPoison(box int, random *rand.Rand) *soakRequest {
	if random.IntN(requestsPerPoison) == 0 {
		return &soakRequest{kind: kindPoison, box: box, key: siteKey, timeout: 2 * time.Second}
	}
	return s.drawAny(box, random)
}

// crash stops a runner that runs the poison request and, after crashDowntime, restarts or replaces it.
func (p *poisonCrashes) crash(site *soakSite, r *soakRunner) {
	p.mu.Lock()
	p.times = append(p.times, time.Now())
	isSame, number := p.random.IntN(2) == 0, len(p.times)
	p.mu.Unlock()
	if !isSame {
		r.link.close()
	}
	go r.stop()
	time.AfterFunc(crashDowntime, func() {
		if site.t.Context().Err() != nil || !isSame {
			p.replace(site, r, number)
			return
		}
		if listener, err := net.Listen("tcp", r.link.serverAddress); err == nil {
			site.serveRunner(&soakRunner{id: r.id, service: r.service, release: r.release, link: r.link}, listener)
		}
	})
}

// replace adds a runner in place of a crashed one and removes the entry of that one.
func (p *poisonCrashes) replace(site *soakSite, r *soakRunner, number int) {
	if site.t.Context().Err() != nil {
		return
	}
	site.addRunner(fmt.Sprintf("%s-r%d", r.id, number), r.service, r.release)
	if err := site.store.Put("keyed.servers", r.id, nil); err != nil {
		site.t.Error(err)
	}
}

// check checks that undisturbed boxes send the poison request at most maxLateRuns times after the settling time that
// follows its third crash.
func (p *poisonCrashes) check(c *checker, requests []*soakRequest) {
	p.checkLateRuns(c, requests, kindPoison, quarantineAfter)
}

// checkLateRuns checks that undisturbed boxes send requests of a kind at most maxLateRuns times after the settling time that
// follows a number of crashes.
func (p *poisonCrashes) checkLateRuns(c *checker, requests []*soakRequest, kind requestKind, crashes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.site.t.Logf("%d endpoints crashed", len(p.times))
	if len(p.times) < crashes {
		return
	}
	slices.SortFunc(p.times, time.Time.Compare)
	quarantinedBy := p.times[crashes-1].Add(settleTime)
	late := 0
	for _, r := range requests {
		for _, run := range c.runs[r.id] {
			isLate := r.kind == kind && run.At.After(quarantinedBy) && c.site.boxes[r.box].isUndisturbed(run.At, run.At)
			if isLate && c.plan.storeOutages.isClear(run.At, run.At) {
				late++
				c.site.t.Logf("%.3f s: %s reached %s", run.At.Sub(c.site.started).Seconds(), r.id, run.runner.id)
			}
		}
	}
	if late > maxLateRuns {
		c.report("%s requests reached endpoints %d times later than %s after crash %d", kind, late, settleTime, crashes)
	}
}
