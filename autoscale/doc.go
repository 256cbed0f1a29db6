// Package autoscale decides how many runners of a service are ordered in each hall and of each kind.
//
// It has no network, goroutines or clock of its own: [Scaler.Decide] takes the time and a [View] of the service, and
// returns the orders to give; the caller reports with [Scaler.Note] what became of each. Demand and supply are in the
// same unit, requests in progress: a runner runs as many at once as it has slots, and [Settings.Utilisation] is the share
// of the slots to aim at. A runner that is slower holds its requests longer, so speeds need no model of their own.
//
// Begin with scaler.go; forecast.go estimates the demand, targets.go computes the runners wanted by hall and kind, and
// orders.go follows earlier orders.
package autoscale
