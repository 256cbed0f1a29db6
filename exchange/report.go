package exchange

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/rollout"
)

type (
	// Report is what one or more boxes have counted since their start.
	Report struct {
		Boxes    int
		Evidence []EvidenceRow
		Moves    []MoveRow
		Kept     []sessionHash // sessions known to be on other releases than a roll-out's target
		Demand   []DemandRow   // on the services whose runners the fleet orders
	}

	// HallReport is the sum of the reports of a hall's boxes.
	HallReport struct {
		Hall   willowwick.HallID
		AgeMs  int64
		Report Report
	}

	// EvidenceRow counts one kind of answer.
	EvidenceRow struct {
		Service willowwick.ServiceID
		Release willowwick.ReleaseID
		Route   willowwick.RouteID
		Counts  rollout.Evidence
	}

	// MoveRow is the progress of boxes in moving to a roll-out's target.
	MoveRow struct {
		Service     willowwick.ServiceID
		Target      willowwick.ReleaseID
		Moved       bool // all new requests go there
		OldInFlight int  // requests in progress at other releases
	}

	// receivedReport is a hall's report with its time.
	receivedReport struct {
		report Report
		at     time.Time
	}
)

// fleetReport returns the sum of the reports of all halls.
func (p *peers) fleetReport(now time.Time) Report {
	total := p.hallReport(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hall := range p.otherHalls {
		total = total.add(hall.report, now.Sub(hall.at) <= p.hallReportMaxAge())
	}
	return total
}

// hallReport returns the sum of the reports of this box and of the boxes of its hall that exchange gossip with it; on a
// box that has a hub it is the hub's sum, which includes this box's own.
func (p *peers) hallReport(now time.Time) Report {
	if hub, found := p.hub(now); found {
		for _, hall := range hub.Halls {
			if hall.Hall == p.router.settings.Hall {
				return hall.Report
			}
		}
	}
	total := p.ownReport()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		if known.box.Hall == p.router.settings.Hall {
			total = total.add(known.digest.Own, known.isLive(now))
		}
	}
	return total
}

// ownReport returns the report of this box alone.
func (p *peers) ownReport() Report {
	x := p.router
	report := Report{Boxes: 1, Kept: x.releases.pinnedSessions(clock.Now())}
	for key, counts := range x.releases.evidence(clock.Now()) {
		report.Evidence = append(report.Evidence, EvidenceRow{key.Service, key.Release, key.Route, counts})
	}
	for _, own := range x.releases.progressList(clock.Now()) {
		report.Moves = append(report.Moves, MoveRow{
			Service: own.Status.Service, Target: own.Status.Target, Moved: own.Moved, OldInFlight: x.inFlightOutsideTarget(own.Status),
		})
	}
	report.Demand = x.demandRows()
	return report
}

// hallReports returns the sums of this box's hall and of the others, as far as they are known.
func (p *peers) hallReports(now time.Time) []HallReport {
	list := []HallReport{{Hall: p.router.settings.Hall, Report: p.hallReport(now)}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, hall := range p.otherHalls {
		list = append(list, HallReport{Hall: name, AgeMs: now.Sub(hall.at).Milliseconds(), Report: hall.report})
	}
	return list
}

// add returns the sum of two reports; the counts of a box that is gone remain, its current state does not.
func (r Report) add(other Report, isLive bool) Report {
	sum := Report{
		Boxes: r.Boxes, Evidence: slices.Clone(r.Evidence), Moves: slices.Clone(r.Moves), Kept: slices.Clone(r.Kept),
		Demand: addDemand(r.Demand, other.Demand, isLive),
	}
	for _, row := range other.Evidence {
		at := slices.IndexFunc(sum.Evidence, func(e EvidenceRow) bool { return e.key() == row.key() })
		if at < 0 {
			sum.Evidence = append(sum.Evidence, row)
			continue
		}
		sum.Evidence[at].Counts = sum.Evidence[at].Counts.Add(row.Counts)
	}
	if !isLive {
		return sum
	}
	sum.Boxes += other.Boxes
	sum.Kept = append(sum.Kept, other.Kept...)
	for _, row := range other.Moves {
		at := slices.IndexFunc(sum.Moves, func(m MoveRow) bool { return m.Service == row.Service && m.Target == row.Target })
		if at < 0 {
			sum.Moves = append(sum.Moves, row)
			continue
		}
		sum.Moves[at].Moved = sum.Moves[at].Moved && row.Moved
		sum.Moves[at].OldInFlight += row.OldInFlight
	}
	return sum
}

// evidence returns the counts of the report by key.
func (r Report) evidence() map[evidenceKey]rollout.Evidence {
	total := make(map[evidenceKey]rollout.Evidence, len(r.Evidence))
	for _, row := range r.Evidence {
		total[row.key()] = row.Counts
	}
	return total
}

func (e EvidenceRow) key() evidenceKey {
	return evidenceKey{Service: e.Service, Release: e.Release, Route: e.Route}
}

// inFlightOutsideTarget counts the requests in progress at other releases than a roll-out's target.
func (x *Router) inFlightOutsideTarget(status willowwick.ReleaseStatus) int {
	return x.pool.InFlightWhere(status.Service, func(endpoint willowwick.Endpoint) bool {
		return endpoint.Release != status.Target
	})
}
