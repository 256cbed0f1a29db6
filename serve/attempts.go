package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// maxAttempts is the number of attempts after which a request is not tried again; attempts says which ones count.
	maxAttempts = 4
	// suspectMisses is the number of unreachable endpoints from which the request is suspected to have crashed them.
	suspectMisses = 3
	// quarantineUpdateDelay is the time within which this box gets the updates on poison requests of other boxes, which send
	// them once a second.
	quarantineUpdateDelay = 1200 * time.Millisecond
)

// attempts counts the attempts of one request.
//
// The first attempt at an endpoint that is not reached or draining doesn't count, since another endpoint may still run. Once
// the request may have run, endpoints that were not reached count too, because the request may have crashed them.
type attempts struct {
	exclude    map[willowwick.EndpointID]bool // endpoints that failed or refused the request
	sends      int                            // failed attempts that count in any case
	misses     int                            // endpoints that were not reached at the first attempt
	mayHaveRun bool
	hasWaited  bool // awaitUpdates has waited
}

func newAttempts() attempts {
	return attempts{exclude: map[willowwick.EndpointID]bool{}}
}

// add records a failed attempt at an endpoint.
func (a *attempts) add(endpoint willowwick.EndpointID, err error) {
	isFirst := !a.exclude[endpoint]
	a.exclude[endpoint] = true
	switch {
	case errors.Is(err, willowwick.ErrNotSent) && isFirst:
		a.misses++
	case errors.Is(err, willowwick.ErrDraining) && isFirst:
	default:
		a.sends++
		a.mayHaveRun = a.mayHaveRun || !isNotTaken(err) && !errors.Is(err, willowwick.ErrBusy)
	}
}

// areExhausted reports whether the request must not be tried again.
func (a *attempts) areExhausted() bool {
	if a.mayHaveRun {
		return a.sends+a.misses >= maxAttempts
	}
	return a.sends >= maxAttempts
}

// awaitUpdates waits, once, for updates from other boxes after suspectMisses, so that a poison request that has crashed many
// endpoints isn't sent to the others too.
func (a *attempts) awaitUpdates(ctx context.Context) {
	if a.misses < suspectMisses || a.hasWaited {
		return
	}
	a.hasWaited = true
	pause(ctx, quarantineUpdateDelay)
}

// isNotTaken reports whether an endpoint that failed a send was not reached, is draining or lacks the version, so that
// nothing was run.
func isNotTaken(err error) bool {
	return errors.Is(err, willowwick.ErrNotSent) || errors.Is(err, willowwick.ErrDraining) || errors.Is(err, willowwick.ErrVersionNotLoaded)
}
