package exchange

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// Guards against a box that reports ready before the pool has its endpoints. The list used to be passed to the pool
// after the lock under which it had changed was released, so a box whose first list came from another box could be
// asked for readiness in between; two concurrent lists could also be passed in the wrong order.
func TestABoxHasEndpointsOnceTheyAreInUse(t *testing.T) {
	discardLogs(t)
	endpoint := willowwick.Endpoint{ID: "r1", Hall: "hall-a", Address: "10.9.0.1:8000", Service: "work"}
	now := time.Now()
	for how, take := range map[string]func(s *syncer){
		"read": func(s *syncer) {
			s.applyListRead(willowwick.EndpointChanges{Snapshot: true, Present: []willowwick.Endpoint{endpoint}, Next: 1}, now, now)
		},
		"received": func(s *syncer) {
			s.applyPeerList(SwapReply{Endpoints: &EndpointList{Endpoints: []willowwick.Endpoint{endpoint}, Next: 1, From: 1, Told: now}}, now)
		},
	} {
		for range 3000 {
			x, closeRouter := newRouter(testSettings(), testCodec{})
			x.sync = newSyncer(x, nil)
			found := make(chan int)
			go func() {
				for !x.sync.hasEndpointList() {
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
