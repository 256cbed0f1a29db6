package exchange

import (
	"log/slog"
	"maps"
	"slices"
	"sync"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/route"
)

type (
	// EvacuatedHalls are the halls whose endpoints get no new work by the operator's declarations.
	EvacuatedHalls struct {
		AsOf  willowwick.Offset                       // the declarations before it are counted in
		Halls map[willowwick.HallID]willowwick.Offset // where each of them was declared evacuated; never changed
	}

	// evacuations keeps the newest set of evacuated halls that is known, and puts it in force on the pool.
	evacuations struct {
		pool *route.Pool

		mu    sync.Mutex
		known standing[willowwick.HallID]
	}
)

// set is the newest set that is known.
func (e *evacuations) set() EvacuatedHalls {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EvacuatedHalls{AsOf: e.known.asOf, Halls: e.known.members}
}

// count is the number of evacuated halls.
func (e *evacuations) count() int {
	return len(e.set().Halls)
}

// declare takes what a read of the store brought, unless another box told of what came after all of it.
func (e *evacuations) declare(declared willowwick.Declarations) {
	changes := make([]standingChange[willowwick.HallID], 0, len(declared.Evacuations))
	for _, evacuation := range declared.Evacuations {
		changes = append(changes, standingChange[willowwick.HallID]{evacuation.Hall, evacuation.TakenBack, evacuation.At})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if news, isNews := e.known.after(declared.Whole, declared.Next, changes); isNews {
		e.put(news, "store")
	}
}

// hear takes the set that another box knows, if it is newer.
func (e *evacuations) hear(news EvacuatedHalls, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if news.AsOf > e.known.asOf {
		e.put(standing[willowwick.HallID]{news.AsOf, news.Halls}, source)
	}
}

// put puts a set in force; the caller holds the lock.
func (e *evacuations) put(news standing[willowwick.HallID], source string) {
	old := e.known
	e.known = news
	e.pool.SetEvacuated(slices.Collect(maps.Keys(news.members)))
	for hall, at := range news.members {
		if _, wasEvacuated := old.members[hall]; !wasEvacuated {
			slog.Info("hall evacuated", "hall", hall, "offset", at, "as_of", news.asOf, "source", source)
		}
	}
	for hall, at := range old.members {
		if _, isEvacuated := news.members[hall]; !isEvacuated {
			slog.Info("hall taken back", "hall", hall, "evacuated_at", at, "as_of", news.asOf, "source", source)
		}
	}
}
