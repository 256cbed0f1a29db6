// Package serve implements the daemon for chat requests and plain services that are declared on the log: the callers'
// API, the handling of a request from admission to billing, the operators' pages, and the planned stop.
//
// Begin with Daemon. A run is one chat request, and a resumableCall the call that streams its answer from a runner.
package serve
