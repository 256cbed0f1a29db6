package fleet

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/clock"
)

const (
	nonceSize        = 16
	handshakeTimeout = 2 * time.Second
	// writeTimeout is how long the peer may read nothing of what is written to it: as long as the longest timeout of
	// a call, since no caller waits for the message after that.
	writeTimeout = callTimeout
	// writeChunkSize is the number of bytes that the peer must read within writeTimeout. A slow link that makes
	// progress isn't cut: 0.25 Mbit/s is enough.
	writeChunkSize = 64 << 10
	// idleTimeout is how long a connection is kept for the next call. In a hall of 200, a given pair of boxes has a
	// gossip exchange about every 200 s (loopInterval), so most calls find an open connection.
	idleTimeout = 4 * time.Minute
	// readTimeout is how long a connection may receive nothing before it is closed: a minute longer than the peer
	// keeps it for its next call, and far longer than a call takes, so that no call uses a connection that is being
	// closed.
	readTimeout = idleTimeout + time.Minute
)

type (
	// Dialer opens connections to other daemons.
	Dialer func(ctx context.Context, address string) (net.Conn, error)

	// Transport calls other daemons and serves their calls, using net/rpc over connections on which both sides have
	// proven that they hold the shared key.
	Transport struct {
		key      []byte
		dial     Dialer
		tls      *tls.Config
		mu       sync.Mutex
		clients  map[string]*peerClient
		accepted map[*peerConn]bool
		closed   bool

		// Sent and Received count bytes on all peer connections.
		Sent     atomic.Uint64
		Received atomic.Uint64
		// Refused counts accepted connections whose handshake failed.
		Refused atomic.Uint64
	}

	// peerClient calls another daemon over one connection.
	peerClient struct {
		*rpc.Client
		conn         *peerConn
		idleDeadline time.Time // when the connection has been idle too long for another call; guarded by the transport's lock
	}

	// peerConn is a connection to another daemon. It counts its bytes and, after the handshake, applies timeouts to
	// reads and writes.
	peerConn struct {
		net.Conn
		raw         net.Conn // underlying connection, without TLS
		transport   *Transport
		hasTimeouts bool
		isClosed    atomic.Bool // a read has failed: the peer has closed it, or this side
	}
)

// ErrBadPeer is returned when the peer fails to prove that it holds the shared key.
var ErrBadPeer = errors.New("peer failed to prove that it holds the shared key")

// NewTransport returns a transport and a function that closes its connections.
func NewTransport(key []byte, dial Dialer, tlsConfig *tls.Config) (*Transport, func()) {
	t := &Transport{
		key: key, dial: dial, tls: tlsConfig,
		clients: map[string]*peerClient{}, accepted: map[*peerConn]bool{},
	}
	return t, t.close
}

func (t *Transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, client := range t.clients {
		_ = client.Close()
	}
	for conn := range t.accepted {
		_ = conn.Close()
	}
	t.clients = map[string]*peerClient{}
}

// Serve answers calls on the listener until it is closed.
func (t *Transport) Serve(listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn, server)
	}
}

func (t *Transport) serveConn(raw net.Conn, server *rpc.Server) {
	conn := &peerConn{Conn: raw, raw: raw, transport: t}
	if t.tls != nil {
		conn.Conn = tls.Server(raw, t.tls)
	}
	if !t.track(conn) {
		return
	}
	defer t.untrack(conn)
	if err := t.handshake(conn, "server", "client"); err != nil {
		t.Refused.Add(1)
		return
	}
	server.ServeConn(conn)
}

func (t *Transport) track(conn *peerConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = conn.Close()
		return false
	}
	t.accepted[conn] = true
	return true
}

func (t *Transport) untrack(conn *peerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, conn)
	_ = conn.Close()
}

// handshake proves to the peer that this side holds the key, and checks that the peer does; after it, reads and
// writes have timeouts.
func (t *Transport) handshake(conn *peerConn, own, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "handshake")
	}
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return errors.Wrap(err, "handshake")
	}
	theirNonce := make([]byte, nonceSize)
	if err := exchangeBytes(conn, nonce, theirNonce); err != nil {
		return errors.Wrap(err, "handshake")
	}
	proof := make([]byte, sha256.Size)
	if err := exchangeBytes(conn, t.handshakeProof(own, theirNonce), proof); err != nil {
		return errors.Wrap(err, "handshake")
	}
	if !hmac.Equal(proof, t.handshakeProof(other, nonce)) {
		return ErrBadPeer
	}
	conn.hasTimeouts = true
	return errors.Wrap(conn.SetDeadline(time.Time{}), "handshake")
}

// exchangeBytes writes and reads concurrently, since the peer does the same.
func exchangeBytes(conn net.Conn, out, in []byte) error {
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(out)
		written <- err
	}()
	_, err := io.ReadFull(conn, in)
	if writeErr := <-written; writeErr != nil {
		return writeErr
	}
	return err
}

func (t *Transport) handshakeProof(role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, t.key)
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// Call invokes a method of the daemon at the address and returns at the latest when the context ends. After an error,
// args and reply may still be in use for a moment.
func (t *Transport) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := t.client(ctx, address)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	// Go blocks while it writes the request, and while other calls write theirs.
	go client.Go(method, args, reply, done)
	select {
	case call := <-done:
		if call.Error == nil {
			return nil
		}
		if _, answered := call.Error.(rpc.ServerError); !answered {
			t.dropClient(address, client)
		}
		return errors.Wrapf(call.Error, "%s at %s", method, address)
	case <-ctx.Done():
		// The client may still write to reply; closing the connection keeps a late response away from it.
		t.dropClient(address, client)
		return errors.Wrapf(ctx.Err(), "%s at %s", method, address)
	}
}

// Ask invokes a method as Call does and returns its reply, the zero value after an error: a late reply may still be written
// to the one that the method was called with.
func Ask[Reply any](ctx context.Context, t *Transport, address, method string, args any) (Reply, error) {
	reply := new(Reply)
	if err := t.Call(ctx, address, method, args, reply); err != nil {
		return *new(Reply), err
	}
	return *reply, nil
}

// client returns the open connection to the address, or dials a new one.
func (t *Transport) client(ctx context.Context, address string) (*peerClient, error) {
	if client := t.idleClient(address, clock.Now()); client != nil {
		return client, nil
	}
	conn, err := t.dialPeer(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	client := &peerClient{Client: rpc.NewClient(conn), conn: conn, idleDeadline: clock.Now().Add(idleTimeout)}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = client.Close()
		return nil, errors.New("transport is closed")
	}
	if other := t.clients[address]; other != nil {
		_ = client.Close()
		return other, nil
	}
	t.clients[address] = client
	return client, nil
}

// idleClient returns the open connection to the address and extends its idle deadline; it returns nil if there is
// none, or if it has expired or the peer has closed it.
func (t *Transport) idleClient(address string, now time.Time) *peerClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	client := t.clients[address]
	if client == nil {
		return nil
	}
	if now.After(client.idleDeadline) || client.conn.isClosed.Load() {
		delete(t.clients, address)
		_ = client.Close()
		return nil
	}
	client.idleDeadline = now.Add(idleTimeout)
	return client
}

// dialPeer dials the address and performs the handshake, until the context ends.
func (t *Transport) dialPeer(ctx context.Context, address string) (*peerConn, error) {
	raw, err := t.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := &peerConn{Conn: raw, raw: raw, transport: t}
	if t.tls != nil {
		conn.Conn = tls.Client(raw, t.tls)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = t.handshake(conn, "client", "server")
	if !stop() {
		return nil, errors.Wrap(ctx.Err(), "handshake")
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (t *Transport) dropClient(address string, client *peerClient) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clients[address] == client {
		delete(t.clients, address)
	}
	_ = client.Close()
}

// Read implements io.Reader; it fails if nothing is received for readTimeout.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil && c.hasTimeouts {
		slog.Debug("peer connection closed", "peer", c.RemoteAddr().String(), "error", err)
		// net/rpc leaves a client's connection open until the next call on it.
		c.isClosed.Store(true)
		_ = c.Close()
	}
	return n, err
}

// read reads within readTimeout. A connection that is closed already may fail before the read, when the deadline is set.
func (c *peerConn) read(p []byte) (int, error) {
	if c.hasTimeouts {
		if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.transport.Received.Add(uint64(n))
	return n, err
}

// Write implements io.Writer; it closes the connection if the peer reads nothing for writeTimeout.
func (c *peerConn) Write(p []byte) (int, error) {
	if !c.hasTimeouts {
		return c.write(p)
	}
	written := 0
	for written < len(p) {
		n, err := c.writeChunk(p[written:min(written+writeChunkSize, len(p))])
		written += n
		if err != nil {
			// Part of a message may have been sent, and net/rpc doesn't close a served connection after a failed
			// reply.
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

func (c *peerConn) writeChunk(piece []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.write(piece)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		slog.Info("peer stopped reading; closing its connection", "peer", c.RemoteAddr().String())
	}
	return n, err
}

func (c *peerConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transport.Sent.Add(uint64(n))
	return n, err
}

// Close closes the underlying connection without a TLS close notification, which would block for up to 5 s if the
// peer doesn't read it.
func (c *peerConn) Close() error {
	return c.raw.Close()
}
