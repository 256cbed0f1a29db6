package fleet

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// largeMessage is more than a silentLink takes in, so that the writer of it waits for a reader.
	largeMessage = 1 << 20
	// testCallTimeout is the limit of calls here, and callEnds how long such a call may take in all.
	testCallTimeout = 100 * time.Millisecond
	maxCallDuration = time.Second
	// unreadMessageWait is well longer than any limit of a call, and the most that a message may wait to be taken.
	unreadMessageWait = 5 * time.Second
	// longIdle is longer than any connection may be silent.
	longIdle = 10 * time.Minute
)

type (
	// echoService answers with what it is sent, or with a large message.
	echoService struct{}

	// stallableLink leads from a dialer to a listener. Silenced, its connections take in one more read each and pass
	// nothing on, not even their end; those that are dialed later work.
	stallableLink struct {
		accept   chan net.Conn
		closed   chan struct{}
		mu       sync.Mutex
		conns    []*stallableConn
		stallNew atomic.Bool // new connections are silent from the first
	}

	stallableConn struct {
		near, far               net.Conn      // the link's own ends
		farStalled, nearStalled atomic.Bool   // whether the way is silent
		released                chan struct{} // closed at the end
	}
)

// Echo answers with what it is sent.
func (echoService) Echo(args []byte, reply *[]byte) error {
	*reply = args
	return nil
}

// Large answers with a large message.
func (echoService) Large(_ []byte, reply *[]byte) error {
	*reply = make([]byte, largeMessage)
	return nil
}

func (l *stallableLink) dial(ctx context.Context, _ string) (net.Conn, error) {
	own, near := net.Pipe()
	far, other := net.Pipe()
	conn := &stallableConn{near: near, far: far, released: make(chan struct{})}
	conn.farStalled.Store(l.stallNew.Load())
	conn.nearStalled.Store(l.stallNew.Load())
	select {
	case l.accept <- other:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	l.mu.Unlock()
	go conn.forward(&conn.farStalled, near, far)
	go conn.forward(&conn.nearStalled, far, near)
	return own, nil
}

// forward copies bytes, and the end of the connection, until the way is silenced.
func (c *stallableConn) forward(silent *atomic.Bool, from, to net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			<-c.released
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// stall makes the present connections silent for good.
func (l *stallableLink) stall() {
	l.stallReplies()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.farStalled.Store(true)
	}
}

// stallReplies makes only the way back to the dialer silent.
func (l *stallableLink) stallReplies() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.nearStalled.Store(true)
	}
}

// dialCount is the number of connections so far.
func (l *stallableLink) dialCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept implements net.Listener.
func (l *stallableLink) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *stallableLink) Close() error {
	close(l.closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		close(conn.released)
		_ = conn.near.Close()
		_ = conn.far.Close()
	}
	return nil
}

// Addr implements net.Listener.
func (*stallableLink) Addr() net.Addr {
	return &net.TCPAddr{}
}

// withStallableLink runs a test with a transport that calls another over a link that can be silenced.
func withStallableLink(t *testing.T, tlsConfig *tls.Config, test func(caller, server *Transport, link *stallableLink)) {
	link := &stallableLink{accept: make(chan net.Conn), closed: make(chan struct{})}
	caller, closeCaller := NewTransport([]byte("key"), link.dial, tlsConfig)
	server, closeServer := NewTransport([]byte("key"), nil, tlsConfig)
	calls := rpc.NewServer()
	require.NoError(t, calls.RegisterName("Test", echoService{}))
	go server.Serve(link, calls)
	defer func() {
		_ = link.Close()
		closeCaller()
		closeServer()
	}()
	test(caller, server, link)
}

// startCall makes a call with a limit; the channel tells when it has ended.
func startCall(caller *Transport, limit time.Duration, method string, args []byte) chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		var reply []byte
		ended <- caller.Call(ctx, "box", "Test."+method, args, &reply)
	}()
	return ended
}

// waitForCall waits for a call and returns its error.
func waitForCall(t *testing.T, ended chan error, limit time.Duration, what string) error {
	t.Helper()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		require.Fail(t, "a call has not ended", what)
		return nil
	}
}

func requireCallSucceeds(t *testing.T, caller *Transport) {
	t.Helper()
	require.NoError(t, waitForCall(t, startCall(caller, unreadMessageWait, "Echo", []byte("hello")), maxCallDuration, "a small call"))
}

func (t *Transport) acceptedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.accepted)
}

// Seen in a review: a box that sent a large configuration to another never swapped with that box again. Its connection
// had gone silent with the send buffer full; the call wrote the message before it looked at its context, and the
// write had no limit, so the swap stayed under way for ever, and calls behind it waited for the client's lock.
func TestCallReturnsAtDeadlineWhenPeerStopsReading(t *testing.T) {
	withStallableLink(t, nil, func(caller, _ *Transport, link *stallableLink) {
		requireCallSucceeds(t, caller)
		link.stall()
		large := startCall(caller, testCallTimeout, "Echo", make([]byte, largeMessage))
		time.Sleep(testCallTimeout / 4)
		behind := startCall(caller, testCallTimeout, "Echo", []byte("small"))
		require.Error(t, waitForCall(t, large, maxCallDuration, "one whose message is not taken"))
		require.Error(t, waitForCall(t, behind, maxCallDuration, "one behind it"))
		requireCallSucceeds(t, caller)
		assert.Equal(t, 2, link.dialCount(), "the silent connection is given up")
	})
}

// A new connection that was silent from the first held its call for the limit of the handshake, beyond the call's own.
func TestCallReturnsAtDeadlineDuringHandshake(t *testing.T) {
	withStallableLink(t, nil, func(caller, _ *Transport, link *stallableLink) {
		link.stallNew.Store(true)
		err := waitForCall(t, startCall(caller, testCallTimeout, "Echo", nil), maxCallDuration, "one whose handshake is not answered")
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// Replies were written without a limit: a caller that took nothing any more held the connection, and the memory of all
// replies that waited for it, for ever.
func TestUnreadReplyClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withStallableLink(t, nil, func(caller, server *Transport, link *stallableLink) {
			requireCallSucceeds(t, caller)
			link.stallReplies()
			ended := startCall(caller, unreadMessageWait, "Large", nil)
			time.Sleep(testCallTimeout)
			link.stall()
			require.Error(t, waitForCall(t, ended, 2*unreadMessageWait, "one whose reply is lost"))
			time.Sleep(unreadMessageWait)
			assert.Zero(t, server.acceptedCount(), "accepted connections")
		})
	})
}

// A connection that had gone silent was kept for ever on the side that only answers, and its reader on the other.
func TestStalledConnectionIsClosedOnBothSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withStallableLink(t, nil, func(caller, server *Transport, link *stallableLink) {
			requireCallSucceeds(t, caller)
			link.stall()
			time.Sleep(longIdle)
			assert.Zero(t, server.acceptedCount(), "accepted connections")
			// A pipe takes a deadline as long as neither end is closed.
			err := link.conns[0].near.SetWriteDeadline(time.Time{})
			assert.ErrorIs(t, err, io.ErrClosedPipe, "the caller has closed its end")
			// The next call does not find out only by its own limit.
			requireCallSucceeds(t, caller)
		})
	})
}

// A connection in use is not closed between two calls, however many minutes they are spread over.
func TestConnectionIsReusedBetweenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withStallableLink(t, nil, func(caller, _ *Transport, link *stallableLink) {
			for range 10 {
				requireCallSucceeds(t, caller)
				time.Sleep(3 * time.Minute)
			}
			assert.Equal(t, 1, link.dialCount())
		})
	})
}

// Closing a TLS connection says so to the other side first, for up to 5 s if that takes nothing; the transport closed
// under its lock, so that calls to all other boxes waited.
func TestClosingStalledTLSConnectionDoesNotBlockOtherCalls(t *testing.T) {
	withStallableLink(t, selfSigned(t), func(caller, _ *Transport, link *stallableLink) {
		requireCallSucceeds(t, caller)
		link.stall()
		// The link takes the call in, but not the word of the end after it.
		ended := startCall(caller, testCallTimeout, "Echo", []byte("small"))
		require.Error(t, waitForCall(t, ended, maxCallDuration, "one on a silent connection"))
		requireCallSucceeds(t, caller)
	})
}

func selfSigned(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate := tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, InsecureSkipVerify: true}
}
