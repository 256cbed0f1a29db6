package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// missRetention is how long an endpoint that was not reached counts as a sign that no endpoint is.
	missRetention = 2 * time.Second
	// suspiciousMisses is the number of endpoints that, not reached within missRetention, cause a check.
	suspiciousMisses = 2
	// reachCheckSize is the number of endpoints that a check dials, and reachCheckTimeout how long it waits: a round trip
	// to another region takes some tens of milliseconds.
	reachCheckSize    = 6
	reachCheckTimeout = 300 * time.Millisecond
	// reachCheckInterval is the pause between two checks while no endpoint is reached, and reachCheckPause the pause after a
	// check that reached one.
	reachCheckInterval = 300 * time.Millisecond
	reachCheckPause    = time.Second
)

// reach finds out whether this box reaches no endpoint at all while it reaches the store and the other boxes.
//
// Requests tell which endpoints were not reached; a check, which dials some endpoints of all services, decides.
type reach struct {
	router    *Router
	suspected chan struct{}
	cutOff    atomic.Bool

	mu     sync.Mutex
	misses map[string]time.Time // when the endpoints at these addresses were last not reached, since one was
}

func newReach(x *Router) *reach {
	return &reach{router: x, suspected: make(chan struct{}, 1), misses: map[string]time.Time{}}
}

// isCutOff reports whether the last check reached no endpoint.
func (r *reach) isCutOff() bool { return r.cutOff.Load() }

// noteDial records the result of an attempt to open a connection to an endpoint.
func (r *reach) noteDial(address string, err error) {
	if err != nil {
		r.noteMiss(address)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.misses)
}

// noteMiss records that an endpoint was not reached, and causes a check if others weren't either.
func (r *reach) noteMiss(address string) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misses[address] = now
	recent := 0
	for other, at := range r.misses {
		if now.Sub(at) > missRetention {
			delete(r.misses, other)
			continue
		}
		recent++
	}
	if recent < suspiciousMisses {
		return
	}
	select {
	case r.suspected <- struct{}{}:
	default:
	}
}

// run checks whether endpoints are reached when that is in doubt, and while none is, until the context is done.
func (r *reach) run(ctx context.Context) {
	var refreshing sync.WaitGroup
	defer refreshing.Wait()
	for ctx.Err() == nil {
		select {
		case <-r.suspected:
		case <-ctx.Done():
			return
		}
		for r.update(r.check(ctx)); r.isCutOff() && ctx.Err() == nil; r.update(r.check(ctx)) {
			refreshing.Go(func() { r.router.offers.refresh(ctx) })
			clock.Sleep(ctx, reachCheckInterval)
		}
		clock.Sleep(ctx, reachCheckPause)
	}
}

// check reports whether an endpoint is reached; connections are kept for requests.
func (r *reach) check(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachCheckTimeout)
	defer cancel()
	return r.reachesAny(ctx, r.router.pool.Endpoints())
}

// reachesOther reports whether an endpoint is reached other than the one at the address, and those that have crashed.
func (r *reach) reachesOther(ctx context.Context, address string) bool {
	others := slices.DeleteFunc(r.router.pool.Endpoints(), func(endpoint willowwick.Endpoint) bool {
		_, hasCrashed := r.router.poison.CrashTime(endpoint.ID, endpoint.Incarnation)
		return hasCrashed || endpoint.Address == address
	})
	return r.reachesAny(ctx, others)
}

// isSingledOut reports whether this box may be cut off from all endpoints, not only from the one at the address: it reaches no
// other, and another box does, or none could be asked though there are others. If no other box reaches one either, the
// endpoints are gone.
func (x *Router) isSingledOut(ctx context.Context, address string) bool {
	if x.reach.reachesOther(ctx, address) {
		return false
	}
	switch x.offers.reachElsewhere(ctx) {
	case reachedElsewhere:
		return true
	case reachedNowhere:
		return false
	default:
		return x.peers.fleetSize() > 1
	}
}

// reachesAny dials up to reachCheckSize of the endpoints and reports whether one was reached; it is true if there is none.
func (r *reach) reachesAny(ctx context.Context, endpoints []willowwick.Endpoint) bool {
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	endpoints = endpoints[:min(len(endpoints), reachCheckSize)]
	if len(endpoints) == 0 {
		return true
	}
	results := make(chan bool, len(endpoints))
	for _, endpoint := range endpoints {
		go func() {
			listens, _ := r.router.conns.IsListening(ctx, endpoint.Address)
			results <- listens
		}()
	}
	for range endpoints {
		if <-results {
			return true
		}
	}
	return false
}

// update applies the result of a check.
func (r *reach) update(isReached bool) {
	if r.cutOff.Swap(!isReached) == !isReached {
		return
	}
	if isReached {
		r.router.pool.ForgetFailures()
		slog.Info("endpoints are reached again from this box")
		return
	}
	slog.Warn("no endpoint is reached from this box")
}
