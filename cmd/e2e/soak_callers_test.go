package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	kindStream askKind = "stream" // may be resumed
	kindOnce   askKind = "once"   // runs at most once
	kindAgain  askKind = "again"  // may be repeated
	kindForged askKind = "forged" // carries headers that only the router may set
	kindNever  askKind = "never"  // asks for a route that no configuration ever had
	kindHarm   askKind = "harm"   // ends the endpoint that runs it; always the same request

	// callersPerBox and askPause, the mean pause of one caller, make some 300 requests a second at each box at the most.
	callersPerBox = 5
	askPause      = 15 * time.Millisecond
	// slowAnswer is how long after its deadline a caller gives an answer up.
	slowAnswer = 3 * time.Second
)

// errForeignPart tells that a cut answer holds what does not belong to its request.
var errForeignPart = errors.New("what came of a cut answer is not its begin")

type (
	askKind string

	// asked is one request of a caller with what came of it.
	asked struct {
		id      string
		kind    askKind
		version int // of the configuration whose route or key it uses; 0 for the routes that always stand
		key     string
		box     int
		life    int // of the daemon when it was sent
		from    time.Time
		to      time.Time
		limit   time.Duration // the caller's
		status  int           // 0 if no answer came
		whole   bool          // the body is the one of this request
		cut     bool          // the answer broke off
		left    bool          // the caller went away early
		refused bool          // no connection
		retryAt bool          // a refusal told when to return
		err     error
	}

	// callers ask all boxes until they are stopped, on connections that they keep.
	callers struct {
		site *soakSite
		draw func(box int, random *rand.Rand) *asked // the next request
		stop chan struct{}
		done sync.WaitGroup

		mu   sync.Mutex
		asks []*asked
	}
)

func (s *soakSite) startCallers(seed uint64, draw func(box int, random *rand.Rand) *asked) *callers {
	c := &callers{site: s, draw: draw, stop: make(chan struct{})}
	for box := range s.boxes {
		for n := range callersPerBox {
			c.done.Go(func() { c.run(box, n, rand.New(rand.NewPCG(seed, uint64(box*callersPerBox+n)))) })
		}
	}
	return c
}

// end stops the callers and returns all that they asked.
func (c *callers) end() []*asked {
	close(c.stop)
	c.done.Wait()
	return c.asks
}

func (c *callers) run(box, n int, random *rand.Rand) {
	client, closeClient := newCaller()
	defer closeClient()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * askPause)))):
		}
		a := c.draw(box, random)
		a.id = fmt.Sprintf("b%d-c%d-%d", box, n, i)
		c.mu.Lock()
		c.asks = append(c.asks, a)
		c.mu.Unlock()
		c.site.ask(client, a, random)
	}
}

// newCaller returns a client that keeps its connections and sends nothing twice.
func newCaller() (*http.Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// drawAny chooses a kind of request; most ask for routes that always stand, some for one of the newest configuration or of
// the newest that must be in force, or for an older one with the key that the newest took away.
func (s *soakSite) drawAny(box int, random *rand.Rand) *asked {
	a := &asked{box: box, key: siteKey, limit: time.Duration(1500+random.IntN(2500)) * time.Millisecond}
	newest := s.newestVersion()
	switch random.IntN(10) {
	case 0, 1, 2, 3:
		a.kind = kindStream
	case 4, 5, 6:
		a.kind = kindOnce
	case 7:
		a.kind = kindForged
	case 8:
		a.kind, a.version = kindAgain, []int{newest, s.dueVersion()}[random.IntN(2)]
	default:
		a.kind, a.version, a.key = kindAgain, max(newest-1, 1), versionKey(max(newest-1, 1))
	}
	a.left = random.IntN(25) == 0
	return a
}

// ask sends a request and notes what came of it.
func (s *soakSite) ask(client *http.Client, a *asked, random *rand.Rand) {
	wait := a.limit + slowAnswer
	if a.left {
		wait = time.Duration(random.IntN(60)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	box := s.boxes[a.box]
	a.life = box.lifeNumber()
	a.from = time.Now()
	defer func() { a.to = time.Now() }()
	response, err := client.Do(s.request(ctx, a))
	if err != nil {
		a.err, a.refused = err, errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.status, a.err, a.cut = response.StatusCode, err, err != nil
	a.retryAt = response.Header.Get("Retry-After") != ""
	want := "answer of " + a.id
	if a.kind == kindStream {
		want = wholeStream(a.id)
	}
	a.whole = err == nil && string(body) == want
	if a.status == http.StatusOK && a.cut && !strings.HasPrefix(want, string(body)) {
		a.err = fmt.Errorf("%w: %q", errForeignPart, body)
	}
}

// body is what the caller sends.
func (a *asked) body() string {
	if a.kind == kindHarm {
		return harmfulBody
	}
	return "body of " + a.id
}

func (s *soakSite) request(ctx context.Context, a *asked) *http.Request {
	path := "/lookup/x"
	switch {
	case a.kind == kindStream, a.kind == kindHarm:
		path = "/explain/x"
	case a.kind == kindNever:
		path = "/never/x"
	case a.version > 0:
		path = fmt.Sprintf("/at-%d/x", a.version)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.boxes[a.box].callers+path, strings.NewReader(a.body()))
	if err != nil {
		panic(err) // the addresses and paths are this file's own
	}
	request.GetBody = nil // the transport sends nothing twice
	request.Host = siteHost
	request.Header.Set("Attempt-Id", a.id)
	request.Header.Set("Credential", a.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(a.limit.Milliseconds()))
	switch a.kind {
	case kindStream, kindHarm:
		request.Header.Set("Accept", "text/event-stream")
		request.Header.Set("Model", "*")
	case kindForged:
		request.Header.Set("Tenant", "somebody-else")
		request.Header.Set("Expect-Instance", "nobody")
		request.Header.Set("Hold", "forged")
	}
	return request
}
