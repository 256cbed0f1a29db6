package serve

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

const (
	raterDownTime    = 2 * time.Second
	maxRaterFailures = 3
	maxSampled       = 64 // concurrent ratings that no request waits for
	sampleSettled    = 10 // of a settled version, one answer in this many is rated
	sampleRollingOut = 1
	sampleCompared   = 2 // of the versions that the new one is compared with
)

// raterHealth is a circuit breaker: it stops requests to the rater for raterDownTime after maxRaterFailures in a row.
type raterHealth struct {
	mu            sync.Mutex
	failures      int
	downUntil     time.Time
	samplingSlots chan struct{}
}

var errRaterDown = errors.New("the rater is considered down")

func newRaterHealth() *raterHealth {
	return &raterHealth{samplingSlots: make(chan struct{}, maxSampled)}
}

func (h *raterHealth) isUp(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.downUntil)
}

func (h *raterHealth) record(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.failures = 0
		return
	}
	h.failures++
	if h.failures >= maxRaterFailures {
		h.downUntil = now.Add(raterDownTime)
	}
}

// rate asks the rater for a score and waits for at most rateTimeout.
func (d *Daemon) rate(ctx context.Context, rating willowwick.RatingRequest) (willowwick.Score, error) {
	if !d.rater.isUp(clock.Now()) {
		return 0, errRaterDown
	}
	ctx, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	score, err := d.deps.Rater.Rate(ctx, rating)
	d.rater.record(clock.Now(), err)
	if err != nil {
		d.metrics.ratingFailures.Inc()
		return 0, err
	}
	d.metrics.ratings.Inc()
	return score, nil
}

// sampleEvery returns n if one in n answers of a version is rated.
func sampleEvery(r *config.Revision, version willowwick.VersionID) uint64 {
	declared, ok := r.Version(version)
	if !ok {
		return sampleSettled
	}
	active, ok := r.Rollout(declared.Model)
	switch {
	case !ok:
		return sampleSettled
	case active.To == version:
		return sampleRollingOut
	default:
		return sampleCompared
	}
}

// isSampled reports whether the rating of an answer counts as evidence on its version.
func (d *Daemon) isSampled(request willowwick.RequestID, version willowwick.VersionID) bool {
	every := sampleEvery(d.node.Follower.Revision(), version)
	return xxhash.Sum64String(string(request))%every == 0
}

// sampleRating rates a sample of the answers in the background, as evidence on
// their version; of a version that is rolling out it rates all.
func (d *Daemon) sampleRating(r *run, version willowwick.VersionID, text string) {
	if r.willBeRated || !d.isSampled(r.request.ID, version) || !d.rater.isUp(clock.Now()) {
		return
	}
	select {
	case d.rater.samplingSlots <- struct{}{}:
	default:
		return
	}
	rating := r.rating(version, strings.Clone(text))
	d.workers.Go(func() {
		defer func() { <-d.rater.samplingSlots }()
		score, err := d.rate(context.Background(), rating)
		if err == nil {
			r.recordRating(version, score >= r.passThreshold())
		}
	})
}
