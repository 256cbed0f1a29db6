package lab

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/standin"
)

// drop lets a runner drop a version, as an order does.
func drop(t *testing.T, runner *standin.Engine, version willowwick.VersionID) {
	order, err := json.Marshal(willowwick.Order{Withdraw: version, Deadline: time.Now().Add(time.Minute)})
	require.NoError(t, err)
	answer := httptest.NewRecorder()
	runner.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, remote.PathOrders, bytes.NewReader(order)))
	require.Equal(t, http.StatusOK, answer.Code)
}

// Guards against 502 from a box that has not heard yet of the withdrawal of a version that the runners have dropped.
func TestBoxThatHasNotHeardOfAWithdrawalAnswersByAnotherVersion(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		s.startRollout(20, 100)
		s.sendLoad(40, time.Minute, func() bool { return s.rolloutProgress().Done })
		require.Equal(t, willowwick.VersionID("run-small-2"), s.requireAnswer(0, Chat{Model: "run-small"}).Version)
		for _, runner := range s.Runners {
			drop(t, runner, "run-small-2")
		}
		_, err := s.Publish(config.Record{Kind: config.RecordWithdraw, Withdraw: &config.Withdraw{
			ID: "withdraw-run-small-2", Author: "test", Reason: "test", Version: "run-small-2",
		}})
		require.NoError(t, err)
		for box := range s.Boxes {
			reply := s.ask(box, Chat{Model: "run-small"})
			assert.Equal(t, OutcomeComplete, reply.Outcome, "box %d: %+v", box, reply)
			assert.Equal(t, willowwick.VersionID("run-small-1"), reply.Version)
		}
	})
}

// Guards against 502, which says that the request may have run, from a box that can't learn why no runner has its version.
func TestVersionThatNoRunnerHasIsRefusedAsNotRun(t *testing.T) {
	withTestFleet(t, 3, func(s *testFleet) {
		for _, runner := range s.Runners {
			drop(t, runner, "run-small-1")
		}
		for box := range s.Boxes {
			reply := s.ask(box, Chat{Model: "run-small"})
			assert.Equal(t, http.StatusServiceUnavailable, reply.Status, "box %d: %+v", box, reply)
			assert.Equal(t, string(willowwick.KindNotRun), reply.Text)
		}
	})
}
