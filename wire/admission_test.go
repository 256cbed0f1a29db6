package wire

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/clock"
)

// acceptLate opens connections on each of which a request arrives after a time, none if it is 0, and returns how many of them are
// accepted.
func acceptLate(t *testing.T, admission *Admission, after time.Duration) int {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	callers := NewCallerListener(listener, admission)
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			conn, err := callers.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			if c, ok := conn.(*callerConn); ok && after > 0 {
				time.AfterFunc(after, func() { callers.noteArrival(c) })
			}
		}
	}()
	for range 60 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			defer func() { _ = conn.Close() }()
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	_ = callers.Close()
	n := len(accepted)
	for range n {
		_ = (<-accepted).Close()
	}
	return n
}

// Guards against connections whose requests come after a handshake of round trips, as on the own interface, being refused as if the
// box held them up.
func TestConnectionsAreNotJudgedWithoutAdmission(t *testing.T) {
	assert.Equal(t, 60, acceptLate(t, nil, 2*arrivalLimit))
	assert.Less(t, acceptLate(t, NewAdmission(0), 2*arrivalLimit), 60)
}

// Guards against callers that are turned away since others have opened connections in advance: no request that is late tells that the
// box holds them up.
func TestConnectionsWithoutARequestTurnNoneAway(t *testing.T) {
	assert.Equal(t, 60, acceptLate(t, NewAdmission(0), 0))
}

// Guards against connections that aren't read going uncounted, or others being counted.
func TestUnreadConnectionsAreCounted(t *testing.T) {
	const mbps, tries = 8, 10 // fewer than a burst of the link
	for _, isExhausted := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		admission := NewAdmission(mbps)
		callers := NewCallerListener(listener, admission)
		if isExhausted {
			admission.link.use(clock.Now(), 1e9)
			_, isAdmitted := admission.link.admit(clock.Now(), 0) // one is read in each maxUnreadTime
			require.True(t, isAdmitted)
		}
		go func() {
			for {
				if _, err := callers.Accept(); err != nil {
					return
				}
			}
		}()
		for range tries {
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
		}
		want := int64(0)
		if isExhausted {
			want = tries
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, want, callers.Unread(), "exhausted: %t", isExhausted)
		_ = callers.Close()
	}
}
