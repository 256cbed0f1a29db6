package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

type (
	// Transport is an http.Transport that returns a BrokenHeadError for answers whose heads HTTP doesn't allow: http.Transport itself takes
	// statuses and fields that there are none of.
	Transport struct {
		*http.Transport
	}

	// checkedConn is a connection of a Transport that checks the heads that it reads.
	checkedConn struct {
		net.Conn
		mu   sync.Mutex
		head *answerHeads // of the newest request; nil before the first
	}

	// answerHeads are the heads of the answer to one request, of which the last one isn't informational; its connection's lock guards them.
	answerHeads struct {
		conn     *checkedConn
		lines    headLines // of the newest head; ended once all of them have arrived
		isSent   bool      // a part of the request was written
		hasBegun bool      // a byte of them was read
		isEarly  bool      // their first byte was read before the request was sent
	}
)

// errUnexpectedAnswer is returned for an answer that arrived before its request was sent.
var errUnexpectedAnswer = errors.Wrap(willowwick.ErrBroken, "an answer arrived before its request was sent")

// CheckHeads returns a transport that checks heads and is otherwise like the given one, which must not be used any more.
func CheckHeads(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	settings := transport.TLSClientConfig
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialTLS(ctx, dial, network, address, settings)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return &Transport{transport}
}

// dialTLS opens a TLS connection by HTTP/1.1, whose heads can be checked.
func dialTLS(ctx context.Context, dial DialFunc, network, address string, settings *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	settings = settings.Clone()
	if settings == nil {
		settings = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if settings.ServerName == "" {
		settings.ServerName = host
	}
	secure := tls.Client(conn, settings)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	// Another connection, and so other heads, follow if the first one turns out to be closed; the first byte is reported by a goroutine of
	// the connection.
	var expected atomic.Pointer[answerHeads]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*checkedConn); ok {
				expected.Store(conn.expectHead())
			}
		},
		GotFirstResponseByte: func() {
			if heads := expected.Load(); heads != nil {
				heads.noteFirstByte()
			}
		},
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	heads := expected.Load()
	if heads == nil {
		return response, err
	}
	broken := heads.check(request.URL.Host)
	if broken == nil {
		return response, err
	}
	if err == nil {
		_ = response.Body.Close()
	}
	_ = heads.conn.Close() // it may be idle already, and what follows on it belongs to no request
	return nil, broken
}

// expectHead makes what is read from now on the answer to the next request.
func (c *checkedConn) expectHead() *answerHeads {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &answerHeads{conn: c}
	return c.head
}

// noteFirstByte is called once the first byte of the answer was read, and no later one has been asked for.
func (a *answerHeads) noteFirstByte() {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	if !a.hasBegun {
		a.isEarly = true // it was read together with the answer before it
	}
}

// check returns an error if the heads break a rule, or if they aren't those of an answer to the request.
func (a *answerHeads) check(address string) error {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	switch {
	case a.isEarly:
		return errUnexpectedAnswer
	case a.lines.broken != nil:
		a.lines.log(address)
		return a.lines.broken
	default:
		return nil
	}
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.head != nil {
		c.head.isSent = true
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn. Nothing is read from the first byte on that HTTP doesn't allow. The first byte of an answer is passed on in any
// case: an error in its place looks like a connection that was closed before the request arrived, and a request may then be sent again.
func (c *checkedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	broken := c.broken()
	c.mu.Unlock()
	if broken != nil {
		return 0, broken
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil || c.head.lines.isEnded {
		return n, err
	}
	isFirst := !c.head.hasBegun
	good := c.head.add(p[:n])
	switch {
	case c.broken() == nil:
		return n, err
	case good > 0:
		return good, nil
	case isFirst:
		return 1, nil
	default:
		return 0, c.broken()
	}
}

// broken returns the rule that the newest answer breaks, nil if it breaks none; the caller holds the lock.
func (c *checkedConn) broken() error {
	if c.head == nil || c.head.lines.broken == nil {
		return nil
	}
	return c.head.lines.broken
}

// add checks further bytes of the answer and returns how many of them, from the first on, break no rule.
func (a *answerHeads) add(data []byte) int {
	if len(data) > 0 && !a.hasBegun {
		a.hasBegun, a.isEarly = true, a.isEarly || !a.isSent
	}
	good := 0
	for good < len(data) && !a.lines.isEnded {
		good += a.lines.add(data[good:])
		if a.lines.broken != nil {
			return good
		}
		if a.lines.isEnded && a.lines.isInformational() {
			a.lines = headLines{}
		}
	}
	return len(data)
}
