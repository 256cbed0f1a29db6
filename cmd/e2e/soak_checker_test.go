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
	// answerTolerance is how much later than a caller's deadline, or its route's limit, an answer may come.
	answerTolerance = 800 * time.Millisecond
	// maxFindings bounds what one soak reports.
	maxFindings = 12
)

type (
	// ran is a run of a request with the endpoint that ran it.
	endpointRun struct {
		standin.BatchRun
		runner *soakRunner
	}

	// judge checks what callers and endpoints saw against what willowwick promises.
	checker struct {
		site           *soakSite
		plan           *faultPlan
		runs           map[string][]endpointRun
		loggedRequests map[string]bool // requests that some line of a box's log names
		findings       []string
	}

	// check looks at all requests together.
	check func(j *checker, requests []*soakRequest)
)

// requestInLog finds the request that a line of a log names.
var requestInLog = regexp.MustCompile(`"request":"([^"]*)"`)

// checkAll returns what broke a promise.
func checkAll(site *soakSite, plan *faultPlan, requests []*soakRequest, checks ...check) []string {
	j := &checker{site: site, plan: plan, runs: map[string][]endpointRun{}, loggedRequests: map[string]bool{}}
	for _, box := range site.boxes {
		for _, found := range requestInLog.FindAllStringSubmatch(box.output.text(), -1) {
			j.loggedRequests[found[1]] = true
		}
	}
	for _, runner := range site.allRunners() {
		for _, run := range runner.Runs() {
			j.runs[run.Request] = append(j.runs[run.Request], endpointRun{run, runner})
		}
	}
	known := map[string]bool{}
	slices.SortFunc(requests, func(a, b *soakRequest) int { return a.sentAt.Compare(b.sentAt) })
	for _, a := range requests {
		known[a.id] = true
		j.checkAnswer(a)
		j.checkRuns(a)
		j.checkDeadline(a)
		j.checkInterrupted(a)
		j.checkVersion(a)
		j.checkDraining(a)
		j.checkPermanentRefusal(a)
	}
	for id := range j.runs {
		if !known[id] {
			j.report("a run of %s, which nobody asked for", id)
		}
	}
	j.checkNoRevert(requests)
	j.checkRollOut()
	for _, check := range checks {
		check(j, requests)
	}
	return j.findings
}

func (j *checker) report(format string, args ...any) {
	if len(j.findings) < maxFindings {
		j.findings = append(j.findings, fmt.Sprintf(format, args...))
	}
}

func (j *checker) reportRequest(a *soakRequest, what string) {
	j.report("%.3f s: %s (%s at box-%d, %v): %s; status %d, error %v, %d runs", a.sentAt.Sub(j.site.started).Seconds(), a.id, a.kind,
		a.box, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), what, a.status, a.err, len(j.runs[a.id]))
}

// checkAnswer: a success is whole and the caller's own, a broken one does not look whole.
func (j *checker) checkAnswer(a *soakRequest) {
	switch {
	case a.status == http.StatusOK && !a.isCut && !a.isWhole:
		j.reportRequest(a, "a success with another body")
	case errors.Is(a.err, errForeignBody):
		j.reportRequest(a, "a cut answer holds what is not its own")
	case a.status == http.StatusServiceUnavailable && !a.hasRetryAfter:
		j.reportRequest(a, "a refusal does not say when to return")
	}
}

// checkRuns: what may run once does, a refusal is true, and endpoints get what the caller sent with the right account.
func (j *checker) checkRuns(a *soakRequest) {
	runs := j.runs[a.id]
	once := a.kind == kindOnce || a.kind == kindForged
	if once && len(runs) > 1 {
		j.reportRequest(a, "ran more than once")
	}
	if once && a.status == http.StatusServiceUnavailable && len(runs) > 0 {
		j.reportRequest(a, "was refused as not run, but ran")
	}
	for _, run := range runs {
		if run.Account != "lab" || run.Body != a.body() || run.Hold != "" {
			j.reportRequest(a, fmt.Sprintf("reached an endpoint as account %q with body %q and lease %q", run.Account, run.Body, run.Hold))
		}
	}
}

// checkDeadline: a box that is in touch answers at the deadline.
func (j *checker) checkDeadline(a *soakRequest) {
	limit := a.timeout
	if a.version > 0 {
		limit = min(limit, versionTimeout)
	}
	if !a.isAbandoned && a.endedAt.Sub(a.sentAt) > limit+answerTolerance && j.site.boxes[a.box].isUndisturbed(a.sentAt, a.endedAt) {
		j.reportRequest(a, fmt.Sprint("was held beyond its limit of ", limit))
	}
}

// checkInterrupted: a request that reached an endpoint is answered, also by a box that is told to stop; an answer breaks off
// only where endpoints are in trouble.
func (j *checker) checkInterrupted(a *soakRequest) {
	isInTime := a.endedAt.Sub(a.sentAt) < a.timeout
	if a.isAbandoned || a.kind == kindPoison || len(j.runs[a.id]) == 0 || !isInTime || !j.site.boxes[a.box].outages.isClear(a.sentAt, a.endedAt) {
		return
	}
	hasNoAnswer := a.err != nil && a.status == 0 && !a.isConnRefused
	switch {
	case hasNoAnswer:
		j.reportRequest(a, "ran, and the connection closed without an answer")
	case a.isCut && j.plan.endpointFaults.isClear(a.sentAt, a.endedAt):
		j.reportRequest(a, "its answer broke off")
	}
}

// checkVersion: a configuration is in force some seconds after it was written, and what it took away is gone. Trouble
// that begins while the request is answered is no excuse: what is in force was settled before.
func (j *checker) checkVersion(a *soakRequest) {
	if a.version == 0 || !j.site.boxes[a.box].isUndisturbed(a.sentAt, a.sentAt) || !j.plan.storeOutages.isClear(a.sentAt, a.sentAt) {
		return
	}
	written := j.site.writtenAt(a.version)
	isRouteGone := j.site.isRemovedBy(a.version, j.site.routesKept, a.endedAt)
	if a.key == siteKey && a.status == http.StatusNotFound && a.sentAt.After(written.Add(configApplyLimit)) && !isRouteGone {
		j.reportRequest(a, fmt.Sprintf("version %d was written %v before", a.version, a.sentAt.Sub(written)))
	}
	if a.key == siteKey || a.status != http.StatusOK {
		return
	}
	if removed, isRemoved := j.site.removedAt(a.version, j.site.keysKept); isRemoved && a.sentAt.After(removed.Add(keyRevokeLimit)) {
		j.reportRequest(a, fmt.Sprintf("its key was taken away %v before", a.sentAt.Sub(removed)))
	}
}

// checkNoRevert: within one life of a daemon, what a newer configuration brought stays.
func (j *checker) checkNoRevert(requests []*soakRequest) {
	type life struct{ box, number int }
	newest := map[life]*soakRequest{}
	ended := slices.Clone(requests)
	slices.SortFunc(ended, func(a, b *soakRequest) int { return a.endedAt.Compare(b.endedAt) })
	for _, a := range ended {
		key := life{a.box, a.incarnation}
		if a.version == 0 || a.key != siteKey || a.incarnation == 0 || j.site.boxes[a.box].incarnationNumber() != a.incarnation {
			continue
		}
		if j.site.isRemovedBy(a.version, j.site.routesKept, a.endedAt) {
			continue
		}
		seen := newest[key]
		if a.status == http.StatusNotFound && seen != nil && seen.version >= a.version && a.sentAt.After(seen.endedAt) {
			j.reportRequest(a, fmt.Sprintf("the box had version %d before", seen.version))
		}
		if a.status == http.StatusOK && (seen == nil || a.version > seen.version) {
			newest[key] = a
		}
	}
}

// checkDraining: an endpoint that said it leaves gets nothing new some seconds later.
func (j *checker) checkDraining(a *soakRequest) {
	for _, run := range j.runs[a.id] {
		left := run.runner.drainingSince()
		if left.IsZero() || run.At.Before(left.Add(drainLimit)) || a.sentAt.Before(left) {
			continue
		}
		if j.site.boxes[a.box].isUndisturbed(run.At, run.At) && j.plan.storeOutages.isClear(run.At, run.At) {
			j.reportRequest(a, fmt.Sprintf("reached %s %v after that said it leaves", run.runner.id, run.At.Sub(left)))
		}
	}
}

// checkRollOut: a release whose answers are all failures is not completed.
func (j *checker) checkRollOut() {
	value, found := j.site.store.Get("keyed.status", "rollout/llm")
	if found && j.plan.badRelease != "" && strings.Contains(string(value), "completed") {
		j.report("the bad release %s was completed: %s", j.plan.badRelease, value)
	}
}

// checkPermanentRefusal: what was accepted long enough ago is not refused for good, unless it was taken away since, and a refusal for
// good has its line in the log. No trouble is an excuse: a box that does not know what is in force has to say so.
func (j *checker) checkPermanentRefusal(a *soakRequest) {
	if a.status != http.StatusNotFound && a.status != http.StatusUnauthorized {
		return
	}
	// What a box had not written when it was killed is lost.
	if j.site.boxes[a.box].incarnationNumber() == a.incarnation && !j.loggedRequests[a.id] {
		j.reportRequest(a, "no line of the log names it")
	}
	var version int
	_, err := fmt.Sscanf(a.key, versionKeyFormat, &version)
	switch {
	case a.kind == kindUnknownRoute:
	case a.status == http.StatusNotFound && a.version > 0:
		j.checkNotInForce(a, a.version, j.site.routesKept)
	case a.status == http.StatusUnauthorized && err == nil:
		j.checkNotInForce(a, version, j.site.keysKept)
	default:
		j.reportRequest(a, "what all configurations hold was refused for good")
	}
}

// checkNotInForce: what a version brought had to be in force, and was not.
func (j *checker) checkNotInForce(a *soakRequest, version, kept int) {
	since := a.sentAt.Sub(j.site.writtenAt(version))
	if since > configApplyLimit && !j.site.isRemovedBy(version, kept, a.endedAt) {
		j.reportRequest(a, fmt.Sprintf("refused for good, though version %d was written %v before", version, since.Round(time.Millisecond)))
	}
}
