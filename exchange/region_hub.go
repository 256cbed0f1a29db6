package exchange

import (
	"log/slog"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// Between two regions, gossip goes through one hub of each, its gateway to the other region: the first hub of the region in
// hub order that is not cut off from the other region. It spreads what it learns by gossip within its region.

const (
	// regionSearchTime is how long a gateway searches for a live box of another region before it counts as cut off.
	regionSearchTime = time.Second
	// hallReportHops is the number of gossip exchanges after which the report of a hall is known to all boxes of its
	// region.
	hallReportHops = 2
	// regionReportHops is the same for all boxes of all regions.
	regionReportHops = 4
)

// regionLink is what a hub knows of its way to another region.
type regionLink struct {
	searchingSince time.Time // zero while a box there is live, and on a hub that does not search for one
	isCutOff       bool      // no box there was live for regionSearchTime
}

// isInOtherRegion reports whether a hall lies in another region than this box.
func (p *peers) isInOtherRegion(hall willowwick.HallID) bool {
	return p.router.topology.Distance(hall) == willowwick.OtherRegion
}

// hearsOtherRegion reports whether a box of another region is live, which only those that exchange gossip with it know.
func (p *peers) hearsOtherRegion(now time.Time) bool {
	if !p.router.topology.HasRegions() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		if known.box.Hall != "" && p.isInOtherRegion(known.box.Hall) && known.isLive(now) {
			return true
		}
	}
	return false
}

// hallReportMaxAge returns up to which age the report of another hall counts as its present state.
func (p *peers) hallReportMaxAge() time.Duration {
	if p.router.topology.HasRegions() {
		return regionReportHops * peerLiveness
	}
	return hallReportHops * peerLiveness
}

// hallOf returns the hall of the box at an address, empty if it isn't known.
func (p *peers) hallOf(address string) willowwick.HallID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[address]; known != nil {
		return known.box.Hall
	}
	return ""
}

// regionTargets returns the addresses that a hub exchanges gossip with in other regions: the hub of each region, and some
// silent boxes that would precede it. A hub that is cut off from a region goes on searching while another one is the
// gateway. The caller holds the lock.
func (p *peers) regionTargets(now time.Time) []string {
	var targets []string
	for _, region := range p.otherRegions() {
		isThere := func(known *peer) bool {
			return known.box.Hall != "" && p.router.topology.Region(known.box.Hall) == region
		}
		hub, found := p.hubWhere(isThere, now)
		isGateway := p.isGatewayTo(region, now)
		link := p.updateLink(region, isGateway, found, now)
		if !isGateway && !link.isCutOff {
			continue
		}
		if found {
			targets = append(targets, hub.Address)
		}
		targets = append(targets, p.probeCandidatesWhere(isThere, hub, now)...)
	}
	return targets
}

// otherRegions lists the other regions in which boxes are known; the caller holds the lock.
func (p *peers) otherRegions() []willowwick.RegionID {
	var regions []willowwick.RegionID
	for _, hall := range p.knownHalls() {
		if region := p.router.topology.Region(hall); p.isInOtherRegion(hall) && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions
}

// isGatewayTo reports whether this hub is its region's gateway to another region: the first hub that is not cut off from
// it, or the first of all if each is. The caller holds the lock.
func (p *peers) isGatewayTo(region willowwick.RegionID, now time.Time) bool {
	self := p.self()
	isCutOff := p.links[region] != nil && p.links[region].isCutOff
	isFirst := true
	for _, hall := range p.knownHalls() {
		if hall == self.Hall || p.isInOtherRegion(hall) {
			continue
		}
		hub, found := p.hallHub(hall, now)
		if !found {
			continue
		}
		isOtherCutOff := slices.Contains(p.known[hub.Address].digest.CutOff, region)
		switch {
		case isCutOff && !isOtherCutOff:
			return false
		case isCutOff == isOtherCutOff && hub.precedes(self):
			isFirst = false
		}
	}
	return isFirst
}

// updateLink records whether a box of another region is live, and returns the link to it. The caller holds the lock.
func (p *peers) updateLink(region willowwick.RegionID, isGateway, isReached bool, now time.Time) *regionLink {
	link := p.links[region]
	if link == nil {
		link = &regionLink{}
		p.links[region] = link
	}
	switch {
	case isReached:
		if link.isCutOff {
			slog.Info("region is reached", "region", region)
		}
		*link = regionLink{}
	case isGateway && link.searchingSince.IsZero():
		link.searchingSince = now
	case isGateway && !link.isCutOff && now.Sub(link.searchingSince) > regionSearchTime:
		link.isCutOff = true
		slog.Info("region is not reached", "region", region, "ms", now.Sub(link.searchingSince).Milliseconds())
	case !isGateway && !link.isCutOff:
		link.searchingSince = time.Time{}
	}
	return link
}

// cutOffRegions lists the regions that this hub is cut off from.
func (p *peers) cutOffRegions() []willowwick.RegionID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var regions []willowwick.RegionID
	for region, link := range p.links {
		if link.isCutOff {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}
