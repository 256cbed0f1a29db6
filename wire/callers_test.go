package wire

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockedConn returns its bytes only once it is released, like a read that races with a close.
type blockedConn struct {
	net.Conn
	release chan struct{}
}

func (c *blockedConn) Read(p []byte) (int, error) {
	<-c.release
	return copy(p, "GET / HTTP/1.1\r\n\r\n"), nil
}

func (c *blockedConn) Close() error { return nil }

// singleConnListener accepts one connection.
type singleConnListener struct {
	net.Listener
	conn net.Conn
}

func (l *singleConnListener) Accept() (net.Conn, error) { return l.conn, nil }

func acceptBlocked(t *testing.T) (*CallerListener, *callerConn, chan struct{}) {
	t.Helper()
	release := make(chan struct{})
	l := NewCallerListener(&singleConnListener{conn: &blockedConn{release: release}}, nil)
	conn, err := l.Accept()
	require.NoError(t, err)
	return l, conn.(*callerConn), release
}

// A stopping box accepted a request from an idle connection, sent it on, and then closed the connection.
func TestRequestThatRacesWithTheCloseOfItsConnectionIsNotAccepted(t *testing.T) {
	l, conn, release := acceptBlocked(t)
	read := make(chan error, 1)
	go func() {
		n, err := conn.Read(make([]byte, 64))
		assert.Zero(t, n)
		read <- err
	}()
	assert.Zero(t, l.Retire(t.Context(), 0))
	close(release)
	assert.ErrorIs(t, <-read, net.ErrClosed)
	assert.Zero(t, l.busyConns.Load())
}

func TestConnectionWithARequestIsNotRetired(t *testing.T) {
	l, conn, release := acceptBlocked(t)
	close(release)
	n, err := conn.Read(make([]byte, 64))
	require.NoError(t, err)
	require.NotZero(t, n)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, 1, l.Retire(ended, 0), "the busy connection is waited for until the context ends")
	l.TrackState(conn, http.StateIdle)
	assert.Zero(t, l.Retire(t.Context(), 0))
}

// A connection that was just in use gets its next request soon, which a stopping box refuses.
func TestConnectionIsRetiredOnlyOnceIdleForATime(t *testing.T) {
	l, conn, release := acceptBlocked(t)
	close(release)
	_, err := conn.Read(make([]byte, 64))
	require.NoError(t, err)
	l.TrackState(conn, http.StateIdle)
	idleSince := time.Unix(0, conn.idleSince.Load())
	assert.Equal(t, 1, l.retireIdle(idleSince.Add(time.Second-time.Nanosecond), time.Second))
	assert.Zero(t, l.retireIdle(idleSince.Add(time.Second), time.Second))
}

// Each answer that a stopping box has begun reaches its caller; other callers see a closed connection, and nothing
// of their requests was run.
func TestShutdownAnswersEachAcceptedRequest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := NewCallerListener(inner, nil)
	taken := make(chan struct{}, 1)
	server := &http.Server{ReadHeaderTimeout: time.Second, ConnState: l.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		taken <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	answer := make(chan string, 1)
	go func() {
		got, err := http.Get("http://" + inner.Addr().String())
		if !assert.NoError(t, err) {
			answer <- ""
			return
		}
		defer got.Body.Close()
		body, _ := io.ReadAll(got.Body)
		answer <- string(body)
	}()
	<-taken
	require.NoError(t, l.Listener.Close())
	assert.Zero(t, l.Retire(t.Context(), 0))
	assert.Equal(t, "whole", <-answer)
}
