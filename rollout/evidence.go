package rollout

import (
	"math"

	"github.com/willowwick/willowwick"
)

type (
	// Signal is one way in which an answer can be bad.
	Signal int

	// Evidence counts what was seen of a version.
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

// Signals that are watched.
const (
	SignalErrors Signal = iota
	SignalSlow
	SignalLow
	signals
)

var signalNames = [signals]string{"errors", "slow answers", "low ratings"}

// String returns the name of the signal.
func (s Signal) String() string {
	return signalNames[s]
}

// Add returns the sum of two pieces of evidence.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{
		Requests: e.Requests + other.Requests,
		Errors:   e.Errors + other.Errors,
		Slow:     e.Slow + other.Slow,
		Rated:    e.Rated + other.Rated,
		Low:      e.Low + other.Low,
	}
}

// Since returns what came after an earlier count; a count that fell has nothing new to tell.
func (e Evidence) Since(earlier Evidence) Evidence {
	if e.Requests < earlier.Requests {
		return Evidence{}
	}
	return Evidence{
		Requests: e.Requests - earlier.Requests,
		Errors:   sub(e.Errors, earlier.Errors),
		Slow:     sub(e.Slow, earlier.Slow),
		Rated:    sub(e.Rated, earlier.Rated),
		Low:      sub(e.Low, earlier.Low),
	}
}

func sub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// Of returns the counts of one signal.
func (e Evidence) Of(signal Signal) Counts {
	switch signal {
	case SignalErrors:
		return Counts{Total: e.Requests, Bad: e.Errors}
	case SignalSlow:
		return Counts{Total: e.Requests - min(e.Errors, e.Requests), Bad: e.Slow}
	default:
		return Counts{Total: e.Rated, Bad: e.Low}
	}
}

// add returns the sum of two counts.
func (c Counts) add(other Counts) Counts {
	return Counts{Total: c.Total + other.Total, Bad: c.Bad + other.Bad}
}

const (
	// alarm is the height at which the cumulated log likelihood ratio withdraws a version.
	alarm = 11.0
	// acquit is the depth at which a signal is taken to be as good as the baseline.
	acquit = -3.0

	lowestRate = 0.01
	// lowestSlow is the share of slow answers that the promised latency allows: 5 in 100.
	lowestSlow = 0.05
	// ambientFade forgets how slow all other versions were within some observations.
	ambientFade  = 0.7
	highestRate  = 0.6
	badFactor    = 2.0
	badAddend    = 0.08
	baselineFade = 0.995
	// baselineNeeded is how much must be known of the others before a version is compared with them.
	baselineNeeded = 40
	// baselineDeviations is by how many standard deviations the baseline is taken to be worse than it looks.
	baselineDeviations = 1.0
)

// Finding is what the evidence says of a version.
type Finding struct {
	Bad      bool
	Good     bool // shown to be as good as the baseline, on every signal that was seen
	Signal   Signal
	Requests uint64
}

// Monitor watches one version against a baseline, by a cumulated-sum test for
// turning bad and a sequential test for being good.
type Monitor struct {
	version  willowwick.VersionID
	sums     ratios // against turning bad; never below zero
	ratios   ratios // since the step began
	seen     [signals]bool
	requests uint64
	rated    bool // ratings are to be had, so a version is not good without them
	baseline [signals]baselineRate
	ambient  baselineRate    // slow answers of all other versions of late
	held     [signals]Counts // seen of the version before enough was known to compare it with
}

// ratios are log likelihood ratios of "bad" against "as the baseline", by signal.
type ratios [signals]float64

type baselineRate struct {
	total float64
	bad   float64
}

// NewMonitor returns a monitor that has seen nothing.
func NewMonitor(version willowwick.VersionID) *Monitor {
	return &Monitor{version: version}
}

// BeginStep forgets what was seen on the step before, but not the suspicion.
func (m *Monitor) BeginStep() {
	m.requests = 0
	m.ratios = ratios{}
	m.seen = [signals]bool{}
}

// Observe adds new evidence on the version and, from the same time, on what it
// is compared with and on all other versions.
func (m *Monitor) Observe(version, others, all Evidence) Finding {
	m.add(version, others, all)
	return m.finding()
}

// add weighs new evidence and returns what it adds for each signal.
func (m *Monitor) add(version, others, all Evidence) ratios {
	m.requests += version.Requests
	m.ambient.learn(all.Of(SignalSlow), ambientFade)
	var steps ratios
	for signal := range signals {
		m.learnBaseline(signal, others.Of(signal))
		counts := version.Of(signal)
		m.rated = m.rated || (signal == SignalLow && counts.Total > 0)
		counts = counts.add(m.held[signal])
		if counts.Total == 0 {
			continue
		}
		if m.baseline[signal].total < baselineNeeded {
			m.held[signal] = counts
			continue
		}
		m.held[signal] = Counts{}
		m.seen[signal] = true
		steps[signal] = m.ratio(signal, counts)
		m.sums[signal] = max(0, m.sums[signal]+steps[signal])
		m.ratios[signal] += steps[signal]
	}
	return steps
}

func (m *Monitor) learnBaseline(signal Signal, counts Counts) {
	if counts.Total > 0 {
		m.baseline[signal].learn(counts, baselineFade)
	}
}

func (b *baselineRate) learn(counts Counts, fade float64) {
	b.total = b.total*fade + float64(counts.Total)
	b.bad = b.bad*fade + float64(counts.Bad)
}

// ratio is the log likelihood ratio of "bad" against "as the baseline".
func (m *Monitor) ratio(signal Signal, counts Counts) float64 {
	good := m.baseline[signal].upper()
	if signal == SignalSlow {
		// Load slows all versions at once; only a version that is slower than all others is at fault.
		good = min(max(good, lowestSlow, m.ambient.upper()), highestRate)
	}
	bad := min(good*badFactor+badAddend, (1+good)/2)
	failures := float64(min(counts.Bad, counts.Total))
	passes := float64(counts.Total) - failures
	return failures*math.Log(bad/good) + passes*math.Log((1-bad)/(1-good))
}

// upper is the rate of bad answers that the others may well have.
func (b baselineRate) upper() float64 {
	if b.total == 0 {
		return 0
	}
	rate := (b.bad + 1) / (b.total + 2)
	deviation := math.Sqrt(rate * (1 - rate) / (b.total + 2))
	return min(max(rate+baselineDeviations*deviation, lowestRate), highestRate)
}

func (m *Monitor) finding() Finding {
	f := Finding{Good: m.seen[SignalErrors] && (m.seen[SignalLow] || !m.rated), Requests: m.requests}
	for signal := range signals {
		if m.sums[signal] >= alarm {
			return Finding{Bad: true, Signal: signal, Requests: m.requests}
		}
		if m.seen[signal] && m.ratios[signal] > acquit {
			f.Good = false
		}
	}
	return f
}
