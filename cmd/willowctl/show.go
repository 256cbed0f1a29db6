package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/wire"
)

const (
	statusTimeout = 2 * time.Second
	pollInterval  = 200 * time.Millisecond
	timeLayout    = time.RFC3339
	unreachable   = "unreachable"
)

// httpClient makes the calls of this command.
var httpClient = &http.Client{Transport: wire.CheckHeads(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// boxStatus is the status that a box reported, or the error of a box that did not report it.
type boxStatus struct {
	serve.Status
	Error string `json:"error,omitempty"`
}

// boxStatuses requests the status of every listed box, all at the same time; the result is sorted by box.
func boxStatuses(ctx context.Context, client *remote.Client) ([]boxStatus, error) {
	listing, _, err := client.List(ctx, "")
	if err != nil {
		return nil, err
	}
	sort.Slice(listing.Boxes, func(i, j int) bool { return listing.Boxes[i].ID < listing.Boxes[j].ID })
	statuses := make([]boxStatus, len(listing.Boxes))
	done := make(chan struct{})
	for i, box := range listing.Boxes {
		go func() {
			defer func() { done <- struct{}{} }()
			statuses[i].Box, statuses[i].Hall = box.ID, box.Hall
			if err := getJSON(ctx, "http://"+box.Admin+serve.PathStatus, &statuses[i].Status); err != nil {
				statuses[i].Error = unreachable + ": " + err.Error()
			}
		}()
	}
	for range listing.Boxes {
		<-done
	}
	return statuses, nil
}

func getJSON(ctx context.Context, url string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return errors.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(value), "answer")
}

// waitInForce waits until every listed box reports the offset or wait has passed, and returns the boxes that do not.
func waitInForce(ctx context.Context, client *remote.Client, offset willowwick.Offset, wait time.Duration) []string {
	deadline := time.Now().Add(wait)
	for {
		var missing []string
		statuses, err := boxStatuses(ctx, client)
		if err != nil {
			missing = []string{"every box (the list cannot be read)"}
		}
		for _, status := range statuses {
			if status.Error != "" || status.Offset < offset {
				missing = append(missing, string(status.Box))
			}
		}
		if len(missing) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return missing
		}
		time.Sleep(pollInterval)
	}
}

func (t *tool) statusCommand() *ffcli.Command {
	var platformURL string
	flags := func(set *flag.FlagSet) { registerPlatformFlag(set, &platformURL) }
	return t.command("status", "", "show the boxes, roll-outs and withdrawals", flags, func(ctx context.Context, _ []string) error {
		client, closeClient := newPlatformClient(platformURL)
		defer closeClient()
		statuses, err := boxStatuses(ctx, client)
		if err != nil {
			return err
		}
		return t.print(statuses, func(w io.Writer) { writeStatuses(w, statuses) })
	})
}

func writeStatuses(w io.Writer, statuses []boxStatus) {
	fmt.Fprintf(w, "%-12s %-10s %-7s %8s %8s %9s %6s  %s\n", "BOX", "HALL", "READY", "OFFSET", "EPOCH", "IN FLIGHT", "LEASE", "NOTE")
	for _, s := range statuses {
		note := s.Readiness
		if s.Error != "" {
			note = s.Error
		}
		fmt.Fprintf(w, "%-12s %-10s %-7t %8d %8d %9d %6t  %s\n", s.Box, s.Hall, s.Ready, s.Offset, s.Epoch, s.InFlight, s.HoldsLease, note)
	}
	for _, s := range statuses {
		if s.Error != "" {
			continue
		}
		for _, r := range s.Rollouts {
			fmt.Fprintf(w, "roll-out %s: %s from %s to %s, step %d of %d, %g%% of sessions\n", r.ID, r.Model, r.From, r.To, r.Step+1, r.Steps, r.Share)
		}
		for _, v := range s.Withdrawn {
			fmt.Fprintf(w, "withdrawn %s at offset %d by %s: %s\n", v.Version, v.At, v.Author, v.Reason)
		}
		return
	}
}

func (t *tool) auditCommand() *ffcli.Command {
	var platformURL string
	flags := func(set *flag.FlagSet) { registerPlatformFlag(set, &platformURL) }
	return t.command("audit", "", "show the author, the reason and the verdict of every change", flags, func(ctx context.Context, _ []string) error {
		client, closeClient := newPlatformClient(platformURL)
		defer closeClient()
		state, err := readState(ctx, client)
		if err != nil {
			return err
		}
		return t.print(state.Audit, func(w io.Writer) {
			for _, entry := range state.Audit {
				writeAuditEntry(w, entry)
			}
		})
	})
}

func writeAuditEntry(w io.Writer, entry config.AuditEntry) {
	verdict := "accepted"
	if !entry.Accepted {
		verdict = "REJECTED: " + entry.Why
	}
	fmt.Fprintf(w, "%6d %-8s %-16s %s %q %s\n", entry.Offset, entry.Kind, entry.Author, strings.Join(entry.Objects, " "), entry.Reason, verdict)
}

func (t *tool) traceCommand() *ffcli.Command {
	var platformURL string
	flags := func(set *flag.FlagSet) { registerPlatformFlag(set, &platformURL) }
	return t.command("trace", "REQUEST-ID", "show how a request was routed, and why", flags, func(ctx context.Context, args []string) error {
		id, err := oneArgument(args, "request id")
		if err != nil {
			return err
		}
		client, closeClient := newPlatformClient(platformURL)
		defer closeClient()
		listing, _, err := client.List(ctx, "")
		if err != nil {
			return err
		}
		for _, box := range listing.Boxes {
			// A request id starts with the name of the box that made it.
			if !strings.HasPrefix(id, string(box.ID)+"-") {
				continue
			}
			var trace serve.Trace
			if err := getJSON(ctx, "http://"+box.Admin+serve.PathTrace+id, &trace); err != nil {
				return errors.Wrapf(err, "box %s", box.ID)
			}
			return t.print(&trace, func(w io.Writer) { writeTrace(w, &trace) })
		}
		return exitErrorf(exitInvalid, "request id %q belongs to no listed box", id)
	})
}

func writeTrace(w io.Writer, trace *serve.Trace) {
	fmt.Fprintf(w, "request %s of client account %s for %s on box %s\n", trace.Request, trace.Account, trace.Target, trace.Box)
	for _, step := range trace.Steps {
		fmt.Fprintf(w, "  %s %-9s %s\n", step.At.Format(timeLayout), step.Event, step.Detail)
	}
}

func (t *tool) usageCommand() *ffcli.Command {
	var platformURL string
	flags := func(set *flag.FlagSet) { registerPlatformFlag(set, &platformURL) }
	return t.command("usage", "", "show the total cost of each client account", flags, func(ctx context.Context, _ []string) error {
		client, closeClient := newPlatformClient(platformURL)
		defer closeClient()
		ledger, err := fleet.ReadLedger(ctx, client)
		if err != nil {
			return err
		}
		return t.print(ledger.ByAccount, func(w io.Writer) {
			accounts := make([]string, 0, len(ledger.ByAccount))
			for account := range ledger.ByAccount {
				accounts = append(accounts, string(account))
			}
			sort.Strings(accounts)
			for _, account := range accounts {
				fmt.Fprintf(w, "%-20s %12d micro-units\n", account, ledger.ByAccount[willowwick.AccountID(account)])
			}
			fmt.Fprintf(w, "%d requests; %d records were appended more than once and counted once\n", ledger.TotalCount, ledger.Duplicates)
		})
	})
}
