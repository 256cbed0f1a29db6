package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/willowwick/willowwick"
)

type (
	// Revision is an immutable state with indexes for handling requests.
	Revision struct {
		*State
		accountByKeyHash map[string]willowwick.AccountID
		limitByAccount   map[willowwick.AccountID]Limit
		rolloutByModel   map[willowwick.ModelID]ActiveRollout
		finishedVersions map[willowwick.ModelID][]willowwick.VersionID // newest first
	}

	// ActiveRollout is a roll-out in progress and its current share of sessions.
	ActiveRollout struct {
		ID willowwick.RolloutID
		Rollout
		Progress Progress
		Share    float64 // per cent
	}
)

// HashKey returns the SHA-256 of a bearer key in hex, as it is declared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewRevision returns a state with its indexes.
func NewRevision(s *State) *Revision {
	r := &Revision{
		State:            s,
		accountByKeyHash: map[string]willowwick.AccountID{},
		limitByAccount:   map[willowwick.AccountID]Limit{},
		rolloutByModel:   map[willowwick.ModelID]ActiveRollout{},
		finishedVersions: map[willowwick.ModelID][]willowwick.VersionID{},
	}
	finishedAt := map[willowwick.VersionID]willowwick.Offset{}
	for key, object := range s.Objects {
		switch typed := object.decoded.(type) {
		case *ClientAccount:
			for _, hash := range typed.Keys {
				r.accountByKeyHash[hash] = willowwick.AccountID(key.Name)
			}
		case *Limit:
			r.limitByAccount[typed.Account] = *typed
		case *Rollout:
			r.indexRollout(willowwick.RolloutID(key.Name), typed, object.Modified, finishedAt)
		}
	}
	for _, versions := range r.finishedVersions {
		sort.Slice(versions, func(i, j int) bool {
			return finishedAt[versions[i]] > finishedAt[versions[j]]
		})
	}
	return r
}

func (r *Revision) indexRollout(id willowwick.RolloutID, rollout *Rollout, declared willowwick.Offset, finishedAt map[willowwick.VersionID]willowwick.Offset) {
	progress := r.Progress[id]
	if progress.Declared != declared {
		progress = Progress{Declared: declared}
	}
	if progress.Done {
		model, ok := r.Model(rollout.Model)
		if ok && r.Objects[Key{KindModel, string(rollout.Model)}].Modified < progress.At && model.Settled != rollout.To {
			finishedAt[rollout.To] = progress.At
			r.finishedVersions[rollout.Model] = append(r.finishedVersions[rollout.Model], rollout.To)
		}
		return
	}
	if _, withdrawn := r.Withdrawn[rollout.To]; withdrawn {
		return
	}
	r.rolloutByModel[rollout.Model] = ActiveRollout{ID: id, Rollout: *rollout, Progress: progress, Share: rollout.Steps[progress.Step]}
}

// Authenticate returns the client account of a bearer key, and false if no account has the key.
func (r *Revision) Authenticate(key string) (willowwick.AccountID, *ClientAccount, bool) {
	id, ok := r.accountByKeyHash[HashKey(key)]
	if !ok {
		return "", nil, false
	}
	account, ok := r.Account(id)
	return id, account, ok
}

// Account returns a client account, and false if it is not declared.
func (r *Revision) Account(id willowwick.AccountID) (*ClientAccount, bool) {
	return lookup[ClientAccount](r.Objects, KindClientAccount, string(id))
}

// Model returns a model, and false if it is not declared.
func (r *Revision) Model(id willowwick.ModelID) (*Model, bool) {
	return lookup[Model](r.Objects, KindModel, string(id))
}

// Version returns a version, and false if it is not declared.
func (r *Revision) Version(id willowwick.VersionID) (*Version, bool) {
	return lookup[Version](r.Objects, KindVersion, string(id))
}

// Cascade returns a cascade, and false if it is not declared.
func (r *Revision) Cascade(id willowwick.CascadeID) (*Cascade, bool) {
	return lookup[Cascade](r.Objects, KindCascade, string(id))
}

// Policy returns a policy, and false if it is not declared.
func (r *Revision) Policy(id willowwick.PolicyID) (*Policy, bool) {
	return lookup[Policy](r.Objects, KindPolicy, string(id))
}

// Service returns a plain service, and false if it is not declared.
func (r *Revision) Service(id willowwick.ServiceID) (*Service, bool) {
	return lookup[Service](r.Objects, KindService, string(id))
}

// Versions returns the declared versions in no particular order.
func (r *Revision) Versions() []willowwick.VersionID {
	return objectNames[willowwick.VersionID](r, KindVersion)
}

// Accounts returns the declared client accounts in no particular order.
func (r *Revision) Accounts() []willowwick.AccountID {
	return objectNames[willowwick.AccountID](r, KindClientAccount)
}

func objectNames[T ~string](r *Revision, kind Kind) []T {
	var names []T
	for key := range r.Objects {
		if key.Kind == kind {
			names = append(names, T(key.Name))
		}
	}
	return names
}

// Limit returns the limit on a client account, if one is declared.
func (r *Revision) Limit(id willowwick.AccountID) (Limit, bool) {
	limit, ok := r.limitByAccount[id]
	return limit, ok
}

// Rollout returns the roll-out of a model that is in progress, and false if there is none.
func (r *Revision) Rollout(model willowwick.ModelID) (ActiveRollout, bool) {
	rollout, ok := r.rolloutByModel[model]
	return rollout, ok
}

// Rollouts returns the roll-outs in progress, sorted by ID.
func (r *Revision) Rollouts() []ActiveRollout {
	list := make([]ActiveRollout, 0, len(r.rolloutByModel))
	for _, rollout := range r.rolloutByModel {
		list = append(list, rollout)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// IsWithdrawn reports whether a version was permanently taken out of use.
func (r *Revision) IsWithdrawn(version willowwick.VersionID) bool {
	_, gone := r.Withdrawn[version]
	return gone
}

// IsRollingOut reports whether a version is the target of a roll-out in progress.
func (r *Revision) IsRollingOut(version willowwick.VersionID) bool {
	v, ok := r.Version(version)
	if !ok {
		return false
	}
	rollout, ok := r.rolloutByModel[v.Model]
	return ok && rollout.To == version
}

// Settled returns the version that serves a model outside of roll-outs. This is
// the first that is not withdrawn of the versions whose roll-outs finished since
// the model was declared, newest first, then the declared version, then its fallbacks.
func (r *Revision) Settled(model willowwick.ModelID) (willowwick.VersionID, bool) {
	declared, ok := r.Model(model)
	if !ok {
		return "", false
	}
	for _, version := range r.finishedVersions[model] {
		if !r.IsWithdrawn(version) {
			return version, true
		}
	}
	if !r.IsWithdrawn(declared.Settled) {
		return declared.Settled, true
	}
	for _, version := range declared.Fallback {
		if !r.IsWithdrawn(version) {
			return version, true
		}
	}
	return "", false
}

// IsUsable reports whether a version is declared, not withdrawn, and allowed to the client account.
func (r *Revision) IsUsable(account willowwick.AccountID, version willowwick.VersionID) bool {
	declared, ok := r.Version(version)
	if !ok || r.IsWithdrawn(version) {
		return false
	}
	client, ok := r.Account(account)
	return ok && client.Allows(declared.Model, version)
}

// Targets returns the models that the account may use and the cascades with at least one such model, in a fixed order.
func (r *Revision) Targets(account willowwick.AccountID) []string {
	client, ok := r.Account(account)
	if !ok {
		return nil
	}
	var targets []string
	for _, key := range sortedKeys(r.Objects) {
		switch typed := r.Objects[key].decoded.(type) {
		case *Model:
			if r.allowsModel(client, willowwick.ModelID(key.Name)) {
				targets = append(targets, key.Name)
			}
		case *Cascade:
			for _, stage := range typed.Stages {
				if r.allowsModel(client, stage) {
					targets = append(targets, key.Name)
					break
				}
			}
		}
	}
	return targets
}

func (r *Revision) allowsModel(client *ClientAccount, model willowwick.ModelID) bool {
	version, ok := r.Settled(model)
	return ok && client.Allows(model, version)
}

// IsRepeatable reports whether a call of the service may be retried; a call that matches no operation may not.
func (s *Service) IsRepeatable(method, path string) bool {
	for _, operation := range s.Operations {
		methodFits := operation.Method == anyMethod || operation.Method == method
		if methodFits && len(path) >= len(operation.Prefix) && path[:len(operation.Prefix)] == operation.Prefix {
			return operation.Repeatable
		}
	}
	return false
}
