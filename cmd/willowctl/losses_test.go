package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endedLine returns a log line about the end of request n, at second n.
func endedLine(n int, message, more string) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:%02dZ","msg":%q,"request":"r%d","route":"ask","ms":9000,"goal_ms":1000,"endpoint":"e1"%s}`, n, message, n, more)
}

func sendLine(n int, outcome string, ms int) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:%02dZ","msg":"send ended","request":"r%d","outcome":%q,"ms":%d,"endpoint":"e0"}`, n, n, outcome, ms)
}

func TestLossesGroupsRequestsByCause(t *testing.T) {
	cases := []struct {
		cause lossCause
		lines []string
	}{
		{"", []string{endedLine(0, "answered", `,"first_ms":900,"stage":3,"stages":3,"confidence":20`)}},
		{causeLowConfidence, []string{endedLine(1, "answered", `,"first_ms":900,"stage":1,"stages":3,"confidence":20`)}},
		{causeQueuedAtBox, []string{endedLine(2, "answered", `,"first_ms":1500,"send_ms":800,"ahead_ms":300,"reading_ms":300`)}},
		{causeQueuedAtEndpoint, []string{endedLine(3, "answered", `,"first_ms":1500,"send_ms":10,"ahead_ms":900,"reading_ms":300`)}},
		{causePrefill, []string{endedLine(4, "answered", `,"first_ms":1500,"send_ms":10,"ahead_ms":100,"reading_ms":1300`)}},
		{causeBeyondForecast, []string{endedLine(5, "answered", `,"first_ms":1500,"send_ms":10,"ahead_ms":100,"reading_ms":300`)}},
		{causeEndpointSilent, []string{sendLine(6, "silent", 900), endedLine(6, "answered", `,"first_ms":1500,"send_ms":1000`)}},
		{causeEscalated, []string{sendLine(7, "escalated", 900), endedLine(7, "answered", `,"first_ms":1500,"send_ms":1000`)}},
		{causeEndpointFailed, []string{sendLine(8, "broken", 900), endedLine(8, "answered", `,"first_ms":1500,"send_ms":1000`)}},
		{causeStreamPause, []string{endedLine(9, "answered", `,"first_ms":500,"pause_ms":900,"pause_goal_ms":800`)}},
		{causeStopping, []string{endedLine(10, "refused", `,"cause":"this box is stopping"`)}},
		{causeTimedOut, []string{endedLine(11, "refused", `,"cause":"the time was up (silent)"`)}},
		{causeNoAnswer, []string{endedLine(12, "refused", `,"cause":"no endpoint answered (broken)"`)}},
		{causeNothingKnown, []string{endedLine(13, "refused", `,"cause":"no endpoint serves it"`)}},
		{causeNoSlot, []string{endedLine(14, "refused", `,"cause":"the turn of this request would come after its deadline"`)}},
		{causeFailurePassedOn, []string{sendLine(15, "failed", 5), endedLine(15, "endpoint's failure passed on", "")}},
		{causeCutOff, []string{endedLine(16, "answer cut off", "")}},
		{causeCallerLeft, []string{endedLine(17, "caller left", "")}},
	}
	var logs []string
	want := map[string]lossCause{}
	for i, c := range cases {
		logs = append(logs, c.lines...)
		if c.cause != "" {
			want[fmt.Sprint("r", i)] = c.cause
		}
	}
	logs = append(logs, "noise", `{"msg":"answered"}`, sendLine(99, "silent", 1))
	file := filepath.Join(t.TempDir(), "logs")
	require.NoError(t, os.WriteFile(file, []byte(strings.Join(logs, "\n")), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, exitOK, execute(context.Background(), []string{"losses", "-json", file}, &out, &errOut), errOut.String())
	var report lossReport
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	assert.Equal(t, len(cases), report.Requests)
	got := map[string]lossCause{}
	for _, l := range report.Losses {
		got[l.Request] = l.Cause
	}
	assert.Equal(t, want, got)
	assert.Contains(t, report.ByTime, lossRow{causeLowConfidence, "00:00:00", 1})
	assert.Contains(t, report.ByRoute, lossRow{causeTimedOut, "ask", 1})
	assert.Contains(t, report.ByEndpoint, lossRow{causeTimedOut, "e1", 1})

	out.Reset()
	require.Equal(t, exitOK, execute(context.Background(), []string{"losses", "-doubt", "10", file}, &out, &errOut))
	assert.Contains(t, out.String(), "18 requests, 16 of them lost")
	assert.Equal(t, exitInvalid, execute(context.Background(), []string{"losses", "-window", "0s", file}, &out, &errOut))
	assert.Equal(t, exitFailed, execute(context.Background(), []string{"losses", os.DevNull}, &out, &errOut))
	assert.Equal(t, exitFailed, execute(context.Background(), []string{"losses", filepath.Join(t.TempDir(), "none")}, &out, &errOut))
}
