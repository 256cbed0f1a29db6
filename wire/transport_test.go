package wire_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
	"github.com/willowwick/willowwick/wire"
)

const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// scriptedServer answers the requests of each connection with one text after the other, in which PATH stands for the request's, and counts
// requests and connections.
type scriptedServer struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
}

func newScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, answers)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "PATH", request.URL.Path))
	}
}

func newCheckedClient(t *testing.T) *http.Client {
	transport := wire.CheckHeads(&http.Transport{})
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func get(client *http.Client, address string) (status int, body string, err error) {
	response, err := client.Get("http://" + address)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against answers that HTTP doesn't allow at the clients that use net/http, on new connections and on those that were used before;
// none of their requests is sent again.
func TestTransportReturnsNoAnswerWithABrokenHead(t *testing.T) {
	for _, answer := range standin.BrokenLines("X-Good: a\r\n") {
		for _, before := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, after %d", answer.Name, before), func(t *testing.T) {
				t.Parallel()
				answers := append([]string{goodAnswer, goodAnswer}[:before:before], answer.Text)
				server, client := newScriptedServer(t, answers...), newCheckedClient(t)
				for range before {
					_, body, err := get(client, server.address)
					require.NoError(t, err)
					assert.Equal(t, "ok", body)
				}
				_, _, err := get(client, server.address)
				var broken *wire.BrokenHeadError
				assert.ErrorAs(t, err, &broken)
				assert.ErrorIs(t, err, willowwick.ErrBroken)
				assert.EqualValues(t, before+1, server.requests.Load(), "it is not sent again")
				assert.EqualValues(t, 1, server.conns.Load())
			})
		}
	}
}

// Answers whose heads don't tell where their bodies end are refused by net/http itself, and not sent again either.
func TestTransportReturnsNoAnswerWithBrokenFraming(t *testing.T) {
	for _, answer := range standin.BrokenFramings("X-Good: a\r\n") {
		server, client := newScriptedServer(t, goodAnswer, answer.Text), newCheckedClient(t)
		for n := range 2 {
			_, _, err := get(client, server.address)
			assert.Equal(t, n == 0, err == nil, answer.Name)
		}
		assert.EqualValues(t, 2, server.requests.Load(), "%s: it is not sent again", answer.Name)
	}
}

// An answer whose first byte is wrong already isn't taken for a connection that was closed while idle: the request may have run.
func TestTransportDoesNotSendAgainAfterABrokenFirstByte(t *testing.T) {
	for _, first := range []string{"\n", "\r\n", "\x00", "\x01HTTP", " HTTP/1.1 200 OK\r\n\r\n"} {
		server, client := newScriptedServer(t, goodAnswer, first), newCheckedClient(t)
		for n := range 2 {
			_, _, err := get(client, server.address)
			assert.Equal(t, n == 0, err == nil, "%q", first)
		}
		assert.EqualValues(t, 2, server.requests.Load(), "%q", first)
	}
}

// Guards against the loss of good answers, whatever the pieces in which they arrive and whatever their bodies hold.
func TestTransportServesGoodAnswers(t *testing.T) {
	const inner = "HTTP/1.1 000 \r\n X Foo: b\r\n\r\n\x00"
	for name, play := range map[string]struct {
		answer, body string
		status       int
	}{
		"length":        {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner), inner, 200},
		"chunks":        {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner), inner, 200},
		"informational": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + goodAnswer, "ok", 200},
		"no body":       {"HTTP/1.1 204 No Content\r\n\r\n", "", 204},
		"unusual":       {"HTTP/1.1 599\nX-Empty:\nX-Obs: caf\xe9\t\nContent-Length: 2\n\nok", "ok", 599},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := newScriptedServer(t, play.answer, play.answer, play.answer), newCheckedClient(t)
			for range 3 {
				status, body, err := get(client, server.address)
				require.NoError(t, err)
				assert.Equal(t, play.status, status)
				assert.Equal(t, play.body, body)
			}
			assert.EqualValues(t, 1, server.conns.Load(), "the connection is used again")
			for at := range play.answer {
				transport := wire.CheckHeads(&http.Transport{DialContext: dialPieces(at)})
				status, body, err := get(&http.Client{Transport: transport}, newScriptedServer(t, play.answer).address)
				require.NoError(t, err)
				assert.Equal(t, play.status, status)
				assert.Equal(t, play.body, body)
				transport.CloseIdleConnections()
			}
		})
	}
}

// Guards against an answer that is there before its request passing unchecked.
func TestTransportReturnsNoAnswerThatCameBeforeItsRequest(t *testing.T) {
	server, client := newScriptedServer(t, goodAnswer+"HTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nearly", goodAnswer), newCheckedClient(t)
	for range 20 {
		_, body, err := get(client, server.address)
		if err == nil {
			assert.Equal(t, "ok", body)
		}
	}
}

// Guards against a surplus answer being taken for that of the next request on its connection, or the answers after it for those of others.
func TestTransportTakesNoSurplusAnswerForTheNextOne(t *testing.T) {
	const callers, requests, answersOfAConn = 8, 3000, 50
	answer := "HTTP/1.1 204 No Content\r\nX-Path: PATH\r\n\r\nHTTP/1.1 204 No Content\r\nX-Path: surplus\r\n\r\n"
	server := newScriptedServer(t, slices.Repeat([]string{answer}, answersOfAConn)...)
	var wrong atomic.Int64
	var running sync.WaitGroup
	for range callers {
		client := newCheckedClient(t)
		running.Go(func() {
			for n := range requests {
				path := fmt.Sprint("/", n)
				response, err := client.Get("http://" + server.address + path)
				if err != nil {
					assert.ErrorIs(t, err, willowwick.ErrBroken)
					continue
				}
				if response.Header.Get("X-Path") != path {
					wrong.Add(1)
				}
				assert.NoError(t, response.Body.Close())
			}
		})
	}
	running.Wait()
	assert.Zero(t, wrong.Load(), "of %d", callers*requests)
}

// Answers without a body free their connection before they are returned: the next request on it may begin at once.
func TestTransportServesManyRequestsAtOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, strings.Repeat("x", 10_000))
		}
	}))
	defer server.Close()
	transport := wire.CheckHeads(&http.Transport{MaxIdleConnsPerHost: 2})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var callers sync.WaitGroup
	for n := range 16 {
		callers.Go(func() {
			for range 100 {
				request, err := http.NewRequestWithContext(t.Context(), []string{http.MethodHead, http.MethodGet}[n%2], server.URL, nil)
				assert.NoError(t, err)
				response, err := client.Do(request)
				if !assert.NoError(t, err) {
					return
				}
				_, err = io.Copy(io.Discard, response.Body)
				assert.NoError(t, err)
				_ = response.Body.Close()
			}
		})
	}
	callers.Wait()
}

// Heads are checked inside TLS, and good answers are served over it.
func TestTransportChecksHeadsOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/good" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.NoError(t, err) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Foo: b\r\nContent-Length: 2\r\n\r\nok")
			_ = conn.Close()
		}
	}))
	defer server.Close()
	trusting, ok := server.Client().Transport.(*http.Transport)
	require.True(t, ok)
	transport := wire.CheckHeads(&http.Transport{TLSClientConfig: trusting.TLSClientConfig})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range 2 {
		response, err := client.Get(server.URL + "/good")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		assert.Equal(t, "ok", string(body))
		_ = response.Body.Close()
	}
	_, err := client.Get(server.URL + "/broken")
	var broken *wire.BrokenHeadError
	assert.ErrorAs(t, err, &broken)
	_, err = (&http.Client{Transport: wire.CheckHeads(&http.Transport{})}).Get(server.URL + "/good")
	assert.ErrorContains(t, err, "certificate")
}

// piecesConn returns its first bytes in a read of their own.
type piecesConn struct {
	net.Conn
	left int // of them
}

// Read implements net.Conn.
func (c *piecesConn) Read(p []byte) (int, error) {
	if c.left > 0 && len(p) > c.left {
		p = p[:c.left]
	}
	n, err := c.Conn.Read(p)
	c.left -= n
	return n, err
}

// dialPieces returns a function that dials connections whose first bytes, that many, are returned in a read of their own.
func dialPieces(first int) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &piecesConn{conn, first}, nil
	}
}
