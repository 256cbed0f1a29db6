package exchange

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// declarationsWait is how long the store may hold a read of the declarations: a call lasts until something changes.
	declarationsWait = 20 * time.Second
	// endpointsShare is the part of the time to leave an endpoint after which the list is read again: what a reader finds is with its hall within half of it, swaps included.
	endpointsShare = 0.3
	// reliedShare is the part of it after which a box no longer relies on what another box reads for it.
	reliedShare = 0.6
	// feedPoll is how often a box looks whether it has to read for itself.
	feedPoll = 100 * time.Millisecond
	// retryFirst and retryMost bound the pauses between reads that fail.
	retryFirst = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// retryBehind takes its place on boxes that hear from one of their hall with a lower address: that one finds the
	// store back first, and reads for them.
	retryBehind = 2 * time.Second
	// staleAfter is how long after the last answer of the store what it holds may have changed unseen.
	staleAfter = 2 * time.Second
	// returnGrace is how long endpoints whose entries lapsed while the store was away are still used after its
	// return: they are back within about two seconds if they live.
	returnGrace = 2200 * time.Millisecond
	// joinEvery is how often the box renews its place in the group: thrice within the time to live.
	joinEvery = time.Second
	// membersEvery is how often the group is listed where its generation has not changed.
	membersEvery = 10 * time.Second
	// leadEvery is how often the box that leads looks for states to write.
	leadEvery = 300 * time.Millisecond
)

// syncer keeps what the store holds: declarations, endpoints, the group and states of roll-outs.
type syncer struct {
	router  *Router
	control willowwick.Control

	mu          sync.Mutex
	listed      map[willowwick.EndpointID]willowwick.Endpoint
	next        willowwick.Offset // of the list of endpoints
	known       bool              // the list was read
	answeredAt  time.Time         // last answer of the store to this box
	asOf        time.Time         // from when what is known of the store is, read here or by another box
	changedAt   willowwick.Offset // where the list last changed in more than heartbeats
	changed     bool              // it changed since, at an offset that is not known yet
	failedAt    time.Time         // last read that failed
	unreachable bool
	lapsed      map[willowwick.EndpointID]time.Time // when an entry that is gone ends to count
	wake        context.CancelFunc                  // of the read that the store holds

	fedBy      string // address of the box that reads the store for this one; empty if it does so itself
	generation uint64
	joined     bool // this box is in the group, as far as it knows
	leads      bool
}

func newSyncer(x *Router, control willowwick.Control) *syncer {
	return &syncer{
		router: x, control: control,
		listed: map[willowwick.EndpointID]willowwick.Endpoint{},
		lapsed: map[willowwick.EndpointID]time.Time{},
	}
}

// isStale reports whether what the store holds may have changed unseen.
func (s *syncer) isStale(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.asOf) > staleAfter
}

// readAge is how long ago the store last answered this box itself.
func (s *syncer) readAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.answeredAt)
}

func (s *syncer) hasEndpoints() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// storeAge is how old what this box knows of the store is.
func (s *syncer) storeAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.asOf)
}

// listedFrom is where the list that this box has last changed.
func (s *syncer) listedFrom() willowwick.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedAt
}

func (s *syncer) endpointsAt() willowwick.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// EndpointList is the list of endpoints as one box passes it to another.
type EndpointList struct {
	Endpoints []willowwick.Endpoint
	Next      willowwick.Offset
	From      willowwick.Offset // where it last changed
}

// listFor returns the list for a box that has an older one.
func (s *syncer) listFor(from willowwick.Offset, _ time.Time) *EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || s.changedAt <= from {
		return nil
	}
	list := &EndpointList{Next: s.next, From: s.changedAt}
	for _, endpoint := range s.listed {
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// takeFromPeer takes what another box has read of the store.
func (s *syncer) takeFromPeer(reply SwapReply, now time.Time) {
	s.mu.Lock()
	list := reply.Endpoints
	isNews := list != nil && list.From > s.changedAt
	if isNews {
		s.apply(willowwick.EndpointChanges{Whole: true, Present: list.Endpoints, Next: max(s.next, list.Next)}, now)
		s.changedAt, s.changed = list.From, false
	}
	asOf := now.Add(-time.Duration(reply.Digest.StoreAgeMs) * time.Millisecond)
	if s.known && reply.Digest.EndpointsFrom <= s.changedAt && asOf.After(s.asOf) {
		s.asOf = asOf
	}
	s.mu.Unlock()
	if isNews {
		s.publish()
	}
}

// noteAnswer notes that the store answers; noteFailure that it does not.
func (s *syncer) noteAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = now
	s.asOf = now
	if s.unreachable {
		s.unreachable = false
		slog.Info("store is reached again", "away_ms", now.Sub(s.failedAt).Milliseconds())
	}
}

func (s *syncer) noteFailure(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = now
	if !s.unreachable {
		s.unreachable = true
		slog.Info("store is not reached", "error", err, "answered_ms_ago", now.Sub(s.answeredAt).Milliseconds())
	}
	// A read that the store holds may hang on a connection that is dead.
	if s.wake != nil {
		s.wake()
	}
}

// followDeclarations keeps the configuration and the orders until the context ends.
func (s *syncer) followDeclarations(ctx context.Context) {
	var next willowwick.Offset
	pause := retryFirst
	for ctx.Err() == nil {
		if s.isFed(time.Now()) {
			sleep(ctx, feedPoll)
			continue
		}
		held, cancel := context.WithCancel(ctx)
		s.setWake(cancel)
		declared, err := s.control.Declarations(held, next, declarationsWait)
		woken := held.Err() != nil
		s.setWake(nil)
		cancel()
		if err != nil {
			if !woken {
				s.noteFailure(time.Now(), err)
			}
			sleep(ctx, pause)
			pause = s.longer(pause)
			continue
		}
		pause = retryFirst
		next = declared.Next
		s.noteAnswer(time.Now())
		s.declare(ctx, declared)
	}
}

// longer is the next pause after a read that failed.
func (s *syncer) longer(pause time.Duration) time.Duration {
	if s.router.peers.isBehind(time.Now()) {
		return min(2*pause, retryBehind)
	}
	return min(2*pause, retryMost)
}

// isFed reports whether another box of the hall reads the store for this one.
func (s *syncer) isFed(now time.Time) bool {
	reader, found := s.router.peers.reader(now)
	found = found && s.router.table.Load() != nil && s.hasEndpoints()
	s.noteReader(reader, found, now)
	return found
}

// noteReader logs a change of who reads the store for this box.
func (s *syncer) noteReader(reader Digest, found bool, now time.Time) {
	address := ""
	if found {
		address = reader.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.fedBy {
		slog.Info("reader of the store changed", "from", s.fedBy, "to", address, "known_ms_ago", now.Sub(s.asOf).Milliseconds())
		s.fedBy = address
	}
}

func (s *syncer) setWake(wake context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake = wake
}

func (s *syncer) declare(ctx context.Context, declared willowwick.Declarations) {
	if declared.Table != nil {
		s.router.setTable(declared.Table, "store")
	}
	if len(declared.Orders) == 0 {
		return
	}
	for _, order := range declared.Orders {
		s.router.releases.begin(order, 0, time.Now())
	}
	// The orders may be old: what became of them stands in the store.
	if _, err := s.readStatuses(ctx); err != nil {
		slog.Info("states of roll-outs could not be read", "error", err)
	}
}

func (s *syncer) readStatuses(ctx context.Context) (willowwick.ReleaseStatuses, error) {
	statuses, err := s.control.Statuses(ctx)
	if err != nil {
		return statuses, err
	}
	for _, status := range statuses.Statuses {
		s.router.releases.settle(status, true, "store")
	}
	return statuses, nil
}

// followEndpoints keeps the list of endpoints until the context ends.
func (s *syncer) followEndpoints(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		if !s.mustRead(time.Now()) {
			sleep(ctx, feedPoll)
			continue
		}
		changes, err := s.control.Endpoints(ctx, s.endpointsAt())
		now := time.Now()
		if err != nil {
			s.noteFailure(now, err)
			sleep(ctx, pause)
			pause = s.longer(pause)
			continue
		}
		pause = retryFirst
		s.noteAnswer(now)
		s.mu.Lock()
		s.apply(changes, now)
		s.mu.Unlock()
		s.publish()
	}
}

// mustRead reports whether this box has to read the list of endpoints now.
func (s *syncer) mustRead(now time.Time) bool {
	share := endpointsShare
	if s.isFed(now) {
		share = reliedShare
	}
	return s.storeAge(now) > scale(s.router.settings.Drain, share)
}

// apply takes changes of the list; the caller holds the lock.
func (s *syncer) apply(changes willowwick.EndpointChanges, now time.Time) {
	present := map[willowwick.EndpointID]bool{}
	for _, endpoint := range changes.Present {
		present[endpoint.ID] = true
		old, known := s.listed[endpoint.ID]
		// Leaving is for good: a later entry that says otherwise was written before.
		endpoint.Leaving = endpoint.Leaving || old.Leaving
		if !known || !sameEntry(old, endpoint) {
			s.changed = true
		}
		if !known || old.Leaving != endpoint.Leaving {
			slog.Info("endpoint listed", "endpoint", endpoint.ID, "service", endpoint.Service, "hall", endpoint.Hall,
				"address", endpoint.Address, "release", endpoint.Release, "leaving", endpoint.Leaving, "offset", changes.Next)
		}
		s.listed[endpoint.ID] = endpoint
		delete(s.lapsed, endpoint.ID)
	}
	if changes.Whole {
		for id := range s.listed {
			if !present[id] {
				s.endpointGone(id, now)
			}
		}
	}
	for _, id := range changes.Gone {
		s.endpointGone(id, now)
	}
	for id, until := range s.lapsed {
		if now.After(until) {
			s.drop(id, now)
		}
	}
	s.next, s.known = changes.Next, true
	if s.changed && s.next > s.changedAt {
		// Offsets compare between boxes: who has read up to here has all changes up to here.
		s.changedAt, s.changed = s.next, false
	}
}

// sameEntry reports whether two entries of an endpoint say the same.
func sameEntry(a, b willowwick.Endpoint) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Release == b.Release && a.Leaving == b.Leaving
}

// endpointGone drops an endpoint, or gives it time to come back if its entry may have lapsed with the store away.
func (s *syncer) endpointGone(id willowwick.EndpointID, now time.Time) {
	if _, known := s.listed[id]; !known {
		return
	}
	if _, waits := s.lapsed[id]; waits {
		return
	}
	if !s.failedAt.IsZero() && now.Sub(s.failedAt) < returnGrace {
		s.lapsed[id] = s.failedAt.Add(returnGrace)
		return
	}
	s.drop(id, now)
}

func (s *syncer) drop(id willowwick.EndpointID, now time.Time) {
	slog.Info("endpoint gone", "endpoint", id, "release", s.listed[id].Release, "store_failed_ms_ago", now.Sub(s.failedAt).Milliseconds())
	s.router.conns.Drop(s.listed[id].Address)
	delete(s.listed, id)
	delete(s.lapsed, id)
	s.changed = true
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

// keepMembership keeps this box in the group and learns of the others until the context ends.
func (s *syncer) keepMembership(ctx context.Context) {
	member := s.router.settings.Peers
	var listedAt time.Time
	for ctx.Err() == nil {
		if _, found := s.router.peers.reader(time.Now()); found {
			s.leaveGroup(ctx, member)
			sleep(ctx, joinEvery)
			continue
		}
		membership, err := s.control.Join(ctx, member, s.generation)
		now := time.Now()
		if err != nil {
			s.setLead(false, "the group does not answer")
			sleep(ctx, joinEvery)
			continue
		}
		s.joined = true
		changed := membership.Generation != s.generation
		s.generation = membership.Generation
		s.setLead(membership.Leads, "the group says so")
		if changed || now.Sub(listedAt) > membersEvery {
			s.listMembers(ctx, now)
			listedAt = now
		}
		sleep(ctx, joinEvery)
	}
}

// leaveGroup hands this box's part of the group on at once, since another box of the hall keeps in touch with the store.
func (s *syncer) leaveGroup(ctx context.Context, member string) {
	if !s.joined {
		return
	}
	s.setLead(false, "another box of the hall reads the store")
	if err := s.control.Leave(ctx, member); err != nil {
		slog.Info("group was not left; the store drops this box by its silence", "error", err)
	}
	s.joined = false
}

func (s *syncer) listMembers(ctx context.Context, now time.Time) {
	members, err := s.control.Members(ctx)
	if err != nil {
		slog.Info("group could not be listed", "error", err)
		return
	}
	for _, member := range members {
		s.router.peers.list(KnownBox{Address: member}, now)
	}
}

func (s *syncer) setLead(leads bool, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leads != s.leads {
		slog.Info("lead of roll-outs changed", "leads", leads, "why", why, "generation", s.generation)
	}
	s.leads = leads
}

func (s *syncer) isLeading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads
}

// lead judges roll-outs on every box, and writes their states on the box that leads.
func (s *syncer) lead(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		s.router.releases.setBoxes(s.router.peers.boxes())
		s.router.releases.judge(s.router.peers.fleetReport(now).evidence(), now)
		if s.isLeading() {
			for _, due := range s.router.releases.due(now) {
				s.writeDue(ctx, due, now)
			}
		}
		s.router.conns.Sweep(now)
		sleep(ctx, leadEvery)
	}
}

// writeDue writes a state unless the store already holds a final one; a box that led before finds that here.
func (s *syncer) writeDue(ctx context.Context, due dueStatus, now time.Time) {
	if !due.lastCall && !s.hasMoved(due.ReleaseStatus, now) {
		return
	}
	statuses, err := s.readStatuses(ctx)
	if err != nil {
		slog.Info("states of roll-outs could not be read", "error", err)
		return
	}
	for _, status := range statuses.Statuses {
		if status.Service == due.Service && status.Target == due.Target && status.State != willowwick.ReleaseRunning {
			return
		}
	}
	err = s.control.SetStatus(ctx, due.ReleaseStatus, statuses.End)
	slog.Info("state of a roll-out written", "service", due.Service, "release", due.Target, "state", due.State,
		"after", statuses.End, "error", err)
	if errors.Is(err, willowwick.ErrConflict) || err != nil {
		return
	}
	s.router.releases.settle(due.ReleaseStatus, true, "written here")
}

// hasMoved reports whether no box in touch sends to the old release or has requests under way there.
func (s *syncer) hasMoved(status willowwick.ReleaseStatus, now time.Time) bool {
	if s.router.oldInFlight(status) > 0 {
		return false
	}
	for _, row := range s.router.peers.fleetReport(now).Moves {
		if row.Service == status.Service && row.Target == status.Target {
			return row.Moved && row.OldInFlight == 0
		}
	}
	return true
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *syncer) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable
}

// entry returns an endpoint as it is listed.
func (s *syncer) entry(id willowwick.EndpointID) (willowwick.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint, found := s.listed[id]
	return endpoint, found
}
