package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/rollout"
)

// answerIn returns the observation of an answer of a release on a route with a goal of a second.
func answerIn(release string, took time.Duration) observation {
	return observation{service: "work", release: endpointOn(release).Release, route: "r", goal: time.Second, took: took}
}

// observe counts one answer that was not awaited.
func (r *releases) observe(o observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(o, false)
}

// countsOf returns what was counted of a release.
func countsOf(r *releases, release string, now time.Time) rollout.Evidence {
	return r.evidence(now)[evidenceKey{"work", endpointOn(release).Release, "r"}]
}

// newUsualReleases returns releases that have seen answers of v1 in 100 ms, one of fifty in 5 s, and an order of v2.
func newUsualReleases() *releases {
	r := newTestReleases()
	for n := range 200 {
		took := 100 * time.Millisecond
		if n%50 == 0 {
			took = 5 * time.Second
		}
		r.observe(answerIn("v1", took))
	}
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	return r
}

// Guards against a slow release being known last, because only answers that are there count.
func TestAnswersThatAreOverdueAreEvidence(t *testing.T) {
	r := newUsualReleases()
	awaited := &awaitedAnswer{observation: answerIn("v2", 0), sentAt: testStart}
	defer r.await(awaited)()
	assert.Zero(t, countsOf(r, "v2", testStart.Add(200*time.Millisecond)))
	want := rollout.Evidence{Requests: 1, Slow: 1}
	assert.Equal(t, want, countsOf(r, "v2", testStart.Add(time.Second)))
	r.observeAwaited(awaited, false, testStart.Add(5*time.Second))
	assert.Equal(t, want, countsOf(r, "v2", testStart.Add(6*time.Second)), "it is counted once")
}

func TestOverdueAnswerThatFailsIsAnError(t *testing.T) {
	r := newUsualReleases()
	awaited := &awaitedAnswer{observation: answerIn("v2", 0), sentAt: testStart}
	defer r.await(awaited)()
	assert.EqualValues(t, 1, countsOf(r, "v2", testStart.Add(time.Second)).Requests)
	r.observeAwaited(awaited, true, testStart.Add(2*time.Second))
	counts := countsOf(r, "v2", testStart.Add(3*time.Second))
	assert.EqualValues(t, 1, counts.Requests)
	assert.EqualValues(t, 1, counts.Errors)
}

// Guards against a few long answers hiding that a release takes three times as long as usual.
func TestFewLongAnswersDoNotHideASlowRelease(t *testing.T) {
	r := newUsualReleases()
	r.observe(answerIn("v2", 320*time.Millisecond))
	assert.EqualValues(t, 1, countsOf(r, "v2", testStart).Slow)
}

// Guards against a good release being rolled back for milliseconds that no caller feels.
func TestMillisecondsAreNoEvidenceAgainstARelease(t *testing.T) {
	r := newTestReleases()
	for range 200 {
		r.observe(answerIn("v1", 2*time.Millisecond))
	}
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	for range 50 {
		r.observe(answerIn("v2", 90*time.Millisecond))
	}
	assert.Zero(t, countsOf(r, "v2", testStart).Slow)
}

// Guards against a release being brought to all sessions while the evidence tells against it.
func TestReleaseUnderSuspicionIsNotTriedByMore(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	require.Empty(t, r.evaluate(fleetEvidence(rollout.Evidence{}, rollout.Evidence{Requests: 1000}), at(0.1)))
	require.Empty(t, r.evaluate(fleetEvidence(rollout.Evidence{Requests: 40, Slow: 11}, rollout.Evidence{Requests: 1000}), at(0.2)))
	assert.Greater(t, r.rollouts["work"].panel.Suspicion(), maxRampSuspicion)
	assert.InDelta(t, 0.18, shareOf(r, at(0.8), "held "), 0.03)
	assert.Equal(t, "running", string(r.due(at(0.95))[0].State))
	require.Empty(t, r.evaluate(fleetEvidence(rollout.Evidence{Requests: 200, Slow: 11}, rollout.Evidence{Requests: 2000}), at(0.96)))
	assert.InDelta(t, 1, shareOf(r, at(0.97), "cleared "), 0)
}
