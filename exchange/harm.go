package exchange

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/quarantine"
)

const (
	// harmEvery is how often a box looks whether the store has to be told of a request: soon enough that all boxes may lose
	// power a moment after a request was found out.
	harmEvery = feedPoll
	// mostTarget bounds what is kept and told of a caller's path, which may be as long as its headers.
	mostTarget = 512
	// harmRetry is the pause after a call to the store that failed.
	harmRetry = time.Second
	// harmLook is how often a box that reads the store looks there for what others found, while it hears of no box of some hall: all
	// have to know within three seconds.
	harmLook = time.Second
)

// refuseHarmful refuses a request that ends the endpoints that run it. The box that leads tries it now and then where it may run
// after all; it is the only one that does so at a time.
func (c *call) refuseHarmful(now time.Time) *willowwick.Refusal {
	if !c.isHarmful() {
		return nil
	}
	x := c.router
	if x.sync.isLeading() {
		if release, isAllowed := x.harm.AllowTrial(c.identify(), x.releasesOf(c.service, now), now); isAllowed {
			slog.Info("refused request is tried", "request", c.head.ID, "fingerprint", c.fingerprint().String(), "release", release)
			x.peers.hurry()
			c.trial = release
			return nil
		}
	}
	return quarantine.Refusal()
}

// isHarmful reports whether the request is to be sent to no endpoint. Its fingerprint is taken only while some request is under
// suspicion.
func (c *call) isHarmful() bool {
	harm := c.router.harm
	return c.trial == "" && !harm.IsEmpty() && harm.Refuses(c.fingerprint())
}

// releasesOf lists the releases of a service's endpoints that may get requests.
func (x *Router) releasesOf(service willowwick.ServiceID, now time.Time) []willowwick.ReleaseID {
	var list []willowwick.ReleaseID
	for _, endpoint := range x.pool.Endpoints() {
		isUsed := endpoint.Service == service && !endpoint.Leaving && !x.releases.isRetired(service, endpoint.Release, now)
		if isUsed && !slices.Contains(list, endpoint.Release) {
			list = append(list, endpoint.Release)
		}
	}
	return list
}

// identify says what is told of the request to other boxes and to operators.
func (c *call) identify() willowwick.HarmfulRequest {
	return c.identifyAs(c.fingerprint())
}

// identifyAs is identify with the request's fingerprint.
func (c *call) identifyAs(fingerprint willowwick.Fingerprint) willowwick.HarmfulRequest {
	return willowwick.HarmfulRequest{
		Request: fingerprint, Account: c.accountName(), Service: c.service, Host: c.message.Host,
		Target: c.message.Target[:min(len(c.message.Target), mostTarget)],
	}
}

// noteHarm notes that an endpoint ended while it had a request.
func (x *Router) noteHarm(broken brokenSend) {
	x.metrics.endedUnder()
	endpoint := broken.endpoint
	x.harm.RecordCrash(broken.about, willowwick.EndpointEnd{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Release: endpoint.Release, At: broken.at,
	})
	x.peers.hurry()
}

// noteHarmless notes that an endpoint has answered the request whole.
func (s *send) noteHarmless(now time.Time) {
	if quarantine.IsCompletedRun(s.answer.Status) && !s.router.harm.IsEmpty() {
		s.router.harm.RecordAnswer(s.fingerprint(), now)
	}
}

// keepHarmful looks after what the store holds of requests that end endpoints, until the context ends. What the boxes know dies with
// them, and all may lose power at once.
func (s *syncer) keepHarmful(ctx context.Context) {
	sleep(ctx, lookFor)
	for ctx.Err() == nil {
		if !s.lookAfterHarmful(ctx) {
			sleep(ctx, harmRetry)
		}
		sleep(ctx, harmEvery)
	}
}

// lookAfterHarmful reads what the store holds where that is due, and writes what this box found; it reports whether the store
// answered.
func (s *syncer) lookAfterHarmful(ctx context.Context) bool {
	now := clock.Now()
	isAnswered := true
	if s.mustReadHarmful(now) {
		if isAnswered = s.restoreHarmful(ctx); isAnswered {
			s.harmDue = now.Add(harmLook)
		}
	}
	s.router.harm.Expire(now)
	return s.writeHarmful(ctx) && isAnswered
}

// mustReadHarmful reports whether this box has to read what the store holds: once, since what boxes know dies with them, and again
// and again while other halls may have found out something that they cannot tell it.
func (s *syncer) mustReadHarmful(now time.Time) bool {
	isDue := s.harmDue.IsZero() || !now.Before(s.harmDue) && s.router.peers.missesHall(now)
	return isDue && !s.isFed(now) && !s.mayRest(now)
}

// restoreHarmful reads what the store holds, and reports whether that was possible.
func (s *syncer) restoreHarmful(ctx context.Context) bool {
	records, err := s.control.Harmful(ctx)
	if err != nil {
		slog.Info("requests that end endpoints could not be read", "error", err)
		return false
	}
	now := clock.Now()
	restored := make([]willowwick.HarmfulRequest, len(records))
	for i, record := range records {
		restored[i] = record.WithEndTimes(func(at time.Time) time.Time { return now.Add(-clock.System(now).Sub(at)) })
	}
	s.router.harm.Restore(restored, now)
	return true
}

// writeHarmful writes what is due, and reports whether the store took it.
func (s *syncer) writeHarmful(ctx context.Context) bool {
	for _, request := range s.router.harm.PendingWrites() {
		era := s.currentEra()
		if err := s.control.SetHarmful(ctx, request.WithEndTimes(clock.System)); err != nil {
			slog.Info("request that ends endpoints could not be written", "fingerprint", request.Request.String(), "error", err)
			return false
		}
		if era == s.currentEra() {
			s.router.harm.MarkWritten(request)
		}
	}
	return true
}
