package exchange

import (
	"log/slog"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
)

type (
	// AdmittedRequests are the requests that are sent to endpoints by the operator's declarations, whatever they did there.
	AdmittedRequests struct {
		AsOf      willowwick.Position                            // the declarations before it are counted in
		Requests  map[willowwick.Fingerprint]willowwick.Position // where each of them was declared; never changed
		TakenBack map[willowwick.Fingerprint]willowwick.Position // where others were taken back; likewise
		HeldOver  map[willowwick.Fingerprint]HeldOver            // likewise
	}

	// admissions keeps the newest set of admitted requests that is known, and puts it in force on the ledger.
	admissions struct {
		standingKeeper[willowwick.Fingerprint]
	}
)

func newAdmissions(harm *quarantine.Ledger) *admissions {
	a := &admissions{}
	a.put = func(old, news inForce[willowwick.Fingerprint], source string) {
		if len(news.members) > 0 || len(old.members) > 0 {
			slog.Info("requests admitted by the operator", "requests", len(news.members), "as_of", news.asOf, "source", source)
		}
		harm.SetAdmitted(news.members)
	}
	return a
}

// set is the newest set that is known; empty until the operator has admitted a request.
func (a *admissions) set() AdmittedRequests {
	known := a.newest()
	return AdmittedRequests{AsOf: known.asOf, Requests: known.members, TakenBack: known.takenBack, HeldOver: known.heldOver}
}

// declare takes what a read of the store brought.
func (a *admissions) declare(declared willowwick.Declarations) {
	changes := make([]standingChange[willowwick.Fingerprint], 0, len(declared.Admissions))
	for _, admission := range declared.Admissions {
		changes = append(changes, standingChange[willowwick.Fingerprint]{admission.Request, admission.Revoked, admission.At})
	}
	a.standingKeeper.declare(declared.Snapshot, declared.Next, changes)
}

// hear takes the set that another box knows.
func (a *admissions) hear(news AdmittedRequests, source string) {
	a.standingKeeper.hear(standing[willowwick.Fingerprint]{news.AsOf, news.Requests, news.TakenBack, news.HeldOver}, source)
}
