package exchange

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Seen: connections to endpoints that keep them for long are closed after half a second, and dialed anew.
//
// How: the head of an answer is passed on without the headers of its connection; when the answer is over, what the endpoint
// said of its connection is looked for in the same headers.
//
// Cause: reply.head takes them out of the answer's own headers (StripHop), and Answer.Done reads them after that.
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
