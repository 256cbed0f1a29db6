package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// logLine is a line about the request in a daemon's log.
type logLine struct {
	Time    string `json:"time"`
	Box     string `json:"box"`
	Message string `json:"msg"`
	Request string `json:"request"`
	fields  map[string]json.RawMessage
}

// explainCommand prints the lines about one request in collected logs.
func (t *tool) explainCommand() *ffcli.Command {
	return t.command("explain", "REQUEST-ID [LOG ...]", "print the lines about a request in the daemons' JSON logs, in order of time", nil,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return exitErrorf(exitInvalid, "expected a request id, then log files; without files, standard input is read")
			}
			lines, err := collectLines(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return exitErrorf(exitFailed, "no log line is about request %s", args[0])
			}
			return t.print(lines, func(w io.Writer) {
				for _, line := range lines {
					fmt.Fprintln(w, line.text())
				}
			})
		})
}

// collectLines returns the lines about the request, in order of time.
func collectLines(request string, files []string) ([]logLine, error) {
	var lines []logLine
	err := forEachLine(files, func(data []byte) error {
		var line logLine
		if !bytes.Contains(data, []byte(request)) || json.Unmarshal(data, &line) != nil || line.Request != request {
			return nil
		}
		lines = append(lines, line)
		return errors.Wrap(json.Unmarshal(data, &lines[len(lines)-1].fields), "line")
	})
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	return lines, err
}

// text returns the line as text: time, box, message, and the other attributes in order of their names.
func (l logLine) text() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "time", "box", "msg", "request", "level":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.Time, l.Box, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, "  %s=%s", name, l.fields[name])
	}
	return b.String()
}
