package reservation

import "github.com/willowwick/willowwick"

type (
	// Ask is a request that waits for a reservation at one of some endpoints, the preferred one first.
	Ask struct {
		Choices []willowwick.Alternative
	}

	// Call tells the granting box all that a box has at endpoints that need reservations, and asks for more.
	Call struct {
		Box      willowwick.BoxID
		SentAt   int64 // the box's time of day in microseconds; of two calls, the later one counts
		Places   []willowwick.Occupancy
		Rejected []willowwick.EndpointID // those that have rejected a request since the last call
		Asks     []Ask
		// IsPassedOn is set if the call is forwarded by a box other than Box.
		IsPassedOn bool
	}

	// Reply answers a Call.
	Reply struct {
		// Granted holds the endpoint of each Ask's reservation, empty where there is none.
		Granted []willowwick.EndpointID
		RetryMs int64 // delay until the next call, if an Ask got none
		// IsShort is set while boxes wait for slots: what becomes free is told at once.
		IsShort bool
		// IsGranting is false while the box learns what others have, or if another one grants.
		IsGranting bool
	}
)
