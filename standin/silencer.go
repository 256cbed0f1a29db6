package standin

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// silencerBuffer is how many bytes a Silencer passes on at once.
const silencerBuffer = 4 << 10

// Silencer is a loopback proxy whose open connections can fall silent for good, without a reset, while new ones work.
type Silencer struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open []*silencedPair
}

// silencedPair is a connection through a Silencer, both sides of it.
type silencedPair struct {
	near, far net.Conn
	isSilent  atomic.Bool
}

// NewSilencer returns a proxy in front of the target, host:port, and a function that ends it and its connections.
func NewSilencer(target string) (*Silencer, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "silencer")
	}
	s := &Silencer{listener: listener, target: target}
	go s.accept()
	return s, s.close, nil
}

// Address is where the proxy is reached, host:port.
func (s *Silencer) Address() string {
	return s.listener.Addr().String()
}

// Silence makes all open connections take bytes and pass none on, and returns how many they are.
func (s *Silencer) Silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.open {
		pair.isSilent.Store(true)
	}
	return len(s.open)
}

// Opened is how many connections were ever opened through the proxy.
func (s *Silencer) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *Silencer) accept() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", s.target)
		if err != nil {
			slog.Debug("silencer does not reach its target", "target", s.target, "error", err)
			_ = near.Close()
			continue
		}
		pair := &silencedPair{near: near, far: far}
		s.mu.Lock()
		s.open = append(s.open, pair)
		s.mu.Unlock()
		go pair.pass(far, near)
		go pair.pass(near, far)
	}
}

// pass carries bytes one way until a side ends.
func (p *silencedPair) pass(to, from net.Conn) {
	buffer := make([]byte, silencerBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.isSilent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (s *Silencer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pair := range s.open {
		_ = pair.near.Close()
		_ = pair.far.Close()
	}
}
