package standin

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// proxyBufferBytes is the most a StallingProxy forwards in one write.
const proxyBufferBytes = 4 << 10

// StallingProxy is a loopback proxy whose open connections can stall for good, without a reset, while new ones work.
type StallingProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxiedConn
}

// proxiedConn is both sides of a connection through a StallingProxy.
type proxiedConn struct {
	client, server net.Conn
	stalled        atomic.Bool
}

// NewStallingProxy returns a proxy for the target, host:port, and a function that closes it and its connections.
func NewStallingProxy(target string) (*StallingProxy, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "silencer")
	}
	s := &StallingProxy{listener: listener, target: target}
	go s.accept()
	return s, s.close, nil
}

// Address returns the proxy's address, host:port.
func (s *StallingProxy) Address() string {
	return s.listener.Addr().String()
}

// Stall makes all open connections discard the bytes they read, and returns their number.
func (s *StallingProxy) Stall() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.stalled.Store(true)
	}
	return len(s.conns)
}

// ConnsOpened returns the number of connections ever opened through the proxy.
func (s *StallingProxy) ConnsOpened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *StallingProxy) accept() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", s.target)
		if err != nil {
			slog.Debug("stalling proxy cannot reach its target", "target", s.target, "error", err)
			_ = client.Close()
			continue
		}
		conn := &proxiedConn{client: client, server: server}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go conn.forward(server, client)
		go conn.forward(client, server)
	}
}

// forward copies bytes one way until a side closes, or discards them while the connection is stalled.
func (p *proxiedConn) forward(to, from net.Conn) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.stalled.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (s *StallingProxy) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.client.Close()
		_ = conn.server.Close()
	}
}
