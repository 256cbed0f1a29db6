// Package willowwick defines the domain types of the router and the interfaces between its parts. The packages below
// implement them.
//
// Begin with Box and Endpoint (platform.go), which are what the router runs on and sends requests to; then Request
// (request.go) for a chat request, Route (routes.go) for opaque requests, and Refusal (refusal.go), the error that
// callers get.
package willowwick
