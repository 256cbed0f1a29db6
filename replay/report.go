package replay

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	maxLatencyMs      = 3_600_000
	significantDigits = 3
)

type (
	// tally counts the outcomes of a trace under one policy.
	tally struct {
		requests    int
		answered    int
		refused     int
		good        int
		inTime      int
		exposure    int // requests sent to the new version after it began to fail
		cost        willowwick.MicroUnits
		firstToken  *hdrhistogram.Histogram
		withdrawnAt time.Duration // from the start of the trace; 0 if the new version was not withdrawn
	}

	// PolicyResult holds the metrics of a policy.
	PolicyResult struct {
		Name        string  `json:"name"`
		Cost        float64 `json:"cost"`    // micro-units per answer
		Quality     float64 `json:"quality"` // share of answers that are good
		P50         float64 `json:"p50_ms"`  // milliseconds until the caller receives the first token
		P95         float64 `json:"p95_ms"`
		P99         float64 `json:"p99_ms"`
		Goodput     float64 `json:"goodput"`  // share of requests answered within their deadline
		Exposure    int     `json:"exposure"` // requests sent to the new version after it began to fail
		Refused     int     `json:"refused"`
		WithdrawnMs int64   `json:"withdrawn_ms,omitempty"` // from the start of the trace
	}

	// Checked is an expected outcome with its measured value.
	Checked struct {
		Outcome
		Measured float64 `json:"measured"`
		Met      bool    `json:"met"`
	}

	// Report holds the results of all policies on a trace.
	Report struct {
		Trace    string         `json:"trace"`
		Requests int            `json:"requests"`
		Policies []PolicyResult `json:"policies"`
		Outcomes []Checked      `json:"outcomes"`
	}
)

func newTally() tally {
	return tally{firstToken: hdrhistogram.New(1, maxLatencyMs, significantDigits)}
}

func (r *tally) add(t *task, first time.Duration, now time.Time, good bool) {
	r.answered++
	r.cost += t.cost
	if good {
		r.good++
	}
	if !now.After(t.deadline) {
		r.inTime++
	}
	_ = r.firstToken.RecordValue(max(1, first.Milliseconds()))
}

func (r *tally) result(name string) PolicyResult {
	answered := float64(max(r.answered, 1))
	return PolicyResult{
		Name: name, Cost: float64(r.cost) / answered, Quality: float64(r.good) / answered,
		P50: float64(r.firstToken.ValueAtQuantile(50)), P95: float64(r.firstToken.ValueAtQuantile(95)), P99: float64(r.firstToken.ValueAtQuantile(99)),
		Goodput: float64(r.inTime) / float64(max(r.requests, 1)), Exposure: r.exposure, Refused: r.refused,
		WithdrawnMs: r.withdrawnAt.Milliseconds(),
	}
}

// Run replays a trace under every policy and checks the expected outcomes.
func Run(trace *Trace, seed uint64) (*Report, error) {
	if len(trace.Requests) == 0 {
		return nil, errors.New("the trace has no requests")
	}
	report := &Report{Trace: trace.Name, Requests: len(trace.Requests), Policies: make([]PolicyResult, len(policies))}
	failures := make([]error, len(policies))
	var running sync.WaitGroup
	for i, p := range policies {
		running.Go(func() {
			result, err := simulate(trace, p, seed)
			failures[i] = err
			if err == nil {
				report.Policies[i] = result.result(p.name)
			}
		})
	}
	running.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	for _, outcome := range trace.Outcomes {
		checked, err := report.check(outcome)
		if err != nil {
			return nil, err
		}
		report.Outcomes = append(report.Outcomes, checked)
	}
	return report, nil
}

// Result returns the result of the policy called name, and whether there is one.
func (r *Report) Result(name string) (PolicyResult, bool) {
	for _, f := range r.Policies {
		if f.Name == name {
			return f, true
		}
	}
	return PolicyResult{}, false
}

// check divides a metric of willowwick's policy by that of a baseline, or by 1 if the outcome names none, and compares the
// ratio with the bounds of the outcome; if the baseline's is 0, the metric itself.
func (r *Report) check(o Outcome) (Checked, error) {
	result, _ := r.Result(PolicyWillowwick)
	value, err := result.metric(o.Metric)
	if err != nil {
		return Checked{}, err
	}
	reference := 1.0
	if o.Against != "" {
		baseline, ok := r.Result(o.Against)
		if !ok {
			return Checked{}, errors.Errorf("outcome: unknown policy %q", o.Against)
		}
		if reference, err = baseline.metric(o.Metric); err != nil {
			return Checked{}, err
		}
	}
	c := Checked{Outcome: o, Met: true}
	if reference != 0 {
		c.Measured = value / reference
	} else if value > 0 {
		c.Measured = value
	}
	if o.AtMost != 0 && c.Measured > o.AtMost {
		c.Met = false
	}
	if o.AtLeast != 0 && c.Measured < o.AtLeast {
		c.Met = false
	}
	return c, nil
}

func (f PolicyResult) metric(name string) (float64, error) {
	switch name {
	case "cost":
		return f.Cost, nil
	case "quality":
		return f.Quality, nil
	case "p99":
		return f.P99, nil
	case "goodput":
		return f.Goodput, nil
	case "exposure":
		return float64(f.Exposure), nil
	default:
		return 0, errors.Errorf("outcome: unknown metric %q", name)
	}
}

// Missed returns the expected outcomes that were not met.
func (r *Report) Missed() []Checked {
	var missed []Checked
	for _, c := range r.Outcomes {
		if !c.Met {
			missed = append(missed, c)
		}
	}
	return missed
}

// String returns the outcome as a sentence.
func (c Checked) String() string {
	against := c.Against
	if against == "" {
		against = "1"
	}
	bound := fmt.Sprintf("at most %.2f", c.AtMost)
	if c.AtLeast != 0 {
		bound = fmt.Sprintf("at least %.2f", c.AtLeast)
	}
	verdict := "met"
	if !c.Met {
		verdict = "MISSED"
	}
	return fmt.Sprintf("%s against %s: %.3f, expected %s: %s", c.Metric, against, c.Measured, bound, verdict)
}
