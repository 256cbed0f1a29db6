// Package reservation lets all boxes together use the slots of endpoints that crash when they must reject too many requests.
//
// What an endpoint's queue holds can't be known, but its slots are: beyond them, requests wait in the boxes. While a service's
// endpoints name a limit on rejections, each request there needs a reservation, the right to occupy one slot. Begin with Ledger,
// which holds the limits, then Reserver, which asks on a box, and Granter, which answers on the box that grants.
package reservation
