// Package design holds the goa description of the caller's API, from which the
// package gen is generated.
package design
