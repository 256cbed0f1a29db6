package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Seen: the boxes of a hall follow a box that has never read the store, and none of them reads declarations.
//
// How: the box has just started and the store turns it away, so it tells the longest time there is since its last answer.
// The others add the time since they heard it.
//
// Cause: the sum is beyond what a length of time holds and comes out negative, less than any limit (isCutOff).
func TestABoxThatNeverReadTheStoreIsCutOff(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 1, r.endpoint("v1"))
	p := sites[0].daemon.router.peers
	now := time.Now()
	never := now.Sub(time.Time{}).Milliseconds()
	for _, since := range []time.Duration{0, 10 * time.Millisecond, peerFresh} {
		known := &peer{digest: Digest{ReadAgeMs: never}, heard: now.Add(-since)}
		assert.True(t, p.isCutOff(known, now), "heard %v ago", since)
	}
}

// The same with whole boxes: the first box of a hall comes back while the store turns it away, and serves the others.
func TestAHallReadsDeclarationsWhenItsFirstBoxStartsTurnedAway(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))
	settings := testSettings()
	settings.Box, settings.LinkMbps, settings.Drain = "box-second", 100, feedDrain
	second := startSite(t, control, settings).daemon.router
	require.Eventually(t, func() bool { return second.peers.reads(time.Now()) }, waitTimeout, 10*time.Millisecond)
	settings.Box, settings.LinkMbps = "box-first", 200
	settings.Seeds = []string{second.settings.Peers}
	own := &turningControl{testControl: control}
	own.turnedAway.Store(true)
	first := startSite(t, own, settings).daemon.router
	time.Sleep(peerFresh)
	control.change(func() { control.table = testTable(2, retryRoute()) })
	require.Eventually(t, func() bool { return second.configVersion() == 2 }, waitTimeout, 10*time.Millisecond)
	assert.Eventually(t, func() bool { return first.configVersion() == 2 }, waitTimeout, 10*time.Millisecond)
}
