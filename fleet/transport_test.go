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
	// largeMessage is more than a stalled stallableLink accepts, so that writing it blocks.
	largeMessage = 1 << 20
	// testCallTimeout is the timeout of calls, and maxCallDuration the time within which such a call must return.
	testCallTimeout = 100 * time.Millisecond
	maxCallDuration = time.Second
	// unreadMessageWait exceeds every call timeout and the time that a message may stay unread.
	unreadMessageWait = 5 * time.Second
	// longIdle exceeds the time that a connection may be silent.
	longIdle = 10 * time.Minute
)

type (
	// echoService echoes its argument, or returns a large message.
	echoService struct{}

	// stallableLink connects a dialer to a listener. Once stalled, each of its connections accepts one more read and
	// forwards nothing, not even the close; connections dialed later work.
	stallableLink struct {
		accept   chan net.Conn
		closed   chan struct{}
		mu       sync.Mutex
		conns    []*stallableConn
		stallNew atomic.Bool // new connections are stalled from the start
	}

	stallableConn struct {
		near, far               net.Conn      // the link's own ends of the two pipes
		farStalled, nearStalled atomic.Bool   // whether the direction is stalled
		released                chan struct{} // closed when the link is closed
	}
)

// Echo returns its argument.
func (echoService) Echo(args []byte, reply *[]byte) error {
	*reply = args
	return nil
}

// Large returns a large message.
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

// forward copies bytes, and the close of the connection, until the direction is stalled.
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

// stall stalls the present connections for good.
func (l *stallableLink) stall() {
	l.stallReplies()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.farStalled.Store(true)
	}
}

// stallReplies stalls only the direction towards the dialer.
func (l *stallableLink) stallReplies() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.nearStalled.Store(true)
	}
}

// dialCount returns the number of connections dialed so far.
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

// withStallableLink runs a test with a transport that calls another over a link that can be stalled.
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

// startCall starts a call with a timeout; its error is sent on the channel when it returns.
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

// waitForCall waits for a call and returns its error; it fails the test if the call takes longer than limit.
func waitForCall(t *testing.T, ended chan error, limit time.Duration, what string) error {
	t.Helper()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		require.Fail(t, "call did not return in time", what)
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

// A box that sent a large configuration to another never had a gossip exchange with that box again. The connection
// had stalled with a full send buffer; the call wrote the message before it checked its context, and the write had no
// timeout, so the exchange never ended and later calls blocked on the client's lock.
func TestCallReturnsAtDeadlineWhenPeerStopsReading(t *testing.T) {
	withStallableLink(t, nil, func(caller, _ *Transport, link *stallableLink) {
		requireCallSucceeds(t, caller)
		link.stall()
		large := startCall(caller, testCallTimeout, "Echo", make([]byte, largeMessage))
		time.Sleep(testCallTimeout / 4)
		behind := startCall(caller, testCallTimeout, "Echo", []byte("small"))
		require.Error(t, waitForCall(t, large, maxCallDuration, "a call whose message is not read"))
		require.Error(t, waitForCall(t, behind, maxCallDuration, "a call queued behind it"))
		requireCallSucceeds(t, caller)
		assert.Equal(t, 2, link.dialCount(), "the stalled connection must be dropped")
	})
}

// A call over a new connection whose peer never responded lasted for the handshake timeout, beyond its own timeout.
func TestCallReturnsAtDeadlineDuringHandshake(t *testing.T) {
	withStallableLink(t, nil, func(caller, _ *Transport, link *stallableLink) {
		link.stallNew.Store(true)
		err := waitForCall(t, startCall(caller, testCallTimeout, "Echo", nil), maxCallDuration, "a call whose handshake gets no response")
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// Replies were written without a timeout: a caller that stopped reading kept the connection, and the memory of all
// replies queued for it, forever.
func TestUnreadReplyClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withStallableLink(t, nil, func(caller, server *Transport, link *stallableLink) {
			requireCallSucceeds(t, caller)
			link.stallReplies()
			ended := startCall(caller, unreadMessageWait, "Large", nil)
			time.Sleep(testCallTimeout)
			link.stall()
			require.Error(t, waitForCall(t, ended, 2*unreadMessageWait, "a call whose reply is lost"))
			time.Sleep(unreadMessageWait)
			assert.Zero(t, server.acceptedCount(), "accepted connections")
		})
	})
}

// A stalled connection was kept forever on the side that only serves calls, and so was its reader on the other side.
func TestStalledConnectionIsClosedOnBothSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withStallableLink(t, nil, func(caller, server *Transport, link *stallableLink) {
			requireCallSucceeds(t, caller)
			link.stall()
			time.Sleep(longIdle)
			assert.Zero(t, server.acceptedCount(), "accepted connections")
			// A pipe accepts a deadline while neither end is closed.
			err := link.conns[0].near.SetWriteDeadline(time.Time{})
			assert.ErrorIs(t, err, io.ErrClosedPipe, "the caller must close its end")
			// The next call must not have to time out on the stalled connection.
			requireCallSucceeds(t, caller)
		})
	})
}

// A connection that is used every few minutes must not be closed between two calls.
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

// Closing a TLS connection first sends a notification, for up to 5 s if the peer doesn't read it. The transport
// closed connections while holding its lock, so that calls to all other boxes blocked.
func TestClosingStalledTLSConnectionDoesNotBlockOtherCalls(t *testing.T) {
	withStallableLink(t, selfSigned(t), func(caller, _ *Transport, link *stallableLink) {
		requireCallSucceeds(t, caller)
		link.stall()
		// The link accepts the call, but not the close notification after it.
		ended := startCall(caller, testCallTimeout, "Echo", []byte("small"))
		require.Error(t, waitForCall(t, ended, maxCallDuration, "a call on a stalled connection"))
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

// Guards against a call that fails because the daemon, started again since, had closed the idle connection: the caller then
// waited a second and more before the next one.
func TestCallOpensAConnectionInPlaceOfOneThatWasClosedWhileIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withStallableLink(t, nil, func(caller, _ *Transport, link *stallableLink) {
			requireCallSucceeds(t, caller)
			require.NoError(t, link.conns[0].near.Close())
			time.Sleep(time.Second)
			requireCallSucceeds(t, caller)
			assert.Equal(t, 2, link.dialCount())
		})
	})
}

// Guards against a data race: a call that had timed out returned the reply that was still being written.
func TestAskReturnsNoReplyThatMayStillBeWritten(t *testing.T) {
	withStallableLink(t, nil, func(caller, _ *Transport, _ *stallableLink) {
		requireCallSucceeds(t, caller)
		for n := range 3000 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10+n%300)*time.Microsecond)
			reply, err := Ask[[]byte](ctx, caller, "box", "Test.Echo", []byte("hello"))
			cancel()
			if err != nil {
				assert.Empty(t, reply)
			}
		}
	})
}
