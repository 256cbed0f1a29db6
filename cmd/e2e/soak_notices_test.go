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
	// noticeGrace is how long a box may still send requests to an endpoint after a caller received an answer in which that
	// endpoint reported draining. Notices in answers take effect at once, but the daemons run on a busy machine.
	noticeGrace = 500 * time.Millisecond
	// backoffGrace is how long requests of a box may still arrive after a 503 with a backoff, and backoffSlack is how many
	// may arrive after that.
	backoffGrace, backoffSlack = 500 * time.Millisecond, 2
	// minNoticeLength is the shortest duration of the faults.
	minNoticeLength = 8 * time.Second
)

// backoffs are the backoffs that endpoints request, in seconds.
var backoffs = []string{"0.3", "1", "2.5", "3", "8"}

type (
	// boxIncarnation identifies one incarnation of a box.
	boxIncarnation struct {
		box    *soakBox
		number int
	}

	// soakArrival is a request that arrived at an endpoint, with the caller's view of it and the box that sent it.
	soakArrival struct {
		at              time.Time
		request         *soakRequest
		sender          boxIncarnation
		reportsDraining bool
		backoff         time.Duration
	}
)

// TestSoakNotices lets endpoints report draining or request backoff in their answers during faults of boxes, the store
// and connections. Their entries in the store show them as ready throughout.
func TestSoakNotices(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		site := newSoakSite(t, *soakBoxes, hallCount(seed), runnersPerService)
		plan := newNoticePlan(site, seed, max(*soakLength, minNoticeLength))
		// Requests wait and fail at endpoints that accept nothing, as they do at broken ones.
		defer plan.endpointFaults.begin()()
		runPlan(site, plan, seed, site.drawAny, checkNotices)
	})
}

// newNoticePlan draws the events of a soak with notices.
func newNoticePlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	p := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+6)), length: length}
	kinds := []func(time.Duration){
		p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.reconfigure, p.silenceBoxConns, p.silenceStoreConns, p.compactStore,
		p.silenceEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+p.random.IntN(1500)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	for _, runner := range site.allRunners() {
		at := time.Duration(p.random.Int64N(int64(length / 2)))
		switch {
		case runner.id == "llm-0" || runner.id == "app-0":
			p.requestBackoff(at, runner, "0.3") // the other endpoints may drain or back off for long
		case p.random.IntN(2) == 0:
			p.add(at, runner.id+" reports draining", func() {
				site.addRunner(runner.id+"-new", runner.service, runner.release)
				runner.AnnounceDraining()
			})
		default:
			p.requestBackoff(at, runner, backoffs[p.random.IntN(len(backoffs))])
			p.requestBackoff(at+length/3, runner, backoffs[p.random.IntN(len(backoffs))])
		}
	}
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// requestBackoff lets an endpoint refuse all requests with a backoff for a while.
func (p *faultPlan) requestBackoff(at time.Duration, runner *soakRunner, seconds string) {
	duration := p.drawDuration()
	p.add(at, fmt.Sprintf("%s requests a backoff of %s s, for %s", runner.id, seconds, duration), func() {
		runner.SetBackoff(seconds)
		time.Sleep(duration)
		runner.SetBackoff("")
	})
}

// checkNotices checks that a box sends nothing to an endpoint that reported draining or requested backoff to it, during
// any outage. Only a restart or a freeze of the box is an excuse.
func checkNotices(c *checker, requests []*soakRequest) {
	byID := map[string]*soakRequest{}
	for _, r := range requests {
		byID[r.id] = r
	}
	for _, runner := range c.site.allRunners() {
		arrivals := map[boxIncarnation][]soakArrival{}
		for _, arrival := range runner.Arrivals() {
			r := byID[arrival.Request]
			if r == nil {
				continue // checkAll reports it as a request that no caller sent
			}
			sender := boxIncarnation{c.site.boxes[r.box], r.incarnation}
			seconds, _ := strconv.ParseFloat(arrival.Backoff, 64)
			arrivals[sender] = append(arrivals[sender], soakArrival{arrival.At, r, sender, arrival.Draining, time.Duration(seconds * float64(time.Second))})
		}
		informedBoxes, backoffRequests := 0, 0
		for _, ofBox := range arrivals {
			informedBoxes += c.checkReportedDraining(runner, ofBox)
			backoffRequests += c.checkBackoff(runner, ofBox)
		}
		c.site.t.Logf("%s reported draining to %d boxes and requested backoff %d times", runner.id, informedBoxes, backoffRequests)
	}
}

// checkReportedDraining checks the requests of one incarnation of a box. It returns 1 if the endpoint reported draining
// to that box, otherwise 0.
func (c *checker) checkReportedDraining(runner *soakRunner, arrivals []soakArrival) (informedBoxes int) {
	var informedAt time.Time
	for _, arrival := range arrivals {
		if arrival.reportsDraining && arrival.request.isComplete && (informedAt.IsZero() || arrival.request.endedAt.Before(informedAt)) {
			informedAt = arrival.request.endedAt
		}
	}
	if informedAt.IsZero() {
		return 0
	}
	for _, arrival := range arrivals {
		isLate := arrival.request.sentAt.After(informedAt.Add(noticeGrace))
		if isLate && !arrival.sender.box.freezes.overlap(informedAt, arrival.at) {
			c.reportRequest(arrival.request, fmt.Sprintf("reached %s %v after it had reported draining to the box", runner.id, arrival.at.Sub(informedAt)))
		}
	}
	return 1
}

// checkBackoff checks the requests of one incarnation of a box and returns how often it was asked to back off.
func (c *checker) checkBackoff(runner *soakRunner, arrivals []soakArrival) (asked int) {
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
			c.reportRequest(answer.request, fmt.Sprintf("%s requested a backoff of %v and received %d requests of the box in that time", runner.id, answer.backoff, late))
		}
	}
	return asked
}

// overlap reports whether any interval overlaps the time between from and to.
func (s *intervals) overlap(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.all, func(each interval) bool { return each.overlaps(from, to) })
}
