package exchange

import (
	"time"

	"github.com/willowwick/willowwick"
)

// Where the settings name regions, one box of each reads the store for the region: the first in hub order among the readers
// of its halls. These take over what it has read, and read themselves once it is silent or cut off from the store, as the
// boxes of a hall do with theirs.

// minReadGossip is the least length of the intervals of reads, in gossip periods, at which one box reads for a region: the
// intervals are shortened, so that data is no older, and calls to the store have to become fewer all the same.
const minReadGossip = 2

// readsForRegion reports whether one box reads the store for a region, not for a hall only.
func (x *Router) readsForRegion() bool {
	listRead, longPoll := scale(x.settings.Drain, listReadShare), scale(x.settings.ConfigApplyLimit, longPollShare)
	return x.topology.HasRegions() && min(listRead, longPoll) >= minReadGossip*x.gossipPeriod()
}

// storeReader returns the digest of the box that reads the store for this one: the reader of its hall, or on that box the
// reader of the region. It is false if this box reads the store itself.
func (p *peers) storeReader(now time.Time) (Digest, bool) {
	if reader, found := p.reader(now); found || !p.router.readsForRegion() {
		return reader, found
	}
	reads := p.reachesStore(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	reader, found := p.firstBoxWhere(func(known *peer) bool {
		isNear := p.router.topology.Distance(known.box.Hall) == willowwick.SameRegion && known.box.Hall != ""
		return isNear && known.isLive(now) && !p.isCutOffFromStore(known, now)
	})
	if !found || reads && p.self().precedes(reader) {
		return Digest{}, false
	}
	return p.known[reader.Address].digest, true
}
