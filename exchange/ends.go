package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/quarantine"
)

const (
	// endKept is how long it is remembered that an endpoint ended: its entry is gone by then.
	endKept = 30 * time.Second
	// breakKept is how long a connection that broke may still turn out to have ended with its endpoint: some heartbeats.
	breakKept = 10 * time.Second
	// mostBreaks bounds the broken connections that wait for that.
	mostBreaks = 1024
	// dropKept is how long a send whose answer was dropped may still have been at work at its endpoint, and so have ended it;
	// mostDrops bounds those that are kept, and keptBody the bodies of their requests: of a longer one the fingerprint is taken at once.
	dropKept  = time.Second
	mostDrops = 256
	keptBody  = 64 << 10
	// dropNews is how much later it may become known here that the endpoint ended: another box tells of it within some swaps.
	dropNews = 2 * time.Second
)

type (
	// endChecks finds out whether an endpoint ended when a connection to it broke. Where it did, nothing listens at its address any
	// more; where only the connection was reset, it does.
	endChecks struct {
		router *Router

		mu     sync.Mutex
		checks map[endpointInLife]*endCheck
		breaks []brokenSend // of endpoints at whose address something listened again
		drops  []droppedSend
	}

	// droppedSend is a send whose answer was dropped while its endpoint may have been at work on it.
	droppedSend struct {
		identify func() willowwick.HarmfulRequest // the fingerprint is taken only if the endpoint ended
		endpoint willowwick.Endpoint
		at       time.Time
	}

	// endpointInLife names one life of an endpoint.
	endpointInLife struct {
		id          willowwick.EndpointID
		incarnation willowwick.Incarnation
	}

	// brokenSend is a request whose connection broke, for which reason is not known yet.
	brokenSend struct {
		about    willowwick.HarmfulRequest
		endpoint willowwick.Endpoint
		at       time.Time
	}

	// endCheck is one look, which all requests that broke at the endpoint share.
	endCheck struct {
		began time.Time
		done  chan struct{} // closed once hasEnded is known
		ended bool
	}
)

func newEndChecks(x *Router) *endChecks {
	return &endChecks{router: x, checks: map[endpointInLife]*endCheck{}}
}

// hasEnded reports whether an endpoint, to which a connection broke at a moment, ended by itself. One that leaves, whose entry is
// gone, or whose release is given up may be stopped by its operator at any time.
func (e *endChecks) hasEnded(ctx context.Context, endpoint willowwick.Endpoint, brokeAt time.Time) bool {
	if e.router.sync.hasStartedAgain(endpoint) {
		return true
	}
	_, isListed := e.router.sync.entry(endpoint.ID)
	if !isListed || e.router.pool.IsLeaving(endpoint.ID) || e.router.releases.isRetired(endpoint.Service, endpoint.Release, brokeAt) {
		return false
	}
	for {
		check, isOwn := e.checkFor(endpointInLife{endpoint.ID, endpoint.Incarnation}, brokeAt)
		if isOwn {
			e.look(ctx, check, endpoint.Address)
			return check.ended
		}
		select {
		case <-check.done:
		case <-ctx.Done():
			return false
		}
		if check.ended || !check.began.Before(brokeAt) {
			return check.ended
		}
	}
}

// checkFor returns the check that is under way for an endpoint or tells what is asked; isOwn says that the caller has to make it.
func (e *endChecks) checkFor(of endpointInLife, brokeAt time.Time) (check *endCheck, isOwn bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	check = e.checks[of]
	if check != nil && (!check.isDone() || check.ended || !check.began.Before(brokeAt)) {
		return check, false
	}
	e.forget(brokeAt)
	check = &endCheck{began: clock.Now(), done: make(chan struct{})}
	e.checks[of] = check
	return check, true
}

func (c *endCheck) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// look makes the check; an endpoint of which nothing shows in time counts as alive. It goes on if the caller of the request that
// makes it leaves: others wait for what it shows, and would send the request to one more endpoint.
func (e *endChecks) look(ctx context.Context, check *endCheck, address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), quarantine.CrashCheckTimeout)
	defer cancel()
	listens, known := e.router.conns.IsListening(ctx, address)
	check.ended = known && !listens
	close(check.done)
}

// forget drops old checks; the caller holds the lock.
func (e *endChecks) forget(now time.Time) {
	for of, check := range e.checks {
		if now.Sub(check.began) > endKept {
			delete(e.checks, of)
		}
	}
}

// await keeps a send that broke while something listens at its endpoint's address: the endpoint may have started again already,
// which its next entry shows.
func (e *endChecks) await(broken brokenSend) {
	if broken.endpoint.Incarnation == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaks = slices.DeleteFunc(e.breaks, func(b brokenSend) bool { return broken.at.Sub(b.at) > breakKept })
	if len(e.breaks) < mostBreaks {
		e.breaks = append(e.breaks, broken)
	}
}

// endedBefore takes that a life of an endpoint was over before the one that its entry tells of now.
func (e *endChecks) endedBefore(id willowwick.EndpointID, incarnation willowwick.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaks = slices.DeleteFunc(e.breaks, func(b brokenSend) bool {
		isOf := b.endpoint.ID == id && b.endpoint.Incarnation == incarnation
		if isOf {
			e.router.noteHarm(b)
		}
		return isOf
	})
}

// noteDropped keeps a send whose answer is dropped now.
func (e *endChecks) noteDropped(dropped droppedSend) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drops = slices.DeleteFunc(e.drops, func(d droppedSend) bool { return dropped.at.Sub(d.at) > dropKept+dropNews })
	if len(e.drops) < mostDrops {
		e.drops = append(e.drops, dropped)
	}
}

// dropped is the send as its answer is dropped now.
func (s *send) dropped() droppedSend {
	c, d := s.call, droppedSend{endpoint: s.ticket.Endpoint, at: clock.Now()}
	if len(c.message.Body) > keptBody {
		about := c.identify()
		d.identify = func() willowwick.HarmfulRequest { return about }
	} else {
		d.identify = func() willowwick.HarmfulRequest { return c.identifyAs(c.takeFingerprint()) }
	}
	return d
}

// countDropped counts the ends of endpoints, of which this box has just learnt, against the sends whose answers were dropped there right
// before: nobody heard their connections break.
func (e *endChecks) countDropped() {
	var ended []brokenSend
	e.mu.Lock()
	e.drops = slices.DeleteFunc(e.drops, func(d droppedSend) bool {
		at, isKnown := e.router.harm.CrashTime(d.endpoint.ID, d.endpoint.Incarnation)
		if isKnown && at.Sub(d.at).Abs() <= dropKept {
			ended = append(ended, brokenSend{about: d.identify(), endpoint: d.endpoint, at: at})
		}
		return isKnown
	})
	e.mu.Unlock()
	for _, one := range ended {
		e.router.noteHarm(one)
	}
}
