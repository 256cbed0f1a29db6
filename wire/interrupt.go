package wire

import (
	"log/slog"
	"sync"
	"time"

	"github.com/willowwick/willowwick/clock"
)

// interrupt is the state by which another goroutine ends the wait of a connection's reader.
type interrupt struct {
	mu          sync.Mutex
	isWaiting   bool
	isRequested bool
}

// Interrupt makes the current or the next call of Receive or Await return ErrSilent at once. It may be called from any
// goroutine until the connection is released.
func (c *Conn) Interrupt() {
	c.interrupt.mu.Lock()
	defer c.interrupt.mu.Unlock()
	c.interrupt.isRequested = true
	if !c.interrupt.isWaiting {
		return
	}
	if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		slog.Debug("interrupting a read failed", "address", c.address, "error", err)
	}
}

// awaitByte waits until a byte can be read, and returns ErrSilent if none arrives before the given time. Reads that follow
// time out at the deadline.
func (c *Conn) awaitByte(until, deadline time.Time) error {
	isInterrupted, err := c.beginWait(until)
	if err == nil && !isInterrupted {
		_, err = c.reader.Peek(1)
	}
	wasInterrupted, deadlineErr := c.endWait(deadline)
	switch {
	case isDeadlineError(err), isInterrupted, wasInterrupted && err != nil:
		return ErrSilent
	case err != nil:
		return err
	}
	return deadlineErr
}

// beginWait sets the time until which to wait, unless an interruption was requested.
func (c *Conn) beginWait(until time.Time) (isInterrupted bool, err error) {
	c.interrupt.mu.Lock()
	defer c.interrupt.mu.Unlock()
	if c.interrupt.isRequested {
		return true, nil
	}
	c.interrupt.isWaiting = true
	return false, c.conn.SetReadDeadline(clock.SystemTime(until))
}

// endWait sets the deadline of the reads that follow, and reports whether an interruption was requested.
func (c *Conn) endWait(deadline time.Time) (wasInterrupted bool, err error) {
	c.interrupt.mu.Lock()
	defer c.interrupt.mu.Unlock()
	wasInterrupted = c.interrupt.isRequested
	c.interrupt.isWaiting, c.interrupt.isRequested = false, false
	return wasInterrupted, c.conn.SetReadDeadline(clock.SystemTime(deadline))
}
