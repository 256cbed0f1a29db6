package serve

import (
	"context"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/gate"
	"github.com/willowwick/willowwick/route"
)

// obtainPermit reports whether a request may be sent to the endpoint of its place; if not, the place is given back, and the
// request goes elsewhere.
func (d *Daemon) obtainPermit(ctx context.Context, entered *gate.Ticket, exclude map[willowwick.EndpointID]bool) bool {
	hasPermit := !entered.MustRequestPermit() || d.node.ObtainPermit(ctx, entered.Endpoint.ID)
	if hasPermit && !entered.EndpointRefusesWork(clock.Now()) {
		return true
	}
	entered.Done(route.OutcomeCancelled)
	exclude[entered.Endpoint.ID] = true
	return false
}
