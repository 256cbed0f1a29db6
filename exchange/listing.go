package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// emptySum is the sum over a list without endpoints; 0 says that the sum is not known.
	emptySum = 1
	// wholeEvery is how often a box asks for a whole list at most: of 3,000 endpoints it has some 450 KB, which a link of 20
	// Mbit/s passes in 0.2 s.
	wholeEvery = 5 * time.Second
)

// EndpointList is the list of endpoints as one box passes it to another, or what changed in it.
type EndpointList struct {
	Endpoints []willowwick.Endpoint
	Gone      []willowwick.EndpointID // they went before Endpoints were listed; empty where the list is whole
	Since     willowwick.Offset       // only changes after it are told; 0 if the list is whole
	Next      willowwick.Offset
	From      willowwick.Offset // where it last changed
	Told      time.Time         // by the clock of the box that passes it
}

// followEndpoints keeps the list of endpoints until the context ends.
func (s *syncer) followEndpoints(ctx context.Context) {
	var pause time.Duration // after the last read, if it failed
	for ctx.Err() == nil {
		if now := time.Now(); !s.mustRead(now) {
			s.dropLapsed(now)
			sleep(ctx, feedPoll)
			continue
		}
		asked := time.Now()
		changes, err := s.control.Endpoints(ctx, s.endpointsAt())
		if err != nil {
			pause = s.backOff(ctx, readEndpoints, pause, err)
			continue
		}
		pause = 0
		s.takeChanges(changes, asked, time.Now())
	}
}

// takeChanges takes what the store answered to a read of the list. It holds what was so when the read was asked for certain:
// the answer may have come in slowly.
func (s *syncer) takeChanges(changes willowwick.EndpointChanges, asked, now time.Time) {
	s.noteAnswer(readEndpoints, now)
	s.mu.Lock()
	s.asOf = latest(s.asOf, asked)
	s.apply(changes, now)
	if s.changed && s.next > s.changedAt {
		// Offsets compare between boxes: who has read up to here has all changes up to here.
		s.settle(s.next)
	}
	if changes.Whole {
		s.history.restart(s.next)
	}
	s.mu.Unlock()
	s.publish()
}

// settle says up to where the list's changes so far stand; the caller holds the lock.
func (s *syncer) settle(at willowwick.Offset) {
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

// listedFrom is where the list that this box has last changed, up to where it knows all changes, and a sum over the list, 0 if
// it has changed since.
func (s *syncer) listedFrom() (from, read willowwick.Offset, sum uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed {
		return s.changedAt, s.next, 0
	}
	return s.changedAt, s.next, s.listSum()
}

// listSum is a sum over the list by which two boxes see whether they list the same, 0 while entries have lapsed; the caller
// holds the lock.
func (s *syncer) listSum() uint64 {
	if len(s.lapsed) > 0 {
		return 0
	}
	if s.sum == 0 {
		s.sum = emptySum
		for _, endpoint := range s.listed {
			s.sum += entrySum(endpoint)
		}
	}
	return s.sum
}

// entrySum is the same for two entries of an endpoint that say the same of where and for what it is used.
func entrySum(endpoint willowwick.Endpoint) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %s %s %s %t", endpoint.ID, endpoint.Address, endpoint.Service, endpoint.Release, endpoint.Leaving))
}

// wantsList reports whether this box asks another one for its whole list now: it reads the store for this one and lists other
// endpoints.
func (s *syncer) wantsList(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.differs && s.fedBy == address && now.Sub(s.wholeAt) >= wholeEvery
}

// listFor returns the list for a box that has an older one, or asks for it: what changed since, if the box takes that and it
// is known.
func (s *syncer) listFor(call *SwapCall) *EndpointList {
	// A box of an earlier release does not tell how far it has read.
	from := max(call.Digest.EndpointsFrom, call.Digest.EndpointsRead)
	s.mu.Lock()
	defer s.mu.Unlock()
	wantsWhole := call.WantsList && s.next >= from
	if !s.known || s.changedAt <= from && !wantsWhole {
		return nil
	}
	list := &EndpointList{Next: s.next, From: s.changedAt, Told: time.Now()}
	changed, known := s.history.since(from)
	if known && call.TakesChanges && !wantsWhole {
		list.Since = from
		s.addChanges(list, changed)
		return list
	}
	for id, endpoint := range s.listed {
		if s.isPassedOn(id) {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// addChanges adds the endpoints that changed, and those that lapsed, to a list; the caller holds the lock.
func (s *syncer) addChanges(list *EndpointList, changed []willowwick.EndpointID) {
	for _, id := range changed {
		endpoint, isListed := s.listed[id]
		switch {
		case !isListed:
			list.Gone = append(list.Gone, id)
		case s.isPassedOn(id):
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	for id := range s.lapsed {
		list.Gone = append(list.Gone, id)
	}
}

// isPassedOn reports whether other boxes are told that an endpoint is listed. One whose entry has lapsed is not: a box that
// could not see the store either gives it time by itself, and one that could knows whether it is gone. The caller holds the
// lock.
func (s *syncer) isPassedOn(id willowwick.EndpointID) bool {
	_, isLapsed := s.lapsed[id]
	return !isLapsed
}

// takeFromPeer takes what another box has read of the store.
func (s *syncer) takeFromPeer(reply SwapReply, now time.Time) {
	s.mu.Lock()
	list := reply.Endpoints
	isNews := list != nil && s.isNews(list, reply.Digest.Address)
	if isNews {
		// What the other box lists it has judged itself.
		for i, endpoint := range list.Endpoints {
			delete(s.gone, endpoint.ID)
			if !endpoint.ColdUntil.IsZero() {
				list.Endpoints[i].ColdUntil = now.Add(endpoint.ColdUntil.Sub(list.Told))
			}
		}
		s.apply(willowwick.EndpointChanges{
			Whole: list.Since == 0, Present: list.Endpoints, Gone: list.Gone, Next: max(s.next, list.Next),
		}, now)
		s.settle(max(s.changedAt, list.From))
		if list.Since == 0 {
			s.history.restart(list.From)
			s.differs, s.wholeAt = false, now
		}
	}
	s.compare(&reply.Digest)
	asOf := now.Add(-time.Duration(reply.Digest.StoreAgeMs) * time.Millisecond)
	if s.known && reply.Digest.EndpointsFrom <= s.next && asOf.After(s.asOf) {
		s.asOf = asOf
	}
	s.mu.Unlock()
	if isNews {
		s.publish()
	}
}

// isNews reports whether a list of another box holds changes beyond what this one has read, or is to take the place of its
// list. Of an endpoint that came and went up to there this box never knew, and would never hear that it went. The caller
// holds the lock.
func (s *syncer) isNews(list *EndpointList, from string) bool {
	if list.Since == 0 && s.differs && s.fedBy == from {
		return list.Next >= s.next
	}
	return list.From > s.next && list.Since <= s.next
}

// compare finds out whether the box that reads the store for this one has read as far and lists other endpoints. Two
// boxes may judge otherwise of an endpoint that was gone and came back, by how its heartbeats fell into their reads; changes
// alone never make that good. A box that reads for itself goes by nobody's judgement but its own. The caller holds the lock.
func (s *syncer) compare(digest *Digest) {
	sum := s.listSum()
	if digest.Address != s.fedBy || digest.EndpointsRead < s.next || digest.EndpointsSum == 0 || sum == 0 {
		return
	}
	if differs := digest.EndpointsSum != sum; differs != s.differs {
		s.differs = differs
		slog.Info("list of endpoints compared with another box's", "peer", digest.Box, "differs", differs, "offset", s.changedAt)
	}
}

// apply takes changes of the list; the caller holds the lock.
func (s *syncer) apply(changes willowwick.EndpointChanges, now time.Time) {
	for _, id := range changes.Gone {
		// Another box may know it although this one does not: it came and went between two reads.
		s.history.note(id)
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
	s.dropOverdue(now)
	s.next, s.known = changes.Next, true
}

// dropLapsed drops the endpoints that did not come back in time, also on a box that is told of no changes meanwhile: each of
// its requests to one of them would be lost.
func (s *syncer) dropLapsed(now time.Time) {
	s.mu.Lock()
	dropped := s.dropOverdue(now)
	s.mu.Unlock()
	if dropped {
		s.publish()
	}
}

// dropOverdue drops the endpoints that did not come back in time, and reports whether there were any; the caller holds
// the lock.
func (s *syncer) dropOverdue(now time.Time) bool {
	before := len(s.lapsed)
	for id, until := range s.lapsed {
		if now.After(until) {
			s.drop(id, now)
		}
	}
	return len(s.lapsed) < before
}

// list takes the entry of an endpoint; the caller holds the lock.
func (s *syncer) list(endpoint willowwick.Endpoint, at willowwick.Offset) {
	old, known := s.listed[endpoint.ID]
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
	s.noteChange(id)
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
