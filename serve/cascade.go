package serve

import (
	"context"
	"slices"
	"strings"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

// cascade tries the stages of the plan in order, from cheap to strong, until one gives an answer of sufficient quality.
func (r *run) cascade(ctx context.Context) (*Answer, *willowwick.Refusal) {
	var best *stageAnswer
	var refusal *willowwick.Refusal
	for i, model := range r.plan.Stages {
		version, refused := r.chooseVersion(ctx, model)
		if refused != nil {
			refusal = refused
			continue
		}
		verdict := route.TrustStage
		if i < len(r.plan.Stages)-1 {
			verdict = r.chooseVerdict(version, r.plan.Stages[i+1])
			r.trace.add("stage", "%s: %s", version, verdictNames[verdict])
		}
		switch verdict {
		case route.SkipStage:
			continue
		case route.TryStage:
			tried, passed := r.tryStage(ctx, version)
			if passed {
				r.quality, r.rated = 1, true
				return r.answerOf(tried), nil
			}
			if tried != nil {
				best = tried
			}
		case route.TrustStage:
			answer, refused := r.streamNewest(ctx, model, version)
			if refused == nil {
				return answer, nil
			}
			refusal = refused
		}
	}
	if best != nil {
		r.trace.add("answer", "of %s, which did not pass; no stronger model answered", best.version)
		return r.answerOf(best), nil
	}
	return nil, r.correctRefusal(refusal)
}

// correctRefusal changes the kind of a refusal from KindNotRun to KindFailed if an earlier stage has run.
func (r *run) correctRefusal(refusal *willowwick.Refusal) *willowwick.Refusal {
	if !r.sent || refusal.Kind != willowwick.KindNotRun {
		return refusal
	}
	corrected := *refusal
	corrected.Kind = willowwick.KindFailed
	return &corrected
}

var verdictNames = map[route.Verdict]string{
	route.SkipStage:  "skipped",
	route.TryStage:   "tried and evaluated",
	route.TrustStage: "trusted",
}

// chooseVersion picks the version of a model and pins the request's session to it.
func (r *run) chooseVersion(ctx context.Context, model willowwick.ModelID) (willowwick.VersionID, *willowwick.Refusal) {
	now := clock.Now()
	query := route.VersionQuery{
		Account: r.request.Account, Model: model, Seed: string(r.request.ID), Pinned: r.token.Versions[model],
		Confirmed: r.daemon.node.IsConfigCurrent(now), Exclude: r.plan.Exclude, Now: now,
		Stopped: r.daemon.versionWatcher.isBad, HeldBack: r.daemon.versionWatcher.isStopped,
	}
	// This is the newest configuration, not the one from before the request waited.
	revision := r.daemon.node.Follower.Revision()
	if r.request.Session == "" {
		version, refusal := route.ChooseVersion(revision, query)
		if refusal == nil {
			r.trace.add("version", "%s for model %s", version, model)
		}
		return version, refusal
	}
	query.Seed = string(r.request.Session)
	key := pinKey(r.request.Account, model, r.request.Session)
	if query.Pinned == "" {
		query.Pinned = r.daemon.sessions.cached(key, now)
	}
	version, refusal := route.ChooseVersion(revision, query)
	if refusal != nil || version == query.Pinned {
		return version, refusal
	}
	pinned := r.daemon.sessions.pin(ctx, key, version, false)
	if pinned != version {
		query.Pinned = pinned
		if version, refusal = route.ChooseVersion(revision, query); refusal != nil {
			return "", refusal
		}
		if version != pinned {
			r.daemon.sessions.pin(ctx, key, version, true)
		}
	}
	r.trace.add("version", "%s for model %s, pinned for session %s", version, model, r.request.Session)
	return version, nil
}

// chooseVerdict decides whether to skip, try or trust a cheaper stage.
func (r *run) chooseVerdict(version willowwick.VersionID, next willowwick.ModelID) route.Verdict {
	strong, ok := r.revision.Settled(next)
	if !ok {
		return route.TryStage
	}
	judged := r.plan.Judge == config.JudgeRater && r.daemon.rater.isUp(clock.Now())
	return r.daemon.learner.Choose(route.StageChoice{
		Subject:       r.subject(version),
		StrongSubject: r.subject(strong),
		Cheap:         r.expectedCost(version),
		Strong:        r.expectedCost(strong),
		HasJudge:      judged,
		Quality:       r.plan.Quality,
		Now:           clock.Now(),
		Deadline:      r.request.Deadline,
		CanExplore:    true,
	})
}

func (r *run) subject(version willowwick.VersionID) route.Subject {
	return route.Subject{Account: r.request.Account, Class: r.request.Class, Version: version}
}

func (r *run) expectedCost(version willowwick.VersionID) willowwick.MicroUnits {
	declared, ok := r.revision.Version(version)
	if !ok {
		return 0
	}
	return declared.Price.Cost(r.request.PromptTokens, r.request.MaxTokens)
}

// tryStage reads the whole answer of a cheaper version and reports whether it is good enough.
func (r *run) tryStage(ctx context.Context, version willowwick.VersionID) (tried *stageAnswer, passed bool) {
	r.willBeRated = true
	defer func() { r.willBeRated = false }()
	call, refusal := r.open(ctx, version)
	if refusal != nil {
		r.trace.add("stage", "%s gave no answer: %s", version, refusal.Error())
		return nil, false
	}
	defer call.close()
	tried = &stageAnswer{version: version}
	for {
		chunk, refusal := call.next()
		if refusal != nil {
			r.trace.add("stage", "%s was cut off: %s", version, refusal.Error())
			return nil, false
		}
		tried.chunks = append(tried.chunks, chunk)
		if chunk.Finish != "" {
			break
		}
	}
	return tried, r.passes(ctx, version, tried.text())
}

// passes reports whether an answer is good enough by its rating, or by the learned pass rate if the rater fails.
func (r *run) passes(ctx context.Context, version willowwick.VersionID, text string) bool {
	score, err := r.daemon.rate(ctx, r.rating(version, text))
	if err == nil {
		passed := score >= r.passThreshold()
		r.recordRating(version, passed)
		r.trace.add("judge", "%s rated %.2f, passed: %t", version, float64(score), passed)
		return passed
	}
	_, lower := r.daemon.learner.PassRate(r.subject(version))
	r.trace.add("judge", "no rating (%v); %s passes in at least %.2f of cases", err, version, lower)
	return lower >= float64(r.plan.Quality)
}

func (r *run) rating(version willowwick.VersionID, text string) willowwick.RatingRequest {
	return willowwick.RatingRequest{
		Request: r.request.ID, Account: r.request.Account, Class: r.request.Class,
		Version: version, Prompt: r.prompt, Answer: text,
	}
}

func (r *run) passThreshold() willowwick.Score {
	if r.plan.Pass > 0 {
		return r.plan.Pass
	}
	return defaultPassThreshold
}

// recordRating records a rating: the learner uses all of them, the evidence on
// versions only a sample that doesn't depend on why the answer was rated.
func (r *run) recordRating(version willowwick.VersionID, passed bool) {
	r.daemon.learner.Rated(r.subject(version), passed)
	if !r.daemon.isSampled(r.request.ID, version) {
		return
	}
	seen := rollout.Evidence{Rated: 1}
	if !passed {
		seen.Low = 1
	}
	r.daemon.versionWatcher.add(version, seen)
}

// streamNewest opens the answer of a version or, if it was withdrawn while the request waited or no runner has it, of its
// successor. A session leaves its version only if that was withdrawn.
func (r *run) streamNewest(ctx context.Context, model willowwick.ModelID, version willowwick.VersionID) (*Answer, *willowwick.Refusal) {
	answer, refusal := r.stream(ctx, version)
	if refusal == nil || r.sent || refusal.Code != willowwick.CodeNoVersion {
		return answer, refusal
	}
	isLacking := r.daemon.node.Follower.Revision().IsUsable(r.request.Account, version)
	hasSession := r.request.Session != "" || r.token.Versions[model] != ""
	if isLacking && hasSession {
		return nil, refusal
	}
	if isLacking {
		r.plan.Exclude = append(slices.Clone(r.plan.Exclude), version)
	}
	successor, none := r.chooseVersion(ctx, model)
	switch {
	case none == nil:
		return r.stream(ctx, successor)
	case isLacking:
		return nil, refusal
	default:
		return nil, none
	}
}

func (c *stageAnswer) text() string {
	var text strings.Builder
	for _, chunk := range c.chunks {
		text.WriteString(chunk.Text)
	}
	return text.String()
}
