// Package wire sends HTTP/1.1 requests to endpoints over its own pool of persistent connections, and reports for each
// failure whether the endpoint may have executed the request.
package wire
