package exchange

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// slowStatuses is a store whose answers to reads of roll-outs' states come in slowly, over a narrow link.
type slowStatuses struct {
	*testControl
	asked atomic.Int64
}

// Statuses implements willowwick.Control.
func (c *slowStatuses) Statuses(ctx context.Context) (willowwick.ReleaseStatuses, error) {
	c.asked.Add(1)
	sleep(ctx, waitTimeout)
	return c.testControl.Statuses(ctx)
}

// Seen: by reading, after a configuration had come into force too late.
//
// How: a roll-out is ordered; the box that reads the declarations for its hall then reads what became of earlier roll-outs. An
// answer of the store is read to its end however slowly it comes. A configuration is accepted meanwhile.
//
// Cause: the box read no declarations while it waited for the states, a wait of another kind, and counted as its hall's reader.
func TestAConfigurationIsInForceWhileStatesOfRollOutsComeInSlowly(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := &slowStatuses{testControl: newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))}
	s := startSite(t, control, testSettings())
	control.change(func() {
		control.orders = []willowwick.ReleaseOrder{{Service: "work", Target: "v2", Period: time.Minute, At: 1}}
	})
	require.Eventually(t, func() bool { return control.asked.Load() > 0 }, waitTimeout, time.Millisecond)
	control.change(func() { control.table = testTable(2, retryRoute()) })
	require.Eventually(t, func() bool { return s.daemon.router.configVersion() == 2 }, inForceWithin, 5*time.Millisecond)
}

// The box that writes states of roll-outs once judged none of them, and closed no idle connections, while an answer of the
// store that it needed for writing came in slowly.
func TestABadReleaseIsJudgedWhileStatesOfRollOutsComeInSlowly(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := &slowStatuses{testControl: newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))}
	s := startSite(t, control, testSettings())
	x := s.daemon.router
	require.Eventually(t, x.sync.isLeading, waitTimeout, time.Millisecond)
	control.change(func() {
		control.orders = []willowwick.ReleaseOrder{{Service: "work", Target: "v2", Period: time.Minute, At: 1}}
	})
	// One read for the order, another one before the state is written.
	require.Eventually(t, func() bool { return control.asked.Load() > 1 }, waitTimeout, time.Millisecond)
	for range 10 * plainlyBad {
		x.releases.observe(observation{service: "work", release: "v2", route: "once", isError: true})
	}
	require.Eventually(t, func() bool {
		for _, roll := range x.releases.progresses(time.Now()) {
			if roll.Status.State == willowwick.ReleaseRolledBack {
				return true
			}
		}
		return false
	}, 4*leadEvery, 5*time.Millisecond)
}
