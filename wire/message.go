package wire

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// FramedByLength means that the head names the length of the body.
	FramedByLength Framing = "length"
	// FramedByChunks means that the body comes in chunks, and a last one ends it.
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with its connection.
	FramedByClose Framing = "close"

	// maxInlineBody is the size of the largest body that is written before the answer is read: it fits into any send
	// window.
	maxInlineBody = 2 << 10
	// maxSkippedAnswers bounds the number of answers to earlier requests that are skipped, and maxSkippedBytes the
	// size of each.
	maxSkippedAnswers = 4
	maxSkippedBytes   = 1 << 20
	// maxInformational bounds the number of informational answers (1xx) before one answer.
	maxInformational = 32
	// maxErrorText bounds the text of an error in bytes: it may quote what an endpoint sent.
	maxErrorText = 256
)

type (
	// Message is a request as it is sent to an endpoint.
	Message struct {
		Method  string
		Target  string // request target, as on the request line
		Host    string
		Header  http.Header
		Body    []byte
		HasBody bool // the caller sent a body, possibly an empty one
	}

	// Framing is what tells the end of an answer's body.
	Framing string

	// Answer is the head of an endpoint's answer and a reader of its body.
	Answer struct {
		Status     int
		Header     http.Header
		Length     int64 // length of the body; -1 if unknown
		Framing    Framing
		body       io.ReadCloser
		conn       *Conn
		bodyRead   int64 // bytes of the body read so far
		deadline   time.Time
		isComplete bool
		closesConn bool
		keepAlive  string // value of the Keep-Alive header
	}
)

var (
	// ErrSilent is returned when no byte of an answer was received before the given time.
	ErrSilent = errors.New("no data from the endpoint before the deadline")

	hopByHopHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// StripHopHeaders removes the headers that concern a single connection.
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

// Send writes the request; after an error it is unknown how much of it the endpoint has read.
//
// A long body is written concurrently with the reading of the answer, since the endpoint may answer before it has
// read the whole body.
func (c *Conn) Send(m *Message) error {
	c.past.Requests++
	buffer, _ := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	m.appendTo(buffer)
	if len(m.Body) <= maxInlineBody {
		_, err := c.conn.Write(buffer.Bytes())
		buffers.Put(buffer)
		c.write = nil
		return errors.Wrap(err, "send")
	}
	c.write = startWrite(c.conn, buffer.Bytes(), func() { buffers.Put(buffer) })
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

// Receive reads the head of the answer that belongs to the request, skipping answers to earlier requests.
//
// It returns ErrSilent if no byte is received before silentAt; it may then be called again.
func (c *Conn) Receive(method string, silentAt, deadline time.Time, belongs func(*Answer) bool) (*Answer, error) {
	for range maxSkippedAnswers {
		answer, err := c.receiveFinal(method, silentAt, deadline)
		if err != nil {
			return nil, err
		}
		c.past.Status = answer.Status
		if belongs(answer) {
			return answer, nil
		}
		c.past.Skipped++
		c.pool.updateStats(func(s *Stats) { s.Surplus++ })
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.body, maxSkippedBytes)); err != nil {
			return nil, errors.Wrap(willowwick.ErrBroken, "discard answer to another request: "+err.Error())
		}
	}
	return nil, errors.Wrap(willowwick.ErrBroken, "too many answers to other requests")
}

// receiveFinal reads the head of the next answer, passing over informational ones.
func (c *Conn) receiveFinal(method string, silentAt, deadline time.Time) (*Answer, error) {
	for range maxInformational {
		answer, err := c.receiveHead(method, silentAt, deadline)
		if err != nil || answer.Status >= http.StatusOK {
			return answer, err
		}
	}
	return nil, errors.Wrap(willowwick.ErrBroken, "too many informational answers")
}

func (c *Conn) receiveHead(method string, silentAt, deadline time.Time) (*Answer, error) {
	if err := c.awaitByte(silentAt, deadline); err != nil {
		if errors.Is(err, ErrSilent) {
			return nil, ErrSilent
		}
		return nil, errors.Wrap(willowwick.ErrBroken, "read answer: "+err.Error())
	}
	c.headSize = 0
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // that many are there
	if err := c.head.begin(buffered); err != nil {
		return nil, c.headError(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.head.end()
	if err != nil {
		return nil, c.headError(err)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framing: framingOf(response),
		body: response.Body, conn: c, closesConn: response.Close, deadline: deadline,
		// Read it now: the header may be stripped before the answer ends, since it concerns this connection only.
		keepAlive: response.Header.Get("Keep-Alive"),
	}, nil
}

// headError returns the error of a head that couldn't be read. If a line breaks a rule, that is the cause of whatever the parser says.
// Of a head that has arrived whole, the parser refuses only what it says of the body.
func (c *Conn) headError(err error) error {
	lines, text := &c.head.lines, err.Error()
	text = text[:min(len(text), maxErrorText)]
	switch {
	case lines.broken != nil:
		lines.log(c.address)
		return errors.Wrap(lines.broken, "read answer head")
	case lines.isEnded && !errors.Is(err, ErrNoRoom):
		slog.Warn(brokenHeadMessage, "address", c.address, "rule", RuleFraming, "error", text)
		return errors.Wrap(&BrokenHeadError{Rule: RuleFraming}, "read answer head")
	default:
		return errors.Wrap(willowwick.ErrBroken, "read answer head: "+text)
	}
}

func framingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return FramedByLength
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}

// Read implements io.Reader over the body; it returns io.EOF after the complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.bodyRead += int64(n)
	switch {
	case err == io.EOF:
		a.isComplete = true
	case err != nil && a.conn.hold.hasEnded():
		err = ErrNoRoom
	}
	return n, err
}

// Hold records that the reader of the body is about to hold that many bytes of it, until the connection is released. It returns
// ErrNoRoom if the answer must end.
func (a *Answer) Hold(bytes int) error {
	return a.conn.hold.Resize(a.conn.headSize + bytes)
}

// HoldOn returns a hold for what is kept of the answer, its head and that many bytes of its body, when its connection is
// released. It returns ErrNoRoom if nothing may be kept.
func (a *Answer) HoldOn(bytes int, onEnd func()) (*Hold, error) {
	a.conn.hold.Release()
	hold := a.conn.pool.settings.Memory.NewHold(onEnd)
	return hold, hold.Resize(a.conn.headSize + bytes)
}

// Await waits for bytes of the body; it returns ErrSilent if none was received before the given time.
func (a *Answer) Await(until time.Time) error {
	if a.body == http.NoBody || a.conn.reader.Buffered() > 0 || a.Length >= 0 && a.bodyRead >= a.Length {
		return nil
	}
	if err := a.conn.awaitByte(until, a.deadline); errors.Is(err, ErrSilent) {
		return ErrSilent
	}
	return nil // Read reports any other error: the connection keeps it
}

// Done returns the connection to the pool after a complete answer, and closes it otherwise.
func (a *Answer) Done() {
	if !a.isComplete || a.closesConn {
		a.conn.Close()
		return
	}
	a.conn.Release(a.keepAlive)
}
