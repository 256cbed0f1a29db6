package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

// TestOpenAIClient checks that the official OpenAI client library works unchanged, including streaming.
func TestOpenAIClient(t *testing.T) {
	l := newLab(t, 2)
	client := openai.NewClient(option.WithBaseURL("http://"+l.daemons[0].callerAddress+"/v1/"), option.WithAPIKey(labKey))
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	params := openai.ChatCompletionNewParams{
		Model:     "auto",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be short"), openai.UserMessage("summarise run 7")},
		MaxTokens: openai.Int(400),
	}
	const prompt = "be short\nsummarise run 7\n"
	whole, err := client.Chat.Completions.New(ctx, params)
	require.NoError(t, err)
	require.True(t, standin.IsCompleteAnswer(prompt, whole.Choices[0].Message.Content, 400))
	require.Equal(t, "stop", whole.Choices[0].FinishReason)
	require.Positive(t, whole.Usage.TotalTokens)

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	gathered := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, gathered.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.True(t, standin.IsCompleteAnswer(prompt, gathered.Choices[0].Message.Content, 400))

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	var names []string
	for _, model := range models.Data {
		names = append(names, model.ID)
	}
	require.Equal(t, []string{"summarise", "run-large", "run-small", "auto"}, names)

	params.Model = "no-such-model"
	_, err = client.Chat.Completions.New(ctx, params)
	var apiError *openai.Error
	require.ErrorAs(t, err, &apiError)
	require.Equal(t, http.StatusNotFound, apiError.StatusCode)
	require.Equal(t, "unknown_model", apiError.Code)
}

// traffic sends requests to the daemons that are not skipped until it is stopped.
type traffic struct {
	lab            *lab
	answered       atomic.Int64
	failures       sync.Map
	skippedDaemons sync.Map // names of daemons that get no new requests, as if a load balancer had removed them
	stop           chan struct{}
	callers        sync.WaitGroup
}

func (l *lab) traffic(callers int) *traffic {
	tr := &traffic{lab: l, stop: make(chan struct{})}
	for n := range callers {
		tr.callers.Go(func() { tr.run(n) })
	}
	return tr
}

func (tr *traffic) run(caller int) {
	for n := 0; ; n++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		d := tr.lab.daemons[(caller+n)%len(tr.lab.daemons)]
		if _, skipped := tr.skippedDaemons.Load(d.name); skipped {
			continue
		}
		prompt := fmt.Sprintf("caller %d request %d", caller, n)
		status, text, _ := tr.lab.chat(d, prompt, nil)
		_, skippedNow := tr.skippedDaemons.Load(d.name)
		switch {
		case status == http.StatusOK && standin.IsCompleteAnswer(prompt+"\n", text, 400):
			tr.answered.Add(1)
		case skippedNow || strings.HasPrefix(text, "not_run") || strings.Contains(text, "connection refused"):
		default:
			tr.failures.Store(prompt, fmt.Sprint(status, " ", text))
		}
	}
}

// stopAndCollect stops the callers and returns the failed requests' statuses and texts.
func (tr *traffic) stopAndCollect() []any {
	close(tr.stop)
	tr.callers.Wait()
	var wrong []any
	tr.failures.Range(func(_, value any) bool {
		wrong = append(wrong, value)
		return true
	})
	return wrong
}

// TestPlannedStopUnderLoad checks that SIGTERM interrupts no request and that the process then exits.
func TestPlannedStopUnderLoad(t *testing.T) {
	l := newLab(t, 3)
	load := l.traffic(8)
	time.Sleep(time.Second)
	stopped := l.daemons[2]
	require.NoError(t, stopped.cmd.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + stopped.adminAddress + "/readyz")
		if err != nil {
			return true
		}
		_ = response.Body.Close()
		return response.StatusCode != http.StatusOK
	}, startTimeout, pollInterval)
	require.NoError(t, stopped.cmd.Wait(), stopped.log.String())
	load.skippedDaemons.Store(stopped.name, true)
	time.Sleep(500 * time.Millisecond)
	require.Empty(t, load.stopAndCollect())
	answered := int(load.answered.Load())
	require.Positive(t, answered)
	require.Equal(t, answered, l.ledger(answered).TotalCount)
}

// Guards against a call that the second signal of an impatient operator cuts without an answer, though its service is running it.
func TestSecondSignalAnswersWhatRuns(t *testing.T) {
	l := newLab(t, 1)
	d := l.daemons[0]
	l.setFaults("http://"+l.endpointAddresses["books1"], standin.ServiceFaults{SlowMs: int(startTimeout.Milliseconds())})
	statuses := make(chan int, 1)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+"/services/bookkeeping/calibrations/1", strings.NewReader("entry"))
		request.Header.Set("Authorization", "Bearer "+labKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Log(err)
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	time.Sleep(time.Second)
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(time.Second) // longer than the box serves on
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	_ = d.cmd.Wait()
	require.Equal(t, http.StatusBadGateway, <-statuses)
}

// TestKilledDaemonLosesNoBill kills a daemon under load and checks that each answered request is billed exactly once.
func TestKilledDaemonLosesNoBill(t *testing.T) {
	l := newLab(t, 3)
	load := l.traffic(8)
	time.Sleep(time.Second)
	killed := l.daemons[0]
	load.skippedDaemons.Store(killed.name, true)
	require.NoError(t, killed.cmd.Process.Kill())
	_ = killed.cmd.Wait()
	time.Sleep(time.Second)
	require.Empty(t, load.stopAndCollect())
	answered := int(load.answered.Load())
	ledger := l.ledger(answered)
	// There may be a bill for an answer that the killed box did not finish sending.
	require.GreaterOrEqual(t, ledger.TotalCount, answered)
	require.Zero(t, ledger.BilledTwice())
}

// TestSuspendedDaemonCatchesUp suspends a daemon for longer than its lease and checks that it serves again after it has
// applied a withdrawal declared meanwhile, and that only one lease is held.
func TestSuspendedDaemonCatchesUp(t *testing.T) {
	l := newLab(t, 3)
	frozen := l.daemons[0]
	require.NoError(t, frozen.cmd.Process.Signal(syscall.SIGSTOP))
	l.ctl(4, "withdraw", "-platform", l.platformURL, "-reason", "during suspension", "-wait", "3s", "scan-small-2")
	time.Sleep(14 * time.Second)
	require.NoError(t, frozen.cmd.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool {
		return strings.Contains(l.ctl(0, "status", "-platform", l.platformURL), "withdrawn scan-small-2") && !strings.Contains(l.ctl(0, "status", "-platform", l.platformURL), "unreachable")
	}, startTimeout, pollInterval)
	l.requireWhole(frozen, "after the suspension", nil)
	status := l.ctl(0, "status", "-platform", l.platformURL)
	require.LessOrEqual(t, strings.Count(status, " true  "), 4, status) // three daemons are ready, and one holds the lease
}

// TestRequestsContinueWhileLogIsDownOrSlow checks that requests are served while the log is down or slow, and that they
// are billed afterwards.
func TestRequestsContinueWhileLogIsDownOrSlow(t *testing.T) {
	l := newLab(t, 3)
	l.setFaults(l.platformURL, standin.PlatformFaults{LogDown: true})
	for n := range 12 {
		l.requireWhole(l.daemons[n%3], fmt.Sprint("down ", n), nil)
	}
	time.Sleep(7 * time.Second)
	for n := range 12 {
		l.requireWhole(l.daemons[n%3], fmt.Sprint("still down ", n), nil)
	}
	l.setFaults(l.platformURL, standin.PlatformFaults{SlowMs: 700})
	for n := range 6 {
		l.requireWhole(l.daemons[n%3], fmt.Sprint("slow ", n), nil)
	}
	ledger := l.ledger(30)
	require.Equal(t, 30, ledger.TotalCount)
	require.Zero(t, ledger.BilledTwice())
}
