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
	// limitWindow is the length of time over which what an endpoint gets is counted against its limit.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound it: so many times what the limit allows, and so many requests more.
	limitFactor, limitSlack = 1.5, 5
	// minLimitLength is the least length of the faults: windows are counted from settleTime after a limit was named.
	minLimitLength = settleTime + 2*limitWindow
	// firstLimitAt is when the first endpoint names its limit.
	firstLimitAt = 300 * time.Millisecond
)

// failedLimitSeeds are seeds that failed once, with what they found; they stay as they were played then.
var failedLimitSeeds = []failedSeed{
	{208, 5 * time.Second, 6, "a request was sent to a full endpoint eight times within a millisecond, since the others took no more"},
}

// limitRates are the limits that endpoints name, in requests a second.
var limitRates = []float64{0.5, 1.2, 2.3, 8}

type (
	// limits are what endpoints named in a soak.
	limits struct {
		mu        sync.Mutex
		intervals []limitInterval
	}

	// limitInterval is the time for which an endpoint named a limit.
	limitInterval struct {
		runner   *soakRunner
		rate     float64
		from, to time.Time
	}
)

// TestSoakRateLimits lets all endpoints of a service but one name limits beside faults of boxes, the store and connections.
func TestSoakRateLimits(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { runLimitSoak(t, seed, *soakLength, *soakBoxes) })
}

// TestPreviouslyFailedLimitSeeds plays them again.
func TestPreviouslyFailedLimitSeeds(t *testing.T) {
	replaySeeds(t, failedLimitSeeds, func(t *testing.T, failed failedSeed) { runLimitSoak(t, failed.seed, failed.length, failed.boxes) })
}

// runLimitSoak plays one seed.
func runLimitSoak(t *testing.T, seed uint64, length time.Duration, boxes int) {
	l := &limits{}
	site := newSoakSite(t, boxes, hallCount(seed), runnersPerService)
	plan := newLimitPlan(site, l, seed, max(length, minLimitLength))
	// Endpoints that take no more make requests wait and fail as broken ones do.
	defer plan.endpointFaults.begin()()
	runPlan(site, plan, seed, site.drawAny, l.check)
}

// newLimitPlan draws the events of such a soak.
func newLimitPlan(site *soakSite, l *limits, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+5)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.disruptStoreLink, a.takeStoreDown, a.reconfigure, a.silenceBoxConns, a.silenceStoreConns, a.compactStore,
		a.silenceEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	for _, runner := range site.allRunners() {
		if runner.id == "llm-0" || runner.id == "app-0" {
			continue // others can take what is beyond the limits
		}
		rate := limitRates[a.random.IntN(len(limitRates))]
		at := firstLimitAt + time.Duration(a.random.IntN(1000))*time.Millisecond
		a.add(at, fmt.Sprintf("%s names a limit of %v", runner.id, rate), func() { l.announce(runner, rate, length-at) })
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// announce lets an endpoint name a limit for a time.
func (l *limits) announce(runner *soakRunner, rate float64, length time.Duration) {
	span := limitInterval{runner: runner, rate: rate, from: time.Now()}
	runner.NameLimit(fmt.Sprint(rate))
	time.Sleep(length)
	span.to = time.Now()
	runner.NameLimit("")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intervals = append(l.intervals, span)
}

// check: boxes that are in touch send an endpoint no more than its limit allows once they have had time to hear of it.
func (l *limits) check(j *checker, requests []*soakRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	boxOf := map[string]*soakBox{}
	for _, a := range requests {
		boxOf[a.id] = j.site.boxes[a.box]
	}
	for _, span := range l.intervals {
		var all, inTouch []time.Time
		for _, arrival := range span.runner.Arrivals() {
			if arrival.At.Before(span.from.Add(settleTime)) || arrival.At.After(span.to) {
				continue
			}
			all = append(all, arrival.At)
			if box := boxOf[arrival.Request]; box != nil && box.isUndisturbed(arrival.At, arrival.At) {
				inTouch = append(inTouch, arrival.At)
			}
		}
		allowed := limitFactor*span.rate*limitWindow.Seconds() + limitSlack
		most := maxInWindow(inTouch)
		j.site.t.Logf("%s: limit %v: most %d in %s of boxes in touch, %d of all (allowed %.1f); %d in %s",
			span.runner.id, span.rate, most, limitWindow, maxInWindow(all), allowed, len(all), span.to.Sub(span.from)-settleTime)
		if float64(most) > allowed {
			j.report("%s, which takes %v a second, got %d requests in %s of boxes in touch; allowed %.1f", span.runner.id, span.rate, most, limitWindow, allowed)
		}
	}
}

// maxInWindow is the most of the times, which are in order, that are in one window.
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
