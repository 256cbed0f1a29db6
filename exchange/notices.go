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

// answersRequest reports whether an answer belongs to this send. One without an ID does only if the endpoint could not read the request,
// and nothing else was sent on the connection; others belong to no request. What an answer to an earlier request reports about its
// endpoint is applied all the same.
func (s *send) answersRequest(answer *wire.Answer) bool {
	head := s.router.codec.DecodeAnswer(answer.Status, answer.Header, clock.Now())
	isUnread := head.Request == "" && answer.Status == http.StatusBadRequest && s.connPast.Requests == 0
	if head.Request == s.call.head.ID || isUnread {
		return true
	}
	s.applyNotice(answer.Status, head.Notice, time.Time{}) // the time its request was sent is unknown
	return false
}

// applyNotice applies what an answer to a request sent at the given time reports about its endpoint, even if the
// answer is an error, a refusal or dropped. An answer of another endpoint at the same address (421) is ignored.
func (s *send) applyNotice(status int, notice willowwick.Notice, sentAt time.Time) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	x, endpoint, now := s.router, s.ticket.Endpoint, clock.Now()
	changes := x.pool.ApplyNotice(now, sentAt, endpoint, notice)
	if changes.Draining {
		slog.Info("endpoint says that it leaves", "endpoint", endpoint.ID, "source", "answer", "request", s.call.head.ID)
	}
	if changes.Backoff {
		slog.Info("endpoint asks for rest", "endpoint", endpoint.ID, "request", s.call.head.ID,
			"ms", notice.BackoffUntil.Sub(now).Milliseconds())
	}
	hasChanged := x.reservations.Observe(now, sentAt, endpoint.Service, notice.RejectionLimit)
	if changes.Limit || hasChanged {
		x.peers.requestRound()
	}
}

// receiveLeaving applies the draining endpoints reported by another box. An endpoint shuts down some time after its
// answers have begun to report it, and requests sent late may be cut off.
func (x *Router) receiveLeaving(rows []route.DrainingRow, source string) {
	for _, endpoint := range x.pool.MergeDraining(rows) {
		slog.Info("endpoint says that it leaves", "endpoint", endpoint, "source", source)
	}
}
