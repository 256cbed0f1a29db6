package route

import (
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/policy"
)

type (
	// Plan is the sequence of models that may answer a request, from cheap to strong.
	Plan struct {
		Cascade willowwick.CascadeID
		Stages  []willowwick.ModelID
		Quality willowwick.Score // share of answers that must pass
		Pass    willowwick.Score // rating from which an answer passes
		Judge   config.JudgeKind
		Exclude []willowwick.VersionID // versions that the policy rules out
		Rule    string                 // rule of the policy that decided
		Failure error                  // of the policy; the account's default cascade is used then
	}
)

// MakePlan runs the account's policy and returns what may answer the request.
//
// A policy can only restrict: models that the account may not use are left out.
func MakePlan(r *config.Revision, request *willowwick.Request, now time.Time) (Plan, *willowwick.Refusal) {
	account, ok := r.Account(request.Account)
	if !ok {
		return Plan{}, willowwick.Invalid(willowwick.CodeBadKey, "Authorization", "client account %q is not declared", request.Account)
	}
	plan := Plan{}
	decision, err := evaluatePolicy(r, account, request, now)
	plan.Failure, plan.Rule, plan.Exclude = err, decision.Rule, decision.Exclude
	if decision.Deny != "" {
		return plan, &willowwick.Refusal{Kind: willowwick.KindNotRun, Code: willowwick.CodeDeniedByPolicy, Message: decision.Deny}
	}
	if refusal := plan.setStages(r, account, request, decision); refusal != nil {
		return plan, refusal
	}
	plan.Stages = allowedStages(r, account, plan.Stages)
	if len(plan.Stages) == 0 {
		return plan, willowwick.Invalid(willowwick.CodeNotAllowed, "model",
			"client account %q is not allowed to use %q; GET /v1/models lists what it may use", request.Account, request.Target)
	}
	return plan, nil
}

func evaluatePolicy(r *config.Revision, account *config.ClientAccount, request *willowwick.Request, now time.Time) (policy.Decision, error) {
	declared, ok := r.Policy(account.Policy)
	if !ok {
		return policy.Decision{}, nil
	}
	return declared.Program().Evaluate(policy.Input{
		Account:      request.Account,
		Class:        request.Class,
		Target:       request.Target,
		PromptTokens: request.PromptTokens,
		MaxTokens:    request.MaxTokens,
		Stream:       request.Stream,
		Session:      request.Session != "" || request.Pinned != "",
		SecondsLeft:  request.Deadline.Sub(now).Seconds(),
	})
}

// setStages sets the plan's stages: the policy's choice of a model or cascade comes first, then the caller's; a
// request for auto uses the account's default.
func (p *Plan) setStages(r *config.Revision, account *config.ClientAccount, request *willowwick.Request, decision policy.Decision) *willowwick.Refusal {
	switch {
	case decision.Model != "":
		p.Stages = []willowwick.ModelID{decision.Model}
		return nil
	case decision.Cascade != "":
		p.useCascade(r, decision.Cascade)
		return nil
	case request.Target == willowwick.TargetAuto:
		p.useCascade(r, account.Default)
		return nil
	}
	if _, ok := r.Model(willowwick.ModelID(request.Target)); ok {
		p.Stages = []willowwick.ModelID{willowwick.ModelID(request.Target)}
		return nil
	}
	if _, ok := r.Cascade(willowwick.CascadeID(request.Target)); ok {
		p.useCascade(r, willowwick.CascadeID(request.Target))
		return nil
	}
	return willowwick.Invalid(willowwick.CodeUnknownModel, "model",
		"%q is neither a model nor a cascade; GET /v1/models lists what there is", request.Target)
}

func (p *Plan) useCascade(r *config.Revision, id willowwick.CascadeID) {
	cascade, ok := r.Cascade(id)
	if !ok {
		return
	}
	p.Cascade, p.Stages = id, cascade.Stages
	p.Quality, p.Pass, p.Judge = cascade.Quality, cascade.Pass, cascade.Judge
}

func allowedStages(r *config.Revision, account *config.ClientAccount, stages []willowwick.ModelID) []willowwick.ModelID {
	var allowed []willowwick.ModelID
	for _, model := range stages {
		version, ok := r.Settled(model)
		if ok && account.Allows(model, version) {
			allowed = append(allowed, model)
		}
	}
	return allowed
}
