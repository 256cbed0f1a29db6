// Package route makes the decisions about one request: which cascade, version and endpoint serve it, when, and
// whether to retry. It does no I/O and starts no goroutines; the time is always an argument.
package route
