package exchange

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// atRest: no request is on the connection.
	atRest connUse = iota
	// inUse: a request is on it, from its first byte on.
	inUse
	// retired: this box has closed it, and takes nothing from it any more.
	retired
)

// retirePoll is how often a stopping box looks whether callers' connections are at rest.
const retirePoll = 10 * time.Millisecond

type (
	connUse = int32

	// callerListener knows the connections of callers, and which of them have a request on them.
	//
	// net/http takes a connection for idle until it has read a whole head, and would close it then.
	callerListener struct {
		net.Listener
		busy atomic.Int64

		mu    sync.Mutex
		conns map[*callerConn]bool
	}

	// callerConn is a caller's connection with whether a request is on it.
	callerConn struct {
		net.Conn
		listener *callerListener
		use      atomic.Int32 // a connUse
	}
)

func newCallerListener(listener net.Listener) *callerListener {
	return &callerListener{Listener: listener, conns: map[*callerConn]bool{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// Read implements net.Conn; bytes that come as the connection is retired belong to a request that was never taken.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.use.CompareAndSwap(atRest, inUse) {
		c.listener.busy.Add(1)
	}
	if c.use.Load() == retired {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
	return c.Conn.Close()
}

// noteState is the server's hook; a connection is at rest again once its answer is out.
func (l *callerListener) noteState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok || state != http.StateIdle && state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if c.use.CompareAndSwap(inUse, atRest) {
		l.busy.Add(-1)
	}
}

// retire closes the connections that are at rest, each before another request can be taken from it, and waits for the
// others to come to rest; it returns how many are left when the context ends.
func (l *callerListener) retire(ctx context.Context) int {
	for {
		left := l.retireResting()
		if left == 0 || ctx.Err() != nil {
			return left
		}
		sleep(ctx, retirePoll)
	}
}

// retireResting closes the connections that are at rest and returns how many are not.
func (l *callerListener) retireResting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.use.CompareAndSwap(atRest, retired) {
			continue
		}
		delete(l.conns, c)
		if err := c.Conn.Close(); err != nil {
			slog.Debug("caller's connection did not close", "error", err)
		}
	}
	return len(l.conns)
}
