package lab

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/examples"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/policy"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/standin"
)

const (
	coimbraKey      = "demo-lab-coimbra"
	bragaKey        = "demo-lab-braga"
	harbourKey      = "demo-harbour-builds"
	readyTimeout    = 60 * time.Second
	maxAnswerTokens = 400
)

// testFleet is a fleet in virtual time with a caller.
type testFleet struct {
	*Fleet
	t       *testing.T
	net     *MemoryNetwork
	client  *http.Client
	billed  int // answers that must be on the ledger
	prompts int
}

func goodVersions() map[willowwick.VersionID]standin.VersionBehaviour {
	versions := map[willowwick.VersionID]standin.VersionBehaviour{}
	for _, version := range []willowwick.VersionID{"run-small-1", "run-small-2", "run-large-1", "scan-small-1", "scan-small-2", "scan-large-1"} {
		versions[version] = standin.VersionBehaviour{Quality: 1}
	}
	return versions
}

// withTestFleet runs a test in virtual time on a fleet of so many boxes in three halls.
func withTestFleet(t *testing.T, boxes int, test func(*testFleet)) {
	t.Helper()
	withTestFleetSettings(t, boxes, serve.Settings{DrainDelay: time.Second, StallTimeout: time.Second}, test)
}

// withTestFleetSettings is withTestFleet with settings for the daemons.
func withTestFleetSettings(t *testing.T, boxes int, settings serve.Settings, test func(*testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testFleet{t: t, net: NewMemoryNetwork()}
		fleet, closeFleet, err := NewFleet(Options{
			Network: s.net, Boxes: boxes, Halls: 3, Runners: 3, Slots: 8, Versions: goodVersions(),
			Services: map[willowwick.ServiceID]int{"registry": 2, "bookkeeping": 2},
			Settings: settings,
		})
		require.NoError(t, err)
		defer closeFleet()
		s.Fleet = fleet
		s.client = fleet.Client("caller")
		require.NoError(t, fleet.Apply(examples.Declarations))
		require.NoError(t, fleet.WaitReady(readyTimeout))
		test(s)
	})
}

func (s *testFleet) nextPrompt() string {
	s.prompts++
	return "prompt " + itoa(s.prompts)
}

// ask sends a chat to a box and counts a complete answer as billed.
func (s *testFleet) ask(box int, chat Chat) Reply {
	if chat.Prompt == "" {
		chat.Prompt = s.nextPrompt()
	}
	if chat.Key == "" {
		chat.Key = coimbraKey
	}
	if chat.Model == "" {
		chat.Model = "run-large"
	}
	chat.MaxTokens = maxAnswerTokens
	reply := Ask(context.Background(), s.client, s.Boxes[box].CallerAddress, chat)
	if reply.Outcome == OutcomeComplete {
		s.billed++
	}
	return reply
}

func (s *testFleet) requireAnswer(box int, chat Chat) Reply {
	s.t.Helper()
	reply := s.ask(box, chat)
	require.Equal(s.t, OutcomeComplete, reply.Outcome, "%+v", reply)
	return reply
}

// requireBills waits until the ledger has every counted answer, and requires each to be there once.
func (s *testFleet) requireBills() *fleet.Ledger {
	s.t.Helper()
	var ledger *fleet.Ledger
	for range 60 {
		ledger = fleet.NewLedger()
		for _, entry := range s.Platform.Entries(willowwick.StreamUsage) {
			require.NoError(s.t, ledger.Fold(entry))
		}
		if ledger.TotalCount >= s.billed {
			break
		}
		time.Sleep(time.Second)
	}
	require.Equal(s.t, s.billed, ledger.TotalCount)
	require.Zero(s.t, ledger.BilledTwice())
	return ledger
}

func TestFleetAnswersAndBills(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		for box := range s.Boxes {
			s.requireAnswer(box, Chat{Stream: true})
			s.requireAnswer(box, Chat{})
			s.requireAnswer(box, Chat{Model: "auto"})
		}
		s.requireBills()
	})
}

// disallowedModelRule returns a policy rule that routes to a model that some accounts may not use.
func disallowedModelRule() policy.Rule {
	return policy.Rule{Name: "wide", When: "true", Then: policy.Action{Model: "scan-large"}}
}
