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
)

// earlyCancelWindow is how long after it was begun the end of a call by its caller shows nothing of the connection: as long as
// a load report, the quickest of the answers, may take.
const earlyCancelWindow = time.Second

type (
	// transportPool keeps connections, apart for each address. Connections to one address mostly go silent together: after a call
	// over a kept one that got no whole answer, the others that are kept to the address are not used any more, so that
	// silence costs the limit of one call and not that of one for each of them in turn. Closing them costs new connections.
	transportPool struct {
		dial      DialFunc
		mu        sync.Mutex
		byAddress map[string]*pooledTransport // by address
	}

	pooledTransport struct {
		transport *http.Transport
		expiresAt time.Time // when it may be forgotten; what is in use then is closed by the transport once it has idled
	}

	// monitoredBody notes an answer that breaks off.
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
	var wasKept atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { wasKept.Store(info.Reused) }}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	onError := func(err error) {
		if !wasKept.Load() || (errors.Is(ctx.Err(), context.Canceled) && time.Since(started) < earlyCancelWindow) {
			return
		}
		slog.Info("pooled connection gave no answer; no other to the address is pooled", "address", request.URL.Host, "error", err)
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

// transportFor returns the connections to an address, and forgets addresses to which none is kept any more.
func (p *transportPool) transportFor(address string, now time.Time) *http.Transport {
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

// CloseIdleConnections closes the connections that are not in use.
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
