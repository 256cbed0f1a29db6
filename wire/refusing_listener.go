package wire

import (
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/clock"
	"golang.org/x/sys/unix"
)

const (
	// relistenPause is the time between two attempts to listen again.
	relistenPause = 10 * time.Millisecond
	// waitingAcceptTimeout bounds the acceptance of a connection that is open already.
	waitingAcceptTimeout = time.Second
)

// RefusingListener is a listener that can refuse new connections for a while: their callers learn at once that they have to go
// elsewhere, and send nothing. Its Accept, AcceptWithin and RefuseUntil are called by one goroutine.
type RefusingListener struct {
	address string
	closed  chan struct{}
	close   func()

	mu    sync.Mutex
	inner net.Listener
}

// Listen returns a listener for TCP connections to an address, host:port.
func Listen(address string) (*RefusingListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &RefusingListener{address: inner.Addr().String(), closed: make(chan struct{}), inner: inner}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l, nil
}

// Accept implements net.Listener.
func (l *RefusingListener) Accept() (net.Conn, error) {
	return l.current().Accept()
}

// AcceptWithin accepts a connection; it returns nil if none is there within a time, or an error.
func (l *RefusingListener) AcceptWithin(limit time.Duration) (net.Conn, error) {
	inner, ok := l.current().(*net.TCPListener)
	if !ok {
		return nil, nil
	}
	conn, err := acceptBefore(inner, clock.Now().Add(limit))
	if conn == nil && err == nil && hasWaiting(inner) {
		// A process that is short of processor time gets here after the deadline, and hasn't looked yet.
		return acceptBefore(inner, clock.Now().Add(waitingAcceptTimeout))
	}
	return conn, err
}

// acceptBefore accepts a connection; it returns nil if none is there before the deadline.
func acceptBefore(listener *net.TCPListener, deadline time.Time) (net.Conn, error) {
	if err := listener.SetDeadline(deadline); err != nil {
		return nil, err
	}
	conn, err := listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn, err = nil, nil
	}
	if resetErr := listener.SetDeadline(time.Time{}); err == nil {
		err = resetErr
	}
	return conn, err
}

// hasWaiting reports whether a connection is open that was not accepted yet.
func hasWaiting(listener *net.TCPListener) bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	events, err := pollNow(raw, unix.POLLIN)
	return err == nil && events&unix.POLLIN != 0
}

// Addr implements net.Listener.
func (l *RefusingListener) Addr() net.Addr {
	return l.current().Addr()
}

// Close implements net.Listener.
func (l *RefusingListener) Close() error {
	l.close()
	return l.current().Close()
}

// RefuseUntil refuses connections until a time, and resets those that were not accepted yet. It returns an error if the listener is
// closed meanwhile.
func (l *RefusingListener) RefuseUntil(until time.Time) error {
	if err := l.current().Close(); err != nil {
		return err
	}
	for pause := clock.Until(until); ; pause = relistenPause {
		if !l.sleep(pause) {
			return net.ErrClosed
		}
		inner, err := net.Listen("tcp", l.address)
		if err == nil {
			return l.replace(inner)
		}
		slog.Warn("listening for callers again failed", "address", l.address, "error", err)
	}
}

// sleep reports whether the listener was not closed during the pause.
func (l *RefusingListener) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// replace goes on with another listener, unless this one was closed.
func (l *RefusingListener) replace(inner net.Listener) error {
	l.mu.Lock()
	l.inner = inner
	l.mu.Unlock()
	select {
	case <-l.closed:
		if err := inner.Close(); err != nil {
			slog.Debug("closing a listener failed", "error", err)
		}
		return net.ErrClosed
	default:
		return nil
	}
}

func (l *RefusingListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}
