package willowwick

import (
	"log/slog"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// EraTracker tracks the newest era of a store that its answers have reported. It is safe for concurrent use.
type EraTracker struct {
	mu     sync.Mutex
	newest Era
}

// Newest returns the newest era reported so far, or 0 if there is none.
func (e *EraTracker) Newest() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// ObserveText parses the era in an answer of the store and observes it, see Observe. A text that is empty or not a number
// counts as the newest known era.
func (e *EraTracker) ObserveText(text string) (Era, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		if text != "" {
			slog.Warn("era of the store is not a number", "era", text)
		}
		return e.Newest(), nil
	}
	era := NewPosition(Era(number), 0).Era()
	return era, e.Observe(era)
}

// Observe records a reported era, or returns ErrStaleEra if the store has already begun a later one.
func (e *EraTracker) Observe(era Era) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era < e.newest {
		return errors.Wrapf(ErrStaleEra, "answer of era %d, but the store is in era %d", era, e.newest)
	}
	e.newest = era
	return nil
}
