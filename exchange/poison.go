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
	// poisonWriteInterval is how often a box checks for poison requests to write to the store: short, since all
	// boxes may lose power a moment after a request was identified.
	poisonWriteInterval = readerPollInterval
	// maxTargetBytes limits what is kept and reported of a request's target, which may be as long as its headers.
	maxTargetBytes = 512
	// poisonRetryDelay is the delay after a failed call to the store.
	poisonRetryDelay = time.Second
	// poisonReadInterval is how often a box that reads the store checks it for requests found by other boxes while
	// it is in touch with no box of some hall: all boxes have to know of them within three seconds.
	poisonReadInterval = time.Second
)

// refusePoison refuses a poison request, which crashes the endpoints that run it. The leader, and only it, retries
// such a request from time to time on a release that may run it.
func (c *call) refusePoison(now time.Time) *willowwick.Refusal {
	if !c.isPoison() {
		return nil
	}
	x := c.router
	if x.sync.isRolloutLeader() {
		if release, isAllowed := x.poison.AllowTrial(c.describePoison(), c.usableReleases(now), now); isAllowed {
			slog.Info("refused request is tried", "request", c.head.ID, "fingerprint", c.fingerprint().String(), "release", release)
			x.peers.requestRound()
			c.trialRelease = release
			return nil
		}
	}
	return quarantine.Refusal()
}

// isPoison reports whether the request must not be sent to any endpoint. The fingerprints are computed only while
// some request is suspected.
func (c *call) isPoison() bool {
	poison := c.router.poison
	if c.trialRelease != "" || poison.IsEmpty() {
		return false
	}
	return poison.Refuses(c.fingerprint()) || poison.RefusesParts(c.partFingerprints())
}

// usableReleases returns the releases of the endpoints that may get the request.
func (c *call) usableReleases(now time.Time) []willowwick.ReleaseID {
	var list []willowwick.ReleaseID
	x := c.router
	for _, endpoint := range x.pool.Endpoints() {
		isUsable := endpoint.Service == c.service && !endpoint.Leaving && c.allowsHall(endpoint.Hall) &&
			!x.releases.isRetired(c.service, endpoint.Release, now)
		if isUsable && !slices.Contains(list, endpoint.Release) {
			list = append(list, endpoint.Release)
		}
	}
	return list
}

// describePoison returns what other boxes and operators get to know of the request.
func (c *call) describePoison() willowwick.PoisonRequest {
	return c.describePoisonAs(c.fingerprint())
}

// describePoisonAs is describePoison with a given fingerprint.
func (c *call) describePoisonAs(fingerprint willowwick.Fingerprint) willowwick.PoisonRequest {
	request := willowwick.PoisonRequest{Request: fingerprint, Account: c.accountName(), Service: c.service, Host: c.message.Host, Parts: c.partFingerprints()}
	if c.isRestricted() {
		request.Target = c.route.Prefix // the rest of the target is content, which stays in the allowed regions
	} else {
		request.Target = c.message.Target[:min(len(c.message.Target), maxTargetBytes)]
	}
	return request
}

// recordCrash records that an endpoint crashed while it had a request.
func (x *Router) recordCrash(broken brokenSend) {
	x.metrics.countSendCutByCrash()
	endpoint := broken.endpoint
	x.poison.RecordCrash(broken.request, willowwick.EndpointCrash{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Release: endpoint.Release, At: broken.at,
	})
	x.peers.requestRound()
}

// recordHarmless records that an endpoint has answered the request completely.
func (s *send) recordHarmless(now time.Time) {
	if !quarantine.IsCompletedRun(s.answer.Status) {
		return
	}
	if !s.router.poison.IsEmpty() {
		s.router.poison.RecordAnswer(s.fingerprint(), now)
	}
	if s.isHarmless {
		return
	}
	run := s.observedRun()
	if run.BeganAt.IsZero() {
		run.BeganAt = now
	}
	s.router.poison.RecordRun(s.partFingerprints(), run, now)
}

// recordProgress records that an endpoint goes on answering, which it does not if a part of the prompt crashes it.
func (s *send) recordProgress(now time.Time) {
	if run := s.observedRun(); !s.isHarmless && run.IsHarmless(now) {
		s.isHarmless = true
		s.router.poison.RecordRun(s.partFingerprints(), run, now)
	}
}

// observedRun describes the run of the request at the endpoint.
func (s *send) observedRun() quarantine.Run {
	return quarantine.Run{Endpoint: s.ticket.Endpoint.ID, Incarnation: s.ticket.Endpoint.Incarnation, BeganAt: s.firstEventAt}
}

// runPoisonSync keeps the poison requests in the store up to date until the context ends: all boxes may lose power
// at once, and with it what they know.
func (s *syncer) runPoisonSync(ctx context.Context) {
	clock.Sleep(ctx, hubSearchTime)
	for ctx.Err() == nil {
		if !s.syncPoison(ctx) {
			clock.Sleep(ctx, poisonRetryDelay)
		}
		clock.Sleep(ctx, poisonWriteInterval)
	}
}

// syncPoison reads the store's poison requests if that is due, and writes what this box found; it reports whether
// the store answered.
func (s *syncer) syncPoison(ctx context.Context) bool {
	now := clock.Now()
	isAnswered := true
	if s.mustReadPoison(now) {
		if isAnswered = s.restorePoison(ctx); isAnswered {
			s.nextQuarantineRead = now.Add(poisonReadInterval)
		}
	}
	s.router.poison.Expire(now)
	return s.writePoison(ctx) && isAnswered
}

// mustReadPoison reports whether this box has to read the poison requests from the store: once after its start, and
// then periodically while it misses a hall, which may have found requests that it cannot report here.
func (s *syncer) mustReadPoison(now time.Time) bool {
	isDue := s.nextQuarantineRead.IsZero() || !now.Before(s.nextQuarantineRead) && s.router.peers.hasUnreachableHall(now)
	return isDue && !s.hasReader(now) && !s.maySkipCalls(now)
}

// restorePoison reads the poison requests from the store, and reports whether it answered.
func (s *syncer) restorePoison(ctx context.Context) bool {
	records, err := s.control.PoisonRequests(ctx)
	if err != nil {
		slog.Info("read of poison requests failed", "error", err)
		return false
	}
	now := clock.Now()
	restored := make([]willowwick.PoisonRequest, len(records))
	for i, record := range records {
		restored[i] = record.WithCrashTimes(func(at time.Time) time.Time { return now.Add(-clock.SystemTime(now).Sub(at)) })
	}
	s.router.poison.Restore(restored, now)
	return true
}

// writePoison writes the requests that are due, and reports whether the store accepted them.
func (s *syncer) writePoison(ctx context.Context) bool {
	for _, request := range s.router.poison.PendingWrites() {
		era := s.currentEra()
		if err := s.control.SetPoisonRequest(ctx, request.WithCrashTimes(clock.SystemTime)); err != nil {
			slog.Info("write of a poison request failed", "fingerprint", request.Request.String(), "error", err)
			return false
		}
		if era == s.currentEra() {
			s.router.poison.MarkWritten(request)
		}
	}
	return true
}
