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
	kindStream       requestKind = "stream"        // may be resumed
	kindOnce         requestKind = "once"          // runs at most once
	kindIdempotent   requestKind = "idempotent"    // may be retried
	kindForged       requestKind = "forged"        // carries headers that only the router may set
	kindUnknownRoute requestKind = "unknown route" // addresses a route that no configuration ever had
	kindDraft        requestKind = "draft"         // runs at most once, on a route with models of several sizes
	kindFeed         requestKind = "feed"          // a stream on such a route that may not be resumed
	kindJob          requestKind = "job"           // runs at most once, and longer than a planned stop may take
	kindPoison       requestKind = "poison"        // crashes the endpoint that runs it; always the same request
	kindPoisonPart   requestKind = "poison part"   // crashes the endpoint that runs it by a part of its prompt; never the same body

	// callersPerBox is the number of callers of each box and meanCallerPause their mean pause between requests: together
	// at most about 300 requests per second at each box.
	callersPerBox   = 5
	meanCallerPause = 15 * time.Millisecond
	// answerGrace is how long a caller still waits for an answer after its deadline.
	answerGrace = 3 * time.Second
)

// errForeignBody reports that an interrupted answer contains data of another request.
var errForeignBody = errors.New("interrupted answer is not a prefix of the expected one")

type (
	requestKind string

	// soakRequest is one request of a caller and its outcome.
	soakRequest struct {
		id            string
		kind          requestKind
		version       int // of the configuration whose route or key it uses; 0 for the permanent routes
		key           string
		box           int
		incarnation   int // of the daemon at the time of sending; 0 if it was not running
		sentAt        time.Time
		endedAt       time.Time
		timeout       time.Duration // set by the caller
		parts         string        // the shared parts of its prompt; empty if it has no prompt
		status        int           // 0 without an answer
		isComplete    bool          // the body is complete and belongs to this request
		isInterrupted bool          // the answer was interrupted
		isAbandoned   bool          // the caller disconnects early
		isConnRefused bool          // the connection was refused
		hasRetryAfter bool          // the answer has a Retry-After header
		err           error
	}

	// callers send requests to all boxes over kept-alive connections until they are stopped.
	callers struct {
		site *soakSite
		draw func(box int, random *rand.Rand) *soakRequest // returns the next request
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

// stopAndCollect stops the callers and returns all their requests.
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
		r := c.draw(box, random)
		r.id = fmt.Sprintf("b%d-c%d-%d", box, n, i)
		c.mu.Lock()
		c.requests = append(c.requests, r)
		c.mu.Unlock()
		c.site.sendRequest(client, r, random)
	}
}

// newCaller returns a client that reuses its connections, and a function that closes the idle ones.
func newCaller() (*http.Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// drawAny draws a request. Most use permanent routes, some the route of the newest configuration or of the newest one
// that must be in force, and some an older route with the key that the newest configuration removed.
func (s *soakSite) drawAny(box int, random *rand.Rand) *soakRequest {
	r := &soakRequest{box: box, key: siteKey, timeout: time.Duration(1500+random.IntN(2500)) * time.Millisecond}
	newest := s.newestVersion()
	switch random.IntN(10) {
	case 0, 1, 2, 3:
		r.kind = kindStream
	case 4, 5, 6:
		r.kind = kindOnce
	case 7:
		r.kind = kindForged
	case 8:
		r.kind, r.version = kindIdempotent, []int{newest, s.dueVersion()}[random.IntN(2)]
	default:
		r.kind, r.version, r.key = kindIdempotent, max(newest-1, 1), versionKey(max(newest-1, 1))
	}
	r.isAbandoned = random.IntN(25) == 0
	return r
}

// sendRequest sends a request and records its outcome.
func (s *soakSite) sendRequest(client *http.Client, r *soakRequest, random *rand.Rand) {
	wait := r.timeout + answerGrace
	if r.isAbandoned {
		wait = time.Duration(random.IntN(60)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	box := s.boxes[r.box]
	r.incarnation = box.incarnationNumber()
	r.sentAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	response, err := client.Do(s.newRequest(ctx, r))
	if err != nil {
		r.err, r.isConnRefused = err, errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.status, r.err, r.isInterrupted = response.StatusCode, err, err != nil
	r.hasRetryAfter = response.Header.Get("Retry-After") != ""
	want := "answer of " + r.id
	if r.kind == kindStream || r.kind == kindFeed {
		want = wholeStream(r.id)
	}
	r.isComplete = err == nil && string(body) == want
	if r.status == http.StatusOK && r.isInterrupted && !strings.HasPrefix(want, string(body)) {
		r.err = fmt.Errorf("%w: %q", errForeignBody, body)
	}
}

// body returns the body that the caller sends.
func (r *soakRequest) body() string {
	if r.kind == kindPoison {
		return poisonBody
	}
	return "body of " + r.id
}

func (s *soakSite) newRequest(ctx context.Context, r *soakRequest) *http.Request {
	path := "/lookup/x"
	switch {
	case r.kind == kindStream, r.kind == kindPoison, r.kind == kindPoisonPart:
		path = "/explain/x"
	case r.kind == kindUnknownRoute:
		path = "/never/x"
	case r.kind == kindDraft, r.kind == kindFeed, r.kind == kindJob:
		path = fmt.Sprintf("/%s/x", r.kind)
	case r.version > 0:
		path = fmt.Sprintf("/at-%d/x", r.version)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.boxes[r.box].callerAddress+path, strings.NewReader(r.body()))
	if err != nil {
		panic(err) // addresses and paths are generated by this package
	}
	request.GetBody = nil // prevents the transport from resending the request
	request.Host = siteHost
	request.Header.Set("Attempt-Id", r.id)
	request.Header.Set("Credential", r.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	if r.parts != "" {
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("%s,%s:50", r.parts, r.id))
	}
	switch r.kind {
	case kindDraft:
		request.Header.Set("Model", "*")
	case kindStream, kindFeed, kindPoison, kindPoisonPart:
		request.Header.Set("Accept", "text/event-stream")
		request.Header.Set("Model", "*")
	case kindForged:
		request.Header.Set("Tenant", "somebody-else")
		request.Header.Set("Expect-Instance", "nobody")
		request.Header.Set("Hold", "forged")
	}
	return request
}
