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
	// emptyListSum is the checksum of an empty list; 0 stands for an unknown checksum.
	emptyListSum = 1
	// wholeListInterval is the minimum time after a whole list has arrived before another one is requested: a long one
	// takes a part of a second on a narrow link.
	wholeListInterval = 5 * time.Second
)

// EndpointList is the list of endpoints as one box sends it to another, or the changes in it since a position.
type EndpointList struct {
	Endpoints []willowwick.Endpoint
	Gone      []willowwick.EndpointID // removed, or lapsed at the sender; applied before Endpoints; empty if the list is whole
	Since     willowwick.Position     // only changes after this position are included; 0 if the list is whole
	Next      willowwick.Position     // up to where the sender has read the store
	From      willowwick.Position     // where the sender's list last changed
	Told      time.Time               // when the list was made, by the sender's clock, as are the times in Endpoints
}

// listPositions returns where the list of this box last changed, up to where the box knows all changes, and the
// checksum of the list, 0 if it has changed since.
func (s *syncer) listPositions() (from, read willowwick.Position, sum uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasPendingChange {
		return s.changedAt, s.readTo, 0
	}
	return s.changedAt, s.readTo, s.listSum()
}

// listSum returns the checksum by which two boxes compare their lists. It is 0 while entries have lapsed, that is, are
// gone from the store but still used for lapsedGrace after an outage. The caller holds the lock.
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

// entrySum returns a checksum of the fields that determine where and for what an endpoint is used.
func entrySum(endpoint willowwick.Endpoint) uint64 {
	return xxhash.Sum64String(fmt.Sprintf(
		"%s %s %s %s %t %d", endpoint.ID, endpoint.Address, endpoint.Service, endpoint.Release, endpoint.Leaving, endpoint.Incarnation,
	))
}

// wantsWholeList reports whether this box requests the whole list of another one now: that one is its reader, and their
// lists differ.
func (s *syncer) wantsWholeList(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.differsFromReader && s.readerAddress == address && now.Sub(s.wholeListAt) >= wholeListInterval
}

// listForPeer returns the list for a box that has an older one or requests it: only the changes since, if they are
// known and the box accepts them.
func (s *syncer) listForPeer(call *SwapCall) *EndpointList {
	// A box of an earlier release doesn't report EndpointsRead.
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

// isAdvertised reports whether other boxes get the entry of an endpoint. A lapsed entry is not advertised: a box that
// couldn't reach the store either applies lapsedGrace itself, and a box that could knows whether the endpoint is gone.
// The caller holds the lock.
func (s *syncer) isAdvertised(id willowwick.EndpointID) bool {
	_, isLapsed := s.lapsed[id]
	return !isLapsed
}

// applyPeerList applies what another box has read from the store.
func (s *syncer) applyPeerList(reply SwapReply, now time.Time) {
	s.mu.Lock()
	list := reply.Endpoints
	hasUpdates := list != nil && s.hasUpdates(list, reply.Digest.Address)
	if hasUpdates {
		// The other box has already confirmed the endpoints that it lists.
		for i, endpoint := range list.Endpoints {
			delete(s.removed, endpoint.ID)
			if !endpoint.ColdUntil.IsZero() {
				list.Endpoints[i].ColdUntil = now.Add(endpoint.ColdUntil.Sub(list.Told))
			}
			if !endpoint.LeavesAt.IsZero() {
				list.Endpoints[i].LeavesAt = now.Add(endpoint.LeavesAt.Sub(list.Told))
			}
		}
		s.applyChanges(willowwick.EndpointChanges{
			Snapshot: list.Since == 0, Present: list.Endpoints, Gone: list.Gone, Next: max(s.readTo, list.Next),
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
	if hasUpdates {
		s.publishList()
	}
	s.mu.Unlock()
	s.router.signalWarm()
}

// hasUpdates reports whether another box's list holds changes beyond what this box has read, or is the whole list of
// its reader and replaces this box's, which differs. Older changes are ignored: they may list an endpoint that was added
// and removed before this box's read, and the box would never learn of the removal. The caller holds the lock.
func (s *syncer) hasUpdates(list *EndpointList, from string) bool {
	if list.Since == 0 && s.differsFromReader && s.readerAddress == from {
		return list.Next >= s.readTo
	}
	return list.From > s.readTo && list.Since <= s.readTo
}

// compareWithReader checks whether this box's reader, having read at least as far, lists other endpoints.
// Two boxes may decide differently on an endpoint that was removed and came back, depending on how its heartbeats fell
// into their reads; changes alone never correct that. A box that reads for itself relies on its own decisions only. The
// caller holds the lock.
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
