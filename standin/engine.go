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
	// poorMark stands in answers that the rater gives a low score.
	poorMark = "[poor]"

	hashScale     = 10_000
	shortestReply = 6
	replySpread   = 18
	loadLag       = 200 * time.Millisecond
	tokensAChunk  = 4
)

type (
	// VersionBehaviour is how a version answers at a runner.
	VersionBehaviour struct {
		Quality float64 `json:"quality"` // share of answers that are good
		Errors  float64 `json:"errors"`  // share of calls that fail
		Slow    float64 `json:"slow"`    // factor on all times; 0 counts as 1
	}

	// EngineFaults are the troubles of one runner.
	EngineFaults struct {
		Leaving   bool `json:"leaving"`   // say so, and refuse new work
		Quietly   bool `json:"quietly"`   // when leaving, say so in load reports only, and take what comes
		Announced bool `json:"announced"` // say in answers alone that it leaves, and take what comes
		CutAfter  int  `json:"cutAfter"`  // cut the next stream after so many chunks
		CutTimes  int  `json:"cutTimes"`  // how many streams to cut
		Stall     int  `json:"stall"`     // streams to stall after their first chunk
		Cross     int  `json:"cross"`     // streams that switch to a wrong request id
		Skip      int  `json:"skip"`      // streams that leave out a chunk
		Repeat    int  `json:"repeat"`    // streams that send a chunk twice
		DenyAfter bool `json:"denyAfter"` // answer 500 to all
		// EndOn ends the runner when it begins to run a prompt that holds this.
		EndOn string `json:"endOn"`
		// RateLimit is the limit that answers name; empty for none.
		RateLimit string `json:"rateLimit"`
		// Rest is how many seconds of rest the runner asks for as it turns all calls away; empty for none.
		Rest string `json:"rest"`
	}

	// Engine stands in for a runner.
	Engine struct {
		ID            willowwick.EndpointID
		Slots         int
		FirstToken    time.Duration
		BetweenChunks time.Duration
		ChecksFencing bool
		IgnoresOrders bool
		// End ends the runner as the end of its process would; nil if it cannot.
		End func()

		mu         sync.Mutex
		versions   map[willowwick.VersionID]VersionBehaviour
		faults     EngineFaults
		ended      bool
		places     chan struct{}
		waiting    int
		running    int
		reported   willowwick.EndpointLoad
		served     map[willowwick.VersionID][]time.Time
		turnedAway int
		fence      willowwick.Fence
		orders     []willowwick.Order
		mux        *http.ServeMux
	}
)

// NewEngine returns a runner that serves the versions.
func NewEngine(id willowwick.EndpointID, slots int, versions map[willowwick.VersionID]VersionBehaviour) *Engine {
	e := &Engine{
		ID: id, Slots: slots, FirstToken: 30 * time.Millisecond, BetweenChunks: 4 * time.Millisecond,
		versions: versions, places: make(chan struct{}, slots),
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

// HasEnded reports whether a prompt ended the runner.
func (e *Engine) HasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// SetBehaviour changes how a version answers.
func (e *Engine) SetBehaviour(version willowwick.VersionID, behaviour VersionBehaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[version] = behaviour
}

// Served returns when calls for a version began.
func (e *Engine) Served(version willowwick.VersionID) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.served[version]...)
}

// TurnedAway counts the calls that the runner turned away to have rest.
func (e *Engine) TurnedAway() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.turnedAway
}

// Orders returns the orders that were obeyed.
func (e *Engine) Orders() []willowwick.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]willowwick.Order(nil), e.orders...)
}

// AnswerTo returns the whole answer of a version to a prompt, in chunks; it is always the same.
func AnswerTo(prompt string, version willowwick.VersionID, quality float64, maxTokens willowwick.Tokens) []string {
	hash := xxhash.Sum64String(prompt)
	count := shortestReply + int(hash%replySpread)
	if maxTokens > 0 {
		count = min(count, int(maxTokens+tokensAChunk-1)/tokensAChunk)
	}
	poor := float64(xxhash.Sum64String(prompt+string(version))%hashScale) >= quality*hashScale
	chunks := make([]string, max(count, 1))
	for i := range chunks {
		chunks[i] = fmt.Sprintf("%08x-%d ", uint32(hash), i)
	}
	if poor {
		chunks[0] = poorMark + " " + chunks[0]
	}
	return chunks
}

// AnswerKey is the start of every chunk of the answers to a prompt.
func AnswerKey(prompt string) string {
	return fmt.Sprintf("%08x-", uint32(xxhash.Sum64String(prompt)))
}

// IsWhole reports whether a text is a whole answer to the prompt.
func IsWhole(prompt, text string, maxTokens willowwick.Tokens) bool {
	text = strings.TrimPrefix(text, poorMark+" ")
	return text == strings.Join(AnswerTo(prompt, "", 1, maxTokens), "")
}

type chatRun struct {
	request  willowwick.RequestID
	call     remote.ChatRequest
	slow     time.Duration
	chunks   []string
	prompt   string
	resumeAt int
	faults   EngineFaults
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	run := chatRun{request: willowwick.RequestID(r.Header.Get(remote.HeaderRequestID)), slow: 1}
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
	if !e.begin(w, &run) {
		return
	}
	if !e.takePlace(r) {
		return
	}
	defer e.leavePlace()
	if mark := run.faults.EndOn; mark != "" && e.End != nil && strings.Contains(run.prompt, mark) {
		e.mu.Lock()
		e.ended = true
		e.mu.Unlock()
		e.End()
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, run)
}

// begin checks the call and fixes how it will go.
func (e *Engine) begin(w http.ResponseWriter, run *chatRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeLoad(w.Header())
	if e.faults.Announced {
		w.Header().Set(remote.HeaderLeaving, "true")
	}
	if e.faults.Leaving && !e.faults.Quietly {
		w.Header().Set(remote.HeaderLeaving, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return false
	}
	if e.faults.Rest != "" {
		e.turnedAway++
		w.Header().Set(remote.HeaderRetryAfter, e.faults.Rest)
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
	lot := float64(xxhash.Sum64String(string(run.request)+run.prompt)%hashScale) / hashScale
	if e.faults.DenyAfter || lot < behaviour.Errors {
		http.Error(w, "engine failure", http.StatusInternalServerError)
		return false
	}
	if behaviour.Slow > 1 {
		run.slow = time.Duration(behaviour.Slow)
	}
	run.chunks = AnswerTo(run.prompt, run.call.Model, behaviour.Quality, run.call.MaxTokens)
	run.faults = e.takeFaults()
	return true
}

// takeFaults uses up the faults that strike one stream.
func (e *Engine) takeFaults() EngineFaults {
	struck := EngineFaults{EndOn: e.faults.EndOn}
	take := func(left *int, struck *int) {
		if *left > 0 {
			*left--
			*struck = 1
		}
	}
	if e.faults.CutTimes > 0 {
		e.faults.CutTimes--
		struck.CutTimes, struck.CutAfter = 1, e.faults.CutAfter
	}
	take(&e.faults.Stall, &struck.Stall)
	take(&e.faults.Cross, &struck.Cross)
	take(&e.faults.Skip, &struck.Skip)
	take(&e.faults.Repeat, &struck.Repeat)
	return struck
}

func (e *Engine) takePlace(r *http.Request) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	var got bool
	select {
	case e.places <- struct{}{}:
		got = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if got {
		e.running++
	}
	return got
}

func (e *Engine) leavePlace() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	<-e.places
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run chatRun) {
	if !pause(r, e.FirstToken*run.slow) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := run.resumeAt; i < len(run.chunks); i++ {
		if i > run.resumeAt && !pause(r, e.BetweenChunks*run.slow) {
			return
		}
		if !e.strike(r, run, i) {
			continue
		}
		e.send(w, run, i)
		if run.faults.Repeat > 0 && i == run.resumeAt+1 {
			e.send(w, run, i)
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
	done := &sse.Message{}
	done.AppendData("[DONE]")
	_, _ = done.WriteTo(w)
}

// strike lets a fault happen at a chunk and reports whether the chunk is sent.
func (e *Engine) strike(r *http.Request, run chatRun, i int) bool {
	if run.faults.CutTimes > 0 && i-run.resumeAt >= run.faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	if run.faults.Stall > 0 && i > run.resumeAt {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return run.faults.Skip == 0 || i != run.resumeAt+1
}

func (e *Engine) send(w http.ResponseWriter, run chatRun, i int) {
	position := i
	chunk := remote.ChatChunk{
		ID: run.request, Object: "chat.completion.chunk", Created: time.Now().Unix(),
		Model: string(run.call.Model), Position: &position,
		Choices: []remote.ChatChoice{{Delta: remote.ChatDelta{Content: run.chunks[i]}}},
	}
	if run.faults.Cross > 0 && i > run.resumeAt {
		chunk.ID = "somebody-else"
		chunk.Choices[0].Delta.Content = "not yours "
	}
	if i == len(run.chunks)-1 {
		reason := willowwick.FinishStop
		chunk.Choices[0].FinishReason = &reason
		usage := willowwick.Usage{
			Prompt: willowwick.EstimateTokens(run.prompt),
			Output: willowwick.Tokens(tokensAChunk * len(run.chunks)),
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

func pause(r *http.Request, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeLoad sets the load headers; the numbers are those of the last report.
func (e *Engine) writeLoad(header http.Header) {
	load := e.report()
	header.Set(remote.HeaderRunning, strconv.Itoa(load.Running))
	header.Set(remote.HeaderWaiting, strconv.Itoa(load.Waiting))
	header.Set(remote.HeaderSlots, strconv.Itoa(load.Slots))
	if e.faults.RateLimit != "" {
		header.Set(remote.HeaderRateLimit, e.faults.RateLimit)
	}
}

// report renews the load report when it has lagged enough.
func (e *Engine) report() willowwick.EndpointLoad {
	now := time.Now()
	if now.Sub(e.reported.At) >= loadLag {
		e.reported = willowwick.EndpointLoad{
			Endpoint: e.ID, Running: e.running, Waiting: e.waiting, Slots: e.Slots, Leaving: e.faults.Leaving, At: now,
		}
	}
	return e.reported
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.report()
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
		http.Error(w, "fenced off", http.StatusConflict)
		return
	}
	if time.Now().After(order.Deadline) {
		http.Error(w, "too late", http.StatusGone)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	if !e.IgnoresOrders {
		delete(e.versions, order.Withdraw)
	}
	writeJSON(w, order)
}
