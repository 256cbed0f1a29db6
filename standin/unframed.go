package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
)

// unframedWriter writes an answer that ends with its connection.
type unframedWriter struct {
	conn     net.Conn
	header   http.Header
	headSent bool
}

// serveUnframed serves a request with an answer that has neither a length nor chunks. If the handler panics, the answer ends
// there, in order or by a reset.
func serveUnframed(w http.ResponseWriter, r *http.Request, breaksInOrder bool, serve http.HandlerFunc) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	out := &unframedWriter{conn: conn, header: http.Header{}}
	defer func() {
		if tcp, ok := conn.(*net.TCPConn); ok && recover() != nil && !breaksInOrder {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}()
	serve(out, r)
	if !out.headSent {
		out.WriteHeader(http.StatusOK)
	}
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter.
func (u *unframedWriter) WriteHeader(status int) {
	u.headSent = true
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = u.header.Write(&head)
	head.WriteString("\r\n")
	_, _ = u.conn.Write(head.Bytes())
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(p []byte) (int, error) {
	if !u.headSent {
		u.WriteHeader(http.StatusOK)
	}
	return u.conn.Write(p)
}

// Flush implements http.Flusher; writes are never held back.
func (u *unframedWriter) Flush() {}
