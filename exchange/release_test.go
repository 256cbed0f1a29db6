package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/rollout"
)

const testPeriod = 20 * time.Second

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func orderOf(release string, at willowwick.Position) willowwick.ReleaseOrder {
	return willowwick.ReleaseOrder{Service: "work", Target: willowwick.ReleaseID(release), Period: testPeriod, At: at}
}

func at(part float64) time.Time {
	return testStart.Add(time.Duration(part * float64(testPeriod)))
}

func newTestReleases() *releases {
	return newReleases(ReleaseSettings{Session: 5 * time.Second}, func(willowwick.ServiceID, willowwick.ReleaseID) bool { return true })
}

func endpointOn(release string) willowwick.Endpoint {
	return willowwick.Endpoint{Service: "work", Release: willowwick.ReleaseID(release)}
}

// chooseNow chooses for a request that ends at once.
func chooseNow(r *releases, session string, now time.Time) releaseChoice {
	return r.choose("work", session, now, now)
}

// shareOf returns the share of new sessions that goes to the target of a roll-out.
func shareOf(r *releases, now time.Time, name string) float64 {
	const sessions = 2000
	n := 0
	for i := range sessions {
		if chooseNow(r, fmt.Sprint(name, i), now).useTarget {
			n++
		}
	}
	return float64(n) / sessions
}

// fleetEvidence returns evidence for the target and for the other releases on one route.
func fleetEvidence(target, others rollout.Evidence) map[evidenceKey]rollout.Evidence {
	return map[evidenceKey]rollout.Evidence{
		{"work", "v2", "r"}: target,
		{"work", "v1", "r"}: others,
	}
}

func TestNewReleaseGetsFewSessionsFirstAndAllAtTheEnd(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	assert.InDelta(t, canaryShare, shareOf(r, at(0.1), "a"), 0.02)
	r.evaluate(fleetEvidence(rollout.Evidence{Requests: 100}, rollout.Evidence{Requests: 1000}), at(0.2))
	assert.InDelta(t, canaryShare, shareOf(r, at(0.45), "b"), 0.02)
	assert.Greater(t, shareOf(r, at(0.6), "c"), 0.25)
	assert.InDelta(t, 1, shareOf(r, at(0.75), "d"), 0)
}

func TestReleaseWithLittleEvidenceIsTriedByMoreSessionsButNeverByAll(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	r.evaluate(fleetEvidence(rollout.Evidence{Requests: minRampAnswers - 1}, rollout.Evidence{Requests: 1000}), at(0.2))
	assert.InDelta(t, canaryShare, shareOf(r, at(0.45), "a"), 0.02)
	for _, part := range []float64{0.6, 0.8, forcedCompletionShare, 1, 2} {
		name := fmt.Sprint("at ", part, " ")
		assert.InDelta(t, 0.18, shareOf(r, at(part), name), 0.03, name)
		assert.Empty(t, r.due(at(part))[1:], name)
		assert.Equal(t, willowwick.ReleaseRunning, r.due(at(part))[0].State, name)
	}
}

// A release with errors in a third of its answers was once completed, because each of three routes had seen only two
// or three errors.
func TestBadReleaseIsFoundBySumOverRoutes(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	evidence := map[evidenceKey]rollout.Evidence{}
	routes := []willowwick.RouteID{"r", "s", "t"}
	for _, route := range routes {
		evidence[evidenceKey{"work", "v1", route}] = rollout.Evidence{Requests: 300, Errors: 2}
	}
	require.Empty(t, r.evaluate(evidence, at(0.1)))
	for _, route := range routes {
		evidence[evidenceKey{"work", "v2", route}] = rollout.Evidence{Requests: 6, Errors: 3}
	}
	require.Len(t, r.evaluate(evidence, at(0.3)), 1)
}

// Evidence on a release from before there was a baseline was once dropped.
func TestEvidenceBeforeBaselineCounts(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	bad := rollout.Evidence{Requests: 11, Errors: 9}
	require.Empty(t, r.evaluate(fleetEvidence(bad, rollout.Evidence{Requests: 10}), at(0.1)))
	require.Len(t, r.evaluate(fleetEvidence(bad, rollout.Evidence{Requests: 300}), at(0.2)), 1)
}

func TestSessionsStayInFirstHalfAndNeverMoveBack(t *testing.T) {
	r := newTestReleases()
	early := at(0).Add(-time.Second)
	for i := range 500 {
		require.False(t, chooseNow(r, fmt.Sprint(i), early).useTarget)
	}
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	r.evaluate(fleetEvidence(rollout.Evidence{Requests: 100}, rollout.Evidence{Requests: 1000}), at(0.1))
	for step := 0.02; step < canaryEnd; step += 0.02 {
		for i := range 500 {
			require.False(t, chooseNow(r, fmt.Sprint(i), at(step)).useTarget, "a session moved in the first half")
		}
	}
	moved := map[int]bool{}
	for step := canaryEnd; step < 1; step += 0.02 {
		for i := range 500 {
			useTarget := chooseNow(r, fmt.Sprint(i), at(step)).useTarget
			require.False(t, moved[i] && !useTarget, "a session moved back")
			moved[i] = useTarget
		}
	}
}

func TestBadReleaseIsRolledBack(t *testing.T) {
	for name, bad := range map[string]rollout.Evidence{
		"errors": {Requests: 24, Errors: 10},
		"slow":   {Requests: 40, Slow: 30},
	} {
		r := newTestReleases()
		r.applyOrder(orderOf("v2", 1), 0, testStart)
		good := rollout.Evidence{Requests: 400, Errors: 4, Slow: 8}
		r.evaluate(fleetEvidence(rollout.Evidence{}, good), at(0.01))
		found := r.evaluate(fleetEvidence(bad, good.Add(good)), at(0.1))
		require.Len(t, found, 1, name)
		assert.Equal(t, willowwick.ReleaseRolledBack, found[0].State)
		assert.InDelta(t, 0, shareOf(r, at(0.2), "a"), 0)
		assert.False(t, chooseNow(r, "s", at(0.2)).allows(endpointOn("v2")))
		assert.False(t, chooseNow(r, "s", at(0.2)).allowsFallback(endpointOn("v2")), "not even as the only release")
	}
}

func TestGoodReleaseIsNotRolledBack(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	var target, others rollout.Evidence
	for step := range 100 {
		target = target.Add(rollout.Evidence{Requests: 8, Errors: uint64(step % 2), Slow: uint64(step % 3 / 2)})
		others = others.Add(rollout.Evidence{Requests: 80, Errors: 5, Slow: 3})
		require.Empty(t, r.evaluate(fleetEvidence(target, others), at(0.01*float64(step))))
	}
}

// The runners of a rolled-back release once got work again when the next roll-out began.
func TestRolledBackReleaseStaysUnusedInNextRollOut(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	r.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseRolledBack}, true, "test")
	r.applyOrder(orderOf("v3", 2), 0, at(0.2))
	for i := range 200 {
		choice := chooseNow(r, fmt.Sprint(i), at(0.3))
		require.False(t, choice.allows(endpointOn("v2")))
		require.False(t, choice.allowsFallback(endpointOn("v2")))
	}
	fresh := newTestReleases()
	fresh.applyOrder(orderOf("v3", 2), 0, at(0.3))
	fresh.receiveVerdicts(r.verdictRows(time.Now()))
	assert.False(t, chooseNow(fresh, "s", at(0.3)).allows(endpointOn("v2")), "a box that starts later learns of it")
}

func TestReleaseOfReplacedOrderIsGivenUp(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	r.applyOrder(orderOf("v3", 2), 0, at(0.2))
	now := at(0.2).Add(supersedeDelay)
	assert.False(t, chooseNow(r, "s", now).allows(endpointOn("v2")))
	fresh := newTestReleases()
	fresh.applyOrder(orderOf("v3", 2), 0, now)
	fresh.receiveVerdicts(r.verdictRows(now))
	assert.False(t, chooseNow(fresh, "s", now).allows(endpointOn("v2")), "a box that starts later learns of it")
}

// A box that did not know yet that a roll-out was completed once took its release out of use when the next order
// came, and made all others do so: the fleet moved to the next release at once.
func TestCompletedReleaseIsNotGivenUpByLaggingBox(t *testing.T) {
	leader, follower := newTestReleases(), newTestReleases()
	for _, r := range []*releases{leader, follower} {
		r.applyOrder(orderOf("v2", 1), 0, testStart)
	}
	leader.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseCompleted}, true, "test")
	now := time.Now()
	for _, r := range []*releases{leader, follower} {
		r.applyOrder(orderOf("v3", 2), 0, now)
		assert.True(t, chooseNow(r, "s", now).allows(endpointOn("v2")))
	}
	leader.receiveVerdicts(follower.verdictRows(now))
	follower.receiveVerdicts(leader.verdictRows(now))
	later := now.Add(2 * supersedeDelay)
	for _, r := range []*releases{leader, follower} {
		assert.True(t, chooseNow(r, "s", later).allows(endpointOn("v2")))
	}
	wrong := newTestReleases()
	wrong.applyOrder(orderOf("v2", 1), 0, testStart)
	wrong.applyOrder(orderOf("v3", 2), 0, testStart)
	leader.receiveVerdicts(wrong.verdictRows(later))
	assert.True(t, chooseNow(leader, "s", later).allows(endpointOn("v2")), "a known state overrides giving up")
	wrong.receiveVerdicts(leader.verdictRows(later))
	assert.True(t, chooseNow(wrong, "s", later).allows(endpointOn("v2")))
}

// A lagging box once restored an older order.
func TestOlderOrderIsIgnored(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v3", 2), 0, testStart)
	r.applyOrder(orderOf("v2", 1), time.Second, at(0.1))
	assert.Equal(t, willowwick.ReleaseID("v3"), chooseNow(r, "s", at(0.1)).release)
}

func TestOrderAgeIsThatOfFirstBox(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, at(0.6))
	r.applyOrder(orderOf("v2", 1), time.Duration(0.6*float64(testPeriod)), at(0.6))
	r.evaluate(fleetEvidence(rollout.Evidence{Requests: 100}, rollout.Evidence{Requests: 100}), at(0.6))
	assert.Greater(t, shareOf(r, at(0.75), "a"), 0.99)
}

func TestStoredStateOverridesOwnState(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	r.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseRolledBack}, false, "peer")
	r.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseCompleted}, true, "store")
	choice := chooseNow(r, "s", at(0.5))
	assert.True(t, choice.useTarget)
	assert.True(t, choice.allows(endpointOn("v2")))
}

// The leader once mistook the state that it had written before for the one that it had just found.
func TestRollBackIsWrittenToStore(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	r.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseRunning}, true, "written here")
	require.Empty(t, r.due(at(0.1)))
	good := rollout.Evidence{Requests: 400}
	r.evaluate(fleetEvidence(rollout.Evidence{}, good), at(0.1))
	require.Len(t, r.evaluate(fleetEvidence(rollout.Evidence{Requests: 20, Errors: 10}, good.Add(good)), at(0.2)), 1)
	due := r.due(at(0.2))
	require.Len(t, due, 1)
	assert.Equal(t, willowwick.ReleaseRolledBack, due[0].State)
}

func TestLargeFleetUsesSmallerCanaryShare(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	for boxes, share := range map[int]float64{6: canaryShare, 15: canaryShare, 61: canaryShare / 4, 91: canaryShare / 8, 390: canaryShare / 32} {
		r.setFleetSize(boxes)
		assert.InDelta(t, share, r.canary, 1e-9, "%d boxes", boxes)
	}
	r.setFleetSize(61)
	assert.InDelta(t, canaryShare/4, shareOf(r, at(0.1), "a"), 0.01)
}

// A session was once forgotten while its request ran for longer than sessions are remembered, and moved in the first
// half.
func TestSessionIsRememberedFromEndOfRequest(t *testing.T) {
	r := newTestReleases()
	began := at(0).Add(-time.Second)
	for i := range 500 {
		require.False(t, r.choose("work", fmt.Sprint(i), began, began.Add(20*time.Second)).useTarget)
	}
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	soon := began.Add(10 * time.Second)
	require.True(t, soon.Before(at(canaryEnd)))
	r.evaluate(fleetEvidence(rollout.Evidence{}, rollout.Evidence{}), soon)
	for i := range 500 {
		require.False(t, r.choose("work", fmt.Sprint(i), soon, soon).useTarget)
	}
}

// Sessions assigned to a release without runners once moved to it with their second request.
func TestSessionStaysWhenTargetHasNoEndpoints(t *testing.T) {
	hasEndpoints := false
	r := newReleases(ReleaseSettings{Session: 5 * time.Second}, func(willowwick.ServiceID, willowwick.ReleaseID) bool { return hasEndpoints })
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	require.Zero(t, shareOf(r, at(0.01), "a"))
	hasEndpoints = true
	require.Zero(t, shareOf(r, at(0.1), "a"), "the same sessions")
	require.NotZero(t, shareOf(r, at(0.1), "b"))
}

// A session that moved to another box of the hall was once taken for a new one there, and moved in the first half.
func TestSessionKeptByAnotherBoxIsNotMoved(t *testing.T) {
	one, other := newTestReleases(), newTestReleases()
	early := at(0).Add(-time.Second)
	for i := range 2000 {
		require.False(t, one.choose("work", fmt.Sprint("a", i), early, at(0.3)).useTarget)
	}
	for _, r := range []*releases{one, other} {
		r.applyOrder(orderOf("v2", 1), 0, testStart)
	}
	require.Zero(t, shareOf(other, at(0.05), "b"), "no session moves before boxes have exchanged sessions")
	kept := one.pinnedSessions(at(0.1))
	assert.InDelta(t, 2000*canaryShare, len(kept), 40, "only sessions that would move are listed")
	assert.NotZero(t, shareOf(other, at(0.15), "c"))
	other.setPinnedElsewhere(kept)
	assert.Zero(t, shareOf(other, at(0.2), "a"))
	assert.Empty(t, one.pinnedSessions(at(canaryEnd)), "sessions may move in the second half")
}

func TestFirstShareStaysBelowExposureBound(t *testing.T) {
	assert.InDelta(t, canaryShare, ReleaseSettings{}.initialCanaryShare(), 1e-9)
	assert.InDelta(t, canaryShare, ReleaseSettings{Exposure: 0.15}.initialCanaryShare(), 1e-9)
	assert.InDelta(t, 0.015, ReleaseSettings{Exposure: 0.05}.initialCanaryShare(), 1e-9)
}

// Sessions on the target of a completed roll-out were once counted as sessions on the target of the next one, and
// moved to it at once.
func TestSessionsOfCompletedReleaseStayInFirstHalfOfNextRollOut(t *testing.T) {
	r := newTestReleases()
	r.applyOrder(orderOf("v2", 1), 0, testStart)
	r.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseCompleted}, true, "test")
	for i := range 500 {
		require.True(t, chooseNow(r, fmt.Sprint(i), at(0.9)).useTarget)
	}
	r.applyOrder(orderOf("v3", 2), 0, at(0.92))
	for i := range 500 {
		require.False(t, chooseNow(r, fmt.Sprint(i), at(0.95)).useTarget, "session %d", i)
	}
	assert.InDelta(t, 500*canaryShare, len(r.pinnedSessions(at(0.95))), 10, "lists the sessions that would move first")
}
