package exchange

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// lateServer answers as another box would, but its answers are under way for a while.
type lateServer struct {
	inner *rpcServer
	late  time.Duration // setting: how long an answer is under way
	made  time.Time     // when the last answer was made
}

// Swap answers a box's digest.
func (s *lateServer) Swap(call *SwapCall, reply *SwapReply) error {
	s.made = time.Now()
	err := s.inner.Swap(call, reply)
	time.Sleep(s.late)
	return err
}

// Seen: what a box knows of the store by another one counts as fresher than it is, by as long as the answer was under way.
//
// How: an answer tells how old its news is; it may take up to swapLimit, 1.2 s, and its age then counts from its arrival.
// With reliedShare, 1.2 s, a box relies on news of 2.4 s before it reads for itself; an endpoint that leaves may be sent to
// for 2 s.
//
// Cause: takeFromPeer and heard go by the time of arrival; the time at which the call was sent is what is sure.
func TestNewsOfAnotherBoxAreAsOldAsTheyWereWhenTold(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	_, tellers := newHall(t, 1, r.endpoint("v1"))
	_, hearers := newHall(t, 1, r.endpoint("v1"))
	hearer := hearers[0].daemon.router
	hearers[0].control.change(func() { hearers[0].control.down = true })
	require.Eventually(t, func() bool { return hearer.sync.isFailing(readEndpoints) }, waitTimeout, time.Millisecond)
	// The teller hears of the hearer by the call; the hearer's own swaps with it would bring newer news.
	hearers[0].daemon.stop()
	hearers[0].daemon.workers.Close()
	server := &lateServer{inner: &rpcServer{peers: tellers[0].daemon.router.peers}, late: swapLimit - 300*time.Millisecond}
	registry := rpc.NewServer()
	require.NoError(t, registry.RegisterName(rpcName, server))
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	go tellers[0].daemon.router.peers.transport.Serve(listener, registry)
	hearer.sync.mu.Lock()
	hearer.sync.changedAt = willowwick.Position(1 << 20) // it has all that the other lists
	hearer.sync.mu.Unlock()
	hearer.peers.swap(t.Context(), listener.Addr().String())
	require.False(t, server.made.IsZero(), "it was asked")
	hearer.sync.mu.Lock()
	defer hearer.sync.mu.Unlock()
	assert.LessOrEqual(t, hearer.sync.asOf.UnixMilli(), server.made.UnixMilli())
}

// lateEndpoints is a store whose answers with the list of endpoints come in late, over a narrow link.
type lateEndpoints struct {
	*testControl
	late time.Duration
	made chan time.Time // when each answer was made
}

// Endpoints implements willowwick.Control.
func (c *lateEndpoints) Endpoints(ctx context.Context, from willowwick.Position) (willowwick.EndpointChanges, error) {
	changes, err := c.testControl.Endpoints(ctx, from)
	made := time.Now()
	sleep(ctx, c.late)
	c.made <- made
	return changes, err
}

// What a box reads itself is as old as what it hears: an answer says what was so when it was made, not when it was in.
func TestAListOfEndpointsIsAsOldAsItWasWhenTheStoreMadeIt(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := &lateEndpoints{
		testControl: newTestControl(testTable(1, onceRoute()), r.endpoint("v1")),
		late:        400 * time.Millisecond, made: make(chan time.Time, 1000),
	}
	x := startSite(t, control, testSettings()).daemon.router
	made := <-control.made
	x.sync.mu.Lock()
	defer x.sync.mu.Unlock()
	// Each answer that was taken has told before.
	for len(control.made) > 0 {
		made = <-control.made
	}
	assert.False(t, x.sync.asOf.After(made), "%v after it was made", x.sync.asOf.Sub(made))
}
