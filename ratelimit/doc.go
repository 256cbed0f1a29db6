// Package ratelimit keeps the requests that all boxes together send to an endpoint within the rate limit that it
// reports in its answers.
//
// Each box has a Ledger of the limits that it knows, and boxes exchange them as Updates. A request to a limited
// endpoint needs a permit. One box grants permits to all, with its Granter, at the rate of the limit. Begin with Ledger.
package ratelimit
