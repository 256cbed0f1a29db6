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
	// dutyLease, usageWindow, usageDue and usageTolerance are settings of the boxes: a holder must not return within the
	// lease, and a report is due usageDue after the end of its window.
	dutyLease      = time.Second
	usageWindow    = 2 * time.Second
	usageDue       = 4 * time.Second
	usageTolerance = 0.05
	// maxUntoldTime is the longest time before a kill whose counts are lost with the process.
	maxUntoldTime = time.Second
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
		p.failAPI, p.failAPI, p.disruptAPILink, p.kill, p.terminate, p.freeze, p.disruptStoreLink, p.takeStoreDown, p.loseStoreReplies,
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

// checkOrders checks that the fleet orders runners, and stays within the limits.
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
