package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

func TestAReadIsAsOldAsItsAnswerMayBe(t *testing.T) {
	const wait = 600 * time.Millisecond
	began := time.Now()
	for name, read := range map[string]struct {
		took time.Duration
		wait time.Duration
		next willowwick.Position
		want time.Duration // since it began
	}{
		"news, which may have been under way since":         {500 * time.Millisecond, wait, 8, 0},
		"no news, after the whole wait":                     {610 * time.Millisecond, wait, 7, wait},
		"no news, before the wait was over":                 {100 * time.Millisecond, wait, 7, 0},
		"no news, at once, where the read may not be held":  {40 * time.Millisecond, 0, 7, 0},
		"news that came in slowly":                          {5 * time.Second, wait, 8, 0},
		"no news, in an answer that was long under way too": {5 * time.Second, wait, 7, wait},
	} {
		asOf := readAsOf(began, began.Add(read.took), read.wait, 7, willowwick.Declarations{Next: read.next})
		assert.Equal(t, read.want, asOf.Sub(began), name)
	}
}

// What another box knows says something of this box's configuration only if the other has none that is newer, and tells.
func TestAConfigurationIsAsFreshAsOneThatIsNoNewerElsewhere(t *testing.T) {
	for name, heard := range map[string]struct {
		digest Digest
		want   time.Duration
	}{
		"the same":                {Digest{TableVersion: 5, ConfigAgeMs: 300}, 300 * time.Millisecond},
		"an older one":            {Digest{TableVersion: 4, ConfigAgeMs: 300}, 300 * time.Millisecond},
		"a newer one":             {Digest{TableVersion: 6, ConfigAgeMs: 300}, time.Second},
		"longer ago":              {Digest{TableVersion: 5, ConfigAgeMs: 3000}, time.Second},
		"of an earlier release":   {Digest{TableVersion: 5}, time.Second},
		"one that never was read": {Digest{TableVersion: 5, ConfigAgeMs: longestAge.Milliseconds()}, time.Second},
	} {
		x, closeRouter := newRouter(testSettings(), testCodec{})
		defer closeRouter()
		x.sync = newSyncer(x, nil)
		x.peers = &peers{router: x, began: time.Now()}
		x.setTable(testTable(5, onceRoute()), "test")
		now := time.Now()
		x.sync.noteConfig(now.Add(-time.Second))
		x.sync.hearConfig(&heard.digest, now)
		assert.Equal(t, heard.want, x.sync.configAge(now), name)
	}
}

// A digest that has been under way is older, but for what it does not tell.
func TestADigestGrowsOlderOnItsWay(t *testing.T) {
	digest := Digest{ConfigAgeMs: 300}
	digest.addAge(200 * time.Millisecond)
	assert.Equal(t, int64(500), digest.ConfigAgeMs)
	untold := Digest{}
	untold.addAge(200 * time.Millisecond)
	assert.Zero(t, untold.ConfigAgeMs)
}

// A box that had just started once left the declarations unread for 1.5 s while it looked for another that reads for it; with
// the swap to those that follow it that was all the time to put a configuration in force.
func TestABoxThatHasJustStartedGoesOnReading(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	x := s.daemon.router
	require.True(t, x.peers.isNew(time.Now()))
	s.control.change(func() { s.control.table = testTable(2, retryRoute()) })
	require.Eventually(t, func() bool { return x.configVersion() == 2 }, x.sync.heldLimit()+4*feedPoll, 5*time.Millisecond)
}
