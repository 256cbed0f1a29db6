package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// RawServer writes the bytes of its answers itself, and ends the connection after each.
type RawServer struct {
	Address  string // host:port
	answer   func(*http.Request) string
	requests atomic.Int64
}

// NewRawServer starts a server on a loopback address, and returns a function that stops it.
func NewRawServer(answer func(*http.Request) string) (*RawServer, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "raw server")
	}
	server, stop := ServeRaw(listener, answer)
	return server, stop, nil
}

// ServeRaw is NewRawServer for a listener, which the returned function closes.
func ServeRaw(listener net.Listener, answer func(*http.Request) string) (*RawServer, func()) {
	s := &RawServer{Address: listener.Addr().String(), answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, func() { _ = listener.Close() }
}

// Requests returns how many requests were received.
func (s *RawServer) Requests() int64 { return s.requests.Load() }

func (s *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(conn, s.answer(request))
}
