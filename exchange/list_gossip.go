package exchange

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// emptySum is the sum over a list without endpoints; 0 says that the sum is not known.
	emptyListSum = 1
	// wholeEvery is how often a box asks for a whole list at most: a narrow link takes a part of a second for a long one.
	wholeListInterval = 5 * time.Second
)

// EndpointList is the list of endpoints as one box passes it to another, or what changed in it.
type EndpointList struct {
	Endpoints []willowwick.Endpoint
	Gone      []willowwick.EndpointID // they went before Endpoints were listed; empty where the list is whole
	Since     willowwick.Position     // only changes after it are told; 0 if the list is whole
	Next      willowwick.Position
	From      willowwick.Position // where it last changed
	Told      time.Time           // by the clock of the box that passes it
}

// listedFrom is where the list that this box has last changed, up to where it knows all changes, and a sum over the list, 0 if
// it has changed since.
func (s *syncer) listPositions() (from, read willowwick.Position, sum uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasPendingChange {
		return s.changedAt, s.readTo, 0
	}
	return s.changedAt, s.readTo, s.listSum()
}

// listSum is a sum over the list by which two boxes see whether they list the same, 0 while entries have lapsed; the caller
// holds the lock.
func (s *syncer) listSum() uint64 {
	if len(s.lapsed) > 0 {
		return 0
	}
	if s.cachedListSum == 0 {
		s.cachedListSum = emptyListSum
		for _, endpoint := range s.listed {
			s.cachedListSum += entrySum(endpoint)
		}
	}
	return s.cachedListSum
}

// entrySum is the same for two entries of an endpoint that say the same of where and for what it is used.
func entrySum(endpoint willowwick.Endpoint) uint64 {
	return xxhash.Sum64String(fmt.Sprintf(
		"%s %s %s %s %t %d", endpoint.ID, endpoint.Address, endpoint.Service, endpoint.Release, endpoint.Leaving, endpoint.Incarnation,
	))
}

// wantsList reports whether this box asks another one for its whole list now: it reads the store for this one and lists other
// endpoints.
func (s *syncer) wantsWholeList(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.differsFromReader && s.readerAddress == address && now.Sub(s.wholeListAt) >= wholeListInterval
}

// listFor returns the list for a box that has an older one, or asks for it: what changed since, if the box takes that and it
// is known.
func (s *syncer) listForPeer(call *SwapCall) *EndpointList {
	// A box of an earlier release does not tell how far it has read.
	from := max(call.Digest.EndpointsFrom, call.Digest.EndpointsRead)
	s.mu.Lock()
	defer s.mu.Unlock()
	wantsWhole := call.WantsList && s.readTo >= from
	if !s.hasList || s.changedAt <= from && !wantsWhole {
		return nil
	}
	list := &EndpointList{Next: s.readTo, From: s.changedAt, Told: clock.Now()}
	changed, known := s.history.changedSince(from)
	if known && call.TakesChanges && !wantsWhole {
		list.Since = from
		s.addChanges(list, changed)
		return list
	}
	for id, endpoint := range s.listed {
		if s.isAdvertised(id) {
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
		case s.isAdvertised(id):
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
func (s *syncer) isAdvertised(id willowwick.EndpointID) bool {
	_, isLapsed := s.lapsed[id]
	return !isLapsed
}

// takeFromPeer takes what another box has read of the store.
func (s *syncer) applyPeerList(reply SwapReply, now time.Time) {
	s.mu.Lock()
	list := reply.Endpoints
	isNews := list != nil && s.hasUpdates(list, reply.Digest.Address)
	if isNews {
		// What the other box lists it has judged itself.
		for i, endpoint := range list.Endpoints {
			delete(s.removed, endpoint.ID)
			if !endpoint.ColdUntil.IsZero() {
				list.Endpoints[i].ColdUntil = now.Add(endpoint.ColdUntil.Sub(list.Told))
			}
		}
		s.applyChanges(willowwick.EndpointChanges{
			Whole: list.Since == 0, Present: list.Endpoints, Gone: list.Gone, Next: max(s.readTo, list.Next),
		}, now)
		s.assignChangePosition(max(s.changedAt, list.From))
		if list.Since == 0 {
			s.history.forgetUntil(list.From)
			s.differsFromReader, s.wholeListAt = false, now
		}
	}
	s.compareWithReader(&reply.Digest)
	asOf := now.Add(-time.Duration(reply.Digest.StoreAgeMs) * time.Millisecond)
	if s.hasList && reply.Digest.EndpointsFrom <= s.readTo && asOf.After(s.endpointsAsOf) {
		s.endpointsAsOf = asOf
	}
	if isNews {
		s.publishList()
	}
	s.mu.Unlock()
	s.router.noteWarm()
}

// isNews reports whether a list of another box holds changes beyond what this one has read, or is to take the place of its
// list. Of an endpoint that came and went up to there this box never knew, and would never hear that it went. The caller
// holds the lock.
func (s *syncer) hasUpdates(list *EndpointList, from string) bool {
	if list.Since == 0 && s.differsFromReader && s.readerAddress == from {
		return list.Next >= s.readTo
	}
	return list.From > s.readTo && list.Since <= s.readTo
}

// compare finds out whether the box that reads the store for this one has read as far and lists other endpoints. Two
// boxes may judge otherwise of an endpoint that was gone and came back, by how its heartbeats fell into their reads; changes
// alone never make that good. A box that reads for itself goes by nobody's judgement but its own. The caller holds the lock.
func (s *syncer) compareWithReader(digest *Digest) {
	sum := s.listSum()
	if digest.Address != s.readerAddress || digest.EndpointsRead < s.readTo || digest.EndpointsSum == 0 || sum == 0 {
		return
	}
	if differs := digest.EndpointsSum != sum; differs != s.differsFromReader {
		s.differsFromReader = differs
		slog.Info("list of endpoints compared with another box's", "peer", digest.Box, "differs", differs, "offset", s.changedAt)
	}
}
