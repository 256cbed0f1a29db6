package e2e

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBadInputGetsClearErrors checks the errors that the caller's API returns for invalid requests.
func TestBadInputGetsClearErrors(t *testing.T) {
	l := newLab(t, 1)
	message := `"messages":[{"role":"user","content":"x"}]`
	for _, bad := range []struct {
		name, key, body string
		header          map[string]string
		status          int
		wantText        string
	}{
		{"no key", "", `{"model":"auto",` + message + `}`, nil, http.StatusUnauthorized, "bad_key"},
		{"wrong key", "nobody", `{"model":"auto",` + message + `}`, nil, http.StatusUnauthorized, "bad_key"},
		{"bad JSON", labKey, `{"model":`, nil, http.StatusBadRequest, "bad_request"},
		{"no model", labKey, `{` + message + `}`, nil, http.StatusBadRequest, "model"},
		{"no messages", labKey, `{"model":"auto"}`, nil, http.StatusBadRequest, "messages"},
		{"empty messages", labKey, `{"model":"auto","messages":[]}`, nil, http.StatusBadRequest, "messages"},
		{"odd content", labKey, `{"model":"auto","messages":[{"role":"user","content":7}]}`, nil, http.StatusBadRequest, "messages[0].content"},
		{"unknown model", labKey, `{"model":"nothing",` + message + `}`, nil, http.StatusNotFound, "unknown_model"},
		{"not allowed", labKey, `{"model":"scan-large",` + message + `}`, nil, http.StatusForbidden, "not_allowed"},
		{"bad deadline", labKey, `{"model":"auto",` + message + `}`, map[string]string{"X-Willowwick-Deadline-Ms": "soon"}, http.StatusBadRequest, "deadline_ms"},
		{"past deadline", labKey, `{"model":"auto",` + message + `}`, map[string]string{"X-Willowwick-Deadline-Ms": "0"}, http.StatusBadRequest, "must be above 0"},
		{"too large", labKey, `{"model":"auto","messages":[{"role":"user","content":"` + strings.Repeat("x", 5<<20) + `"}]}`, nil, http.StatusRequestEntityTooLarge, "too_large"},
	} {
		t.Run(bad.name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, "http://"+l.daemons[0].callerAddress+"/v1/chat/completions", strings.NewReader(bad.body))
			require.NoError(t, err)
			request.Header.Set("Content-Type", "application/json")
			if bad.key != "" {
				request.Header.Set("Authorization", "Bearer "+bad.key)
			}
			for name, value := range bad.header {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			text := readAll(t, response)
			require.Equal(t, bad.status, response.StatusCode, text)
			require.Contains(t, text, bad.wantText)
			require.Contains(t, text, `"kind":"invalid"`)
		})
	}
	for path, status := range map[string]int{
		"/services/nothing/x":         http.StatusNotFound,
		"/services/registry/tags/1":   http.StatusForbidden,
		"/services/bookkeeping/runs/": http.StatusOK,
	} {
		request, err := http.NewRequest(http.MethodGet, "http://"+l.daemons[0].callerAddress+path, nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+labKey)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.Equal(t, status, response.StatusCode, path)
		_ = response.Body.Close()
	}
}

// TestOperatorTool checks the output and the exit codes of willowctl check, diff, apply, audit, rollout, status,
// withdraw, trace and usage.
func TestOperatorTool(t *testing.T) {
	l := newLab(t, 2)
	folder := t.TempDir()
	require.NoError(t, os.CopyFS(folder, os.DirFS("../../examples")))
	require.Contains(t, l.ctl(0, "check", folder), "no problems")
	require.Empty(t, strings.TrimSpace(l.ctl(0, "diff", "-platform", l.platformURL, folder)))

	limit := "kind: Limit\nname: braga\nspec:\n  account: lab-brag\n  tokensPerSecond: 100\n"
	file := filepath.Join(folder, "limit.yaml")
	require.NoError(t, os.WriteFile(file, []byte(limit), 0o600))
	broken := l.ctl(2, "check", folder)
	require.Contains(t, broken, "limit.yaml:4:")
	require.Contains(t, broken, `did you mean "lab-braga"?`)
	l.ctl(2, "apply", "-platform", l.platformURL, "-reason", "limit", folder)

	require.NoError(t, os.WriteFile(file, []byte(strings.ReplaceAll(limit, "lab-brag\n", "lab-braga\n")), 0o600))
	require.Contains(t, l.ctl(0, "diff", "-platform", l.platformURL, folder), "+ Limit/braga")
	require.Contains(t, l.ctl(2, "apply", "-platform", l.platformURL, folder), "-reason")
	require.Contains(t, l.ctl(0, "apply", "-platform", l.platformURL, "-reason", "limit", "-author", "ana", folder), "accepted")
	require.Contains(t, l.ctl(0, "apply", "-platform", l.platformURL, "-reason", "limit", folder), "nothing to change")
	audit := l.ctl(0, "audit", "-platform", l.platformURL)
	require.Contains(t, audit, "ana")
	require.Contains(t, audit, "Limit/braga")

	l.ctl(3, "rollout", "-platform", l.platformURL, "-reason", "new", "-model", "run-small", "-from", "run-small-1", "-to", "run-large-1", "run")
	l.ctl(0, "rollout", "-platform", l.platformURL, "-reason", "new", "-model", "run-small", "-from", "run-small-1", "-to", "run-small-2", "run")
	require.Contains(t, l.ctl(0, "status", "-platform", l.platformURL), "roll-out run: run-small from run-small-1 to run-small-2, step 1 of 3, 5% of sessions")
	l.ctl(0, "withdraw", "-platform", l.platformURL, "-reason", "bad", "run-small-2")
	require.Contains(t, l.ctl(0, "status", "-platform", l.platformURL), "withdrawn run-small-2")
	l.ctl(2, "withdraw", "-platform", l.platformURL, "-reason", "bad", "nothing")

	header := l.requireWhole(l.daemons[1], "trace me", nil)
	trace := l.ctl(0, "trace", "-platform", l.platformURL, header.Get("X-Request-Id"))
	for _, step := range []string{"plan", "version", "sent", "billed"} {
		require.Contains(t, trace, step)
	}
	l.ledger(1)
	require.Contains(t, l.ctl(0, "usage", "-platform", l.platformURL), "lab-coimbra")
}

// TestDaemonChecksItsSettings checks that willowwickd lists all invalid settings at once, and that -check exits after
// validation.
func TestDaemonChecksItsSettings(t *testing.T) {
	output, err := exec.Command(binary(t, "willowwickd"), "-platform", "nowhere", "-log-level", "loud", "-listen", "x").CombinedOutput()
	require.Error(t, err)
	for _, name := range []string{"-box", "WILLOWWICK_HALL", "-peer-address", "-platform", "-key", "-log-level", "-listen"} {
		require.Contains(t, string(output), name)
	}
	cmd := exec.Command(binary(t, "willowwickd"), "-check")
	cmd.Env = append(os.Environ(), "WILLOWWICK_BOX=a", "WILLOWWICK_HALL=h", "WILLOWWICK_PEER_ADDRESS=127.0.0.1:1",
		"WILLOWWICK_PLATFORM=http://127.0.0.1:2", "WILLOWWICK_KEY=0123456789abcdef")
	output, err = cmd.CombinedOutput()
	require.NoError(t, err, string(output))
}
