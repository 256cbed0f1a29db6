package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
)

// TestIsolatedBoxRefusesUnknownNamesTemporarily: a name that an isolated box does not know may have been declared
// since, and is in force elsewhere within the promised time. The box refused such names for good, because package
// exchange compared the wrong age with the limit, and package serve compared none.
func TestIsolatedBoxRefusesUnknownNamesTemporarily(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		s.requireAnswer(2, Chat{})
		s.isolate(2)
		_, err := s.Publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
			ID: "added", Author: "test", Reason: "test", Basis: s.Boxes[0].Daemon.Status().Offset,
			Objects: []config.Object{
				newObject(t, config.KindClientAccount, "quay-new", &config.ClientAccount{
					Keys: []string{config.HashKey("demo-quay-new")}, Allow: []string{"run-large"}, Default: "notes",
				}),
				newObject(t, config.KindCascade, "extra", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Judge: config.JudgeRater}),
			},
		}})
		require.NoError(t, err)
		s.eventually(16*time.Second, "in force on the other boxes", func() bool {
			_, found := s.Boxes[0].Daemon.Node().Follower.Revision().Cascade("extra")
			return found
		})
		time.Sleep(16 * time.Second)
		for range 3 {
			time.Sleep(5 * time.Second)
			for what, chat := range map[string]Chat{"a new account": {Key: "demo-quay-new"}, "a new cascade": {Model: "extra"}} {
				reply := s.ask(2, chat)
				require.Equal(t, string(willowwick.KindNotRun), reply.Text, "%s: %+v", what, reply)
				require.Positive(t, reply.RetryAfter, what)
			}
		}
		s.rejoin(2)
		s.eventually(20*time.Second, "served", func() bool {
			return s.ask(2, Chat{Key: "demo-quay-new"}).Outcome == OutcomeComplete && s.ask(2, Chat{Model: "extra"}).Outcome == OutcomeComplete
		})
		// The box may get the missed change from a peer slightly before it confirms that nothing newer exists.
		s.eventually(fleet.ConfirmationTTL, "refused for good", func() bool {
			return s.ask(2, Chat{Model: "never"}).Text == string(willowwick.KindInvalid)
		})
	})
}
