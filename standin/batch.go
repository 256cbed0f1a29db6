package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often a runner rewrites its entry in the store.
	heartbeatInterval = 200 * time.Millisecond
	// rejectionWindow is the time in which rejections are counted against a runner's limit.
	rejectionWindow = time.Second
	// noLimit stands for no limit on rejections.
	noLimit = -1
)

type (
	// BatchSettings configures a BatchRunner.
	BatchSettings struct {
		ID            string
		Service       string
		Hall          string
		Address       string // host:port
		Release       string
		Slots         int
		Room          int           // requests that may wait for a slot
		Events        int           // per stream
		EventInterval time.Duration // between the events of a stream, and before any other answer
		// CrashesOn reports whether the runner crashes on a request; OnCrash simulates the end of its process.
		CrashesOn func(r *http.Request, body []byte) bool
		OnCrash   func()
		// OnOverload simulates the end of the process after more rejections than its limit; nil if it has none.
		OnOverload func()
	}

	// BatchFaults are the faults a BatchRunner injects.
	BatchFaults struct {
		FailEvery  int // every nth answer is a 500; 0 for none
		BreakAfter int // streams break off after this many events; 0 for never
		Full       bool
		// Unframed answers have neither a length nor chunks. Those that break off send BreakInside bytes of the next event
		// before, and then end in order or by a reset.
		Unframed      bool
		BreakInside   int
		BreaksInOrder bool
	}

	// BatchRunner stands in for a runner of the users' platform; it maintains its entry in a Store.
	BatchRunner struct {
		settings          BatchSettings
		startedMs         int64 // Unix milliseconds
		store             *Store
		mu                sync.Mutex
		faults            BatchFaults
		draining          bool
		heartbeats        int
		running, waiting  int
		room              int  // requests that may wait for a slot now
		rejectionLimit    int  // rejections in a second that it survives, sent in every answer; negative for none
		isCrowded         bool // it has less room, and crashes beyond rejectionLimit
		rejections        []BatchArrival
		slotFreed         *sync.Cond
		runs              []BatchRun
		rateLimit         string // sent in every answer; empty for none
		announcesDraining bool   // answers announce draining whatever the entry says
		backoffSeconds    string // Retry-After of the rejection of every request; empty to accept requests
		arrivals          []BatchArrival
		stop              chan struct{}
	}

	// BatchRun is one run of a request at a runner.
	BatchRun struct {
		Request string // the attempt ID the router sent
		Account string // the account the router named
		Body    string
		Hold    string // the Hold header, a lease that callers must not be able to set
		At      time.Time
	}

	// BatchArrival is a request that reached the runner, whether it ran or not, and what its answer announced.
	BatchArrival struct {
		Request  string
		At       time.Time
		Draining bool
		Backoff  string // in seconds; empty if none was asked for
	}

	batchEntry struct {
		Service   string `json:"service"`
		Address   string `json:"address"`
		Zone      string `json:"zone"`
		Version   string `json:"version"`
		Slots     int    `json:"slots"`
		State     string `json:"state"`
		ColdMs    int    `json:"cold-remaining-ms"`
		Sequence  int    `json:"sequence"`
		StartedMs int64  `json:"born"`
	}
)

// NewBatchRunner returns a runner that maintains its entry, and a function that stops it without removing the entry.
func NewBatchRunner(settings BatchSettings, store *Store) (*BatchRunner, func()) {
	b := &BatchRunner{
		settings: settings, store: store, stop: make(chan struct{}), startedMs: time.Now().UnixMilli(),
		room: settings.Room, rejectionLimit: noLimit,
	}
	b.slotFreed = sync.NewCond(&b.mu)
	go b.sendHeartbeats()
	return b, sync.OnceFunc(func() { close(b.stop) })
}

func (b *BatchRunner) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		b.writeEntry()
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
	}
}

func (b *BatchRunner) writeEntry() {
	b.mu.Lock()
	b.heartbeats++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	entry := batchEntry{b.settings.Service, b.settings.Address, b.settings.Hall, b.settings.Release, b.settings.Slots, state, 0, b.heartbeats, b.startedMs}
	b.mu.Unlock()
	// Only a batchEntry that JSON cannot encode would fail here; the store accepts every value.
	_ = b.store.Put("keyed.servers", b.settings.ID, entry)
}

// Drain marks the runner's entry as draining at once.
func (b *BatchRunner) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.writeEntry()
}

// SetFaults replaces the runner's faults.
func (b *BatchRunner) SetFaults(faults BatchFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// SetRateLimit sets the rate limit that the runner's answers carry; empty for none.
func (b *BatchRunner) SetRateLimit(rateLimit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rateLimit = rateLimit
}

// AnnounceRejectionLimit makes answers name a limit on rejections; Crowd makes it count.
func (b *BatchRunner) AnnounceRejectionLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejectionLimit = limit
}

// Crowd leaves room for fewer waiting requests, and makes the runner crash beyond its limit on rejections.
func (b *BatchRunner) Crowd(room int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.room, b.isCrowded = room, true
}

// Relieve ends what AnnounceRejectionLimit and Crowd have begun.
func (b *BatchRunner) Relieve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.room, b.isCrowded, b.rejectionLimit = b.settings.Room, false, noLimit
}

// Rejections returns the requests that were rejected for want of room in the last rejectionWindow before a time.
func (b *BatchRunner) Rejections(until time.Time) []BatchArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recentRejections(until)
}

// recentRejections is Rejections for a caller that holds the lock.
func (b *BatchRunner) recentRejections(until time.Time) []BatchArrival {
	var recent []BatchArrival
	for _, rejection := range b.rejections {
		if age := until.Sub(rejection.At); age >= 0 && age < rejectionWindow {
			recent = append(recent, rejection)
		}
	}
	return recent
}

// reject records a rejection for want of room, and crashes the runner if it was one too many; the caller holds the lock.
func (b *BatchRunner) reject(id string) {
	now := time.Now()
	b.rejections = append(b.rejections, BatchArrival{Request: id, At: now})
	if b.isCrowded && len(b.recentRejections(now)) > b.rejectionLimit && b.settings.OnOverload != nil {
		b.isCrowded = false
		go b.settings.OnOverload()
	}
}

// AnnounceDraining makes all later answers announce draining while the entry still says ready.
func (b *BatchRunner) AnnounceDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcesDraining = true
}

// SetBackoff makes the runner reject all requests and ask for a backoff of so many seconds; empty ends it.
func (b *BatchRunner) SetBackoff(seconds string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffSeconds = seconds
}

// Arrivals returns the requests that arrived so far, oldest first.
func (b *BatchRunner) Arrivals() []BatchArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrivals)
}

// recordArrival records a request and sets the answer's headers about the runner.
func (b *BatchRunner) recordArrival(id string, header http.Header) BatchArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	arrival := BatchArrival{id, time.Now(), b.announcesDraining || b.draining, b.backoffSeconds}
	b.arrivals = append(b.arrivals, arrival)
	if b.rateLimit != "" {
		header.Set("Server-Limit", b.rateLimit)
	}
	if b.rejectionLimit >= 0 {
		header.Set("Server-Brittle", strconv.Itoa(b.rejectionLimit))
	}
	if arrival.Draining {
		header.Set("Server-Leaving", "1")
	}
	return arrival
}

// Runs returns the runs so far, oldest first.
func (b *BatchRunner) Runs() []BatchRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// RunCounts returns how often each request has run here.
func (b *BatchRunner) RunCounts() map[string]int {
	counts := map[string]int{}
	for _, run := range b.Runs() {
		counts[run.Request]++
	}
	return counts
}

// ServeHTTP implements http.Handler.
func (b *BatchRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	faults := b.faults
	b.mu.Unlock()
	if faults.Unframed {
		serveUnframed(w, r, faults.BreaksInOrder, b.serve)
		return
	}
	b.serve(w, r)
}

func (b *BatchRunner) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	arrival := b.recordArrival(id, w.Header())
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.settings.ID {
		w.Header().Set("Instance-Id", b.settings.ID)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if arrival.Backoff != "" {
		w.Header().Set("Retry-After", arrival.Backoff)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	number, running, faults, accepted := b.startRun(newBatchRun(r, body))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, b.countWaiting(), b.settings.Slots))
	if !accepted {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.finishRun()
	if b.settings.CrashesOn != nil && b.settings.CrashesOn(r, body) {
		time.Sleep(b.settings.EventInterval)
		b.settings.OnCrash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", b.settings.ID+"."+id)
	if faults.FailEvery > 0 && number%faults.FailEvery == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	model := r.Header.Get("Model")
	if model != "" {
		w.Header().Set("Confidence", confidenceOf(model))
	}
	if r.Header.Get("Accept") == "text/event-stream" {
		b.stream(w, r, faults)
		return
	}
	time.Sleep(b.settings.EventInterval)
	_, _ = io.WriteString(w, "answer of "+id)
}

// newBatchRun returns the run that a request asks for.
func newBatchRun(r *http.Request, body []byte) BatchRun {
	return BatchRun{
		Request: r.Header.Get("Attempt-Id"),
		Account: r.Header.Get("Tenant"),
		Body:    string(body),
		Hold:    r.Header.Get("Hold"),
		At:      time.Now(),
	}
}

// startRun takes a slot and records the run; number counts this runner's runs from 1.
func (b *BatchRunner) startRun(run BatchRun) (number, running int, faults BatchFaults, accepted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Full || b.running >= b.settings.Slots && b.waiting >= b.room {
		b.reject(run.Request)
		return len(b.runs), b.running, b.faults, false
	}
	b.waiting++
	for b.running >= b.settings.Slots {
		b.slotFreed.Wait()
	}
	b.waiting--
	b.running++
	b.runs = append(b.runs, run)
	return len(b.runs), b.running, b.faults, true
}

func (b *BatchRunner) finishRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.slotFreed.Signal()
}

func (b *BatchRunner) countWaiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting
}

// BatchEvent returns the text of one event of a stream.
func BatchEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", number, id, number)
}

func (b *BatchRunner) stream(w http.ResponseWriter, r *http.Request, faults BatchFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for number := from + 1; number <= b.settings.Events; number++ {
		if faults.BreakAfter > 0 && from == 0 && number > faults.BreakAfter {
			part := BatchEvent(r.Header.Get("Attempt-Id"), number)[:faults.BreakInside]
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, BatchEvent(r.Header.Get("Attempt-Id"), number)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(b.settings.EventInterval)
	}
}

// confidenceOf returns the confidence header of a model's answers, which is low for small models.
func confidenceOf(model string) string {
	if strings.HasPrefix(model, "small") {
		return "10"
	}
	return "95"
}
