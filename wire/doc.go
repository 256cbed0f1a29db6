// Package wire sends HTTP/1.1 requests to endpoints over its own pool of persistent connections, and reports for each
// failure whether the endpoint may have executed the request. Begin with Pool: its Open returns a Conn, which sends a
// Message and receives an Answer.
//
// CallerListener is for the other side: it lets a server that stops close idle connections of callers without losing
// a request that arrives at that moment. It refuses connections that it
// can't serve: a LinkLimit counts what callers use of the link, and a pace goes by how long first requests, openings and the box's own
// round trips take.
//
// Whatever reads answers, a Conn or an http.Transport through CheckHeads, takes none whose head HTTP doesn't allow.
package wire
