package exchange

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unreliableEndpoints run a request after an answer that looks as if they had not, or answer with a status that promises so; by what
// they do.
var unreliableEndpoints = map[string]func(*rawEndpoint, rawTry){
	"a copy of the rejection comes again": rejectsFirst(func(r *rawEndpoint, try rawTry) {
		repeatsRejection(r, try)
		time.Sleep(20 * time.Millisecond)
		try.writeOwn(http.StatusOK)
	}),
	"a copy of the rejection comes again and the answer is lost": rejectsFirst(repeatsRejection),
	"a rejection without ID where an answer is due": func(r *rawEndpoint, try rawTry) {
		try.write("HTTP/1.1 503 Service Unavailable\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		r.run(try)
		time.Sleep(20 * time.Millisecond)
		try.writeOwn(http.StatusOK)
	},
	"a 400 without ID where an answer is due": func(r *rawEndpoint, try rawTry) {
		if len(try.seen) > 0 {
			try.write("HTTP/1.1 400 Bad Request\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		r.run(try)
		try.writeOwn(http.StatusOK)
	},
	"its own 429": ranAndAnswers(http.StatusTooManyRequests),
	"its own 408": ranAndAnswers(http.StatusRequestTimeout),
	"its own 421": ranAndAnswers(http.StatusMisdirectedRequest),
	"its own 503": ranAndAnswers(http.StatusServiceUnavailable),
}

// repeatsRejection writes a copy of the rejection first if the request was rejected on this connection, and runs the request.
func repeatsRejection(r *rawEndpoint, try rawTry) {
	if try.seen[try.id] {
		try.write(rejection, try.id)
	}
	r.run(try)
}

func ranAndAnswers(status int) func(*rawEndpoint, rawTry) {
	return func(r *rawEndpoint, try rawTry) {
		r.run(try)
		try.writeOwn(status)
	}
}

// Guards against requests that run twice, or that run and are refused with a promise that they didn't: an answer that comes on
// another try's behalf, or an endpoint's own status, was taken for the word that the request was not run.
func TestRequestThatMayHaveRunIsNeitherRepeatedNorRefusedWithAPromise(t *testing.T) {
	for name, answer := range unreliableEndpoints {
		for _, goal := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s/goal=%s", name, goal), func(t *testing.T) {
				t.Parallel()
				r := newRawEndpoint(t, answer)
				once := onceRoute()
				once.Goal, once.Timeout = goal, time.Second
				s := startSite(t, newTestControl(testTable(1, once), r.endpoint()), testSettings())
				refused, twice := 0, 0
				for n := range 10 {
					id := fmt.Sprint("id-", n)
					status := s.do(t, http.MethodPost, "/once/", id, "x").status
					runs := r.runsOf(id)
					if runs > 0 && promisesNotRun(status) {
						refused++
					}
					if runs > 1 {
						twice++
					}
				}
				assert.Zero(t, refused, "refused with a promise, of 10 that ran")
				assert.Zero(t, twice, "ran more than once, of 10")
			})
		}
	}
}

// Guards against the loss of an answer that was there: a copy of the error that a try of the request had was taken for the answer
// to the next try, which spent the request's last run.
func TestAnswerToARetryIsNotAnEarlierErrorOfTheRequest(t *testing.T) {
	const failure = "HTTP/1.1 500 Own\r\nT-Id: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	r := newRawEndpoint(t, func(_ *rawEndpoint, try rawTry) {
		if try.try == 1 {
			try.write(failure, try.id)
			return
		}
		if try.seen[try.id] {
			try.write(failure, try.id)
		}
		try.writeOwn(http.StatusOK)
	})
	s := startSite(t, newTestControl(testTable(1, retryRoute()), r.endpoint()), testSettings())
	for n := range 10 {
		require.Equal(t, http.StatusOK, s.do(t, http.MethodGet, "/again/", fmt.Sprint("id-", n), "").status)
	}
}
