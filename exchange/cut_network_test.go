package exchange

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The ways in which a box is cut off from all endpoints.
const (
	// cutNowhere: the box reaches them.
	cutNowhere cutForm = "none"
	// cutSilent: open connections fall silent, and new ones get no answer.
	cutSilent cutForm = "silent"
	// cutReset: open connections are reset, and new ones are refused.
	cutReset cutForm = "reset"
	// cutNew: open connections live on, and new ones are refused.
	cutNew cutForm = "new connections refused"
)

type (
	cutForm string

	// cutNetwork opens a box's connections to endpoints, until it cuts the box off.
	cutNetwork struct {
		mu    sync.Mutex
		form  cutForm
		since time.Time
		conns []*cutConn
	}

	// cutConn is a connection of a cutNetwork.
	cutConn struct {
		net.Conn
		network *cutNetwork
		closed  chan struct{}
		once    sync.Once

		mu       sync.Mutex
		deadline time.Time // of reads
		isSilent bool      // for ever
	}
)

func (n *cutNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	form := n.form
	n.mu.Unlock()
	switch form {
	case cutSilent:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	case cutReset, cutNew:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: conn, network: n, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// cut cuts the box off, or ends that.
func (n *cutNetwork) cut(form cutForm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.form, n.since = form, time.Now()
	for _, c := range n.conns {
		switch form {
		case cutSilent:
			c.silence()
		case cutReset:
			_ = c.Close()
		}
	}
}

// silence makes the connection silent, and wakes its reader.
func (c *cutConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSilent = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *cutConn) readDeadline() (deadline time.Time, isSilent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, c.isSilent
}

// Read implements net.Conn; a silent connection fails once its machine counts as gone.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	deadline, isSilent := c.readDeadline()
	if !isSilent {
		return n, err
	}
	gone := time.NewTimer(unackedTimeout)
	defer gone.Stop()
	var atDeadline <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		atDeadline = timer.C
	}
	select {
	case <-gone.C:
		return 0, syscall.ETIMEDOUT
	case <-atDeadline:
		return 0, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Write implements net.Conn; what is written to a silent connection is lost.
func (c *cutConn) Write(p []byte) (int, error) {
	if _, isSilent := c.readDeadline(); isSilent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *cutConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.isSilent {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *cutConn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// Close implements net.Conn; the other end sees a reset.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}
