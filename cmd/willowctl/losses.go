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

// Causes of a loss, in the words of the report.
const (
	causeRefused   lossCause = "refused: no place in time"
	causeStopping  lossCause = "refused: the box was stopping"
	causeUnknown   lossCause = "refused: no configuration or endpoint known"
	causeEndpoint  lossCause = "failed: endpoint's failure passed on"
	causeBroken    lossCause = "failed: no endpoint answered"
	causeTime      lossCause = "failed: the time was up"
	causeCut       lossCause = "failed: answer cut off"
	causeLeft      lossCause = "caller left"
	causeAtBox     lossCause = "late: waited at the box"
	causeAhead     lossCause = "late: waited at the endpoint"
	causeReading   lossCause = "late: read its prompt"
	causeHeldUp    lossCause = "late: held up beyond the forecast"
	causeSmaller   lossCause = "late: a smaller model was asked first"
	causeSilent    lossCause = "late: an endpoint was silent and left"
	causeFailed    lossCause = "late: an endpoint failed or broke off first"
	causePaused    lossCause = "late: a pause between events"
	causeDoubtful  lossCause = "doubtful: a small model's answer of low confidence"
	defaultDoubt             = 50 // confidence below which a small model's answer counts as doubtful
	defaultWindow            = 2 * time.Second
	tabPadding               = 2
	outcomeSilent            = "silent"
	outcomeLarger            = "escalated"
	messageAnswer            = "answered"
	messageSendEnd           = "send ended"
)

type (
	// lossCause is why a request was refused, failed, late, or answered with doubt.
	lossCause string

	// eventLine is what a daemon's log line says of the end of a request or of one send of it; lengths are in milliseconds.
	eventLine struct {
		Time       time.Time `json:"time"`
		Message    string    `json:"msg"`
		Request    string    `json:"request"`
		Route      string    `json:"route"`
		Endpoint   string    `json:"endpoint"`
		Status     int       `json:"status"`
		Cause      string    `json:"cause"`
		Outcome    string    `json:"outcome"`
		Length     int64     `json:"ms"`
		Goal       int64     `json:"goal_ms"`
		First      *int64    `json:"first_ms"`
		Pause      int64     `json:"pause_ms"`
		PauseGoal  int64     `json:"pause_goal_ms"`
		SentAfter  int64     `json:"send_ms"`
		Ahead      int64     `json:"ahead_ms"`
		Reading    int64     `json:"reading_ms"`
		Confidence int       `json:"confidence"`
		Stage      int       `json:"stage"`
		Stages     int       `json:"stages"`
	}

	// history is what the logs say of one request.
	history struct {
		end   eventLine
		sends []eventLine // those that brought no answer
	}

	// loss is one request that was not answered well and in time.
	loss struct {
		Cause    lossCause `json:"cause"`
		Route    string    `json:"route"`
		Endpoint string    `json:"endpoint,omitempty"`
		At       time.Time `json:"at"`
		Request  string    `json:"request"`
	}

	// lossRow counts losses of one cause, of one route, endpoint or window of time.
	lossRow struct {
		Cause lossCause `json:"cause"`
		Of    string    `json:"of"`
		Count int       `json:"count"`
	}

	// lossReport is what the command prints.
	lossReport struct {
		Requests    int       `json:"requests"`
		Losses      []loss    `json:"losses"`
		ByRoute     []lossRow `json:"by_route"`
		ByEndpoint  []lossRow `json:"by_endpoint"`
		ByTime      []lossRow `json:"by_time"`
		ByCauseOnly []lossRow `json:"by_cause"`
	}
)

// lossesCommand sorts what was lost by its causes.
func (t *tool) lossesCommand() *ffcli.Command {
	doubt, window := defaultDoubt, defaultWindow
	flags := func(set *flag.FlagSet) {
		set.IntVar(&doubt, "doubt", doubt, "confidence below which a small model's answer counts as doubtful")
		set.DurationVar(&window, "window", window, "length of the windows of time")
	}
	return t.command("losses", "[LOG ...]", "sort the requests that were refused, failed, late or answered with doubt by cause", flags,
		func(_ context.Context, args []string) error {
			if window <= 0 {
				return exitWith(exitInvalid, "-window must be above 0, is %s", window)
			}
			histories, err := readHistories(args)
			if err != nil {
				return err
			}
			if len(histories) == 0 {
				return exitWith(exitFailed, "no line tells of the end of a request; are these JSON logs of daemons?")
			}
			report := reportLosses(histories, doubt, window)
			return t.print(report, report.write)
		})
}

// readHistories gathers the lines of the logs by request; several daemons' requests have ids of their own.
func readHistories(files []string) (map[string]*history, error) {
	histories := map[string]*history{}
	err := eachLine(files, func(data []byte) error {
		var line eventLine
		if json.Unmarshal(data, &line) != nil || line.Request == "" {
			return nil // another program's line, or one about no request
		}
		h := histories[line.Request]
		if h == nil {
			h = &history{}
			histories[line.Request] = h
		}
		switch {
		case line.Message == messageSendEnd:
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

func reportLosses(histories map[string]*history, doubt int, window time.Duration) lossReport {
	report := lossReport{Requests: len(histories)}
	for _, h := range histories {
		if cause, lost := h.cause(doubt); lost {
			report.Losses = append(report.Losses, loss{cause, h.end.Route, h.endpoint(), h.end.Time, h.end.Request})
		}
	}
	sort.Slice(report.Losses, func(i, j int) bool { return report.Losses[i].At.Before(report.Losses[j].At) })
	report.ByCauseOnly = countLosses(report.Losses, func(loss) string { return "" })
	report.ByRoute = countLosses(report.Losses, func(l loss) string { return l.Route })
	report.ByEndpoint = countLosses(report.Losses, func(l loss) string { return l.Endpoint })
	report.ByTime = countLosses(report.Losses, func(l loss) string { return l.At.Truncate(window).Format(time.TimeOnly) })
	return report
}

// endpoint is the one that the request was last sent to.
func (h *history) endpoint() string {
	if h.end.Endpoint == "" && len(h.sends) > 0 {
		return h.sends[len(h.sends)-1].Endpoint
	}
	return h.end.Endpoint
}

// cause says why a request counts as lost, if it does.
func (h *history) cause(doubt int) (cause lossCause, lost bool) {
	switch end := h.end; {
	case end.Message == messageAnswer && h.isLate():
		return h.whyLate(), true
	case end.Message == messageAnswer:
		isSmall := end.Stage > 0 && end.Stage < end.Stages
		return causeDoubtful, isSmall && end.Confidence >= 0 && end.Confidence < doubt
	case end.Message == "caller left":
		return causeLeft, true
	case end.Message == "answer cut off":
		return causeCut, true
	case end.Message == "endpoint's failure passed on":
		return causeEndpoint, true
	case end.Message == "refused":
		return h.whyRefused()
	default:
		return "", false
	}
}

func (h *history) whyRefused() (cause lossCause, lost bool) {
	switch text := h.end.Cause; {
	case strings.Contains(text, "stopping"):
		return causeStopping, true
	case strings.Contains(text, "no endpoint serves"), strings.Contains(text, "configuration"):
		return causeUnknown, true
	case strings.Contains(text, "the time was up"):
		return causeTime, true
	case strings.Contains(text, "no endpoint answered"):
		return causeBroken, true
	default:
		return causeRefused, true
	}
}

// first is when the answer began to reach the caller, in milliseconds from the request.
func (h *history) first() int64 {
	if h.end.First != nil {
		return *h.end.First
	}
	return h.end.Length
}

func (h *history) isLate() bool {
	return h.first() > h.end.Goal || h.end.PauseGoal > 0 && h.end.Pause > h.end.PauseGoal
}

// whyLate is the cause of most of the time until the answer began, or the pause if it began in time.
func (h *history) whyLate() lossCause {
	if h.first() <= h.end.Goal {
		return causePaused
	}
	spent := map[lossCause]int64{}
	var sending int64
	for _, send := range h.sends {
		spent[send.causeOfDelay()] += send.Length
		sending += send.Length
	}
	spent[causeAtBox] = h.end.SentAfter - sending
	waited := h.first() - h.end.SentAfter
	spent[causeAhead] = min(h.end.Ahead, waited)
	spent[causeReading] = min(h.end.Reading, waited-spent[causeAhead])
	spent[causeHeldUp] = waited - spent[causeAhead] - spent[causeReading]
	most := causeAtBox
	for _, cause := range []lossCause{causeAhead, causeReading, causeHeldUp, causeSmaller, causeSilent, causeFailed} {
		if spent[cause] > spent[most] {
			most = cause
		}
	}
	return most
}

// causeOfDelay is what a send without an answer delayed the request by.
func (l eventLine) causeOfDelay() lossCause {
	switch l.Outcome {
	case outcomeLarger:
		return causeSmaller
	case outcomeSilent:
		return causeSilent
	default:
		return causeFailed
	}
}

func countLosses(losses []loss, of func(loss) string) []lossRow {
	type key struct {
		cause lossCause
		of    string
	}
	counts := map[key]int{}
	for _, l := range losses {
		counts[key{l.Cause, of(l)}]++
	}
	rows := make([]lossRow, 0, len(counts))
	for k, n := range counts {
		rows = append(rows, lossRow{k.cause, k.of, n})
	}
	sort.Slice(rows, func(i, j int) bool {
		a, b := rows[i], rows[j]
		if a.Of != b.Of {
			return a.Of < b.Of
		}
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return a.Cause < b.Cause
	})
	return rows
}

// write prints the report for people.
func (r lossReport) write(w io.Writer) {
	fmt.Fprintf(w, "%d requests, %d of them lost\n", r.Requests, len(r.Losses))
	for _, part := range []struct {
		title string
		rows  []lossRow
	}{{"cause", r.ByCauseOnly}, {"by route", r.ByRoute}, {"by endpoint", r.ByEndpoint}, {"by time", r.ByTime}} {
		fmt.Fprintf(w, "\n%s\n", part.title)
		table := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
		for _, row := range part.rows {
			fmt.Fprintf(table, "%s\t%d\t%s\n", row.Of, row.Count, row.Cause)
		}
		if err := table.Flush(); err != nil {
			return // the output is closed; there is nobody to tell
		}
	}
}
