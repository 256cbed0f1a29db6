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

// batchHeartbeat is how often a runner renews its entry.
const batchHeartbeat = 200 * time.Millisecond

type (
	// BatchSettings describe a runner of the users' platform.
	BatchSettings struct {
		ID         string
		Service    string
		Hall       string
		Address    string // host:port
		Release    string
		Slots      int
		Events     int           // of each stream
		EventPause time.Duration // setting
		// EndOn is the body that ends the runner when it begins to run it; OnEnd then ends its process, as far as it goes.
		EndOn string
		OnEnd func()
	}

	// BatchFaults are the troubles of a runner.
	BatchFaults struct {
		FailEvery  int // one in so many answers is a 500
		BreakAfter int // streams break off after so many events
		Full       bool
	}

	// BatchRunner stands in for a runner of the users' platform; it keeps its entry in a store.
	BatchRunner struct {
		settings BatchSettings
		born     int64 // Unix milliseconds
		store    *Store
		mu       sync.Mutex
		faults   BatchFaults
		leaving  bool
		beats    int
		running  int
		runs     []BatchRun
		limit    string // that answers name; empty for none
		says     bool   // answers say that it leaves, whatever its entry says
		rest     string // seconds that it asks for as it turns all requests away; empty for none
		arrivals []BatchArrival
		stop     chan struct{}
	}

	// BatchRun is one run of a request at a runner.
	BatchRun struct {
		Request string // the id that the router gave the send
		Account string // that the router named
		Body    string
		Hold    string // a lease that a caller may not name
		At      time.Time
	}

	// BatchArrival is a request that came, whether it ran or not, with what its answer says.
	BatchArrival struct {
		Request string
		At      time.Time
		Leaving bool
		Rest    string // empty if it asks for none
	}

	batchEntry struct {
		Service string `json:"service"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Version string `json:"version"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
		ColdMs  int    `json:"cold-remaining-ms"`
		Beat    int    `json:"sequence"`
		Born    int64  `json:"born"`
	}
)

// NewBatchRunner returns a runner that keeps its entry, and a function that ends it without taking the entry out.
func NewBatchRunner(settings BatchSettings, store *Store) (*BatchRunner, func()) {
	b := &BatchRunner{settings: settings, store: store, stop: make(chan struct{}), born: time.Now().UnixMilli()}
	go b.heartbeat()
	return b, sync.OnceFunc(func() { close(b.stop) })
}

func (b *BatchRunner) heartbeat() {
	ticker := time.NewTicker(batchHeartbeat)
	defer ticker.Stop()
	for {
		b.beat()
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
	}
}

func (b *BatchRunner) beat() {
	b.mu.Lock()
	b.beats++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	entry := batchEntry{b.settings.Service, b.settings.Address, b.settings.Hall, b.settings.Release, b.settings.Slots, state, 0, b.beats, b.born}
	b.mu.Unlock()
	// An entry that cannot be encoded would be a fault of this file; the store itself takes all.
	_ = b.store.Put("keyed.servers", b.settings.ID, entry)
}

// Leave says that the runner is leaving.
func (b *BatchRunner) Leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.beat()
}

// SetFaults changes the runner's troubles.
func (b *BatchRunner) SetFaults(faults BatchFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// NameLimit makes the runner name a limit in its answers from now on; empty for none.
func (b *BatchRunner) NameLimit(limit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// SayLeaving makes the runner say in all its answers from now on that it leaves; its entry goes on telling that it is ready.
func (b *BatchRunner) SayLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.says = true
}

// AskForRest makes the runner turn all requests away from now on and ask for so many seconds of rest; empty for neither.
func (b *BatchRunner) AskForRest(seconds string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rest = seconds
}

// Arrivals lists the requests that came so far, the oldest first.
func (b *BatchRunner) Arrivals() []BatchArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrivals)
}

// arrive notes a request, and writes what its answer says of the runner.
func (b *BatchRunner) arrive(id string, header http.Header) BatchArrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	arrival := BatchArrival{id, time.Now(), b.says || b.leaving, b.rest}
	b.arrivals = append(b.arrivals, arrival)
	if b.limit != "" {
		header.Set("Server-Limit", b.limit)
	}
	if arrival.Leaving {
		header.Set("Server-Leaving", "1")
	}
	return arrival
}

// Runs lists the runs so far, the oldest first.
func (b *BatchRunner) Runs() []BatchRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.runs)
}

// Ran tells how often each request has run here.
func (b *BatchRunner) Ran() map[string]int {
	ran := map[string]int{}
	for _, run := range b.Runs() {
		ran[run.Request]++
	}
	return ran
}

// ServeHTTP implements http.Handler.
func (b *BatchRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	arrival := b.arrive(id, w.Header())
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.settings.ID {
		w.Header().Set("Instance-Id", b.settings.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if arrival.Rest != "" {
		w.Header().Set("Retry-After", arrival.Rest)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	number, running, faults, taken := b.begin(batchRun(r, body))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, b.settings.Slots))
	if !taken {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end()
	if b.settings.OnEnd != nil && string(body) == b.settings.EndOn {
		time.Sleep(b.settings.EventPause)
		b.settings.OnEnd()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", b.settings.ID+"."+id)
	if faults.FailEvery > 0 && number%faults.FailEvery == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Header.Get("Accept") == "text/event-stream" {
		b.stream(w, r, faults)
		return
	}
	time.Sleep(b.settings.EventPause)
	_, _ = io.WriteString(w, "answer of "+id)
}

// batchRun is the run that a request asks for.
func batchRun(r *http.Request, body []byte) BatchRun {
	return BatchRun{
		Request: r.Header.Get("Attempt-Id"),
		Account: r.Header.Get("Tenant"),
		Body:    string(body),
		Hold:    r.Header.Get("Hold"),
		At:      time.Now(),
	}
}

// begin takes a slot and notes the run; number is the run's among all here.
func (b *BatchRunner) begin(run BatchRun) (number, running int, faults BatchFaults, taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Full || b.running >= b.settings.Slots {
		return len(b.runs), b.running, b.faults, false
	}
	b.running++
	b.runs = append(b.runs, run)
	return len(b.runs), b.running, b.faults, true
}

func (b *BatchRunner) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// BatchEvent is the text of one event of a stream.
func BatchEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", number, id, number)
}

func (b *BatchRunner) stream(w http.ResponseWriter, r *http.Request, faults BatchFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Confidence", confidenceOf(r.Header.Get("Model")))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for number := from + 1; number <= b.settings.Events; number++ {
		if faults.BreakAfter > 0 && from == 0 && number > faults.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, BatchEvent(r.Header.Get("Attempt-Id"), number)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(b.settings.EventPause)
	}
}

// confidenceOf lets small models doubt their answers.
func confidenceOf(model string) string {
	if strings.HasPrefix(model, "small") {
		return "10"
	}
	return "95"
}
