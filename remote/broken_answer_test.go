package remote

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// resettingServer answers with neither length nor chunks before it has read the request's body, and resets the connection.
func resettingServer(t *testing.T, pause time.Duration) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(pause)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// An answer of a service without length or chunks looked complete when a write of its request had received the reset.
func TestAnswerWithoutLengthThatIsResetWhileItsRequestIsWrittenIsNeverComplete(t *testing.T) {
	const plays = 20
	client, closeClient := NewServiceClient((&net.Dialer{}).DialContext)
	defer closeClient()
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		address, complete := resettingServer(t, pause), 0
		for range plays {
			answer, err := client.Call(context.Background(), willowwick.ServiceCall{
				Endpoint: willowwick.Endpoint{Address: address}, Request: "r", Method: http.MethodPost, Path: "/",
				Header: http.Header{}, Body: []byte(strings.Repeat("x", 8<<20)), Deadline: time.Now().Add(time.Minute),
			})
			if err != nil {
				continue
			}
			if _, err = io.ReadAll(answer.Body); err == nil {
				complete++
			}
			_ = answer.Body.Close()
		}
		assert.Zero(t, complete, "of %d after %s", plays, pause)
	}
}
