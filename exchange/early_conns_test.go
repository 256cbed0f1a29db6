package exchange

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a box that turns callers away because others open connections before they need them: a pool that is filled in advance,
// or a client that opens a connection and then uses another that became free.
func TestUnusedConnectionsTurnNoCallersAway(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	address := strings.TrimPrefix(s.url, "http://")
	for range 40 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		time.Sleep(10 * time.Millisecond)
	}
	failed := 0
	for range 100 {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get(s.url + "/nowhere/")
		if err != nil {
			failed++
			continue
		}
		require.NoError(t, response.Body.Close())
		time.Sleep(2 * time.Millisecond)
	}
	assert.Zero(t, failed)
}
