package rollout

import "github.com/willowwick/willowwick"

type (
	// Kind names requests whose answers compare with each other.
	Kind string

	// News is what was newly seen of one kind of request, on the version and on what it is compared with.
	News struct {
		Version Evidence
		Others  Evidence
	}

	// Panel watches one version by kinds of request: each by a monitor of its own, since a version may be bad for one
	// kind only, and all of them together, since a version that is bad for all is found with a third of the bad answers
	// where three kinds share the traffic.
	Panel struct {
		version  willowwick.VersionID
		monitors map[Kind]*Monitor
		sums     ratios // over all kinds, against turning bad; never below zero
	}
)

// NewPanel returns a panel that has seen nothing.
func NewPanel(version willowwick.VersionID) *Panel {
	return &Panel{version: version, monitors: map[Kind]*Monitor{}}
}

// Observe adds new evidence; all is that on all other versions. Kind is empty where the kinds show it together only.
func (p *Panel) Observe(news map[Kind]News, all Evidence) (finding Finding, kind Kind) {
	var steps ratios
	for name, n := range news {
		monitor := p.monitor(name)
		for signal, step := range monitor.add(n.Version, n.Others, all) {
			steps[signal] += step
		}
		if found := monitor.finding(); found.Bad {
			finding, kind = found, name
		}
	}
	for signal := range signals {
		p.sums[signal] = max(0, p.sums[signal]+steps[signal])
		if !finding.Bad && p.sums[signal] >= alarm {
			finding, kind = Finding{Bad: true, Signal: signal}, ""
		}
	}
	return finding, kind
}

func (p *Panel) monitor(kind Kind) *Monitor {
	monitor := p.monitors[kind]
	if monitor == nil {
		monitor = NewMonitor(p.version)
		p.monitors[kind] = monitor
	}
	return monitor
}
