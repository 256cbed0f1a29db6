package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// maxLogLine bounds a line of a log; longer ones are passed over.
const maxLogLine = 1 << 20

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
				return exitWith(exitInvalid, "give a request's id, and log files unless they come on standard input")
			}
			lines, err := collectLines(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return exitWith(exitFailed, "no line speaks of request %s", args[0])
			}
			return t.print(lines, func(w io.Writer) {
				for _, line := range lines {
					fmt.Fprintln(w, line.text())
				}
			})
		})
}

func collectLines(request string, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return linesOf(request, os.Stdin)
	}
	var all []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err := linesOf(request, file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "log %s", name)
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
	return all, nil
}

// linesOf finds the lines about the request; what stands before a line's first brace is a collector's own.
func linesOf(request string, r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) {
			continue
		}
		var line logLine
		data := []byte(text[start:])
		if json.Unmarshal(data, &line) != nil || line.Request != request {
			continue
		}
		if err := json.Unmarshal(data, &line.fields); err != nil {
			return nil, errors.Wrap(err, "line")
		}
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), "read")
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
