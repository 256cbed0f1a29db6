// Package gate admits requests to endpoints in fair order between client accounts, and refuses at once what could not
// meet its deadline.
//
// Begin with Gate: Enter waits until the request may be sent and returns a Ticket, whose Done releases the slot.
package gate
