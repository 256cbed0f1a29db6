package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

// faultyCodec panics when it reads the head of an answer.
type faultyCodec struct {
	testCodec
}

func (faultyCodec) DecodeAnswer(int, http.Header, time.Time) willowwick.AnswerHead {
	panic("a fault of this box")
}

// Guards against a request whose connection closes without an answer, and without a log line, since its handler has panicked.
func TestRequestWhoseHandlerPanicsIsAnswered(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	s.daemon.router.codec = faultyCodec{}
	reply := s.do(t, http.MethodPost, "/once/", "id", "x")
	assert.NoError(t, reply.err)
	assert.Equal(t, http.StatusBadGateway, reply.status)
	assert.Eventually(t, func() bool { return s.daemon.router.inFlight.Load() == 0 }, waitTimeout, time.Millisecond)
}
