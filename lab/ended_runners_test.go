package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// Guards against a request that is refused after attempts at runners that have just crashed, though one still runs.
func TestRequestFindsTheOneRunnerThatStillRuns(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		for range 9 {
			s.addRunner(t)
		}
		for _, runner := range s.Runners[:len(s.Runners)-1] {
			runner.Crash()
		}
		for box := range s.Boxes {
			s.requireAnswer(box, Chat{})
		}
	})
}

// Guards against a call to a plain service that is refused after attempts at instances that are gone, though one still runs.
func TestCallFindsTheOneInstanceThatStillRuns(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		for i := range 60 {
			s.Platform.SetEndpoint(willowwick.Endpoint{
				ID: willowwick.EndpointID("ended" + itoa(i)), Kind: willowwick.KindService, Hall: s.hallOf(i),
				Address: "nowhere:1", Service: "bookkeeping",
			})
		}
		time.Sleep(5 * time.Second)
		for box := range s.Boxes {
			reply := s.postEntry(box, "entry"+itoa(box), "entry"+itoa(box))
			require.Equal(t, OutcomeComplete, reply.Outcome, reply.Detail)
		}
	})
}
