package autoscale

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// peakWindow is how far back the demand counts for what is kept: longer than the waves of a busy minute, and long
	// enough for what a runner costs meanwhile to exceed what a new one costs until it takes work.
	peakWindow = 15 * time.Second
	// peakSlot is the length of the parts of peakWindow whose peaks are kept.
	peakSlot = time.Second
	// fastTime and slowTime are the time constants of the two averages whose difference is the trend.
	fastTime = time.Second
	slowTime = 4 * time.Second
	// shareTime is the time constant of the shares of the halls.
	shareTime = 8 * time.Second
	// minShareDemand is the demand below which it says nothing on the halls' shares, as a share of the one expected.
	minShareDemand = 0.25
	// maxTrendFactor bounds the forecast to a multiple of the present demand.
	maxTrendFactor = 1.25
)

type (
	// forecast estimates the demand at the time when runners that are ordered now take work.
	forecast struct {
		firstAt time.Time // of the first sample; zero if there is none
		lastAt  time.Time
		busyAt  time.Time // of the first sample with demand; zero if there is none
		fast    float64
		slow    float64
		peaks   []peak // newest last
		shares  map[willowwick.HallID]float64
	}

	// peak is the highest expected demand in a part of the window.
	peak struct {
		from   time.Time
		demand float64
	}
)

// add records the demand of a view; lead is the time until runners that are ordered now take work.
func (f *forecast) add(now time.Time, view *View, lead time.Duration) {
	demand := float64(view.sum().total())
	if f.firstAt.IsZero() {
		f.firstAt, f.lastAt, f.fast, f.slow = now, now, demand, demand
	}
	passed := now.Sub(f.lastAt)
	f.lastAt = now
	f.fast += (demand - f.fast) * weight(passed, fastTime)
	f.slow += (demand - f.slow) * weight(passed, slowTime)
	if f.busyAt.IsZero() && demand > 0 {
		f.busyAt = now
	}
	f.addPeak(now, f.ahead(lead))
	f.addShares(passed, view, demand)
}

// weight returns the weight of a sample after a pause in an average with a time constant.
func weight(passed, constant time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/constant.Seconds())
}

func (f *forecast) addPeak(now time.Time, demand float64) {
	if n := len(f.peaks); n > 0 && now.Sub(f.peaks[n-1].from) < peakSlot {
		f.peaks[n-1].demand = max(f.peaks[n-1].demand, demand)
	} else {
		f.peaks = append(f.peaks, peak{now, demand})
	}
	for now.Sub(f.peaks[0].from) > peakWindow {
		f.peaks = f.peaks[1:]
	}
}

// addShares follows the halls' shares of the demand, those of evacuated halls included: their boxes still have callers.
func (f *forecast) addShares(passed time.Duration, view *View, demand float64) {
	if f.shares == nil {
		f.shares = map[willowwick.HallID]float64{}
	}
	if demand == 0 || demand < minShareDemand*f.demand() || !view.hasAllCounts() {
		return
	}
	for i := range view.Halls {
		hall := &view.Halls[i]
		known, isKnown := f.shares[hall.ID]
		if !isKnown {
			known = 1 / float64(len(view.Halls))
		}
		f.shares[hall.ID] = known + (float64(hall.Demand.total())/demand-known)*weight(passed, shareTime)
	}
}

// isBusy reports whether there was any demand so far.
func (f *forecast) isBusy() bool {
	return !f.busyAt.IsZero()
}

// isSettled reports whether there has been demand for long enough to know its peaks.
func (f *forecast) isSettled(now time.Time) bool {
	return f.isBusy() && now.Sub(f.busyAt) >= peakWindow
}

// ahead returns the demand after the lead time by the present trend, if it rises.
func (f *forecast) ahead(lead time.Duration) float64 {
	trend := max(f.fast-f.slow, 0) / (slowTime - fastTime).Seconds()
	return min(f.fast+trend*lead.Seconds(), maxTrendFactor*f.fast)
}

// demand returns the requests in progress to provide for: the highest that was expected within the window.
func (f *forecast) demand() float64 {
	var expected float64
	for _, one := range f.peaks {
		expected = max(expected, one.demand)
	}
	return expected
}

// share returns a hall's share of the demand; equal shares while nothing is known.
func (f *forecast) share(view *View, hall *Hall) float64 {
	var total float64
	for i := range view.Halls {
		if !view.Halls[i].IsEvacuated {
			total += f.shares[view.Halls[i].ID]
		}
	}
	if total > 0 {
		return f.shares[hall.ID] / total
	}
	halls := 0
	for i := range view.Halls {
		if !view.Halls[i].IsEvacuated {
			halls++
		}
	}
	return 1 / float64(max(halls, 1))
}
