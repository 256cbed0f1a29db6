package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// recoveryVersions is the number of configurations written during recovery, each after a recoveryWritePause.
	// A box that has not recovered when the checks apply again misses at least one of them.
	recoveryVersions   = 3
	recoveryWritePause = 900 * time.Millisecond
	// recoveryTime is the time after the last fault within which the boxes must serve everything again.
	recoveryTime = 6 * time.Second
	// recoveryRequests is the number of requests sent to each box after recoveryTime.
	recoveryRequests = 15
	// recoveryTimeout is the deadline of each of them; the boxes have no other load then.
	recoveryTimeout = 4 * time.Second
	// runnersPerService is the initial number of endpoints of each service for few boxes, and boxesPerRunner the number of
	// boxes beyond which there are more, so that the callers of all boxes do not fill them.
	runnersPerService, boxesPerRunner = 3, 3
	// maxHalls is the largest number of halls over which the boxes are spread.
	maxHalls = 2
)

// Causes of past failures.
const (
	// lostReadCause: boxes waited 20 s for a long poll of declarations that was lost with its connection, while reads of
	// endpoints were answered. A hall whose hub waited so received no new configuration.
	lostReadCause = "a long poll of declarations was lost"
	// neverReadCause: a box that started during a store outage had never read declarations. It reported the longest
	// possible duration as the age of its reads, and adding to it overflowed. The box and the others of its hall took
	// each other for the hub, and none read the store.
	neverReadCause = "a box that never read the store counted as its hall's hub"
	// endpointListAgeCause: boxes permanently refused what their configuration lacked as long as their endpoint list was fresh.
	endpointListAgeCause = "a permanent refusal depended on the age of the endpoint list"
)

var (
	soakSeeds   = flag.Int("soak.seeds", 1, "number of seeds to run")
	soakFirst   = flag.Uint64("soak.first", 1, "first seed; 0 picks a random one")
	soakLength  = flag.Duration("soak.length", 5*time.Second, "duration of the faults of one seed")
	soakBoxes   = flag.Int("soak.boxes", 3, "number of daemons")
	soakReplays = flag.Int("soak.again", 1, "number of previously failed seeds to replay")
	soakReport  = flag.String("soak.report", "", "file for a table of results and the events of failed seeds")
)

// failedSeeds are seeds that failed in the past, with the parameters of that run and the cause. The first reproduces its
// cause most reliably; CI replays only that one, since a replay takes about 15 s.
var failedSeeds = []failedSeed{
	{4000, 5 * time.Second, 4, lostReadCause},
	{4002, 5 * time.Second, 4, lostReadCause},
	{6000, 5 * time.Second, 4, lostReadCause},
	{6006, 5 * time.Second, 4, lostReadCause},
	{4003, 5 * time.Second, 4, lostReadCause},
	{4107, 5 * time.Second, 4, lostReadCause},
	{6003, 5 * time.Second, 4, lostReadCause},
	{6012, 5 * time.Second, 4, lostReadCause},
	{6024, 5 * time.Second, 4, lostReadCause},
	{6028, 5 * time.Second, 4, lostReadCause},
	{5000, 5 * time.Second, 4, neverReadCause},
	{8003, 5 * time.Second, 4, neverReadCause},
}

type (
	// failedSeed is a seed that failed in the past, with the parameters of that run.
	failedSeed struct {
		seed   uint64
		length time.Duration
		boxes  int
		cause  string
	}

	// soakResult is the outcome of one seed.
	soakResult struct {
		seed     uint64
		events   []event
		requests int
		complete int
		findings []string
	}
)

// TestSoak plays random faults against real daemons and checks what callers and endpoints see.
func TestSoak(t *testing.T) {
	var results []soakResult
	forEachSeed(t, func(t *testing.T, seed uint64) {
		results = append(results, runSoak(t, seed, *soakLength, *soakBoxes))
	})
	if *soakReport != "" {
		require.NoError(t, os.WriteFile(*soakReport, []byte(reportTable(results)), 0o600))
	}
}

// TestPreviouslyFailedSeeds replays failedSeeds.
func TestPreviouslyFailedSeeds(t *testing.T) {
	replaySeeds(t, failedSeeds, func(t *testing.T, failed failedSeed) { runSoak(t, failed.seed, failed.length, failed.boxes) })
}

// forEachSeed runs a test for each seed that the flags ask for.
func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	first := *soakFirst
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	for i := range *soakSeeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { test(t, seed) })
	}
}

// replaySeeds runs a test for the first previously failed seeds, as many as the flags ask for.
func replaySeeds(t *testing.T, seeds []failedSeed, test func(t *testing.T, failed failedSeed)) {
	for _, failed := range seeds[:min(*soakReplays, len(seeds))] {
		t.Run(fmt.Sprint("seed-", failed.seed), func(t *testing.T) {
			t.Log(failed.cause)
			test(t, failed)
		})
	}
}

// runSoak runs one seed.
func runSoak(t *testing.T, seed uint64, length time.Duration, boxes int) soakResult {
	site := newSoakSite(t, boxes, hallCount(seed), runnerCount(boxes))
	return runPlan(site, newFaultPlan(site, seed, length), seed, site.drawAny)
}

// runnerCount returns the initial number of endpoints of each service.
func runnerCount(boxes int) int { return max(runnersPerService, boxes/boxesPerRunner) }

// hallCount returns the number of halls of a seed. One box of each hall reads the store; with a single hall, no other box
// makes up for its failed reads.
func hallCount(seed uint64) int { return 1 + int(seed%maxHalls) }

// runPlan executes a fault plan while callers send drawn requests, and checks the outcome. The given checks are those
// that apply to one kind of soak only.
func runPlan(
	site *soakSite, plan *faultPlan, seed uint64, draw func(box int, random *rand.Rand) *soakRequest, checks ...check,
) soakResult {
	site.started = time.Now()
	callers := site.startCallers(seed, draw)
	plan.run(time.Now())
	site.awaitRecovery()
	recovery, findings := site.checkRecovery(seed)
	unknownRoute, unknownRouteFindings := site.checkUnknownRoute()
	requests := slices.Concat(callers.stopAndCollect(), recovery, unknownRoute, site.planned)
	result := soakResult{seed: seed, events: plan.events, requests: len(requests), complete: countComplete(requests)}
	result.findings = slices.Concat(findings, unknownRouteFindings, checkAll(site, plan, requests, checks...))
	// A soak that sent almost no requests would not find violations either.
	if result.requests < len(site.boxes)*recoveryRequests*2 || result.complete == 0 {
		result.findings = append(result.findings, fmt.Sprintf("only %d requests, %d of them answered completely", result.requests, result.complete))
	}
	result.report(site.t)
	if site.t.Failed() {
		site.saveLogs(seed)
	}
	return result
}

// awaitRecovery waits for recoveryTime after the faults and writes some configurations meanwhile.
func (s *soakSite) awaitRecovery() {
	end := time.Now().Add(recoveryTime)
	for range recoveryVersions {
		time.Sleep(recoveryWritePause)
		s.writeConfig()
	}
	time.Sleep(time.Until(end))
}

func countComplete(requests []*soakRequest) int {
	complete := 0
	for _, r := range requests {
		if r.isComplete {
			complete++
		}
	}
	return complete
}

// report reports each finding as a test error and logs the events if the test failed.
func (r *soakResult) report(t *testing.T) {
	for _, finding := range r.findings {
		t.Error(finding)
	}
	if t.Failed() {
		for _, e := range r.events {
			t.Logf("%6.3f s %s", e.at.Seconds(), e.name)
		}
	}
	t.Logf("seed %d: %d events, %d requests, %d answered completely, %d findings", r.seed, len(r.events), r.requests, r.complete, len(r.findings))
}

// checkRecovery checks that after the faults every box serves every kind of request with the newest configuration.
func (s *soakSite) checkRecovery(seed uint64) (requests []*soakRequest, findings []string) {
	client, closeClient := newCaller()
	defer closeClient()
	random := rand.New(rand.NewPCG(seed, 0))
	for box := range s.boxes {
		for n := range recoveryRequests {
			r := &soakRequest{id: fmt.Sprintf("recovery-%d-%d", box, n), box: box, key: siteKey, timeout: recoveryTimeout}
			r.kind, r.version = kindIdempotent, s.newestVersion()
			if n%3 == 0 {
				r.kind, r.version, r.parts = kindStream, 0, soundParts(n)
			}
			requests = append(requests, r)
			s.sendRequest(client, r, random)
			if r.status != http.StatusOK || !r.isComplete {
				findings = append(findings, fmt.Sprintf("%s after the faults: status %d, error %v", r.id, r.status, r.err))
			}
		}
	}
	return requests, findings
}

// checkUnknownRoute checks that an up-to-date box permanently refuses a route that never existed.
func (s *soakSite) checkUnknownRoute() (requests []*soakRequest, findings []string) {
	client, closeClient := newCaller()
	defer closeClient()
	for box := range s.boxes {
		r := &soakRequest{id: fmt.Sprint("unknown-route-", box), kind: kindUnknownRoute, box: box, key: siteKey, timeout: recoveryTimeout}
		requests = append(requests, r)
		s.sendRequest(client, r, rand.New(rand.NewPCG(0, 0)))
		if r.status != http.StatusNotFound {
			findings = append(findings, fmt.Sprintf("%s after the faults: status %d for a route that never existed", r.id, r.status))
		}
	}
	return requests, findings
}

// saveLogs writes the logs of a failed seed to a folder that is kept after the test.
func (s *soakSite) saveLogs(seed uint64) {
	folder := filepath.Join(os.TempDir(), fmt.Sprint("willowwick-soak-", seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		s.t.Log(err)
		return
	}
	for _, box := range s.boxes {
		if err := os.WriteFile(filepath.Join(folder, box.name+".log"), []byte(box.output.text()), 0o600); err != nil {
			s.t.Log(err)
		}
	}
	s.t.Log("logs are in ", folder)
}

// reportTable returns a table of all seeds and a timeline of events for those that failed.
func reportTable(results []soakResult) string {
	var text strings.Builder
	text.WriteString("| seed | events | requests | answered completely | findings |\n|---|---|---|---|---|\n")
	for _, result := range results {
		fmt.Fprintf(&text, "| %d | %d | %d | %d | %d |\n", result.seed, len(result.events), result.requests, result.complete, len(result.findings))
	}
	for _, result := range results {
		if len(result.findings) > 0 {
			result.writeTimeline(&text)
		}
	}
	return text.String()
}

// writeTimeline writes the findings and then one event per line, indented by one column per 100 ms.
func (r *soakResult) writeTimeline(text *strings.Builder) {
	fmt.Fprintf(text, "\nSeed %d:\n\n", r.seed)
	for _, finding := range r.findings {
		fmt.Fprintf(text, "- %s\n", finding)
	}
	text.WriteString("\n```\n")
	for _, e := range r.events {
		fmt.Fprintf(text, "%7.3f s %s* %s\n", e.at.Seconds(), strings.Repeat(" ", int(e.at/(100*time.Millisecond))), e.name)
	}
	text.WriteString("```\n")
}
