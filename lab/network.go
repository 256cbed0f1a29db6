package lab

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/remote"
)

type (
	// Network connects the parts of a lab.
	Network interface {
		// Listen opens a listener for a host, such as "box1".
		Listen(host string) (net.Listener, error)
		// Dial returns the dial function of a host.
		Dial(host string) remote.DialFunc
	}

	// Loopback is the machine's loopback network.
	Loopback struct{}

	// MemoryNetwork is an in-process network whose links can be cut.
	MemoryNetwork struct {
		mu        sync.Mutex
		listeners map[string]*memoryListener
		ports     int
		cuts      map[link]bool
		conns     map[*memoryConn]bool
	}

	// link is an unordered pair of hosts, stored in sorted order.
	link struct {
		low, high string
	}

	memoryListener struct {
		memory  *MemoryNetwork
		address string
		accept  chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}

	memoryConn struct {
		net.Conn
		memory *MemoryNetwork
		link   link
	}

	memoryAddr string
)

var errLinkCut = errors.New("link is cut")

// Listen implements Network.
func (Loopback) Listen(string) (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// Dial implements Network.
func (Loopback) Dial(string) remote.DialFunc {
	return (&net.Dialer{Timeout: 2 * time.Second}).DialContext
}

// NewMemoryNetwork returns a network without cut links.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: map[string]*memoryListener{}, cuts: map[link]bool{}, conns: map[*memoryConn]bool{}}
}

func newLink(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{low: a, high: b}
}

// Cut cuts the link between two hosts and closes all connections on it.
func (m *MemoryNetwork) Cut(a, b string) {
	m.mu.Lock()
	m.cuts[newLink(a, b)] = true
	var broken []*memoryConn
	for conn := range m.conns {
		if conn.link == newLink(a, b) {
			broken = append(broken, conn)
		}
	}
	m.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

// Heal restores the link between two hosts.
func (m *MemoryNetwork) Heal(a, b string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.cuts, newLink(a, b))
}

// Listen implements Network.
func (m *MemoryNetwork) Listen(host string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ports++
	l := &memoryListener{
		memory: m, address: net.JoinHostPort(host, itoa(m.ports)),
		accept: make(chan net.Conn), closed: make(chan struct{}),
	}
	m.listeners[l.address] = l
	return l, nil
}

// Dial implements Network.
func (m *MemoryNetwork) Dial(host string) remote.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := m.connect(ctx, host, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Addr: memoryAddr(address), Err: err}
		}
		return conn, nil
	}
}

func (m *MemoryNetwork) connect(ctx context.Context, host, address string) (net.Conn, error) {
	target, _, _ := strings.Cut(address, ":")
	m.mu.Lock()
	listener := m.listeners[address]
	cut := m.cuts[newLink(host, target)]
	m.mu.Unlock()
	if cut {
		return nil, errLinkCut
	}
	if listener == nil {
		return nil, syscall.ECONNREFUSED
	}
	clientPipe, serverPipe := net.Pipe()
	clientConn := m.track(clientPipe, newLink(host, target))
	serverConn := m.track(serverPipe, newLink(host, target))
	select {
	case listener.accept <- serverConn:
		return clientConn, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *MemoryNetwork) track(conn net.Conn, on link) *memoryConn {
	tracked := &memoryConn{Conn: conn, memory: m, link: on}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[tracked] = true
	return tracked
}

// Write implements net.Conn.
func (c *memoryConn) Write(p []byte) (int, error) {
	c.memory.mu.Lock()
	cut := c.memory.cuts[c.link]
	c.memory.mu.Unlock()
	if cut {
		return 0, errLinkCut
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.memory.mu.Lock()
	delete(c.memory.conns, c)
	c.memory.mu.Unlock()
	return c.Conn.Close()
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.memory.mu.Lock()
		delete(l.memory.listeners, l.address)
		l.memory.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

// Network implements net.Addr.
func (memoryAddr) Network() string {
	return "memory"
}

// String implements net.Addr.
func (a memoryAddr) String() string {
	return string(a)
}
