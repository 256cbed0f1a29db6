package rollout

import "github.com/willowwick/willowwick"

type (
	// Kind names requests whose answers compare with each other.
	Kind string

	// KindEvidence is what was newly seen of one kind of request, on the version and on what it is compared with.
	KindEvidence struct {
		Version Evidence
		Others  Evidence
	}

	// KindMonitor watches one version by kinds of request: each by a monitor of its own, since a version may be bad for one
	// kind only, and all of them together, since a version that is bad for all is found with a third of the bad answers
	// where three kinds share the traffic.
	KindMonitor struct {
		version  willowwick.VersionID
		monitors map[Kind]*Monitor
		cusums   logRatios // over all kinds, against turning bad; never below zero
	}
)

// NewKindMonitor returns a panel that has seen nothing.
func NewKindMonitor(version willowwick.VersionID) *KindMonitor {
	return &KindMonitor{version: version, monitors: map[Kind]*Monitor{}}
}

// Observe adds new evidence; all is that on all other versions. Kind is empty where the kinds show it together only.
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

func (k *KindMonitor) monitor(kind Kind) *Monitor {
	monitor := k.monitors[kind]
	if monitor == nil {
		monitor = NewMonitor(k.version)
		k.monitors[kind] = monitor
	}
	return monitor
}
