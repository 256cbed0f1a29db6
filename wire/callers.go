package wire

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/clock"
)

const (
	// connIdle: no request is on the connection.
	connIdle connUse = iota
	// connBusy: a request is on the connection, from its first byte on.
	connBusy
	// connRetired: this box has closed the connection and accepts nothing more from it.
	connRetired
	// connShared: the connection carries several requests at a time (HTTP/2), and http.Server.Shutdown waits for them.
	connShared

	// retirePoll is how often a stopping box checks whether callers' connections are idle.
	retirePoll = 10 * time.Millisecond
	// handshakeLimit is the time after which a connection that never had a request is idle, although bytes were read from it:
	// they belong to a TLS handshake.
	handshakeLimit = 5 * time.Second

	// lingerReset and lingerUsual are the arguments of net.TCPConn.SetLinger by which a close is a reset, or an orderly end.
	lingerReset = 0
	lingerUsual = -1
)

type (
	connUse = int32

	// callerConnKey is the context key of the caller's connection.
	callerConnKey struct{}

	// CallerListener tracks callers' connections and which of them have a request.
	//
	// net/http considers a connection idle until it has read a complete head, and would close it while a request
	// arrives. The listener's ConnContext, TrackState and RejectRetired must be set on its server.
	CallerListener struct {
		net.Listener
		// OnFirstRequest is called with the time from the acceptance of a connection until the head of its first request was read; nil
		// for none.
		OnFirstRequest func(took time.Duration)

		admission *Admission   // nil to read all connections
		unread    atomic.Int64 // connections that were closed unread
		busyConns atomic.Int64

		mu      sync.Mutex
		conns   map[*callerConn]bool
		retired bool // new connections are closed unread
	}

	// callerConn is a caller's connection and its use.
	callerConn struct {
		net.Conn
		listener    *CallerListener
		use         atomic.Int32 // a connUse
		hasRequests atomic.Bool  // a request has begun on it
		acceptedAt  time.Time
		cohort      *cohort      // that it was admitted with
		hasArrived  atomic.Bool  // its first request was read, or it was closed before
		idleSince   atomic.Int64 // nanoseconds since 1970
		linkUse     linkUse
	}
)

// NewCallerListener returns a listener that tracks the connections that it accepts; admission decides which, nil accepts all.
func NewCallerListener(listener net.Listener, admission *Admission) *CallerListener {
	return &CallerListener{Listener: listener, admission: admission, conns: map[*callerConn]bool{}}
}

// Accept implements net.Listener. A connection that was accepted while the listener was being closed may get here
// only after the others were retired; it is closed unread, because nothing would wait for its request.
func (l *CallerListener) Accept() (net.Conn, error) {
	c, err := l.acceptReadable()
	if err != nil {
		return nil, err
	}
	if !l.register(c) {
		c.closeUnread()
		return nil, net.ErrClosed
	}
	return c, nil
}

// acceptReadable accepts the next connection that this box can serve. Others are refused, or closed unread by listeners that can't
// refuse them.
func (l *CallerListener) acceptReadable() (*callerConn, error) {
	for {
		conn, maxDebt, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: conn, listener: l, acceptedAt: clock.Now()}
		c.idleSince.Store(c.acceptedAt.UnixNano())
		if l.admission.admit(c, maxDebt) {
			return c, nil
		}
		l.unread.Add(1)
		c.closeUnread()
	}
}

// acceptNext accepts the next connection, and returns for how long those that follow may have to wait for it. A listener that can
// refuse connections does so once no more can be served, but for those that are open already: their callers have sent the first bytes.
func (l *CallerListener) acceptNext() (net.Conn, time.Duration, error) {
	refusing, canRefuse := l.Listener.(*RefusingListener)
	if !canRefuse || l.admission == nil {
		conn, err := l.Listener.Accept()
		return conn, 0, err
	}
	for {
		if conn, err := l.refuseWhileFull(refusing); conn != nil || err != nil {
			return conn, maxWaitingDebt, err
		}
		limit := l.admission.pace.openingLimit(clock.Now())
		if limit == 0 {
			conn, err := refusing.Accept()
			return conn, maxWaitingDebt, err
		}
		if conn, err := refusing.AcceptWithin(limit); conn != nil || err != nil {
			return conn, maxWaitingDebt, err
		}
		l.admission.pace.heldUp(clock.Now())
	}
}

// refuseWhileFull refuses connections until more can be served; it returns one that was open before, if there is any.
func (l *CallerListener) refuseWhileFull(refusing *RefusingListener) (net.Conn, error) {
	for l.admission.mustRefuse(clock.Now()) {
		if conn, err := refusing.AcceptWithin(waitingLimit); conn != nil || err != nil {
			return conn, err
		}
		if err := refusing.RefuseUntil(l.admission.freeAt(clock.Now())); err != nil {
			return nil, err
		}
		l.admission.pace.reopened(clock.Now())
	}
	return nil, nil
}

// IsLimiting reports whether this box reads only some of the new connections; a nil listener doesn't.
func (l *CallerListener) IsLimiting(now time.Time) bool {
	return l != nil && l.admission.isLimiting(now)
}

// Unread returns the number of connections that were closed unread.
func (l *CallerListener) Unread() int64 {
	return l.unread.Load()
}

// register reports whether requests may be accepted from a new connection; if so, retire waits for the connection.
func (l *CallerListener) register(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return false
	}
	l.conns[c] = true
	return true
}

// Busy returns the number of connections with a request.
func (l *CallerListener) Busy() int64 {
	return l.busyConns.Load()
}

// CallerConn returns the server's connection that a request came in on; it needs the ConnContext hook.
func CallerConn(r *http.Request) (net.Conn, bool) {
	conn, ok := r.Context().Value(callerConnKey{}).(net.Conn)
	return conn, ok
}

// ResetUnfinished makes an answer look incomplete unless its handler returns, also if this process is killed, to callers without chunks
// too: the orderly end of their connection is the end of the answer for them, so it is reset.
func ResetUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, found := CallerConn(r)
		if !found || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		setLinger(conn, lingerReset)
		next.ServeHTTP(w, r) // a panic leaves the answer unfinished
		setLinger(conn, lingerUsual)
	})
}

// setLinger sets by which end a close of the connection ends it.
func setLinger(conn net.Conn, seconds int) {
	c, ok := trackedConn(conn)
	if !ok {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(seconds); err != nil && !errors.Is(err, net.ErrClosed) {
			slog.Info("a caller's connection keeps its way to end: a broken answer may look complete", "error", err)
		}
	}
}

// ConnContext is the server's ConnContext hook.
func (l *CallerListener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// RejectRetired passes on requests of connections that are not retired. The server may have read a request together
// with the previous one: the connection then seems idle until the request gets here, and may have been retired.
func (l *CallerListener) RejectRetired(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := CallerConn(r)
		if c, ok := trackedConn(conn); ok && !c.acquire() {
			slog.Info("request rejected, its connection was already closed", "target", r.RequestURI)
			panic(http.ErrAbortHandler)
		} else if ok {
			l.noteArrival(c)
		}
		next.ServeHTTP(w, r)
	})
}

// noteArrival records that a request was read from a connection.
func (l *CallerListener) noteArrival(c *callerConn) {
	if !c.hasArrived.CompareAndSwap(false, true) {
		return
	}
	took := clock.Since(c.acceptedAt)
	l.admission.arrived(c, took)
	if l.OnFirstRequest != nil {
		l.OnFirstRequest(took)
	}
}

// Read implements net.Conn; bytes that arrive while the connection is retired belong to a request that was never
// accepted.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.linkUse.add(n)
	if n > 0 && !c.acquire() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.linkUse.add(n)
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
	if c.hasArrived.CompareAndSwap(false, true) {
		c.listener.admission.left(c)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
	return c.Conn.Close()
}

// trackedConn returns the tracked connection beneath a server's connection, which may be one of TLS.
func trackedConn(conn net.Conn) (*callerConn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, ok := conn.(*callerConn)
	return c, ok
}

// TrackState is the server's ConnState hook; a connection is idle again once its answer was written.
func (l *CallerListener) TrackState(conn net.Conn, state http.ConnState) {
	c, ok := trackedConn(conn)
	switch {
	case !ok || state == http.StateNew:
	case state == http.StateActive:
		c.hasRequests.Store(true)
		if secure, ok := conn.(*tls.Conn); ok && secure.ConnectionState().NegotiatedProtocol == "h2" {
			l.leaveToServer(c)
		}
	default:
		c.linkUse.endFirst()
		c.idleSince.Store(clock.Now().UnixNano())
		if c.use.CompareAndSwap(connBusy, connIdle) {
			l.busyConns.Add(-1)
		}
	}
}

// leaveToServer makes http.Server.Shutdown, instead of Retire, wait for a connection.
func (l *CallerListener) leaveToServer(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return
	}
	delete(l.conns, c)
	if c.use.Swap(connShared) == connBusy {
		l.busyConns.Add(-1)
	}
}

// Retire closes connections that have been idle for minIdle, each before another request can be read from it, and waits
// for the others to become idle; it returns how many are left when the context ends. The listener must be closed before.
func (l *CallerListener) Retire(ctx context.Context, minIdle time.Duration) int {
	ticker := time.NewTicker(retirePoll)
	defer ticker.Stop()
	for {
		left := l.retireIdle(clock.Now(), minIdle)
		if left == 0 || ctx.Err() != nil {
			return left
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// retireIdle closes the connections that have been idle for minIdle and returns how many are left.
func (l *CallerListener) retireIdle(now time.Time, minIdle time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	for c := range l.conns {
		if !c.retire(now, minIdle) {
			continue
		}
		delete(l.conns, c)
		c.closeUnread()
	}
	return len(l.conns)
}

// retire retires the connection if it has been idle for minIdle or is still in a handshake after handshakeLimit, and reports
// whether it did; if so, nothing more is read from it.
func (c *callerConn) retire(now time.Time, minIdle time.Duration) bool {
	if now.UnixNano()-c.idleSince.Load() >= int64(minIdle) && c.use.CompareAndSwap(connIdle, connRetired) {
		return true
	}
	isHandshake := !c.hasRequests.Load() && now.Sub(c.acceptedAt) >= handshakeLimit
	if isHandshake && c.use.CompareAndSwap(connBusy, connRetired) {
		c.listener.busyConns.Add(-1)
		return true
	}
	return false
}
