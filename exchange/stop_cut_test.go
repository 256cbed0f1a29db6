package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// stand is how long a goroutine of a box with a fifth of a core may wait for its turn.
const stand = 100 * time.Millisecond

type (
	// slowListener accepts connections for a box whose goroutines stand still where a test says.
	slowListener struct {
		net.Listener
		accepted chan struct{} // told of each connection before Accept returns it; nil for none
		release  chan struct{} // then waited for
		stand    func()        // called before Accept and Read return and before each write; nil for nothing
	}

	slowConn struct {
		net.Conn
		listener *slowListener
	}

	// wireCaller writes requests on one connection, byte by byte as a test wants them.
	wireCaller struct {
		net.Conn
		reader *bufio.Reader
	}
)

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.accepted != nil {
		l.accepted <- struct{}{}
		<-l.release
	}
	if l.stand != nil {
		l.stand()
	}
	return &slowConn{conn, l}, nil
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.listener.stand != nil && n > 0 {
		c.listener.stand()
	}
	return n, err
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	if c.listener.stand != nil {
		c.listener.stand()
	}
	return c.Conn.Write(p)
}

// newStopSite starts a daemon that takes callers from the listener.
func newStopSite(t *testing.T, settings Settings, callers net.Listener, endpoints ...willowwick.Endpoint) *site {
	t.Helper()
	control := newTestControl(testTable(1, onceRoute(), retryRoute(), streamRoute()), endpoints...)
	peers := listen(t)
	settings.Peers = peers.Addr().String()
	daemon, closeDaemon := New(settings, Outside{
		Control: control, Codec: testCodec{}, Callers: callers, Ready: listen(t), Peers: peers, Metrics: listen(t),
	})
	s := &site{
		control: control, daemon: daemon, url: "http://" + callers.Addr().String(),
		client: &http.Client{Transport: &http.Transport{}}, closeDaemon: closeDaemon,
	}
	stop := daemon.Start()
	s.stop = sync.OnceFunc(func() {
		stop()
		closeDaemon()
	})
	t.Cleanup(func() {
		s.client.CloseIdleConnections()
		s.stop()
	})
	require.Eventually(t, func() bool {
		ok, _ := daemon.router.ready()
		return ok
	}, waitTimeout, 5*time.Millisecond)
	return s
}

// end is the planned stop with the end of the process, as far as connections see it; slow boxes are some time about it.
func (s *site) end() {
	s.daemon.Drain()
	time.Sleep(stand)
	s.stop()
}

func (s *site) dialWire(t *testing.T) *wireCaller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &wireCaller{conn, bufio.NewReader(conn)}
}

// headOf is the head of a request with a body of so many bytes, and with more headers.
func headOf(path, id string, length int, more ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nT-Id: %s\r\nT-Key: %s\r\nContent-Length: %d\r\n",
		path, testHost, id, testKey, length)
	for i := 0; i+1 < len(more); i += 2 {
		head += more[i] + ": " + more[i+1] + "\r\n"
	}
	return head + "\r\n"
}

func (c *wireCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// receive returns the next answer's status and whole body.
func (c *wireCaller) receive() (status int, body string, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// newLongRunner answers what is called "under way" only once a stopping box looks for connections at rest.
func newLongRunner(t *testing.T) (*runner, <-chan string) {
	reached := make(chan string, 4)
	return newRunner(t, "r1", func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("T-Id")
		reached <- id
		if id == "under way" {
			time.Sleep(2 * testSettings().TurnAway)
		}
		_, _ = io.WriteString(w, "whole")
	}), reached
}

// Seen: an endpoint has a request of a box that ended, and its caller's connection was closed with no answer.
// How: the box's listener had accepted the connection as it was closed, and handed it on after all others were retired.
// Cause: what was accepted went among the connections that the stop had already looked through.
func TestConnectionThatIsAcceptedAsTheBoxEndsIsNotRead(t *testing.T) {
	r, reached := newLongRunner(t)
	callers := &slowListener{Listener: listen(t), accepted: make(chan struct{}), release: make(chan struct{})}
	s := newStopSite(t, testSettings(), callers, r.endpoint("v1"))
	caller := s.dialWire(t)
	<-callers.accepted
	caller.send(t, headOf("/once/", "late", 1, "T-Left", "1000")+"x")
	s.daemon.Drain()
	close(callers.release)
	select {
	case id := <-reached:
		assert.Fail(t, "a box that has ended sent on what it read", "request %s", id)
	case <-time.After(stand):
	}
	s.stop()
	_, _, err := caller.receive()
	assert.Error(t, err)
}

// Seen: a request that had reached its endpoint was cut when its box stopped, long before the end of the grace.
// How: its caller had sent it right behind another one, and the server had read both at once.
// Cause: a connection counted as at rest until something was read from it, and nothing was read for this request.
func TestRequestThatWasReadWithTheOneBeforeIsAnsweredAtAStop(t *testing.T) {
	r, reached := newLongRunner(t)
	s := newStopSite(t, testSettings(), listen(t), r.endpoint("v1"))
	caller := s.dialWire(t)
	caller.send(t, headOf("/once/", "first", 1)+"x"+headOf("/once/", "under way", 1)+"x")
	status, _, err := caller.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "first", <-reached)
	require.Equal(t, "under way", <-reached)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.end()
	}()
	status, body, err := caller.receive()
	require.NoError(t, err, "the request was sent on, and its answer cut")
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "whole", body)
	requireClosed(t, ended, waitTimeout, "the box does not end")
}

// Seen: a request that a stopping box took as sure to end before the box does was cut.
// How: its time was up some milliseconds before the end; its answer went out some milliseconds after.
// Cause: what may be taken and what is waited for had the same limit.
func TestStopLeavesTimeForTheAnswersOfWhatItTakes(t *testing.T) {
	r, _ := newSilentRunner(t)
	callers := &slowListener{Listener: listen(t), stand: func() { time.Sleep(stand) }}
	s := newStopSite(t, testSettings(), callers, r.endpoint("v1"))
	began, ended := time.Now(), make(chan struct{})
	go func() {
		defer close(ended)
		s.end()
	}()
	time.Sleep(testSettings().TurnAway + 50*time.Millisecond)
	limit := began.Add(testSettings().Grace - leaveEarly)
	left := time.Until(limit).Milliseconds() - 10
	response, err := s.client.Do(s.request(t, http.MethodPost, "/once/", "id", "x", "T-Left", strconv.FormatInt(left, 10)))
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	<-ended
	assert.False(t, err != nil && len(r.requests()) > 0, "the request was sent on, and its answer cut: %v", err)
}
