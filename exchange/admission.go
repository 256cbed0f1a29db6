package exchange

import (
	"log/slog"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
)

type (
	// AdmittedRequests are the requests that the operator declared admitted: they are sent to endpoints even if
	// they crashed some.
	AdmittedRequests struct {
		AsOf      willowwick.Position                            // all declarations before this position are included
		Requests  map[willowwick.Fingerprint]willowwick.Position // position of each admission; never modified
		TakenBack map[willowwick.Fingerprint]willowwick.Position // position at which others were revoked; never modified
		HeldOver  map[willowwick.Fingerprint]HeldOver            // never modified
	}

	// admissions keeps the newest known set of admitted requests and applies it to the ledger.
	admissions struct {
		declaredSetKeeper[willowwick.Fingerprint]
	}
)

func newAdmissions(poison *quarantine.Ledger) *admissions {
	a := &admissions{}
	a.onChange = func(old, updated effectiveSet[willowwick.Fingerprint], source string) {
		if len(updated.members) > 0 || len(old.members) > 0 {
			slog.Info("requests admitted by the operator", "requests", len(updated.members), "as_of", updated.asOf, "source", source)
		}
		poison.SetAdmitted(updated.members)
	}
	return a
}

// set returns the newest known set; it is empty until the operator has admitted a request.
func (a *admissions) set() AdmittedRequests {
	known := a.newest()
	return AdmittedRequests{AsOf: known.asOf, Requests: known.members, TakenBack: known.revoked, HeldOver: known.heldOver}
}

// declare applies the declarations that a read of the store returned.
func (a *admissions) declare(declared willowwick.Declarations) {
	changes := make([]declaredChange[willowwick.Fingerprint], 0, len(declared.Admissions))
	for _, admission := range declared.Admissions {
		changes = append(changes, declaredChange[willowwick.Fingerprint]{admission.Request, admission.Revoked, admission.At})
	}
	a.declaredSetKeeper.applyRead(declared.Snapshot, declared.Next, changes)
}

// receive merges the set that another box reported.
func (a *admissions) receive(update AdmittedRequests, source string) {
	a.declaredSetKeeper.applyPeerSet(declaredSet[willowwick.Fingerprint]{update.AsOf, update.Requests, update.TakenBack, update.HeldOver}, source)
}
