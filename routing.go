package willowwick

import "time"

type (
	// Candidate is the router's view of an endpoint when it chooses one for a request.
	Candidate struct {
		Endpoint        EndpointID
		Hall            HallID
		Load            EndpointLoad
		InFlight        int           // this box's requests at the endpoint now
		SentSinceReport int           // this box's requests sent since the endpoint reported its load
		IsAvailable     bool          // may be given requests
		QueueDelay      time.Duration // forecast time until it has read the prompts already sent to it
		PrefillTime     time.Duration // forecast time to read this request's prompt after that
		FailureRate     float64       // share of recent calls that failed, weighted towards newer ones
	}

	// CandidateSet is the list of endpoints that serve one version.
	CandidateSet interface {
		Len() int
		At(index int) Candidate
		// Owner returns the index of the endpoint that a prompt prefix is assigned to.
		Owner(prefix uint64) int
	}

	// Picker chooses an endpoint for a request; it returns -1 if none is available.
	Picker interface {
		Pick(now time.Time, set CandidateSet, prefix uint64) int
	}
)
