package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// versionsKept is for how many versions routes and keys stay: with minChangePause and changePauseSpread some four seconds, twice
	// the time in which they must be in force.
	versionsKept = 8
	// minChangePause and changePauseSpread bound the pauses between two configurations from below, and by how much more.
	minChangePause    = 200 * time.Millisecond
	changePauseSpread = 700 * time.Millisecond
	// drawnVersions is how many of the newest versions requests are drawn from: those that come, are there, and have gone.
	drawnVersions = 2 * versionsKept
	// minServedShare is the part of the requests for what must be in force that a box in touch serves, and minDueRequests how many
	// there must be to judge by.
	minServedShare = 0.75
	minDueRequests = 20
)

// TestSoakConfigChanges plays a storm of configurations beside faults of the store and of boxes, with requests to each box for
// what was just added, was just taken away, or never existed.
func TestSoakConfigChanges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { runChangeSoak(t, seed, *soakLength, *soakBoxes) })
}

// failedChangeSeeds are seeds of it that failed once, by refusals for good that went by the age of the list of endpoints.
var failedChangeSeeds = []failedSeed{
	{11, 8 * time.Second, 3, endpointListAgeCause},
	{12, 8 * time.Second, 3, endpointListAgeCause},
	{3, 8 * time.Second, 3, endpointListAgeCause},
	{4, 8 * time.Second, 3, endpointListAgeCause},
}

// TestPreviouslyFailedChangeSeeds plays them again.
func TestPreviouslyFailedChangeSeeds(t *testing.T) {
	replaySeeds(t, failedChangeSeeds, func(t *testing.T, failed failedSeed) { runChangeSoak(t, failed.seed, failed.length, failed.boxes) })
}

// runChangeSoak plays one seed.
func runChangeSoak(t *testing.T, seed uint64, length time.Duration, boxes int) {
	site := startSoakSite(
		&soakSite{t: t, store: standin.NewStore(), routesKept: versionsKept, keysKept: versionsKept}, boxes, hallCount(seed), runnersPerService)
	runPlan(site, newChangePlan(site, seed, length), seed, site.drawChangeRequest, (*checker).checkServed)
}

// newChangePlan draws the events of such a soak.
func newChangePlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+1)), length: length}
	for at := minChangePause; at < length; at += minChangePause + time.Duration(a.random.Int64N(int64(changePauseSpread))) {
		a.reconfigure(at)
	}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.disruptStoreLink, a.takeStoreDown, a.takeDeclarationsDown, a.silenceBoxConns, a.silenceStoreConns, a.loseStoreCalls,
		a.returnStoreSilent, a.compactStore,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(200+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// takeDeclarationsDown takes the part of the store away that holds declarations; its other parts are served.
func (a *faultPlan) takeDeclarationsDown(at time.Duration) {
	duration := a.drawDuration() + configApplyLimit
	a.add(at, fmt.Sprint("declarations away ", duration), func() {
		defer a.storeOutages.begin()()
		a.site.store.SetAway("keyed.op", true)
		time.Sleep(duration)
		a.site.store.SetAway("keyed.op", false)
	})
}

// drawChangeRequest chooses a route or a key of a version, or a route that never was.
func (s *soakSite) drawChangeRequest(box int, random *rand.Rand) *soakRequest {
	a := &soakRequest{kind: kindIdempotent, box: box, key: siteKey, timeout: time.Duration(1500+random.IntN(2500)) * time.Millisecond}
	newest := s.newestVersion()
	version := max(newest-random.IntN(drawnVersions), 1)
	switch random.IntN(5) {
	case 0:
		a.kind = kindUnknownRoute
	case 1, 2:
		a.version, a.key = newest, versionKey(version)
	default:
		a.version = version
	}
	return a
}

// checkServed: a box in touch serves what must be in force. One that only ever asked its callers to come again would refuse
// nothing for good either.
func (j *checker) checkServed(requests []*soakRequest) {
	due, served := make([]int, len(j.site.boxes)), make([]int, len(j.site.boxes))
	for _, a := range requests {
		if !j.mustBeServed(a) {
			continue
		}
		due[a.box]++
		if a.status == http.StatusOK {
			served[a.box]++
		}
	}
	for box := range due {
		if due[box] >= minDueRequests && float64(served[box]) < minServedShare*float64(due[box]) {
			j.report("box-%d served %d of %d requests for what must be in force", box, served[box], due[box])
		}
	}
}

// mustBeServed reports whether a request asks for what must be in force, of a box in touch.
func (j *checker) mustBeServed(a *soakRequest) bool {
	if a.version == 0 || a.key != siteKey || a.isAbandoned || j.site.isRemovedBy(a.version, j.site.routesKept, a.endedAt) {
		return false
	}
	isWritten := a.sentAt.After(j.site.writtenAt(a.version).Add(configApplyLimit))
	return isWritten && j.site.boxes[a.box].isUndisturbed(a.sentAt, a.sentAt) && j.plan.storeOutages.isClear(a.sentAt, a.sentAt)
}
