package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// limitWindow is the period over which the requests to an endpoint are counted against its limit.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the count: limitFactor times what the limit allows, plus limitSlack requests.
	limitFactor, limitSlack = 1.5, 5
	// minLimitLength is the shortest duration of the faults: windows start settleTime after a limit is announced.
	minLimitLength = settleTime + 2*limitWindow
	// firstLimitAt is the earliest time at which an endpoint announces its limit.
	firstLimitAt = 300 * time.Millisecond
)

// failedLimitSeeds are seeds that failed in the past, with the parameters of that run and the cause.
var failedLimitSeeds = []failedSeed{
	{208, 5 * time.Second, 6, "a request was sent to a full endpoint eight times within a millisecond because the others accepted no more"},
}

// limitRates are the limits that endpoints announce, in requests per second.
var limitRates = []float64{0.5, 1.2, 2.3, 8}

type (
	// limits records the limits that endpoints announced in a soak.
	limits struct {
		mu        sync.Mutex
		intervals []limitInterval
	}

	// limitInterval is the period during which an endpoint announced a limit.
	limitInterval struct {
		runner   *soakRunner
		rate     float64
		from, to time.Time
	}
)

// TestSoakRateLimits lets all but one endpoint of each service announce rate limits during faults of boxes, the store and
// connections.
func TestSoakRateLimits(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { runLimitSoak(t, seed, *soakLength, *soakBoxes) })
}

// TestPreviouslyFailedLimitSeeds replays failedLimitSeeds.
func TestPreviouslyFailedLimitSeeds(t *testing.T) {
	replaySeeds(t, failedLimitSeeds, func(t *testing.T, failed failedSeed) { runLimitSoak(t, failed.seed, failed.length, failed.boxes) })
}

// runLimitSoak runs one seed.
func runLimitSoak(t *testing.T, seed uint64, length time.Duration, boxes int) {
	l := &limits{}
	site := newSoakSite(t, boxes, hallCount(seed), runnerCount(boxes))
	plan := newLimitPlan(site, l, seed, max(length, minLimitLength))
	// Requests wait and fail at endpoints that accept no more, as they do at broken ones.
	defer plan.endpointFaults.begin()()
	runPlan(site, plan, seed, site.drawAny, l.check)
}

// newLimitPlan draws the events of a soak with rate limits.
func newLimitPlan(site *soakSite, l *limits, seed uint64, length time.Duration) *faultPlan {
	p := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+5)), length: length}
	kinds := []func(time.Duration){
		p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.reconfigure, p.silenceBoxConns, p.silenceStoreConns, p.compactStore,
		p.silenceEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+p.random.IntN(1500)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	for _, runner := range site.allRunners() {
		if runner.id == "llm-0" || runner.id == "app-0" {
			continue // one endpoint of each service stays unlimited and can serve what exceeds the limits
		}
		rate := limitRates[p.random.IntN(len(limitRates))]
		at := firstLimitAt + time.Duration(p.random.IntN(1000))*time.Millisecond
		p.add(at, fmt.Sprintf("%s announces a limit of %v/s", runner.id, rate), func() { l.announce(runner, rate, length-at) })
	}
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// announce lets an endpoint announce a limit for some time.
func (l *limits) announce(runner *soakRunner, rate float64, length time.Duration) {
	announced := limitInterval{runner: runner, rate: rate, from: time.Now()}
	runner.SetRateLimit(fmt.Sprint(rate))
	time.Sleep(length)
	announced.to = time.Now()
	runner.SetRateLimit("")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intervals = append(l.intervals, announced)
}

// check checks that undisturbed boxes do not exceed an endpoint's limit once they have had settleTime to learn of it.
func (l *limits) check(c *checker, requests []*soakRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	boxOf := map[string]*soakBox{}
	for _, r := range requests {
		boxOf[r.id] = c.site.boxes[r.box]
	}
	for _, announced := range l.intervals {
		var all, fromUndisturbed []time.Time
		for _, arrival := range announced.runner.Arrivals() {
			if arrival.At.Before(announced.from.Add(settleTime)) || arrival.At.After(announced.to) {
				continue
			}
			all = append(all, arrival.At)
			if box := boxOf[arrival.Request]; box != nil && box.isUndisturbed(arrival.At, arrival.At) {
				fromUndisturbed = append(fromUndisturbed, arrival.At)
			}
		}
		allowed := limitFactor*announced.rate*limitWindow.Seconds() + limitSlack
		most := maxInWindow(fromUndisturbed)
		c.site.t.Logf("%s: limit %v/s: at most %d in %s from undisturbed boxes, %d from all (allowed %.1f); %d in %s",
			announced.runner.id, announced.rate, most, limitWindow, maxInWindow(all), allowed, len(all), announced.to.Sub(announced.from)-settleTime)
		if float64(most) > allowed {
			c.report("%s, limited to %v/s, received %d requests in %s from undisturbed boxes; allowed %.1f", announced.runner.id, announced.rate, most, limitWindow, allowed)
		}
	}
}

// maxInWindow returns the largest number of the sorted times that lie within one limitWindow.
func maxInWindow(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
