package remote

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/wire"
)

type (
	// ServiceClient calls plain services.
	ServiceClient struct {
		keepAlive *http.Client
		noReuse   *http.Client
		dial      DialFunc
	}

	// unframedBody is the body of an answer that ends with its connection. The system closes the connections of a process that was killed
	// in order, so this end is that of the answer only if the service lives on.
	unframedBody struct {
		io.ReadCloser
		confirmEnd func() error // returns io.EOF, or an error if the answer may lack its rest
		end        error        // that confirmEnd returned
	}
)

// hopByHopHeaders belong to one connection, or to the router itself, and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Idempotency-Key",
}

// NewServiceClient returns a client and a function that closes its idle connections.
func NewServiceClient(dial DialFunc) (*ServiceClient, func()) {
	repeatable := newTransportPool(dial)
	// net/http retries a request if a reused connection turns out to be closed. On a new connection it never does.
	once := newTransport(dial)
	once.DisableKeepAlives = true
	return &ServiceClient{
		keepAlive: &http.Client{Transport: repeatable, CheckRedirect: returnRedirect},
		noReuse:   &http.Client{Transport: once, CheckRedirect: returnRedirect},
		dial:      dial,
	}, repeatable.CloseIdleConnections
}

// returnRedirect returns redirects to the caller: following one would send the request again.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements willowwick.ServiceCaller.
func (s *ServiceClient) Call(ctx context.Context, call willowwick.ServiceCall) (*willowwick.ServiceAnswer, error) {
	target := "http://" + call.Endpoint.Address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(willowwick.ErrNotSent, err.Error())
	}
	request.Header = call.Header.Clone()
	for _, name := range hopByHopHeaders {
		request.Header.Del(name)
	}
	request.Header.Set(HeaderRequestID, string(call.Request))
	request.Header.Set(HeaderDeadline, call.Deadline.UTC().Format(time.RFC3339Nano))
	client := s.noReuse
	if call.Repeatable {
		client = s.keepAlive
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, wrapSendError(err)
	}
	reportNotice(call.OnNotice, response)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderLeaving) != "" {
		_ = response.Body.Close()
		return nil, willowwick.ErrDraining
	}
	header := response.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	answer := &willowwick.ServiceAnswer{Status: response.StatusCode, Header: header, Body: response.Body}
	if isUnframed(response) {
		answer.Body = &unframedBody{ReadCloser: response.Body, confirmEnd: func() error { return s.confirmEnd(ctx, call.Endpoint.Address) }}
	}
	return answer, nil
}

// isUnframed reports whether the answer has a body with neither a length nor chunks.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// confirmEnd returns io.EOF if the service certainly lives on after the end of a connection to it, and otherwise an error.
func (s *ServiceClient) confirmEnd(ctx context.Context, address string) error {
	conns, closeConns := wire.NewPool(wire.Settings{Dial: wire.DialFunc(s.dial)})
	defer closeConns()
	if conns.CheckPeer(ctx, address, func() {}) != wire.PeerLives {
		return errors.Wrap(willowwick.ErrBroken, "the answer ended with its connection, and its service is not known to live on")
	}
	return io.EOF
}

// Read implements io.Reader.
func (b *unframedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != io.EOF {
		return n, err
	}
	if b.end == nil {
		b.end = b.confirmEnd()
	}
	return n, b.end
}
