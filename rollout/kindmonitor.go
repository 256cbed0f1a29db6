package rollout

import "github.com/willowwick/willowwick"

type (
	// Kind groups requests whose answers are comparable.
	Kind string

	// KindEvidence is the new evidence on one kind of request, on the version and on its baseline.
	KindEvidence struct {
		Version Evidence
		Others  Evidence
	}

	// KindMonitor monitors one version by kind of request. Each kind has its own monitor, since a version may be bad
	// for one kind only. Another test covers all kinds together: with three kinds, it finds a version that is bad for
	// all of them after a third of the bad answers.
	KindMonitor struct {
		version  willowwick.VersionID
		monitors map[Kind]*Monitor
		cusums   logRatios // of the test over all kinds; never below zero
	}
)

// NewKindMonitor returns a monitor without evidence.
func NewKindMonitor(version willowwick.VersionID) *KindMonitor {
	return &KindMonitor{version: version, monitors: map[Kind]*Monitor{}}
}

// Observe adds new evidence; all is the evidence on all other versions. The returned kind is empty if only the kinds
// together show the version to be bad.
func (k *KindMonitor) Observe(evidence map[Kind]KindEvidence, all Evidence) (finding Finding, kind Kind) {
	var steps logRatios
	for name, n := range evidence {
		monitor := k.monitor(name)
		for signal, step := range monitor.add(n.Version, n.Others, all) {
			steps[signal] += step
		}
		if found := monitor.finding(); found.Bad {
			finding, kind = found, name
		}
	}
	for signal := range signalCount {
		k.cusums[signal] = max(0, k.cusums[signal]+steps[signal])
		if !finding.Bad && k.cusums[signal] >= withdrawThreshold {
			finding, kind = Finding{Bad: true, Signal: signal}, ""
		}
	}
	return finding, kind
}

// Suspicion returns how much the evidence tells against the version on its worst signal: 0 for nothing, 1 for enough to withdraw it.
func (k *KindMonitor) Suspicion() float64 {
	most := 0.0
	for signal := range signalCount {
		most = max(most, k.cusums[signal])
		for _, monitor := range k.monitors {
			most = max(most, monitor.cusums[signal])
		}
	}
	return most / withdrawThreshold
}

func (k *KindMonitor) monitor(kind Kind) *Monitor {
	monitor := k.monitors[kind]
	if monitor == nil {
		monitor = NewMonitor(k.version)
		k.monitors[kind] = monitor
	}
	return monitor
}
