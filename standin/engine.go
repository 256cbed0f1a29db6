package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/remote"
)

const (
	// lowScoreMarker marks answers that the rater scores low.
	lowScoreMarker = "[poor]"

	hashBuckets        = 10_000
	minChunks          = 6
	chunkCountSpread   = 18
	loadReportInterval = 200 * time.Millisecond
	tokensPerChunk     = 4
)

type (
	// VersionBehaviour is how a version answers at a runner.
	VersionBehaviour struct {
		Quality float64 `json:"quality"` // share of answers that the rater scores high
		Errors  float64 `json:"errors"`  // share of calls that fail
		Slow    float64 `json:"slow"`    // factor on all durations; 0 counts as 1
	}

	// EngineFaults are the faults that one runner injects.
	EngineFaults struct {
		Draining          bool `json:"leaving"`   // announce it, and reject new work
		DrainsSilently    bool `json:"quietly"`   // with Draining: announce it in load reports only, and accept new work
		AnnouncesDraining bool `json:"announced"` // announce it in answers only, and accept new work
		CutAfter          int  `json:"cutAfter"`  // cut the next stream after this many chunks
		CutTimes          int  `json:"cutTimes"`  // number of streams to cut
		Stall             int  `json:"stall"`     // number of streams to stall after their first chunk
		MixUp             int  `json:"cross"`     // number of streams that switch to a wrong request ID
		Skip              int  `json:"skip"`      // number of streams that leave out a chunk
		Repeat            int  `json:"repeat"`    // number of streams that send a chunk twice
		FailAll           bool `json:"denyAfter"` // answer 500 to every call
		// CrashOn crashes the runner when it begins to run a prompt that contains this text.
		CrashOn string `json:"endOn"`
		// RateLimit is the rate limit that answers carry; empty for none.
		RateLimit string `json:"rateLimit"`
		// BackoffSeconds is the backoff asked for in the rejection of every call; empty to accept calls.
		BackoffSeconds string `json:"rest"`
	}

	// Engine stands in for a runner.
	Engine struct {
		ID            willowwick.EndpointID
		Slots         int
		FirstToken    time.Duration
		BetweenChunks time.Duration
		ChecksFencing bool
		IgnoresOrders bool
		// Crash drops the runner's listener and connections, as the end of its process does; nil if it cannot crash.
		Crash func()

		mu         sync.Mutex
		versions   map[willowwick.VersionID]VersionBehaviour
		faults     EngineFaults
		crashed    bool
		slots      chan struct{}
		waiting    int
		running    int
		lastReport willowwick.EndpointLoad
		served     map[willowwick.VersionID][]time.Time
		rejected   int
		fence      willowwick.Fence
		orders     []willowwick.Order
		mux        *http.ServeMux
	}
)

// NewEngine returns a runner that serves the versions.
func NewEngine(id willowwick.EndpointID, slots int, versions map[willowwick.VersionID]VersionBehaviour) *Engine {
	e := &Engine{
		ID: id, Slots: slots, FirstToken: 30 * time.Millisecond, BetweenChunks: 4 * time.Millisecond,
		versions: versions, slots: make(chan struct{}, slots),
		served: map[willowwick.VersionID][]time.Time{}, mux: http.NewServeMux(),
	}
	e.mux.HandleFunc("POST "+remote.PathCompletions, e.handleChat)
	e.mux.HandleFunc("GET "+remote.PathLoad, e.handleLoad)
	e.mux.HandleFunc("POST "+remote.PathOrders, e.handleOrder)
	e.mux.HandleFunc("PUT "+pathFaults, handlePut(func(f EngineFaults) { e.SetFaults(func(old *EngineFaults) { *old = f }) }))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// SetFaults changes the faults.
func (e *Engine) SetFaults(change func(*EngineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

// HasCrashed reports whether a prompt crashed the runner.
func (e *Engine) HasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// SetBehaviour changes how a version answers.
func (e *Engine) SetBehaviour(version willowwick.VersionID, behaviour VersionBehaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[version] = behaviour
}

// Served returns the times at which calls for a version began.
func (e *Engine) Served(version willowwick.VersionID) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.served[version]...)
}

// Rejected returns the number of calls rejected because of BackoffSeconds.
func (e *Engine) Rejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejected
}

// Orders returns the orders that the runner accepted.
func (e *Engine) Orders() []willowwick.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]willowwick.Order(nil), e.orders...)
}

// AnswerTo returns the complete answer of a version to a prompt, in chunks; it is deterministic.
func AnswerTo(prompt string, version willowwick.VersionID, quality float64, maxTokens willowwick.Tokens) []string {
	hash := xxhash.Sum64String(prompt)
	count := minChunks + int(hash%chunkCountSpread)
	if maxTokens > 0 {
		count = min(count, int(maxTokens+tokensPerChunk-1)/tokensPerChunk)
	}
	isLowScored := float64(xxhash.Sum64String(prompt+string(version))%hashBuckets) >= quality*hashBuckets
	chunks := make([]string, max(count, 1))
	for i := range chunks {
		chunks[i] = fmt.Sprintf("%08x-%d ", uint32(hash), i)
	}
	if isLowScored {
		chunks[0] = lowScoreMarker + " " + chunks[0]
	}
	return chunks
}

// AnswerPrefix returns the start of every chunk of the answers to a prompt.
func AnswerPrefix(prompt string) string {
	return fmt.Sprintf("%08x-", uint32(xxhash.Sum64String(prompt)))
}

// IsCompleteAnswer reports whether a text is a complete answer to the prompt.
func IsCompleteAnswer(prompt, text string, maxTokens willowwick.Tokens) bool {
	text = strings.TrimPrefix(text, lowScoreMarker+" ")
	return text == strings.Join(AnswerTo(prompt, "", 1, maxTokens), "")
}

type chatRun struct {
	request  willowwick.RequestID
	call     remote.ChatRequest
	slowdown time.Duration
	chunks   []string
	prompt   string
	resumeAt int
	faults   EngineFaults
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	run := chatRun{request: willowwick.RequestID(r.Header.Get(remote.HeaderRequestID)), slowdown: 1}
	if err := json.NewDecoder(r.Body).Decode(&run.call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if resume := r.Header.Get(remote.HeaderResumeAt); resume != "" {
		at, err := strconv.Atoi(resume)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		run.resumeAt = at
	}
	if !e.admit(w, &run) {
		return
	}
	if !e.acquireSlot(r) {
		return
	}
	defer e.releaseSlot()
	if marker := run.faults.CrashOn; marker != "" && e.Crash != nil && strings.Contains(run.prompt, marker) {
		e.mu.Lock()
		e.crashed = true
		e.mu.Unlock()
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, run)
}

// admit rejects the call or prepares its answer and faults.
func (e *Engine) admit(w http.ResponseWriter, run *chatRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeLoad(w.Header())
	if e.faults.AnnouncesDraining {
		w.Header().Set(remote.HeaderLeaving, "true")
	}
	if e.faults.Draining && !e.faults.DrainsSilently {
		w.Header().Set(remote.HeaderLeaving, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return false
	}
	if e.faults.BackoffSeconds != "" {
		e.rejected++
		w.Header().Set(remote.HeaderRetryAfter, e.faults.BackoffSeconds)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return false
	}
	behaviour, ok := e.versions[run.call.Model]
	if !ok {
		http.Error(w, "version is not loaded", http.StatusNotFound)
		return false
	}
	run.prompt = willowwick.PromptText(run.call.Messages)
	e.served[run.call.Model] = append(e.served[run.call.Model], time.Now())
	draw := float64(xxhash.Sum64String(string(run.request)+run.prompt)%hashBuckets) / hashBuckets
	if e.faults.FailAll || draw < behaviour.Errors {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return false
	}
	if behaviour.Slow > 1 {
		run.slowdown = time.Duration(behaviour.Slow)
	}
	run.chunks = AnswerTo(run.prompt, run.call.Model, behaviour.Quality, run.call.MaxTokens)
	run.faults = e.consumeFaults()
	return true
}

// consumeFaults takes the faults of one stream off the runner's counters; the caller holds the lock.
func (e *Engine) consumeFaults() EngineFaults {
	active := EngineFaults{CrashOn: e.faults.CrashOn}
	consume := func(remaining *int, active *int) {
		if *remaining > 0 {
			*remaining--
			*active = 1
		}
	}
	if e.faults.CutTimes > 0 {
		e.faults.CutTimes--
		active.CutTimes, active.CutAfter = 1, e.faults.CutAfter
	}
	consume(&e.faults.Stall, &active.Stall)
	consume(&e.faults.MixUp, &active.MixUp)
	consume(&e.faults.Skip, &active.Skip)
	consume(&e.faults.Repeat, &active.Repeat)
	return active
}

func (e *Engine) acquireSlot(r *http.Request) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	var acquired bool
	select {
	case e.slots <- struct{}{}:
		acquired = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if acquired {
		e.running++
	}
	return acquired
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	<-e.slots
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run chatRun) {
	if !pause(r, e.FirstToken*run.slowdown) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := run.resumeAt; i < len(run.chunks); i++ {
		if i > run.resumeAt && !pause(r, e.BetweenChunks*run.slowdown) {
			return
		}
		if !e.injectFault(r, run, i) {
			continue
		}
		e.sendChunk(w, run, i)
		if run.faults.Repeat > 0 && i == run.resumeAt+1 {
			e.sendChunk(w, run, i)
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
	done := &sse.Message{}
	done.AppendData("[DONE]")
	_, _ = done.WriteTo(w)
}

// injectFault applies the stream's faults at a chunk and reports whether the chunk is sent.
func (e *Engine) injectFault(r *http.Request, run chatRun, i int) bool {
	if run.faults.CutTimes > 0 && i-run.resumeAt >= run.faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	if run.faults.Stall > 0 && i > run.resumeAt {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return run.faults.Skip == 0 || i != run.resumeAt+1
}

func (e *Engine) sendChunk(w http.ResponseWriter, run chatRun, i int) {
	position := i
	chunk := remote.ChatChunk{
		ID: run.request, Object: "chat.completion.chunk", Created: time.Now().Unix(),
		Model: string(run.call.Model), Position: &position,
		Choices: []remote.ChatChoice{{Delta: remote.ChatDelta{Content: run.chunks[i]}}},
	}
	if run.faults.MixUp > 0 && i > run.resumeAt {
		chunk.ID = "somebody-else"
		chunk.Choices[0].Delta.Content = "not yours "
	}
	if i == len(run.chunks)-1 {
		reason := willowwick.FinishStop
		chunk.Choices[0].FinishReason = &reason
		usage := willowwick.Usage{
			Prompt: willowwick.EstimateTokens(run.prompt),
			Output: willowwick.Tokens(tokensPerChunk * len(run.chunks)),
		}
		chunk.Usage = &remote.ChatUsage{Usage: usage, Total: usage.Prompt + usage.Output}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	message := &sse.Message{}
	message.AppendData(string(data))
	_, _ = message.WriteTo(w)
}

func pause(r *http.Request, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeLoad sets the load headers from the last report; the caller holds the lock.
func (e *Engine) writeLoad(header http.Header) {
	load := e.loadReport()
	header.Set(remote.HeaderRunning, strconv.Itoa(load.Running))
	header.Set(remote.HeaderWaiting, strconv.Itoa(load.Waiting))
	header.Set(remote.HeaderSlots, strconv.Itoa(load.Slots))
	if e.faults.RateLimit != "" {
		header.Set(remote.HeaderRateLimit, e.faults.RateLimit)
	}
}

// loadReport returns the last load report, renewed once it is loadReportInterval old; the caller holds the lock.
func (e *Engine) loadReport() willowwick.EndpointLoad {
	now := time.Now()
	if now.Sub(e.lastReport.At) >= loadReportInterval {
		e.lastReport = willowwick.EndpointLoad{
			Endpoint: e.ID, Running: e.running, Waiting: e.waiting, Slots: e.Slots, Draining: e.faults.Draining, At: now,
		}
	}
	return e.lastReport
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.loadReport()
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order willowwick.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && order.Fence < e.fence {
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	if time.Now().After(order.Deadline) {
		http.Error(w, "deadline of the order has passed", http.StatusGone)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	if !e.IgnoresOrders {
		delete(e.versions, order.Withdraw)
	}
	writeJSON(w, order)
}
