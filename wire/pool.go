package wire

import (
	"bufio"
	"context"
	"fmt"
	"net"
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
	// readBufferSize holds a head and some events; larger answers take more reads.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long a connection is kept if the endpoint does not say how long it keeps it.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleMargin is given up of the time that the endpoint names, for the way there.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one endpoint: twice the usual requests of a box at one.
	maxIdlePerAddress = 32
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent machine within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

type (
	// Settings bound what connections may take.
	Settings struct {
		DialTimeout time.Duration // setting: how long a connection may take to come up
		AckTimeout  time.Duration // setting: how long sent bytes may stay unacknowledged
	}

	// Stats count what the pool did.
	Stats struct {
		Dialed  uint64
		Reused  uint64
		Stale   uint64 // kept connections that turned out to be closed or to hold surplus bytes
		Surplus uint64 // answers of earlier requests that were skipped
	}

	// Pool keeps connections to endpoints.
	Pool struct {
		settings Settings
		dialer   net.Dialer

		mu     sync.Mutex
		idle   map[string][]*Conn
		closed bool
		stats  Stats
	}

	// Conn is one connection; it carries one request at a time.
	Conn struct {
		pool         *Pool
		conn         net.Conn
		raw          syscall.RawConn
		reader       *bufio.Reader
		address      string
		idleDeadline time.Time // when the endpoint may close it while idle
		idleSince    time.Time // when its last answer was whole
		writeResult  chan error
	}
)

// NewPool returns an empty pool and a function that closes its connections.
func NewPool(settings Settings) (*Pool, func()) {
	p := &Pool{settings: settings, idle: map[string][]*Conn{}}
	p.dialer = net.Dialer{
		Timeout: settings.DialTimeout,
		Control: p.setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return p, p.close
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged before the connection fails.
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

// Open returns a connection to the address, a kept one if there is one in good state.
//
// An error wraps willowwick.ErrNotSent and its cause.
func (p *Pool) Open(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
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
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.updateStats(func(s *Stats) { s.Dialed++ })
	c := &Conn{pool: p, conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), address: address}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if c.raw, err = tcp.SyscallConn(); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return c, nil
}

// IsListening finds out by a new connection whether anything still listens at the address; known is false if that did not show
// in time. A connection that comes up is kept for the next request.
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

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// takeIdle takes the connection that was used last: it is the least likely to be closed.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// CloseIdle closes the idle connections to an address whose endpoint is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(conns)
}

// CloseIdleBefore closes the idle connections to an address that have answered nothing since a request was sent there that got no
// answer: they may have fallen silent with that request's. Otherwise each of them would cost a request of its own.
func (p *Pool) CloseIdleBefore(address string, sent time.Time) {
	p.closeIdleWhere(func(at string, c *Conn) bool { return at == address && c.idleSince.Before(sent) })
}

// CloseExpired closes the idle connections that their endpoints are about to close.
func (p *Pool) CloseExpired(now time.Time) {
	p.closeIdleWhere(func(_ string, c *Conn) bool { return !now.Before(c.idleDeadline) })
}

// closeIdleWhere closes the idle connections that are to be closed.
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

// isReusable reports whether the connection is open and holds no bytes that nobody asked for.
func (c *Conn) isReusable(now time.Time) bool {
	if !now.Before(c.idleDeadline) || c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Release gives the connection back after a whole answer, or closes it if it may not be used again.
func (c *Conn) Release(keepAlive string) {
	c.idleSince = clock.Now()
	c.idleDeadline = c.idleSince.Add(parseIdleTime(keepAlive))
	if err := c.conn.SetDeadline(time.Time{}); err != nil || c.reader.Buffered() > 0 || !c.wasWritten() {
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

// Close ends the connection, and with it whatever the endpoint still does for the request.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// parseIdleTime reads the value of Keep-Alive; without one the endpoint may close the connection soon.
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
