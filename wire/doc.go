// Package wire sends HTTP/1.1 requests to endpoints over kept connections of its
// own, and tells for each failure whether the endpoint may have run the request.
package wire
