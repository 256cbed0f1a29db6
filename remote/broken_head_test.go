package remote_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/standin"
)

// newBrokenServer returns a server with one broken answer, and the endpoint that it is.
func newBrokenServer(t *testing.T, answer standin.BrokenAnswer) (*standin.RawServer, willowwick.Endpoint) {
	server, stop, err := standin.NewRawServer(func(*http.Request) string { return answer.Text })
	require.NoError(t, err)
	t.Cleanup(stop)
	return server, willowwick.Endpoint{ID: "e1", Address: server.Address}
}

// requireBroken requires that a call failed by a broken answer, and that nothing was believed of it: the call may have run.
func requireBroken(t *testing.T, err error, what ...any) {
	t.Helper()
	require.ErrorIs(t, err, willowwick.ErrBroken, what...)
	for _, other := range []error{willowwick.ErrNotSent, willowwick.ErrDraining, willowwick.ErrVersionNotLoaded, willowwick.ErrBusy, willowwick.ErrFenced} {
		require.NotErrorIs(t, err, other, what...)
	}
}

// Guards against answers that HTTP doesn't allow at the callers of plain services: they got them with the status, and with a body that
// isn't the service's.
func TestBrokenAnswerOfAServiceIsNoAnswer(t *testing.T) {
	client, closeClient := remote.NewServiceClient(nil)
	defer closeClient()
	for _, answer := range standin.BrokenLines(remote.HeaderLeaving + ": 1\r\n") {
		server, endpoint := newBrokenServer(t, answer)
		for n, repeatable := range []bool{false, true} {
			notices := 0
			got, err := client.Call(t.Context(), willowwick.ServiceCall{
				Endpoint: endpoint, Request: "r", Method: http.MethodPost, Path: "/", Header: http.Header{}, Repeatable: repeatable,
				Deadline: time.Now().Add(time.Minute), OnNotice: func(willowwick.Notice) { notices++ },
			})
			assert.Nil(t, got, answer.Name)
			requireBroken(t, err, answer.Name)
			assert.Zero(t, notices, answer.Name)
			assert.EqualValues(t, n+1, server.Requests(), "%s: it is not sent again", answer.Name)
		}
	}
}

// Guards against the same at the calls of engines and of the platform.
func TestBrokenAnswerOfAnEngineOrThePlatformIsNoAnswer(t *testing.T) {
	engines, closeEngines := remote.NewEngineClient(nil)
	defer closeEngines()
	for _, answer := range standin.BrokenLines(remote.HeaderLeaving + ": 1\r\n") {
		server, endpoint := newBrokenServer(t, answer)
		platform, closePlatform := remote.NewClient("http://"+server.Address, nil)
		for name, call := range map[string]func() error{
			"chat": func() error {
				_, _, err := engines.Open(t.Context(), willowwick.EngineCall{
					Endpoint: endpoint, Request: "r", Deadline: time.Now().Add(time.Minute),
					OnNotice: func(willowwick.Notice) { assert.Fail(t, "a notice is believed", answer.Name) },
				})
				return err
			},
			"load":   func() error { _, err := engines.Load(t.Context(), endpoint); return err },
			"order":  func() error { return engines.Order(t.Context(), endpoint, willowwick.Order{}) },
			"append": func() error { _, err := platform.Append(t.Context(), "s", []byte("x")); return err },
			"read":   func() error { _, err := platform.Read(t.Context(), "s", 0, 1); return err },
			"list":   func() error { _, _, err := platform.List(t.Context(), ""); return err },
			"rate":   func() error { _, err := platform.Rate(t.Context(), willowwick.RatingRequest{}); return err },
		} {
			requireBroken(t, call(), "%s: %s", answer.Name, name)
		}
		closePlatform()
	}
}
