package remote

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/wire"
)

// earlyCancelWindow is the time after the start of a call within which its cancellation says nothing about the
// connection: as long as a load report, the fastest of the responses, may take.
const earlyCancelWindow = time.Second

type (
	// transportPool keeps a transport, and so a set of connections, per address. Connections to one address usually
	// stall together: after a call on a reused connection that got no complete response, the idle connections to the
	// address are closed, so that a stall costs one call timeout and not one per connection. The cost is that new
	// connections are dialed.
	transportPool struct {
		dial      DialFunc
		mu        sync.Mutex
		byAddress map[string]*pooledTransport
	}

	pooledTransport struct {
		transport *wire.Transport
		expiresAt time.Time // when it may be removed; connections in use by then are closed by the transport after idleTimeout
	}

	// monitoredBody reports a response body that fails before its end.
	monitoredBody struct {
		io.ReadCloser
		onError func(error)
	}
)

func newTransportPool(dial DialFunc) *transportPool {
	return &transportPool{dial: dial, byAddress: map[string]*pooledTransport{}}
}

// RoundTrip implements http.RoundTripper.
func (p *transportPool) RoundTrip(request *http.Request) (*http.Response, error) {
	started := time.Now()
	transport := p.transportFor(request.URL.Host, started)
	var wasReused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { wasReused.Store(info.Reused) }}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	onError := func(err error) {
		if !wasReused.Load() || (errors.Is(ctx.Err(), context.Canceled) && time.Since(started) < earlyCancelWindow) {
			return
		}
		slog.Info("reused connection failed; closing idle connections to the address", "address", request.URL.Host, "error", err)
		transport.CloseIdleConnections()
	}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		onError(err)
		return nil, err
	}
	response.Body = &monitoredBody{ReadCloser: response.Body, onError: onError}
	return response, nil
}

// transportFor returns the transport for an address; when it adds one, it removes the expired ones.
func (p *transportPool) transportFor(address string, now time.Time) *wire.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddress[address]
	if known == nil {
		for other, old := range p.byAddress {
			if now.After(old.expiresAt) {
				old.transport.CloseIdleConnections()
				delete(p.byAddress, other)
			}
		}
		known = &pooledTransport{transport: newTransport(p.dial)}
		p.byAddress[address] = known
	}
	known.expiresAt = now.Add(idleTimeout)
	return known.transport
}

// CloseIdleConnections closes the idle connections to all addresses.
func (p *transportPool) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pooled := range p.byAddress {
		pooled.transport.CloseIdleConnections()
	}
}

// Read implements io.Reader.
func (b *monitoredBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		b.onError(err)
	}
	return n, err
}
