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

// stall is how long a goroutine may wait to be scheduled on a box with a fifth of a core.
const stall = 100 * time.Millisecond

type (
	// slowListener accepts connections for a box whose goroutines stall where a test says.
	slowListener struct {
		net.Listener
		accepted chan struct{} // receives before Accept returns a connection; nil for never
		release  chan struct{} // then waited for
		stall    func()        // called before Accept and Read return and before each write; nil for no stall
	}

	slowConn struct {
		net.Conn
		listener *slowListener
	}

	// rawCaller writes the bytes of requests on one connection as a test wants them.
	rawCaller struct {
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
	if l.stall != nil {
		l.stall()
	}
	return &slowConn{conn, l}, nil
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.listener.stall != nil && n > 0 {
		c.listener.stall()
	}
	return n, err
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	if c.listener.stall != nil {
		c.listener.stall()
	}
	return c.Conn.Write(p)
}

// newStopSite starts a daemon that accepts callers from the listener.
func newStopSite(t *testing.T, settings Settings, callers net.Listener, endpoints ...willowwick.Endpoint) *site {
	t.Helper()
	s := startUnready(t, newTestControl(testTable(1, onceRoute(), retryRoute(), streamRoute()), endpoints...), settings, callers)
	require.Eventually(t, func() bool {
		ok, _ := s.daemon.router.ready()
		return ok
	}, waitTimeout, 5*time.Millisecond)
	return s
}

// startUnready does the same with a store of its own, and doesn't wait until the daemon is ready.
func startUnready(t *testing.T, control *testControl, settings Settings, callers net.Listener) *site {
	t.Helper()
	peers := listen(t)
	settings.Peers = peers.Addr().String()
	daemon, closeDaemon := New(settings, Dependencies{
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
	return s
}

// drainAndStop is the planned stop followed by the end of the process, as connections see it; slow boxes take some
// time between the two.
func (s *site) drainAndStop() {
	s.daemon.Drain()
	time.Sleep(stall)
	s.stop()
}

func (s *site) dialRaw(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &rawCaller{conn, bufio.NewReader(conn)}
}

// requestHead returns the head of a request with a body of the given length, and with more headers.
func requestHead(path, id string, length int, more ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nT-Id: %s\r\nT-Key: %s\r\nContent-Length: %d\r\n",
		path, testHost, id, testKey, length)
	for i := 0; i+1 < len(more); i += 2 {
		head += more[i] + ": " + more[i+1] + "\r\n"
	}
	return head + "\r\n"
}

func (c *rawCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// receive returns the next answer's status and complete body.
func (c *rawCaller) receive() (status int, body string, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// newLongRunner answers the request "under way" only once a stopping box waits for connections to become idle.
func newLongRunner(t *testing.T) (*runner, <-chan string) {
	reached := make(chan string, 4)
	return newRunner(t, "r1", func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("T-Id")
		reached <- id
		if id == "under way" {
			time.Sleep(2 * testSettings().UnreadyDelay)
		}
		_, _ = io.WriteString(w, "whole")
	}), reached
}

// An endpoint ran a request of a box that had ended, and the caller's connection was closed without an answer: the
// listener had accepted the connection while it was being closed, and returned it after all others were retired, so
// that nothing waited for it.
func TestConnectionAcceptedDuringShutdownIsNotRead(t *testing.T) {
	r, reached := newLongRunner(t)
	callers := &slowListener{Listener: listen(t), accepted: make(chan struct{}), release: make(chan struct{})}
	s := newStopSite(t, testSettings(), callers, r.endpoint("v1"))
	caller := s.dialRaw(t)
	<-callers.accepted
	caller.send(t, requestHead("/once/", "late", 1, "T-Left", "1000")+"x")
	s.daemon.Drain()
	close(callers.release)
	select {
	case id := <-reached:
		assert.Fail(t, "a box that has ended sent a request to the endpoint", "request %s", id)
	case <-time.After(stall):
	}
	s.stop()
	_, _, err := caller.receive()
	assert.Error(t, err)
}

// A request that had reached its endpoint was cut off when its box stopped, long before the end of the grace
// period. Its caller had sent it right behind another one, and the server had read both at once; the connection
// counted as idle until more was read from it, and nothing was read for the second request.
func TestPipelinedRequestIsAnsweredDuringShutdown(t *testing.T) {
	r, reached := newLongRunner(t)
	s := newStopSite(t, testSettings(), listen(t), r.endpoint("v1"))
	caller := s.dialRaw(t)
	caller.send(t, requestHead("/once/", "first", 1)+"x"+requestHead("/once/", "under way", 1)+"x")
	status, _, err := caller.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "first", <-reached)
	require.Equal(t, "under way", <-reached)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.drainAndStop()
	}()
	status, body, err := caller.receive()
	require.NoError(t, err, "the request was sent on, and its answer cut off")
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "whole", body)
	requireClosed(t, ended, waitTimeout, "the box does not end")
}

// A request that a stopping box accepted as sure to end in time was cut off: its deadline was some milliseconds
// before the box ended, and its answer was written some milliseconds after. The limit for accepting requests and
// the limit for waiting for them were the same.
func TestShutdownLeavesTimeToWriteAnswers(t *testing.T) {
	r, _ := newSilentRunner(t)
	callers := &slowListener{Listener: listen(t), stall: func() { time.Sleep(stall) }}
	s := newStopSite(t, testSettings(), callers, r.endpoint("v1"))
	began, ended := time.Now(), make(chan struct{})
	go func() {
		defer close(ended)
		s.drainAndStop()
	}()
	time.Sleep(testSettings().UnreadyDelay + 50*time.Millisecond)
	limit := began.Add(testSettings().Grace - exitMargin)
	left := time.Until(limit).Milliseconds() - 10
	response, err := s.client.Do(s.request(t, http.MethodPost, "/once/", "id", "x", "T-Left", strconv.FormatInt(left, 10)))
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	<-ended
	assert.False(t, err != nil && len(r.requests()) > 0, "the request was sent on, and its answer cut: %v", err)
}
