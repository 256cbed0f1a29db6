package exchange

import (
	"context"
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/route"
)

const (
	// endpointsShare is the part of the time to leave an endpoint after which the list is read again, so that its news are
	// with the whole hall within half of it.
	endpointsShare = 0.3
	// reliedShare is the part of it after which a box no longer relies on what another box reads for it.
	reliedShare = 0.6
	// returnGrace is how long endpoints whose entries lapsed while the store was away are still used after its
	// return: they are back within about two seconds if they live.
	returnGrace = 2200 * time.Millisecond
)

// EndpointList is the list of endpoints as one box passes it to another.
type EndpointList struct {
	Endpoints []willowwick.Endpoint
	Next      willowwick.Offset
	From      willowwick.Offset // where it last changed
	Told      time.Time         // by the clock of the box that passes it
}

// followEndpoints keeps the list of endpoints until the context ends.
func (s *syncer) followEndpoints(ctx context.Context) {
	var pause time.Duration // after the last read, if it failed
	for ctx.Err() == nil {
		if !s.mustRead(time.Now()) {
			sleep(ctx, feedPoll)
			continue
		}
		changes, err := s.control.Endpoints(ctx, s.endpointsAt())
		if err != nil {
			pause = s.backOff(ctx, readEndpoints, pause, err)
			continue
		}
		pause = 0
		s.takeChanges(changes, time.Now())
	}
}

// takeChanges takes what the store answered to a read of the list.
func (s *syncer) takeChanges(changes willowwick.EndpointChanges, now time.Time) {
	s.noteAnswer(readEndpoints, now)
	s.mu.Lock()
	s.asOf = now
	s.apply(changes, now)
	s.mu.Unlock()
	s.publish()
}

// mustRead reports whether this box has to read the list of endpoints now.
func (s *syncer) mustRead(now time.Time) bool {
	limit := scale(s.router.settings.Drain, endpointsShare)
	if s.isFed(now) {
		if s.mustRegain(readEndpoints, now) {
			return true
		}
		limit = s.router.reliedLimit()
	}
	return s.storeAge(now) > limit
}

// reliedLimit is how old what a box has read may be for others to rely on it.
func (x *Router) reliedLimit() time.Duration {
	return scale(x.settings.Drain, reliedShare)
}

func (s *syncer) hasEndpoints() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

func (s *syncer) endpointsAt() willowwick.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// listedFrom is where the list that this box has last changed.
func (s *syncer) listedFrom() willowwick.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedAt
}

// listFor returns the list for a box that has an older one.
func (s *syncer) listFor(from willowwick.Offset) *EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || s.changedAt <= from {
		return nil
	}
	list := &EndpointList{Next: s.next, From: s.changedAt, Told: time.Now()}
	for id, endpoint := range s.listed {
		// A box that could not see the store either gives it time by itself; one that could knows whether it is gone.
		if _, waits := s.lapsed[id]; !waits {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// takeFromPeer takes what another box has read of the store.
func (s *syncer) takeFromPeer(reply SwapReply, now time.Time) {
	s.mu.Lock()
	list := reply.Endpoints
	isNews := list != nil && list.From > s.changedAt
	if isNews {
		// What the other box lists it has judged itself.
		for i, endpoint := range list.Endpoints {
			delete(s.gone, endpoint.ID)
			if !endpoint.ColdUntil.IsZero() {
				list.Endpoints[i].ColdUntil = now.Add(endpoint.ColdUntil.Sub(list.Told))
			}
		}
		s.apply(willowwick.EndpointChanges{Whole: true, Present: list.Endpoints, Next: max(s.next, list.Next)}, now)
		s.changedAt, s.changed = list.From, false
	}
	asOf := now.Add(-time.Duration(reply.Digest.StoreAgeMs) * time.Millisecond)
	if s.known && reply.Digest.EndpointsFrom <= s.changedAt && asOf.After(s.asOf) {
		s.asOf = asOf
	}
	s.mu.Unlock()
	if isNews {
		s.publish()
	}
}

// apply takes changes of the list; the caller holds the lock.
func (s *syncer) apply(changes willowwick.EndpointChanges, now time.Time) {
	for _, id := range changes.Gone {
		s.endpointGone(id, now)
	}
	present := map[willowwick.EndpointID]bool{}
	for _, endpoint := range changes.Present {
		if s.isBack(endpoint) {
			present[endpoint.ID] = true
			s.list(endpoint, changes.Next)
		}
	}
	if changes.Whole {
		for id := range s.listed {
			if !present[id] {
				s.endpointGone(id, now)
			}
		}
	}
	for id, until := range s.lapsed {
		if now.After(until) {
			s.drop(id, now)
		}
	}
	s.next, s.known = changes.Next, true
	if s.changed && s.next > s.changedAt {
		// Offsets compare between boxes: who has read up to here has all changes up to here.
		s.changedAt, s.changed = s.next, false
	}
}

// list takes the entry of an endpoint; the caller holds the lock.
func (s *syncer) list(endpoint willowwick.Endpoint, at willowwick.Offset) {
	old, known := s.listed[endpoint.ID]
	// Leaving is for good: a later entry that says otherwise was written before.
	endpoint.Leaving = endpoint.Leaving || old.Leaving
	if !known || !sameEntry(old, endpoint) {
		s.changed = true
	}
	if !known || old.Leaving != endpoint.Leaving {
		slog.Info("endpoint listed", "endpoint", endpoint.ID, "service", endpoint.Service, "hall", endpoint.Hall,
			"address", endpoint.Address, "release", endpoint.Release, "leaving", endpoint.Leaving, "offset", at)
	}
	s.listed[endpoint.ID] = endpoint
	delete(s.lapsed, endpoint.ID)
}

// isBack reports whether the entry of an endpoint counts. One that is gone may still have a heartbeat on its way, which
// brings its entry back; only a second one after it shows that the endpoint lives. The caller holds the lock.
func (s *syncer) isBack(endpoint willowwick.Endpoint) bool {
	last, isGone := s.gone[endpoint.ID]
	switch {
	case !isGone:
		return true
	case endpoint.Beat <= last.beat:
		return false
	case !last.again:
		s.gone[endpoint.ID] = goneEntry{beat: endpoint.Beat, again: true}
		return false
	default:
		delete(s.gone, endpoint.ID)
		return true
	}
}

// sameEntry reports whether two entries of an endpoint say the same.
func sameEntry(a, b willowwick.Endpoint) bool {
	isSame := a.Address == b.Address && a.Service == b.Service && a.Release == b.Release && a.Leaving == b.Leaving
	return isSame && !route.IsColdAgain(a.ColdUntil, b.ColdUntil)
}

// endpointGone drops an endpoint, or gives it time to come back if its entry may have lapsed with the store away.
func (s *syncer) endpointGone(id willowwick.EndpointID, now time.Time) {
	if _, known := s.listed[id]; !known {
		return
	}
	if _, waits := s.lapsed[id]; waits {
		return
	}
	if !s.blindAt.IsZero() && now.Sub(s.blindAt) < returnGrace {
		s.lapsed[id] = s.blindAt.Add(returnGrace)
		return
	}
	s.drop(id, now)
}

func (s *syncer) drop(id willowwick.EndpointID, now time.Time) {
	slog.Info("endpoint gone", "endpoint", id, "release", s.listed[id].Release, "store_failed_ms_ago", now.Sub(s.failedAt).Milliseconds())
	s.router.conns.Drop(s.listed[id].Address)
	s.gone[id] = goneEntry{beat: s.listed[id].Beat}
	delete(s.listed, id)
	delete(s.lapsed, id)
	s.changed = true
}

// publish gives the list to the pool.
func (s *syncer) publish() {
	s.mu.Lock()
	list := make([]willowwick.Endpoint, 0, len(s.listed))
	for _, endpoint := range s.listed {
		list = append(list, endpoint)
	}
	s.mu.Unlock()
	s.router.pool.Update(list)
	s.router.noteWarm()
}
