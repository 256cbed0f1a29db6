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
	// writeTimeout is how long the other side may take nothing of what is written to it: as long as the longest limit of
	// a call, since nobody waits for the message after that.
	writeTimeout = callTimeout
	// writeChunkSize is the number of bytes that must be taken within it, so that a slow link that makes progress is not cut:
	// 0.25 Mbit/s will do.
	writeChunkSize = 64 << 10
	// idleTimeout is how long a connection is kept for the next call. A box of a hall of 200 swaps digests with each other one
	// about every 200 s (tick), so most calls find their connection.
	idleTimeout = 4 * time.Minute
	// readTimeout is how long a connection may bring nothing before it is closed: a minute longer than the other side
	// keeps it for its next call, far more than a call takes, so that no call meets a connection that is just being closed.
	readTimeout = idleTimeout + time.Minute
)

type (
	// Dialer opens connections to other daemons.
	Dialer func(ctx context.Context, address string) (net.Conn, error)

	// Transport calls other daemons and serves their calls, over net/rpc on
	// connections that both sides have authenticated with the shared key.
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
		// Refused counts connections whose other side did not prove the key.
		Refused atomic.Uint64
	}

	// peerClient calls another daemon over one connection.
	peerClient struct {
		*rpc.Client
		idleDeadline time.Time // when it is too long since the last call; the transport's lock guards it
	}

	// peerConn is a connection to another daemon. It counts its bytes and, once both sides are known, bounds how long
	// it waits for the other side.
	peerConn struct {
		net.Conn
		raw         net.Conn // without TLS
		transport   *Transport
		hasTimeouts bool
	}
)

// ErrBadPeer says that the other side does not hold the shared key.
var ErrBadPeer = errors.New("peer does not hold the shared key")

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

// handshake proves the key to the other side and checks that it has it too; from then on the connection is bounded.
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

// exchangeBytes writes and reads at once, since the other side does the same.
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

// Call runs a method of the daemon at the address, until the context ends; after an error, the arguments and the reply
// may be in use for a moment yet.
func (t *Transport) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := t.client(ctx, address)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	// The client writes before it returns, and waits for the writes of other calls.
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
		// The reply may still be written to by the client; a fresh connection keeps late answers away from it.
		t.dropClient(address, client)
		return errors.Wrapf(ctx.Err(), "%s at %s", method, address)
	}
}

// client returns the kept connection to the address, or opens one.
func (t *Transport) client(ctx context.Context, address string) (*peerClient, error) {
	if client := t.idleClient(address, clock.Now()); client != nil {
		return client, nil
	}
	conn, err := t.dialPeer(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	client := &peerClient{Client: rpc.NewClient(conn), idleDeadline: clock.Now().Add(idleTimeout)}
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

// idleClient returns the connection that is idleClient for the address, if there is one and it was used of late.
func (t *Transport) idleClient(address string, now time.Time) *peerClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	client := t.clients[address]
	if client == nil {
		return nil
	}
	if now.After(client.idleDeadline) {
		delete(t.clients, address)
		_ = client.Close()
		return nil
	}
	client.idleDeadline = now.Add(idleTimeout)
	return client
}

// dialPeer dials the address and shakes hands, until the context ends.
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

// Read implements io.Reader; a connection that brings nothing for silenceLimit is at its end.
func (c *peerConn) Read(p []byte) (int, error) {
	if c.hasTimeouts {
		if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.transport.Received.Add(uint64(n))
	if err != nil && c.hasTimeouts {
		slog.Debug("peer connection ended", "peer", c.RemoteAddr().String(), "error", err)
		// The library leaves a client's connection open until somebody calls over it again.
		_ = c.Close()
	}
	return n, err
}

// Write implements io.Writer; it ends the connection if the other side takes nothing for writeLimit.
func (c *peerConn) Write(p []byte) (int, error) {
	if !c.hasTimeouts {
		return c.write(p)
	}
	written := 0
	for written < len(p) {
		n, err := c.writeChunk(p[written:min(written+writeChunkSize, len(p))])
		written += n
		if err != nil {
			// A part of a message may be out, and the library does not close what it serves after a failed reply.
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
		slog.Info("peer takes nothing any more; its connection is closed", "peer", c.RemoteAddr().String())
	}
	return n, err
}

func (c *peerConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transport.Sent.Add(uint64(n))
	return n, err
}

// Close ends the connection without a word to the other side: TLS would wait up to 5 s for a silent one to take it.
func (c *peerConn) Close() error {
	return c.raw.Close()
}
