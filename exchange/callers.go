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
	// connIdle: no request is on the connection.
	connIdle connUse = iota
	// connBusy: a request is on the connection, from its first byte on.
	connBusy
	// connRetired: this box has closed the connection and accepts nothing more from it.
	connRetired
)

// retirePoll is how often a stopping box checks whether callers' connections are idle.
const retirePoll = 10 * time.Millisecond

type (
	connUse = int32

	// callerConnKey is the context key of the caller's connection.
	callerConnKey struct{}

	// callerListener tracks callers' connections and which of them have a request.
	//
	// net/http considers a connection idle until it has read a complete head, and would close it while a request
	// arrives.
	callerListener struct {
		net.Listener
		busyConns atomic.Int64

		mu      sync.Mutex
		conns   map[*callerConn]bool
		retired bool // new connections are closed unread
	}

	// callerConn is a caller's connection and its use.
	callerConn struct {
		net.Conn
		listener *callerListener
		use      atomic.Int32 // a connUse
	}
)

func newCallerListener(listener net.Listener) *callerListener {
	return &callerListener{Listener: listener, conns: map[*callerConn]bool{}}
}

// Accept implements net.Listener. A connection that was accepted while the listener was being closed may get here
// only after the others were retired; it is closed unread, because nothing would wait for its request.
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

// register reports whether requests may be accepted from a new connection; if so, retire waits for the connection.
func (l *callerListener) register(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	l.conns[c] = true
	return true
}

// connContext is the server's ConnContext hook.
func (l *callerListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// rejectRetired passes on requests of connections that are not retired. The server may have read a request together
// with the previous one: the connection then seems idle until the request gets here, and may have been retired.
func (l *callerListener) rejectRetired(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if ok && !c.acquire() {
			slog.Info("request rejected, its connection was already closed", "target", r.RequestURI)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Read implements net.Conn; bytes that arrive while the connection is retired belong to a request that was never
// accepted.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.acquire() {
		return 0, net.ErrClosed
	}
	return n, err
}

// acquire marks the connection as busy, and reports whether its request may proceed.
func (c *callerConn) acquire() bool {
	if c.use.CompareAndSwap(connIdle, connBusy) {
		c.listener.busyConns.Add(1)
	}
	return c.use.Load() != connRetired
}

func (c *callerConn) closeUnread() {
	if err := c.Conn.Close(); err != nil {
		slog.Debug("close of a caller's connection failed", "error", err)
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
	return c.Conn.Close()
}

// trackState is the server's ConnState hook; a connection is idle again once its answer was written.
func (l *callerListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok || state != http.StateIdle && state != http.StateClosed && state != http.StateHijacked {
		return
	}
	if c.use.CompareAndSwap(connBusy, connIdle) {
		l.busyConns.Add(-1)
	}
}

// retire closes idle connections, each before another request can be read from it, and waits for the others to
// become idle; it returns how many are left when the context ends. The listener must be closed before.
func (l *callerListener) retire(ctx context.Context) int {
	for {
		left := l.retireIdle()
		if left == 0 || ctx.Err() != nil {
			return left
		}
		sleep(ctx, retirePoll)
	}
}

// retireIdle closes the idle connections and returns how many are not idle.
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
