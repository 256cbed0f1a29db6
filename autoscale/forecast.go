package autoscale

import (
	"math"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// peakWindow is for how long a peak of the demand counts.
	peakWindow = 15 * time.Second
	// peakInterval is the length of time of which one peak is kept.
	peakInterval = time.Second
	// fastMeanTime and slowTime are the time constants of the two averages whose difference is the trend.
	fastMeanTime = time.Second
	slowMeanTime = 4 * time.Second
	// shareTime is the time constant of the averages of the halls' shares.
	shareTime = 8 * time.Second
	// minShareDemand is the least demand from which shares of halls are computed, as a share of the expected demand.
	minShareDemand = 0.25
	// maxTrendFactor bounds the forecast to a multiple of the present demand.
	maxTrendFactor = 1.25
)

type (
	// forecast estimates the demand at the time when runners that are ordered now take work.
	forecast struct {
		lastAt   time.Time // of the newest sample; zero if there is none
		busyAt   time.Time // of the first sample with demand; zero if there is none
		fastMean float64
		slowMean float64
		peaks    []peak // newest last
		shares   map[willowwick.HallID]float64
	}

	// peak is the highest demand that was expected during a peakInterval.
	peak struct {
		from   time.Time
		demand float64
	}
)

// add records the demand of a view; lead is the time until runners that are ordered now take work.
func (f *forecast) add(now time.Time, view *View, lead time.Duration) {
	demand := float64(view.demand().total())
	if f.lastAt.IsZero() {
		f.lastAt, f.fastMean, f.slowMean = now, demand, demand
	}
	passed := now.Sub(f.lastAt)
	f.lastAt = now
	f.fastMean += (demand - f.fastMean) * weight(passed, fastMeanTime)
	f.slowMean += (demand - f.slowMean) * weight(passed, slowMeanTime)
	if f.busyAt.IsZero() && demand > 0 {
		f.busyAt = now
	}
	f.addPeak(now, f.extrapolate(lead))
	f.addShares(passed, view, demand)
}

// weight returns the weight of a new sample in an exponential moving average; passed is the time since the last sample.
func weight(passed, constant time.Duration) float64 {
	return 1 - math.Exp(-passed.Seconds()/constant.Seconds())
}

func (f *forecast) addPeak(now time.Time, demand float64) {
	if n := len(f.peaks); n > 0 && now.Sub(f.peaks[n-1].from) < peakInterval {
		f.peaks[n-1].demand = max(f.peaks[n-1].demand, demand)
	} else {
		f.peaks = append(f.peaks, peak{now, demand})
	}
	for now.Sub(f.peaks[0].from) > peakWindow {
		f.peaks = f.peaks[1:]
	}
}

// addShares updates the halls' shares of the demand; evacuated halls are included, since their boxes still have callers.
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

// extrapolate returns the demand expected after the lead time: it follows a rising trend, and ignores a falling one.
func (f *forecast) extrapolate(lead time.Duration) float64 {
	trend := max(f.fastMean-f.slowMean, 0) / (slowMeanTime - fastMeanTime).Seconds()
	return min(f.fastMean+trend*lead.Seconds(), maxTrendFactor*f.fastMean)
}

// demand returns the requests in progress to provide for: the highest that was expected within the window.
func (f *forecast) demand() float64 {
	var expected float64
	for _, one := range f.peaks {
		expected = max(expected, one.demand)
	}
	return expected
}

// share returns a hall's share of the demand; all halls have equal shares while nothing is known.
func (f *forecast) share(view *View, hall *Hall) float64 {
	var total float64
	halls := 0
	for i := range view.Halls {
		if !view.Halls[i].IsEvacuated {
			total += f.shares[view.Halls[i].ID]
			halls++
		}
	}
	if total > 0 {
		return f.shares[hall.ID] / total
	}
	return 1 / float64(max(halls, 1))
}
