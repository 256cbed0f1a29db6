package exchange

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/route"
)

type (
	// EvacuatedHalls are the halls whose endpoints get no new work by the operator's declarations.
	EvacuatedHalls struct {
		AsOf      willowwick.Position                       // the declarations before it are counted in
		Halls     map[willowwick.HallID]willowwick.Position // where each of them was declared evacuated; never changed
		TakenBack map[willowwick.HallID]willowwick.Position // where others were taken back; likewise
		HeldOver  map[willowwick.HallID]HeldOver            // likewise
	}

	// evacuations keeps the newest set of evacuated halls that is known, and puts it in force on the pool.
	evacuations struct {
		standingKeeper[willowwick.HallID]
	}
)

func newEvacuations(pool *route.Pool) *evacuations {
	e := &evacuations{}
	e.put = func(old, news inForce[willowwick.HallID], source string) {
		pool.SetEvacuated(slices.Collect(maps.Keys(news.members)))
		logEvacuations(old, news, source)
	}
	return e
}

// set is the newest set that is known.
func (e *evacuations) set() EvacuatedHalls {
	known := e.newest()
	return EvacuatedHalls{AsOf: known.asOf, Halls: known.members, TakenBack: known.takenBack, HeldOver: known.heldOver}
}

// count is the number of evacuated halls.
func (e *evacuations) count() int {
	return len(e.inForce().members)
}

// declare takes what a read of the store brought.
func (e *evacuations) declare(declared willowwick.Declarations) {
	changes := make([]standingChange[willowwick.HallID], 0, len(declared.Evacuations))
	for _, evacuation := range declared.Evacuations {
		changes = append(changes, standingChange[willowwick.HallID]{evacuation.Hall, evacuation.Revoked, evacuation.At})
	}
	e.standingKeeper.declare(declared.Snapshot, declared.Next, changes)
}

// hear takes the set that another box knows.
func (e *evacuations) hear(news EvacuatedHalls, source string) {
	e.standingKeeper.hear(standing[willowwick.HallID]{news.AsOf, news.Halls, news.TakenBack, news.HeldOver}, source)
}

// logEvacuations writes a line for each hall that is evacuated or taken back.
func logEvacuations(old, news inForce[willowwick.HallID], source string) {
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
