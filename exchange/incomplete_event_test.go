package exchange

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endInOrder sends text as a whole answer by its framing, which ends in order.
var endInOrder = map[string]func(w http.ResponseWriter, r *http.Request, text string){
	"length": func(w http.ResponseWriter, _ *http.Request, text string) {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text)
	},
	"chunks": func(w http.ResponseWriter, _ *http.Request, text string) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	},
	"neither": func(w http.ResponseWriter, r *http.Request, text string) {
		_ = answerUnframed(w, r, text).Close()
	},
}

// incompleteStreams are streams that end inside an event.
var incompleteStreams = []string{"id: 1\nda", events(2) + "id: 3", events(2) + "id: 3\ndata: part 3\n"}

// eachIncompleteStream runs a test for each framing and each incomplete stream; the first answer is that one, the others are whole.
func eachIncompleteStream(t *testing.T, test func(t *testing.T, handler http.HandlerFunc, answers *atomic.Int64)) {
	for framing, answer := range endInOrder {
		for _, text := range incompleteStreams {
			t.Run(fmt.Sprintf("%s, %d bytes", framing, len(text)), func(t *testing.T) {
				var answers atomic.Int64
				test(t, func(w http.ResponseWriter, r *http.Request) {
					if answers.Add(1) > 1 {
						streamEvents(w, r, 5)
						return
					}
					answer(w, r, text)
				}, &answers)
			})
		}
	}
}

// Guards against a stream that ends inside an event being taken for complete because its framing is.
func TestStreamThatEndsInsideAnEventGoesOnElsewhere(t *testing.T) {
	eachIncompleteStream(t, func(t *testing.T, handler http.HandlerFunc, answers *atomic.Int64) {
		s := newSite(t, newRunner(t, "r1", handler).endpoint("v1"), newRunner(t, "r2", handler).endpoint("v1"))
		reply := s.do(t, http.MethodPost, "/stream/", "id", "x")
		assert.NoError(t, reply.err)
		assert.Equal(t, events(5), reply.body)
		assert.Equal(t, int64(2), answers.Load())
	})
}

// Guards against the same where the stream comes through another box.
func TestPassedOnStreamThatEndsInsideAnEventGoesOnElsewhere(t *testing.T) {
	c := newCutSite(t, 1)
	c.cutOffNow(t)
	eachIncompleteStream(t, func(t *testing.T, handler http.HandlerFunc, answers *atomic.Int64) {
		c.handleAll(handler)
		reply := c.do(t, http.MethodPost, "/stream/", "id", "x")
		assert.NoError(t, reply.err)
		assert.Equal(t, events(5), reply.body)
		assert.Equal(t, int64(2), answers.Load())
	})
}

// Guards against the same where the stream can't go on: its caller must not take it for complete.
func TestStreamThatEndsInsideAnEventIsCutOff(t *testing.T) {
	route := streamRoute()
	route.Resumable, route.Repeatable = false, false
	eachIncompleteStream(t, func(t *testing.T, handler http.HandlerFunc, answers *atomic.Int64) {
		r := newRunner(t, "r1", handler)
		s := startSite(t, newTestControl(testTable(1, route), r.endpoint("v1")), testSettings())
		reply := s.do(t, http.MethodPost, "/stream/", "id", "x")
		require.True(t, reply.err != nil || reply.status != http.StatusOK, "status %d, %q", reply.status, reply.body)
		assert.Equal(t, int64(1), answers.Load())
	})
}
