package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const explainLogs = `2.1 box-2 {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"answered","box":"box-2","request":"ab12","status":200,"ms":7}
noise
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"send ended","box":"box-2","request":"ab12","outcome":"broken"}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"answered","box":"box-1","request":"ab123","status":200}
`

func TestExplainPrintsLinesInTimeOrder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "logs")
	require.NoError(t, os.WriteFile(file, []byte(explainLogs), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, exitOK, execute(context.Background(), []string{"explain", "ab12", file}, &out, &errOut), errOut.String())
	assert.Equal(t, "2026-01-01T00:00:01Z  box-2  send ended  outcome=\"broken\"\n2026-01-01T00:00:02Z  box-2  answered  ms=7  status=200\n", out.String())
	assert.Equal(t, exitFailed, execute(context.Background(), []string{"explain", "none", file}, &out, &errOut))
	assert.Equal(t, exitInvalid, execute(context.Background(), []string{"explain"}, &out, &errOut))
}
