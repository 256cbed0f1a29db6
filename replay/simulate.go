package replay

import (
	"container/heap"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

const (
	loadReportInterval    = 500 * time.Millisecond
	loadReportDelay       = 300 * time.Millisecond
	raterDelay            = 150 * time.Millisecond
	wrongRatingShare      = 0.03 // share of ratings that are wrong
	evidenceInterval      = time.Second
	sampledShare          = 0.5 // share of answers whose ratings count as evidence on their version
	failureQuality        = 0.1 // share of good answers that stay good under FailureRatings
	failureErrorRate      = 0.5 // share of requests that fail under FailureErrors
	failureSlowdown       = 8   // factor on all durations under FailureSlow
	slowFirstToken        = 1800 * time.Millisecond
	slowTokenGap          = 39 * time.Millisecond
	timedStepInterval     = 60 * time.Second
	manualWithdrawalDelay = 120 * time.Second // after which an operator withdraws a bad version by hand
	minRequests           = 60
	maxAttempts           = 2
)

var (
	epoch        = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rolloutSteps = []float64{5, 25, 50, 100}
)

type (
	// simulation runs one policy on one trace.
	simulation struct {
		policy          policy
		trace           *Trace
		now             time.Time
		queue           eventQueue
		lastSequence    int
		runners         map[willowwick.EndpointID]*runner
		runnerList      []*runner
		routers         []*router
		learner         *route.Learner
		revision        *config.Revision
		monitor         *rollout.Monitor
		pendingEvidence map[willowwick.VersionID]rollout.Evidence // since the last evaluation of the roll-out
		step            int
		stepStarted     time.Time
		withdrawn       bool // the new version is withdrawn
		result          tally
	}

	// router is the routing state of one box: its pool, its queues and its requests in flight by version.
	router struct {
		pool     *route.Pool
		queues   map[willowwick.VersionID]*route.Queue
		fifo     map[willowwick.VersionID][]*task
		inFlight map[willowwick.VersionID]int
	}

	// task is a request in progress.
	task struct {
		Request
		router      *router
		arrivedAt   time.Time
		deadline    time.Time
		subject     route.Subject
		version     Version
		needsRating bool
		attempts    int
		cost        willowwick.MicroUnits
		slot        *route.Slot
		sentAt      time.Time
	}

	// event is a function to run at a point in virtual time; sequence orders events of the same time.
	event struct {
		at       time.Time
		sequence int
		run      func()
	}

	eventQueue []event
)

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) schedule(when time.Time, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: when, sequence: s.lastSequence, run: run})
}

// simulate replays a trace under a policy.
func simulate(trace *Trace, p policy, seed uint64) (tally, error) {
	s := &simulation{
		policy: p, trace: trace, now: epoch, runners: map[willowwick.EndpointID]*runner{},
		learner: route.NewLearner(), monitor: rollout.NewMonitor(trace.New.ID), pendingEvidence: map[willowwick.VersionID]rollout.Evidence{},
		result: newTally(),
	}
	if err := s.declareObjects(); err != nil {
		return tally{}, err
	}
	s.buildFleet(seed)
	for i := range trace.Requests {
		request := trace.Requests[i]
		s.schedule(epoch.Add(time.Duration(request.AtMs)*time.Millisecond), func() { s.arrive(i, request) })
	}
	end := epoch.Add(time.Duration(trace.Requests[len(trace.Requests)-1].AtMs) * time.Millisecond)
	s.scheduleEvery(loadReportInterval, end, s.reportLoads)
	s.scheduleEvery(evidenceInterval, end, s.evaluateRollout)
	for s.queue.Len() > 0 {
		next, ok := heap.Pop(&s.queue).(event)
		if !ok {
			break
		}
		s.now = next.at
		next.run()
	}
	return s.result, nil
}

func (s *simulation) scheduleEvery(period time.Duration, end time.Time, run func()) {
	for when := epoch.Add(period); when.Before(end); when = when.Add(period) {
		s.schedule(when, run)
	}
}

// reportLoads reports the current load of every runner to every box, where it arrives after loadReportDelay.
func (s *simulation) reportLoads() {
	for _, r := range s.runnerList {
		load := r.load(s.now)
		s.schedule(s.now.Add(loadReportDelay), func() {
			for _, box := range s.routers {
				box.pool.Report(load)
			}
		})
	}
}

// arrive hands the request with index i to one of the boxes, in rotation.
func (s *simulation) arrive(i int, request Request) {
	t := &task{
		Request: request, router: s.routers[i%len(s.routers)], arrivedAt: s.now,
		deadline: s.now.Add(time.Duration(request.DeadlineMs) * time.Millisecond),
	}
	s.result.requests++
	s.dispatchOrQueue(t, s.firstVersion(t))
}

// firstVersion returns the version that the request is sent to first, and sets whether its answer needs a rating.
func (s *simulation) firstVersion(t *task) Version {
	cheap := s.cheapVersion(t)
	t.subject = route.Subject{Account: t.Account, Class: t.Class, Version: cheap.ID}
	t.needsRating = false
	switch s.policy.cascade {
	case cascadeStrong:
		return s.trace.Strong
	case cascadeCheap:
		return cheap
	case cascadeOracle:
		if t.CheapGood || !t.StrongGood {
			return cheap
		}
		return s.trace.Strong
	case cascadeFixed:
		t.needsRating = true
		return cheap
	}
	strong := s.trace.Strong
	verdict := s.learner.Choose(route.StageChoice{
		Subject: t.subject, StrongSubject: route.Subject{Account: t.Account, Class: t.Class, Version: strong.ID},
		Cheap: cheap.Price.Cost(t.Prompt, t.Output), Strong: strong.Price.Cost(t.Prompt, t.Output),
		HasJudge: true, Quality: willowwick.Score(s.trace.Quality), Now: s.now, Deadline: t.deadline, CanExplore: true,
	})
	if verdict == route.SkipStage {
		return strong
	}
	t.needsRating = verdict == route.TryStage
	return cheap
}

// cheapVersion returns the version of the cheap model that the roll-out selects for the session.
func (s *simulation) cheapVersion(t *task) Version {
	if s.policy.skipsRollout || s.since(s.trace.Rollout.StartMs) < 0 {
		return s.trace.Cheap
	}
	version, refusal := route.ChooseVersion(s.revision, route.VersionQuery{
		Account: "all", Model: s.trace.Cheap.Model, Seed: t.Session, Confirmed: true, Now: s.now,
	})
	if refusal == nil && version == s.trace.New.ID {
		return s.trace.New
	}
	return s.trace.Cheap
}

func (s *simulation) since(ms int64) time.Duration {
	return s.now.Sub(epoch.Add(time.Duration(ms) * time.Millisecond))
}

// hasFailure reports whether version is the new version and has begun to fail in the given way.
func (s *simulation) hasFailure(version willowwick.VersionID, mode FailureMode) bool {
	r := s.trace.Rollout
	return version == s.trace.New.ID && r.Failure == mode && s.since(r.FailureStartMs) >= 0
}

// dispatchOrQueue sends a request to a runner, or queues it if others wait for the version or no slot is free.
func (s *simulation) dispatchOrQueue(t *task, version Version) {
	t.version = version
	q := t.router.queueOf(version.ID)
	if q.Len() == 0 && len(t.router.fifo[version.ID]) == 0 && s.dispatch(t) {
		return
	}
	if s.policy.fifo {
		t.router.fifo[version.ID] = append(t.router.fifo[version.ID], t)
		return
	}
	w := &route.Waiter{Account: t.Account, Weight: 1, Cost: t.Prompt + t.Output, Deadline: t.deadline, Value: t}
	if _, ok := q.Push(s.now, w); !ok {
		s.result.refused++
	}
}

func (r *router) queueOf(version willowwick.VersionID) *route.Queue {
	q := r.queues[version]
	if q == nil {
		q = route.NewQueue()
		r.queues[version] = q
	}
	return q
}

// dispatch sends a request to a runner if a slot is free, and reports whether it did.
func (s *simulation) dispatch(t *task) bool {
	if s.policy.picker == pickPerfectLoad {
		for _, r := range s.runnerList {
			t.router.pool.Report(r.load(s.now))
		}
	}
	slot, _ := t.router.pool.AcquireVersion(s.now, t.version.ID, t.Prefix, nil)
	if slot == nil {
		return false
	}
	t.slot, t.sentAt = slot, s.now
	t.router.inFlight[t.version.ID]++
	t.router.queueOf(t.version.ID).SetInFlight(t.router.inFlight[t.version.ID])
	r := s.runners[slot.Endpoint.ID]
	failing := t.version.ID == s.trace.New.ID && s.trace.Rollout.Failure != "" && s.since(s.trace.Rollout.FailureStartMs) >= 0
	if failing {
		s.result.exposure++
	}
	j := &job{version: t.version, prompt: t.Prompt, output: t.Output, prefix: t.Prefix, slowdown: 1}
	if s.hasFailure(t.version.ID, FailureSlow) {
		j.slowdown = failureSlowdown
	}
	j.fails = s.hasFailure(t.version.ID, FailureErrors) && t.Draw < failureErrorRate
	j.onStart = func(_, first, end time.Time) {
		s.schedule(end, func() { s.finishJob(t, r, first, j.fails) })
	}
	r.submit(s.now, j)
	return true
}

// finishJob releases the slot, records the outcome, and handles the answer or retries the request.
func (s *simulation) finishJob(t *task, r *runner, first time.Time, failed bool) {
	r.finish(s.now)
	slow := s.isSlow(t, first)
	outcome := route.OutcomeGood
	if failed {
		outcome = route.OutcomeFailed
	} else if slow {
		outcome = route.OutcomeSlow
	}
	t.slot.Release(s.now, outcome)
	box, version := t.router, t.version.ID
	box.inFlight[version]--
	q := box.queueOf(version)
	q.SetInFlight(box.inFlight[version])
	if !failed {
		q.RecordServed(t.Prompt+t.Output, s.now.Sub(t.sentAt))
	}
	s.dispatchWaiting(box)
	seen := rollout.Evidence{Requests: 1}
	if failed {
		seen.Errors = 1
	} else if slow {
		seen.Slow = 1
	}
	s.pendingEvidence[version] = s.pendingEvidence[version].Add(seen)
	if failed {
		s.retry(t)
		return
	}
	t.cost += t.version.Price.Cost(t.Prompt, t.Output)
	s.learner.RecordDuration(route.Subject{Account: t.Account, Class: t.Class, Version: version}, s.now.Sub(t.sentAt))
	s.handleAnswer(t, first)
}

func (s *simulation) isSlow(t *task, first time.Time) bool {
	return first.Sub(t.sentAt) > slowFirstToken || s.now.Sub(first) > time.Duration(t.Output)*slowTokenGap
}

// retry sends a failed request to its version again, and to the strong model after maxAttempts failures.
func (s *simulation) retry(t *task) {
	t.attempts++
	if t.attempts >= maxAttempts {
		t.needsRating = false
		s.dispatchOrQueue(t, s.trace.Strong)
		return
	}
	s.dispatchOrQueue(t, t.version)
}

// dispatchWaiting dispatches a box's queued requests while slots are free.
func (s *simulation) dispatchWaiting(box *router) {
	for version, waiting := range box.fifo {
		for len(waiting) > 0 && s.dispatch(waiting[0]) {
			waiting = waiting[1:]
		}
		box.fifo[version] = waiting
	}
	for _, version := range []willowwick.VersionID{s.trace.Cheap.ID, s.trace.New.ID, s.trace.Strong.ID} {
		q := box.queueOf(version)
		s.result.refused += len(q.Expired(s.now))
		for {
			head := q.Head()
			if head == nil {
				break
			}
			t, ok := head.Value.(*task)
			if !ok || !s.dispatch(t) {
				break
			}
			q.Pop()
		}
	}
}

// handleAnswer has the answer rated if it needs a rating, then returns it to the caller or sends the request to the strong model.
func (s *simulation) handleAnswer(t *task, first time.Time) {
	good := s.isGood(t)
	passed := good != (t.Draw < wrongRatingShare)
	if !t.needsRating {
		if t.Draw < sampledShare {
			t.subject.Version = t.version.ID
			s.recordRating(t, passed)
		}
		if expected, known := s.learner.ExpectedPassRate(route.Subject{Account: t.Account, Class: t.Class, Version: t.version.ID}); known {
			s.learner.RecordQuality(t.Account, expected)
		}
		s.result.add(t, first.Sub(t.arrivedAt), s.now, good)
		return
	}
	s.schedule(s.now.Add(raterDelay), func() {
		s.recordRating(t, passed)
		if passed {
			s.learner.RecordQuality(t.Account, 1)
			// An answer that needs a rating is held back and reaches the caller whole.
			s.result.add(t, s.now.Sub(t.arrivedAt), s.now, good)
			return
		}
		t.needsRating = false
		s.dispatchOrQueue(t, s.trace.Strong)
	})
}

// isGood reports the true quality of an answer, which the routing code does not know.
func (s *simulation) isGood(t *task) bool {
	switch {
	case t.version.ID == s.trace.Strong.ID:
		return t.StrongGood
	case s.hasFailure(t.version.ID, FailureRatings):
		return t.CheapGood && t.Draw < failureQuality
	default:
		return t.CheapGood
	}
}

// recordRating passes a rating to the learner. As evidence on the version it counts only if the request belongs to a
// random sample, so that the evidence does not depend on which answers needed a rating.
func (s *simulation) recordRating(t *task, passed bool) {
	s.learner.Rated(t.subject, passed)
	if t.Draw >= sampledShare {
		return
	}
	seen := rollout.Evidence{Rated: 1}
	if !passed {
		seen.Low = 1
	}
	s.pendingEvidence[t.subject.Version] = s.pendingEvidence[t.subject.Version].Add(seen)
}
