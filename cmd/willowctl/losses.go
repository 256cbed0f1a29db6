package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Causes of a loss, as the report prints them: "no place" means no free slot, "read its prompt" the prefill.
const (
	causeNoSlot           lossCause = "refused: no place in time"
	causeStopping         lossCause = "refused: the box was stopping"
	causeNothingKnown     lossCause = "refused: no configuration or endpoint known"
	causeFailurePassedOn  lossCause = "failed: endpoint's failure passed on"
	causeNoAnswer         lossCause = "failed: no endpoint answered"
	causeTimedOut         lossCause = "failed: the time was up"
	causeCutOff           lossCause = "failed: answer cut off"
	causeCallerLeft       lossCause = "caller left"
	causeQueuedAtBox      lossCause = "late: waited at the box"
	causeQueuedAtEndpoint lossCause = "late: waited at the endpoint"
	causePrefill          lossCause = "late: read its prompt"
	causeBeyondForecast   lossCause = "late: held up beyond the forecast"
	causeEscalated        lossCause = "late: a smaller model was asked first"
	causeEndpointSilent   lossCause = "late: an endpoint was silent and left"
	causeEndpointFailed   lossCause = "late: an endpoint failed or broke off first"
	causeStreamPause      lossCause = "late: a pause between events"
	causeLowConfidence    lossCause = "doubtful: a small model's answer of low confidence"
	defaultMinConfidence            = 50 // confidence below which a small model's answer counts as doubtful
	defaultWindow                   = 2 * time.Second
	tabPadding                      = 2
	outcomeSilent                   = "silent"
	outcomeEscalated                = "escalated"
	messageAnswered                 = "answered"
	messageSendEnded                = "send ended"
)

type (
	// lossCause is the reason why a request was refused, failed, late, or answered with low confidence.
	lossCause string

	// requestEvent is a daemon's log line about the end of a request or of one send to an endpoint.
	requestEvent struct {
		Time        time.Time `json:"time"`
		Message     string    `json:"msg"`
		Request     string    `json:"request"`
		Route       string    `json:"route"`
		Endpoint    string    `json:"endpoint"`
		Status      int       `json:"status"`
		Cause       string    `json:"cause"`
		Outcome     string    `json:"outcome"`
		DurationMs  int64     `json:"ms"` // duration of the request or of the send
		GoalMs      int64     `json:"goal_ms"`
		FirstMs     *int64    `json:"first_ms"` // from the arrival to the first event of a stream; nil without one
		PauseMs     int64     `json:"pause_ms"` // longest pause between events of a stream
		PauseGoalMs int64     `json:"pause_goal_ms"`
		SentAfterMs int64     `json:"send_ms"`    // from the arrival to the send that was answered
		AheadMs     int64     `json:"ahead_ms"`   // forecast backlog of the endpoint when the request was sent
		ReadingMs   int64     `json:"reading_ms"` // forecast prefill time
		Confidence  int       `json:"confidence"`
		Stage       int       `json:"stage"`  // position of the answering model in the cascade, from 1
		Stages      int       `json:"stages"` // length of the cascade
	}

	// history holds the log lines about one request.
	history struct {
		end   requestEvent
		sends []requestEvent // sends that brought no answer
	}

	// loss is one request that was not answered well and in time.
	loss struct {
		Cause    lossCause `json:"cause"`
		Route    string    `json:"route"`
		Endpoint string    `json:"endpoint,omitempty"`
		At       time.Time `json:"at"`
		Request  string    `json:"request"`
	}

	// lossRow counts the losses of one cause in one group: a route, an endpoint or a time window.
	lossRow struct {
		Cause lossCause `json:"cause"`
		Group string    `json:"of"`
		Count int       `json:"count"`
	}

	// lossReport is the output of the losses command.
	lossReport struct {
		Requests   int       `json:"requests"`
		Losses     []loss    `json:"losses"`
		ByRoute    []lossRow `json:"by_route"`
		ByEndpoint []lossRow `json:"by_endpoint"`
		ByTime     []lossRow `json:"by_time"`
		ByCause    []lossRow `json:"by_cause"`
	}
)

// lossesCommand groups lost requests by cause.
func (t *tool) lossesCommand() *ffcli.Command {
	minConfidence, window := defaultMinConfidence, defaultWindow
	flags := func(set *flag.FlagSet) {
		set.IntVar(&minConfidence, "doubt", minConfidence, "confidence below which a small model's answer counts as doubtful")
		set.DurationVar(&window, "window", window, "duration of the time windows")
	}
	return t.command("losses", "[LOG ...]", "group the requests that were refused, failed, late or answered with low confidence by cause", flags,
		func(_ context.Context, args []string) error {
			if window <= 0 {
				return exitErrorf(exitInvalid, "-window must be above 0, is %s", window)
			}
			histories, err := readHistories(args)
			if err != nil {
				return err
			}
			if len(histories) == 0 {
				return exitErrorf(exitFailed, "no log line is about the end of a request; are these JSON logs of daemons?")
			}
			report := reportLosses(histories, minConfidence, window)
			return t.print(report, report.write)
		})
}

// readHistories groups log lines by request id, which is unique across daemons, and drops requests without an end.
func readHistories(files []string) (map[string]*history, error) {
	histories := map[string]*history{}
	err := forEachLine(files, func(data []byte) error {
		var line requestEvent
		if json.Unmarshal(data, &line) != nil || line.Request == "" {
			return nil // a line of another program, or not about a request
		}
		h := histories[line.Request]
		if h == nil {
			h = &history{}
			histories[line.Request] = h
		}
		switch {
		case line.Message == messageSendEnded:
			h.sends = append(h.sends, line)
		case line.Route != "":
			h.end = line
		}
		return nil
	})
	for id, h := range histories {
		if h.end.Route == "" {
			delete(histories, id)
		}
	}
	return histories, errors.Wrap(err, "losses")
}

func reportLosses(histories map[string]*history, minConfidence int, window time.Duration) lossReport {
	report := lossReport{Requests: len(histories)}
	for _, h := range histories {
		if cause, lost := h.cause(minConfidence); lost {
			report.Losses = append(report.Losses, loss{cause, h.end.Route, h.endpoint(), h.end.Time, h.end.Request})
		}
	}
	sort.Slice(report.Losses, func(i, j int) bool { return report.Losses[i].At.Before(report.Losses[j].At) })
	report.ByCause = countLosses(report.Losses, func(loss) string { return "" })
	report.ByRoute = countLosses(report.Losses, func(l loss) string { return l.Route })
	report.ByEndpoint = countLosses(report.Losses, func(l loss) string { return l.Endpoint })
	report.ByTime = countLosses(report.Losses, func(l loss) string { return l.At.Truncate(window).Format(time.TimeOnly) })
	return report
}

// endpoint returns the endpoint that the request was last sent to.
func (h *history) endpoint() string {
	if h.end.Endpoint == "" && len(h.sends) > 0 {
		return h.sends[len(h.sends)-1].Endpoint
	}
	return h.end.Endpoint
}

// cause returns why a request counts as lost, and whether it does.
func (h *history) cause(minConfidence int) (cause lossCause, lost bool) {
	switch end := h.end; {
	case end.Message == messageAnswered && h.isLate():
		return h.latenessCause(), true
	case end.Message == messageAnswered:
		isSmall := end.Stage > 0 && end.Stage < end.Stages
		return causeLowConfidence, isSmall && end.Confidence >= 0 && end.Confidence < minConfidence
	case end.Message == "caller left":
		return causeCallerLeft, true
	case end.Message == "answer cut off":
		return causeCutOff, true
	case end.Message == "endpoint's failure passed on":
		return causeFailurePassedOn, true
	case end.Message == "refused":
		return h.refusalCause()
	default:
		return "", false
	}
}

// refusalCause derives the cause from the text that the daemon logged with the refusal.
func (h *history) refusalCause() (cause lossCause, lost bool) {
	switch text := h.end.Cause; {
	case strings.Contains(text, "stopping"):
		return causeStopping, true
	case strings.Contains(text, "no endpoint serves"), strings.Contains(text, "configuration"):
		return causeNothingKnown, true
	case strings.Contains(text, "the time was up"):
		return causeTimedOut, true
	case strings.Contains(text, "no endpoint answered"):
		return causeNoAnswer, true
	default:
		return causeNoSlot, true
	}
}

// firstTokenMs returns when the answer began to reach the caller, in milliseconds from the request's arrival.
func (h *history) firstTokenMs() int64 {
	if h.end.FirstMs != nil {
		return *h.end.FirstMs
	}
	return h.end.DurationMs
}

func (h *history) isLate() bool {
	return h.firstTokenMs() > h.end.GoalMs || h.end.PauseGoalMs > 0 && h.end.PauseMs > h.end.PauseGoalMs
}

// latenessCause returns the cause of the largest part of the time until the answer began, or causeStreamPause if the
// answer began in time.
func (h *history) latenessCause() lossCause {
	if h.firstTokenMs() <= h.end.GoalMs {
		return causeStreamPause
	}
	spent := map[lossCause]int64{}
	var sending int64 // total duration of the sends that brought no answer
	for _, send := range h.sends {
		spent[send.delayCause()] += send.DurationMs
		sending += send.DurationMs
	}
	spent[causeQueuedAtBox] = h.end.SentAfterMs - sending
	waited := h.firstTokenMs() - h.end.SentAfterMs
	spent[causeQueuedAtEndpoint] = min(h.end.AheadMs, waited)
	spent[causePrefill] = min(h.end.ReadingMs, waited-spent[causeQueuedAtEndpoint])
	spent[causeBeyondForecast] = waited - spent[causeQueuedAtEndpoint] - spent[causePrefill]
	most := causeQueuedAtBox
	for _, cause := range []lossCause{causeQueuedAtEndpoint, causePrefill, causeBeyondForecast, causeEscalated, causeEndpointSilent, causeEndpointFailed} {
		if spent[cause] > spent[most] {
			most = cause
		}
	}
	return most
}

// delayCause returns the cause of the delay by a send that brought no answer.
func (l requestEvent) delayCause() lossCause {
	switch l.Outcome {
	case outcomeEscalated:
		return causeEscalated
	case outcomeSilent:
		return causeEndpointSilent
	default:
		return causeEndpointFailed
	}
}

// countLosses counts the losses by group and cause; rows are sorted by group, the most frequent cause first.
func countLosses(losses []loss, group func(loss) string) []lossRow {
	type key struct {
		cause lossCause
		group string
	}
	counts := map[key]int{}
	for _, l := range losses {
		counts[key{l.Cause, group(l)}]++
	}
	rows := make([]lossRow, 0, len(counts))
	for k, n := range counts {
		rows = append(rows, lossRow{k.cause, k.group, n})
	}
	sort.Slice(rows, func(i, j int) bool {
		a, b := rows[i], rows[j]
		if a.Group != b.Group {
			return a.Group < b.Group
		}
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return a.Cause < b.Cause
	})
	return rows
}

// write prints the report as text.
func (r lossReport) write(w io.Writer) {
	fmt.Fprintf(w, "%d requests, %d of them lost\n", r.Requests, len(r.Losses))
	for _, part := range []struct {
		title string
		rows  []lossRow
	}{{"cause", r.ByCause}, {"by route", r.ByRoute}, {"by endpoint", r.ByEndpoint}, {"by time", r.ByTime}} {
		fmt.Fprintf(w, "\n%s\n", part.title)
		table := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
		for _, row := range part.rows {
			fmt.Fprintf(table, "%s\t%d\t%s\n", row.Group, row.Count, row.Cause)
		}
		if err := table.Flush(); err != nil {
			return // the output is closed, so the error cannot be printed
		}
	}
}
