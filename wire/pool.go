package wire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is enough for a head and some events; larger answers take more reads.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint doesn't announce its own timeout.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleMargin is subtracted from the timeout that the endpoint announces, to allow for the transfer time.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one endpoint: twice the usual number of concurrent requests of
	// a box to an endpoint.
	maxIdlePerAddress = 32
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unreachable machine within 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

type (
	// DialFunc opens a network connection.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// Settings holds the timeouts of connections, and how they are opened.
	Settings struct {
		DialTimeout time.Duration // maximum time to establish a connection
		AckTimeout  time.Duration // maximum time that sent bytes may stay unacknowledged
		// OnDial is called after each attempt to open a connection that its caller didn't give up; nil for none.
		OnDial func(attempt DialAttempt)
		// Dial opens the connections; nil for the usual way.
		Dial DialFunc
		// Memory bounds the answers that are being read; nil for no bound.
		Memory *AnswerMemory
	}

	// DialAttempt is an attempt to open a connection.
	DialAttempt struct {
		Address string
		BeganAt time.Time
		Err     error
	}

	// Stats counts the connections and skipped answers of a pool.
	Stats struct {
		Dialed  uint64
		Reused  uint64
		Stale   uint64 // idle connections that were found closed or with unexpected bytes
		Surplus uint64 // answers to earlier requests that were skipped
	}

	// Pool is a pool of connections to endpoints.
	Pool struct {
		settings Settings

		mu     sync.Mutex
		idle   map[string][]*Conn
		closed bool
		stats  Stats
	}

	// Conn is a connection that carries one request at a time.
	Conn struct {
		pool         *Pool
		conn         net.Conn
		raw          syscall.RawConn
		head         *headLimiter
		reader       *bufio.Reader // reads from head
		address      string
		idleDeadline time.Time     // when the endpoint may close the idle connection
		idleSince    time.Time     // when it was last released
		write        *pendingWrite // nil if no write runs concurrently
		interrupt    interrupt
		hold         *Hold
		headSize     int // of the hold, for the head
		past         Past
	}

	// Past is what a connection has carried so far.
	Past struct {
		Requests int // sent
		Skipped  int // answers to other requests that were skipped
		Status   int // of the newest answer that was received; 0 if there was none
	}
)

// NewPool returns an empty pool and a function that closes its connections.
func NewPool(settings Settings) (*Pool, func()) {
	p := &Pool{settings: settings, idle: map[string][]*Conn{}}
	if p.settings.Dial == nil {
		p.settings.Dial = p.newDialer().DialContext
	}
	return p, p.close
}

func (p *Pool) newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: p.settings.DialTimeout,
		Control: p.setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

// setUserTimeout limits how long sent bytes may stay unacknowledged before the connection fails.
func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.settings.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Open returns an idle connection to the address if one can be reused, except for some, and otherwise dials a new one. A request that is
// sent again excepts the connections that carried it: an answer tells only its request, not the try that it belongs to, and one
// to an earlier try may still arrive there.
//
// An error wraps both willowwick.ErrNotSent and its cause.
func (p *Pool) Open(ctx context.Context, address string, except ...*Conn) (*Conn, error) {
	for {
		c := p.takeIdle(address, except)
		if c == nil {
			break
		}
		if c.isReusable(clock.Now()) {
			p.updateStats(func(s *Stats) { s.Reused++ })
			return c, nil
		}
		p.updateStats(func(s *Stats) { s.Stale++ })
		c.Close()
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", err, willowwick.ErrNotSent)
	}
	return c, nil
}

// dial opens a new connection to the address.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	beganAt := clock.Now()
	conn, err := p.settings.Dial(ctx, "tcp", address)
	if p.settings.OnDial != nil && !errors.Is(ctx.Err(), context.Canceled) {
		p.settings.OnDial(DialAttempt{Address: address, BeganAt: beganAt, Err: err})
	}
	if err != nil {
		return nil, err
	}
	p.updateStats(func(s *Stats) { s.Dialed++ })
	c := newConn(p, conn, address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		if c.raw, err = tcp.SyscallConn(); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return c, nil
}

func newConn(p *Pool, conn net.Conn, address string) *Conn {
	kept := KeepFaults(conn)
	c := &Conn{pool: p, conn: kept, address: address}
	c.hold = p.settings.Memory.NewHold(c.Cut)
	c.head = &headLimiter{Reader: kept, hold: c.holdHead}
	c.reader = bufio.NewReaderSize(c.head, readBufferSize)
	return c
}

// IsListening dials the address to check whether anything still listens there; known is false if that couldn't be
// determined. A connection that is established is kept for the next request.
func (p *Pool) IsListening(ctx context.Context, address string) (listens, known bool) {
	c, err := p.dial(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return false, true
	case err != nil:
		return false, false
	}
	c.Release("")
	return true, true
}

func (p *Pool) updateStats(change func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// takeIdle removes and returns the most recently used idle connection except for some, nil if there is none: it is the least likely to
// be closed.
func (p *Pool) takeIdle(address string, except []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; !slices.Contains(except, c) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// CloseIdle closes the idle connections to an address whose endpoint is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(conns)
}

// CloseIdleBefore closes the idle connections to an address that were released before the given time. Callers pass the time at
// which they sent a request that got no answer: these connections may have stalled as well, and each stalled connection could
// cost another request.
func (p *Pool) CloseIdleBefore(address string, sent time.Time) {
	p.closeIdleWhere(func(at string, c *Conn) bool { return at == address && c.idleSince.Before(sent) })
}

// CloseExpired closes the idle connections whose idle deadline has passed: their endpoints may soon close them.
func (p *Pool) CloseExpired(now time.Time) {
	p.closeIdleWhere(func(_ string, c *Conn) bool { return !now.Before(c.idleDeadline) })
}

// closeIdleWhere closes the idle connections for which shouldClose returns true.
func (p *Pool) closeIdleWhere(shouldClose func(address string, c *Conn) bool) {
	var closing []*Conn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if shouldClose(address, c) {
				closing = append(closing, c)
				continue
			}
			kept = append(kept, c)
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	closeAll(closing)
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*Conn{}
	p.mu.Unlock()
	for _, conns := range idle {
		closeAll(conns)
	}
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// isReusable reports whether the connection has not reached its idle deadline, is open and has no unread bytes.
func (c *Conn) isReusable(now time.Time) bool {
	if !now.Before(c.idleDeadline) || c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	hasNoData := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasNoData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && hasNoData
}

// Release returns the connection to the pool after a complete answer, or closes it if it can't be reused; keepAlive is the value
// of the answer's Keep-Alive header.
func (c *Conn) Release(keepAlive string) {
	c.idleSince = clock.Now()
	c.idleDeadline = c.idleSince.Add(parseIdleTime(keepAlive))
	// A connection that was ended is about to be closed, maybe only when the next request has it.
	isOpen := c.hold.Release()
	if err := c.conn.SetDeadline(time.Time{}); err != nil || !isOpen || c.reader.Buffered() > 0 || !c.write.succeeded() {
		c.Close()
		return
	}
	c.pool.mu.Lock()
	conns := c.pool.idle[c.address]
	if c.pool.closed || len(conns) >= maxIdlePerAddress {
		c.pool.mu.Unlock()
		c.Close()
		return
	}
	c.pool.idle[c.address] = append(conns, c)
	c.pool.mu.Unlock()
}

// Past returns what the connection has carried so far; it may be called until the connection is released.
func (c *Conn) Past() Past {
	return c.past
}

// LocalAddress returns the address that tells the connection from others while it is open.
func (c *Conn) LocalAddress() string {
	return c.conn.LocalAddr().String()
}

// Close closes the connection, which also cancels whatever the endpoint still does for the request.
func (c *Conn) Close() {
	_ = c.conn.Close()
	c.hold.Release()
}

// Cut closes the connection while a request uses it, which must still close or release it. It may be called from any goroutine.
func (c *Conn) Cut() {
	_ = c.conn.Close()
}

// holdHead records what the head of the answer holds.
func (c *Conn) holdHead(bytes int) error {
	c.headSize = bytes
	return c.hold.Resize(bytes)
}

// parseIdleTime returns how long a connection may stay idle, given the value of the answer's Keep-Alive header. Without
// a timeout in it, the endpoint may close the connection soon.
func parseIdleTime(keepAlive string) time.Duration {
	for _, item := range strings.Split(keepAlive, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(item), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
