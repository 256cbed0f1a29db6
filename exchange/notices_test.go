package exchange

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const (
	// drainGrace is how long after an answer that told a box that the endpoint leaves requests of the box may still arrive there:
	// what the answer says holds at once.
	drainGrace = 200 * time.Millisecond
	// backoffGrace is how long after a 503 with rest requests may still arrive, and backoffSlack how many may later.
	backoffGrace, backoffSlack = 500 * time.Millisecond, 2
	// noticeRate is how many requests a second come to a fleet.
	noticeRate = 150
)

type (
	// noticeRunner is an endpoint that says of itself in its answers what a test wants, and notes to which box.
	noticeRunner struct {
		*runner
		boxes int

		mu       sync.Mutex
		draining bool
		backoff  string // that it asks for, turning all away; empty for none
		arrivals []noticeArrival
	}

	// noticeArrival is a request with what its answer said.
	noticeArrival struct {
		box          int
		at           time.Time
		draining     bool
		backoffUntil time.Time
	}
)

func newNoticeRunner(t *testing.T, id string, boxes int) *noticeRunner {
	n := &noticeRunner{boxes: boxes}
	n.runner = newRunner(t, id, func(w http.ResponseWriter, r *http.Request) {
		if n.recordArrival(w, r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	return n
}

// recordArrival notes a request of generateLoad, and writes what the answer says of the runner; isTurnedAway says that it is all the answer.
func (n *noticeRunner) recordArrival(w http.ResponseWriter, r *http.Request) (isTurnedAway bool) {
	number, err := strconv.Atoi(r.Header.Get("T-Id")[strings.LastIndexByte(r.Header.Get("T-Id"), '/')+1:])
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.draining {
		w.Header().Set("T-Leaving", "1")
	}
	if n.backoff != "" {
		w.Header().Set("T-Not-Run", "1")
		w.Header().Set("T-Rest", n.backoff)
	}
	n.arrivals = append(n.arrivals, noticeArrival{number % n.boxes, now, n.draining, willowwick.ParseRest(n.backoff, now, now)})
	return n.backoff != ""
}

// startDraining makes the runner say that it leaves.
func (n *noticeRunner) startDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// requestBackoff makes the runner turn all requests away and ask for rest; empty for neither.
func (n *noticeRunner) requestBackoff(rest string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backoff = rest
}

// lateAfterDraining counts the requests of boxes that an answer had told long before that the runner leaves.
func (n *noticeRunner) lateAfterDraining() (late, told int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	toldAt := map[int]time.Time{}
	for _, arrival := range n.arrivals {
		if at, isTold := toldAt[arrival.box]; isTold && arrival.at.Sub(at) > drainGrace {
			late++
		}
		if _, isTold := toldAt[arrival.box]; arrival.draining && !isTold {
			toldAt[arrival.box] = arrival.at
		}
	}
	return late, len(toldAt)
}

// maxDuringBackoff is the most requests that came from one box in the rest that one answer to it had asked for, after the grace.
func (n *noticeRunner) maxDuringBackoff() (most, asked int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, answer := range n.arrivals {
		if answer.backoffUntil.IsZero() {
			continue
		}
		asked++
		count := 0
		for _, arrival := range n.arrivals[i+1:] {
			isIn := arrival.at.Sub(answer.at) > backoffGrace && arrival.at.Before(answer.backoffUntil)
			if arrival.box == answer.box && isIn {
				count++
			}
		}
		most = max(most, count)
	}
	return most, asked
}

// count is the number of requests that came.
func (n *noticeRunner) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.arrivals)
}

// newNoticeFleet starts boxes in three halls before so many runners.
func newNoticeFleet(t *testing.T, boxes, count int) (*testControl, []*site, []*noticeRunner) {
	noticeRunners, runners := make([]*noticeRunner, count), make([]*runner, count)
	for i := range count {
		noticeRunners[i] = newNoticeRunner(t, fmt.Sprint("r", i), boxes)
		runners[i] = noticeRunners[i].runner
	}
	control, sites := newFleet(t, boxes, min(boxes, 3), runners...)
	return control, sites, noticeRunners
}

// An endpoint said in its answers that it leaves, and boxes sent to it as before until the store told the same.
func TestBoxesStopUsingEndpointThatReportsDraining(t *testing.T) {
	t.Parallel()
	for _, boxes := range []int{6, 24} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			_, sites, runners := newNoticeFleet(t, boxes, 3)
			calls, stop := generateLoad(t, sites, "/again/", noticeRate)
			time.Sleep(time.Second)
			runners[0].startDraining()
			time.Sleep(4 * time.Second)
			stop()
			late, told := runners[0].lateAfterDraining()
			require.Positive(t, told)
			assert.Zero(t, late, "requests later than %s after an answer had told the box, %d boxes told", drainGrace, told)
			assert.Empty(t, calls.refused, "the others take what went there")
			assert.Empty(t, calls.other)
		})
	}
}

// Where every endpoint says that it leaves, nothing can be sent: requests are refused at once, with a time.
func TestRequestsAreRefusedAtOnceWhenAllEndpointsDrain(t *testing.T) {
	t.Parallel()
	_, sites, runners := newNoticeFleet(t, 6, 2)
	calls, stop := generateLoad(t, sites, "/again/", noticeRate)
	time.Sleep(500 * time.Millisecond)
	for _, r := range runners {
		r.startDraining()
	}
	time.Sleep(3 * time.Second)
	stop()
	for _, r := range runners {
		late, told := r.lateAfterDraining()
		require.Positive(t, told)
		assert.Zero(t, late, "requests later than %s after an answer had told the box, %d boxes told", drainGrace, told)
	}
	assertRefusedAtOnce(t, calls)
}

// assertRefusedAtOnce checks that some requests were refused, at once and with a time, and none failed.
func assertRefusedAtOnce(t *testing.T, calls *limitCalls) {
	t.Helper()
	require.NotEmpty(t, calls.refused)
	slices.Sort(calls.refused)
	assert.Less(t, calls.refused[len(calls.refused)*9/10], refusalP90, "what cannot be served is refused at once")
	assert.Less(t, slices.Max(calls.refused), refusalMax)
	assert.True(t, calls.haveRetryAfter, "a refusal says when to come back")
	assert.Empty(t, calls.other)
}

// An endpoint turned a request away and asked for rest, and boxes sent to it as before: it looked idle, and had what it turned
// away sent on as repeats.
func TestBoxesHonorBackoff(t *testing.T) {
	t.Parallel()
	for _, rest := range []string{"2.5", "3", "8"} {
		t.Run(rest, func(t *testing.T) {
			t.Parallel()
			seconds, err := strconv.ParseFloat(rest, 64)
			require.NoError(t, err)
			_, sites, runners := newNoticeFleet(t, 6, 3)
			calls, stop := generateLoad(t, sites, "/again/", noticeRate)
			time.Sleep(500 * time.Millisecond)
			runners[0].requestBackoff(rest)
			time.Sleep(time.Duration((seconds + 1) * float64(time.Second)))
			stop()
			most, asked := runners[0].maxDuringBackoff()
			require.Positive(t, asked)
			assert.LessOrEqual(t, most, backoffSlack, "requests of a box in the rest of %s s that it was asked for, %d times in all", rest, asked)
			assert.Empty(t, calls.refused, "the others take what went there")
			assert.Empty(t, calls.other)
		})
	}
}

// Where every endpoint asks for rest, nothing can be sent: requests are refused at once, with a time.
func TestRequestsAreRefusedAtOnceWhenAllEndpointsBackOff(t *testing.T) {
	t.Parallel()
	_, sites, runners := newNoticeFleet(t, 6, 3)
	calls, stop := generateLoad(t, sites, "/again/", noticeRate)
	time.Sleep(500 * time.Millisecond)
	for _, r := range runners {
		r.requestBackoff("3")
	}
	time.Sleep(4 * time.Second)
	stop()
	for _, r := range runners {
		most, asked := r.maxDuringBackoff()
		require.Positive(t, asked)
		assert.LessOrEqual(t, most, backoffSlack, "requests of a box in the rest that it was asked for, %d times in all", asked)
	}
	assertRefusedAtOnce(t, calls)
}
