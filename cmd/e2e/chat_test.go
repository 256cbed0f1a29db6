package e2e

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestsAreAnsweredAndBilled sends streamed and other requests through two daemons and checks that each is billed.
func TestRequestsAreAnsweredAndBilled(t *testing.T) {
	l := newLab(t, 2)
	l.requireWhole(l.daemons[0], "first", nil)
	l.requireWhole(l.daemons[1], "second", nil)

	request, err := http.NewRequest(http.MethodPost, "http://"+l.daemons[0].callerAddress+"/v1/chat/completions",
		bytes.NewBufferString(`{"model":"run-large","stream":true,"messages":[{"role":"user","content":"third"}]}`))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+labKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	lines := 0
	last := ""
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "data:") {
			lines++
			last = scanner.Text()
		}
	}
	require.Contains(t, last, "[DONE]")
	require.Greater(t, lines, 3)

	ledger := l.ledger(3)
	require.Equal(t, 3, ledger.TotalCount)
	require.Zero(t, ledger.BilledTwice())
	require.Positive(t, ledger.ByAccount[l.account()])
}
