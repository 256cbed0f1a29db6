package exchange

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// refusingControl is a store that refuses one box for a while, and serves the others.
type refusingControl struct {
	*testControl
	isRefusing   atomic.Bool
	refusedCalls atomic.Int64 // calls while it refuses the box
}

func (c *refusingControl) refuses() bool {
	if !c.isRefusing.Load() {
		return false
	}
	c.refusedCalls.Add(1)
	return true
}

// Declarations implements willowwick.Control.
func (c *refusingControl) Declarations(ctx context.Context, from willowwick.Position, wait time.Duration) (willowwick.Declarations, error) {
	if c.refuses() {
		return willowwick.Declarations{}, errDown
	}
	return c.testControl.Declarations(ctx, from, wait)
}

// Endpoints implements willowwick.Control.
func (c *refusingControl) Endpoints(ctx context.Context, from willowwick.Position) (willowwick.EndpointChanges, error) {
	if c.refuses() {
		return willowwick.EndpointChanges{}, errDown
	}
	return c.testControl.Endpoints(ctx, from)
}

// Join implements willowwick.Control.
func (c *refusingControl) Join(ctx context.Context, member string, generation uint64) (willowwick.Membership, error) {
	if c.refuses() {
		return willowwick.Membership{}, errDown
	}
	return c.testControl.Join(ctx, member, generation)
}

// newRefusedHall starts two boxes of one hall, the first of which has the wider link. The second one starts alone,
// reads all of the store, then has a failed read of declarations, and has the first as its reader from then on.
func newRefusedHall(t *testing.T) (control *testControl, controls []*refusingControl, sites []*site) {
	r := newRunner(t, "r1", answerText("ok"))
	control = newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))
	controls = []*refusingControl{{testControl: control}, {testControl: control}}
	settings := testSettings()
	settings.Box, settings.LinkMbps, settings.Drain = "box-second", 100, hallDrain
	second := startSite(t, controls[1], settings)
	x := second.daemon.router
	require.Eventually(t, func() bool { return x.sync.declarationsAnswerAge(time.Now()) > 0 }, waitTimeout, time.Millisecond)
	controls[1].isRefusing.Store(true)
	require.Eventually(t, func() bool { return x.sync.isReadFailing(declarationsRead) }, waitTimeout, time.Millisecond)
	settings.Box, settings.LinkMbps, settings.Seeds = "box-first", 200, []string{x.settings.Peers}
	first := startSite(t, controls[0], settings)
	require.Eventually(t, func() bool {
		_, hasReader := x.peers.reader(time.Now())
		return hasReader
	}, waitTimeout, 10*time.Millisecond)
	time.Sleep(peerLiveness)
	require.True(t, x.sync.isReadFailing(declarationsRead), "a box with a reader makes no read that could clear the failure")
	controls[1].isRefusing.Store(false)
	return control, controls, []*site{first, second}
}

// Guards against a hall without new configurations while the store refuses its first box, though its second box reads
// endpoints. The second box had one failed read of declarations and then the first box as its reader. A box that has
// not shown that it reads all of the store skips reads of declarations while a live box precedes it (maySkipCalls), but
// only such a read clears the failure: it was kept for good, whatever the answers of the other kind.
func TestSecondBoxOfHallReadsDeclarationsWhileFirstIsRefused(t *testing.T) {
	control, controls, sites := newRefusedHall(t)
	controls[0].isRefusing.Store(true)
	control.change(func() { control.table = testTable(2, retryRoute()) })
	second := sites[1].daemon.router
	require.Eventually(t, func() bool { return second.configVersion() == 2 }, waitTimeout, 10*time.Millisecond)
}

// The leadership of the group also passes to a box that reaches the store; its join was skipped for the same reason.
func TestSecondBoxOfHallJoinsGroupWhileFirstIsRefused(t *testing.T) {
	control, controls, sites := newRefusedHall(t)
	controls[0].isRefusing.Store(true)
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
