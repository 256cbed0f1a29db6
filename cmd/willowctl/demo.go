package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sort"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/examples"
	"github.com/willowwick/willowwick/fleet"
	"github.com/willowwick/willowwick/lab"
	"github.com/willowwick/willowwick/remote"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/standin"
)

// Schedule of the demo, from the start of the traffic, and the sizes of its fleet.
const (
	demoRolloutStart      = 1 * time.Second
	demoFailureStart      = 8 * time.Second
	demoBoxStop           = 13 * time.Second
	demoDuration          = 20 * time.Second
	demoReadyTimeout      = 15 * time.Second
	demoLedgerTimeout     = 6 * time.Second
	demoBoxes             = 3
	demoRunners           = 6
	demoSlots             = 24
	demoRequestsPerSecond = 120
	demoBadVersion        = willowwick.VersionID("scan-small-2")
	demoGoodVersion       = willowwick.VersionID("run-small-2")
)

// demoResult holds the counts that the demo prints at its end.
type demoResult struct {
	Requests       int                            `json:"requests"`
	Answered       int                            `json:"answered"`
	Refused        int                            `json:"refused"`
	RefusedByKind  map[willowwick.RefusalKind]int `json:"refused_by_kind"`
	Lost           int                            `json:"lost"`    // got neither an answer nor a refusal
	Crossed        int                            `json:"crossed"` // got an answer that is not the complete answer to their prompt
	Doubled        int                            `json:"doubled"` // entries that took effect on plain services more than once
	Billed         int                            `json:"billed"`
	BilledTwice    int                            `json:"billed_twice"`
	Cost           willowwick.MicroUnits          `json:"cost"`
	P50            int64                          `json:"first_token_p50_ms"`
	P95            int64                          `json:"first_token_p95_ms"`
	P99            int64                          `json:"first_token_p99_ms"`
	Exposure       int                            `json:"exposure"` // calls of the bad version after it began to fail
	Withdrawn      []willowwick.VersionID         `json:"withdrawn"`
	RolledOut      []willowwick.RolloutID         `json:"rolled_out"`
	Answers        map[willowwick.VersionID]int   `json:"answers_by_version"`
	refusalDetails map[string]int
}

func (t *tool) demoCommand() *ffcli.Command {
	var serveOnly, verbose bool
	var seed uint64
	flags := func(set *flag.FlagSet) {
		set.BoolVar(&serveOnly, "serve", false, "start the fleet without traffic and keep it running for a client of your own")
		set.BoolVar(&verbose, "verbose", false, "show the daemons' log lines")
		set.Uint64Var(&seed, "seed", 1, "seed of the traffic")
	}
	return t.command("demo", "", "run a fleet with traffic, a roll-out, a bad version and a planned stop", flags, func(ctx context.Context, _ []string) error {
		if !verbose {
			slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
		}
		demoFleet, closeFleet, err := startDemo()
		if err != nil {
			return err
		}
		defer closeFleet()
		if serveOnly {
			return t.keepServing(ctx, demoFleet)
		}
		result, err := runDemo(ctx, demoFleet, seed)
		if err != nil {
			return err
		}
		if err := t.print(result, result.write); err != nil {
			return err
		}
		return result.checkGuarantees()
	})
}

func startDemo() (*lab.Fleet, func(), error) {
	versions := map[willowwick.VersionID]standin.VersionBehaviour{
		"run-small-1": {Quality: 0.75}, demoGoodVersion: {Quality: 0.8}, "run-large-1": {Quality: 0.98},
		"scan-small-1": {Quality: 0.7}, demoBadVersion: {Quality: 0.75}, "scan-large-1": {Quality: 0.97},
	}
	f, closeFleet, err := lab.NewFleet(lab.Options{
		Network: lab.Loopback{}, Boxes: demoBoxes, Halls: demoBoxes, Runners: demoRunners, Slots: demoSlots,
		Versions: versions, Services: map[willowwick.ServiceID]int{"registry": 3, "bookkeeping": 3},
		Settings: serve.Settings{DrainDelay: time.Second},
	})
	if err != nil {
		return nil, nil, err
	}
	if err := f.Apply(examples.Declarations); err != nil {
		closeFleet()
		return nil, nil, err
	}
	if err := f.WaitReady(demoReadyTimeout); err != nil {
		closeFleet()
		return nil, nil, err
	}
	return f, closeFleet, nil
}

// runDemo runs the traffic and the events, and counts their outcomes.
func runDemo(ctx context.Context, f *lab.Fleet, seed uint64) (*demoResult, error) {
	trafficCtx, stopTraffic := context.WithTimeout(ctx, demoDuration)
	defer stopTraffic()
	balancerCtx, stopBalancer := context.WithCancel(ctx)
	defer stopBalancer()
	tally := lab.NewTally()
	traffic := &lab.Traffic{
		Fleet: f, Balancer: lab.NewBalancer(balancerCtx, f), Client: f.Client("callers"), Tally: tally, Rate: demoRequestsPerSecond, Seed: seed,
	}
	start := time.Now()
	failures := make(chan error, 1)
	go func() { failures <- runDemoEvents(trafficCtx, f, start) }()
	traffic.Run(trafficCtx)
	if err := <-failures; err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, errors.New("interrupted")
	}
	ledger, err := waitForLedger(ctx, f, tally.Answered)
	if err != nil {
		return nil, err
	}
	return newDemoResult(f, tally, ledger, start.Add(demoFailureStart))
}

// runDemoEvents starts the roll-outs, makes a version bad and stops a box, each at its time after start.
func runDemoEvents(ctx context.Context, f *lab.Fleet, start time.Time) error {
	waitUntil := func(moment time.Duration) {
		select {
		case <-time.After(time.Until(start.Add(moment))):
		case <-ctx.Done():
		}
	}
	waitUntil(demoRolloutStart)
	if err := publishRollouts(f); err != nil {
		return err
	}
	waitUntil(demoFailureStart)
	for _, runner := range f.Runners {
		runner.SetBehaviour(demoBadVersion, standin.VersionBehaviour{Quality: 0.2, Errors: 0.1})
	}
	waitUntil(demoBoxStop)
	stopping := f.Boxes[len(f.Boxes)-1]
	return stopping.Stop(context.Background())
}

func publishRollouts(f *lab.Fleet) error {
	state, err := f.State()
	if err != nil {
		return err
	}
	change := &config.Change{ID: "roll-outs", Author: "demo", Reason: "new small models", Basis: state.Offset}
	for name, rollout := range map[string]*config.Rollout{
		"scan": {Model: "scan-small", From: "scan-small-1", To: demoBadVersion, Steps: []float64{10, 30, 100}, MinRequests: 40},
		"run":  {Model: "run-small", From: "run-small-1", To: demoGoodVersion, Steps: []float64{20, 50, 100}, MinRequests: 30},
	} {
		object, err := config.NewObject(config.KindRollout, name, rollout)
		if err != nil {
			return err
		}
		change.Objects = append(change.Objects, object)
	}
	_, err = f.Publish(config.Record{Kind: config.RecordChange, Change: change})
	return err
}

// waitForLedger reads the ledger until every answer is on it, or until demoLedgerTimeout has passed.
func waitForLedger(ctx context.Context, f *lab.Fleet, answered int) (*fleet.Ledger, error) {
	client, closeClient := remote.NewClient(f.PlatformURL(), nil)
	defer closeClient()
	deadline := time.Now().Add(demoLedgerTimeout)
	for {
		ledger, err := fleet.ReadLedger(ctx, client)
		if err != nil {
			return nil, err
		}
		if ledger.TotalCount >= answered || time.Now().After(deadline) {
			return ledger, nil
		}
		time.Sleep(pollInterval)
	}
}

func newDemoResult(f *lab.Fleet, tally *lab.Tally, ledger *fleet.Ledger, failureStart time.Time) (*demoResult, error) {
	state, err := f.State()
	if err != nil {
		return nil, err
	}
	result := &demoResult{
		Requests: tally.Requests, Answered: tally.Answered, RefusedByKind: tally.Refused,
		Lost: tally.Lost, Crossed: tally.Mismatched, Doubled: f.DuplicateEffects(),
		Billed: ledger.TotalCount, BilledTwice: ledger.BilledTwice(), Cost: ledger.TotalCost,
		P50: tally.FirstToken(50), P95: tally.FirstToken(95), P99: tally.FirstToken(99),
		Exposure: f.ServedSince(demoBadVersion, failureStart), Answers: tally.Versions, refusalDetails: tally.Details,
	}
	for _, count := range tally.Refused {
		result.Refused += count
	}
	for version := range state.Withdrawn {
		result.Withdrawn = append(result.Withdrawn, version)
	}
	for id, progress := range state.Progress {
		if progress.Done {
			result.RolledOut = append(result.RolledOut, id)
		}
	}
	return result, nil
}

// checkGuarantees returns an error if requests were lost, crossed, run twice or billed wrongly.
func (r *demoResult) checkGuarantees() error {
	if r.Lost+r.Crossed+r.Doubled+r.BilledTwice > 0 || r.Billed != r.Answered {
		return exitErrorf(exitOutcomeMissed, "a guarantee was broken: lost %d, crossed %d, doubled %d, billed twice %d, answered %d and billed %d",
			r.Lost, r.Crossed, r.Doubled, r.BilledTwice, r.Answered, r.Billed)
	}
	return nil
}

func (r *demoResult) write(w io.Writer) {
	row := func(name string, value any) {
		fmt.Fprintf(w, "%-34s %v\n", name, value)
	}
	row("requests", r.Requests)
	row("answered", r.Answered)
	row("refused", r.Refused)
	for kind, count := range r.RefusedByKind {
		row("  "+string(kind), count)
	}
	row("lost", r.Lost)
	row("crossed", r.Crossed)
	row("doubled", r.Doubled)
	row("billed", r.Billed)
	row("billed twice", r.BilledTwice)
	row("cost in micro-units", r.Cost)
	row("first token p50/p95/p99 in ms", fmt.Sprintf("%d / %d / %d", r.P50, r.P95, r.P99))
	row("requests on the bad version", r.Exposure)
	row("withdrawn by the fleet", r.Withdrawn)
	row("rolled out to the end", r.RolledOut)
	versions := make([]string, 0, len(r.Answers))
	for version := range r.Answers {
		versions = append(versions, string(version))
	}
	sort.Strings(versions)
	for _, version := range versions {
		row("  answers of "+version, r.Answers[willowwick.VersionID(version)])
	}
	for detail, count := range r.refusalDetails {
		row("  refusal: "+detail, count)
	}
}

// keepServing prints how to use the fleet and waits until ctx ends.
func (t *tool) keepServing(ctx context.Context, f *lab.Fleet) error {
	fmt.Fprintf(t.out, "platform: %s\n", f.PlatformURL())
	for _, box := range f.Boxes {
		fmt.Fprintf(t.out, "%s: callers http://%s, operators http://%s\n", box.ID, box.CallerAddress, box.AdminAddress)
	}
	fmt.Fprintf(t.out, `try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer demo-lab-coimbra' -H 'Content-Type: application/json' -d '{"model":"auto","stream":true,"messages":[{"role":"user","content":"summarise run 7"}]}'
`, f.Boxes[0].CallerAddress)
	fmt.Fprintf(t.out, "and: willowctl status -platform %s\nPress Ctrl-C to stop.\n", f.PlatformURL())
	<-ctx.Done()
	return nil
}
