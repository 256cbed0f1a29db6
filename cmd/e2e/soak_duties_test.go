package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
)

const (
	// dutyLease, usageWindow, usageDue and usageTolerance are settings of the boxes: a holder must not return within the
	// lease, and a report is due usageDue after the end of its window.
	dutyLease      = 3 * time.Second
	usageWindow    = time.Second
	usageDue       = 3 * time.Second
	usageTolerance = 0.05
	// maxUntoldTime is the longest time before a kill whose counts are lost with the process.
	maxUntoldTime = time.Second
	// takeoverTime is about the time until another box has the lease.
	takeoverTime = 1200 * time.Millisecond
	// minRunners and maxRunners are the limits of the orders of runners for a service in a hall.
	minRunners, maxRunners = 2, 5
	// lateExecutionSpread is the longest time by which calls without an answer are executed late.
	lateExecutionSpread = 3 * time.Second
)

// TestSoakDuties gives the fleet the duties to report usage and to order runners, during faults of their API, of boxes
// and of the store.
func TestSoakDuties(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { runDutySoak(t, seed, *soakLength, *soakBoxes) })
}

// TestPreviouslyFailedDutySeeds replays a seed that failed.
func TestPreviouslyFailedDutySeeds(t *testing.T) {
	failed := []failedSeed{{3000, 8 * time.Second, 3, "a usage report lacked requests; not traced"}}
	replaySeeds(t, failed, func(t *testing.T, failed failedSeed) { runDutySoak(t, failed.seed, failed.length, failed.boxes) })
}

// runDutySoak runs one seed.
func runDutySoak(t *testing.T, seed uint64, length time.Duration, boxes int) {
	site := &soakSite{t: t, store: standin.NewStore(), keysKept: 1, dutyAPI: standin.NewDutyAPI(dutyLease)}
	startSoakSite(site, boxes, hallCount(seed), runnersPerService)
	runPlan(site, newDutyPlan(site, seed, length), seed, site.drawAny, checkHolders, checkUsage, checkOrders)
}

// dutyFields returns the settings of a box with duties.
func dutyFields(apiAddress string) []string {
	return []string{
		"cloud.address=" + apiAddress, "cloud.duties=usage,scale", "cloud.duty-per-s=10", "bounds.require-fence=true",
		fmt.Sprint("bounds.lease-ms=", dutyLease.Milliseconds()), fmt.Sprint("bounds.window-s=", usageWindow.Seconds()),
		fmt.Sprint("bounds.usage-late-s=", usageDue.Seconds()), fmt.Sprint("bounds.usage-off=", usageTolerance),
	}
}

// newDutyPlan draws the events of a soak with duties.
func newDutyPlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	p := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+6)), length: length}
	kinds := []func(time.Duration){
		p.failAPI, p.failAPI, p.strikeHolderTwice, p.strikeHolderTwice, p.disruptAPILink, p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.loseStoreReplies,
		p.silenceStoreConns, p.loseStoreCalls, p.compactStore, p.crashEndpoint, p.drainEndpoint, p.reconfigure,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(100+p.random.IntN(900)) * time.Millisecond {
		kinds[p.random.IntN(len(kinds))](at)
	}
	p.addFinalConnLoss(length)
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
	return p
}

// failAPI lets the API fail all calls, reject them as too many, take them without an answer, or execute them late.
func (p *faultPlan) failAPI(at time.Duration) {
	faults, duration := []standin.DutyFaults{
		{Down: true},
		{Throttled: true},
		{Silent: true},
		{DroppedAnswers: 1 + p.random.IntN(3), LateBy: time.Duration(p.random.Int64N(int64(lateExecutionSpread)))},
	}[p.random.IntN(4)], p.drawDuration()
	p.add(at, fmt.Sprintf("API fails %+v %v", faults, duration), func() {
		p.site.dutyAPI.SetFaults(faults)
		time.Sleep(duration)
		p.site.dutyAPI.SetFaults(standin.DutyFaults{})
	})
}

// disruptAPILink harms the connections of a box to the API.
func (p *faultPlan) disruptAPILink(at time.Duration) {
	box := p.drawBox()
	name, run := p.drawLinkFault(box.apiLink)
	p.add(at, "API link of "+box.name+" "+name, run)
}

// strikeHolderTwice strikes the holder, and then the next one, so that the lease may return to the first within its time.
func (p *faultPlan) strikeHolderTwice(at time.Duration) {
	p.strikeHolder(at)
	p.strikeHolder(at + takeoverTime + time.Duration(p.random.Int64N(int64(takeoverTime))))
}

// strikeHolder suspends, stops, kills, or cuts from the store or the API the box that was granted the lease last.
func (p *faultPlan) strikeHolder(at time.Duration) {
	how, duration := p.random.IntN(5), p.drawDuration()
	name := []string{"suspended ", "cut from the store ", "cut from the API ", "killed ", "stopped "}[how]
	p.add(at, fmt.Sprint("holder is ", name, duration), func() {
		box := p.site.lastHolder()
		if box == nil {
			return
		}
		if how == 4 {
			defer box.plannedStops.begin()()
		} else {
			defer box.outages.begin()()
		}
		switch how {
		case 0:
			defer box.freezes.begin()()
			box.signal(syscall.SIGSTOP)
			defer box.signal(syscall.SIGCONT)
		case 1:
			box.storeLink.set(linkToClientBlocked)
			defer box.storeLink.set(linkClear)
		case 2:
			box.apiLink.set(linkToClientBlocked)
			defer box.apiLink.set(linkClear)
		case 3:
			box.signal(syscall.SIGKILL)
			defer box.awaitReady()
		default:
			box.signal(syscall.SIGTERM)
			defer box.awaitReady()
		}
		time.Sleep(duration)
	})
}

// lastHolder returns the box that was granted the lease on the duties last, or nil if none was.
func (s *soakSite) lastHolder() *soakBox {
	data, _ := s.store.Get("keyed.willowwick.duties", "lease")
	var grant willowwick.DutyLease
	_ = json.Unmarshal(data, &grant) // without a grant, no box has its name
	for _, box := range s.boxes {
		if box.name == string(grant.Holder) {
			return box
		}
	}
	return nil
}

// checkHolders checks that no holder broke a rule of the duties, and that one makes calls within recoveryTime after the
// faults.
func checkHolders(c *checker, _ []*soakRequest) {
	for _, violation := range c.site.dutyAPI.Violations() {
		c.report("duties: %s", violation)
	}
	calls := c.site.dutyAPI.Executed()
	first := slices.IndexFunc(calls, func(call standin.DutyCall) bool { return call.Arrived.After(c.plan.ended) })
	if first < 0 || calls[first].Arrived.After(c.plan.ended.Add(recoveryTime)) {
		c.report("duties: no call within %v after the faults; %d calls in all", recoveryTime, len(calls))
		return
	}
	c.site.t.Logf("duties: %d calls, the first after the faults came %v after them", len(calls), calls[first].Arrived.Sub(c.plan.ended))
}

// checkUsage checks the counts of all reports, and that one of a window after the faults has arrived.
func checkUsage(c *checker, requests []*soakRequest) {
	recovered, judged := 0, 0
	for window, counts := range c.site.dutyAPI.Reports() {
		from := time.Unix(0, 0).Add(time.Duration(window) * usageWindow)
		to := from.Add(usageWindow)
		if to.After(c.plan.ended) {
			recovered++
		}
		if c.isKilledIn(from, to.Add(maxUntoldTime)) {
			continue
		}
		judged++
		least, most := c.countRequests(requests, from, to)
		count := counts["lab"]
		if float64(count) < (1-usageTolerance)*float64(least) || float64(count) > (1+usageTolerance)*float64(most) || len(counts) > 1 {
			c.report("window %d, %.3f s: reported %v, but from %d to %d requests began to run", window, from.Sub(c.site.started).Seconds(), counts, least, most)
		}
	}
	if recovered == 0 {
		c.report("no usage report of a window that ended after the faults")
	}
	c.site.t.Logf("usage: %d reports, %d of them judged by their counts, %d of windows that ended after the faults", len(c.site.dutyAPI.Reports()), judged, recovered)
}

func (c *checker) isKilledIn(from, to time.Time) bool {
	return slices.ContainsFunc(c.site.boxes, func(box *soakBox) bool { return box.kills.overlap(from, to) })
}

// countRequests returns the least and the greatest number of requests that can have begun to run in a window, as their
// boxes saw it: between the first run at an endpoint and the end of the answer.
func (c *checker) countRequests(requests []*soakRequest, from, to time.Time) (least, most int) {
	for _, r := range requests {
		runs := c.runs[r.id]
		if len(runs) == 0 {
			continue
		}
		began := slices.MinFunc(runs, func(a, b endpointRun) int { return a.At.Compare(b.At) }).At
		if began.Before(to) && !r.endedAt.Before(from) {
			most++
		}
		if r.status == http.StatusOK && !began.Before(from) && r.endedAt.Before(to) {
			least++
		}
	}
	return least, most
}

// checkOrders checks that all orders of runners are within the limits.
func checkOrders(c *checker, _ []*soakRequest) {
	orders := 0
	for _, call := range c.site.dutyAPI.Executed() {
		if call.Subject == "usage" {
			continue
		}
		orders++
		if call.Runners < minRunners || call.Runners > maxRunners {
			c.report("%s ordered %d runners of %s", call.Holder, call.Runners, call.Subject)
		}
	}
	c.site.t.Logf("%d orders of runners", orders)
}
