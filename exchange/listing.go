package exchange

import (
	"context"
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
)

const (
	// listReadShare is the share of the time to drain an endpoint after which the list is read again, so that updates
	// reach the whole hall within half of that time.
	listReadShare = 0.3
	// storeDataShare is the share of it after which a box no longer relies on what another box reads for it.
	storeDataShare = 0.6
	// lapsedGrace is how long after an outage of the store endpoints whose entries lapsed during it are still used:
	// live ones are listed again within about two seconds.
	lapsedGrace = 2200 * time.Millisecond
	// lapsedReadInterval is how often a box that reads the store checks meanwhile whether they are back.
	lapsedReadInterval = 400 * time.Millisecond
)

// followEndpoints keeps the list of endpoints up to date until the context is done.
func (s *syncer) followEndpoints(ctx context.Context) {
	var pause time.Duration // after the last read, if it failed
	for ctx.Err() == nil {
		if now := clock.Now(); !s.mustReadList(now) {
			s.dropLapsed(now)
			clock.Sleep(ctx, readerPollInterval)
			continue
		}
		requestedAt := clock.Now()
		changes, err := s.control.Endpoints(ctx, s.listReadTo())
		if err != nil {
			pause = s.pauseAfterFailure(ctx, endpointsRead, pause, err)
			continue
		}
		pause = 0
		s.applyListRead(changes, requestedAt, clock.Now())
	}
}

// applyListRead applies the store's answer to a read of the list. The data counts as of the time of the request: the
// answer may have been slow.
func (s *syncer) applyListRead(changes willowwick.EndpointChanges, requestedAt, now time.Time) {
	s.noteAnswer(endpointsRead, now)
	s.noteEra(changes.Next, now, "endpoints")
	s.mu.Lock()
	if changes.Next.Era() < s.readTo.Era() {
		s.mu.Unlock()
		return // another box has reported a later era meanwhile
	}
	s.endpointsAsOf = latest(s.endpointsAsOf, requestedAt)
	s.applyChanges(changes, now)
	if s.hasPendingChange && s.readTo > s.changedAt {
		// Offsets are comparable between boxes: a box that has read up to here has all changes up to here.
		s.assignChangePosition(s.readTo)
	}
	if changes.Snapshot {
		s.history.forgetUntil(s.readTo)
	}
	s.publishList()
	s.mu.Unlock()
	s.router.signalWarm()
}

// assignChangePosition assigns the pending changes of the list to a position; the caller holds the lock.
func (s *syncer) assignChangePosition(at willowwick.Position) {
	s.changedAt, s.hasPendingChange = at, false
	s.history.assignPosition(at, s.listed)
}

// mustReadList reports whether this box has to read the list of endpoints now.
func (s *syncer) mustReadList(now time.Time) bool {
	limit := s.listReadInterval()
	if s.hasReader(now) {
		if s.mustKeepReading(endpointsRead, now) {
			return true
		}
		limit = s.router.maxStoreDataAge()
	} else if s.hasLapsedEntries() {
		limit = min(limit, lapsedReadInterval)
	}
	return s.endpointsAge(now) > limit
}

// listReadInterval returns the age of the list at which it is read again. Where one box reads for a region, its data takes
// one more gossip exchange to all boxes.
func (s *syncer) listReadInterval() time.Duration {
	interval := scale(s.router.settings.Drain, listReadShare)
	if s.router.readsForRegion() {
		interval -= s.router.gossipPeriod()
	}
	return interval
}

// hasLapsedEntries reports whether entries have lapsed that may come back.
func (s *syncer) hasLapsedEntries() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lapsed) > 0
}

// maxStoreDataAge returns up to which age other boxes rely on what a box has read.
func (x *Router) maxStoreDataAge() time.Duration {
	return scale(x.settings.Drain, storeDataShare)
}

func (s *syncer) hasEndpointList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasList
}

// listedEndpoint returns the listed entry of an endpoint.
func (s *syncer) listedEndpoint(id willowwick.EndpointID) (willowwick.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint, found := s.listed[id]
	return endpoint, found
}

func (s *syncer) listReadTo() willowwick.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readTo
}

// applyChanges applies changes of the list; the caller holds the lock.
func (s *syncer) applyChanges(changes willowwick.EndpointChanges, now time.Time) {
	for _, id := range changes.Gone {
		// Noted although the endpoint may be unknown here: it may have been added and removed between two reads, and
		// another box may know it.
		s.history.noteChange(id)
		s.removeEntry(id, now)
	}
	for _, id := range changes.Invalid {
		s.history.noteChange(id)
		if _, wasListed := s.listed[id]; wasListed {
			s.dropEntry(id, now)
			// It may be live: its next heartbeat is not a delayed one of a removed endpoint.
			delete(s.removed, id)
		}
	}
	present := map[willowwick.EndpointID]bool{}
	for _, endpoint := range changes.Present {
		if s.isFormerIncarnation(endpoint) {
			present[endpoint.ID] = true // the state of the newer incarnation remains valid
			continue
		}
		if s.isConfirmedLive(endpoint) {
			present[endpoint.ID] = true
			s.addEntry(endpoint, changes.Next)
		}
	}
	if changes.Snapshot {
		for id := range s.listed {
			if !present[id] {
				s.removeEntry(id, now)
			}
		}
	}
	s.dropExpired(now)
	s.readTo, s.hasList = changes.Next, true
}

// dropLapsed drops the endpoints that did not come back in time, also on a box that receives no changes meanwhile: each
// request sent to one of them would fail.
func (s *syncer) dropLapsed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropExpired(now) {
		s.publishList()
	}
}

// dropExpired drops the endpoints that did not come back in time, and reports whether there were any. Reads that were
// requested before the deadline may have missed an entry that came back in time. The caller holds the lock.
func (s *syncer) dropExpired(now time.Time) bool {
	before := len(s.lapsed)
	for id, until := range s.lapsed {
		if s.endpointsAsOf.After(until) || now.Sub(until) > s.router.maxStoreDataAge() {
			s.dropEntry(id, now)
		}
	}
	return len(s.lapsed) < before
}

// addEntry adds or updates the entry of an endpoint; the caller holds the lock.
func (s *syncer) addEntry(endpoint willowwick.Endpoint, at willowwick.Position) {
	old, known := s.listed[endpoint.ID]
	if endpoint.Incarnation == 0 {
		endpoint.Incarnation = old.Incarnation // a box of an earlier release doesn't report it
	}
	// Draining is final: an entry that arrives later and says otherwise was written before.
	endpoint.Leaving = endpoint.Leaving || old.Leaving
	// The time left counts from the read of the entry, so the first that was read is the closest.
	if isEarlier(old.LeavesAt, endpoint.LeavesAt) {
		endpoint.LeavesAt = old.LeavesAt
	}
	// Boxes that received the lapse of the entry drop the endpoint unless they receive its return.
	if !known || !s.isAdvertised(endpoint.ID) || !isSameEntry(old, endpoint) {
		s.noteChange(endpoint.ID)
	}
	if !known || old.Leaving != endpoint.Leaving {
		slog.Info("endpoint listed", "endpoint", endpoint.ID, "service", endpoint.Service, "hall", endpoint.Hall,
			"address", endpoint.Address, "release", endpoint.Release, "leaving", endpoint.Leaving, "offset", at)
	}
	if old.LeavesAt.IsZero() && !endpoint.LeavesAt.IsZero() {
		s.departing = append(s.departing, endpoint)
	}
	if endpoint.Spot && endpoint.Leaving && !old.Leaving && endpoint.LeavesAt.IsZero() {
		s.draining = append(s.draining, endpoint)
	}
	s.listed[endpoint.ID] = endpoint
	delete(s.lapsed, endpoint.ID)
}

// noteChange records that the entry of an endpoint was changed, added or removed; the caller holds the lock.
func (s *syncer) noteChange(id willowwick.EndpointID) {
	s.hasPendingChange, s.cachedListSum = true, 0
	s.history.noteChange(id)
}

// isConfirmedLive reports whether the entry of an endpoint counts. A delayed heartbeat of a removed endpoint may
// restore its entry; only a second one shows that the endpoint is live. The caller holds the lock.
func (s *syncer) isConfirmedLive(endpoint willowwick.Endpoint) bool {
	last, isGone := s.removed[endpoint.ID]
	switch {
	case !isGone:
		return true
	case endpoint.Beat <= last.heartbeat:
		return false
	case !last.seenAgain:
		s.removed[endpoint.ID] = removedEntry{heartbeat: endpoint.Beat, seenAgain: true}
		return false
	default:
		delete(s.removed, endpoint.ID)
		return true
	}
}

// isEarlier reports whether a time is set and not after the other one, which may be unset.
func isEarlier(at, other time.Time) bool {
	return !at.IsZero() && (other.IsZero() || at.Before(other))
}

// isSameEntry reports whether two entries of an endpoint are equivalent.
func isSameEntry(a, b willowwick.Endpoint) bool {
	isSame := a.Address == b.Address && a.Service == b.Service && a.Release == b.Release && a.Leaving == b.Leaving
	isSame = isSame && a.Incarnation == b.Incarnation
	isSame = isSame && a.LeavesAt.IsZero() == b.LeavesAt.IsZero()
	return isSame && !route.IsColdAgain(a.ColdUntil, b.ColdUntil)
}

// removeEntry drops an endpoint, or marks it as lapsed if its entry may have expired during an outage of the store; the
// caller holds the lock.
func (s *syncer) removeEntry(id willowwick.EndpointID, now time.Time) {
	if _, known := s.listed[id]; !known {
		return
	}
	if _, isLapsed := s.lapsed[id]; isLapsed {
		return
	}
	if !s.lastOutageAt.IsZero() && now.Sub(s.lastOutageAt) < lapsedGrace {
		s.lapsed[id] = s.lastOutageAt.Add(lapsedGrace)
		return
	}
	s.dropEntry(id, now)
}

func (s *syncer) dropEntry(id willowwick.EndpointID, now time.Time) {
	slog.Info("endpoint gone", "endpoint", id, "release", s.listed[id].Release, "store_failed_ms_ago", now.Sub(s.lastFailureAt).Milliseconds())
	s.router.conns.CloseIdle(s.listed[id].Address)
	s.removed[id] = removedEntry{heartbeat: s.listed[id].Beat}
	delete(s.listed, id)
	delete(s.lapsed, id)
	s.noteChange(id)
}

// publishList passes the list to the pool. The caller holds the lock, so that the box has no list that is not in use,
// and no older list replaces a newer one.
func (s *syncer) publishList() {
	list := make([]willowwick.Endpoint, 0, len(s.listed))
	for _, endpoint := range s.listed {
		list = append(list, endpoint)
	}
	s.router.pool.Update(list)
	if len(s.departing) > 0 {
		s.router.departures.notifyLeaving(s.departing, clock.Now())
		s.departing = nil
	}
	if len(s.draining) > 0 {
		s.router.departures.notifyDraining(s.draining)
		s.draining = nil
	}
}
