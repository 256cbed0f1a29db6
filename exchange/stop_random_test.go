package exchange

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const (
	stopRounds = 8
	// stopFew callers leave a box without requests now and then, stopMany never until it refuses them.
	stopFew  = 3
	stopMany = 12
	// stopPipe is how many requests a caller that pipelines sends at once.
	stopPipe = 3
	// stopWork is the longest that the endpoint works on most requests, stopLong on one in stopShare of them, and
	// stopPause the longest that a caller rests after an answer.
	stopWork  = 20 * time.Millisecond
	stopLong  = 240 * time.Millisecond
	stopShare = 6
	stopPause = 150 * time.Millisecond
)

type (
	// stopHunt is a box that is stopped while callers ask it, with what became of their requests.
	stopHunt struct {
		site     *site
		endpoint *httptest.Server
		ended    chan struct{} // closed once the box has ended

		mu    sync.Mutex
		ran   map[string]int // by id, at the endpoint
		whole int
		cut   map[string]error // by id, what came in place of a whole answer
	}

	// stopCaller is one caller of a hunt.
	stopCaller struct {
		hunt *stopHunt
		name string
		rng  *rand.Rand
		sent int
	}
)

// TestStopUnderLoadAnswersWhatReachedAnEndpoint stops slow boxes under callers with kept, new and pipelined connections:
// each request has a whole answer, or nothing of it reached the endpoint.
func TestStopUnderLoadAnswersWhatReachedAnEndpoint(t *testing.T) {
	for seed := range uint64(stopRounds) {
		h := newStopHunt(t, seed)
		count := stopFew
		if seed == 0 {
			count = stopMany
		}
		var callers sync.WaitGroup
		for n := range count {
			c := &stopCaller{hunt: h, name: fmt.Sprintf("caller-%d-%d", seed, n), rng: rand.New(rand.NewPCG(seed, uint64(n)))}
			callers.Go([]func(){c.askKept, c.askNew, c.askPiped}[n%3])
		}
		rng := rand.New(rand.NewPCG(seed, stopMany))
		time.Sleep(time.Duration(rng.Int64N(int64(stopPause))))
		h.site.end()
		close(h.ended)
		callers.Wait()
		h.judge(t, seed)
	}
}

func newStopHunt(t *testing.T, seed uint64) *stopHunt {
	t.Helper()
	h := &stopHunt{ended: make(chan struct{}), ran: map[string]int{}, cut: map[string]error{}}
	h.endpoint = httptest.NewServer(http.HandlerFunc(h.work))
	t.Cleanup(h.endpoint.Close)
	settings := testSettings()
	settings.TurnAway, settings.Grace = 50*time.Millisecond, leaveEarly+lastAnswer+time.Second
	callers := &slowListener{Listener: listen(t), stand: standAtRandom(seed)}
	h.site = newStopSite(t, settings, callers, willowwick.Endpoint{
		ID: "r1", Hall: "hall-a", Address: strings.TrimPrefix(h.endpoint.URL, "http://"), Service: "work", Release: "v1", Slots: stopMany,
	})
	return h
}

// standAtRandom lets one step in four stand still, as on a box with a fifth of a core.
func standAtRandom(seed uint64) func() {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	return func() {
		mu.Lock()
		isStill, length := rng.IntN(4) == 0, time.Duration(rng.Int64N(int64(stand)))
		mu.Unlock()
		if isStill {
			time.Sleep(length)
		}
	}
}

// work is the endpoint: it answers with the request's id.
func (h *stopHunt) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("T-Id")
	h.mu.Lock()
	h.ran[id]++
	h.mu.Unlock()
	work, err := time.ParseDuration(r.Header.Get("T-Work"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(work)
	w.Header().Set("T-Id", id)
	_, _ = io.WriteString(w, id)
}

// note keeps what became of a request; one whose time was up has a whole answer that says so.
func (h *stopHunt) note(id string, status int, body string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil:
		h.cut[id] = err
	case status == http.StatusOK && body == id, status == http.StatusGatewayTimeout:
		h.whole++
	default:
		h.cut[id] = fmt.Errorf("status %d, body %q", status, body)
	}
}

func (h *stopHunt) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

func (h *stopHunt) judge(t *testing.T, seed uint64) {
	t.Helper()
	h.endpoint.Close() // waits for what it has taken
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Logf("seed %d: %d whole, %d not, %d ran", seed, h.whole, len(h.cut), len(h.ran))
	require.NotZero(t, h.whole)
	require.NotEmpty(t, h.cut)
	for id, err := range h.cut {
		require.Zero(t, h.ran[id], "seed %d: request %s reached its endpoint and has no whole answer: %v", seed, id, err)
	}
}

// next is the text of a new request and its id.
func (c *stopCaller) next() (text, id string) {
	c.sent++
	id = fmt.Sprintf("%s-%d", c.name, c.sent)
	work := time.Duration(c.rng.Int64N(int64(stopWork)))
	if c.rng.IntN(stopShare) == 0 {
		work = time.Duration(c.rng.Int64N(int64(stopLong)))
	}
	return headOf("/once/", id, 1, "T-Left", "250", "T-Work", work.String()) + "x", id
}

// askKept asks on one connection until it is closed, again and again until the box has ended.
func (c *stopCaller) askKept() {
	c.until(func(conn *wireCaller) bool { return c.exchange(conn, 1) })
}

// askNew asks on a new connection each time.
func (c *stopCaller) askNew() {
	c.until(func(conn *wireCaller) bool {
		c.exchange(conn, 1)
		return false
	})
}

// askPiped asks on one connection, some requests at once.
func (c *stopCaller) askPiped() {
	c.until(func(conn *wireCaller) bool { return c.exchange(conn, stopPipe) })
}

// until opens connections and uses each as long as it is good, until the box has ended.
func (c *stopCaller) until(use func(*wireCaller) bool) {
	for !c.hunt.hasEnded() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.hunt.site.url, "http://"))
		if err != nil {
			c.rest()
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		caller := &wireCaller{conn, bufio.NewReader(conn)}
		for use(caller) && !c.hunt.hasEnded() {
			c.rest()
		}
		_ = conn.Close()
		c.rest()
	}
}

func (c *stopCaller) rest() {
	time.Sleep(time.Duration(c.rng.Int64N(int64(stopPause))))
}

// exchange sends requests at once, takes their answers in turn, and reports whether the connection is good for more.
func (c *stopCaller) exchange(conn *wireCaller, count int) bool {
	var texts, ids []string
	for range count {
		text, id := c.next()
		texts, ids = append(texts, text), append(ids, id)
	}
	_, broken := io.WriteString(conn, strings.Join(texts, ""))
	for _, id := range ids {
		status, body, err := conn.receive()
		c.hunt.note(id, status, body, err)
		if err != nil {
			broken = err
		}
	}
	return broken == nil
}
