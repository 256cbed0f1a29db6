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
	// limitExcess and limitSlack bound it: so many times what the limit allows, and so many requests more.
	limitExcess, limitSlack = 1.5, 5
	// limitLength is the least length of the faults: windows are counted from soakContact after a limit was named.
	limitLength = soakContact + 2*limitWindow
	// limitFirst is when the first endpoint names its limit.
	limitFirst = 300 * time.Millisecond
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
		mu    sync.Mutex
		spans []limitSpan
	}

	// limitSpan is the time for which an endpoint named a limit.
	limitSpan struct {
		runner   *soakRunner
		rate     float64
		from, to time.Time
	}
)

// TestSoakOfLimits lets all endpoints of a service but one name limits beside faults of boxes, the store and connections.
func TestSoakOfLimits(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) { soakLimits(t, seed, *soakLength, *soakBoxes) })
}

// TestSeedsOfLimitsThatFailedOnce plays them again.
func TestSeedsOfLimitsThatFailedOnce(t *testing.T) {
	playAgain(t, failedLimitSeeds, func(t *testing.T, failed failedSeed) { soakLimits(t, failed.seed, failed.length, failed.boxes) })
}

// soakLimits plays one seed.
func soakLimits(t *testing.T, seed uint64, length time.Duration, boxes int) {
	l := &limits{}
	site := newSoakSite(t, boxes, hallsOf(seed), soakRunners)
	plan := newLimitPlan(site, l, seed, max(length, limitLength))
	// Endpoints that take no more make requests wait and fail as broken ones do.
	defer plan.endpoints.begin()()
	playSoak(site, plan, seed, site.drawAny, l.check)
}

// newLimitPlan draws the events of such a soak.
func newLimitPlan(site *soakSite, l *limits, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+5)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.harmStoreLink, a.storeAway, a.reconfigure, a.loseBoxConns, a.loseStoreConns, a.storeForgets,
		a.loseEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	for _, runner := range site.allRunners() {
		if runner.id == "llm-0" || runner.id == "app-0" {
			continue // others can take what is beyond the limits
		}
		rate := limitRates[a.random.IntN(len(limitRates))]
		at := limitFirst + time.Duration(a.random.IntN(1000))*time.Millisecond
		a.add(at, fmt.Sprintf("%s names a limit of %v", runner.id, rate), func() { l.name(runner, rate, length-at) })
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// name lets an endpoint name a limit for a time.
func (l *limits) name(runner *soakRunner, rate float64, length time.Duration) {
	span := limitSpan{runner: runner, rate: rate, from: time.Now()}
	runner.NameLimit(fmt.Sprint(rate))
	time.Sleep(length)
	span.to = time.Now()
	runner.NameLimit("")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, span)
}

// check: boxes that are in touch send an endpoint no more than its limit allows once they have had time to hear of it.
func (l *limits) check(j *judge, requests []*soakRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	boxOf := map[string]*soakBox{}
	for _, a := range requests {
		boxOf[a.id] = j.site.boxes[a.box]
	}
	for _, span := range l.spans {
		var all, inTouch []time.Time
		for _, arrival := range span.runner.Arrivals() {
			if arrival.At.Before(span.from.Add(soakContact)) || arrival.At.After(span.to) {
				continue
			}
			all = append(all, arrival.At)
			if box := boxOf[arrival.Request]; box != nil && box.isUndisturbed(arrival.At, arrival.At) {
				inTouch = append(inTouch, arrival.At)
			}
		}
		allowed := limitExcess*span.rate*limitWindow.Seconds() + limitSlack
		most := mostInWindow(inTouch)
		j.site.t.Logf("%s: limit %v: most %d in %s of boxes in touch, %d of all (allowed %.1f); %d in %s",
			span.runner.id, span.rate, most, limitWindow, mostInWindow(all), allowed, len(all), span.to.Sub(span.from)-soakContact)
		if float64(most) > allowed {
			j.report("%s, which takes %v a second, got %d requests in %s of boxes in touch; allowed %.1f", span.runner.id, span.rate, most, limitWindow, allowed)
		}
	}
}

// mostInWindow is the most of the times, which are in order, that are in one window.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
