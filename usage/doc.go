// Package usage counts the requests of each client account by window of time on all boxes, and decides which counts are
// reported to the platform.
//
// Begin with Ledger, which holds what each start of each box has counted: a box's own counts, and on a hub those of all
// boxes. message.go and telling.go are how ledgers tell each other, coverage.go is how much of a window is known, and
// Reporter decides on the box that holds the lease on the duties what is written, sent and left out. Times are times of
// day.
package usage
