package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/willowwick/willowwick"
)

const (
	keyHashBytes     = 32
	fullSharePercent = 100
	reservedName     = willowwick.TargetAuto
)

// checkAll validates a whole set of objects and returns the problems in a deterministic order.
//
// The fold stores the first problem as the reason of a rejection, so its text must be the same on all boxes.
func checkAll(set objectSet) []Problem {
	var problems []Problem
	for _, key := range sortedKeys(set) {
		object := set[key]
		object.decoded.check(set, func(path, format string, args ...any) {
			problems = append(problems, Problem{Key: key, Path: path, Message: fmt.Sprintf(format, args...)})
		})
	}
	return append(problems, checkUniqueness(set)...)
}

func sortedKeys(set objectSet) []Key {
	keys := make([]Key, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Kind != keys[j].Kind {
			return keys[i].Kind < keys[j].Kind
		}
		return keys[i].Name < keys[j].Name
	})
	return keys
}

// checkUniqueness reports keys and roll-outs that two objects have in common, and reserved names.
func checkUniqueness(set objectSet) []Problem {
	var problems []Problem
	ownerByKeyHash := map[string]Key{}
	rolloutByModel := map[willowwick.ModelID]Key{}
	for _, key := range sortedKeys(set) {
		switch typed := set[key].decoded.(type) {
		case *ClientAccount:
			for i, hash := range typed.Keys {
				if owner, taken := ownerByKeyHash[hash]; taken {
					problems = append(problems, Problem{key, fmt.Sprintf("spec.keys[%d]", i), "the same key belongs to " + owner.String()})
				}
				ownerByKeyHash[hash] = key
			}
		case *Rollout:
			if other, taken := rolloutByModel[typed.Model]; taken {
				problems = append(problems, Problem{key, "spec.model", "is already being rolled out by " + other.String() + "; delete that declaration first"})
			}
			rolloutByModel[typed.Model] = key
		case *Model, *Cascade:
			if key.Name == reservedName {
				problems = append(problems, Problem{key, "name", "auto is reserved for callers"})
			}
		}
	}
	return problems
}

func lookup[T any](set objectSet, kind Kind, name string) (*T, bool) {
	found, ok := any(set[Key{kind, name}].decoded).(*T)
	return found, ok
}

func checkExists(set objectSet, report reportFunc, path string, kind Kind, name string) bool {
	if _, ok := set[Key{kind, name}]; ok {
		return true
	}
	report(path, "no %s is called %q%s", kind, name, suggestion(set, kind, name))
	return false
}

// suggestion returns a similar declared name or, if there is none, all declared names of the kind.
func suggestion(set objectSet, kind Kind, name string) string {
	var names []string
	for key := range set {
		if key.Kind == kind {
			names = append(names, key.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	sort.Strings(names)
	for _, candidate := range names {
		if strings.HasPrefix(candidate, name) || strings.HasPrefix(name, candidate) || strings.EqualFold(candidate, name) {
			return fmt.Sprintf("; did you mean %q?", candidate)
		}
	}
	return "; there are " + strings.Join(names, ", ")
}

func (a *ClientAccount) check(set objectSet, report reportFunc) {
	if len(a.Keys) == 0 {
		report("spec.keys", "needs at least one key hash; make one with 'willowctl key'")
	}
	for i, hash := range a.Keys {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != keyHashBytes {
			report(fmt.Sprintf("spec.keys[%d]", i), "must be the SHA-256 of a key in 64 hex digits, never the key itself; make one with 'willowctl key'")
		}
	}
	for i, name := range a.Allow {
		_, isModel := set[Key{KindModel, name}]
		_, isVersion := set[Key{KindVersion, name}]
		if !isModel && !isVersion {
			report(fmt.Sprintf("spec.allow[%d]", i), "no Model or Version is called %q%s", name, suggestion(set, KindModel, name))
		}
	}
	for i, id := range a.Services {
		checkExists(set, report, fmt.Sprintf("spec.services[%d]", i), KindService, string(id))
	}
	if len(a.Allow) > 0 || a.Default != "" {
		checkExists(set, report, "spec.default", KindCascade, string(a.Default))
	}
	if a.Policy != "" {
		checkExists(set, report, "spec.policy", KindPolicy, string(a.Policy))
	}
	if a.Weight < 0 {
		report("spec.weight", "must be 1 or more, is %d", a.Weight)
	}
	if a.DeadlineSeconds < 0 {
		report("spec.deadlineSeconds", "must be 1 or more, is %d", a.DeadlineSeconds)
	}
}

func (m *Model) check(set objectSet, report reportFunc) {
	if checkExists(set, report, "spec.settled", KindVersion, string(m.Settled)) {
		m.checkVersionBelongs(set, report, "spec.settled", m.Settled)
	}
	for i, id := range m.Fallback {
		path := fmt.Sprintf("spec.fallback[%d]", i)
		if checkExists(set, report, path, KindVersion, string(id)) {
			m.checkVersionBelongs(set, report, path, id)
		}
	}
}

func (m *Model) checkVersionBelongs(set objectSet, report reportFunc, path string, id willowwick.VersionID) {
	version, ok := lookup[Version](set, KindVersion, string(id))
	if !ok {
		return
	}
	if owner, ok := lookup[Model](set, KindModel, string(version.Model)); !ok || owner != m {
		report(path, "version %q belongs to model %q", id, version.Model)
	}
}

func (v *Version) check(set objectSet, report reportFunc) {
	checkExists(set, report, "spec.model", KindModel, string(v.Model))
	if v.Price.Prompt < 0 || v.Price.Output < 0 {
		report("spec.price", "must not be negative")
	}
}

func (c *Cascade) check(set objectSet, report reportFunc) {
	if len(c.Stages) == 0 {
		report("spec.stages", "needs at least one model")
	}
	for i, id := range c.Stages {
		path := fmt.Sprintf("spec.stages[%d]", i)
		checkExists(set, report, path, KindModel, string(id))
		if slices.Index(c.Stages, id) != i {
			report(path, "model %q stands twice", id)
		}
	}
	if c.Quality < 0 || c.Quality >= 1 {
		report("spec.quality", "must be from 0 to below 1, is %g", float64(c.Quality))
	}
	if c.Pass < 0 || c.Pass > 1 {
		report("spec.pass", "must be from 0 to 1, is %g", float64(c.Pass))
	}
	if c.Judge != JudgeRater && c.Judge != JudgeLearned {
		report("spec.judge", "must be %s or %s, is %q", JudgeRater, JudgeLearned, c.Judge)
	}
}

func (p *Policy) check(set objectSet, report reportFunc) {
	for _, problem := range p.problems {
		report("spec."+problem.Path, "%s", problem.Message)
	}
	for i, rule := range p.Rules {
		path := fmt.Sprintf("spec.rules[%d].then", i)
		if rule.Then.Cascade != "" {
			checkExists(set, report, path+".cascade", KindCascade, string(rule.Then.Cascade))
		}
		if rule.Then.Model != "" {
			checkExists(set, report, path+".model", KindModel, string(rule.Then.Model))
		}
		for j, id := range rule.Then.Exclude {
			checkExists(set, report, fmt.Sprintf("%s.exclude[%d]", path, j), KindVersion, string(id))
		}
	}
}

func (r *Rollout) check(set objectSet, report reportFunc) {
	checkExists(set, report, "spec.model", KindModel, string(r.Model))
	r.checkVersion(set, report, "spec.from", r.From)
	r.checkVersion(set, report, "spec.to", r.To)
	if r.From == r.To {
		report("spec.to", "must differ from spec.from")
	}
	if len(r.Steps) == 0 || r.Steps[len(r.Steps)-1] != fullSharePercent {
		report("spec.steps", "must end with 100")
	}
	for i, share := range r.Steps {
		if share <= 0 || share > fullSharePercent || (i > 0 && share <= r.Steps[i-1]) {
			report(fmt.Sprintf("spec.steps[%d]", i), "shares must rise from above 0 to 100, is %g", share)
		}
	}
	if r.MinRequests < 1 {
		report("spec.minRequests", "must be 1 or more, is %d", r.MinRequests)
	}
	if r.MaxExposure != 0 && r.MaxExposure < r.MinRequests {
		report("spec.maxExposure", "must be at least spec.minRequests (%d), is %d", r.MinRequests, r.MaxExposure)
	}
}

func (r *Rollout) checkVersion(set objectSet, report reportFunc, path string, id willowwick.VersionID) {
	version, ok := lookup[Version](set, KindVersion, string(id))
	if !ok {
		checkExists(set, report, path, KindVersion, string(id))
		return
	}
	if version.Model != r.Model {
		report(path, "version %q belongs to model %q", id, version.Model)
	}
}

func (l *Limit) check(set objectSet, report reportFunc) {
	checkExists(set, report, "spec.account", KindClientAccount, string(l.Account))
	if l.TokensPerSecond <= 0 && l.RequestsPerSecond <= 0 {
		report("spec.tokensPerSecond", "set tokensPerSecond or requestsPerSecond above 0")
	}
	if l.TokensPerSecond < 0 || l.RequestsPerSecond < 0 || l.BurstSeconds < 0 {
		report("spec", "rates and bursts must not be negative")
	}
}

func (s *Service) check(_ objectSet, report reportFunc) {
	if len(s.Operations) == 0 {
		report("spec.operations", "needs at least one operation; a call that matches none is taken as not repeatable")
	}
	for i, operation := range s.Operations {
		if operation.Method == "" {
			report(fmt.Sprintf("spec.operations[%d].method", i), "must be an HTTP method or *")
		}
		if !strings.HasPrefix(operation.Prefix, "/") {
			report(fmt.Sprintf("spec.operations[%d].prefix", i), "must start with /, is %q", operation.Prefix)
		}
	}
}
