package wire

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

type (
	// faultConn keeps the first fault that a read or a write reports. The system reports a reset, or a machine that is
	// gone, once, to whichever call comes first, and an orderly end to the calls that follow.
	faultConn struct {
		net.Conn
		fault   atomic.Pointer[error]
		writing sync.Mutex // held during a write
	}

	// pendingWrite is a write that runs concurrently with the reading of the answer.
	pendingWrite struct {
		done chan struct{} // closed once err is set
		err  error
	}
)

// KeepFaults returns a connection whose reads report a fault that an earlier call, also a write, has received.
//
// At an orderly end, a read waits for a write that is under way, since that may be the call that receives the fault.
func KeepFaults(conn net.Conn) net.Conn {
	return &faultConn{Conn: conn}
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		c.writing.Lock()
		defer c.writing.Unlock()
		if fault := c.fault.Load(); fault != nil {
			err = *fault
		}
		return n, err
	}
	c.keep(err)
	return n, err
}

// Write implements net.Conn.
func (c *faultConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.keep(err)
	return n, err
}

func (c *faultConn) keep(err error) {
	if err != nil && !isDeadlineError(err) {
		c.fault.CompareAndSwap(nil, &err)
	}
}

// isDeadlineError reports whether a call ended by its own deadline. Other errors can be timeouts too: those of a connection
// whose machine is gone.
func isDeadlineError(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// startWrite writes the data concurrently, and calls release once it is no longer used.
func startWrite(conn net.Conn, data []byte, release func()) *pendingWrite {
	w := &pendingWrite{done: make(chan struct{})}
	go func() {
		_, w.err = conn.Write(data)
		release()
		close(w.done)
	}()
	return w
}

// succeeded reports whether everything has been written; a nil write has.
func (w *pendingWrite) succeeded() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}
