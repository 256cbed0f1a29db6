package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// A read is as old as its answer may be: the store may have made one with changes as soon as the read was sent.
func TestReadIsDatedByItsOldestPossibleAnswer(t *testing.T) {
	const wait = 600 * time.Millisecond
	began := time.Now()
	for name, read := range map[string]struct {
		took time.Duration
		wait time.Duration
		next willowwick.Position
		want time.Duration // since it began
	}{
		"changes, possibly in transit since":               {500 * time.Millisecond, wait, 8, 0},
		"no changes, after the whole wait":                 {610 * time.Millisecond, wait, 7, wait},
		"no changes, before the wait was over":             {100 * time.Millisecond, wait, 7, 0},
		"no changes, immediately, without long poll":       {40 * time.Millisecond, 0, 7, 0},
		"changes that arrived slowly":                      {5 * time.Second, wait, 8, 0},
		"no changes, in an answer that arrived slowly too": {5 * time.Second, wait, 7, wait},
	} {
		asOf := declarationsAsOf(began, began.Add(read.took), read.wait, 7, willowwick.Declarations{Next: read.next})
		assert.Equal(t, read.want, asOf.Sub(began), name)
	}
}

// A peer's configuration age applies to this box only if the peer reports one and has no newer configuration.
func TestAConfigurationIsAsFreshAsOneThatIsNoNewerElsewhere(t *testing.T) {
	for name, heard := range map[string]struct {
		digest Digest
		want   time.Duration
	}{
		"the same":              {Digest{TableVersion: 5, ConfigAgeMs: 300}, 300 * time.Millisecond},
		"an older one":          {Digest{TableVersion: 4, ConfigAgeMs: 300}, 300 * time.Millisecond},
		"a newer one":           {Digest{TableVersion: 6, ConfigAgeMs: 300}, time.Second},
		"confirmed longer ago":  {Digest{TableVersion: 5, ConfigAgeMs: 3000}, time.Second},
		"of an earlier release": {Digest{TableVersion: 5}, time.Second},
		"never read":            {Digest{TableVersion: 5, ConfigAgeMs: maxReportedAge.Milliseconds()}, time.Second},
	} {
		x, closeRouter := newRouter(testSettings(), testCodec{})
		defer closeRouter()
		x.sync = newSyncer(x, nil)
		x.peers = &peers{router: x, startedAt: time.Now()}
		x.setTable(testTable(5, onceRoute()), "test")
		now := time.Now()
		x.sync.noteConfigAsOf(now.Add(-time.Second))
		x.sync.noteConfigFromPeer(&heard.digest, now)
		assert.Equal(t, heard.want, x.sync.configAge(now), name)
	}
}

// Transit time is added to the ages in a digest, except to those that it doesn't report.
func TestDigestAgesInTransit(t *testing.T) {
	digest := Digest{ConfigAgeMs: 300}
	digest.addTransitTime(200 * time.Millisecond)
	assert.Equal(t, int64(500), digest.ConfigAgeMs)
	untold := Digest{}
	untold.addTransitTime(200 * time.Millisecond)
	assert.Zero(t, untold.ConfigAgeMs)
}

// Guards against a starting box that doesn't read declarations while it searches for a reader: 1.5 s, which with the
// gossip exchange to its followers was all the time to put a configuration in force.
func TestStartingBoxKeepsReading(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	x := s.daemon.router
	require.True(t, x.peers.isSearchingForHub(time.Now()))
	s.control.change(func() { s.control.table = testTable(2, retryRoute()) })
	require.Eventually(t, func() bool { return x.configVersion() == 2 }, x.sync.longPollLimit()+4*readerPollInterval, 5*time.Millisecond)
}
