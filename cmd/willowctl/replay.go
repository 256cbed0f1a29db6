package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick/replay"
)

func (t *tool) replayCommand() *ffcli.Command {
	var name, load, mode, file, write string
	var seed uint64
	flags := func(set *flag.FlagSet) {
		set.StringVar(&name, "trace", "prairie", "prairie or bitola")
		set.StringVar(&load, "load", replay.LoadPeak, "light, peak or overload")
		set.StringVar(&mode, "bad", string(replay.FailureRatings), "how the new version fails: errors, slow, ratings, or none")
		set.StringVar(&file, "file", "", "replay the trace in this file instead of a generated one")
		set.StringVar(&write, "write", "", "write the trace to a file and exit")
		set.Uint64Var(&seed, "seed", 1, "seed of the trace and the samples")
	}
	return t.command("replay", "", "replay a trace against baselines and check its expected outcomes", flags, func(context.Context, []string) error {
		trace, err := openTrace(file, name, load, mode, seed)
		if err != nil {
			return err
		}
		if write != "" {
			return writeTraceFile(write, trace)
		}
		report, err := replay.Run(trace, seed)
		if err != nil {
			return err
		}
		if err := t.print(report, func(w io.Writer) { writeReport(w, report) }); err != nil {
			return err
		}
		if missed := report.Missed(); len(missed) > 0 {
			return exitErrorf(exitOutcomeMissed, "%d expected outcomes were missed", len(missed))
		}
		return nil
	})
}

func openTrace(file, name, load, mode string, seed uint64) (*replay.Trace, error) {
	if file == "" {
		if mode == "none" {
			mode = ""
		}
		return replay.Generate(name, load, replay.FailureMode(mode), seed)
	}
	opened, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	defer func() { _ = opened.Close() }()
	return replay.Read(opened)
}

func writeTraceFile(name string, trace *replay.Trace) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	if err := trace.Write(file); err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "trace")
}

func writeReport(w io.Writer, report *replay.Report) {
	fmt.Fprintf(w, "%s, %d requests\n%-32s %8s %8s %8s %8s %8s %8s %9s %8s\n", report.Trace, report.Requests,
		"policy", "cost", "quality", "p50 ms", "p95 ms", "p99 ms", "goodput", "exposure", "refused")
	for _, f := range report.Policies {
		fmt.Fprintf(w, "%-32s %8.1f %8.3f %8.0f %8.0f %8.0f %8.3f %9d %8d\n",
			f.Name, f.Cost, f.Quality, f.P50, f.P95, f.P99, f.Goodput, f.Exposure, f.Refused)
	}
	for _, outcome := range report.Outcomes {
		fmt.Fprintln(w, outcome)
	}
}
