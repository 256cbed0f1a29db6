package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/wire"
)

const (
	// pendingBreakTTL is how long a broken connection may still be attributed to a crash of its endpoint: some
	// heartbeats.
	pendingBreakTTL = 10 * time.Second
	// maxPendingBreaks limits the broken connections that are kept for that.
	maxPendingBreaks = 1024
	// dropCrashWindow is how long after its answer was dropped a request may still have been running at its
	// endpoint, and so have crashed it. maxPendingDrops limits how many such sends are kept. maxRetainedBody limits
	// the size of the body kept with each; the fingerprint of a larger one, and of a request that may be stored in some
	// regions only, is computed at once.
	dropCrashWindow = time.Second
	maxPendingDrops = 256
	maxRetainedBody = 64 << 10
	// crashReportDelay is how much later than that window the crash may become known here: another box reports it within some gossip
	// exchanges.
	crashReportDelay = 2 * time.Second
)

type (
	// crashDetector finds out whether an endpoint crashed when a connection to it broke, and whether it lives on when one ended in order. If it
	// crashed, nothing listens at its address any more; if only the connection was reset, something does.
	crashDetector struct {
		router *Router

		mu     sync.Mutex
		checks map[endpointIncarnation]*crashCheck
		breaks []brokenSend // sends to endpoints at whose address something listened again
		drops  []droppedSend
	}

	// droppedSend is a send whose answer was dropped while its endpoint may have been running the request.
	droppedSend struct {
		describePoison func() willowwick.PoisonRequest // computes the fingerprint, which is needed only if the endpoint crashed
		endpoint       willowwick.Endpoint
		at             time.Time
	}

	// brokenSend is a request whose connection broke for an unknown reason.
	brokenSend struct {
		request  willowwick.PoisonRequest
		endpoint willowwick.Endpoint
		at       time.Time
	}
)

func newCrashDetector(x *Router) *crashDetector {
	return &crashDetector{router: x, checks: map[endpointIncarnation]*crashCheck{}}
}

// hasCrashed reports whether an endpoint, to which a connection broke at brokeAt, crashed. An endpoint that is
// draining or no longer listed, or whose release is retired, may have been stopped by its operator and doesn't
// count.
func (e *crashDetector) hasCrashed(ctx context.Context, endpoint willowwick.Endpoint, brokeAt time.Time) bool {
	if e.router.sync.hasRestarted(endpoint) {
		return true
	}
	_, isListed := e.router.sync.listedEndpoint(endpoint.ID)
	if !isListed || e.router.pool.IsDraining(endpoint.ID) || e.router.releases.isRetired(endpoint.Service, endpoint.Release, brokeAt) {
		return false
	}
	of := incarnationOf(endpoint)
	if e.isKnownToHaveCrashed(of) {
		return true
	}
	check, isKnown := e.awaitCheck(ctx, of, endpoint.Address, brokeAt, quarantine.CrashCheckTimeout)
	if !isKnown || !isClosed(check.settled) { // something listens
		return false
	}
	check.blaming.Do(func() { go e.blame(context.WithoutCancel(ctx), check, endpoint.Address) })
	select {
	case <-check.done:
		return check.crashed
	case <-ctx.Done():
		return false
	}
}

// isKnownToHaveCrashed reports whether the endpoint crashed by an earlier check.
func (e *crashDetector) isKnownToHaveCrashed(of endpointIncarnation) bool {
	e.mu.Lock()
	check := e.checks[of]
	e.mu.Unlock()
	return check != nil && isClosed(check.done) && check.crashed
}

// blame decides by a settled check whether the endpoint crashed; one whose state remains unknown counts as alive, also if this box may be cut
// off from all.
func (e *crashDetector) blame(ctx context.Context, check *crashCheck, address string) {
	defer close(check.done)
	ctx, cancel := context.WithTimeout(ctx, quarantine.CrashCheckTimeout)
	defer cancel()
	check.crashed = check.state == wire.PeerGone && !e.router.isSingledOut(ctx, address)
}

// awaitRestart keeps a broken send while something listens at its endpoint's address: the endpoint may have
// restarted already, which its next entry shows.
func (e *crashDetector) awaitRestart(broken brokenSend) {
	if broken.endpoint.Incarnation == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaks = slices.DeleteFunc(e.breaks, func(b brokenSend) bool { return broken.at.Sub(b.at) > pendingBreakTTL })
	if len(e.breaks) < maxPendingBreaks {
		e.breaks = append(e.breaks, broken)
	}
}

// recordRestart records that an incarnation of an endpoint had ended before the one of its newest entry.
func (e *crashDetector) recordRestart(id willowwick.EndpointID, incarnation willowwick.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaks = slices.DeleteFunc(e.breaks, func(b brokenSend) bool {
		isOf := b.endpoint.ID == id && b.endpoint.Incarnation == incarnation
		if isOf {
			e.router.recordCrash(b)
		}
		return isOf
	})
}

// recordDropped keeps a send whose answer is dropped now.
func (e *crashDetector) recordDropped(dropped droppedSend) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drops = slices.DeleteFunc(e.drops, func(d droppedSend) bool { return dropped.at.Sub(d.at) > dropCrashWindow+crashReportDelay })
	if len(e.drops) < maxPendingDrops {
		e.drops = append(e.drops, dropped)
	}
}

// checkForCrash finds out whether the endpoint crashed while it had the request.
func (s *send) checkForCrash() {
	broken := brokenSend{request: s.describePoison(), endpoint: s.ticket.Endpoint, at: s.endedAt}
	if broken.at.IsZero() {
		broken.at = clock.Now()
	}
	if s.observedRun().IsHarmless(broken.at) {
		broken.request.Parts = willowwick.PartFingerprints{}
	}
	s.crashed = s.router.crashes.hasCrashed(s.ctx, broken.endpoint, broken.at)
	if s.crashed {
		s.router.recordCrash(broken)
		s.router.crashes.countDroppedAtCrash()
	} else if s.endReason == "" {
		s.router.crashes.awaitRestart(broken) // an answer that ended in order may have been whole
	}
}

// dropped returns the record of a send whose answer is dropped now.
func (s *send) dropped() droppedSend {
	c, d := s.call, droppedSend{endpoint: s.ticket.Endpoint, at: clock.Now()}
	if len(c.message.Body) > maxRetainedBody || c.isRestricted() {
		request := c.describePoison()
		d.describePoison = func() willowwick.PoisonRequest { return request }
	} else {
		request := c.describePoisonAs(willowwick.Fingerprint{}) // the function may run in another goroutine than the call
		d.describePoison = func() willowwick.PoisonRequest {
			request.Request = c.computeFingerprint()
			return request
		}
	}
	return d
}

// countDroppedAtCrash attributes crashes that this box has just learnt of to the sends whose answers were dropped
// there within dropCrashWindow: their connections were no longer read, so the break went unnoticed.
func (e *crashDetector) countDroppedAtCrash() {
	var crashed []brokenSend
	e.mu.Lock()
	e.drops = slices.DeleteFunc(e.drops, func(d droppedSend) bool {
		at, isKnown := e.router.poison.CrashTime(d.endpoint.ID, d.endpoint.Incarnation)
		if isKnown && at.Sub(d.at).Abs() <= dropCrashWindow {
			crashed = append(crashed, brokenSend{request: d.describePoison(), endpoint: d.endpoint, at: at})
		}
		return isKnown
	})
	e.mu.Unlock()
	for _, broken := range crashed {
		e.router.recordCrash(broken)
	}
}
