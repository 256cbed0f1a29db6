package wire

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// maxInlineBody is the largest body that is written before the answer is read: it fits any window.
	maxInlineBody = 2 << 10
	// maxSkippedAnswers bounds how many answers of earlier requests are skipped, and maxSkippedBytes their size.
	maxSkippedAnswers = 4
	maxSkippedBytes   = 1 << 20
)

type (
	// Message is a request as it goes to an endpoint.
	Message struct {
		Method  string
		Target  string // as on the request line
		Host    string
		Header  http.Header
		Body    []byte
		HasBody bool // the caller sent a body, be it empty
	}

	// Answer is the head of an endpoint's answer and the way to its body.
	Answer struct {
		Status     int
		Header     http.Header
		Length     int64 // of the body; -1 if it is not known beforehand
		body       io.ReadCloser
		conn       *Conn
		bodyRead   int64 // bytes of the body so far
		deadline   time.Time
		isComplete bool
		closesConn bool
		keepAlive  string // what the endpoint says of keeping the connection
	}
)

var (
	// ErrSilent says that nothing came of an answer before the given time.
	ErrSilent = errors.New("endpoint is silent")

	hopByHopHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// StripHopHeaders takes out the headers that concern one connection only.
func StripHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// Send writes the request; an error leaves open how much of it the endpoint has read.
//
// A long body is written beside the reading of the answer, since the endpoint may answer before it has read all.
func (c *Conn) Send(m *Message) error {
	buffer, _ := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	m.appendTo(buffer)
	if len(m.Body) <= maxInlineBody {
		_, err := c.conn.Write(buffer.Bytes())
		buffers.Put(buffer)
		c.writeResult = nil
		return errors.Wrap(err, "send")
	}
	written := make(chan error, 1)
	c.writeResult = written
	go func() {
		_, err := c.conn.Write(buffer.Bytes())
		buffers.Put(buffer)
		written <- err
	}()
	return nil
}

func (m *Message) appendTo(buffer *bytes.Buffer) {
	buffer.WriteString(m.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(m.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(m.Host)
	buffer.WriteString("\r\n")
	for name, values := range m.Header {
		for _, value := range values {
			buffer.WriteString(name)
			buffer.WriteString(": ")
			buffer.WriteString(value)
			buffer.WriteString("\r\n")
		}
	}
	if len(m.Body) > 0 || m.HasBody {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(m.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(m.Body)
}

// wasWritten reports whether the whole request has gone out.
func (c *Conn) wasWritten() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		c.writeResult = nil
		return err == nil
	default:
		return false
	}
}

// Receive reads the head of the answer that belongs to the request, skipping answers of earlier ones.
//
// It returns ErrSilent if no byte has come by the given time; it may then be called again.
func (c *Conn) Receive(method string, silentAt, deadline time.Time, belongs func(*Answer) bool) (*Answer, error) {
	for range maxSkippedAnswers {
		answer, err := c.receiveHead(method, silentAt, deadline)
		if err != nil {
			return nil, err
		}
		if answer.Status < http.StatusOK {
			continue
		}
		if belongs(answer) {
			return answer, nil
		}
		c.pool.updateStats(func(s *Stats) { s.Surplus++ })
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.body, maxSkippedBytes)); err != nil {
			return nil, errors.Wrap(willowwick.ErrBroken, "answer of another request: "+err.Error())
		}
	}
	return nil, errors.Wrap(willowwick.ErrBroken, "too many answers of other requests")
}

func (c *Conn) receiveHead(method string, silentAt, deadline time.Time) (*Answer, error) {
	if err := c.conn.SetReadDeadline(clock.SystemTime(silentAt)); err != nil {
		return nil, errors.Wrap(willowwick.ErrBroken, err.Error())
	}
	if _, err := c.reader.Peek(1); err != nil {
		if isTimeout(err) {
			return nil, ErrSilent
		}
		return nil, errors.Wrap(willowwick.ErrBroken, "no answer: "+err.Error())
	}
	if err := c.conn.SetReadDeadline(clock.SystemTime(deadline)); err != nil {
		return nil, errors.Wrap(willowwick.ErrBroken, err.Error())
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, errors.Wrap(willowwick.ErrBroken, "head of the answer: "+err.Error())
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		body: response.Body, conn: c, closesConn: response.Close, deadline: deadline,
		// The header may have lost it by the end of the answer: it concerns this connection alone.
		keepAlive: response.Header.Get("Keep-Alive"),
	}, nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Read implements io.Reader over the body; io.EOF says that the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.bodyRead += int64(n)
	if err == io.EOF {
		a.isComplete = true
	}
	return n, err
}

// Await waits for bytes of the body; ErrSilent says that none came by the given time.
func (a *Answer) Await(until time.Time) error {
	if a.conn.reader.Buffered() > 0 || a.Length >= 0 && a.bodyRead >= a.Length {
		return nil
	}
	if err := a.conn.conn.SetReadDeadline(clock.SystemTime(until)); err != nil {
		return errors.Wrap(willowwick.ErrBroken, err.Error())
	}
	_, err := a.conn.reader.Peek(1)
	if isTimeout(err) {
		return ErrSilent
	}
	// Any other error, the end of the connection among them, is the body's to tell.
	return errors.Wrap(a.conn.conn.SetReadDeadline(clock.SystemTime(a.deadline)), "read deadline")
}

// Done gives the connection back after a whole answer, and closes it otherwise.
func (a *Answer) Done() {
	if !a.isComplete || a.closesConn {
		a.conn.Close()
		return
	}
	a.conn.Release(a.keepAlive)
}
