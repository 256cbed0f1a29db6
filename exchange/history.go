package exchange

import "github.com/willowwick/willowwick"

// maxHistoryEntries is how many endpoints a history may hold before it drops removed ones: several times the number of
// endpoints of a large fleet.
const maxHistoryEntries = 4096

// listHistory records at which position in the store each entry of a list of endpoints last changed, so that a box with
// an older list gets only the changed entries: the cost of an update depends on the change, not on the size of the list.
//
// The position recorded for a change is the one up to which the box had read when it saw the change; the store may hold
// the change itself at an earlier one.
type listHistory struct {
	knownSince willowwick.Position // changes up to this position are not known
	changedAt  map[willowwick.EndpointID]willowwick.Position
	pending    map[willowwick.EndpointID]bool // changed, at a position that is not known yet
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

// forgetUntil records that not all changes up to a position are known: after a whole list was read there, endpoints that
// were added and removed since the read before are missing.
func (h *listHistory) forgetUntil(position willowwick.Position) {
	h.knownSince = max(h.knownSince, position)
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
