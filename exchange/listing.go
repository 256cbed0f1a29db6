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
	// endpointsShare is the part of the time to leave an endpoint after which the list is read again, so that its news are
	// with the whole hall within half of it.
	endpointsShare = 0.3
	// reliedShare is the part of it after which a box no longer relies on what another box reads for it.
	reliedShare = 0.6
	// returnGrace is how long endpoints whose entries lapsed while the store was away are still used after its
	// return: they are back within about two seconds if they live.
	returnGrace = 2200 * time.Millisecond
	// lapsedEvery is how often a box that reads the store looks meanwhile whether they are back.
	lapsedEvery = 400 * time.Millisecond
)

// followEndpoints keeps the list of endpoints until the context ends.
func (s *syncer) followEndpoints(ctx context.Context) {
	var pause time.Duration // after the last read, if it failed
	for ctx.Err() == nil {
		if now := clock.Now(); !s.mustRead(now) {
			s.dropLapsed(now)
			sleep(ctx, feedPoll)
			continue
		}
		asked := clock.Now()
		changes, err := s.control.Endpoints(ctx, s.endpointsAt())
		if err != nil {
			pause = s.backOff(ctx, readEndpoints, pause, err)
			continue
		}
		pause = 0
		s.takeChanges(changes, asked, clock.Now())
	}
}

// takeChanges takes what the store answered to a read of the list. It holds what was so when the read was asked for certain:
// the answer may have come in slowly.
func (s *syncer) takeChanges(changes willowwick.EndpointChanges, asked, now time.Time) {
	s.noteAnswer(readEndpoints, now)
	s.noteEra(changes.Next, now, "endpoints")
	s.mu.Lock()
	if changes.Next.Era() < s.next.Era() {
		s.mu.Unlock()
		return // another box has told of a later era meanwhile
	}
	s.asOf = latest(s.asOf, asked)
	s.apply(changes, now)
	if s.changed && s.next > s.changedAt {
		// Offsets compare between boxes: who has read up to here has all changes up to here.
		s.settle(s.next)
	}
	if changes.Whole {
		s.history.restart(s.next)
	}
	s.publish()
	s.mu.Unlock()
	s.router.signalWarm()
}

// settle says up to where the list's changes so far stand; the caller holds the lock.
func (s *syncer) settle(at willowwick.Position) {
	s.changedAt, s.changed = at, false
	s.history.settle(at, s.listed)
}

// mustRead reports whether this box has to read the list of endpoints now.
func (s *syncer) mustRead(now time.Time) bool {
	limit := scale(s.router.settings.Drain, endpointsShare)
	if s.isFed(now) {
		if s.mustRegain(readEndpoints, now) {
			return true
		}
		limit = s.router.reliedLimit()
	} else if s.awaitsReturns() {
		limit = min(limit, lapsedEvery)
	}
	return s.endpointsAge(now) > limit
}

// awaitsReturns reports whether entries have lapsed that may come back.
func (s *syncer) awaitsReturns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lapsed) > 0
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

// entry is what is known of an endpoint that is listed.
func (s *syncer) entry(id willowwick.EndpointID) (willowwick.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint, found := s.listed[id]
	return endpoint, found
}

func (s *syncer) endpointsAt() willowwick.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// apply takes changes of the list; the caller holds the lock.
func (s *syncer) apply(changes willowwick.EndpointChanges, now time.Time) {
	for _, id := range changes.Gone {
		// Another box may know it although this one does not: it came and went between two reads.
		s.history.note(id)
		s.endpointGone(id, now)
	}
	for _, id := range changes.Unnamed {
		s.history.note(id)
		if _, wasListed := s.listed[id]; wasListed {
			s.drop(id, now)
			// It may live, and its next heartbeat is no late one of an endpoint that went.
			delete(s.gone, id)
		}
	}
	present := map[willowwick.EndpointID]bool{}
	for _, endpoint := range changes.Present {
		if s.isFormerLife(endpoint) {
			present[endpoint.ID] = true // what the newer life said holds on
			continue
		}
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
	s.dropOverdue(now)
	s.next, s.known = changes.Next, true
}

// dropLapsed drops the endpoints that did not come back in time, also on a box that is told of no changes meanwhile: each of
// its requests to one of them would be lost.
func (s *syncer) dropLapsed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropOverdue(now) {
		s.publish()
	}
}

// dropOverdue drops the endpoints that did not come back in time, and reports whether there were any; the caller holds
// the lock. An entry that came back in time may have been missed by all reads that were asked before.
func (s *syncer) dropOverdue(now time.Time) bool {
	before := len(s.lapsed)
	for id, until := range s.lapsed {
		if s.asOf.After(until) || now.Sub(until) > s.router.reliedLimit() {
			s.drop(id, now)
		}
	}
	return len(s.lapsed) < before
}

// list takes the entry of an endpoint; the caller holds the lock.
func (s *syncer) list(endpoint willowwick.Endpoint, at willowwick.Position) {
	old, known := s.listed[endpoint.ID]
	if endpoint.Incarnation == 0 {
		endpoint.Incarnation = old.Incarnation // a box of an earlier release does not tell it
	}
	// Leaving is for good: a later entry that says otherwise was written before.
	endpoint.Leaving = endpoint.Leaving || old.Leaving
	// Boxes that were told that it lapsed have dropped it, or will, unless they are told that it is back.
	if !known || !s.isPassedOn(endpoint.ID) || !sameEntry(old, endpoint) {
		s.noteChange(endpoint.ID)
	}
	if !known || old.Leaving != endpoint.Leaving {
		slog.Info("endpoint listed", "endpoint", endpoint.ID, "service", endpoint.Service, "hall", endpoint.Hall,
			"address", endpoint.Address, "release", endpoint.Release, "leaving", endpoint.Leaving, "offset", at)
	}
	s.listed[endpoint.ID] = endpoint
	delete(s.lapsed, endpoint.ID)
}

// noteChange notes that the entry of an endpoint changed, came or went; the caller holds the lock.
func (s *syncer) noteChange(id willowwick.EndpointID) {
	s.changed, s.sum = true, 0
	s.history.note(id)
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
	isSame = isSame && a.Incarnation == b.Incarnation
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
	s.router.conns.CloseIdle(s.listed[id].Address)
	s.gone[id] = goneEntry{beat: s.listed[id].Beat}
	delete(s.listed, id)
	delete(s.lapsed, id)
	s.noteChange(id)
}

// publish gives the list to the pool; the caller holds the lock, so that the box has no list that is not in use, and none
// takes the place of a newer one.
func (s *syncer) publish() {
	list := make([]willowwick.Endpoint, 0, len(s.listed))
	for _, endpoint := range s.listed {
		list = append(list, endpoint)
	}
	s.router.pool.Update(list)
}
