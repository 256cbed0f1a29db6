package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK            = 0
	exitFailed        = 1
	exitInvalid       = 2
	exitRejected      = 3
	exitNotInForce    = 4
	exitOutcomeMissed = 5
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e *exitError) Error() string {
	return e.message
}

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// tool holds the output and the flags that all commands share.
type tool struct {
	out  io.Writer
	json bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs one command line and returns its exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := newRoot(&tool{out: out}).ParseAndRun(ctx, args)
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitInvalid
	case errors.As(err, &exit):
		fmt.Fprintln(errOut, "willowctl:", exit.message)
		return exit.code
	default:
		fmt.Fprintln(errOut, "willowctl:", err)
		return exitFailed
	}
}

func newRoot(t *tool) *ffcli.Command {
	return &ffcli.Command{
		ShortUsage: "willowctl COMMAND [flags] [arguments]",
		LongHelp: "Exit codes: 0 done, 1 failed, 2 invalid input, 3 rejected by the fold,\n" +
			"4 accepted but not yet in force everywhere, 5 an expected outcome was missed.\n" +
			"Every flag can be set as an environment variable: -platform is WILLOWWICK_PLATFORM.",
		FlagSet: flag.NewFlagSet("willowctl", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			t.checkCommand(), t.diffCommand(), t.applyCommand(), t.statusCommand(), t.auditCommand(),
			t.rolloutCommand(), t.withdrawCommand(), t.traceCommand(), t.usageCommand(), t.keyCommand(),
			t.explainCommand(), t.lossesCommand(), t.labCommand(), t.demoCommand(), t.replayCommand(),
		},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}

// command returns a command with the flags that all commands share.
func (t *tool) command(name, arguments, help string, flags func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	set := flag.NewFlagSet("willowctl "+name, flag.ContinueOnError)
	set.BoolVar(&t.json, "json", false, "print JSON")
	if flags != nil {
		flags(set)
	}
	return &ffcli.Command{
		Name: name, ShortUsage: "willowctl " + name + " [flags] " + arguments, ShortHelp: help, FlagSet: set,
		Options: []ff.Option{ff.WithEnvVarPrefix("WILLOWWICK")},
		Exec: func(ctx context.Context, args []string) error {
			return exec(ctx, args)
		},
	}
}

// print writes value as JSON if -json is set, and calls text otherwise.
func (t *tool) print(value any, text func(io.Writer)) error {
	if !t.json {
		text(t.out)
		return nil
	}
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
}

func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", exitErrorf(exitInvalid, "expected one argument (%s), got %d", what, len(args))
	}
	return args[0], nil
}
