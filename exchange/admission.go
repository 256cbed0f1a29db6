package exchange

import (
	"log/slog"
	"sync"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
)

type (
	// AdmittedRequests are the requests that are sent to endpoints by the operator's declarations, whatever they did there.
	AdmittedRequests struct {
		AsOf     willowwick.Offset                            // the declarations before it are counted in
		Requests map[willowwick.Fingerprint]willowwick.Offset // where each of them was declared; never changed
	}

	// admissions keeps the newest set of admitted requests that is known, and puts it in force on the ledger.
	admissions struct {
		harm *quarantine.Ledger

		mu    sync.Mutex
		known standing[willowwick.Fingerprint]
	}
)

// set is the newest set that is known; empty until the operator has admitted a request.
func (a *admissions) set() AdmittedRequests {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AdmittedRequests{AsOf: a.known.asOf, Requests: a.known.members}
}

// declare takes what a read of the store brought, unless another box told of what came after all of it.
func (a *admissions) declare(declared willowwick.Declarations) {
	changes := make([]standingChange[willowwick.Fingerprint], 0, len(declared.Admissions))
	for _, admission := range declared.Admissions {
		changes = append(changes, standingChange[willowwick.Fingerprint]{admission.Request, admission.TakenBack, admission.At})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if news, isNews := a.known.after(declared.Whole, declared.Next, changes); isNews {
		a.put(news, "store")
	}
}

// hear takes the set that another box knows, if it is newer.
func (a *admissions) hear(news AdmittedRequests, source string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if news.AsOf > a.known.asOf {
		a.put(standing[willowwick.Fingerprint]{news.AsOf, news.Requests}, source)
	}
}

// put puts a set in force; the caller holds the lock.
func (a *admissions) put(news standing[willowwick.Fingerprint], source string) {
	if len(news.members) > 0 || len(a.known.members) > 0 {
		slog.Info("requests admitted by the operator", "requests", len(news.members), "as_of", news.asOf, "source", source)
	}
	a.known = news
	a.harm.SetAdmitted(news.members)
}
