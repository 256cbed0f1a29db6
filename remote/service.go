package remote

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

// ServiceClient calls plain services.
type ServiceClient struct {
	keepAlive *http.Client
	noReuse   *http.Client
}

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
	return &willowwick.ServiceAnswer{Status: response.StatusCode, Header: header, Body: response.Body}, nil
}
