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
	// joinEvery is how often the box renews its place in the group: thrice within the time to live.
	joinEvery = time.Second
	// membersEvery is how often the group is listed where its generation has not changed.
	membersEvery = 10 * time.Second
	// leadEvery is how often a box judges releases, and the one that leads looks for states to write.
	leadEvery = 300 * time.Millisecond
	// memberSeparator stands between the parts of a member's name.
	memberSeparator = "@"
)

// keepMembership keeps this box in the group and learns of the others until the context ends.
func (s *syncer) keepMembership(ctx context.Context) {
	member := memberName(s.router.peers.self())
	var listedAt time.Time
	sleep(ctx, lookFor)
	for ctx.Err() == nil {
		now := clock.Now()
		_, isFed := s.router.peers.reader(now)
		switch {
		case s.mayRest(now):
			// A call would be lost; the group has dropped this box by then, or does so now.
			s.setLead(false, "the store is not reached")
		case isFed:
			s.leaveGroup(ctx, member)
		default:
			listedAt = s.joinGroup(ctx, member, listedAt)
		}
		sleep(ctx, joinEvery)
	}
}

// joinGroup renews this box's place in the group, lists the members if they changed or were not listed for long, and
// returns when they were listed last.
func (s *syncer) joinGroup(ctx context.Context, member string, listedAt time.Time) time.Time {
	membership, err := s.control.Join(ctx, member, s.generation)
	now := clock.Now()
	if err != nil {
		s.setLead(false, "the group does not answer")
		return listedAt
	}
	s.joined = true
	changed := membership.Generation != s.generation
	s.generation = membership.Generation
	s.setLead(membership.Leads, "the group says so")
	if !changed && now.Sub(listedAt) <= membersEvery {
		return listedAt
	}
	s.listMembers(ctx, now)
	return now
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
		s.router.peers.list(boxOfMember(member), now)
	}
}

// memberName tells the others of the group where the box is reached, in which hall, and how wide its link is.
func memberName(box KnownBox) string {
	return strings.Join([]string{box.Address, string(box.Hall), strconv.Itoa(box.LinkMbps)}, memberSeparator)
}

// boxOfMember is the box that a member's name tells of; what a name does not tell is learnt once the box is heard of.
func boxOfMember(member string) KnownBox {
	address, rest, _ := strings.Cut(member, memberSeparator)
	hall, link, _ := strings.Cut(rest, memberSeparator)
	box := KnownBox{Address: address, Hall: willowwick.HallID(hall)}
	if mbps, err := strconv.Atoi(link); err == nil {
		box.LinkMbps = mbps
	}
	return box
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

// judgeReleases judges roll-outs on every box, and closes idle connections in time, until the context ends. No wait for the
// store is part of it: a bad release gets requests for as long as nobody judges it.
func (s *syncer) judgeReleases(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		s.router.releases.setFleetSize(s.router.peers.boxes())
		s.router.setColdPauses(now)
		report := s.router.peers.fleetReport(now)
		s.router.releases.setPinnedElsewhere(report.Kept)
		s.router.releases.judge(report.evidence(), now)
		s.router.conns.CloseExpired(now)
		sleep(ctx, leadEvery)
	}
}

// lead writes the states of roll-outs on the box that leads, until the context ends.
func (s *syncer) lead(ctx context.Context) {
	for ctx.Err() == nil {
		if now := clock.Now(); s.isLeading() {
			for _, due := range s.router.releases.due(now) {
				s.writeDue(ctx, due, now)
			}
		}
		sleep(ctx, leadEvery)
	}
}

func (s *syncer) readStatuses(ctx context.Context) (willowwick.ReleaseStatuses, error) {
	statuses, err := s.control.Statuses(ctx)
	if err != nil {
		return statuses, err
	}
	for _, status := range statuses.Statuses {
		s.router.releases.applyStatus(status, s.isCurrent(statuses.End), "store")
	}
	return statuses, nil
}

// writeDue writes a state unless the store already holds a final one; a box that led before finds that here.
func (s *syncer) writeDue(ctx context.Context, due dueStatus, now time.Time) {
	if !due.isForced && !s.hasMoved(due.ReleaseStatus, now) {
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
	if !slices.Contains(s.router.releases.due(clock.Now()), due) {
		return // it was judged otherwise meanwhile
	}
	if err := s.control.SetStatus(ctx, due.ReleaseStatus, statuses.End); err != nil {
		slog.Info("state of a roll-out could not be written", "service", due.Service, "release", due.Target, "state", due.State,
			"after", statuses.End, "error", err)
		return
	}
	slog.Info("state of a roll-out written", "service", due.Service, "release", due.Target, "state", due.State, "after", statuses.End)
	s.router.releases.applyStatus(due.ReleaseStatus, s.isCurrent(statuses.End), "written here")
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
