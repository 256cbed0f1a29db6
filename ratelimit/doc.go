// Package ratelimit keeps the requests that all boxes together send to an endpoint within the rate limit that it
// reports in its answers.
//
// Each box has a Ledger of the limits that it knows, and boxes exchange them as Updates. A request to a limited
// endpoint needs a permit. One box, the one whose Granter all others ask, grants permits at the rate of the limit.
package ratelimit
