package exchange

import (
	"log/slog"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

// Between regions, gossip goes through one hub of each: the first hub of the region in hub order that is not cut off from
// the other region. The other hubs of the region pass on what it has learnt, and take its place in hub order.

const (
	// regionSearchTime is how long a hub searches for a live box of another region before another hub of its own region
	// takes its place, after those boxes have been silent for peerLiveness.
	regionSearchTime = time.Second
	// hallReportHops is the number of gossip exchanges after which the report of a hall of the same region is known to
	// all boxes, and regionReportHops the same between regions.
	hallReportHops, regionReportHops = 2, 4
)

// regionLink is what a hub knows of its way to another region.
type regionLink struct {
	searchingSince time.Time // zero while a box there is live, and on a hub that doesn't have to search
	isCutOff       bool      // no box was live for regionSearchTime
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
// silent boxes that would precede it. A hub that is cut off from a region goes on searching while another one carries.
// The caller holds the lock.
func (p *peers) regionTargets(now time.Time) []string {
	var targets []string
	for _, region := range p.otherRegions() {
		isThere := func(known *peer) bool {
			return known.box.Hall != "" && p.router.topology.Region(known.box.Hall) == region
		}
		hub, found := p.firstBoxWhere(func(known *peer) bool {
			return isThere(known) && known.isLive(now) && !p.isCutOffFromStore(known, now)
		})
		if !found {
			hub, found = p.firstBoxWhere(func(known *peer) bool { return isThere(known) && known.isLive(now) })
		}
		carries := p.carries(region, now)
		link := p.updateLink(region, carries, found, now)
		if !carries && !link.isCutOff {
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

// carries reports whether this hub is the one of its region that exchanges gossip with another region: the first that is
// not cut off from it, or the first of all if each is. The caller holds the lock.
func (p *peers) carries(region willowwick.RegionID, now time.Time) bool {
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

// updateLink records whether a box of another region is live, which this hub carries gossip to or not. The caller holds
// the lock.
func (p *peers) updateLink(region willowwick.RegionID, carries, isReached bool, now time.Time) *regionLink {
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
	case carries && link.searchingSince.IsZero():
		link.searchingSince = now
	case carries && !link.isCutOff && now.Sub(link.searchingSince) > regionSearchTime:
		link.isCutOff = true
		slog.Info("region is not reached", "region", region, "ms", now.Sub(link.searchingSince).Milliseconds())
	case !carries && !link.isCutOff:
		link.searchingSince = time.Time{}
	}
	return link
}

// cutOffRegions lists the regions that this hub has called in vain.
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
