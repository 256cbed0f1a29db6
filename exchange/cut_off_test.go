package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a hall that follows a box that never read the store, so that none of its boxes reads declarations. A
// starting box that the store refuses reports the longest duration since its last answer; adding the time since its
// digest overflowed to a negative sum, below any limit (isCutOffFromStore).
func TestABoxThatNeverReadTheStoreIsCutOff(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 1, r.endpoint("v1"))
	p := sites[0].daemon.router.peers
	now := time.Now()
	never := now.Sub(time.Time{}).Milliseconds()
	for _, since := range []time.Duration{0, 10 * time.Millisecond, peerLiveness} {
		known := &peer{digest: Digest{ReadAgeMs: never}, heardAt: now.Add(-since)}
		assert.True(t, p.isCutOffFromStore(known, now), "heard %v ago", since)
	}
}

// The same with whole boxes: the first box of a hall restarts while the store refuses it, and still serves the others.
func TestHallReadsDeclarationsWhenItsFirstBoxStartsRefused(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))
	settings := testSettings()
	settings.Box, settings.LinkMbps, settings.Drain = "box-second", 100, hallDrain
	second := startSite(t, control, settings).daemon.router
	require.Eventually(t, func() bool { return second.peers.reachesStore(time.Now()) }, waitTimeout, 10*time.Millisecond)
	settings.Box, settings.LinkMbps = "box-first", 200
	settings.Seeds = []string{second.settings.Peers}
	own := &refusingControl{testControl: control}
	own.isRefusing.Store(true)
	first := startSite(t, own, settings).daemon.router
	time.Sleep(peerLiveness)
	control.change(func() { control.table = testTable(2, retryRoute()) })
	require.Eventually(t, func() bool { return second.configVersion() == 2 }, waitTimeout, 10*time.Millisecond)
	assert.Eventually(t, func() bool { return first.configVersion() == 2 }, waitTimeout, 10*time.Millisecond)
}
