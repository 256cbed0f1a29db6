package usage

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// restartLoss is for how long at least a start of a box that is gone may have counted what it has not told: two gossip
	// rounds.
	restartLoss = time.Second
	// silentTime is how long a silent box may be cut off before NoteSilence takes it for gone.
	silentTime = 30 * time.Second
	// hearTime is how long after a box has become the hub of its hall a box that serves may take to tell it: it notices
	// that the former hub is silent, and gossips.
	hearTime = 2 * time.Second
)

// Fleet is what is known of the boxes of a fleet apart from what they have told.
type Fleet struct {
	Size   int                // boxes that gossip knows, this one included
	Former []willowwick.BoxID // boxes that counted shortly before, according to the stored reports
}

// Coverage is how much of a window is known.
type Coverage struct {
	Boxes   int                // that have told of the window
	Serving []willowwick.BoxID // of those, the ones that have not stopped as planned since
	Missing []willowwick.BoxID // may still tell of the window
	Unknown int                // boxes of the fleet that have told nothing of the window, but may have counted
	Lost    float64            // share of the boxes' time in the window whose counts are not known
	IsWhole bool               // this hub, or one that told it everything, has collected since the window's beginning
	IsNew   bool               // this box became a hub a moment ago: boxes that serve may have told only the hub before it
}

// IsComplete reports whether nothing more will be told.
func (c Coverage) IsComplete() bool {
	return c.Boxes > 0 && len(c.Missing) == 0 && c.Unknown == 0 && !c.IsNew
}

// Coverage returns how much of a window is known, nothing on a box that is no hub.
func (l *Ledger) Coverage(window willowwick.UsageWindow, fleet Fleet, now time.Time) Coverage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(l.own, now.Add(-settleTime))
	begin, end := l.settings.Begin(window), l.settings.End(window)
	byBox := l.startsByBox()
	isHub := !l.collectingSince.IsZero()
	coverage := Coverage{IsNew: l.isNewHub(now), IsWhole: isHub && !l.collectingSince.After(begin), Lost: 1}
	var lost time.Duration
	for box, starts := range byBox {
		known := l.coverageOf(starts, begin, end)
		coverage.add(box, known)
		lost += known.lost
	}
	slices.Sort(coverage.Missing)
	slices.Sort(coverage.Serving)
	untold := l.countUntold(byBox, fleet, now)
	coverage.Unknown += untold
	lost += time.Duration(untold) * l.settings.Window
	if all := coverage.Boxes + coverage.Unknown; coverage.Boxes > 0 && isHub {
		coverage.Lost = lost.Seconds() / (float64(all) * l.settings.Window.Seconds())
	}
	return coverage
}

// add adds what is known of a box.
func (c *Coverage) add(box willowwick.BoxID, known boxCoverage) {
	switch {
	case known.hasTold:
		c.Boxes++
		if !known.hasEnded {
			c.Serving = append(c.Serving, box)
		}
	case known.lost > 0:
		c.Unknown++
	}
	if known.isMissing {
		c.Missing = append(c.Missing, box)
	}
}

// countUntold returns the number of boxes of the fleet that have told nothing at all; the caller holds the lock.
func (l *Ledger) countUntold(byBox map[willowwick.BoxID][]*origin, fleet Fleet, now time.Time) int {
	known := 0 // to gossip, of those that have told
	for _, starts := range byBox {
		if l.settings.WindowAt(starts[len(starts)-1].until) >= l.settings.oldest(now) {
			known++
		}
	}
	formerUntold := 0
	for _, box := range fleet.Former {
		if byBox[box] == nil {
			formerUntold++
		}
	}
	return max(fleet.Size-known, formerUntold)
}

// boxCoverage is how much of a window is known of one box.
type boxCoverage struct {
	hasTold   bool
	hasEnded  bool          // its last start stopped as planned
	isMissing bool          // may still tell
	lost      time.Duration // time in the window whose counts are not known
}

// coverageOf returns how much of a window is known of a box with these starts, the earliest first; the caller holds the
// lock.
func (l *Ledger) coverageOf(starts []*origin, begin, end time.Time) boxCoverage {
	known := boxCoverage{hasEnded: starts[len(starts)-1].ended}
	// A hub that began to collect after the window's beginning can't know of starts before the first one known to it.
	if l.collectingSince.After(begin) {
		known.lost = overlap(begin, starts[0].since, begin, end)
	}
	for i, o := range starts {
		if !o.since.Before(end) {
			break
		}
		known.hasTold = known.hasTold || o.until.After(begin)
		isLast := i == len(starts)-1
		switch {
		case !o.until.Before(end), o.ended && !(isLast && l.hasUntoldStart(o.address)): // all its counts are known
		case !isLast:
			known.lost += overlap(o.until, earlier(o.mayCountUntil(), starts[i+1].since), begin, end)
		case o.isGone() && begin.Sub(o.until) >= silentTime:
			known.lost += overlap(o.until, o.mayCountUntil(), begin, end)
		default:
			known.isMissing = true
			known.lost += overlap(o.until, end, begin, end)
		}
	}
	return known
}

// hasUntoldStart reports whether the box at an address has started again and told only that so far; the caller holds the lock.
func (l *Ledger) hasUntoldStart(address string) bool {
	peer := l.peers[address]
	return peer != nil && l.origins[peer.key] == nil
}

// overlap returns how long the time from one point to another lies within a window.
func overlap(from, until, begin, end time.Time) time.Duration {
	if from.Before(begin) {
		from = begin
	}
	return max(earlier(until, end).Sub(from), 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
