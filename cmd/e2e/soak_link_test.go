package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	linkClear linkState = iota
	// linkSlow delays each piece of data on its way.
	linkSlow
	// linkReset resets what is open and what comes.
	linkReset
	// linkSilent takes connections and passes nothing either way.
	linkSilent
	// linkDeafServer passes nothing on to the server.
	linkDeafServer
	// linkDeafClient passes nothing back to the client.
	linkDeafClient
)

const (
	linkDelay  = 60 * time.Millisecond
	linkPoll   = 5 * time.Millisecond
	linkBuffer = 16 << 10
)

type (
	// linkState is what a loopback proxy does to the connections through it.
	linkState int

	// link is a loopback proxy in front of a server; the programs on either side know nothing of it.
	link struct {
		address string
		target  string

		mu    sync.Mutex
		state linkState
		conns map[net.Conn]bool
	}
)

// linkFaults are the states that a soak draws from; its seeds go by their order.
var linkFaults = []linkState{linkSlow, linkReset, linkSilent, linkDeafServer, linkDeafClient}

var linkNames = map[linkState]string{
	linkClear: "clear", linkSlow: "slow", linkReset: "reset", linkSilent: "silent",
	linkDeafServer: "one way, to the client", linkDeafClient: "one way, to the server",
}

func newLink(t *testing.T, target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{address: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		l.set(linkReset)
	})
	return l
}

// set changes the state; a reset ends what is open.
func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	if state != linkReset {
		return
	}
	for conn := range l.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) current() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *link) track(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = true
	} else {
		delete(l.conns, conn)
	}
}

func (l *link) carry(client net.Conn) {
	if l.current() == linkReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(client)
		return
	}
	l.track(client, true)
	l.track(server, true)
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(server, client, linkDeafServer) })
	pumps.Go(func() { l.pump(client, server, linkDeafClient) })
	pumps.Wait()
	l.track(client, false)
	l.track(server, false)
}

// pump passes data one way; it holds them back while the link is silent, or deaf in this direction.
func (l *link) pump(to, from net.Conn, deaf linkState) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.hold(deaf)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		l.hold(deaf)
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

func (l *link) hold(deaf linkState) {
	for {
		switch state := l.current(); state {
		case linkSilent, deaf:
			time.Sleep(linkPoll)
		case linkSlow:
			time.Sleep(linkDelay)
			return
		default:
			return
		}
	}
}
