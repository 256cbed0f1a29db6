package exchange

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

// After all connections to an endpoint fell silent, each idle one cost a request of its own, though new ones
// worked: a request that may run only once waited on a silent connection until its deadline, and the next request
// took the next idle one. A send without an answer left the other idle connections in the pool (wire.Pool.Drop is
// called only for removed endpoints), and TCP keep-alive doesn't detect it, since the connection accepts bytes.
func TestOneSilentConnectionToAnEndpointCostsOneRequest(t *testing.T) {
	const before = 4
	arrived := make(chan struct{}, before)
	goOn := make(chan struct{})
	r := newRunner(t, "r1", func(w http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.Header.Get("T-Id"), "before") {
			arrived <- struct{}{}
			<-goOn
		}
		_, _ = io.WriteString(w, "ok")
	})
	endpoint := r.endpoint("v1")
	link, closeLink, err := standin.NewStallingProxy(endpoint.Address)
	require.NoError(t, err)
	t.Cleanup(closeLink)
	endpoint.Address = link.Address()
	s := newSite(t, endpoint)
	var calls sync.WaitGroup
	for i := range before {
		calls.Go(func() {
			assert.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", fmt.Sprint("before-", i), "x").status)
		})
	}
	for range before {
		<-arrived
	}
	close(goOn)
	calls.Wait()
	require.Equal(t, before, link.Stall())
	// An endpoint that doesn't report a keep-alive has its connections closed after half a second; the deadlines of
	// these requests are short enough for all of them to meet the silent ones.
	lost := 0
	for i := range before + 1 {
		if s.do(t, http.MethodPost, "/once/", fmt.Sprint("after-", i), "x", "T-Left", "100").status != http.StatusOK {
			lost++
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.LessOrEqual(t, lost, 1, "too many requests without an answer")
}
