package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
)

// TestIsolatedBoxRefusesNothingForGood: what a box's configuration does not hold may have been declared since the box was cut
// off, and is in force elsewhere at the latest after the time that operators are promised. The exchange once went by the
// wrong age there; this interface went by none.
func TestIsolatedBoxRefusesNothingForGood(t *testing.T) {
	inScene(t, 3, func(s *scene) {
		s.whole(2, Chat{})
		s.isolate(2)
		_, err := s.Publish(config.Record{Kind: config.RecordChange, Change: &config.Change{
			ID: "added", Author: "test", Reason: "test", Basis: s.Boxes[0].Daemon.Status().Offset,
			Objects: []config.Object{
				object(t, config.KindClientAccount, "quay-new", &config.ClientAccount{
					Keys: []string{config.HashKey("demo-quay-new")}, Allow: []string{"run-large"}, Default: "notes",
				}),
				object(t, config.KindCascade, "extra", &config.Cascade{Stages: []willowwick.ModelID{"run-small"}, Judge: config.JudgeRater}),
			},
		}})
		require.NoError(t, err)
		s.eventually(16*time.Second, "in force at the others", func() bool {
			_, isThere := s.Boxes[0].Daemon.Node().Follower.Revision().Cascade("extra")
			return isThere
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
			return s.ask(2, Chat{Key: "demo-quay-new"}).Outcome == OutcomeWhole && s.ask(2, Chat{Model: "extra"}).Outcome == OutcomeWhole
		})
		// It may have what it missed from another box a moment before it knows that nothing came after that.
		s.eventually(fleet.ConfirmationTTL, "refused for good", func() bool {
			return s.ask(2, Chat{Model: "never"}).Text == string(willowwick.KindInvalid)
		})
	})
}
