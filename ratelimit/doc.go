// Package ratelimit keeps what all boxes together send to endpoints within the rates that these name in their answers.
//
// Each box has a Ledger of the limits that it knows; boxes tell each other of them as News. A request goes to such an endpoint
// with a permit, which one box, the one with the Granter that all others ask, hands out at the rate of the limit.
package ratelimit
