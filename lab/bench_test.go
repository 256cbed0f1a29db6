package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/examples"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/serve"
)

// BenchmarkStream streams an answer directly from a runner and through a daemon, over loopback. The runner adds no
// delay, so the difference is the daemon's overhead.
func BenchmarkStream(b *testing.B) {
	f, closeFleet, err := NewFleet(Options{
		Network: Loopback{}, Boxes: 2, Halls: 2, Runners: 2, Slots: 64, Versions: goodVersions(), Settings: serve.Settings{},
	})
	require.NoError(b, err)
	defer closeFleet()
	for _, runner := range f.Runners {
		runner.FirstToken, runner.BetweenChunks = 0, 0
	}
	require.NoError(b, f.Apply(examples.Declarations))
	require.NoError(b, f.WaitReady(readyTimeout))
	client := f.Client("caller")
	body, err := json.Marshal(remote.ChatRequest{
		Model: "run-large-1", Messages: []willowwick.Message{{Role: "user", Content: "bench"}}, MaxTokens: 400, Stream: true,
	})
	require.NoError(b, err)
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			streamAnswer(b, client, "http://"+f.RunnerAddress(0)+remote.PathCompletions, body, "")
		}
	})
	body = bytes.Replace(body, []byte("run-large-1"), []byte("run-large"), 1)
	b.Run("through a daemon", func(b *testing.B) {
		for b.Loop() {
			streamAnswer(b, client, "http://"+f.Boxes[0].CallerAddress+remote.PathCompletions, body, coimbraKey)
		}
	})
}

func streamAnswer(b *testing.B, client *http.Client, url string, body []byte, key string) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	require.NoError(b, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	require.NoError(b, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
	require.Equal(b, http.StatusOK, response.StatusCode, string(text))
}
