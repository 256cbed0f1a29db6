package serve

import (
	"context"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/route"
)

// obtainPermit reports whether a request may be sent to the endpoint of its slot. If not, it gives the slot back and
// excludes the endpoint.
func (d *Daemon) obtainPermit(ctx context.Context, ticket *gate.Ticket, exclude map[willowwick.EndpointID]bool) bool {
	hasPermit := !ticket.MustRequestPermit() || d.node.ObtainPermit(ctx, ticket.Endpoint.ID)
	if hasPermit && !ticket.EndpointRefusesWork(clock.Now()) {
		return true
	}
	ticket.Done(route.OutcomeCancelled)
	exclude[ticket.Endpoint.ID] = true
	return false
}
