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
	// changeKept is for how many versions routes and keys stay: with changePause and changeSpread some four seconds, twice
	// the time in which they must be in force.
	changeKept = 8
	// changePause and changeSpread bound the pauses between two configurations from below, and by how much more.
	changePause  = 200 * time.Millisecond
	changeSpread = 700 * time.Millisecond
	// changeWithin is how many of the newest versions requests are drawn from: those that come, are there, and have gone.
	changeWithin = 2 * changeKept
	// leastServed is the part of the requests for what must be in force that a box in touch serves, and enoughAsked how many
	// there must be to judge by.
	leastServed = 0.75
	enoughAsked = 20
)

// TestSoakOfChanges plays a storm of configurations beside faults of the store and of boxes, with requests to each box for
// what was just added, was just taken away, or never existed.
func TestSoakOfChanges(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) { soakOfChanges(t, seed, *soakLength, *soakBoxes) })
}

// failedChanges are seeds of it that failed once, by refusals for good that went by the age of the list of endpoints.
var failedChanges = []failedSeed{
	{11, 8 * time.Second, 3, wrongAge},
	{12, 8 * time.Second, 3, wrongAge},
	{3, 8 * time.Second, 3, wrongAge},
	{4, 8 * time.Second, 3, wrongAge},
}

// TestChangesThatFailedOnce plays them again.
func TestChangesThatFailedOnce(t *testing.T) {
	playAgain(t, failedChanges, func(t *testing.T, failed failedSeed) { soakOfChanges(t, failed.seed, failed.length, failed.boxes) })
}

// soakOfChanges plays one seed.
func soakOfChanges(t *testing.T, seed uint64, length time.Duration, boxes int) {
	site := startSoakSite(
		&soakSite{t: t, store: standin.NewStore(), routesKept: changeKept, keysKept: changeKept}, boxes, hallsOf(seed), soakRunners)
	playSoak(site, newChanges(site, seed, length), seed, site.drawChanged, (*judge).checkServed)
}

// newChanges draws the events of such a soak.
func newChanges(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+1)), length: length}
	for at := changePause; at < length; at += changePause + time.Duration(a.random.Int64N(int64(changeSpread))) {
		a.reconfigure(at)
	}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.harmStoreLink, a.storeAway, a.declarationsAway, a.loseBoxConns, a.loseStoreConns, a.storeUnheard,
		a.storeReturnsDeaf, a.storeForgets,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(200+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// declarationsAway takes the part of the store away that holds declarations; its other parts are served.
func (a *faultPlan) declarationsAway(at time.Duration) {
	lasting := a.lasting() + soakApply
	a.add(at, fmt.Sprint("declarations away ", lasting), func() {
		defer a.storeDown.begin()()
		a.site.store.SetAway("keyed.op", true)
		time.Sleep(lasting)
		a.site.store.SetAway("keyed.op", false)
	})
}

// drawChanged chooses a route or a key of a version, or a route that never was.
func (s *soakSite) drawChanged(box int, random *rand.Rand) *soakRequest {
	a := &soakRequest{kind: kindIdempotent, box: box, key: siteKey, timeout: time.Duration(1500+random.IntN(2500)) * time.Millisecond}
	newest := s.newestVersion()
	version := max(newest-random.IntN(changeWithin), 1)
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
func (j *judge) checkServed(requests []*soakRequest) {
	due, served := make([]int, len(j.site.boxes)), make([]int, len(j.site.boxes))
	for _, a := range requests {
		if !j.isDue(a) {
			continue
		}
		due[a.box]++
		if a.status == http.StatusOK {
			served[a.box]++
		}
	}
	for box := range due {
		if due[box] >= enoughAsked && float64(served[box]) < leastServed*float64(due[box]) {
			j.report("box-%d served %d of %d requests for what must be in force", box, served[box], due[box])
		}
	}
}

// isDue reports whether a request asks for what must be in force, of a box in touch.
func (j *judge) isDue(a *soakRequest) bool {
	if a.version == 0 || a.key != siteKey || a.isAbandoned || j.site.isRemovedBy(a.version, j.site.routesKept, a.endedAt) {
		return false
	}
	isWritten := a.sentAt.After(j.site.writtenAt(a.version).Add(soakApply))
	return isWritten && j.site.boxes[a.box].isUndisturbed(a.sentAt, a.sentAt) && j.agenda.storeDown.isQuiet(a.sentAt, a.sentAt)
}
