package rollout

import (
	"math"

	"github.com/willowwick/willowwick"
)

type (
	// Signal is one way in which an answer can be bad.
	Signal int

	// Evidence counts the answers seen from a version.
	Evidence struct {
		Requests uint64 `json:"requests"`
		Errors   uint64 `json:"errors"`
		Slow     uint64 `json:"slow"`
		Rated    uint64 `json:"rated"`
		Low      uint64 `json:"low"` // ratings below the pass mark
	}

	// Counts is the evidence on one signal.
	Counts struct {
		Total uint64
		Bad   uint64
	}
)

// Signals that are monitored.
const (
	SignalErrors Signal = iota
	SignalSlow
	SignalLow
	signalCount
)

var signalNames = [signalCount]string{"errors", "slow answers", "low ratings"}

// String returns the name of the signal.
func (s Signal) String() string {
	return signalNames[s]
}

// Add returns the sum of both.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{
		Requests: e.Requests + other.Requests,
		Errors:   e.Errors + other.Errors,
		Slow:     e.Slow + other.Slow,
		Rated:    e.Rated + other.Rated,
		Low:      e.Low + other.Low,
	}
}

// Since returns the counts added since an earlier reading; zero if the requests have fallen, as after a restart.
func (e Evidence) Since(earlier Evidence) Evidence {
	if e.Requests < earlier.Requests {
		return Evidence{}
	}
	return Evidence{
		Requests: e.Requests - earlier.Requests,
		Errors:   subtractFloor(e.Errors, earlier.Errors),
		Slow:     subtractFloor(e.Slow, earlier.Slow),
		Rated:    subtractFloor(e.Rated, earlier.Rated),
		Low:      subtractFloor(e.Low, earlier.Low),
	}
}

func subtractFloor(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// CountsOf returns the counts of one signal.
func (e Evidence) CountsOf(signal Signal) Counts {
	switch signal {
	case SignalErrors:
		return Counts{Total: e.Requests, Bad: e.Errors}
	case SignalSlow:
		return Counts{Total: e.Requests - min(e.Errors, e.Requests), Bad: e.Slow}
	default:
		return Counts{Total: e.Rated, Bad: e.Low}
	}
}

// add returns the sum of both.
func (c Counts) add(other Counts) Counts {
	return Counts{Total: c.Total + other.Total, Bad: c.Bad + other.Bad}
}

const (
	// withdrawThreshold is the cumulated log-likelihood ratio at which a version is withdrawn.
	withdrawThreshold = 11.0
	// acceptThreshold is the log-likelihood ratio at which a signal counts as good as the baseline.
	acceptThreshold = -3.0

	minBadRate = 0.01
	// minSlowRate is the share of slow answers that the promised latency allows: 5 in 100.
	minSlowRate = 0.05
	// fleetSlowDecay is the decay, for each fleetSlowAnswers of them, of how slow all other versions were: where none answers, what is
	// known of them stays.
	fleetSlowDecay   = 0.7
	fleetSlowAnswers = 10.0
	maxBadRate       = 0.6
	badFactor        = 2.0
	badAddend        = 0.08
	baselineDecay    = 0.995
	// minBaselineSamples is how many answers of the baseline must be known before a version is compared with it.
	minBaselineSamples = 40
	// baselineDeviations is by how many standard deviations the baseline is assumed to be worse than its estimate.
	baselineDeviations = 1.0
)

// Finding is the result of a test of a version.
type Finding struct {
	Bad      bool
	Good     bool // shown to be as good as the baseline, on every signal seen
	Signal   Signal
	Requests uint64
}

// Monitor compares one version with a baseline, by a cumulative-sum test for turning bad and a sequential test for
// being good.
type Monitor struct {
	version    willowwick.VersionID
	cusums     logRatios // for turning bad; never below zero
	logRatios  logRatios // since the step began
	seen       [signalCount]bool
	requests   uint64
	hasRatings bool // ratings exist, so a version is not good without them
	baselines  [signalCount]decayingRate
	fleetSlow  decayingRate        // slow answers of all other versions lately
	pending    [signalCount]Counts // counts held until the baseline is large enough
}

// logRatios holds the log-likelihood ratio of "bad" to "as the baseline" for each signal.
type logRatios [signalCount]float64

type decayingRate struct {
	total float64
	bad   float64
}

// NewMonitor returns a monitor without evidence.
func NewMonitor(version willowwick.VersionID) *Monitor {
	return &Monitor{version: version}
}

// BeginStep resets the test for being good at the start of a step; the test for turning bad continues.
func (m *Monitor) BeginStep() {
	m.requests = 0
	m.logRatios = logRatios{}
	m.seen = [signalCount]bool{}
}

// Observe adds new evidence on the version and, from the same period, on the baseline and on all other versions.
func (m *Monitor) Observe(version, others, all Evidence) Finding {
	m.add(version, others, all)
	return m.finding()
}

// add adds new evidence and returns the log-likelihood ratio it contributes for each signal.
func (m *Monitor) add(version, others, all Evidence) logRatios {
	m.requests += version.Requests
	fleet := all.CountsOf(SignalSlow)
	m.fleetSlow.observe(fleet, math.Pow(fleetSlowDecay, float64(fleet.Total)/fleetSlowAnswers))
	var steps logRatios
	for signal := range signalCount {
		m.updateBaseline(signal, others.CountsOf(signal))
		counts := version.CountsOf(signal)
		m.hasRatings = m.hasRatings || (signal == SignalLow && counts.Total > 0)
		counts = counts.add(m.pending[signal])
		if counts.Total == 0 {
			continue
		}
		if m.baselines[signal].total < minBaselineSamples {
			m.pending[signal] = counts
			continue
		}
		m.pending[signal] = Counts{}
		m.seen[signal] = true
		steps[signal] = m.logRatio(signal, counts)
		m.cusums[signal] = max(0, m.cusums[signal]+steps[signal])
		m.logRatios[signal] += steps[signal]
	}
	return steps
}

func (m *Monitor) updateBaseline(signal Signal, counts Counts) {
	if counts.Total > 0 {
		m.baselines[signal].observe(counts, baselineDecay)
	}
}

func (b *decayingRate) observe(counts Counts, decay float64) {
	b.total = b.total*decay + float64(counts.Total)
	b.bad = b.bad*decay + float64(counts.Bad)
}

// logRatio returns the log-likelihood ratio of "bad" to "as the baseline" for the counts.
func (m *Monitor) logRatio(signal Signal, counts Counts) float64 {
	good := m.baselines[signal].upperBound()
	if signal == SignalSlow {
		// Load slows all versions at once; only a version that is slower than all others is at fault.
		good = min(max(good, minSlowRate, m.fleetSlow.upperBound()), maxBadRate)
	}
	bad := min(good*badFactor+badAddend, (1+good)/2)
	failures := float64(min(counts.Bad, counts.Total))
	passes := float64(counts.Total) - failures
	return failures*math.Log(bad/good) + passes*math.Log((1-bad)/(1-good))
}

// upperBound returns the rate of bad answers, baselineDeviations above its estimate.
func (b decayingRate) upperBound() float64 {
	if b.total == 0 {
		return 0
	}
	rate := (b.bad + 1) / (b.total + 2)
	deviation := math.Sqrt(rate * (1 - rate) / (b.total + 2))
	return min(max(rate+baselineDeviations*deviation, minBadRate), maxBadRate)
}

func (m *Monitor) finding() Finding {
	f := Finding{Good: m.seen[SignalErrors] && (m.seen[SignalLow] || !m.hasRatings), Requests: m.requests}
	for signal := range signalCount {
		if m.cusums[signal] >= withdrawThreshold {
			return Finding{Bad: true, Signal: signal, Requests: m.requests}
		}
		if m.seen[signal] && m.logRatios[signal] > acceptThreshold {
			f.Good = false
		}
	}
	return f
}
