package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

// endlessServer answers with a begin and then with one piece again and again until its client closes the connection.
func endlessServer(t *testing.T, begin, piece string) (address string, sent *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	repeated := []byte(strings.Repeat(piece, 64<<10/len(piece)))
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte(begin))
		for err == nil {
			var n int
			n, err = conn.Write(repeated)
			sent.Add(int64(n))
		}
	}()
	return listener.Addr().String(), sent
}

// Guards against an endpoint whose head never ends filling the memory of the box: what is kept of it is bounded, and its connection
// is closed at once.
func TestHeadWithoutEndIsBroken(t *testing.T) {
	for _, c := range []struct{ name, begin, piece string }{
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no answer", "", "\x00"},
		{"line ends", "", "\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, sent := endlessServer(t, c.begin, c.piece)
			pool, closePool := NewPool(Settings{DialTimeout: time.Second, AckTimeout: time.Second})
			defer closePool()
			conn, err := pool.Open(context.Background(), address)
			require.NoError(t, err)
			require.NoError(t, conn.Send(&Message{Method: "GET", Target: "/", Host: "x"}))
			began := clock.Now()
			deadline := began.Add(2 * time.Second)
			_, err = conn.Receive("GET", deadline, deadline, func(*Answer) bool { return true })
			assert.ErrorIs(t, err, willowwick.ErrBroken)
			assert.Less(t, clock.Since(began), time.Second)
			conn.Close()
			assert.Less(t, sent.Load(), int64(16<<20), "what fits into the buffers of the system")
		})
	}
}

// Guards against heads of many short lines, each of which holds far more than its bytes, filling the memory that answers share.
func TestShortLinesOfAHeadCount(t *testing.T) {
	const lines = 6000
	head := &strings.Builder{}
	for i := range lines {
		fmt.Fprintf(head, "%x:\n", i)
	}
	for limit, isRead := range map[int]bool{lines * headLineBytes: false, lines*headLineBytes + 2*headCopies*MaxHeadBytes: true} {
		pool, closePool := NewPool(Settings{DialTimeout: second, AckTimeout: second, Memory: NewAnswerMemory(limit)})
		address, conns := newPeer(t)
		c, peer := sendOne(t, pool, address, conns, "a")
		go func() {
			_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\nId: a\r\n"+head.String()+"Content-Length: 2\r\n\r\nok")
		}()
		answer, body, err := receive(c, "a")
		if isRead {
			require.NoError(t, err)
			assert.Equal(t, "ok", body)
			assert.Len(t, answer.Header, lines+2)
		} else {
			assert.Error(t, err)
		}
		c.Close()
		closePool()
	}
}

// Guards against lines of the body that came with the head counting as lines of the head.
func TestLinesOfABodyDoNotCount(t *testing.T) {
	var lines headLines
	for _, part := range []string{"HTTP/1.1 200 OK\r\nA: b\r", "\nC: d\r\n", "\r\n", "body\n\nbody\n"} {
		lines.add([]byte(part))
	}
	assert.Equal(t, 4, lines.count)
	assert.True(t, lines.isEnded)
}

// Guards against the limit of a head holding for the body that follows it.
func TestLongBodyFollowsAHead(t *testing.T) {
	body := strings.Repeat("x", 4*MaxHeadBytes)
	conn := pipeConn(t, "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n"+body)
	soon := clock.Now().Add(time.Second)
	answer, err := conn.Receive("GET", soon, soon, func(*Answer) bool { return true })
	require.NoError(t, err)
	got, err := io.ReadAll(answer)
	require.NoError(t, err)
	assert.Len(t, got, len(body))
}

// pipeConn returns a connection on which the bytes arrive, and then the end.
func pipeConn(t testing.TB, data string) *Conn {
	server, client := net.Pipe()
	go func() {
		_, _ = io.Copy(server, bytes.NewReader([]byte(data)))
		_ = server.Close()
	}()
	t.Cleanup(func() { _ = client.Close() })
	pool, closePool := NewPool(Settings{})
	t.Cleanup(closePool)
	return newConn(pool, client, "pipe")
}

// FuzzReceive checks that the reader of heads ends on any bytes, and keeps no more of them than a head may have.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.0 200\r\n\r\nrest", "\r\n\r\n", "\x00\xff", "HTTP/1.1 999999999999 x\r\n: \r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		conn := pipeConn(t, data)
		soon := clock.Now().Add(5 * time.Second)
		answer, err := conn.Receive("GET", soon, soon, func(*Answer) bool { return true })
		if err != nil {
			return
		}
		size := 0
		for name, values := range answer.Header {
			size += len(name) + len(strings.Join(values, ""))
		}
		assert.LessOrEqual(t, size, MaxHeadBytes)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, 1<<20))
		assert.True(t, clock.Now().Before(soon))
	})
}
