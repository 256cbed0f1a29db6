package exchange

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

const (
	// goodFields are the fields of a good answer of a rawEndpoint, for which %s is the request's ID.
	goodFields = "T-Id: %s\r\nT-Seal: raw\r\n"
)

// runsWith returns the answer of a rawEndpoint that runs the request and writes a text, for whose %s it writes the request's ID.
func runsWith(text string) func(*rawEndpoint, rawTry) {
	return func(r *rawEndpoint, try rawTry) {
		r.run(try)
		_, _ = try.conn.Write([]byte(strings.ReplaceAll(text, "%s", try.id)))
		_ = try.conn.Close()
	}
}

// requireNoneBelieved sends a request of each kind of route to an endpoint with a broken answer, and requires that no caller gets any of it.
func requireNoneBelieved(t *testing.T, answer string) {
	r := newRawEndpoint(t, runsWith(answer))
	s := newSite(t, r.endpoint())
	for path, runs := range map[string]int{"/once/": 1, "/again/": 2, "/stream/": 3} {
		id := "id-" + strings.Trim(path, "/")
		reply := s.do(t, http.MethodPost, path, id, "x", "T-Model", anyModel)
		require.NoError(t, reply.err, path)
		assert.Equal(t, http.StatusBadGateway, reply.status, path)
		assert.NotContains(t, reply.body, "theirs", path)
		assert.NotContains(t, reply.body, "inner", path)
		assert.NotContains(t, fmt.Sprint(reply.header), "raw", path)
		assert.LessOrEqual(t, r.runsOf(id), runs, path)
	}
	assert.Equal(t, 1, r.runsOf("id-once"))
	assert.Zero(t, s.daemon.router.conns.Stats().Reused, "a connection whose answer is broken carries no other request")
}

// Guards against answers whose status is none: the caller got them, or what stood in their bodies, as its answer.
func TestAnswerWithABrokenStatusLineIsNoAnswer(t *testing.T) {
	for _, answer := range standin.BrokenStatusLines(goodFields) {
		t.Run(answer.Name, func(t *testing.T) {
			t.Parallel()
			requireNoneBelieved(t, answer.Text)
		})
	}
}
