package exchange

import (
	"log/slog"

	"github.com/willowwick/willowwick"
)

// endpointIncarnations are the current incarnation of an endpoint and the one before. An endpoint may restart under the
// same ID: it has no state from before the restart, and nothing known about it applies any more.
type endpointIncarnations struct {
	current       willowwick.Incarnation
	former        willowwick.Incarnation // 0 if none is known
	formerDrained bool                   // that one ended by plan
}

// isFormerIncarnation records the incarnation in an entry, and reports whether it is the one before the newest known:
// its last heartbeats may be written late. The caller holds the lock.
func (s *syncer) isFormerIncarnation(entry willowwick.Endpoint) bool {
	known := s.incarnations[entry.ID]
	switch entry.Incarnation {
	case 0, known.current:
		return false
	case known.former:
		return true
	}
	s.forgetIncarnations()
	s.incarnations[entry.ID] = endpointIncarnations{current: entry.Incarnation, former: known.current, formerDrained: s.isDraining(entry.ID)}
	s.beginIncarnation(entry, known.current)
	return false
}

// isDraining reports whether the newest known incarnation of a listed endpoint is draining, by its entry or its own
// report. The caller holds the lock.
func (s *syncer) isDraining(id willowwick.EndpointID) bool {
	return s.listed[id].Leaving || s.router.pool.IsDraining(id)
}

// beginIncarnation drops the state of the former incarnation, if there was one; the caller holds the lock.
func (s *syncer) beginIncarnation(entry willowwick.Endpoint, former willowwick.Incarnation) {
	old, wasListed := s.listed[entry.ID]
	if _, isGone := s.removed[entry.ID]; isGone || wasListed {
		slog.Info("endpoint started again", "endpoint", entry.ID, "incarnation", entry.Incarnation, "former", former, "was_listed", wasListed)
	}
	delete(s.removed, entry.ID)
	delete(s.lapsed, entry.ID)
	if !wasListed {
		return
	}
	delete(s.listed, entry.ID)
	s.router.conns.CloseIdle(old.Address)
	if !s.incarnations[entry.ID].formerDrained {
		s.router.crashes.recordRestart(entry.ID, former)
	}
}

// forgetIncarnations drops the incarnations of endpoints that are no longer listed, once maxHistoryEntries are kept;
// the caller holds the lock.
func (s *syncer) forgetIncarnations() {
	if len(s.incarnations) < maxHistoryEntries {
		return
	}
	for id := range s.incarnations {
		if _, isListed := s.listed[id]; !isListed {
			delete(s.incarnations, id)
		}
	}
}

// hasRestarted reports whether an endpoint has restarted since this incarnation, which did not end by plan.
func (s *syncer) hasRestarted(endpoint willowwick.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.incarnations[endpoint.ID]
	return endpoint.Incarnation != 0 && known.former == endpoint.Incarnation && !known.formerDrained
}

// isReplaced reports whether another incarnation of an endpoint, or another endpoint, is known at its address.
func (s *syncer) isReplaced(endpoint willowwick.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.incarnations[endpoint.ID]; endpoint.Incarnation != 0 && known.current != endpoint.Incarnation && known.current != 0 {
		return true
	}
	for id, listed := range s.listed {
		if listed.Address == endpoint.Address && id != endpoint.ID {
			return true
		}
	}
	return false
}
