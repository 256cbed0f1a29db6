package serve

import (
	"context"
	"strings"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/rollout"
	"github.com/willowwick/willowwick/route"
)

// cascade asks the stages in turn, cheap to strong.
func (r *run) cascade(ctx context.Context) (*Answer, *willowwick.Refusal) {
	var best *candidate
	var refusal *willowwick.Refusal
	for i, model := range r.plan.Stages {
		version, refused := r.chooseVersion(ctx, model)
		if refused != nil {
			refusal = refused
			continue
		}
		verdict := route.TrustStage
		if i < len(r.plan.Stages)-1 {
			verdict = r.weigh(version, r.plan.Stages[i+1])
			r.trace.add("stage", "%s: %s", version, verdictNames[verdict])
		}
		switch verdict {
		case route.SkipStage:
			continue
		case route.TryStage:
			tried, passed := r.try(ctx, version)
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
	return nil, r.honest(refusal)
}

// honest corrects a refusal that says not run when an earlier stage was asked.
func (r *run) honest(refusal *willowwick.Refusal) *willowwick.Refusal {
	if !r.sent || refusal.Kind != willowwick.KindNotRun {
		return refusal
	}
	corrected := *refusal
	corrected.Kind = willowwick.KindFailed
	return &corrected
}

var verdictNames = map[route.Verdict]string{
	route.SkipStage:  "skipped",
	route.TryStage:   "tried and judged",
	route.TrustStage: "trusted",
}

// chooseVersion picks the version of a model and keeps the session on it.
func (r *run) chooseVersion(ctx context.Context, model willowwick.ModelID) (willowwick.VersionID, *willowwick.Refusal) {
	now := clock.Now()
	query := route.VersionQuery{
		Account: r.request.Account, Model: model, Seed: string(r.request.ID), Pinned: r.token.Versions[model],
		Confirmed: r.daemon.node.IsConfigCurrent(now), Exclude: r.plan.Exclude, Now: now,
		Stopped: r.daemon.watch.isBad, Held: r.daemon.watch.isStopped,
	}
	// The newest configuration counts, also for a request that has waited.
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
	kept := r.daemon.sessions.pin(ctx, key, version, false)
	if kept != version {
		query.Pinned = kept
		if version, refusal = route.ChooseVersion(revision, query); refusal != nil {
			return "", refusal
		}
		if version != kept {
			r.daemon.sessions.pin(ctx, key, version, true)
		}
	}
	r.trace.add("version", "%s for model %s, kept for session %s", version, model, r.request.Session)
	return version, nil
}

// weigh decides whether a cheap stage is worth it.
func (r *run) weigh(version willowwick.VersionID, next willowwick.ModelID) route.Verdict {
	strong, ok := r.revision.Settled(next)
	if !ok {
		return route.TryStage
	}
	judged := r.plan.Judge == config.JudgeRater && r.daemon.rater.isUp(clock.Now())
	return r.daemon.learner.Choose(route.StageChoice{
		Subject:    r.subject(version),
		StrongOf:   r.subject(strong),
		Cheap:      r.expectedCost(version),
		Strong:     r.expectedCost(strong),
		Judged:     judged,
		Quality:    r.plan.Quality,
		Now:        clock.Now(),
		Deadline:   r.request.Deadline,
		CanExplore: true,
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

// try collects the answer of a cheap version and has it judged.
func (r *run) try(ctx context.Context, version willowwick.VersionID) (tried *candidate, passed bool) {
	r.judging = true
	defer func() { r.judging = false }()
	call, refusal := r.open(ctx, version)
	if refusal != nil {
		r.trace.add("stage", "%s gave no answer: %s", version, refusal.Error())
		return nil, false
	}
	defer call.close()
	tried = &candidate{version: version}
	for {
		chunk, refusal := call.next()
		if refusal != nil {
			r.trace.add("stage", "%s broke off: %s", version, refusal.Error())
			return nil, false
		}
		tried.chunks = append(tried.chunks, chunk)
		if chunk.Finish != "" {
			break
		}
	}
	return tried, r.judge(ctx, version, tried.text())
}

// judge has an answer rated; without a rating the learnt pass rate decides.
func (r *run) judge(ctx context.Context, version willowwick.VersionID, text string) bool {
	score, err := r.daemon.rate(ctx, r.rating(version, text))
	if err == nil {
		passed := score >= r.passMark()
		r.learn(version, passed)
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

func (r *run) passMark() willowwick.Score {
	if r.plan.Pass > 0 {
		return r.plan.Pass
	}
	return defaultPass
}

// learn takes a rating: the learner wants all, the evidence on versions only a
// sample that does not depend on why the answer was rated.
func (r *run) learn(version willowwick.VersionID, passed bool) {
	r.daemon.learner.Rated(r.subject(version), passed)
	if !r.daemon.isSampled(r.request.ID, version) {
		return
	}
	seen := rollout.Evidence{Rated: 1}
	if !passed {
		seen.Low = 1
	}
	r.daemon.watch.add(version, seen)
}

// streamNewest opens the answer of a version or, if that was withdrawn while the request waited, of the one after it.
func (r *run) streamNewest(ctx context.Context, model willowwick.ModelID, version willowwick.VersionID) (*Answer, *willowwick.Refusal) {
	answer, refusal := r.stream(ctx, version)
	if refusal == nil || r.sent || refusal.Code != willowwick.CodeNoVersion {
		return answer, refusal
	}
	version, refusal = r.chooseVersion(ctx, model)
	if refusal != nil {
		return nil, refusal
	}
	return r.stream(ctx, version)
}

func (c *candidate) text() string {
	var text strings.Builder
	for _, chunk := range c.chunks {
		text.WriteString(chunk.Text)
	}
	return text.String()
}
