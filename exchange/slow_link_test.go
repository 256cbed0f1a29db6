package exchange

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// narrowControl is a store behind a narrow link: what is declared takes a while to come in, and another answer that would
// come meanwhile is too late for its limit.
type narrowControl struct {
	*testControl
	isNarrow atomic.Bool
	coming   atomic.Int64 // answers with what is declared that are coming in
}

// Declarations implements willowwick.Control.
func (c *narrowControl) Declarations(ctx context.Context, from willowwick.Position, wait time.Duration) (willowwick.Declarations, error) {
	declared, err := c.testControl.Declarations(ctx, from, wait)
	if err != nil || declared.Next == from || !c.isNarrow.Load() {
		return declared, err
	}
	// A megabyte, what one read may bring, takes as long where 5.6 Mbit/s of a link are left for it.
	const transfer = 1500 * time.Millisecond
	c.coming.Add(1)
	defer c.coming.Add(-1)
	sleep(ctx, transfer)
	return declared, ctx.Err()
}

// Endpoints implements willowwick.Control.
func (c *narrowControl) Endpoints(ctx context.Context, from willowwick.Position) (willowwick.EndpointChanges, error) {
	if c.coming.Load() > 0 {
		sleep(ctx, headLimit)
		return willowwick.EndpointChanges{}, errDown
	}
	return c.testControl.Endpoints(ctx, from)
}

// Seen: a configuration never comes into force, though its bytes come in all the time.
//
// How: while its answer fills the link, a read of endpoints is not answered in time. That ends the read of declarations,
// which begins anew from the same place, and so on.
//
// Cause: a read is ended by what becomes of another one (giveUpHeldRead), also where it is not held any more but moves
// forward. What limits a read that nothing comes of is the limit of its own connection.
func TestAConfigurationThatComesInSlowlyIsNotGivenUp(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := &narrowControl{testControl: newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))}
	settings := testSettings()
	settings.Drain = feedDrain
	s := startSite(t, control, settings)
	control.isNarrow.Store(true)
	control.change(func() { control.table = testTable(2, retryRoute()) })
	require.Eventually(t, func() bool { return s.daemon.router.configVersion() == 2 }, waitTimeout, 5*time.Millisecond)
}
