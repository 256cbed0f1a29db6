package willowwick

import "github.com/pkg/errors"

// Errors that implementations of the interfaces return, usually wrapped.
var (
	// ErrNotSent means that no part of the call reached the endpoint.
	ErrNotSent = errors.New("nothing was sent")
	// ErrDraining means that the endpoint refused the call because it is draining.
	ErrDraining = errors.New("endpoint is draining")
	// ErrVersionNotLoaded means that the endpoint refused the call because it doesn't have the version: it was started
	// without it, or has dropped it since it was withdrawn.
	ErrVersionNotLoaded = errors.New("endpoint does not have the version")
	// ErrBusy means that the endpoint refused the call because all its slots are taken.
	ErrBusy = errors.New("endpoint is full")
	// ErrBroken means that an answer has a gap, a wrong request id, no end, a head that HTTP doesn't allow, or a status that its call doesn't expect.
	ErrBroken = errors.New("answer is broken")
	// ErrConflict means that the topic no longer ends at the position that the writer expects.
	ErrConflict = errors.New("conflicting write: the topic has grown since it was read")
	// ErrStaleEra means that the answer belongs to an earlier era of the store.
	ErrStaleEra = errors.New("the store has begun a new era")
)
