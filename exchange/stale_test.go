package exchange

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// inForceWithin is within what time operators want a configuration in force: the shortest that is declared anywhere.
const inForceWithin = 2 * time.Second

// losingControl is a store that loses what is sent to it, or waits there, while it is away: such a read gets no answer
// after its return either, until the client's limit on it is over. The short reads of endpoints fail after a moment.
type losingControl struct {
	*testControl
	lost     chan struct{} // gets a value for each read of declarations that is lost
	loseNext atomic.Bool   // the next read of declarations that may be held is lost
	loseAll  atomic.Bool   // all reads of declarations are, also one that is held as it is set: a part of the log is away
}

func newLosingControl(endpoints ...willowwick.Endpoint) *losingControl {
	return &losingControl{testControl: newTestControl(testTable(1, onceRoute()), endpoints...), lost: make(chan struct{}, 1000)}
}

// Declarations implements willowwick.Control.
func (c *losingControl) Declarations(ctx context.Context, from willowwick.Position, wait time.Duration) (willowwick.Declarations, error) {
	limit := time.Now().Add(wait + headLimit)
	if !c.loseAll.Load() && (from == 0 || !c.loseNext.CompareAndSwap(true, false)) {
		declared, err := c.testControl.Declarations(ctx, from, wait)
		isLost := errors.Is(err, errDown) || err == nil && c.loseAll.Load()
		if !isLost {
			return declared, err
		}
	}
	c.lost <- struct{}{}
	sleep(ctx, time.Until(limit))
	return willowwick.Declarations{}, errDown
}

// setAway takes the store away, or brings it back.
func (c *losingControl) setAway(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = away
}

// Seen: no configuration was in force anywhere for sixteen seconds after an outage of the store, while news of endpoints
// came in time and no call failed.
//
// How: each hall's reader sent a read of declarations, which the store might hold for twenty seconds, in the last moment of
// the outage. It was lost with its connection. The next read of endpoints was answered, so the store counted as
// reached, the box as a reader to rely on, and nobody looked at the held read any more.
//
// Cause: what a box knows of declarations was taken to be as fresh as what it knows of endpoints. The boxes' lines and the
// store's counts show it: not one answered read of declarations from the return on, until another outage ended them.
func TestConfigurationIsInForceAfterAnOutageThatTookAHeldRead(t *testing.T) {
	// Reads fail in a rhythm of their own; some of these lengths end where a read that can be lost has just begun.
	for _, away := range []time.Duration{50, 300, 550, 800, 1050, 1300, 1550, 1800, 2050, 2300} {
		t.Run(fmt.Sprint(away*time.Millisecond), func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "r1", answerText("ok"))
			control := newLosingControl(r.endpoint("v1"))
			s := startSite(t, control, testSettings())
			require.Eventually(t, func() bool { return control.waitingReads.Load() > 0 }, waitTimeout, time.Millisecond)
			control.setAway(true)
			time.Sleep(away * time.Millisecond)
			control.setAway(false)
			control.change(func() { control.table = testTable(2, retryRoute()) })
			require.Eventually(t, func() bool { return s.daemon.router.configVersion() == 2 }, inForceWithin, 5*time.Millisecond)
		})
	}
}

// A held read whose connection falls silent while nothing else fails is found out in time as well.
func TestConfigurationIsInForceAfterAHeldReadIsLost(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := newLosingControl(r.endpoint("v1"))
	control.loseNext.Store(true)
	s := startSite(t, control, testSettings())
	<-control.lost
	control.change(func() { control.table = testTable(2, retryRoute()) })
	require.Eventually(t, func() bool { return s.daemon.router.configVersion() == 2 }, inForceWithin, 5*time.Millisecond)
	assert.False(t, s.daemon.router.sync.isAway())
}

// A box whose reads of declarations fail is not relied upon by its hall, also where its reads of endpoints are answered.
func TestABoxThatReadsNoDeclarationsIsNoReader(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 1, r.endpoint("v1"))
	x := sites[0].daemon.router
	require.Eventually(t, func() bool { return x.peers.reads(time.Now()) }, waitTimeout, 10*time.Millisecond)
	// Its own reads would count as well.
	sites[0].daemon.stop()
	sites[0].daemon.workers.Close()
	now := time.Now().Add(feedDrain)
	x.sync.noteFailure(readDeclared, now, errDown)
	x.sync.noteAnswer(readEndpoints, now)
	assert.False(t, x.peers.reads(now))
	x.sync.noteAnswer(readDeclared, now)
	assert.True(t, x.peers.reads(now))
}

// The first box of a hall, which has the widest link, once left its place for good over a single read that was lost.
func TestTheFirstBoxOfAHallReadsAgainAfterALostRead(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, sites := newHall(t, 3, r.endpoint("v1"))
	first := awaitReaders(t, sites, 1)[0].daemon.router
	for kind := range readKinds {
		first.sync.noteFailure(kind, time.Now(), errDown)
	}
	require.Eventually(t, func() bool { return !first.sync.isAway() }, waitTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		found := readers(sites)
		return len(found) == 1 && found[0].daemon.router == first
	}, waitTimeout, 10*time.Millisecond)
}
