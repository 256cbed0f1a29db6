package wire

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/clock"
)

func TestRefusingListenerRefusesForAWhile(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	address, until := l.Addr().String(), clock.Now().Add(200*time.Millisecond)
	refused := make(chan error)
	go func() { refused <- l.RefuseUntil(until) }()
	time.Sleep(50 * time.Millisecond)
	_, err = net.Dial("tcp", address)
	assert.True(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	require.NoError(t, <-refused)
	assert.False(t, clock.Now().Before(until))
	caller, err := net.Dial("tcp", address)
	require.NoError(t, err)
	conn, err := l.Accept()
	require.NoError(t, err)
	assert.NoError(t, caller.Close())
	assert.NoError(t, conn.Close())
	assert.NoError(t, l.Close())
}

// Guards against a box that stops while it refuses connections waiting for the end of that, or listening again.
func TestRefusingListenerIsClosedWhileItRefuses(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	refused := make(chan error)
	go func() { refused <- l.RefuseUntil(clock.Now().Add(time.Hour)) }()
	time.Sleep(50 * time.Millisecond)
	_ = l.Close() // the listener beneath is closed already
	assert.ErrorIs(t, <-refused, net.ErrClosed)
}
