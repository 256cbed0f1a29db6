package willowwick

import (
	"log/slog"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// EraTracker keeps the newest era of a store that its answers have named; several calls may use it at once.
type EraTracker struct {
	mu     sync.Mutex
	newest Era
}

// Newest is the newest era that was named, 0 if none was.
func (e *EraTracker) Newest() Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// ObserveText returns the era that the text of an answer names, the newest that is known where it names none, and ErrStaleEra where the
// store has left it.
func (e *EraTracker) ObserveText(text string) (Era, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		if text != "" {
			slog.Warn("era of the store is no number", "era", text)
		}
		return e.Newest(), nil
	}
	era := NewPosition(Era(number), 0).Era()
	return era, e.Observe(era)
}

// Observe notes the era that is told of, and returns ErrStaleEra where the store has left it.
func (e *EraTracker) Observe(era Era) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era < e.newest {
		return errors.Wrapf(ErrStaleEra, "answer of era %d, which is %d by now", era, e.newest)
	}
	e.newest = era
	return nil
}
