// Package route makes the decisions about one request: which cascade, version and endpoint serve it, when, and
// whether to retry. It does no I/O and starts no goroutines; the time is always an argument.
//
// Begin with Pool, which tracks the endpoints and hands out slots at them, and Slot, a request's reservation at one. Plan
// holds the cascade of a chat request, and Queue orders the requests that wait for a slot.
package route
