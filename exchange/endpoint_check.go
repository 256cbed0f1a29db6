package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/wire"
)

const (
	// endCheckPatience bounds the wait for that check where the request may run elsewhere.
	endCheckPatience = 200 * time.Millisecond
	// crashCheckTTL is how long the result of a crash check is kept: the endpoint's entry is gone by then.
	crashCheckTTL = 30 * time.Second
)

type (
	// endpointIncarnation identifies one incarnation of an endpoint.
	endpointIncarnation struct {
		id          willowwick.EndpointID
		incarnation willowwick.Incarnation
	}

	// crashCheck is one check of an endpoint, shared by all requests whose connections to it ended.
	crashCheck struct {
		startedAt time.Time
		opening   sync.Once
		opened    chan struct{} // closed once a connection was opened, or state is set
		settled   chan struct{} // closed once state is set
		state     wire.PeerState
		blaming   sync.Once
		done      chan struct{} // closed once crashed is set
		crashed   bool
	}

	// endReason is the ground on which an answer that ended with its connection is taken for whole, or not, as log lines name it.
	endReason string
)

const (
	reasonRestarted endReason = "the endpoint has restarted"
	reasonNoTime    endReason = "the request ended before the check"
	reasonLives     endReason = "the endpoint lives"
	reasonGone      endReason = "the endpoint doesn't listen"
	reasonUnknown   endReason = "the endpoint's state is unknown"
)

// incarnationOf returns the incarnation of an endpoint.
func incarnationOf(endpoint willowwick.Endpoint) endpointIncarnation {
	return endpointIncarnation{endpoint.ID, endpoint.Incarnation}
}

// livesOn reports whether an endpoint certainly lives after the end of a connection to it, and on what ground; it waits for that at most
// as long as limit, and calls onOpen once a new connection was opened. Unlike a crash, which a request is blamed for, what is not known
// counts as an end here.
func (e *crashDetector) livesOn(
	ctx context.Context, endpoint willowwick.Endpoint, endedAt time.Time, limit time.Duration, onOpen func(),
) (bool, endReason) {
	of, until := incarnationOf(endpoint), clock.Now().Add(limit)
	check, isKnown := e.awaitCheck(ctx, of, endpoint.Address, endedAt, limit)
	isSettled := isKnown && isClosed(check.settled)
	if isKnown && !isSettled {
		onOpen()
		isSettled = check.awaitSettled(ctx, until.Sub(clock.Now()))
	}
	switch {
	case e.router.sync.isReplaced(endpoint):
		return false, reasonRestarted
	case !isSettled && ctx.Err() != nil:
		return false, reasonNoTime
	case !isSettled:
		return false, reasonUnknown
	case check.state == wire.PeerLives:
		return true, reasonLives
	case check.state == wire.PeerGone:
		return false, reasonGone
	default:
		return false, reasonUnknown
	}
}

// awaitCheck waits, at most as long as limit, until something is known by a check of the endpoint that was started at the given time or
// later.
func (e *crashDetector) awaitCheck(
	ctx context.Context, of endpointIncarnation, address string, since time.Time, limit time.Duration,
) (check *crashCheck, isKnown bool) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		check := e.checkFor(of, address, since)
		select {
		case <-check.opened:
		case <-timeout.C:
			return check, !check.startedAt.Before(since) && isClosed(check.opened)
		case <-ctx.Done():
			return nil, false
		}
		if !check.startedAt.Before(since) {
			return check, true
		}
	}
}

// awaitSettled waits until the endpoint's state is known, at most as long as limit, and reports whether it is.
func (c *crashCheck) awaitSettled(ctx context.Context, limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-c.settled:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return isClosed(c.settled)
}

// noteOpened records that something is known.
func (c *crashCheck) noteOpened() { c.opening.Do(func() { close(c.opened) }) }

// checkFor returns the endpoint's check that is about to open a connection, or was started at the given time or later, or starts one.
func (e *crashDetector) checkFor(of endpointIncarnation, address string, since time.Time) *crashCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	check := e.checks[of]
	if check != nil && (!isClosed(check.opened) || !check.startedAt.Before(since)) {
		return check
	}
	e.forgetOldChecks(since)
	check = &crashCheck{
		startedAt: clock.Now(), opened: make(chan struct{}), settled: make(chan struct{}), done: make(chan struct{}),
	}
	e.checks[of] = check
	go e.probe(check, address)
	return check
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// probe runs the check. It continues if the callers of its requests disconnect: others wait for the result.
func (e *crashDetector) probe(check *crashCheck, address string) {
	check.state = e.router.conns.CheckPeer(context.Background(), address, check.noteOpened)
	close(check.settled)
	check.noteOpened()
}

// forgetOldChecks drops expired checks; the caller holds the lock.
func (e *crashDetector) forgetOldChecks(now time.Time) {
	for of, check := range e.checks {
		if now.Sub(check.startedAt) > crashCheckTTL {
			delete(e.checks, of)
		}
	}
}
