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
	connIdle connUse = iota
	// inUse: a request is on it, from its first byte on.
	connBusy
	// retired: this box has closed it, and takes nothing from it any more.
	connRetired
)

// retirePoll is how often a stopping box looks whether callers' connections are at rest.
const retirePoll = 10 * time.Millisecond

type (
	connUse = int32

	// callerConnKey finds the caller's connection in the context of its requests.
	callerConnKey struct{}

	// callerListener knows the connections of callers, and which of them have a request on them.
	//
	// net/http takes a connection for idle until it has read a whole head, and would close it then.
	callerListener struct {
		net.Listener
		busyConns atomic.Int64

		mu      sync.Mutex
		conns   map[*callerConn]bool
		retired bool // nothing is taken from what is accepted from now on
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

// Accept implements net.Listener. A connection that was accepted as the listener was closed may come here only after the
// others were retired: it is closed unread, for nobody would wait for its request.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l}
	if !l.register(c) {
		c.closeUnread()
		return nil, net.ErrClosed
	}
	return c, nil
}

// enter reports whether requests may be taken from a new connection; if so, the connection is waited for.
func (l *callerListener) register(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	l.conns[c] = true
	return true
}

// noteConn is the server's hook for the context of a connection's requests.
func (l *callerListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// takeOnly passes on requests of connections that are waited for. The server may have read a request together with the
// one before it: its connection then looks at rest until the request is here, and may have been retired.
func (l *callerListener) rejectRetired(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if ok && !c.acquire() {
			slog.Info("request was not taken, its connection is closed already", "target", r.RequestURI)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Read implements net.Conn; bytes that come as the connection is retired belong to a request that was never taken.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.acquire() {
		return 0, net.ErrClosed
	}
	return n, err
}

// take marks the connection as in use by a request, and reports whether the request may go on.
func (c *callerConn) acquire() bool {
	if c.use.CompareAndSwap(connIdle, connBusy) {
		c.listener.busyConns.Add(1)
	}
	return c.use.Load() != connRetired
}

func (c *callerConn) closeUnread() {
	if err := c.Conn.Close(); err != nil {
		slog.Debug("caller's connection did not close", "error", err)
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
	return c.Conn.Close()
}

// noteState is the server's hook; a connection is at rest again once its answer is out.
func (l *callerListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok || state != http.StateIdle && state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if c.use.CompareAndSwap(connBusy, connIdle) {
		l.busyConns.Add(-1)
	}
}

// retire closes the connections that are at rest, each before another request can be taken from it, and waits for the
// others to come to rest; it returns how many are left when the context ends. The listener is closed before.
func (l *callerListener) retire(ctx context.Context) int {
	for {
		left := l.retireIdle()
		if left == 0 || ctx.Err() != nil {
			return left
		}
		sleep(ctx, retirePoll)
	}
}

// retireResting closes the connections that are at rest and returns how many are not.
func (l *callerListener) retireIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	for c := range l.conns {
		if !c.use.CompareAndSwap(connIdle, connRetired) {
			continue
		}
		delete(l.conns, c)
		c.closeUnread()
	}
	return len(l.conns)
}
