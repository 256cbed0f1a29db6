package willowwick

import "time"

type (
	// Candidate is an endpoint as the router sees it at the moment of a choice.
	Candidate struct {
		Endpoint        EndpointID
		Hall            HallID
		Load            EndpointLoad
		InFlight        int           // own requests at the endpoint now
		SentSinceReport int           // own requests sent since the load was reported
		IsAvailable     bool          // may be given work
		QueueDelay      time.Duration // measured length: until it has read what it was sent before, as forecast
		PrefillTime     time.Duration // measured length: it would then read for this request, as forecast
		FailureRate     float64       // share of recent calls that failed, newer ones counting more
	}

	// CandidateSet is the row of endpoints that serve one version.
	CandidateSet interface {
		Len() int
		At(index int) Candidate
		// Owner returns the index that a prompt prefix belongs to.
		Owner(prefix uint64) int
	}

	// Picker chooses an endpoint; it returns -1 if none may be given work.
	Picker interface {
		Pick(now time.Time, set CandidateSet, prefix uint64) int
	}
)
