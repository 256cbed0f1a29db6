package wire_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
	"github.com/willowwick/willowwick/wire"
)

// plainAnswer is an answer as a plain reading of the grammar of HTTP/1.1 finds it in the bytes of a connection.
type plainAnswer struct {
	status int
	header http.Header
	rest   string // what follows the head
}

var (
	// A byte over 0x7f is one rune of its own in the text that these match.
	plainStatusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])( [\t -~\x{80}-\x{ff}]*)?$`)
	plainField      = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\\t -~\\x{80}-\\x{ff}]*)$")
)

// readPlain returns the answer that the bytes hold; isHTTP is false if HTTP doesn't allow its head, or that of an informational one before.
func readPlain(data string) (answer plainAnswer, isHTTP bool) {
	for {
		answer, isHTTP = readPlainHead(data)
		if !isHTTP || answer.status >= http.StatusOK {
			return answer, isHTTP
		}
		data = answer.rest
	}
}

func readPlainHead(data string) (answer plainAnswer, isHTTP bool) {
	answer = plainAnswer{header: http.Header{}, rest: data}
	line, ok := answer.takeLine()
	match := plainStatusLine.FindStringSubmatch(line)
	if !ok || match == nil || match[2] == "101" {
		return answer, false
	}
	answer.status, _ = strconv.Atoi(match[2])
	for {
		line, ok := answer.takeLine()
		if !ok {
			return answer, false
		}
		if line == "" {
			return answer, match[1] != "0" || answer.header.Get("Transfer-Encoding") == ""
		}
		field := plainField.FindStringSubmatch(line)
		if field == nil {
			return answer, false
		}
		answer.header.Add(field[1], strings.Trim(toBytes(field[2]), " \t"))
	}
}

// takeLine takes the next line off the rest and returns it without its end, with a rune for each byte; ok is false if it has no end.
func (a *plainAnswer) takeLine() (line string, ok bool) {
	line, a.rest, ok = strings.Cut(a.rest, "\n")
	runes := make([]rune, 0, len(line))
	for _, b := range []byte(strings.TrimSuffix(line, "\r")) {
		runes = append(runes, rune(b))
	}
	return string(runes), ok
}

// toBytes undoes what takeLine does to the bytes of a line.
func toBytes(line string) string {
	data := make([]byte, 0, len(line))
	for _, r := range line {
		data = append(data, byte(r))
	}
	return string(data)
}

// body returns the body as the framing says, and whether all of it is there; isHTTP is false if HTTP doesn't allow the framing.
func (a *plainAnswer) body() (body string, isWhole, isHTTP bool) {
	codings, lengths := a.header["Transfer-Encoding"], a.header["Content-Length"]
	switch {
	case len(codings) > 1 || len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return "", false, false
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		return "", true, true
	case len(codings) == 1:
		data, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(a.rest)))
		return string(data), err == nil, true
	case len(lengths) == 0:
		return a.rest, true, true
	}
	length, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil {
		return "", false, false
	}
	for _, other := range lengths {
		if other != lengths[0] {
			return "", false, false
		}
	}
	return a.rest[:min(length, uint64(len(a.rest)))], length <= uint64(len(a.rest)), true
}

// requireAsPlain requires that what a reader of answers returned is what the bytes hold: nothing if HTTP doesn't allow it.
func requireAsPlain(t *testing.T, reader, data string, status int, header http.Header, body io.Reader, err error) {
	plain, isHTTP := readPlain(data)
	whole, isWhole, isFramed := plain.body()
	if err != nil {
		isKnown := isHTTP && isFramed && plain.header.Get("Trailer") == "" && len(data) < wire.MaxHeadBytes/2
		require.False(t, isKnown, "%s refuses a good answer: %v", reader, err)
		return
	}
	require.True(t, isHTTP && isFramed, "%s takes what HTTP doesn't allow: status %d, header %v", reader, status, header)
	require.Equal(t, plain.status, status, reader)
	for name := range header {
		require.Equal(t, textproto.CanonicalMIMEHeaderKey(name), name, reader)
	}
	for name, values := range plain.header {
		if name = textproto.CanonicalMIMEHeaderKey(name); name != "Transfer-Encoding" && name != "Content-Length" && name != "Trailer" {
			require.Equal(t, values, header[name], "%s: %s", reader, name)
		}
	}
	got, err := io.ReadAll(io.LimitReader(body, 1<<20))
	if err == nil && len(got) < 1<<20 {
		require.True(t, isWhole, "%s: a body in part looks whole: %q", reader, got)
		require.Equal(t, whole, string(got), reader)
		return
	}
	require.True(t, strings.HasPrefix(whole, string(got)), "%s: %q of %q", reader, got, whole)
}

// dialBytes returns a function that dials connections on which the bytes arrive, and then the end, whatever is written.
func dialBytes(data string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		server, client := net.Pipe()
		go func() {
			_, _ = server.Read(make([]byte, 4<<10)) // the request
			_, _ = io.WriteString(server, data)
			_ = server.Close()
		}()
		return untimedConn{client}, nil
	}
}

// untimedConn takes any deadline: a pipe takes none once its other end is closed, even if there are bytes left to read.
type untimedConn struct{ net.Conn }

// SetDeadline implements net.Conn.
func (untimedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (untimedConn) SetReadDeadline(time.Time) error { return nil }

// FuzzAnswerIsAsTheEndpointSentIt checks on any bytes that both readers of answers return what a plain reading of HTTP finds in them: an
// answer with a status of 100 to 599 other than 101, the fields and the body of the endpoint, and no answer where HTTP allows none.
func FuzzAnswerIsAsTheEndpointSentIt(f *testing.F) {
	for _, answer := range standin.BrokenAnswers("X-Good: a\r\n") {
		f.Add(answer.Text)
	}
	for _, seed := range []string{
		goodAnswer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n", "HTTP/1.0 200\n\nrest", "HTTP/1.1 204 \r\n\r\n",
		"HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + goodAnswer, "HTTP/1.9 599 \xe9\r\nX-Empty:\r\nx_y: \xe9\t\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\nok", "\r\n\r\n", "\x00\xff",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		pool, closePool := wire.NewPool(wire.Settings{Dial: dialBytes(data)})
		defer closePool()
		conn, err := pool.Open(t.Context(), "pipe:80")
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.Send(&wire.Message{Method: http.MethodGet, Target: "/", Host: "pipe"}))
		deadline := time.Now().Add(10 * time.Second)
		answer, err := conn.Receive(http.MethodGet, deadline, deadline, func(*wire.Answer) bool { return true })
		if err != nil {
			require.ErrorIs(t, err, willowwick.ErrBroken)
			requireAsPlain(t, "Conn", data, 0, nil, nil, err)
		} else {
			requireAsPlain(t, "Conn", data, answer.Status, answer.Header, answer, nil)
		}

		transport := wire.CheckHeads(&http.Transport{DialContext: dialBytes(data), DisableKeepAlives: true, DisableCompression: true})
		defer transport.CloseIdleConnections()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://pipe", nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(request)
		if err != nil {
			requireAsPlain(t, "Transport", data, 0, nil, nil, err)
			return
		}
		defer func() { assert.NoError(t, response.Body.Close()) }()
		requireAsPlain(t, "Transport", data, response.StatusCode, response.Header, response.Body, nil)
	})
}
