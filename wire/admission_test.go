package wire

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// acceptSilent opens connections on which no request arrives, and returns how many of them are accepted.
func acceptSilent(t *testing.T, admission *Admission) int {
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
	assert.Equal(t, 60, acceptSilent(t, nil))
	assert.Less(t, acceptSilent(t, NewAdmission(0)), 60)
}
