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
	sleep(ctx, patience)
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
	control := &slowStatuses{testControl: &testControl{endpoints: map[willowwick.EndpointID]willowwick.Endpoint{r.id: r.endpoint("v1")}}}
	control.change(func() { control.table = testTable(1, onceRoute()) })
	s := startSite(t, control, testSettings())
	control.change(func() {
		control.orders = []willowwick.ReleaseOrder{{Service: "work", Target: "v2", Period: time.Minute, At: 1}}
	})
	require.Eventually(t, func() bool { return control.asked.Load() > 0 }, patience, time.Millisecond)
	control.change(func() { control.table = testTable(2, againRoute()) })
	require.Eventually(t, func() bool { return s.daemon.router.configVersion() == 2 }, inForceWithin, 5*time.Millisecond)
}
