package exchange

import (
	"time"

	"github.com/willowwick/willowwick"
)

// Where the settings name regions, one box of each reads the store for the region: the first in hub order among the readers
// of its halls. These take over what it has read, and read themselves once it is silent or cut off from the store, as the
// boxes of a hall do with theirs.

// minReadPeriods is the least interval between reads, in gossip periods, at which one box reads for a region: the interval
// is shortened by the time of one more gossip exchange, so a shorter one would save no reads.
const minReadPeriods = 2

// readsForRegion reports whether one box reads the store for a region, not for a hall only.
func (x *Router) readsForRegion() bool {
	listRead, longPoll := scale(x.settings.Drain, listReadShare), scale(x.settings.ConfigApplyLimit, longPollShare)
	return x.topology.HasRegions() && min(listRead, longPoll) >= minReadPeriods*x.gossipPeriod()
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
	reader, found := p.readerWhere(func(known *peer) bool {
		return known.box.Hall != "" && p.router.topology.Distance(known.box.Hall) == willowwick.SameRegion
	}, now)
	if !found || reads && p.self().precedes(reader) {
		return Digest{}, false
	}
	return p.known[reader.Address].digest, true
}
