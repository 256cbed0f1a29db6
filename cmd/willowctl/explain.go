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

// logLine is a line of a daemon's log that speaks of the request.
type logLine struct {
	Time    string `json:"time"`
	Box     string `json:"box"`
	Message string `json:"msg"`
	Request string `json:"request"`
	fields  map[string]json.RawMessage
}

// explainCommand prints what collected logs say of one request.
func (t *tool) explainCommand() *ffcli.Command {
	return t.command("explain", "REQUEST-ID [LOG ...]", "print what the daemons' JSON logs say of a request, in order", nil,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return exitErrorf(exitInvalid, "give a request's id, and log files unless they come on standard input")
			}
			lines, err := collectLines(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return exitErrorf(exitFailed, "no line speaks of request %s", args[0])
			}
			return t.print(lines, func(w io.Writer) {
				for _, line := range lines {
					fmt.Fprintln(w, line.text())
				}
			})
		})
}

// collectLines finds the lines about the request, in order of time.
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

// text is the line for people: when, where, what, and the inputs in order of their names.
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
