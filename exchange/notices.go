package exchange

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
	"github.com/willowwick/willowwick/wire"
)

// belongs reports whether an answer is to this request. One that is late tells of its endpoint all the same.
func (s *send) belongs(answer *wire.Answer) bool {
	head := s.router.codec.DecodeAnswer(answer.Status, answer.Header, clock.Now())
	if head.Request == "" || head.Request == s.call.head.ID {
		return true
	}
	s.hear(answer.Status, head.Notice, time.Time{}) // when its request was sent is not known
	return false
}

// hear takes what an answer, to a request that was sent at the given time, says of its endpoint, whatever becomes of the answer: errors, refusals and answers that are dropped
// tell as much as those that are passed on. Another endpoint at the address says nothing of this one.
func (s *send) hear(status int, notice willowwick.Notice, sentAt time.Time) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	x, endpoint, now := s.router, s.ticket.Endpoint, clock.Now()
	news := x.pool.Hear(now, sentAt, endpoint, notice)
	if news.Leaving {
		slog.Info("endpoint says that it leaves", "endpoint", endpoint.ID, "source", "answer", "request", s.call.head.ID)
	}
	if news.Rest {
		slog.Info("endpoint asks for rest", "endpoint", endpoint.ID, "request", s.call.head.ID,
			"ms", notice.BackoffUntil.Sub(now).Milliseconds())
	}
	if news.Limit {
		x.peers.hurry()
	}
}

// hearLeaving takes from another box which endpoints leave: an endpoint ends some time after its answers have begun to say so, and what
// is sent there late may be cut.
func (x *Router) hearLeaving(rows []route.LeavingRow, source string) {
	for _, endpoint := range x.pool.HearLeaving(rows) {
		slog.Info("endpoint says that it leaves", "endpoint", endpoint, "source", source)
	}
}
