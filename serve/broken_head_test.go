package serve_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/lab"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/standin"
)

// registryKey is the key of an account that uses the service "registry".
const registryKey = "demo-harbour-builds"

// brokenEndpoint is an endpoint that answers load reports well, and all else with one answer that HTTP doesn't allow after the other.
type brokenEndpoint struct {
	*standin.RawServer
	fleet   *lab.Fleet
	client  *http.Client
	answers []standin.BrokenAnswer
	sent    int            // answers; the calls of a test come one at a time
	runs    map[string]int // by X-Entry
}

// addBrokenEndpoint starts such an endpoint and has it listed.
func addBrokenEndpoint(t *testing.T, fleet *lab.Fleet, network *lab.MemoryNetwork, endpoint willowwick.Endpoint) *brokenEndpoint {
	listener, err := network.Listen("broken")
	require.NoError(t, err)
	b := &brokenEndpoint{
		fleet: fleet, client: fleet.Client("caller"), answers: standin.BrokenAnswers("Content-Type: text/event-stream\r\n"), runs: map[string]int{},
	}
	var stop func()
	b.RawServer, stop = standin.ServeRaw(listener, b.answer)
	t.Cleanup(stop)
	endpoint.ID, endpoint.Hall, endpoint.Address = "broken", fleet.Boxes[0].Hall, b.Address
	fleet.Platform.SetEndpoint(endpoint)
	time.Sleep(settleTime)
	return b
}

func (b *brokenEndpoint) answer(r *http.Request) string {
	if r.URL.Path == remote.PathLoad {
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	}
	b.runs[r.Header.Get("X-Entry")]++
	b.sent++
	return b.answers[(b.sent-1)%len(b.answers)].Text
}

// callUntilSent makes calls until the endpoint has sent every answer, and between them the good calls that one retry takes.
func (b *brokenEndpoint) callUntilSent(t *testing.T, call func(n int)) {
	const maxCalls, goodCallsOfARetry = 2000, 10
	for n := 0; b.sent < len(b.answers); n++ {
		require.Less(t, n, maxCalls, "of the answers %d were sent", b.sent)
		before := b.sent
		call(n)
		time.Sleep(settleTime)
		for range goodCallsOfARetry * (b.sent - before) {
			reply := b.callService(t, registryKey, http.MethodGet, "/services/registry/layers/1", "")
			require.Equal(t, lab.OutcomeComplete, reply.Outcome, reply.Detail)
		}
	}
}

// callService calls a service; the entry names the effect of the call, and is the end of its idempotency key.
func (b *brokenEndpoint) callService(t *testing.T, key, method, path, entry string) lab.Reply {
	return lab.CallService(t.Context(), b.client, b.fleet.Boxes[0].CallerAddress, key, method, path, "key-"+entry, entry)
}

// Guards against answers of a service that HTTP doesn't allow at the callers of a box: a call that may be repeated is answered by another
// instance, and any other runs once and is told that its outcome isn't known, also when it comes again with its key.
func TestCallerGetsNoBrokenAnswerOfAService(t *testing.T) {
	for method, path := range map[string]string{http.MethodGet: "/runs/1", http.MethodPost: "/calibrations/1"} {
		t.Run(method, func(t *testing.T) {
			withFleet(t, func(t *testing.T, fleet *lab.Fleet, network *lab.MemoryNetwork) {
				broken := addBrokenEndpoint(t, fleet, network, willowwick.Endpoint{Kind: willowwick.KindService, Service: "bookkeeping"})
				broken.callUntilSent(t, func(n int) {
					entry, before := fmt.Sprint("entry-", n), broken.sent
					reply := broken.callService(t, clientKey, method, "/services/bookkeeping"+path, entry)
					if broken.sent == before || method == http.MethodGet {
						require.Equal(t, lab.OutcomeComplete, reply.Outcome, reply.Detail)
						return
					}
					for range 2 {
						assert.Equal(t, lab.OutcomeRefused, reply.Outcome, reply.Detail)
						assert.Equal(t, string(willowwick.KindOutcomeUnknown), reply.Text)
						assert.NotContains(t, reply.Detail, "theirs")
						reply = broken.callService(t, clientKey, method, "/services/bookkeeping"+path, entry)
					}
					assert.Equal(t, 1, broken.runs[entry])
					assert.Zero(t, fleet.Services["bookkeeping"][0].Effects()[entry])
				})
			})
		})
	}
}

// Guards against the same at the callers of a chat: each is answered by another runner.
func TestCallerGetsNoBrokenAnswerOfARunner(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *lab.Fleet, network *lab.MemoryNetwork) {
		broken := addBrokenEndpoint(t, fleet, network, willowwick.Endpoint{Kind: willowwick.KindRunner, Versions: []willowwick.VersionID{"run-large-1"}})
		broken.callUntilSent(t, func(n int) {
			chat := lab.Chat{Key: clientKey, Model: "run-large", Prompt: fmt.Sprint("prompt ", n), MaxTokens: 20, Stream: n%2 == 0}
			reply := lab.Ask(t.Context(), broken.client, fleet.Boxes[0].CallerAddress, chat)
			require.Equal(t, lab.OutcomeComplete, reply.Outcome, reply.Detail)
		})
	})
}
