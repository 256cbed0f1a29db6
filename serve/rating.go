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
	maxSampled       = 64 // ratings under way that nobody waits for
	sampleSettled    = 10 // one answer in so many is rated when its version is settled
	sampleRollingOut = 1
	sampleCompared   = 2 // of the versions that one rolling out is compared with
)

// raterHealth stops asking a rater that fails, for a while.
type raterHealth struct {
	mu            sync.Mutex
	failures      int
	downUntil     time.Time
	samplingSlots chan struct{}
}

var errRaterDown = errors.New("the rater is taken to be down")

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

// rate asks the rater, for at most rateWait.
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

// sampleEvery returns of how many answers of a version one is rated.
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

// sampleRating has some answers rated that nobody waits for, as evidence on
// their version; all of those of a version that is rolling out.
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
