package exchange

import (
	"log/slog"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

// logEnd logs the end of a send that brought no answer.
func (s *send) logEnd(result sendResult) {
	cause := ""
	if result.err != nil {
		cause = result.err.Error()
	}
	ahead, reading := s.ticket.Forecast()
	var more []any
	if result.kind == broken {
		// The fingerprints find earlier sends of the same content, or with the same parts, under other request IDs.
		parts := s.partFingerprints()
		more = []any{
			"fingerprint", s.fingerprint().String(), "account_parts", fingerprintTexts(parts.OfAccount), "parts", fingerprintTexts(parts.OfAll),
			"endpoint_ended", s.crashed, "events", s.events,
		}
	}
	if result.kind == notRun {
		more = append(more, s.loadViewAttributes()...)
	}
	if s.answer != nil {
		more = append(more, "framing", s.answer.Framing, "end", s.endReason)
	}
	more = append(more, s.connAttributes()...)
	slog.Info("send ended", append(more, "request", s.call.head.ID, "outcome", sendKindNames[result.kind], "cause", cause,
		"endpoint", s.ticket.Endpoint.ID, "release", s.ticket.Endpoint.Release, "model", s.model,
		"confidence", s.answerHead.Confidence, "running", s.answerHead.Load.Running, "waiting", s.answerHead.Load.Waiting,
		"ms", clock.Since(s.sentAt).Milliseconds(), "age_ms", clock.Since(s.arrived).Milliseconds(),
		"ahead_ms", ahead.Milliseconds(), "reading_ms", reading.Milliseconds())...)
}

// connAttributes tells which send of the request it was, on which connection, what that connection had carried before, and how sure it is
// that the answer belongs to this send.
func (s *send) connAttributes() []any {
	attributes := []any{"send", s.sends}
	if s.conn == nil {
		return attributes
	}
	attributes = append(attributes, "conn", s.conn.LocalAddress(), "conn_requests", s.connPast.Requests, "conn_status", s.connPast.Status,
		"skipped", s.skipped)
	if s.answer == nil {
		return attributes
	}
	return append(attributes, "endpoint_status", s.answer.Status, "names_request", s.answerHead.Request == s.call.head.ID)
}

// loadViewAttributes tells what was known of the endpoint's load when the request was sent there.
func (s *send) loadViewAttributes() []any {
	view := s.ticket.LoadView()
	attributes := []any{"own_in_flight", view.InFlight, "own_since_report", view.SentSinceReport}
	if view.Reported.At.IsZero() {
		return attributes
	}
	return append(attributes, "reported_running", view.Reported.Running, "reported_waiting", view.Reported.Waiting,
		"reported_slots", view.Reported.Slots, "report_age_ms", s.sentAt.Sub(view.Reported.At).Milliseconds())
}

func fingerprintTexts(list []willowwick.Fingerprint) []string {
	texts := make([]string, len(list))
	for i, fingerprint := range list {
		texts[i] = fingerprint.String()
	}
	return texts
}
