package remote_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/standin"
)

const (
	// keptConnections is the number of idle connections that stall, callLimit the timeout of the call that detects
	// it, and healthyCallLimit longer than a call over a new connection takes.
	keptConnections  = 4
	callLimit        = 100 * time.Millisecond
	healthyCallLimit = 2 * time.Second
)

// barrierServer is a server whose requests wait for each other, so that each needs its own connection.
type barrierServer struct {
	mu      sync.Mutex
	waiting int
	gate    chan struct{}
}

// expect makes the next requests wait until size of them have arrived.
func (c *barrierServer) expect(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.gate = size, make(chan struct{})
}

func (c *barrierServer) arrive() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting--; c.waiting == 0 {
		close(c.gate)
	}
	return c.gate
}

// ServeHTTP implements http.Handler.
func (c *barrierServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-c.arrive():
	case <-r.Context().Done():
		return
	}
	_, _ = w.Write([]byte("{}"))
}

// clientCalls returns, by client, a call that reuses idle connections.
func clientCalls(t *testing.T, address string) map[string]func(context.Context) error {
	dial := (&net.Dialer{}).DialContext
	platform, closePlatform := remote.NewClient("http://"+address, dial)
	engines, closeEngines := remote.NewEngineClient(dial)
	services, closeServices := remote.NewServiceClient(dial)
	t.Cleanup(closePlatform)
	t.Cleanup(closeEngines)
	t.Cleanup(closeServices)
	endpoint := willowwick.Endpoint{ID: "e", Address: address}
	return map[string]func(context.Context) error{
		"platform": func(ctx context.Context) error {
			_, err := platform.Read(ctx, willowwick.StreamConfig, 1, 1)
			return err
		},
		"runner": func(ctx context.Context) error {
			_, err := engines.Load(ctx, endpoint)
			return err
		},
		"service": func(ctx context.Context) error {
			call := willowwick.ServiceCall{Endpoint: endpoint, Method: http.MethodGet, Path: "/", Header: http.Header{}, Repeatable: true}
			answer, err := services.Call(ctx, call)
			if err != nil {
				return err
			}
			_, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			return err
		},
	}
}

// callConcurrently makes size calls at the same time and requires that they succeed.
func callConcurrently(t *testing.T, server *barrierServer, size int, call func(context.Context) error) {
	t.Helper()
	server.expect(size)
	var calls sync.WaitGroup
	for range size {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), healthyCallLimit)
			defer cancel()
			assert.NoError(t, call(ctx))
		})
	}
	calls.Wait()
}

func withKeptConnections(t *testing.T, test func(*testing.T, *standin.StallingProxy, *barrierServer, func(context.Context) error)) {
	for _, name := range []string{"platform", "runner", "service"} {
		t.Run(name, func(t *testing.T) {
			server := &barrierServer{}
			httpServer := httptest.NewServer(server)
			defer httpServer.Close()
			network, closeNetwork, err := standin.NewStallingProxy(strings.TrimPrefix(httpServer.URL, "http://"))
			require.NoError(t, err)
			defer closeNetwork()
			call := clientCalls(t, network.Address())[name]
			callConcurrently(t, server, keptConnections, call)
			require.Equal(t, keptConnections, network.ConnsOpened())
			test(t, network, server, call)
		})
	}
}

// When all connections to an address stalled at once, each idle one cost a call its whole timeout, one after the
// other, for as long as idle connections are kept: the platform's log was unavailable for half a minute, though new
// connections worked.
func TestCallSucceedsAfterTimeoutOnSilentConnection(t *testing.T) {
	withKeptConnections(t, func(t *testing.T, network *standin.StallingProxy, server *barrierServer, call func(context.Context) error) {
		network.Stall()
		ctx, cancel := context.WithTimeout(t.Context(), callLimit)
		defer cancel()
		require.ErrorIs(t, call(ctx), context.DeadlineExceeded)
		callConcurrently(t, server, 1, call)
	})
}

// A caller that waits for a stalled response cancels as any caller does, only later: a late cancellation counts as a
// stall.
func TestCallSucceedsAfterLateCancelOnSilentConnection(t *testing.T) {
	withKeptConnections(t, func(t *testing.T, network *standin.StallingProxy, server *barrierServer, call func(context.Context) error) {
		network.Stall()
		ctx, cancel := context.WithCancel(t.Context())
		cancelTimer := time.AfterFunc(healthyCallLimit, cancel)
		defer cancelTimer.Stop()
		require.ErrorIs(t, call(ctx), context.Canceled)
		callConcurrently(t, server, 1, call)
	})
}

// An early cancellation says nothing about the connections: the other idle ones are kept.
func TestEarlyCancelKeepsIdleConnections(t *testing.T) {
	withKeptConnections(t, func(t *testing.T, network *standin.StallingProxy, server *barrierServer, call func(context.Context) error) {
		server.expect(2)
		ctx, cancel := context.WithCancel(t.Context())
		cancelTimer := time.AfterFunc(callLimit, cancel)
		defer cancelTimer.Stop()
		require.ErrorIs(t, call(ctx), context.Canceled)
		callConcurrently(t, server, keptConnections-1, call)
		assert.Equal(t, keptConnections, network.ConnsOpened())
	})
}
