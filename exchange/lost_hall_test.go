package exchange

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// All endpoints of the box's own hall crash at the same moment, 47 in the fleet where this was seen, while their
// entries remain listed for some seconds. Two thirds of the fleet were live, but a request failed after eight refused
// connections, 5 ms after the first; other endpoints of the same hall are likely to refuse too.
func TestARequestFindsAnEndpointThatLivesThoughAHallHasEnded(t *testing.T) {
	const ended = 47
	living := newRunner(t, "living", func(w http.ResponseWriter, r *http.Request) { streamEvents(w, r, 1) })
	endpoints := []willowwick.Endpoint{inHall("hall-b", living.endpoint("v1"))}
	for i := range ended {
		closed := listen(t)
		require.NoError(t, closed.Close())
		endpoints = append(endpoints, willowwick.Endpoint{
			ID: willowwick.EndpointID(fmt.Sprint("ended-", i)), Hall: "hall-a", Address: closed.Addr().String(), Service: "work", Release: "v1", Slots: 8,
		})
	}
	s := newSite(t, endpoints...)
	for i, path := range []string{"/stream/", "/once/", "/again/"} {
		began := time.Now()
		assert.Equal(t, http.StatusOK, s.do(t, http.MethodPost, path, fmt.Sprint("id-", i), "x").status, path)
		assert.Less(t, time.Since(began), maxRefusalTime)
	}
}
