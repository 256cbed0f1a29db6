package exchange

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// turningControl is a store that turns one box away for a while, and serves the others.
type turningControl struct {
	*testControl
	turnedAway atomic.Bool
	asked      atomic.Int64 // calls while it turns the box away
}

func (c *turningControl) refuses() bool {
	if !c.turnedAway.Load() {
		return false
	}
	c.asked.Add(1)
	return true
}

// Declarations implements willowwick.Control.
func (c *turningControl) Declarations(ctx context.Context, from willowwick.Position, wait time.Duration) (willowwick.Declarations, error) {
	if c.refuses() {
		return willowwick.Declarations{}, errDown
	}
	return c.testControl.Declarations(ctx, from, wait)
}

// Endpoints implements willowwick.Control.
func (c *turningControl) Endpoints(ctx context.Context, from willowwick.Position) (willowwick.EndpointChanges, error) {
	if c.refuses() {
		return willowwick.EndpointChanges{}, errDown
	}
	return c.testControl.Endpoints(ctx, from)
}

// Join implements willowwick.Control.
func (c *turningControl) Join(ctx context.Context, member string, generation uint64) (willowwick.Membership, error) {
	if c.refuses() {
		return willowwick.Membership{}, errDown
	}
	return c.testControl.Join(ctx, member, generation)
}

// turnedHall starts two boxes of one hall, the first of which has the wider link. The second one, which begins alone, has
// read all of the store, then has a failed read of declarations, and is fed by the first from then on.
func turnedHall(t *testing.T) (control *testControl, controls []*turningControl, sites []*site) {
	r := newRunner(t, "r1", answerText("ok"))
	control = newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))
	controls = []*turningControl{{testControl: control}, {testControl: control}}
	settings := testSettings()
	settings.Box, settings.LinkMbps, settings.Drain = "box-second", 100, feedDrain
	second := startSite(t, controls[1], settings)
	x := second.daemon.router
	require.Eventually(t, func() bool { return x.sync.declaredAge(time.Now()) > 0 }, waitTimeout, time.Millisecond)
	controls[1].turnedAway.Store(true)
	require.Eventually(t, func() bool { return x.sync.isFailing(readDeclared) }, waitTimeout, time.Millisecond)
	settings.Box, settings.LinkMbps, settings.Seeds = "box-first", 200, []string{x.settings.Peers}
	first := startSite(t, controls[0], settings)
	require.Eventually(t, func() bool {
		_, isFed := x.peers.reader(time.Now())
		return isFed
	}, waitTimeout, 10*time.Millisecond)
	time.Sleep(peerFresh)
	require.True(t, x.sync.isFailing(readDeclared), "a box that is fed reads none that could take it back")
	controls[1].turnedAway.Store(false)
	return control, controls, []*site{first, second}
}

// Seen: a hall whose first box is turned away by the store has no new configuration, though its second box reads the
// store's endpoints well.
//
// How: the second box had one read of declarations that failed, and was fed by the first from then on, so it read none that
// could take the failure back. When the first box is turned away, the second one reads endpoints with success.
//
// Cause: a box that has not shown that it reads all of the store lets its reads of declarations rest while a box before
// it is in touch (mayRest), and only such a read can show it: the failure of one kind is kept for good, and no answer of
// the other kind counts against it.
func TestTheSecondBoxOfAHallReadsDeclarationsWhileTheFirstIsTurnedAway(t *testing.T) {
	control, controls, sites := turnedHall(t)
	controls[0].turnedAway.Store(true)
	control.change(func() { control.table = testTable(2, retryRoute()) })
	second := sites[1].daemon.router
	require.Eventually(t, func() bool { return second.configVersion() == 2 }, waitTimeout, 10*time.Millisecond)
}

// The group's lead is handed on to a box that reaches the store as well; it rests for the same reason.
func TestTheSecondBoxOfAHallJoinsTheGroupWhileTheFirstIsTurnedAway(t *testing.T) {
	control, controls, sites := turnedHall(t)
	controls[0].turnedAway.Store(true)
	second := memberName(sites[1].daemon.router.peers.self())
	require.Eventually(t, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		for _, member := range control.members {
			if member == second {
				return true
			}
		}
		return false
	}, waitTimeout, 10*time.Millisecond)
}
