package serve

import (
	"log/slog"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

// onNotice returns the handler of the notice in the answer to a request that is sent to the endpoint now.
func (d *Daemon) onNotice(endpoint willowwick.Endpoint, request willowwick.RequestID) func(willowwick.Notice) {
	sentAt := clock.Now()
	return func(notice willowwick.Notice) {
		now := clock.Now()
		changes := d.pool.ApplyNotice(now, sentAt, endpoint, notice)
		if changes.Draining {
			slog.Info("endpoint says that it leaves", "endpoint", endpoint.ID, "source", "answer", "request", request)
		}
		if changes.Backoff {
			slog.Info("endpoint asks for rest", "endpoint", endpoint.ID, "request", request, "ms", notice.BackoffUntil.Sub(now).Milliseconds())
		}
	}
}
