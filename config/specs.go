package config

import (
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/policy"
)

// Kind is the kind of a declared object.
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

// JudgeKind says how a cascade decides whether the answer of a stage passes.
type JudgeKind string

// Kinds of judge.
const (
	// JudgeRater asks the rater while there is time, and otherwise uses the learned pass rate.
	JudgeRater JudgeKind = "rater"
	// JudgeLearned uses the learned pass rate only.
	JudgeLearned JudgeKind = "learned"
)

type (
	// ClientAccount declares the keys of a customer and the models, versions and services that it may use.
	ClientAccount struct {
		Keys            []string               `json:"keys" yaml:"keys"`   // SHA-256 of each bearer key, in hex
		Allow           []string               `json:"allow" yaml:"allow"` // names of models and versions
		Services        []willowwick.ServiceID `json:"services,omitempty" yaml:"services"`
		Default         willowwick.CascadeID   `json:"default" yaml:"default"`
		Policy          willowwick.PolicyID    `json:"policy,omitempty" yaml:"policy"`
		Weight          int                    `json:"weight,omitempty" yaml:"weight"`
		DeadlineSeconds int                    `json:"deadlineSeconds,omitempty" yaml:"deadlineSeconds"`
	}

	// Model is a family of versions; Settled serves it unless a roll-out changes that.
	Model struct {
		Settled  willowwick.VersionID   `json:"settled" yaml:"settled"`
		Fallback []willowwick.VersionID `json:"fallback,omitempty" yaml:"fallback"`
	}

	// Version is one set of trained weights of a model, as runners load it.
	Version struct {
		Model willowwick.ModelID `json:"model" yaml:"model"`
		Price willowwick.Price   `json:"price" yaml:"price"`
	}

	// Cascade is a sequence of models, from cheap to strong: a request moves on to the next if an answer doesn't pass.
	Cascade struct {
		Stages  []willowwick.ModelID `json:"stages" yaml:"stages"`
		Quality willowwick.Score     `json:"quality" yaml:"quality"` // required share of answers that pass
		Pass    willowwick.Score     `json:"pass" yaml:"pass"`       // lowest rating of an answer that passes
		Judge   JudgeKind            `json:"judge" yaml:"judge"`
	}

	// Policy is a program that picks a cascade or a model for each request.
	Policy struct {
		policy.Spec `yaml:",inline"`

		program  *policy.Program
		problems []policy.Problem
	}

	// Rollout moves a model from one version to another in steps; evidence of each step decides on the next.
	Rollout struct {
		Model       willowwick.ModelID   `json:"model" yaml:"model"`
		From        willowwick.VersionID `json:"from" yaml:"from"`
		To          willowwick.VersionID `json:"to" yaml:"to"`
		Steps       []float64            `json:"steps" yaml:"steps"` // shares of sessions, in per cent
		MinRequests int                  `json:"minRequests" yaml:"minRequests"`
		MaxExposure int                  `json:"maxExposure,omitempty" yaml:"maxExposure"` // requests on a step without a verdict before it pauses
	}

	// Limit is a rate limit of a client account over the whole fleet.
	Limit struct {
		Account           willowwick.AccountID `json:"account" yaml:"account"`
		TokensPerSecond   float64              `json:"tokensPerSecond" yaml:"tokensPerSecond"`
		BurstSeconds      int                  `json:"burstSeconds,omitempty" yaml:"burstSeconds"`
		RequestsPerSecond float64              `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond"`
	}

	// Service is a plain service; its operations say which calls may be retried.
	Service struct {
		Operations []Operation `json:"operations" yaml:"operations"`
	}

	// Operation matches calls by method and path prefix; the first match of a service applies.
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

// Deadline returns the deadline of a request that arrived at the given time.
func (a *ClientAccount) Deadline(arrived time.Time) time.Time {
	if a.DeadlineSeconds > 0 {
		return arrived.Add(time.Duration(a.DeadlineSeconds) * time.Second)
	}
	return arrived.Add(defaultDeadline)
}

// FairWeight returns the weight of the account in fair queueing, at least 1.
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

// AllowsService reports whether the account may call a plain service.
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

// Burst returns the burst size of the limit in seconds of its rate.
func (l *Limit) Burst() float64 {
	if l.BurstSeconds > 0 {
		return float64(l.BurstSeconds)
	}
	return defaultBurstSeconds
}
