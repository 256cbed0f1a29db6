package willowwick

import "time"

type (
	// Occupancy is a number of a box's requests at an endpoint.
	Occupancy struct {
		Endpoint EndpointID
		Requests int
	}

	// Alternative is an endpoint that a request may be sent to.
	Alternative struct {
		Endpoint    EndpointID
		Slots       int  // requests that it runs at once, by its last report or its entry; 0 if unknown
		HasAnswered bool // the box has had an answer of it
	}
)

// Reserver says which endpoints may be sent requests with a reservation only: the right to occupy one of their slots, which all
// boxes share.
type Reserver interface {
	// IsRequired reports whether requests to the service's endpoints need reservations.
	IsRequired(now time.Time, service ServiceID) bool
	// CanAsk reports whether one more request may choose an endpoint of the service: it needs no reservation, or may ask for one.
	CanAsk(now time.Time, service ServiceID) bool
	// Released records that a request that occupied a slot of the endpoint has ended.
	Released(now time.Time, endpoint Endpoint)
}
