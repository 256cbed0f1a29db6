package exchange

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/autoscale"
)

// DemandRow is the demand on a service as boxes report it to each other.
type DemandRow struct {
	Service willowwick.ServiceID
	Running int // requests at endpoints
	Waiting int // requests that wait in boxes
	Silent  int // both, of boxes that have fallen silent, as they last reported
}

// demandRows returns this box's demand on the services whose runners the fleet orders.
func (x *Router) demandRows() []DemandRow {
	var rows []DemandRow
	for _, service := range x.autoscaledServices() {
		rows = append(rows, DemandRow{
			Service: service.Name, Waiting: x.gate.WaitingWhere(func(queue string) bool { return isQueueOf(queue, service.Name) }),
			Running: x.pool.InFlightWhere(service.Name, func(willowwick.Endpoint) bool { return true }),
		})
	}
	return rows
}

// autoscaledServices returns the services whose runners the fleet orders; none unless the duty is assigned.
func (x *Router) autoscaledServices() []willowwick.RoutedService {
	t := x.table.Load()
	if t == nil || !slices.Contains(x.settings.Duties.Assigned, willowwick.DutyScale) {
		return nil
	}
	var services []willowwick.RoutedService
	for _, service := range t.Services {
		if service.Autoscaling != nil {
			services = append(services, service)
		}
	}
	return services
}

// addDemand returns the sum of two reports' demand; the others' demand counts as silent if they aren't live.
func addDemand(rows, others []DemandRow, isLive bool) []DemandRow {
	sum := slices.Clone(rows)
	for _, row := range others {
		if !isLive {
			row = row.asSilent()
		}
		at := slices.IndexFunc(sum, func(known DemandRow) bool { return known.Service == row.Service })
		if at < 0 {
			sum = append(sum, row)
			continue
		}
		sum[at].Running += row.Running
		sum[at].Waiting += row.Waiting
		sum[at].Silent += row.Silent
	}
	return sum
}

// asSilent returns the row with all its demand counted as silent.
func (r DemandRow) asSilent() DemandRow {
	return DemandRow{Service: r.Service, Silent: r.Running + r.Waiting + r.Silent}
}

// hallDemands returns the demand on a service by hall, without the halls that haven't reported.
func (p *peers) hallDemands(now time.Time, service willowwick.ServiceID) map[willowwick.HallID]autoscale.Demand {
	demands := map[willowwick.HallID]autoscale.Demand{}
	for _, hall := range p.hallReports(now) {
		age := time.Duration(hall.AgeMs) * time.Millisecond
		if age > silentPeerRetention {
			continue
		}
		var demand autoscale.Demand
		for _, row := range addDemand(nil, hall.Report.Demand, age <= p.hallReportMaxAge()) {
			if row.Service == service {
				demand = autoscale.Demand{Running: row.Running, Waiting: row.Waiting, Silent: row.Silent}
			}
		}
		demands[hall.Hall] = demand
	}
	return demands
}
