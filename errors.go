package willowwick

import "github.com/pkg/errors"

// Errors that implementations of the interfaces return, wrapped.
var (
	// ErrNotSent: nothing of the call reached the endpoint.
	ErrNotSent = errors.New("nothing was sent")
	// ErrDraining: the endpoint refused the call because it is leaving.
	ErrDraining = errors.New("endpoint is leaving")
	// ErrBusy: the endpoint refused the call because it is full.
	ErrBusy = errors.New("endpoint is full")
	// ErrBroken: an answer came with a gap, a wrong id or no end.
	ErrBroken = errors.New("answer is broken")
	// ErrConflict: the topic no longer ends where the writer thought.
	ErrConflict = errors.New("someone else wrote first")
	// ErrStaleEra: the answer is of an era that the store has left.
	ErrStaleEra = errors.New("the store has begun a new era")
	// ErrFenced: the endpoint has seen an order with a higher fence.
	ErrFenced = errors.New("order is fenced off")
)
