package exchange

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// Seen: a box that had just started called itself ready and knew no endpoint to send to, once in a whole run of the tests.
//
// How: it had its first list from another box, and was asked in the moment between that and the list's use.
//
// Cause: the list was given to the pool after the lock under which it had changed was released, so that the box knew its
// endpoints a moment before it used them; two lists that came at once could also be given in the wrong order.
func TestABoxHasEndpointsOnceTheyAreInUse(t *testing.T) {
	quietLogs(t)
	endpoint := willowwick.Endpoint{ID: "r1", Hall: "hall-a", Address: "10.9.0.1:8000", Service: "work"}
	now := time.Now()
	for how, take := range map[string]func(s *syncer){
		"read": func(s *syncer) {
			s.takeChanges(willowwick.EndpointChanges{Snapshot: true, Present: []willowwick.Endpoint{endpoint}, Next: 1}, now, now)
		},
		"told": func(s *syncer) {
			s.takeFromPeer(SwapReply{Endpoints: &EndpointList{Endpoints: []willowwick.Endpoint{endpoint}, Next: 1, From: 1, Told: now}}, now)
		},
	} {
		for range 3000 {
			x, closeRouter := newRouter(testSettings(), testCodec{})
			x.sync = newSyncer(x, nil)
			found := make(chan int)
			go func() {
				for !x.sync.hasEndpoints() {
					runtime.Gosched()
				}
				found <- len(x.pool.Endpoints())
			}()
			take(x.sync)
			require.Equal(t, 1, <-found, how)
			closeRouter()
		}
	}
}
