package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	// answerTolerance is how late an answer may arrive after the caller's deadline or the route's timeout.
	answerTolerance = 800 * time.Millisecond
	// maxFindings is the largest number of findings that one soak reports.
	maxFindings = 12
)

type (
	// endpointRun is one execution of a request and the endpoint that executed it.
	endpointRun struct {
		standin.BatchRun
		runner *soakRunner
	}

	// checker compares what callers and endpoints observed with what willowwick guarantees.
	checker struct {
		site           *soakSite
		plan           *faultPlan
		runs           map[string][]endpointRun
		loggedRequests map[string]bool // ids of the requests named in any box's log
		findings       []string
	}

	// check examines all requests together.
	check func(c *checker, requests []*soakRequest)
)

const (
	// logLimit is the time in which a box writes the log line of a request, and logPoll how often the logs are read.
	logLimit = 2 * time.Second
	logPoll  = 100 * time.Millisecond
)

// promisingStatuses are those that promise that the request has not run and never will.
var promisingStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

// runOnceKinds are the kinds of requests that may run once.
var runOnceKinds = []requestKind{kindOnce, kindForged, kindDraft, kindFeed, kindJob}

// requestInLog matches the request id in a log line.
var requestInLog = regexp.MustCompile(`"request":"([^"]*)"`)

// awaitLogs reads the logs, until they name the latest permanent refusals or logLimit has passed: boxes write them asynchronously.
func (c *checker) awaitLogs(requests []*soakRequest) {
	for end := time.Now().Add(logLimit); ; time.Sleep(logPoll) {
		for _, box := range c.site.boxes {
			for _, found := range requestInLog.FindAllStringSubmatch(box.output.text(), -1) {
				c.loggedRequests[found[1]] = true
			}
		}
		if !slices.ContainsFunc(requests, c.lacksLogLine) || time.Now().After(end) {
			return
		}
	}
}

func (r *soakRequest) isPermanentlyRefused() bool {
	return r.status == http.StatusNotFound || r.status == http.StatusUnauthorized
}

// lacksLogLine reports whether a permanent refusal isn't named in the logs. Lines that were not yet written when a box was killed are
// lost.
func (c *checker) lacksLogLine(r *soakRequest) bool {
	return r.isPermanentlyRefused() && c.site.boxes[r.box].incarnationNumber() == r.incarnation && !c.loggedRequests[r.id]
}

// checkAll returns the violated guarantees.
func checkAll(site *soakSite, plan *faultPlan, requests []*soakRequest, checks ...check) []string {
	c := &checker{site: site, plan: plan, runs: map[string][]endpointRun{}, loggedRequests: map[string]bool{}}
	c.awaitLogs(requests)
	for _, runner := range site.allRunners() {
		for _, run := range runner.Runs() {
			c.runs[run.Request] = append(c.runs[run.Request], endpointRun{run, runner})
		}
	}
	known := map[string]bool{}
	slices.SortFunc(requests, func(a, b *soakRequest) int { return a.sentAt.Compare(b.sentAt) })
	for _, r := range requests {
		known[r.id] = true
		c.checkAnswer(r)
		c.checkRuns(r)
		c.checkDeadline(r)
		c.checkInterrupted(r)
		c.checkVersion(r)
		c.checkDraining(r)
		c.checkPermanentRefusal(r)
	}
	for id := range c.runs {
		if !known[id] {
			c.report("endpoint executed %s, which no caller sent", id)
		}
	}
	c.checkNoRevert(requests)
	c.checkRollOut()
	for _, check := range checks {
		check(c, requests)
	}
	return c.findings
}

func (c *checker) report(format string, args ...any) {
	if len(c.findings) < maxFindings {
		c.findings = append(c.findings, fmt.Sprintf(format, args...))
	}
}

func (c *checker) reportRequest(r *soakRequest, what string) {
	c.report("%.3f s: %s (%s at box-%d, %v): %s; status %d, error %v, %d runs", r.sentAt.Sub(c.site.started).Seconds(), r.id, r.kind,
		r.box, r.endedAt.Sub(r.sentAt).Round(time.Millisecond), what, r.status, r.err, len(c.runs[r.id]))
}

// checkAnswer checks that a successful answer is complete and belongs to the request, that an interrupted one is a
// prefix of it, and that a 503 says when to retry.
func (c *checker) checkAnswer(r *soakRequest) {
	switch {
	case r.status == http.StatusOK && !r.isInterrupted && !r.isComplete:
		c.reportRequest(r, "successful answer has a different body")
	case errors.Is(r.err, errForeignBody):
		c.reportRequest(r, "interrupted answer contains data of another request")
	case r.status == http.StatusServiceUnavailable && !r.hasRetryAfter:
		c.reportRequest(r, "refusal has no Retry-After")
	}
}

// checkRuns checks that non-idempotent requests run at most once, that requests refused as not run did not run, and that
// endpoints receive the caller's body with the right account and without forged headers.
func (c *checker) checkRuns(r *soakRequest) {
	runs := c.runs[r.id]
	isRunOnce := slices.Contains(runOnceKinds, r.kind)
	if isRunOnce && len(runs) > 1 {
		c.reportRequest(r, "ran more than once")
	}
	if isRunOnce && slices.Contains(promisingStatuses, r.status) && len(runs) > 0 {
		c.reportRequest(r, "was refused as not run but ran")
	}
	for _, run := range runs {
		if run.Account != "lab" || run.Body != r.body() || run.Hold != "" {
			c.reportRequest(r, fmt.Sprintf("reached an endpoint with account %q, body %q and lease %q", run.Account, run.Body, run.Hold))
		}
	}
}

// checkDeadline checks that an undisturbed box answers by the deadline.
func (c *checker) checkDeadline(r *soakRequest) {
	limit := r.timeout
	if r.version > 0 {
		limit = min(limit, versionTimeout)
	}
	if !r.isAbandoned && r.endedAt.Sub(r.sentAt) > limit+answerTolerance && c.site.boxes[r.box].isUndisturbed(r.sentAt, r.endedAt) {
		c.reportRequest(r, fmt.Sprint("was not answered within its limit of ", limit))
	}
}

// checkInterrupted checks that a request that reached an endpoint is answered, even by a box that is shutting down, and
// that an answer is interrupted only during endpoint faults.
func (c *checker) checkInterrupted(r *soakRequest) {
	isInTime := r.endedAt.Sub(r.sentAt) < r.timeout
	if r.isAbandoned || r.kind == kindPoison || len(c.runs[r.id]) == 0 || !isInTime || !c.site.boxes[r.box].outages.isClear(r.sentAt, r.endedAt) {
		return
	}
	hasNoAnswer := r.err != nil && r.status == 0 && !r.isConnRefused
	switch {
	case hasNoAnswer:
		c.reportRequest(r, "ran, but the connection closed without an answer")
	case r.isInterrupted && c.plan.endpointFaults.isClear(r.sentAt, r.endedAt):
		c.reportRequest(r, "its answer was interrupted")
	}
}

// checkVersion checks that a configuration is in force within configApplyLimit of its write, and that a key it removed
// is rejected after keyRevokeLimit. An outage that begins while the request is handled is no excuse, since the
// configuration in force was determined before.
func (c *checker) checkVersion(r *soakRequest) {
	if r.version == 0 || !c.site.boxes[r.box].isUndisturbed(r.sentAt, r.sentAt) || !c.plan.storeOutages.isClear(r.sentAt, r.sentAt) {
		return
	}
	written := c.site.writtenAt(r.version)
	isRouteGone := c.site.isRemovedBy(r.version, c.site.routesKept, r.endedAt)
	if r.key == siteKey && r.status == http.StatusNotFound && r.sentAt.After(written.Add(configApplyLimit)) && !isRouteGone {
		c.reportRequest(r, fmt.Sprintf("unknown route although version %d was written %v earlier", r.version, r.sentAt.Sub(written)))
	}
	if r.key == siteKey || r.status != http.StatusOK {
		return
	}
	if removed, isRemoved := c.site.removedAt(r.version, c.site.keysKept); isRemoved && r.sentAt.After(removed.Add(keyRevokeLimit)) {
		c.reportRequest(r, fmt.Sprintf("was served although its key was removed %v earlier", r.sentAt.Sub(removed)))
	}
}

// checkNoRevert checks that an incarnation of a daemon never returns to an older configuration.
func (c *checker) checkNoRevert(requests []*soakRequest) {
	type boxKey struct{ box, number int }
	newest := map[boxKey]*soakRequest{}
	ended := slices.Clone(requests)
	slices.SortFunc(ended, func(a, b *soakRequest) int { return a.endedAt.Compare(b.endedAt) })
	for _, r := range ended {
		key := boxKey{r.box, r.incarnation}
		if r.version == 0 || r.key != siteKey || r.incarnation == 0 || c.site.boxes[r.box].incarnationNumber() != r.incarnation {
			continue
		}
		if c.site.isRemovedBy(r.version, c.site.routesKept, r.endedAt) {
			continue
		}
		seen := newest[key]
		if r.status == http.StatusNotFound && seen != nil && seen.version >= r.version && r.sentAt.After(seen.endedAt) {
			c.reportRequest(r, fmt.Sprintf("the box had served version %d before", seen.version))
		}
		if r.status == http.StatusOK && (seen == nil || r.version > seen.version) {
			newest[key] = r
		}
	}
}

// checkDraining checks that an endpoint receives no new requests drainLimit after it reported that it is draining.
func (c *checker) checkDraining(r *soakRequest) {
	for _, run := range c.runs[r.id] {
		since := run.runner.drainingSince()
		if since.IsZero() || run.At.Before(since.Add(drainLimit)) || r.sentAt.Before(since) {
			continue
		}
		if c.site.boxes[r.box].isUndisturbed(run.At, run.At) && c.plan.storeOutages.isClear(run.At, run.At) {
			c.reportRequest(r, fmt.Sprintf("reached %s %v after it reported draining", run.runner.id, run.At.Sub(since)))
		}
	}
}

// checkRollOut checks that the roll-out of a release that always fails is not completed.
func (c *checker) checkRollOut() {
	value, found := c.site.store.Get("keyed.status", "rollout/llm")
	if found && c.plan.badRelease != "" && strings.Contains(string(value), "completed") {
		c.report("the roll-out of the failing release %s was completed: %s", c.plan.badRelease, value)
	}
}

// checkPermanentRefusal checks that a box does not permanently refuse (404 or 401) what was written more than
// configApplyLimit ago and not removed since, and that it logs each permanent refusal. Outages are no excuse: a box that
// does not know what is in force must say so.
func (c *checker) checkPermanentRefusal(r *soakRequest) {
	if !r.isPermanentlyRefused() {
		return
	}
	if c.lacksLogLine(r) {
		c.reportRequest(r, "its permanent refusal was not logged")
	}
	var version int
	_, err := fmt.Sscanf(r.key, versionKeyFormat, &version)
	switch {
	case r.kind == kindUnknownRoute:
	case r.status == http.StatusNotFound && r.version > 0:
		c.checkNotInForce(r, r.version, c.site.routesKept)
	case r.status == http.StatusUnauthorized && err == nil:
		c.checkNotInForce(r, version, c.site.keysKept)
	default:
		c.reportRequest(r, "a route or key of all configurations was permanently refused")
	}
}

// checkNotInForce reports a permanently refused request if what the version added had to be in force.
func (c *checker) checkNotInForce(r *soakRequest, version, kept int) {
	since := r.sentAt.Sub(c.site.writtenAt(version))
	if since > configApplyLimit && !c.site.isRemovedBy(version, kept, r.endedAt) {
		c.reportRequest(r, fmt.Sprintf("was permanently refused although version %d was written %v earlier", version, since.Round(time.Millisecond)))
	}
}
