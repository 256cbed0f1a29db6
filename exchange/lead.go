package exchange

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// joinInterval is how often the box renews its membership of the group: three times within the TTL.
	joinInterval = time.Second
	// memberListInterval is how often the members are listed while the group's generation does not change.
	memberListInterval = 10 * time.Second
	// rolloutInterval is how often a box evaluates releases, and the leader checks for states to write.
	rolloutInterval = 300 * time.Millisecond
	// memberSeparator separates the parts of a member's name.
	memberSeparator = "@"
)

// maintainMembership keeps this box in the group and learns the other members until the context is done.
func (s *syncer) maintainMembership(ctx context.Context) {
	member := memberName(s.router.peers.self())
	var listedAt time.Time
	if len(s.router.settings.Seeds) == 0 {
		s.listMembers(ctx, clock.Now()) // nothing else names other boxes
	}
	clock.Sleep(ctx, hubSearchTime)
	for ctx.Err() == nil {
		now := clock.Now()
		_, hasReader := s.router.peers.storeReader(now)
		switch {
		case s.maySkipCalls(now):
			// A join would fail, and the group drops this box unless it already has.
			s.setLeader(false, "the store is not reached")
		case s.router.duties.mustStayOut(now):
			s.leaveGroup(ctx, member, "another box should take the duties")
		case hasReader:
			s.leaveGroup(ctx, member, "another box reads the store")
		default:
			listedAt = s.joinGroup(ctx, member, listedAt)
		}
		clock.Sleep(ctx, joinInterval)
	}
}

// joinGroup renews this box's membership of the group, lists the members if they changed or were not listed for
// memberListInterval, and returns when they were listed last.
func (s *syncer) joinGroup(ctx context.Context, member string, listedAt time.Time) time.Time {
	sent := clock.Now()
	membership, err := s.control.Join(ctx, member, s.generation)
	now := clock.Now()
	if err != nil {
		s.setLeader(false, "joining the group failed")
		return listedAt
	}
	s.isMember = true
	if s.router.duties != nil && s.isRolloutLeader() && !membership.IsLeader {
		// The group makes its new owner the leader once this box, the former leader, has joined with the new generation.
		s.generation = membership.Generation
		s.setLeader(false, "answer of the group")
		s.router.duties.noteJoin(sent, false)
		return s.joinGroup(ctx, member, listedAt)
	}
	changed := membership.Generation != s.generation
	s.generation = membership.Generation
	s.setLeader(membership.IsLeader, "answer of the group")
	s.router.duties.noteJoin(sent, membership.IsLeader)
	if !changed && now.Sub(listedAt) <= memberListInterval {
		return listedAt
	}
	s.listMembers(ctx, now)
	return now
}

// leaveGroup leaves the group at once, so that another member can become the leader.
func (s *syncer) leaveGroup(ctx context.Context, member, why string) {
	if !s.isMember {
		return
	}
	s.setLeader(false, why)
	s.router.duties.noteLeft(why)
	if err := s.control.Leave(ctx, member); err != nil {
		slog.Info("leaving the group failed; the membership expires", "error", err)
	}
	s.isMember = false
}

func (s *syncer) listMembers(ctx context.Context, now time.Time) {
	members, err := s.control.Members(ctx)
	if err != nil {
		slog.Info("listing the group failed", "error", err)
		return
	}
	boxes := make([]KnownBox, 0, len(members))
	for _, member := range members {
		box := parseMemberName(member)
		boxes = append(boxes, box)
		s.router.peers.noteBox(box, now)
	}
	s.router.usage.noteMembers(boxes, now)
}

// memberName encodes a box's address, hall and link bandwidth as its name in the group.
func memberName(box KnownBox) string {
	return strings.Join([]string{box.Address, string(box.Hall), strconv.Itoa(box.LinkMbps)}, memberSeparator)
}

// parseMemberName decodes a member's name; what it lacks is learnt from the box's digest.
func parseMemberName(member string) KnownBox {
	address, rest, _ := strings.Cut(member, memberSeparator)
	hall, link, _ := strings.Cut(rest, memberSeparator)
	box := KnownBox{Address: address, Hall: willowwick.HallID(hall)}
	if mbps, err := strconv.Atoi(link); err == nil {
		box.LinkMbps = mbps
	}
	return box
}

func (s *syncer) setLeader(isLeader bool, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isLeader != s.isLeader {
		slog.Info("lead of roll-outs changed", "leads", isLeader, "why", why, "generation", s.generation)
	}
	s.isLeader = isLeader
}

func (s *syncer) isRolloutLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeader
}

// evaluateReleases evaluates roll-outs on every box, and closes idle connections, until the context is done. It never
// waits for the store: a bad release gets requests for as long as it is not evaluated.
func (s *syncer) evaluateReleases(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		s.router.releases.setFleetSize(s.router.peers.fleetSize())
		s.router.setColdPauses(now)
		report := s.router.peers.fleetReport(now)
		s.router.releases.setPinnedElsewhere(report.Kept)
		s.router.releases.evaluate(report.evidence(), now)
		s.router.conns.CloseExpired(now)
		clock.Sleep(ctx, rolloutInterval)
	}
}

// writeRolloutStates writes the states of roll-outs on the leader until the context is done.
func (s *syncer) writeRolloutStates(ctx context.Context) {
	for ctx.Err() == nil {
		if now := clock.Now(); s.isRolloutLeader() {
			for _, due := range s.router.releases.due(now) {
				s.writeState(ctx, due, now)
			}
		}
		clock.Sleep(ctx, rolloutInterval)
	}
}

func (s *syncer) readStatuses(ctx context.Context) (willowwick.ReleaseStatuses, error) {
	statuses, err := s.control.Statuses(ctx)
	if err != nil {
		return statuses, err
	}
	for _, status := range statuses.Statuses {
		s.router.releases.applyStatus(status, s.isCurrentEra(statuses.End), "store")
	}
	return statuses, nil
}

// writeState writes a state unless the store already holds a final one, which a former leader may have written.
func (s *syncer) writeState(ctx context.Context, due dueStatus, now time.Time) {
	if !due.isForced && !s.hasFleetMoved(due.ReleaseStatus, now) {
		return
	}
	statuses, err := s.readStatuses(ctx)
	if err != nil {
		slog.Info("reading states of roll-outs failed", "error", err)
		return
	}
	for _, status := range statuses.Statuses {
		if status.Service == due.Service && status.Target == due.Target && status.State != willowwick.ReleaseRunning {
			return
		}
	}
	if !slices.Contains(s.router.releases.due(clock.Now()), due) {
		return // the evaluation changed meanwhile
	}
	if err := s.control.SetStatus(ctx, due.ReleaseStatus, statuses.End); err != nil {
		slog.Info("writing the state of a roll-out failed", "service", due.Service, "release", due.Target, "state", due.State,
			"after", statuses.End, "error", err)
		return
	}
	slog.Info("state of a roll-out written", "service", due.Service, "release", due.Target, "state", due.State, "after", statuses.End)
	s.router.releases.applyStatus(due.ReleaseStatus, s.isCurrentEra(statuses.End), "written here")
}

// hasFleetMoved reports whether no live box sends to the old release or has requests in progress there.
func (s *syncer) hasFleetMoved(status willowwick.ReleaseStatus, now time.Time) bool {
	if s.router.inFlightOutsideTarget(status) > 0 {
		return false
	}
	for _, row := range s.router.peers.fleetReport(now).Moves {
		if row.Service == status.Service && row.Target == status.Target {
			return row.Moved && row.OldInFlight == 0
		}
	}
	return true
}
