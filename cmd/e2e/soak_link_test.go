package e2e

import (
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	linkClear linkState = iota
	// linkSlow delays each chunk of data by linkDelay.
	linkSlow
	// linkReset resets open and new connections.
	linkReset
	// linkSilent accepts connections and forwards nothing in either direction.
	linkSilent
	// linkToServerBlocked forwards nothing to the server.
	linkToServerBlocked
	// linkToClientBlocked forwards nothing to the client.
	linkToClientBlocked
	// linkLossy drops what is sent and permanently silences the connection it is sent on.
	linkLossy
)

const (
	linkDelay        = 60 * time.Millisecond
	linkPollInterval = 5 * time.Millisecond
	linkBufferSize   = 16 << 10
)

type (
	// linkState is how a loopback proxy treats the connections through it.
	linkState int

	// link is a loopback proxy in front of a server, transparent to the programs on either side.
	link struct {
		listenAddress string
		serverAddress string
		close         func() // stops accepting and resets open connections, as if the server were gone
		refuse        func() // stops accepting; open connections go on

		mu     sync.Mutex
		state  linkState
		conns  map[*linkConn]bool
		opened int
	}

	// linkConn is a connection through a link.
	linkConn struct {
		number         int // counts the link's connections from 0
		client, server net.Conn

		isAwaitingReply atomic.Bool // the client has sent data that the server has not answered
		isSilenced      atomic.Bool // it stays open and forwards nothing more in either direction
	}
)

// linkFaults are the states that a soak draws from. Seeds depend on their order.
var linkFaults = []linkState{linkSlow, linkReset, linkSilent, linkToServerBlocked, linkToClientBlocked, linkLossy}

var linkNames = map[linkState]string{
	linkClear: "clear", linkSlow: "slow", linkReset: "reset", linkSilent: "silent",
	linkToServerBlocked: "one way, to the client", linkToClientBlocked: "one way, to the server", linkLossy: "lossy",
}

func newLink(t *testing.T, serverAddress string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{listenAddress: listener.Addr().String(), serverAddress: serverAddress, conns: map[*linkConn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.proxy(conn)
		}
	}()
	l.refuse = func() { _ = listener.Close() }
	l.close = func() {
		l.refuse()
		l.set(linkReset)
		l.resetOpen(func(*linkConn) bool { return true })
	}
	t.Cleanup(l.close)
	return l
}

// set changes the state. linkReset resets the open connections except the silenced ones: on those, no reset gets through
// either.
func (l *link) set(state linkState) {
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	if state == linkReset {
		l.resetOpen(func(c *linkConn) bool { return !c.isSilenced.Load() })
	}
}

func (l *link) resetOpen(matches func(*linkConn) bool) {
	for _, c := range l.open() {
		if matches(c) {
			reset(c.client)
			reset(c.server)
		}
	}
}

// silence permanently silences the matching open connections without a reset. New connections follow the link's state.
func (l *link) silence(matches func(*linkConn) bool) {
	for _, c := range l.open() {
		if matches(c) {
			c.isSilenced.Store(true)
		}
	}
}

// open lists the connections that are not yet closed by both sides.
func (l *link) open() []*linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) currentState() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *link) track(client, server net.Conn) *linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &linkConn{number: l.opened, client: client, server: server}
	l.opened++
	l.conns[c] = true
	return c
}

func (l *link) untrack(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *link) proxy(client net.Conn) {
	if l.currentState() == linkReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", l.serverAddress)
	if err != nil {
		reset(client)
		return
	}
	c := l.track(client, server)
	defer l.untrack(c)
	var copying sync.WaitGroup
	copying.Go(func() { l.forward(c, server, client, linkToServerBlocked) })
	copying.Go(func() { l.forward(c, client, server, linkToClientBlocked) })
	copying.Wait()
	_ = client.Close() // both directions have ended
	_ = server.Close()
}

// forward copies data in one direction. It holds data back while the link is silent or in blockedState. On a silenced
// connection it forwards nothing, not even the end of the stream.
func (l *link) forward(c *linkConn, to, from net.Conn, blockedState linkState) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		if !l.awaitForwarding(c, blockedState) {
			_, _ = io.Copy(io.Discard, from) // until the sender closes it
			return
		}
		c.isAwaitingReply.Store(from == c.client)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			reset(to)
			reset(from)
			return
		}
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return
	}
}

// awaitForwarding waits while the link holds data back, and reports whether the data may then be forwarded.
func (l *link) awaitForwarding(c *linkConn, blockedState linkState) bool {
	for !c.isSilenced.Load() {
		switch state := l.currentState(); state {
		case linkSilent, blockedState:
			time.Sleep(linkPollInterval)
		case linkSlow:
			time.Sleep(linkDelay)
			return !c.isSilenced.Load()
		case linkLossy:
			c.isSilenced.Store(true)
		default:
			return true
		}
	}
	return false
}
