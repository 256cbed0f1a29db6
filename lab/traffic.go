package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/serve"
)

const (
	balancerPollInterval = 200 * time.Millisecond
	readyCheckTimeout    = time.Second
	maxRecordedMs        = 600_000
	histogramDigits      = 3
	maxRetries           = 2
	maxRetryDelay        = 2 * time.Second
)

type (
	// Balancer distributes callers over the ready boxes in turn, as the platform's balancer does.
	Balancer struct {
		fleet  *Fleet
		client *http.Client
		ready  atomic.Pointer[[]string]
		next   atomic.Uint64
	}

	// Tally counts what callers received.
	Tally struct {
		mu           sync.Mutex
		Requests     int
		Answered     int
		Refused      map[willowwick.RefusalKind]int
		Lost         int
		Mismatched   int
		Exposure     int // answers of the watched version after it turned bad
		Versions     map[willowwick.VersionID]int
		Details      map[string]int
		firstTokenMs *hdrhistogram.Histogram
	}

	// Traffic is a mix of callers at a rate.
	Traffic struct {
		Fleet    *Fleet
		Balancer *Balancer
		Client   *http.Client
		Tally    *Tally
		Rate     float64 // requests per second
		Seed     uint64
	}
)

// NewBalancer returns a balancer that polls readiness until the context ends.
func NewBalancer(ctx context.Context, f *Fleet) *Balancer {
	b := &Balancer{fleet: f, client: f.Client("balancer")}
	b.poll(ctx)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(balancerPollInterval)
			b.poll(ctx)
		}
	}()
	return b
}

func (b *Balancer) poll(ctx context.Context) {
	var ready []string
	for _, box := range b.fleet.Boxes {
		if b.isReady(ctx, box.AdminAddress) {
			ready = append(ready, box.CallerAddress)
		}
	}
	b.ready.Store(&ready)
}

func (b *Balancer) isReady(ctx context.Context, admin string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+serve.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Pick returns the address of the next ready box, or false if none is ready.
func (b *Balancer) Pick() (string, bool) {
	ready := *b.ready.Load()
	if len(ready) == 0 {
		return "", false
	}
	return ready[b.next.Add(1)%uint64(len(ready))], true
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		Refused: map[willowwick.RefusalKind]int{}, Versions: map[willowwick.VersionID]int{}, Details: map[string]int{},
		firstTokenMs: hdrhistogram.New(1, maxRecordedMs, histogramDigits),
	}
}

// FirstToken returns the time to the first token at a quantile, in milliseconds.
func (t *Tally) FirstToken(quantile float64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstTokenMs.ValueAtQuantile(quantile)
}

func (t *Tally) add(reply Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Requests++
	switch reply.Outcome {
	case OutcomeComplete:
		t.Answered++
		if reply.Version != "" {
			t.Versions[reply.Version]++
		}
		_ = t.firstTokenMs.RecordValue(max(1, reply.FirstToken.Milliseconds()))
	case OutcomeRefused, OutcomeNotAccepted:
		kind := willowwick.RefusalKind(reply.Text)
		if reply.Outcome == OutcomeNotAccepted {
			kind = willowwick.KindNotRun
		}
		t.Refused[kind]++
		t.Details[reply.Detail]++
	case OutcomeMismatched:
		t.Mismatched++
		t.Details["crossed: "+reply.Detail]++
	default:
		t.Lost++
		t.Details["lost: "+reply.Detail]++
	}
}

// Run sends requests until the context ends, and returns when all have finished.
func (tr *Traffic) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(tr.Seed, tr.Seed))
	var callers sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		pause := time.Duration(random.ExpFloat64() / tr.Rate * float64(time.Second))
		time.Sleep(pause)
		draw := random.IntN(100)
		seed := random.Uint64()
		callers.Go(func() { tr.sendWithRetries(n, draw, seed) })
	}
	callers.Wait()
}

// sendWithRetries makes one call, and retries it after the given Retry-After while it was not run.
func (tr *Traffic) sendWithRetries(n, draw int, seed uint64) {
	var reply Reply
	for range maxRetries + 1 {
		address, ok := tr.Balancer.Pick()
		if !ok {
			reply = Reply{Outcome: OutcomeNotAccepted, Detail: "no box is ready"}
		} else {
			reply = tr.call(address, n, draw, seed)
		}
		shouldRetry := reply.Outcome == OutcomeNotAccepted || (reply.Outcome == OutcomeRefused && reply.Text == string(willowwick.KindNotRun))
		if !shouldRetry {
			break
		}
		time.Sleep(min(maxRetryDelay, time.Duration(max(1, reply.RetryAfter))*time.Second))
	}
	tr.Tally.add(reply)
}

// call makes the kind of call that draw, in [0, 100), selects.
func (tr *Traffic) call(address string, n, draw int, seed uint64) Reply {
	ctx := context.Background()
	keys := []string{"demo-lab-coimbra", "demo-lab-braga", "demo-harbour-builds", "demo-ridge-builds"}
	key := keys[seed%uint64(len(keys))]
	isBuildAccount := seed%uint64(len(keys)) >= 2
	switch {
	case draw < 70:
		return tr.chat(ctx, address, n, draw, seed, key, isBuildAccount)
	case draw < 85 && isBuildAccount:
		entry := fmt.Sprintf("tag-%d", n)
		return CallService(ctx, tr.Client, address, key, http.MethodGet, "/services/registry/tags/"+entry, entry, entry)
	case draw < 85:
		entry := fmt.Sprintf("run-%d", n)
		return CallService(ctx, tr.Client, address, key, http.MethodGet, "/services/bookkeeping/runs/"+entry, "", entry+"-read")
	case isBuildAccount:
		entry := fmt.Sprintf("manifest-%d", n)
		return CallService(ctx, tr.Client, address, key, http.MethodGet, "/services/registry/manifests/"+entry, entry, entry)
	default:
		entry := fmt.Sprintf("calibration-%d", n)
		return CallService(ctx, tr.Client, address, key, http.MethodPost, "/services/bookkeeping/calibrations/"+entry, entry, entry)
	}
}

func (tr *Traffic) chat(ctx context.Context, address string, n, draw int, seed uint64, key string, isBuildAccount bool) Reply {
	chat := Chat{
		Key: key, Model: willowwick.TargetAuto, Prompt: fmt.Sprintf("request %d: %x", n, seed),
		MaxTokens: 400, Stream: draw%3 != 0, Class: "summary",
	}
	if isBuildAccount {
		chat.Class = "explain"
	}
	if draw%2 == 0 {
		chat.Session = fmt.Sprintf("session-%s-%d", key, seed%200)
	}
	return Ask(ctx, tr.Client, address, chat)
}

// ServedSince counts the calls for a version that runners began after a point in time.
func (f *Fleet) ServedSince(version willowwick.VersionID, since time.Time) int {
	served := 0
	for _, runner := range f.Runners {
		for _, at := range runner.Served(version) {
			if at.After(since) {
				served++
			}
		}
	}
	return served
}

// DuplicateEffects counts the entries that took effect on plain services more than once.
func (f *Fleet) DuplicateEffects() int {
	effects := map[string]int{}
	for _, instances := range f.Services {
		for _, instance := range instances {
			for entry, count := range instance.Effects() {
				effects[entry] += count
			}
		}
	}
	duplicates := 0
	for _, count := range effects {
		if count > 1 {
			duplicates++
		}
	}
	return duplicates
}
