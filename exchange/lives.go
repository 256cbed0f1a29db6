package exchange

import (
	"log/slog"

	"github.com/willowwick/willowwick"
)

// endpointLife is the life that an endpoint is in, and the one before. An endpoint may start again under its id: it knows nothing of
// before then, and nothing that was known of it holds.
type endpointLife struct {
	current    willowwick.Incarnation
	former     willowwick.Incarnation // 0 if none is known
	formerLeft bool                   // that one ended by plan
}

// isFormerLife notes the life that an entry tells of, and reports whether it is the one before the newest that is known: its last
// heartbeats may be written late. The caller holds the lock.
func (s *syncer) isFormerLife(entry willowwick.Endpoint) bool {
	life := s.lives[entry.ID]
	switch entry.Incarnation {
	case 0, life.current:
		return false
	case life.former:
		return true
	}
	s.forgetLives()
	s.lives[entry.ID] = endpointLife{current: entry.Incarnation, former: life.current, formerLeft: s.leaves(entry.ID)}
	s.beginLife(entry, life.current)
	return false
}

// leaves reports whether the newest life of an endpoint that is in use leaves, by its entry or by what it said. The caller holds the lock.
func (s *syncer) leaves(id willowwick.EndpointID) bool {
	return s.listed[id].Leaving || s.router.pool.IsLeaving(id)
}

// beginLife forgets what was known of the life before, if there was one; the caller holds the lock.
func (s *syncer) beginLife(entry willowwick.Endpoint, former willowwick.Incarnation) {
	old, wasListed := s.listed[entry.ID]
	if _, isGone := s.gone[entry.ID]; isGone || wasListed {
		slog.Info("endpoint started again", "endpoint", entry.ID, "incarnation", entry.Incarnation, "former", former, "was_listed", wasListed)
	}
	delete(s.gone, entry.ID)
	delete(s.lapsed, entry.ID)
	if !wasListed {
		return
	}
	delete(s.listed, entry.ID)
	s.router.conns.CloseIdle(old.Address)
	if !s.lives[entry.ID].formerLeft {
		s.router.crashes.recordRestart(entry.ID, former)
	}
}

// forgetLives drops the lives of endpoints that are gone, where many are kept; the caller holds the lock.
func (s *syncer) forgetLives() {
	if len(s.lives) < historyMost {
		return
	}
	for id := range s.lives {
		if _, isListed := s.listed[id]; !isListed {
			delete(s.lives, id)
		}
	}
}

// hasStartedAgain reports whether an endpoint is in another life than this one, which did not end by plan.
func (s *syncer) hasStartedAgain(endpoint willowwick.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	life := s.lives[endpoint.ID]
	return endpoint.Incarnation != 0 && life.former == endpoint.Incarnation && !life.formerLeft
}
