package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/policy"
)

type (
	// Key identifies a declared object.
	Key struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
	}

	// Object is a declared object with its specification as canonical JSON and in decoded form.
	Object struct {
		Key      Key               `json:"key"`
		Spec     json.RawMessage   `json:"spec,omitempty"`
		Modified willowwick.Offset `json:"modified,omitempty"`

		decoded spec
	}

	// Problem is an error in a declaration.
	Problem struct {
		Key     Key
		Path    string // field within the object, such as spec.stages[0]
		Message string
	}

	// spec is a decoded specification.
	spec interface {
		check(set objectSet, report reportFunc)
	}

	reportFunc func(path, format string, args ...any)

	objectSet map[Key]Object
)

var specConstructors = map[Kind]func() spec{
	KindClientAccount: func() spec { return &ClientAccount{} },
	KindModel:         func() spec { return &Model{} },
	KindVersion:       func() spec { return &Version{} },
	KindCascade:       func() spec { return &Cascade{} },
	KindPolicy:        func() spec { return &Policy{} },
	KindRollout:       func() spec { return &Rollout{} },
	KindLimit:         func() spec { return &Limit{} },
	KindService:       func() spec { return &Service{} },
}

// Kinds lists the kinds of declared objects.
var Kinds = []Kind{
	KindClientAccount, KindModel, KindVersion, KindCascade,
	KindPolicy, KindRollout, KindLimit, KindService,
}

// String returns the key as "kind/name".
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// MarshalText implements encoding.TextMarshaler, so that a Key can be a JSON map key.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	kind, name, found := bytes.Cut(text, []byte("/"))
	if !found {
		return errors.Errorf("%q is not of the form kind/name", text)
	}
	k.Kind, k.Name = Kind(kind), string(name)
	return nil
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", p.Key, p.Path, p.Message)
}

// NewObject returns an object with the given specification, which must have the type of its kind.
func NewObject(kind Kind, name string, typed any) (Object, error) {
	data, err := json.Marshal(typed)
	if err != nil {
		return Object{}, errors.Wrap(err, "encode specification")
	}
	object := Object{Key: Key{Kind: kind, Name: name}, Spec: data}
	if err := object.decode(); err != nil {
		return Object{}, err
	}
	return object, nil
}

// Equal reports whether two objects have the same key and specification.
func (o Object) Equal(other Object) bool {
	return o.Key == other.Key && bytes.Equal(o.Spec, other.Spec)
}

// decode sets the decoded form from Spec and replaces Spec by its canonical JSON.
func (o *Object) decode() error {
	construct, known := specConstructors[o.Key.Kind]
	if !known {
		return errors.Errorf("unknown kind %q", o.Key.Kind)
	}
	typed := construct()
	decoder := json.NewDecoder(bytes.NewReader(o.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(typed); err != nil {
		return errors.Wrapf(err, "%s", o.Key)
	}
	canonical, err := json.Marshal(typed)
	if err != nil {
		return errors.Wrapf(err, "%s", o.Key)
	}
	if p, isPolicy := typed.(*Policy); isPolicy {
		p.program, p.problems = policy.Compile(p.Spec)
	}
	o.Spec, o.decoded = canonical, typed
	return nil
}
