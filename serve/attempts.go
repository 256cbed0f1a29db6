package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// maxAttempts is the number of endpoints after which a request that may have run is not tried elsewhere.
	maxAttempts = 4
	// suspiciousMisses is the number of unreachable endpoints after which the request itself may have ended them.
	suspiciousMisses = 3
	// quarantineNewsDelay is the time within which another box has told of a request that ends endpoints: it reports
	// once a second.
	quarantineNewsDelay = 1200 * time.Millisecond
)

// attempts counts the attempts of one request.
//
// Endpoints of the list that have just ended or are draining cost a request nothing until it may have run: one that
// still runs may be left. A request that has run counts them, because it may be what ended them.
type attempts struct {
	exclude    map[willowwick.EndpointID]bool // endpoints that failed or refused the request
	sends      int                            // also to endpoints that were missed before
	misses     int                            // endpoints that were not reached
	mayHaveRun bool
	hasWaited  bool
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

// areOver reports whether the request isn't tried again.
func (a *attempts) areOver() bool {
	if a.mayHaveRun {
		return a.sends+a.misses >= maxAttempts
	}
	return a.sends >= maxAttempts
}

// awaitNews waits, once, for news from other boxes after suspiciousMisses, so that one of the last endpoints is not
// given a request that has ended the others.
func (a *attempts) awaitNews(ctx context.Context) {
	if a.misses < suspiciousMisses || a.hasWaited {
		return
	}
	a.hasWaited = true
	pause(ctx, quarantineNewsDelay)
}

// isNotTaken reports whether an endpoint that failed a send was not reached or is draining, so that nothing was run.
func isNotTaken(err error) bool {
	return errors.Is(err, willowwick.ErrNotSent) || errors.Is(err, willowwick.ErrDraining)
}
