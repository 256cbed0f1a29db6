package remote

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// oneResponseServer answers the first request of each connection, and reads the second one without answering.
func oneResponseServer(t *testing.T) (address string, received *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	received = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for served := 0; served < 2; served++ {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					received.Add(1)
					if served == 0 {
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), received
}

// TestNonRepeatableCallIsSentOnce: net/http would retry a GET when a reused connection breaks.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	address, received := oneResponseServer(t)
	client, closeClient := NewServiceClient(nil)
	defer closeClient()
	sent := 0
	for range 6 {
		sent++
		answer, err := client.Call(context.Background(), willowwick.ServiceCall{
			Endpoint: willowwick.Endpoint{Address: address}, Request: "r", Method: http.MethodGet, Path: "/tags/1",
			Header: http.Header{}, Deadline: time.Now().Add(time.Minute),
		})
		if err == nil {
			_, _ = io.ReadAll(answer.Body)
			require.NoError(t, answer.Body.Close())
		}
	}
	require.Equal(t, int32(sent), received.Load())
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client, closeClient := NewServiceClient(nil)
	defer closeClient()
	_, err = client.Call(context.Background(), willowwick.ServiceCall{
		Endpoint: willowwick.Endpoint{Address: listener.Addr().String()}, Method: http.MethodPost, Path: "/x", Header: http.Header{},
	})
	require.ErrorIs(t, err, willowwick.ErrNotSent)
}
