package exchange

import (
	"log/slog"
	"maps"
	"slices"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/route"
)

type (
	// EvacuatedHalls are the halls that the operator declared evacuated: their endpoints get no new work.
	EvacuatedHalls struct {
		AsOf      willowwick.Position                       // all declarations before this position are included
		Halls     map[willowwick.HallID]willowwick.Position // position of each evacuation; never modified
		TakenBack map[willowwick.HallID]willowwick.Position // position at which others were revoked; never modified
		HeldOver  map[willowwick.HallID]HeldOver            // never modified
	}

	// evacuations keeps the newest known set of evacuated halls and applies it to the pool.
	evacuations struct {
		declaredSetKeeper[willowwick.HallID]
	}
)

func newEvacuations(pool *route.Pool) *evacuations {
	e := &evacuations{}
	e.onChange = func(old, updated effectiveSet[willowwick.HallID], source string) {
		pool.SetEvacuated(slices.Collect(maps.Keys(updated.members)))
		logEvacuations(old, updated, source)
	}
	return e
}

// set returns the newest known set.
func (e *evacuations) set() EvacuatedHalls {
	known := e.newest()
	return EvacuatedHalls{AsOf: known.asOf, Halls: known.members, TakenBack: known.revoked, HeldOver: known.heldOver}
}

// count returns the number of evacuated halls.
func (e *evacuations) count() int {
	return len(e.inEffect().members)
}

// declare applies the declarations that a read of the store returned.
func (e *evacuations) declare(declared willowwick.Declarations) {
	changes := make([]declaredChange[willowwick.HallID], 0, len(declared.Evacuations))
	for _, evacuation := range declared.Evacuations {
		changes = append(changes, declaredChange[willowwick.HallID]{evacuation.Hall, evacuation.Revoked, evacuation.At})
	}
	e.declaredSetKeeper.applyRead(declared.Snapshot, declared.Next, changes)
}

// receive merges the set that another box reported.
func (e *evacuations) receive(update EvacuatedHalls, source string) {
	e.declaredSetKeeper.applyPeerSet(declaredSet[willowwick.HallID]{update.AsOf, update.Halls, update.TakenBack, update.HeldOver}, source)
}

// logEvacuations logs each hall that is evacuated or whose evacuation is revoked.
func logEvacuations(old, updated effectiveSet[willowwick.HallID], source string) {
	for hall, at := range updated.members {
		if _, wasEvacuated := old.members[hall]; !wasEvacuated {
			slog.Info("hall evacuated", "hall", hall, "offset", at, "as_of", updated.asOf, "source", source)
		}
	}
	for hall, at := range old.members {
		if _, isEvacuated := updated.members[hall]; !isEvacuated {
			slog.Info("hall taken back", "hall", hall, "evacuated_at", at, "as_of", updated.asOf, "source", source)
		}
	}
}
