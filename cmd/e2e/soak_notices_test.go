package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	// noticeGrace is how long after its caller has an answer that says that the endpoint leaves a box may still be about to send it
	// requests: what answers say holds at once, and the daemons share the machine with many others.
	noticeGrace = 500 * time.Millisecond
	// backoffGrace is how long after a 503 with rest requests of the box may still arrive, and backoffSlack how many may later.
	backoffGrace, backoffSlack = 500 * time.Millisecond, 2
	// minNoticeLength is the least length of the faults.
	minNoticeLength = 8 * time.Second
)

// rests are what endpoints ask for, in seconds.
var backoffs = []string{"0.3", "1", "2.5", "3", "8"}

type (
	// boxIncarnation is one life of a box.
	boxIncarnation struct {
		box    *soakBox
		number int
	}

	// soakArrival is a request that came to an endpoint, with the caller's side of it and the life of the box that sent it.
	soakArrival struct {
		at              time.Time
		request         *soakRequest
		sender          boxIncarnation
		reportsDraining bool
		backoff         time.Duration
	}
)

// TestSoakNotices lets endpoints say in their answers that they leave, or ask for rest, beside faults of boxes, the store and
// connections; their entries say throughout that they are ready.
func TestSoakNotices(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		site := newSoakSite(t, *soakBoxes, hallCount(seed), runnersPerService)
		plan := newNoticePlan(site, seed, max(*soakLength, minNoticeLength))
		// Endpoints that take nothing make requests wait and fail as broken ones do.
		defer plan.endpointFaults.begin()()
		runPlan(site, plan, seed, site.drawAny, checkNotices)
	})
}

// newNoticePlan draws the events of such a soak.
func newNoticePlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+6)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.disruptStoreLink, a.takeStoreDown, a.reconfigure, a.silenceBoxConns, a.silenceStoreConns, a.compactStore,
		a.silenceEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	for _, runner := range site.allRunners() {
		at := time.Duration(a.random.Int64N(int64(length / 2)))
		switch {
		case runner.id == "llm-0" || runner.id == "app-0":
			a.requestBackoff(at, runner, "0.3") // others may leave, and rest for long
		case a.random.IntN(2) == 0:
			a.add(at, runner.id+" says that it leaves", func() {
				site.addRunner(runner.id+"-new", runner.service, runner.release)
				runner.SayLeaving()
			})
		default:
			a.requestBackoff(at, runner, backoffs[a.random.IntN(len(backoffs))])
			a.requestBackoff(at+length/3, runner, backoffs[a.random.IntN(len(backoffs))])
		}
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// requestBackoff lets an endpoint turn all requests away for a while.
func (a *faultPlan) requestBackoff(at time.Duration, runner *soakRunner, seconds string) {
	duration := a.drawDuration()
	a.add(at, fmt.Sprintf("%s asks for %s s of rest, %s long", runner.id, seconds, duration), func() {
		runner.AskForRest(seconds)
		time.Sleep(duration)
		runner.AskForRest("")
	})
}

// checkNotices: a box sends nothing to an endpoint that told it that it leaves, or that it wants rest, whatever its state; a new life
// or a freeze of the box is an excuse.
func checkNotices(j *checker, requests []*soakRequest) {
	byID := map[string]*soakRequest{}
	for _, a := range requests {
		byID[a.id] = a
	}
	for _, runner := range j.site.allRunners() {
		arrivals := map[boxIncarnation][]soakArrival{}
		for _, arrival := range runner.Arrivals() {
			a := byID[arrival.Request]
			if a == nil {
				continue // judged as a run that nobody asked for
			}
			from := boxIncarnation{j.site.boxes[a.box], a.incarnation}
			seconds, _ := strconv.ParseFloat(arrival.Rest, 64)
			arrivals[from] = append(arrivals[from], soakArrival{arrival.At, a, from, arrival.Leaving, time.Duration(seconds * float64(time.Second))})
		}
		told, rested := 0, 0
		for _, ofBox := range arrivals {
			told += j.checkReportedDraining(runner, ofBox)
			rested += j.checkBackoff(runner, ofBox)
		}
		j.site.t.Logf("%s told %d boxes that it leaves, and asked %d times for rest", runner.id, told, rested)
	}
}

// checkReportedDraining looks at what came from one life of a box, and counts the box if it was told.
func (j *checker) checkReportedDraining(runner *soakRunner, arrivals []soakArrival) (told int) {
	var toldAt time.Time
	for _, arrival := range arrivals {
		if arrival.reportsDraining && arrival.request.isWhole && (toldAt.IsZero() || arrival.request.endedAt.Before(toldAt)) {
			toldAt = arrival.request.endedAt
		}
	}
	if toldAt.IsZero() {
		return 0
	}
	for _, arrival := range arrivals {
		isLate := arrival.request.sentAt.After(toldAt.Add(noticeGrace))
		if isLate && !arrival.sender.box.freezes.overlap(toldAt, arrival.at) {
			j.reportRequest(arrival.request, fmt.Sprintf("reached %s %v after that had told the box that it leaves", runner.id, arrival.at.Sub(toldAt)))
		}
	}
	return 1
}

// checkBackoff looks at what came from one life of a box, and counts how often the box was asked for rest.
func (j *checker) checkBackoff(runner *soakRunner, arrivals []soakArrival) (asked int) {
	for _, answer := range arrivals {
		if answer.backoff == 0 {
			continue
		}
		asked++
		until, late := answer.at.Add(answer.backoff), 0
		for _, arrival := range arrivals {
			if arrival.at.After(answer.at.Add(backoffGrace)) && arrival.at.Before(until) {
				late++
			}
		}
		if late > backoffSlack && !answer.sender.box.freezes.overlap(answer.at, until) {
			j.reportRequest(answer.request, fmt.Sprintf("%s asked the box for %v of rest, and got %d requests of it in that time", runner.id, answer.backoff, late))
		}
	}
	return asked
}

// overlap reports whether any of the spans was between two moments.
func (s *intervals) overlap(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.all, func(each interval) bool { return each.overlaps(from, to) })
}
