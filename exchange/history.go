package exchange

import "github.com/willowwick/willowwick"

// maxHistoryEntries is how many endpoints a history may hold before it drops removed ones: several times the number of
// endpoints of a large fleet.
const maxHistoryEntries = 4096

// listHistory records where the entries of a list of endpoints last changed, so that a box with an older list gets only
// these: the cost of an update depends on the change, not on the size of the list.
//
// A position is the one up to which the box had read as it saw the change: the change itself is there or before.
type listHistory struct {
	knownSince willowwick.Position // changes up to here are not known
	changedAt  map[willowwick.EndpointID]willowwick.Position
	pending    map[willowwick.EndpointID]bool // changed, at an offset that is not known yet
}

func newListHistory() *listHistory {
	return &listHistory{
		changedAt: map[willowwick.EndpointID]willowwick.Position{},
		pending:   map[willowwick.EndpointID]bool{},
	}
}

// noteChange records that an entry was changed, added or removed.
func (h *listHistory) noteChange(id willowwick.EndpointID) {
	h.pending[id] = true
}

// assignPosition assigns the pending changes to a position.
func (h *listHistory) assignPosition(at willowwick.Position, listed map[willowwick.EndpointID]willowwick.Endpoint) {
	for id := range h.pending {
		h.changedAt[id] = at
	}
	clear(h.pending)
	if len(h.changedAt) > maxHistoryEntries {
		h.forgetRemoved(listed)
	}
}

// forgetUntil drops the history up to a position: the whole list was read there, and endpoints that were added and
// removed between that read and the one before are not known.
func (h *listHistory) forgetUntil(begin willowwick.Position) {
	h.knownSince = max(h.knownSince, begin)
}

// forgetRemoved drops the entries of endpoints that are no longer listed.
func (h *listHistory) forgetRemoved(listed map[willowwick.EndpointID]willowwick.Endpoint) {
	for id, at := range h.changedAt {
		if _, isListed := listed[id]; !isListed {
			h.forgetUntil(at)
			delete(h.changedAt, id)
		}
	}
}

// changedSince lists the endpoints whose entries changed after a position; known is false if the history doesn't reach
// back to it.
func (h *listHistory) changedSince(from willowwick.Position) (ids []willowwick.EndpointID, known bool) {
	if from == 0 || from < h.knownSince {
		return nil, false
	}
	for id, at := range h.changedAt {
		if at > from {
			ids = append(ids, id)
		}
	}
	return ids, true
}
