package willowwick

import "time"

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
