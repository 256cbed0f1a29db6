package exchange

import (
	"net/http"
	"slices"
	"strings"

	"github.com/willowwick/willowwick"
)

const (
	// maxMissesPerHall is the number of unreachable endpoints of one hall after which a request prefers other
	// halls: a whole hall may fail at once, while its endpoints stay listed for some seconds.
	maxMissesPerHall = 2
	// maxMissesPerRegion is the same for one region, so that a request leaves a region that has failed with most of
	// its sends left.
	maxMissesPerRegion = 3
	// restrictedQueueInfix separates the service from the allowed regions in the name of a queue.
	restrictedQueueInfix = " in "
)

type (
	// allowedRegions are the regions in which a request may be served by its route and its client account; an empty list
	// allows all.
	allowedRegions struct {
		table   *table // the configuration that names them
		route   []willowwick.RegionID
		account []willowwick.RegionID
	}

	// misses counts a request's endpoints that were not reached at their listed address.
	misses struct {
		topology willowwick.Topology
		byHall   map[willowwick.HallID]int
		byRegion map[willowwick.RegionID]int
	}
)

// topology returns where the box is and in which regions the halls are.
func (s Settings) topology() willowwick.Topology {
	return willowwick.Topology{Hall: s.Hall, Regions: s.Regions}
}

// allows reports whether the request may be sent to the endpoint: its hall lies in an allowed region, and it has the
// chosen release and, as far as is known, the model.
func (c *call) allows(endpoint willowwick.Endpoint) bool {
	return c.choice.allows(endpoint) && c.allowsHall(endpoint.Hall) && !c.lacksModel(endpoint)
}

// allowsFallback is allows for a request for which no endpoint has the chosen release.
func (c *call) allowsFallback(endpoint willowwick.Endpoint) bool {
	return c.choice.allowsFallback(endpoint) && c.allowsHall(endpoint.Hall) && !c.lacksModel(endpoint)
}

// allowsHall reports whether the newest configuration allows the request to be served in a hall.
func (c *call) allowsHall(hall willowwick.HallID) bool {
	allowed, topology := c.allowedRegions(), c.router.topology
	return topology.IsIn(hall, allowed.route) && topology.IsIn(hall, allowed.account)
}

// allowedRegions returns the regions of the request by the newest configuration.
func (c *call) allowedRegions() allowedRegions {
	newest := c.router.table.Load()
	if newest == nil || !newest.restrictsRegions {
		return allowedRegions{}
	}
	if c.regions.table != newest {
		c.regions = newest.regionsFor(c.route, c.account)
	}
	return c.regions
}

// isRestricted reports whether the request may be served, cached and stored in some regions only.
func (c *call) isRestricted() bool {
	allowed := c.allowedRegions()
	return len(allowed.route) > 0 || len(allowed.account) > 0
}

// loggedTarget returns what is logged of the target of a request that is refused on arrival. If any route or client
// account is restricted to some regions, that is only the prefix of the request's route, or nothing if it has no route.
func (x *Router) loggedTarget(r *http.Request) string {
	t := x.table.Load()
	if t == nil || !t.restrictsRegions {
		return r.RequestURI
	}
	_, path := requestTarget(r)
	if found := t.findRoute(r.Host, path); found != nil {
		return found.Prefix
	}
	return ""
}

// regionsFor returns the regions in which a request may be served. Its route and its client account, nil if it has none,
// may be of an older configuration; if this one lacks them, their regions apply unchanged.
func (t *table) regionsFor(route *willowwick.Route, account *willowwick.RoutedAccount) allowedRegions {
	allowed := allowedRegions{table: t, route: route.Regions}
	at := slices.IndexFunc(t.Routes, func(r willowwick.Route) bool { return r.Name == route.Name })
	if at >= 0 {
		allowed.route = t.Routes[at].Regions
	}
	if account == nil {
		return allowed
	}
	allowed.account = account.Regions
	at = slices.IndexFunc(t.Accounts, func(a willowwick.RoutedAccount) bool { return a.Name == account.Name })
	if at >= 0 {
		allowed.account = t.Accounts[at].Regions
	}
	return allowed
}

// queueName names the queue that the request waits in. Each set of allowed regions has a queue of its own, so that requests
// don't wait behind those for other endpoints.
func (c *call) queueName() string {
	if !c.isRestricted() {
		return string(c.service)
	}
	var allowed []string
	for hall, region := range c.router.topology.Regions {
		if c.allowsHall(hall) && !slices.Contains(allowed, string(region)) {
			allowed = append(allowed, string(region))
		}
	}
	slices.Sort(allowed)
	return string(c.service) + restrictedQueueInfix + strings.Join(allowed, "+")
}

// isQueueOf reports whether requests for a service wait in the queue of a name, which queueName returned.
func isQueueOf(queue string, service willowwick.ServiceID) bool {
	return queue == string(service) || strings.HasPrefix(queue, string(service)+restrictedQueueInfix)
}

// record counts an endpoint of a hall that was not reached.
func (m *misses) record(topology willowwick.Topology, hall willowwick.HallID) {
	if m.byHall == nil {
		m.topology, m.byHall, m.byRegion = topology, map[willowwick.HallID]int{}, map[willowwick.RegionID]int{}
	}
	m.byHall[hall]++
	m.byRegion[topology.Region(hall)]++
}

// preferences returns which halls a request prefers after its misses, the best choice first; none if there were no misses.
func (m *misses) preferences() []func(willowwick.HallID) bool {
	if len(m.byHall) == 0 {
		return nil
	}
	hallHasFew := func(hall willowwick.HallID) bool { return m.byHall[hall] < maxMissesPerHall }
	if !m.topology.HasRegions() {
		return []func(willowwick.HallID) bool{hallHasFew}
	}
	regionHasFew := func(hall willowwick.HallID) bool {
		return hallHasFew(hall) && m.byRegion[m.topology.Region(hall)] < maxMissesPerRegion
	}
	return []func(willowwick.HallID) bool{regionHasFew, hallHasFew}
}
