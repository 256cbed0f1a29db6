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
	emptySum = 1
	// wholeEvery is how often a box asks for a whole list at most: a narrow link takes a part of a second for a long one.
	wholeEvery = 5 * time.Second
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
func (s *syncer) listedFrom() (from, read willowwick.Position, sum uint64) {
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
	return xxhash.Sum64String(fmt.Sprintf(
		"%s %s %s %s %t %d", endpoint.ID, endpoint.Address, endpoint.Service, endpoint.Release, endpoint.Leaving, endpoint.Incarnation,
	))
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
	list := &EndpointList{Next: s.next, From: s.changedAt, Told: clock.Now()}
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
			Snapshot: list.Since == 0, Present: list.Endpoints, Gone: list.Gone, Next: max(s.next, list.Next),
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
	if isNews {
		s.publish()
	}
	s.mu.Unlock()
	s.router.noteWarm()
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
