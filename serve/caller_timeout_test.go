package serve

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against deadlines that stay set while the answer pauses: over HTTP/1 a read deadline would cancel the request's
// context, and over HTTP/2 a write deadline would end its stream.
func TestPauseInTheAnswerDoesNotTimeOutTheCaller(t *testing.T) {
	const wait = 100 * time.Millisecond
	handler := withCallerLimits(Settings{CallerTimeout: wait, MaxBody: DefaultMaxBody}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		for _, piece := range []string{string(data), " and ", "on"} {
			_, err := io.WriteString(w, piece)
			assert.NoError(t, err)
			assert.NoError(t, http.NewResponseController(w).Flush())
			time.Sleep(3 * wait)
			assert.NoError(t, r.Context().Err())
		}
	}))
	for _, version := range []int{1, 2} {
		server := httptest.NewUnstartedServer(handler)
		server.EnableHTTP2 = version == 2
		server.StartTLS()
		defer server.Close()
		for _, sent := range []string{"", "on"} {
			for range 2 {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(sent))
				require.NoError(t, err)
				response, err := server.Client().Do(request)
				require.NoError(t, err)
				require.Equal(t, version, response.ProtoMajor)
				got, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				assert.Equal(t, sent+" and on", string(got))
			}
		}
	}
}
