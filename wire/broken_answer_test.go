package wire

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	// longBody is more than the buffers of a connection hold, so that it is still being written when the answer breaks off.
	longBody  = 8 << 20
	breakRuns = 10
)

// reset breaks the connection off; its other end receives a reset.
func (p *peerConn) reset(t *testing.T) {
	tcp, ok := p.Conn.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, tcp.SetLinger(0))
	require.NoError(t, tcp.Close())
}

// readAll reads the body to its end; if awaits is set, it waits for bytes before each read, like a reader of a stream.
func (a *Answer) readAll(awaits bool) error {
	for buffer := make([]byte, 100); ; {
		if awaits {
			if err := a.Await(time.Now().Add(second)); err != nil {
				return err
			}
		}
		if _, err := a.Read(buffer); err != nil {
			return err
		}
	}
}

// An answer with neither length nor chunks that was reset looked complete: the system reports a reset once, to
// whichever call comes first, and an orderly end to the next.
func TestAnswerWithoutLengthThatIsResetIsNeverComplete(t *testing.T) {
	for _, size := range []int{1, longBody} {
		for _, awaits := range []bool{false, true} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("body=%d,awaits=%t,pause=%s", size, awaits, pause), func(t *testing.T) {
					address, conns := newPeer(t)
					pool := newTestPool(t)
					complete := 0
					for range breakRuns {
						c := open(t, pool, address)
						require.NoError(t, c.Send(message("a", strings.Repeat("x", size))))
						peer := <-conns
						peer.write(t, unframedHead+"part")
						answer, err := c.Receive(http.MethodPost, time.Now().Add(second), time.Now().Add(second), belongsTo("a"))
						require.NoError(t, err)
						peer.reset(t)
						time.Sleep(pause)
						if answer.readAll(awaits) == io.EOF {
							complete++
						}
						answer.Done()
					}
					assert.Zero(t, complete, "of %d", breakRuns)
				})
			}
		}
	}
}

// scriptedConn returns the scripted results of reads, one after the other, and then an orderly end.
type scriptedConn struct {
	net.Conn
	results   []error // of reads; nil returns a byte
	onRead    func()  // called before each result but the first, if set
	readsDone int
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	n := c.readsDone
	c.readsDone++
	if n == 0 {
		return copy(p, unframedHead+"x"), nil
	}
	if c.onRead != nil {
		c.onRead()
	}
	if n > len(c.results) {
		return 0, io.EOF
	}
	return 0, c.results[n-1]
}

func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (c *scriptedConn) Close() error                    { return nil }

// receiveScripted returns the answer that a scripted connection sends.
func receiveScripted(t *testing.T, conn *scriptedConn) (*Conn, *Answer) {
	c := newConn(newTestPool(t), conn, "")
	answer, err := c.Receive(http.MethodPost, time.Now().Add(second), time.Now().Add(second), belongsTo("a"))
	require.NoError(t, err)
	return c, answer
}

// The error of a connection whose machine is gone is a timeout too: it counted as silence, and the orderly end that the
// system reports after it as the end of the answer.
func TestAnswerWithoutLengthWhoseMachineIsGoneIsNeverComplete(t *testing.T) {
	_, answer := receiveScripted(t, &scriptedConn{results: []error{syscall.ETIMEDOUT}})
	var err error
	for err == nil || err == ErrSilent {
		err = answer.readAll(true)
	}
	assert.ErrorIs(t, err, syscall.ETIMEDOUT)
}

// An error that came together with an interruption was dropped, and the answer looked complete.
func TestAnswerWithoutLengthThatIsResetAtAnInterruptionIsNeverComplete(t *testing.T) {
	conn := &scriptedConn{results: []error{syscall.ECONNRESET}}
	c, answer := receiveScripted(t, conn)
	_, err := answer.Read(make([]byte, 100))
	require.NoError(t, err)
	conn.onRead = c.Interrupt
	require.ErrorIs(t, answer.Await(time.Now().Add(second)), ErrSilent)
	conn.onRead = nil
	assert.ErrorIs(t, answer.readAll(true), syscall.ECONNRESET)
}

// A write that failed used up the report of a reset, before the answer was read.
func TestAnswerWithoutLengthAfterAFailedWriteIsNeverComplete(t *testing.T) {
	conn := &scriptedConn{}
	c := newConn(newTestPool(t), &failingWriteConn{conn}, "")
	require.ErrorIs(t, c.Send(message("a", "x")), syscall.ECONNRESET)
	answer, err := c.Receive(http.MethodPost, time.Now().Add(second), time.Now().Add(second), belongsTo("a"))
	require.NoError(t, err)
	assert.ErrorIs(t, answer.readAll(true), syscall.ECONNRESET)
}

// failingWriteConn fails each write with a reset.
type failingWriteConn struct{ *scriptedConn }

func (c *failingWriteConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// A long request may still be written when its answer ends in order: the answer counts once the endpoint has read on.
func TestAnswerWithoutLengthBeforeTheRequestIsReadIsCompleteOnceItIsRead(t *testing.T) {
	address, conns := newPeer(t)
	c := open(t, newTestPool(t), address)
	require.NoError(t, c.Send(message("a", strings.Repeat("x", longBody))))
	peer := <-conns
	peer.write(t, unframedHead+"all of it")
	tcp, ok := peer.Conn.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, tcp.CloseWrite())
	time.AfterFunc(50*time.Millisecond, func() { _, _ = io.Copy(io.Discard, peer.reader) })
	_, body, err := receive(c, "a")
	require.NoError(t, err)
	assert.Equal(t, "all of it", body)
}
