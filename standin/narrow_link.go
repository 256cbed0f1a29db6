package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// linkPieceBytes is the most that a connection has under way on a NarrowLink in one direction.
	linkPieceBytes = 4 << 10
	// segmentBytes is the payload of a segment, and segmentHeadBytes the size of its headers.
	segmentBytes     = 1460
	segmentHeadBytes = 60
)

type (
	// NarrowLink is the network link of one box: all connections through its proxies share its bandwidth.
	NarrowLink struct {
		// HasEarlyOpenings lets the box learn of a connection before the caller's first bytes have waited for their turn. Otherwise
		// they arrive together: the opening segment has waited as long before.
		HasEarlyOpenings bool

		in, out linkDirection
	}

	// linkDirection carries bytes one after the other.
	linkDirection struct {
		bytesPerS float64

		mu      sync.Mutex
		freeAt  time.Time
		longest time.Duration // for which bytes have waited
		payload int           // bytes carried in segments
		heads   int           // bytes of their heads
	}
)

// NewNarrowLink returns a link that carries so many Mbit/s each way.
func NewNarrowLink(mbps float64) *NarrowLink {
	bytesPerS := mbps * 1e6 / 8
	return &NarrowLink{in: linkDirection{bytesPerS: bytesPerS}, out: linkDirection{bytesPerS: bytesPerS}}
}

// LongestWait returns the longest time for which bytes have waited in either direction.
func (l *NarrowLink) LongestWait() time.Duration {
	return max(l.in.longestWait(), l.out.longestWait())
}

// Carried describes what it has carried in each direction, in KB.
func (l *NarrowLink) Carried() string {
	return fmt.Sprintf("in %s, out %s", l.in.carried(), l.out.carried())
}

// ServeBox forwards connections to the box, host:port, over its link; it returns the proxy's address and a function that closes it.
func (l *NarrowLink) ServeBox(box string) (string, func() error, error) {
	address, err := net.ResolveTCPAddr("tcp4", box)
	if err != nil {
		return "", nil, errors.Wrap(err, "address of a box")
	}
	watch := &listenerWatch{address: address}
	proxy, closeProxy, err := serveProxy(func(outside net.Conn) {
		l.in.carry(0) // the opening segment
		if l.HasEarlyOpenings {
			l.openEarly(box, outside)
			return
		}
		l.openWithFirstBytes(box, watch, outside)
	})
	if err != nil {
		return "", nil, err
	}
	stop := watch.start()
	return proxy, func() error {
		stop()
		return closeProxy()
	}, nil
}

// openEarly opens the connection to the box before the caller's first bytes are carried.
func (l *NarrowLink) openEarly(box string, outside net.Conn) {
	inside, err := net.Dial("tcp", box)
	l.out.carry(0)
	if err != nil {
		resetConn(outside)
		return
	}
	forwardBoth(inside, outside, nil, &l.in, &l.out)
}

// openWithFirstBytes opens the connection to the box once the caller's first bytes are carried. It is reset if the box has closed its
// listener since the opening segment came, as the system does.
func (l *NarrowLink) openWithFirstBytes(box string, watch *listenerWatch, outside net.Conn) {
	listens, closings := watch.state()
	l.out.carry(0) // the acknowledgement of the opening, or a refusal
	if !listens {
		resetConn(outside)
		return
	}
	first := make([]byte, linkPieceBytes)
	n, err := outside.Read(first)
	if err != nil {
		resetConn(outside)
		return
	}
	l.in.carry(n)
	if _, now := watch.state(); now != closings {
		resetConn(outside)
		return
	}
	inside, err := net.Dial("tcp", box)
	if err != nil {
		resetConn(outside)
		return
	}
	if _, err := inside.Write(first[:n]); err != nil {
		resetConn(outside)
		return
	}
	forwardBoth(inside, outside, nil, &l.in, &l.out)
}

// Dial opens a connection of the box to an outside server over the link, both ways of the opening included.
func (l *NarrowLink) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		l.out.carry(0)
		l.in.carry(0)
	}()
	select {
	case <-opened:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	box, boxSide := net.Pipe()
	go forwardBoth(server, boxSide, nil, &l.out, &l.in)
	return box, nil
}

// ServeOutside forwards connections to a server that boxes use; those whose first bytes contain the mark are the box's, and go over
// its link. It returns the proxy's address and a function that closes it.
func (l *NarrowLink) ServeOutside(server string, mark []byte) (string, func() error, error) {
	return serveProxy(func(inside net.Conn) {
		first := make([]byte, linkPieceBytes)
		n, err := inside.Read(first)
		if err != nil {
			resetConn(inside)
			return
		}
		outside, err := net.Dial("tcp", server)
		if err != nil {
			resetConn(inside)
			return
		}
		if !bytes.Contains(first[:n], mark) {
			forwardBoth(outside, inside, first[:n], nil, nil)
			return
		}
		l.out.carry(0)
		l.in.carry(0)
		forwardBoth(outside, inside, first[:n], &l.out, &l.in)
	})
}

func serveProxy(forward func(net.Conn)) (string, func() error, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "proxy of a link")
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(conn)
		}
	}()
	return listener.Addr().String(), listener.Close, nil
}

// forwardBoth forwards both directions until one breaks; first are bytes of the client that were read before.
func forwardBoth(server, client net.Conn, first []byte, requests, answers *linkDirection) {
	go forwardOver(client, server, nil, answers)
	forwardOver(server, client, first, requests)
}

// forwardOver forwards one direction over a link, nil for none.
func forwardOver(to, from net.Conn, first []byte, over *linkDirection) {
	buffer := make([]byte, linkPieceBytes)
	n := copy(buffer, first)
	for {
		if n > 0 {
			over.carry(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		var err error
		if n, err = from.Read(buffer); n > 0 || err == nil {
			continue
		}
		over.carry(0)
		if err != io.EOF {
			resetConn(to)
			return
		}
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return
	}
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// carry returns once the link has carried the bytes and the heads of their segments, behind what came before.
func (d *linkDirection) carry(payload int) {
	if d == nil {
		return
	}
	segments := max((payload+segmentBytes-1)/segmentBytes, 1)
	bytes := float64(payload + segments*segmentHeadBytes)
	now := time.Now()
	d.mu.Lock()
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.longest = max(d.longest, d.freeAt.Sub(now))
	d.freeAt = d.freeAt.Add(time.Duration(bytes / d.bytesPerS * float64(time.Second)))
	d.payload, d.heads = d.payload+payload, d.heads+segments*segmentHeadBytes
	until := d.freeAt
	d.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (d *linkDirection) carried() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("%d of payload, %d of heads", d.payload>>10, d.heads>>10)
}

func (d *linkDirection) longestWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longest
}
