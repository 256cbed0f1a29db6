package config

import (
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/policy"
)

// Kind names a kind of declared object.
type Kind string

// Kinds of declared objects.
const (
	KindClientAccount Kind = "ClientAccount"
	KindModel         Kind = "Model"
	KindVersion       Kind = "Version"
	KindCascade       Kind = "Cascade"
	KindPolicy        Kind = "Policy"
	KindRollout       Kind = "Rollout"
	KindLimit         Kind = "Limit"
	KindService       Kind = "Service"
)

// JudgeKind says who decides whether a cheap answer passes.
type JudgeKind string

// Kinds of judge.
const (
	// JudgeRater asks the rater while there is time, and falls back to what was learnt.
	JudgeRater JudgeKind = "rater"
	// JudgeLearned goes by the learnt pass rate alone.
	JudgeLearned JudgeKind = "learned"
)

type (
	// ClientAccount is a customer's account: who may call, and what.
	ClientAccount struct {
		Keys            []string               `json:"keys" yaml:"keys"`   // SHA-256 of each bearer key, in hex
		Allow           []string               `json:"allow" yaml:"allow"` // names of models and versions
		Services        []willowwick.ServiceID `json:"services,omitempty" yaml:"services"`
		Default         willowwick.CascadeID   `json:"default" yaml:"default"`
		Policy          willowwick.PolicyID    `json:"policy,omitempty" yaml:"policy"`
		Weight          int                    `json:"weight,omitempty" yaml:"weight"`
		DeadlineSeconds int                    `json:"deadlineSeconds,omitempty" yaml:"deadlineSeconds"`
	}

	// Model is a family of versions; Settled answers where no roll-out says otherwise.
	Model struct {
		Settled  willowwick.VersionID   `json:"settled" yaml:"settled"`
		Fallback []willowwick.VersionID `json:"fallback,omitempty" yaml:"fallback"`
	}

	// Version is one trained state of a model, as runners load it.
	Version struct {
		Model willowwick.ModelID `json:"model" yaml:"model"`
		Price willowwick.Price   `json:"price" yaml:"price"`
	}

	// Cascade is a row of models, cheap to strong.
	Cascade struct {
		Stages  []willowwick.ModelID `json:"stages" yaml:"stages"`
		Quality willowwick.Score     `json:"quality" yaml:"quality"` // share of answers that must pass
		Pass    willowwick.Score     `json:"pass" yaml:"pass"`       // rating from which an answer passes
		Judge   JudgeKind            `json:"judge" yaml:"judge"`
	}

	// Policy is a program that picks a cascade or a model for each request.
	Policy struct {
		policy.Spec `yaml:",inline"`

		program  *policy.Program
		problems []policy.Problem
	}

	// Rollout moves a model from one version to another by steps of evidence.
	Rollout struct {
		Model       willowwick.ModelID   `json:"model" yaml:"model"`
		From        willowwick.VersionID `json:"from" yaml:"from"`
		To          willowwick.VersionID `json:"to" yaml:"to"`
		Steps       []float64            `json:"steps" yaml:"steps"` // shares of sessions, in per cent
		MinRequests int                  `json:"minRequests" yaml:"minRequests"`
		MaxExposure int                  `json:"maxExposure,omitempty" yaml:"maxExposure"` // requests on one step before it is judged
	}

	// Limit bounds what the fleet as a whole takes from a client account.
	Limit struct {
		Account           willowwick.AccountID `json:"account" yaml:"account"`
		TokensPerSecond   float64              `json:"tokensPerSecond" yaml:"tokensPerSecond"`
		BurstSeconds      int                  `json:"burstSeconds,omitempty" yaml:"burstSeconds"`
		RequestsPerSecond float64              `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond"`
	}

	// Service is a plain service and what its calls may be repeated.
	Service struct {
		Operations []Operation `json:"operations" yaml:"operations"`
	}

	// Operation is a set of calls of a service; the first that matches counts.
	Operation struct {
		Method     string `json:"method" yaml:"method"` // or * for any
		Prefix     string `json:"prefix" yaml:"prefix"`
		Repeatable bool   `json:"repeatable" yaml:"repeatable"`
	}
)

const (
	defaultDeadline     = 2 * time.Minute
	defaultBurstSeconds = 2
	anyMethod           = "*"
)

// Deadline returns when an answer to a request that arrived then is no longer of use.
func (a *ClientAccount) Deadline(arrived time.Time) time.Time {
	if a.DeadlineSeconds > 0 {
		return arrived.Add(time.Duration(a.DeadlineSeconds) * time.Second)
	}
	return arrived.Add(defaultDeadline)
}

// FairWeight returns the account's share in fair queueing.
func (a *ClientAccount) FairWeight() int {
	return max(a.Weight, 1)
}

// Allows reports whether the account may use a version of a model.
func (a *ClientAccount) Allows(model willowwick.ModelID, version willowwick.VersionID) bool {
	for _, name := range a.Allow {
		if name == string(model) || name == string(version) {
			return true
		}
	}
	return false
}

// AllowsService reports whether the account may call a service.
func (a *ClientAccount) AllowsService(id willowwick.ServiceID) bool {
	for _, name := range a.Services {
		if name == id {
			return true
		}
	}
	return false
}

// Program returns the compiled policy.
func (p *Policy) Program() *policy.Program {
	return p.program
}

// Burst returns how many seconds of its rate an account may take at once.
func (l *Limit) Burst() float64 {
	if l.BurstSeconds > 0 {
		return float64(l.BurstSeconds)
	}
	return defaultBurstSeconds
}
