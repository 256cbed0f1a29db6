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
	kindStream       requestKind = "stream" // may be resumed
	kindOnce         requestKind = "once"   // runs at most once
	kindIdempotent   requestKind = "again"  // may be repeated
	kindForged       requestKind = "forged" // carries headers that only the router may set
	kindUnknownRoute requestKind = "never"  // asks for a route that no configuration ever had
	kindPoison       requestKind = "harm"   // ends the endpoint that runs it; always the same request

	// callersPerBox and meanCallerPause, the mean pause of one caller, make some 300 requests a second at each box at the most.
	callersPerBox   = 5
	meanCallerPause = 15 * time.Millisecond
	// answerGrace is how long after its deadline a caller gives an answer up.
	answerGrace = 3 * time.Second
)

// errForeignBody tells that a cut answer holds what does not belong to its request.
var errForeignBody = errors.New("what came of a cut answer is not its begin")

type (
	requestKind string

	// asked is one request of a caller with what came of it.
	soakRequest struct {
		id            string
		kind          requestKind
		version       int // of the configuration whose route or key it uses; 0 for the routes that always stand
		key           string
		box           int
		incarnation   int // of the daemon when it was sent
		sentAt        time.Time
		endedAt       time.Time
		timeout       time.Duration // the caller's
		status        int           // 0 if no answer came
		isWhole       bool          // the body is the one of this request
		isCut         bool          // the answer broke off
		isAbandoned   bool          // the caller went away early
		isConnRefused bool          // no connection
		hasRetryAfter bool          // a refusal told when to return
		err           error
	}

	// callers ask all boxes until they are stopped, on connections that they keep.
	callers struct {
		site *soakSite
		draw func(box int, random *rand.Rand) *soakRequest // the next request
		stop chan struct{}
		done sync.WaitGroup

		mu       sync.Mutex
		requests []*soakRequest
	}
)

func (s *soakSite) startCallers(seed uint64, draw func(box int, random *rand.Rand) *soakRequest) *callers {
	c := &callers{site: s, draw: draw, stop: make(chan struct{})}
	for box := range s.boxes {
		for n := range callersPerBox {
			c.done.Go(func() { c.run(box, n, rand.New(rand.NewPCG(seed, uint64(box*callersPerBox+n)))) })
		}
	}
	return c
}

// stopAndCollect stops the callers and returns all that they asked.
func (c *callers) stopAndCollect() []*soakRequest {
	close(c.stop)
	c.done.Wait()
	return c.requests
}

func (c *callers) run(box, n int, random *rand.Rand) {
	client, closeClient := newCaller()
	defer closeClient()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * meanCallerPause)))):
		}
		a := c.draw(box, random)
		a.id = fmt.Sprintf("b%d-c%d-%d", box, n, i)
		c.mu.Lock()
		c.requests = append(c.requests, a)
		c.mu.Unlock()
		c.site.sendRequest(client, a, random)
	}
}

// newCaller returns a client that keeps its connections and sends nothing twice.
func newCaller() (*http.Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// drawAny chooses a kind of request; most ask for routes that always stand, some for one of the newest configuration or of
// the newest that must be in force, or for an older one with the key that the newest took away.
func (s *soakSite) drawAny(box int, random *rand.Rand) *soakRequest {
	a := &soakRequest{box: box, key: siteKey, timeout: time.Duration(1500+random.IntN(2500)) * time.Millisecond}
	newest := s.newestVersion()
	switch random.IntN(10) {
	case 0, 1, 2, 3:
		a.kind = kindStream
	case 4, 5, 6:
		a.kind = kindOnce
	case 7:
		a.kind = kindForged
	case 8:
		a.kind, a.version = kindIdempotent, []int{newest, s.dueVersion()}[random.IntN(2)]
	default:
		a.kind, a.version, a.key = kindIdempotent, max(newest-1, 1), versionKey(max(newest-1, 1))
	}
	a.isAbandoned = random.IntN(25) == 0
	return a
}

// sendRequest sends a request and notes what came of it.
func (s *soakSite) sendRequest(client *http.Client, a *soakRequest, random *rand.Rand) {
	wait := a.timeout + answerGrace
	if a.isAbandoned {
		wait = time.Duration(random.IntN(60)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	box := s.boxes[a.box]
	a.incarnation = box.incarnationNumber()
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	response, err := client.Do(s.newRequest(ctx, a))
	if err != nil {
		a.err, a.isConnRefused = err, errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.status, a.err, a.isCut = response.StatusCode, err, err != nil
	a.hasRetryAfter = response.Header.Get("Retry-After") != ""
	want := "answer of " + a.id
	if a.kind == kindStream {
		want = wholeStream(a.id)
	}
	a.isWhole = err == nil && string(body) == want
	if a.status == http.StatusOK && a.isCut && !strings.HasPrefix(want, string(body)) {
		a.err = fmt.Errorf("%w: %q", errForeignBody, body)
	}
}

// body is what the caller sends.
func (a *soakRequest) body() string {
	if a.kind == kindPoison {
		return poisonBody
	}
	return "body of " + a.id
}

func (s *soakSite) newRequest(ctx context.Context, a *soakRequest) *http.Request {
	path := "/lookup/x"
	switch {
	case a.kind == kindStream, a.kind == kindPoison:
		path = "/explain/x"
	case a.kind == kindUnknownRoute:
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
	request.Header.Set("Deadline-Ms", fmt.Sprint(a.timeout.Milliseconds()))
	switch a.kind {
	case kindStream, kindPoison:
		request.Header.Set("Accept", "text/event-stream")
		request.Header.Set("Model", "*")
	case kindForged:
		request.Header.Set("Tenant", "somebody-else")
		request.Header.Set("Expect-Instance", "nobody")
		request.Header.Set("Hold", "forged")
	}
	return request
}
