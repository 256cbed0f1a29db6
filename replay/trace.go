package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

type (
	// Trace is a recorded or generated sequence of requests with the true quality of their answers.
	Trace struct {
		Header
		Requests []Request
	}

	// Header is the first line of a trace file: the fleet, the versions, the roll-out and the expected outcomes.
	Header struct {
		Name     string    `json:"name"`
		Boxes    int       `json:"boxes"`
		Halls    int       `json:"halls"`
		Runners  int       `json:"runners"`
		Slots    int       `json:"slots"`
		Cheap    Version   `json:"cheap"`
		New      Version   `json:"new"` // version of the cheap model that is rolled out
		Strong   Version   `json:"strong"`
		Quality  float64   `json:"quality"` // target
		Rollout  Rollout   `json:"rollout"`
		Outcomes []Outcome `json:"outcomes"`
	}

	// Version describes the price of a version and its speed on a runner.
	Version struct {
		ID            willowwick.VersionID `json:"id"`
		Model         willowwick.ModelID   `json:"model"`
		Price         willowwick.Price     `json:"price"`
		PrefillPerSec float64              `json:"prefillTokensPerSecond"`
		PerTokenMs    float64              `json:"msPerToken"`
	}

	// Rollout says when the roll-out of the new version starts, and when and how the version begins to fail.
	Rollout struct {
		StartMs        int64       `json:"startMs"`
		FailureStartMs int64       `json:"badMs,omitempty"` // 0 for a version that stays good
		Failure        FailureMode `json:"how,omitempty"`
	}

	// FailureMode is a way in which a version fails.
	FailureMode string

	// Request is one line of a trace file.
	Request struct {
		AtMs       int64                `json:"atMs"`
		Account    willowwick.AccountID `json:"account"`
		Class      willowwick.Class     `json:"class"`
		Prompt     willowwick.Tokens    `json:"prompt"`
		Output     willowwick.Tokens    `json:"output"`
		Prefix     uint64               `json:"prefix"`
		Session    string               `json:"session"`
		DeadlineMs int64                `json:"deadlineMs"` // from its arrival
		CheapGood  bool                 `json:"cheapGood"`  // the cheap model would answer well
		StrongGood bool                 `json:"strongGood"`
		Draw       float64              `json:"lot"` // uniform in [0, 1); decides random outcomes, alike under every policy
	}

	// Outcome is an expected outcome: bounds on a metric of willowwick's policy.
	Outcome struct {
		Metric  string  `json:"figure"`
		Against string  `json:"against,omitempty"` // policy whose metric it is divided by; empty for 1
		AtMost  float64 `json:"atMost,omitempty"`  // ratio
		AtLeast float64 `json:"atLeast,omitempty"` // ratio
	}

	// classShape describes the requests of a class: their share, mean sizes in tokens, quality and deadline.
	classShape struct {
		class      willowwick.Class
		share      float64
		prompt     int
		output     int
		cheapGood  float64
		deadlineMs int64
	}
)

// Failure modes of the new version.
const (
	FailureErrors  FailureMode = "errors"
	FailureSlow    FailureMode = "slow"
	FailureRatings FailureMode = "ratings"
)

// Loads of the generated traces.
const (
	LoadLight    = "light"
	LoadPeak     = "peak"
	LoadOverload = "overload"
)

const (
	traceDuration     = 300 * time.Second
	rolloutStart      = 30 * time.Second
	failureStart      = 150 * time.Second
	strongQuality     = 0.97
	largeAccountShare = 0.3 // share of requests from each of the two large accounts
)

// loadFactors holds the request rates of the loads, as shares of the runners' capacity.
var loadFactors = map[string]float64{LoadLight: 0.3, LoadPeak: 0.9, LoadOverload: 1.5}

// Generate returns the trace called name; the same arguments give the same trace.
func Generate(name, load string, mode FailureMode, seed uint64) (*Trace, error) {
	factor, ok := loadFactors[load]
	if !ok {
		return nil, errors.Errorf("unknown load %q; expected light, peak or overload", load)
	}
	header, shapes, capacity, err := traceSetting(name)
	if err != nil {
		return nil, err
	}
	header.Rollout = Rollout{StartMs: rolloutStart.Milliseconds()}
	if mode != "" {
		header.Rollout.FailureStartMs, header.Rollout.Failure = failureStart.Milliseconds(), mode
	}
	header.Outcomes = expectedOutcomes(load, mode)
	random := rand.New(rand.NewPCG(seed, uint64(len(name))))
	trace := &Trace{Header: header}
	for at := 0.0; at < traceDuration.Seconds(); at += random.ExpFloat64() / (capacity * factor) {
		trace.Requests = append(trace.Requests, newRequest(random, shapes, at))
	}
	return trace, nil
}

// traceSetting returns the header of a trace, the classes of its requests, and the capacity: the most requests per
// second that its runners serve with the cascade.
func traceSetting(name string) (Header, []classShape, float64, error) {
	h := Header{
		Name: name, Halls: 3, Slots: 16, Quality: 0.9,
		Cheap:  Version{ID: "small-1", Model: "small", Price: willowwick.Price{Prompt: 20, Output: 60}, PrefillPerSec: 12000, PerTokenMs: 7},
		New:    Version{ID: "small-2", Model: "small", Price: willowwick.Price{Prompt: 20, Output: 60}, PrefillPerSec: 12000, PerTokenMs: 7},
		Strong: Version{ID: "large-1", Model: "large", Price: willowwick.Price{Prompt: 300, Output: 900}, PrefillPerSec: 4000, PerTokenMs: 22},
	}
	switch name {
	case "prairie":
		h.Boxes, h.Runners = 6, 18
		return h, []classShape{
			{"explain", 0.35, 1800, 350, 0.55, 20_000},
			{"diff", 0.35, 1200, 160, 0.8, 12_000},
			{"notes", 0.3, 300, 60, 0.92, 6_000},
		}, prairieCapacity, nil
	case "bitola":
		h.Boxes, h.Runners = 6, 9
		return h, []classShape{
			{"summary", 0.45, 1600, 250, 0.7, 20_000},
			{"calibration", 0.2, 500, 50, 0.03, 8_000},
			{"entry", 0.35, 400, 80, 0.88, 8_000},
		}, bitolaCapacity, nil
	default:
		return h, nil, 0, errors.Errorf("unknown trace %q; expected prairie or bitola", name)
	}
}

// Requests per second at which the first requests are refused, found by raising the rate in steps of a tenth.
const (
	prairieCapacity = 58.0
	bitolaCapacity  = 41.0
)

func newRequest(random *rand.Rand, shapes []classShape, at float64) Request {
	shape := shapes[len(shapes)-1]
	draw := random.Float64()
	for _, candidate := range shapes {
		if draw < candidate.share {
			shape = candidate
			break
		}
		draw -= candidate.share
	}
	account := fmt.Sprintf("small-%d", random.IntN(8))
	if draw := random.Float64(); draw < 2*largeAccountShare {
		account = fmt.Sprintf("large-%d", int(draw/largeAccountShare))
	}
	spread := 0.5 + random.Float64()
	return Request{
		AtMs: int64(at * 1000), Account: willowwick.AccountID(account), Class: shape.class,
		Prompt: willowwick.Tokens(float64(shape.prompt) * spread), Output: willowwick.Tokens(float64(shape.output) * spread),
		Prefix: 1 + uint64(random.IntN(60)), Session: fmt.Sprintf("s%d", random.IntN(4000)), DeadlineMs: shape.deadlineMs,
		CheapGood: random.Float64() < shape.cheapGood, StrongGood: random.Float64() < strongQuality, Draw: random.Float64(),
	}
}

// expectedOutcomes returns the outcomes that a trace must show under a load and a failure mode.
func expectedOutcomes(load string, mode FailureMode) []Outcome {
	outcomes := []Outcome{
		{Metric: "cost", Against: PolicyOracle, AtMost: 1.10},
		{Metric: "cost", Against: PolicyStrong, AtMost: 0.60},
		{Metric: "quality", AtLeast: 0.90},
	}
	switch mode {
	case FailureErrors, FailureRatings:
		outcomes = append(outcomes, Outcome{Metric: "exposure", Against: PolicyTimedRollout, AtMost: 0.10})
	case FailureSlow:
		// Slow answers occupy their slots, which already limits how many requests the baseline sends to the version.
		outcomes = append(outcomes, Outcome{Metric: "exposure", Against: PolicyTimedRollout, AtMost: 1})
	}
	switch load {
	case LoadPeak:
		outcomes = append(outcomes,
			Outcome{Metric: "p99", Against: PolicyRoundRobin, AtMost: 1.05},
			Outcome{Metric: "p99", Against: PolicyPerfectLoad, AtMost: 1.2})
	case LoadOverload:
		outcomes = append(outcomes, Outcome{Metric: "goodput", Against: PolicyFIFO, AtLeast: 1})
	}
	return outcomes
}

// Write writes the trace as JSON lines: the header, then the requests.
func (t *Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(t.Header); err != nil {
		return errors.Wrap(err, "write trace")
	}
	for _, request := range t.Requests {
		if err := encoder.Encode(request); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

// Read reads a trace that Write wrote.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	trace := &Trace{}
	for line := 1; scanner.Scan(); line++ {
		if line == 1 {
			if err := json.Unmarshal(scanner.Bytes(), &trace.Header); err != nil {
				return nil, errors.Wrap(err, "trace, line 1")
			}
			continue
		}
		var request Request
		if err := json.Unmarshal(scanner.Bytes(), &request); err != nil {
			return nil, errors.Wrapf(err, "trace, line %d", line)
		}
		trace.Requests = append(trace.Requests, request)
	}
	return trace, errors.Wrap(scanner.Err(), "read trace")
}
