package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/willowwick/willowwick/lab"
)

const defaultMeasureDuration = 15 * time.Second

func (t *tool) labSlopesCommand() *ffcli.Command {
	var sizes string
	var duration time.Duration
	flags := func(set *flag.FlagSet) {
		set.StringVar(&sizes, "sizes", "7x3,48x6,96x6,192x6,390x6", "fleet sizes to measure, as BOXESxHALLS,...")
		set.DurationVar(&duration, "length", defaultMeasureDuration, "how long to measure each size")
	}
	return t.command("slopes", "", "measure how the load on each daemon grows with the size of the fleet", flags, func(context.Context, []string) error {
		slog.SetDefault(slog.New(slog.DiscardHandler))
		var costs []lab.FleetCost
		for _, text := range strings.Split(sizes, ",") {
			size, err := parseSize(text)
			if err != nil {
				return err
			}
			cost, err := lab.MeasureFleet(size, duration)
			if err != nil {
				return err
			}
			costs = append(costs, cost)
		}
		return t.print(costs, func(w io.Writer) { writeCosts(w, costs) })
	})
}

func parseSize(text string) (lab.FleetSize, error) {
	boxes, halls, found := strings.Cut(text, "x")
	parsedBoxes, errBoxes := strconv.Atoi(boxes)
	parsedHalls, errHalls := strconv.Atoi(halls)
	if !found || errBoxes != nil || errHalls != nil || parsedBoxes < 1 || parsedHalls < 1 {
		return lab.FleetSize{}, exitErrorf(exitInvalid, "-sizes: %q is not of the form BOXESxHALLS", text)
	}
	return lab.FleetSize{Boxes: parsedBoxes, Halls: parsedHalls}, nil
}

func writeCosts(w io.Writer, costs []lab.FleetCost) {
	fmt.Fprintf(w, "%6s %6s %9s %9s %9s %9s %9s %9s %9s %9s\n",
		"boxes", "halls", "KB/s", "worst", "% core", "MB", "reads/s", "appends/s", "in force", "roster")
	for _, c := range costs {
		fmt.Fprintf(w, "%6d %6d %9.1f %9.1f %9.2f %9.2f %9.1f %9.2f %8.1fs %8.1fs\n",
			c.Boxes, c.Halls, c.KBPerSecond, c.MaxKBPerSecond, c.CorePercent, c.HeapMB, c.ReadsPerSecond, c.AppendsPerSecond, c.InForceSeconds, c.RosterSeconds)
	}
}
