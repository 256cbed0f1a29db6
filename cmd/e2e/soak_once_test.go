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
	// jobTime is the time of a job, longer than a planned stop waits, and jobTimeout the time that its caller has.
	jobTime, jobTimeout = shutdownGrace + time.Second, 2 * shutdownGrace
	// jobRunners is the number of endpoints for jobs, jobSlots the jobs that each runs at once, and jobRoom the number that wait there.
	jobRunners, jobSlots, jobRoom = 2, 2, 3
	// jobsAtOnce is the number of jobs that one event sends: some run, some wait at endpoints, and the others in their box's queue.
	jobsAtOnce = 14
	// jobLead is how long before a planned stop its box gets jobs.
	jobLead = 600 * time.Millisecond
)

// onceSoak is a soak of requests that may run once: some get answers of low confidence, and some wait when their box stops.
type onceSoak struct {
	site   *soakSite
	random *rand.Rand
}

// TestSoakOnce lets boxes stop while requests run and wait everywhere, beside requests that may run once and whose answers are doubtful,
// during faults of boxes, the store, endpoints and connections.
func TestSoakOnce(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		s := &onceSoak{random: rand.New(rand.NewPCG(seed, seed+9))}
		s.site = &soakSite{t: t, store: standin.NewStore(), keysKept: 1, moreConfig: addOnceRoutes, adjust: adjustJobRunner}
		for i := range jobRunners {
			s.site.addRunner(fmt.Sprint("job-", i), "job", "v1")
		}
		startSoakSite(s.site, *soakBoxes, hallCount(seed), runnerCount(*soakBoxes))
		runPlan(s.site, s.newPlan(*soakLength), seed, s.draw, checkHandedOn)
	})
}

// addOnceRoutes adds the routes of requests that may run once.
func addOnceRoutes(config map[string]any) {
	routes, _ := config["routes"].([]any)
	services, _ := config["services"].([]any)
	route := func(name, kind, service string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": siteHost, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout.Milliseconds(),
			"goal-ms": 1000, "priority": 2, "service": service, "max-attempts": 3,
		}
	}
	draft, feed := route(string(kindDraft), "non_idempotent", "llm", answerGrace), route(string(kindFeed), "stream", "llm", answerGrace)
	for _, each := range []map[string]any{draft, feed} {
		each["sizes"] = []any{"small-1", "large-1"}
	}
	config["routes"] = append(routes, draft, feed, route(string(kindJob), "non_idempotent", "job", jobTimeout))
	config["services"] = append(services, map[string]any{"name": "job", "max-connections": 100})
}

func adjustJobRunner(r *soakRunner, settings *standin.BatchSettings) {
	if r.service == "job" {
		settings.Slots, settings.Room, settings.EventInterval = jobSlots, jobRoom, jobTime
	}
}

// draw draws a request; half of them are on routes with models of several sizes, and may run once.
func (s *onceSoak) draw(box int, random *rand.Rand) *soakRequest {
	r := s.site.drawAny(box, random)
	switch random.IntN(4) {
	case 0:
		r.kind, r.version, r.key = kindDraft, 0, siteKey
	case 1:
		r.kind, r.version, r.key = kindFeed, 0, siteKey
	}
	return r
}

// newPlan draws the events of the soak: planned stops while jobs wait, one or several boxes at once, and other faults between them.
func (s *onceSoak) newPlan(length time.Duration) *faultPlan {
	p := &faultPlan{site: s.site, random: s.random, length: length}
	kinds := []func(time.Duration){
		p.terminate, p.kill, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.reconfigure, p.failEndpoint, p.crashEndpoint, p.drainEndpoint,
		p.silenceStoreConns, p.silenceEndpointConns,
	}
	s.stopWithJobs(p, jobLead)
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+p.random.IntN(1200)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// stopWithJobs sends jobs to all boxes, and SIGTERM to one or several of them.
func (s *onceSoak) stopWithJobs(p *faultPlan, at time.Duration) {
	for i := range s.site.boxes {
		p.add(at-jobLead, fmt.Sprint("jobs at box-", i), func() { s.sendJobs(i) })
	}
	for range 1 + p.random.IntN(len(s.site.boxes)) {
		p.terminate(at)
	}
}

// sendJobs sends jobs to a box at once, and waits for their answers.
func (s *onceSoak) sendJobs(box int) {
	var callers sync.WaitGroup
	for n := range jobsAtOnce {
		r := &soakRequest{id: fmt.Sprintf("job-%d-%d", box, n), kind: kindJob, box: box, key: siteKey, timeout: jobTimeout}
		s.site.mu.Lock()
		s.site.planned = append(s.site.planned, r)
		s.site.mu.Unlock()
		callers.Go(func() {
			client, closeClient := newCaller()
			defer closeClient()
			s.site.sendRequest(client, r, nil)
		})
	}
	callers.Wait()
}

// checkHandedOn checks that each request that has reached an endpoint, whether it ran or only waited there, gets an answer of its box, also
// of one that stops. Only a box that was killed or frozen is excused.
func checkHandedOn(c *checker, requests []*soakRequest) {
	arrived := map[string]bool{}
	for _, runner := range c.site.allRunners() {
		for _, arrival := range runner.Arrivals() {
			arrived[arrival.Request] = true
		}
	}
	unanswered, jobs := 0, map[int]int{}
	for _, r := range requests {
		if r.kind == kindJob {
			jobs[r.status]++
		}
		box := c.site.boxes[r.box]
		isCut := r.err != nil && r.status == 0 && !r.isConnRefused && !r.isAbandoned && r.endedAt.Sub(r.sentAt) < r.timeout
		if isCut && arrived[r.id] && box.kills.isClear(r.sentAt, r.endedAt) && box.freezes.isClear(r.sentAt, r.endedAt) {
			c.reportRequest(r, "was handed on, and its connection closed without an answer")
			unanswered++
		}
	}
	c.site.t.Logf("%d requests reached endpoints, %d of them got no answer of a box that was neither killed nor frozen; jobs by status: %v",
		len(arrived), unanswered, jobs)
}
