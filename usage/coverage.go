package usage

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// restartLoss is the most that a box which was started again may have counted and not told: two gossip rounds.
	restartLoss = time.Second
	// silentTime is how long a box that says nothing is taken to be cut off, and maybe serving; then it is taken to be
	// gone.
	silentTime = 30 * time.Second
)

// Coverage is how much of a window is known.
type Coverage struct {
	Boxes   int                // that are known to have counted in the window
	Missing []willowwick.BoxID // may still tell of the window
	Unknown int                // boxes of the fleet that have told nothing at all
	Lost    float64            // share of the boxes' time in the window whose counts are not known
}

// IsComplete reports whether nothing more will be told.
func (c Coverage) IsComplete() bool {
	return c.Boxes > 0 && len(c.Missing) == 0 && c.Unknown == 0
}

// Coverage returns how much of a window is known, nothing on a box that is no hub; fleet is the number of boxes that gossip knows, this one included.
func (l *Ledger) Coverage(window willowwick.UsageWindow, fleet int, now time.Time) Coverage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(l.own, now.Add(-settleTime))
	begin, end := l.settings.Begin(window), l.settings.End(window)
	byBox := map[willowwick.BoxID][]*origin{}
	for _, o := range l.origins {
		byBox[o.box] = append(byBox[o.box], o)
	}
	coverage := Coverage{}
	var lost time.Duration
	for box, starts := range byBox {
		starts = startsWithin(starts, begin, end)
		if len(starts) == 0 {
			continue
		}
		coverage.Boxes++
		boxLost, isMissing := l.lostTime(starts, begin, end)
		lost += boxLost
		if isMissing {
			coverage.Missing = append(coverage.Missing, box)
		}
	}
	slices.Sort(coverage.Missing)
	coverage.Unknown = max(fleet-len(byBox), 0)
	lost += time.Duration(coverage.Unknown) * l.settings.Window
	coverage.Lost = 1
	if all := coverage.Boxes + coverage.Unknown; coverage.Boxes > 0 && !l.collectingSince.IsZero() {
		coverage.Lost = lost.Seconds() / (float64(all) * l.settings.Window.Seconds())
	}
	return coverage
}

// startsWithin returns the starts of one box that may have counted in a window, in order of time.
func startsWithin(starts []*origin, begin, end time.Time) []*origin {
	slices.SortFunc(starts, func(a, b *origin) int { return a.since.Compare(b.since) })
	var within []*origin
	for i, o := range starts {
		isLast := i == len(starts)-1
		mayCount := isLast && !o.ended && begin.Sub(o.until) < silentTime
		if o.since.Before(end) && (o.until.After(begin) || mayCount) {
			within = append(within, o)
		}
	}
	return within
}

// lostTime returns for how much of a window a box may have counted what is not known here, and whether it may still
// tell; the caller holds the lock.
func (l *Ledger) lostTime(starts []*origin, begin, end time.Time) (lost time.Duration, isMissing bool) {
	// Of the time before its first known start, nothing is known of a box unless this hub would have been told then.
	if first := starts[0].since; first.After(begin) && l.collectingSince.After(begin) {
		lost += first.Sub(begin)
	}
	for i, o := range starts {
		if !o.until.Before(end) || o.ended {
			continue
		}
		if i < len(starts)-1 {
			lost += min(restartLoss, starts[i+1].since.Sub(o.until))
			continue
		}
		isMissing = true
		lost += end.Sub(later(o.until, begin))
	}
	return max(lost, 0), isMissing
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
