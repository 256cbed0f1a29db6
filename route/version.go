package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

const (
	shareScale      = 10_000
	percent         = 100
	staleRetryDelay = 2 * time.Second
)

type (
	// VersionQuery holds what decides which version of a model answers a request.
	VersionQuery struct {
		Account   willowwick.AccountID
		Model     willowwick.ModelID
		Seed      string                          // session or request ID, whichever keeps its version
		Pinned    willowwick.VersionID            // version of the session, if it has one
		Confirmed bool                            // the configuration is known to be current
		Stopped   func(willowwick.VersionID) bool // reports versions found bad on this box, which answer nobody
		HeldBack  func(willowwick.VersionID) bool // reports versions that take no new sessions
		Exclude   []willowwick.VersionID
		Now       time.Time
	}
)

// ChooseVersion returns the version that answers, or why there is none.
//
// A session keeps its version while the account may use it. New sessions are spread over a roll-out by the hash of
// their seed.
func ChooseVersion(r *config.Revision, q VersionQuery) (willowwick.VersionID, *willowwick.Refusal) {
	if q.Pinned != "" && q.mayKeep(r, q.Pinned) {
		if r.IsRollingOut(q.Pinned) && !q.Confirmed {
			return "", willowwick.NotRun(willowwick.CodeStaleConfiguration, q.Now.Add(staleRetryDelay),
				"this box cannot confirm its configuration, and the session is on a version that is rolling out")
		}
		return q.Pinned, nil
	}
	if rollout, ok := r.Rollout(q.Model); ok {
		held := q.HeldBack != nil && q.HeldBack(rollout.To)
		if q.Confirmed && !held && inRolloutShare(q.Seed, rollout) && q.mayUse(r, rollout.To) {
			return rollout.To, nil
		}
		if q.mayUse(r, rollout.From) {
			return rollout.From, nil
		}
	}
	if version, ok := r.Settled(q.Model); ok && q.mayUse(r, version) {
		return version, nil
	}
	return "", willowwick.NotRun(willowwick.CodeNoVersion, time.Time{},
		"no version of model %q may answer client account %q", q.Model, q.Account)
}

// mayKeep reports whether a session may stay on its version.
func (q VersionQuery) mayKeep(r *config.Revision, version willowwick.VersionID) bool {
	declared, ok := r.Version(version)
	return ok && declared.Model == q.Model && q.mayUse(r, version)
}

func (q VersionQuery) mayUse(r *config.Revision, version willowwick.VersionID) bool {
	if slices.Contains(q.Exclude, version) || !r.IsUsable(q.Account, version) {
		return false
	}
	return q.Stopped == nil || !q.Stopped(version)
}

func inRolloutShare(seed string, rollout config.ActiveRollout) bool {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(rollout.ID))
	_, _ = digest.WriteString(seed)
	return float64(digest.Sum64()%shareScale) < rollout.Share*shareScale/percent
}
