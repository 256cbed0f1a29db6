package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/remote"
)

const (
	changeIDBytes      = 8
	accountKeyBytes    = 24
	appendAttempts     = 5
	appendRetryDelay   = time.Second
	defaultInForceWait = 16 * time.Second
	defaultPlatformURL = "http://127.0.0.1:9000"
)

type (
	// publishOptions holds the flags of the commands that append to the log.
	publishOptions struct {
		platform string
		author   string
		reason   string
		wait     time.Duration
	}

	// publishResult says whether the fold accepted a record, and which boxes do not have it in force yet.
	publishResult struct {
		ID         willowwick.ChangeID `json:"id,omitempty"`
		Offset     willowwick.Offset   `json:"offset"`
		Accepted   bool                `json:"accepted"`
		Why        string              `json:"why,omitempty"`
		Changed    []string            `json:"changed,omitempty"`
		NotInForce []string            `json:"notInForce,omitempty"`
	}
)

func (p *publishOptions) registerFlags(set *flag.FlagSet) {
	registerPlatformFlag(set, &p.platform)
	name := ""
	if current, err := user.Current(); err == nil {
		name = current.Username
	}
	set.StringVar(&p.author, "author", name, "author of the change")
	set.StringVar(&p.reason, "reason", "", "reason for the change, for the audit trail")
	set.DurationVar(&p.wait, "wait", defaultInForceWait, "how long to wait until the change is in force on every box")
}

func registerPlatformFlag(set *flag.FlagSet, value *string) {
	set.StringVar(value, "platform", defaultPlatformURL, "base URL of the platform's services")
}

func (t *tool) checkCommand() *ffcli.Command {
	return t.command("check", "FOLDER", "check the declarations in a folder", nil, func(_ context.Context, args []string) error {
		folder, err := t.readFolder(args)
		if err != nil {
			return err
		}
		return t.print(map[string]int{"objects": len(folder.Objects)}, func(w io.Writer) {
			fmt.Fprintf(w, "%d objects, no problems\n", len(folder.Objects))
		})
	})
}

// readFolder reads the declarations in a folder; it prints their problems and returns an error if there are any.
func (t *tool) readFolder(args []string) (*config.Folder, error) {
	name, err := oneArgument(args, "folder of declarations")
	if err != nil {
		return nil, err
	}
	folder, err := config.ReadFolder(os.DirFS(name))
	if err != nil {
		return nil, err
	}
	if len(folder.Problems) == 0 {
		return folder, nil
	}
	err = t.print(folder.Problems, func(w io.Writer) {
		for _, problem := range folder.Problems {
			fmt.Fprintln(w, problem)
		}
	})
	if err != nil {
		return nil, err
	}
	return nil, exitErrorf(exitInvalid, "%d problems in %s", len(folder.Problems), name)
}

func (t *tool) diffCommand() *ffcli.Command {
	var platformURL string
	var prune bool
	flags := func(set *flag.FlagSet) {
		registerPlatformFlag(set, &platformURL)
		set.BoolVar(&prune, "prune", false, "also show objects to delete because the folder no longer has them")
	}
	return t.command("diff", "FOLDER", "show what apply would change", flags, func(ctx context.Context, args []string) error {
		folder, err := t.readFolder(args)
		if err != nil {
			return err
		}
		_, state, closeClient, err := openState(ctx, platformURL)
		if err != nil {
			return err
		}
		defer closeClient()
		lines := changeLines(difference(folder, state, prune), state)
		return t.print(lines, func(w io.Writer) {
			for _, line := range lines {
				fmt.Fprintln(w, line)
			}
		})
	})
}

func difference(folder *config.Folder, state *config.State, prune bool) config.Change {
	change := folder.Difference(state)
	if !prune {
		change.Deleted = nil
	}
	return change
}

// changeLines returns one line for each object of a change, prefixed with + if new, ~ if changed, - if deleted.
func changeLines(change config.Change, state *config.State) []string {
	var lines []string
	for _, object := range change.Objects {
		sign := "+"
		if _, known := state.Objects[object.Key]; known {
			sign = "~"
		}
		lines = append(lines, fmt.Sprintf("%s %s %s", sign, object.Key, object.Spec))
	}
	for _, key := range change.Deleted {
		lines = append(lines, "- "+key.String())
	}
	return lines
}

func (t *tool) applyCommand() *ffcli.Command {
	p := &publishOptions{}
	var prune bool
	flags := func(set *flag.FlagSet) {
		p.registerFlags(set)
		set.BoolVar(&prune, "prune", false, "delete objects that the folder no longer has")
	}
	return t.command("apply", "FOLDER", "publish the declarations in a folder", flags, func(ctx context.Context, args []string) error {
		folder, err := t.readFolder(args)
		if err != nil {
			return err
		}
		client, state, closeClient, err := openState(ctx, p.platform)
		if err != nil {
			return err
		}
		defer closeClient()
		change := difference(folder, state, prune)
		return t.publishChange(ctx, p, client, change, state)
	})
}

// publishChange publishes a change unless it is empty.
func (t *tool) publishChange(ctx context.Context, p *publishOptions, client *remote.Client, change config.Change, state *config.State) error {
	lines := changeLines(change, state)
	if len(lines) == 0 {
		return t.print(publishResult{Offset: state.Offset, Accepted: true}, func(w io.Writer) {
			fmt.Fprintln(w, "nothing to change")
		})
	}
	change.ID, change.Author, change.Reason = newChangeID(), p.author, p.reason
	return t.publish(ctx, p, client, change.ID, config.Record{Kind: config.RecordChange, Change: &change}, lines)
}

// publish appends a record, prints whether the fold accepted it, and waits until it is in force on every box.
func (t *tool) publish(ctx context.Context, p *publishOptions, client *remote.Client, id willowwick.ChangeID, record config.Record, lines []string) error {
	if p.reason == "" {
		return exitErrorf(exitInvalid, "-reason must be set; it goes into the audit trail")
	}
	entry, err := appendAndFind(ctx, client, id, record)
	if err != nil {
		return err
	}
	result := publishResult{ID: id, Offset: entry.Offset, Accepted: entry.Accepted, Why: entry.Why, Changed: lines}
	if entry.Accepted {
		result.NotInForce = waitInForce(ctx, client, entry.Offset, p.wait)
	}
	err = t.print(result, func(w io.Writer) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
		if entry.Accepted {
			fmt.Fprintf(w, "accepted at offset %d\n", entry.Offset)
		}
	})
	switch {
	case err != nil:
		return err
	case !entry.Accepted:
		return exitErrorf(exitRejected, "rejected: %s", entry.Why)
	case len(result.NotInForce) > 0:
		return exitErrorf(exitNotInForce, "not yet in force on %s", strings.Join(result.NotInForce, ", "))
	}
	return nil
}

// appendAndFind appends a record and returns its audit entry from the log.
//
// If the reply to an append is lost, the record is found by its id. A retried append has the same id, and the fold
// counts it once.
func appendAndFind(ctx context.Context, client *remote.Client, id willowwick.ChangeID, record config.Record) (config.AuditEntry, error) {
	data, err := record.Encode()
	if err != nil {
		return config.AuditEntry{}, err
	}
	var appendErr error
	for range appendAttempts {
		_, appendErr = client.Append(ctx, willowwick.StreamConfig, data)
		state, err := readState(ctx, client)
		if err == nil {
			if entry, found := state.FindAuditEntry(id); found {
				return entry, nil
			}
		}
		select {
		case <-ctx.Done():
			return config.AuditEntry{}, ctx.Err()
		case <-time.After(appendRetryDelay):
		}
	}
	return config.AuditEntry{}, errors.Wrapf(appendErr, "change %s was not found in the log", id)
}

func newPlatformClient(platformURL string) (*remote.Client, func()) {
	return remote.NewClient(platformURL, nil)
}

// openState returns a client of the platform, the state at the log's end, and a function that closes the client.
func openState(ctx context.Context, platformURL string) (*remote.Client, *config.State, func(), error) {
	client, closeClient := newPlatformClient(platformURL)
	state, err := readState(ctx, client)
	if err != nil {
		closeClient()
		return nil, nil, nil, err
	}
	return client, state, closeClient, nil
}

// readState returns the fold of the whole log.
func readState(ctx context.Context, log willowwick.Log) (*config.State, error) {
	follower := fleet.NewFollower(log, func(*config.Revision) {})
	if err := follower.ReadLog(ctx); err != nil {
		return nil, err
	}
	return follower.Revision().State, nil
}

func newChangeID() willowwick.ChangeID {
	return willowwick.ChangeID(randomHex(changeIDBytes))
}

func randomHex(size int) string {
	raw := make([]byte, size)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func (t *tool) withdrawCommand() *ffcli.Command {
	p := &publishOptions{}
	return t.command("withdraw", "VERSION", "withdraw a version permanently", p.registerFlags, func(ctx context.Context, args []string) error {
		version, err := oneArgument(args, "version")
		if err != nil {
			return err
		}
		client, state, closeClient, err := openState(ctx, p.platform)
		if err != nil {
			return err
		}
		defer closeClient()
		if _, known := state.Objects[config.Key{Kind: config.KindVersion, Name: version}]; !known {
			return exitErrorf(exitInvalid, "unknown Version %q", version)
		}
		id := newChangeID()
		record := config.Record{Kind: config.RecordWithdraw, Withdraw: &config.Withdraw{
			ID: id, Author: p.author, Reason: p.reason, Version: willowwick.VersionID(version),
		}}
		return t.publish(ctx, p, client, id, record, []string{"withdrawn Version/" + version})
	})
}

func (t *tool) rolloutCommand() *ffcli.Command {
	p := &publishOptions{}
	var model, from, to, steps string
	var minRequests, maxExposure int
	flags := func(set *flag.FlagSet) {
		p.registerFlags(set)
		set.StringVar(&model, "model", "", "model to roll out a version of")
		set.StringVar(&from, "from", "", "current version")
		set.StringVar(&to, "to", "", "version to roll out")
		set.StringVar(&steps, "steps", "5,25,100", "shares of sessions at each step, in percent")
		set.IntVar(&minRequests, "min-requests", 100, "least number of requests at a step before the next step")
		set.IntVar(&maxExposure, "max-exposure", 0, "number of requests at a step without a verdict before the roll-out pauses; 0 for 20 times -min-requests")
	}
	return t.command("rollout", "NAME", "start a roll-out", flags, func(ctx context.Context, args []string) error {
		name, err := oneArgument(args, "name of the roll-out")
		if err != nil {
			return err
		}
		shares, err := parseShares(steps)
		if err != nil {
			return err
		}
		object, err := config.NewObject(config.KindRollout, name, &config.Rollout{
			Model: willowwick.ModelID(model), From: willowwick.VersionID(from), To: willowwick.VersionID(to),
			Steps: shares, MinRequests: minRequests, MaxExposure: maxExposure,
		})
		if err != nil {
			return err
		}
		client, state, closeClient, err := openState(ctx, p.platform)
		if err != nil {
			return err
		}
		defer closeClient()
		change := config.Change{Basis: state.Offset, Objects: []config.Object{object}}
		return t.publishChange(ctx, p, client, change, state)
	})
}

func parseShares(text string) ([]float64, error) {
	var shares []float64
	for _, part := range strings.Split(text, ",") {
		share, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil {
			return nil, exitErrorf(exitInvalid, "-steps must be numbers separated by commas, such as 5,25,100, is %q", text)
		}
		shares = append(shares, share)
	}
	return shares, nil
}

func (t *tool) keyCommand() *ffcli.Command {
	return t.command("key", "", "make a key for a client account", nil, func(context.Context, []string) error {
		key := randomHex(accountKeyBytes)
		made := map[string]string{"key": key, "hash": config.HashKey(key)}
		return t.print(made, func(w io.Writer) {
			fmt.Fprintf(w, "key  (for the caller):          %s\nhash (for the ClientAccount):   %s\n", made["key"], made["hash"])
		})
	})
}
