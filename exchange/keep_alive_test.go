package exchange

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Connections to endpoints with a long keep-alive were closed after half a second and dialed anew: reply.writeHead
// strips the hop-by-hop headers from the answer's own header map (StripHopHeaders), and Answer.Done looked for Keep-Alive
// there afterwards.
func TestConnectionsAreKeptAsLongAsTheEndpointSays(t *testing.T) {
	r := newRunner(t, "r1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=30")
		_, _ = io.WriteString(w, "ok")
	})
	s := newSite(t, r.endpoint("v1"))
	for _, id := range []string{"first", "second"} {
		require.Equal(t, http.StatusOK, s.do(t, http.MethodPost, "/once/", id, "x").status)
		time.Sleep(time.Second)
	}
	assert.Equal(t, uint64(1), s.daemon.router.conns.Stats().Dialed)
}
