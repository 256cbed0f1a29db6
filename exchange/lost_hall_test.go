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

// Pattern: all runners of the box's own hall end at the same moment, 47 on the fleet where it was seen; their entries stand for some
// seconds more. Grounds: two thirds of the fleet live, but a request was given up after eight endpoints that refused its connection, 5 ms
// after the first; the others of the hall are likely to do the same.
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
