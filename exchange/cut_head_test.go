package exchange

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cutAnswers are whole answers to the request with the ID "N", by their kind, and where their routes are.
var cutAnswers = map[string]struct{ path, text string }{
	"plain": {"/once/", "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: raw\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nown"},
	"chunks": {
		"/once/", "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: raw\r\nTransfer-Encoding: chunked\r\nTrailer: T-End\r\n\r\n1a\r\n" +
			"abcdefghijklmnopqrstuvwxyz\r\n0\r\nT-End: 1\r\n\r\n",
	},
	"stream": {
		"/stream/", "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: raw\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n",
	},
	"rejection": {"/once/", rejection},
}

// cutAt writes the first bytes of the answer, as many as the request's ID says, and closes or resets the connection.
func cutAt(text string, end func(net.Conn)) func(*rawEndpoint, rawTry) {
	return func(_ *rawEndpoint, try rawTry) {
		length, err := strconv.Atoi(try.id)
		if err != nil {
			try.write(text, try.id)
			return
		}
		try.write("%s", fmt.Sprintf(text, try.id)[:length])
		end(try.conn)
	}
}

func closeConn(conn net.Conn) { _ = conn.Close() }

func resetNow(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Guards against an answer that an endpoint has cut off anywhere, also in its head, and that looks whole to the caller.
func TestAnswerThatIsCutOffAnywhereDoesNotLookWhole(t *testing.T) {
	for kind, whole := range cutAnswers {
		for how, end := range map[string]func(net.Conn){"closed": closeConn, "reset": resetNow} {
			t.Run(kind+", "+how, func(t *testing.T) {
				t.Parallel()
				r := newRawEndpoint(t, cutAt(whole.text, end))
				stream := streamRoute()
				stream.Repeatable, stream.Resumable, stream.Models = false, false, nil
				s := startSite(t, newTestControl(testTable(1, onceRoute(), stream), r.endpoint()), testSettings())
				for length := range len(fmt.Sprintf(whole.text, "100")) - 1 {
					if kind != "rejection" { // on a connection that was used before
						require.Equal(t, http.StatusOK, s.do(t, http.MethodPost, whole.path, "whole", "x").status)
					}
					reply := s.do(t, http.MethodPost, whole.path, fmt.Sprintf("%03d", length), "x")
					if reply.status != http.StatusOK {
						assert.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, reply.status)
						continue
					}
					assert.Equal(t, "stream", kind, "200 after %d bytes", length)
					assert.Error(t, reply.err, "a whole answer after %d bytes", length)
				}
			})
		}
	}
}

// Guards against the same where another box has answered for this one.
func TestAnswerOfAnotherBoxThatIsCutOffDoesNotLookWhole(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	for _, kind := range []string{"plain", "chunks"} {
		text := cutAnswers[kind].text
		for length := range len(fmt.Sprintf(text, "100")) - 1 {
			box := newRawEndpoint(t, cutAt(text, closeConn))
			c, recorder := s.newCall(t, "/once/", fmt.Sprintf("%03d", length))
			p := &passage{call: c, target: target{reply: OfferReply{Address: box.address}}}
			require.True(t, p.isLast(p.do()))
			assert.Equal(t, http.StatusBadGateway, recorder.Code, "%s: %q", kind, strings.TrimSpace(text[:length]))
		}
	}
}
