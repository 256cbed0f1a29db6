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
	// versionsKept is the number of versions for which routes and keys are kept: with minChangePause and
	// changePauseSpread about four seconds, twice configApplyLimit.
	versionsKept = 8
	// minChangePause is the shortest pause between two configurations; the longest is longer by changePauseSpread.
	minChangePause    = 200 * time.Millisecond
	changePauseSpread = 700 * time.Millisecond
	// drawnVersions is the number of newest versions from which requests are drawn: some are not yet in force, some are
	// in force, and some are already removed.
	drawnVersions = 2 * versionsKept
	// minServedShare is the share of due requests that an undisturbed box must serve. The check needs at least
	// minDueRequests of them.
	minServedShare = 0.75
	minDueRequests = 20
)

// TestSoakConfigChanges runs frequent configuration changes together with faults of the store and of boxes. Each box
// gets requests for what was just added, was just removed, or never existed.
func TestSoakConfigChanges(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { runChangeSoak(t, seed, *soakLength, *soakBoxes) })
}

// failedChangeSeeds are seeds of TestSoakConfigChanges that failed because permanent refusals depended on the age of the
// endpoint list.
var failedChangeSeeds = []failedSeed{
	{11, 8 * time.Second, 3, endpointListAgeCause},
	{12, 8 * time.Second, 3, endpointListAgeCause},
	{3, 8 * time.Second, 3, endpointListAgeCause},
	{4, 8 * time.Second, 3, endpointListAgeCause},
}

// TestPreviouslyFailedChangeSeeds replays failedChangeSeeds.
func TestPreviouslyFailedChangeSeeds(t *testing.T) {
	replaySeeds(t, failedChangeSeeds, func(t *testing.T, failed failedSeed) { runChangeSoak(t, failed.seed, failed.length, failed.boxes) })
}

// runChangeSoak runs one seed.
func runChangeSoak(t *testing.T, seed uint64, length time.Duration, boxes int) {
	site := startSoakSite(
		&soakSite{t: t, store: standin.NewStore(), routesKept: versionsKept, keysKept: versionsKept}, boxes, hallCount(seed), runnersPerService)
	runPlan(site, newChangePlan(site, seed, length), seed, site.drawChangeRequest, (*checker).checkServed)
}

// newChangePlan draws the events of a soak with configuration changes.
func newChangePlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	p := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+1)), length: length}
	for at := minChangePause; at < length; at += minChangePause + time.Duration(p.random.Int64N(int64(changePauseSpread))) {
		p.reconfigure(at)
	}
	kinds := []func(time.Duration){
		p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.takeDeclarationsDown, p.silenceBoxConns, p.silenceStoreConns, p.loseStoreCalls,
		p.returnStoreSilent, p.compactStore,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(200+p.random.IntN(1500)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// takeDeclarationsDown makes the part of the store that holds declarations unavailable; the other parts are served.
func (p *faultPlan) takeDeclarationsDown(at time.Duration) {
	duration := p.drawDuration() + configApplyLimit
	p.add(at, fmt.Sprint("declarations unavailable ", duration), func() {
		defer p.storeOutages.begin()()
		p.site.store.SetUnavailable("keyed.op", true)
		time.Sleep(duration)
		p.site.store.SetUnavailable("keyed.op", false)
	})
}

// drawChangeRequest draws a request with the route or the key of a version, or with a route that never existed.
func (s *soakSite) drawChangeRequest(box int, random *rand.Rand) *soakRequest {
	r := &soakRequest{kind: kindIdempotent, box: box, key: siteKey, timeout: time.Duration(1500+random.IntN(2500)) * time.Millisecond}
	newest := s.newestVersion()
	version := max(newest-random.IntN(drawnVersions), 1)
	switch random.IntN(5) {
	case 0:
		r.kind = kindUnknownRoute
	case 1, 2:
		r.version, r.key = newest, versionKey(version)
	default:
		r.version = version
	}
	return r
}

// checkServed checks that an undisturbed box serves what must be in force. Without it, a box that only ever asked its
// callers to retry later would pass checkPermanentRefusal.
func (c *checker) checkServed(requests []*soakRequest) {
	due, served := make([]int, len(c.site.boxes)), make([]int, len(c.site.boxes))
	for _, r := range requests {
		if !c.mustBeServed(r) {
			continue
		}
		due[r.box]++
		if r.status == http.StatusOK {
			served[r.box]++
		}
	}
	for box := range due {
		if due[box] >= minDueRequests && float64(served[box]) < minServedShare*float64(due[box]) {
			c.report("box-%d served %d of %d requests for what must be in force", box, served[box], due[box])
		}
	}
}

// mustBeServed reports whether a request uses a route that must be in force, at an undisturbed box.
func (c *checker) mustBeServed(r *soakRequest) bool {
	if r.version == 0 || r.key != siteKey || r.isAbandoned || c.site.isRemovedBy(r.version, c.site.routesKept, r.endedAt) {
		return false
	}
	isWritten := r.sentAt.After(c.site.writtenAt(r.version).Add(configApplyLimit))
	return isWritten && c.site.boxes[r.box].isUndisturbed(r.sentAt, r.sentAt) && c.plan.storeOutages.isClear(r.sentAt, r.sentAt)
}
