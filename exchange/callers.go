package exchange

import (
	"net"
	"net/http"
	"sync/atomic"
)

type (
	// callerListener counts the connections of callers that have a request on them, from its first byte on.
	//
	// net/http takes a connection for idle until it has read a whole head, and would close it then.
	callerListener struct {
		net.Listener
		busy atomic.Int64
	}

	// callerConn is a caller's connection with whether a request is on it.
	callerConn struct {
		net.Conn
		listener *callerListener
		isBusy   atomic.Bool
	}
)

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, listener: l}, nil
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.isBusy.Swap(true) {
		c.listener.busy.Add(1)
	}
	return n, err
}

// noteState is the server's hook; a connection is at rest again once its answer is out.
func (l *callerListener) noteState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok || state != http.StateIdle && state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if c.isBusy.Swap(false) {
		l.busy.Add(-1)
	}
}
