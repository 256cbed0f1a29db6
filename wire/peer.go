package wire

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/clock"
	"golang.org/x/sys/unix"
)

const (
	// PeerUnknown means that there was no answer, or that connections are opened and ended in order.
	PeerUnknown PeerState = iota
	// PeerLives means that a connection stays open, or that something goes on taking connections only to reset them, as a process does that
	// has as many as it takes.
	PeerLives
	// PeerGone means that nothing listens at the address.
	PeerGone

	// peerResets is the result of one attempt whose connection was opened and reset.
	peerResets PeerState = -1
)

const (
	// PeerCheckTimeout bounds the check of a peer: a dial whose first packet is lost takes a second.
	PeerCheckTimeout = 1200 * time.Millisecond
	// peerSettleTime is how long a connection must stay open to show that its process lives: the system closes the connections of one that
	// ends one after the other, and its listener often last. peerPollInterval is the time between two looks at it.
	peerSettleTime   = 60 * time.Millisecond
	peerPollInterval = 5 * time.Millisecond
	// peerRedialPause is the pause before the second attempt to open a connection; each further one is twice as long.
	peerRedialPause = 5 * time.Millisecond
	// maxPeerDials bounds the attempts of one check.
	maxPeerDials = 4
)

// PeerState is what is known of the process at an address after a connection to it has ended.
type PeerState int

// CheckPeer finds out whether the process at an address lives, until the context is done, for PeerCheckTimeout at most. It calls onOpen when a connection was opened; one
// that stays open is kept for the next request.
func (p *Pool) CheckPeer(ctx context.Context, address string, onOpen func()) PeerState {
	ctx, cancel := context.WithTimeout(ctx, PeerCheckTimeout)
	defer cancel()
	resets := 0
	for pause := peerRedialPause; ; pause *= 2 {
		state := p.tryPeer(ctx, address, onOpen)
		if state == PeerLives || state == PeerGone {
			return state
		}
		if resets++; state != peerResets || ctx.Err() != nil {
			return PeerUnknown
		}
		if resets == maxPeerDials {
			return PeerLives
		}
		clock.Sleep(ctx, pause)
	}
}

// tryPeer opens one connection to the process and waits whether it stays open.
func (p *Pool) tryPeer(ctx context.Context, address string, onOpen func()) PeerState {
	c, err := p.dial(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return PeerGone
	case errors.Is(err, syscall.ECONNRESET):
		return peerResets
	case err != nil:
		return PeerUnknown
	}
	onOpen()
	state := c.settle(ctx)
	if state != PeerLives {
		c.Close()
		return state
	}
	c.Release("")
	return PeerLives
}

// settle looks at a new connection for peerSettleTime.
func (c *Conn) settle(ctx context.Context) PeerState {
	if c.raw == nil {
		return c.settleByRead(ctx)
	}
	for waited := time.Duration(0); waited < peerSettleTime; waited += peerPollInterval {
		clock.Sleep(ctx, peerPollInterval)
		if state := c.peerState(); state != PeerLives || ctx.Err() != nil {
			return min(state, PeerUnknown)
		}
	}
	return PeerLives
}

// settleByRead does the same for a connection that is no system's connection, or hides it: nothing may arrive on it.
func (c *Conn) settleByRead(ctx context.Context) PeerState {
	until := clock.Now().Add(peerSettleTime)
	err := c.awaitByte(until, until)
	switch {
	case ctx.Err() != nil:
		return PeerUnknown
	case errors.Is(err, ErrSilent):
		return PeerLives
	case errors.Is(err, syscall.ECONNRESET):
		return peerResets
	default:
		return PeerUnknown
	}
}

// peerState tells by an idle connection what its process does; it takes no error away from later calls.
func (c *Conn) peerState() PeerState {
	events, err := pollNow(c.raw, unix.POLLRDHUP)
	switch {
	case err != nil:
		return PeerUnknown
	case events == 0:
		return PeerLives
	case events&unix.POLLERR != 0:
		return peerResets
	default:
		return PeerUnknown
	}
}

// pollNow returns which of the events, and which errors, are there at a connection or a listener; it doesn't wait.
func pollNow(raw syscall.RawConn, events int16) (ready int16, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err = unix.Poll(polled, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(polled, 0)
		}
		ready = polled[0].Revents
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return ready, err
}
