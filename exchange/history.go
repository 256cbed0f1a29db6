package exchange

import "github.com/willowwick/willowwick"

// historyMost is how many endpoints a history may name before it forgets those that are gone: several times as many as a
// large fleet has.
const maxHistoryEntries = 4096

// listHistory is where the entries of a list of endpoints last changed, so that a box that has an older list is told of
// these alone: news of an endpoint cost what they say, and not the size of the list.
//
// Positions are those up to which the box had read as it saw the change: the change itself stands there or before.
type listHistory struct {
	knownSince willowwick.Position // what changed up to here is not known
	changedAt  map[willowwick.EndpointID]willowwick.Position
	pending    map[willowwick.EndpointID]bool // changed, at an offset that is not known yet
}

func newListHistory() *listHistory {
	return &listHistory{
		changedAt: map[willowwick.EndpointID]willowwick.Position{},
		pending:   map[willowwick.EndpointID]bool{},
	}
}

// note takes that an entry changed, came or went.
func (h *listHistory) noteChange(id willowwick.EndpointID) {
	h.pending[id] = true
}

// settle says up to where the changes noted since the last time stand.
func (h *listHistory) assignPosition(at willowwick.Position, listed map[willowwick.EndpointID]willowwick.Endpoint) {
	for id := range h.pending {
		h.changedAt[id] = at
	}
	clear(h.pending)
	if len(h.changedAt) > maxHistoryEntries {
		h.forgetRemoved(listed)
	}
}

// restart forgets what changed up to an offset: the whole list was read there, and of what came and went between that
// and the list before nothing is known.
func (h *listHistory) forgetUntil(begin willowwick.Position) {
	h.knownSince = max(h.knownSince, begin)
}

// forgetGone drops the entries of endpoints that are gone.
func (h *listHistory) forgetRemoved(listed map[willowwick.EndpointID]willowwick.Endpoint) {
	for id, at := range h.changedAt {
		if _, isListed := listed[id]; !isListed {
			h.forgetUntil(at)
			delete(h.changedAt, id)
		}
	}
}

// since lists the endpoints whose entries changed after an offset; known is false if the history does not reach back to it.
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
