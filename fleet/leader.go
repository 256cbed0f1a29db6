package fleet

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

// runLease claims or renews the lease, and runs the leader's tasks while this box holds it.
func (n *Node) runLease(ctx context.Context) {
	now := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	n.Lease.Observe(now, n.Follower.Revision().Lease)
	if record, due := n.Lease.Claim(now, n.claimRank(now)); due && !n.isDraining() {
		if err := appendRecord(callCtx, n.Log, record); err == nil {
			_ = n.Follower.ReadLog(callCtx)
		}
	}
	fence, held := n.Lease.Fence(clock.Now())
	if !held || n.Follower.IsBlocked() {
		return
	}
	n.updateRoster(callCtx, fence)
	n.writeSnapshotIfDue(callCtx, fence)
	n.RunLeader(callCtx, fence)
}

func (n *Node) isDraining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}

// claimRank returns how many live boxes come before this one in claiming the lease; the order differs from lease to
// lease.
func (n *Node) claimRank(now time.Time) int {
	salt := "lease" + string(n.Follower.Revision().Lease.Boot)
	own := rendezvousScore(n.Self.Boot, salt)
	rank := 0
	for _, box := range n.Table.Live(now) {
		if rendezvousScore(box.Boot, salt) > own {
			rank++
		}
	}
	return rank
}

// updateRoster writes a new roster when the live boxes differ from the roster in force.
func (n *Node) updateRoster(ctx context.Context, fence willowwick.Fence) {
	now := clock.Now()
	roster := n.Follower.Revision().Roster
	members := n.desiredMembers(now, roster)
	if sameMembers(members, roster.Members) || !n.isRosterChangeDue(now, roster) {
		return
	}
	record := config.Record{Kind: config.RecordRoster, Roster: &config.RosterProposal{Fence: fence, Members: members}}
	if err := appendRecord(ctx, n.Log, record); err != nil {
		return
	}
	_ = n.Follower.ReadLog(ctx)
	slog.Info("roster written", "members", len(members))
}

// isRosterChangeDue delays roster changes, so that boxes that start or stop together cause a single one. A draining
// box doesn't wait.
func (n *Node) isRosterChangeDue(now time.Time, roster config.Roster) bool {
	for _, box := range n.Table.Live(now) {
		if box.Draining && roster.IsMember(box.Boot) {
			return true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining || !now.Before(later(n.Self.Started.Add(rosterStartupDelay), n.rosterChangedAt.Add(minRosterInterval)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// desiredMembers returns the live boxes that are not draining, and the unreachable members that must not be removed
// yet.
//
// An unreachable member is removed if the platform's list no longer has its box, if another incarnation of the box is
// alive, or if this box reaches more than half of the roster: the removed box can't reach a majority then, so it
// grants nothing.
func (n *Node) desiredMembers(now time.Time, roster config.Roster) []config.Member {
	alive := map[willowwick.BoxID]LiveBox{}
	var members []config.Member
	for _, box := range n.LiveBoxes(now) {
		alive[box.Box] = box
		if box.Draining || (box.Boot == n.Self.Boot && n.isDraining()) {
			continue
		}
		members = append(members, config.Member{Boot: box.Boot, Box: box.Box, Hall: box.Hall, Peer: box.Peer})
	}
	majority := n.hasQuorum(now, true)
	listed := n.listedBoxes()
	for _, m := range roster.Members {
		if _, isAlive := alive[m.Box]; isAlive {
			continue
		}
		if listed[m.Box] && !majority {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Box < members[j].Box })
	return members
}

func (n *Node) listedBoxes() map[willowwick.BoxID]bool {
	listing, _ := n.Listing()
	listed := make(map[willowwick.BoxID]bool, len(listing.Boxes))
	for _, box := range listing.Boxes {
		listed[box.ID] = true
	}
	return listed
}

func sameMembers(a, b []config.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// writeSnapshotIfDue appends a snapshot of the state to the log before the log drops the entries behind it.
func (n *Node) writeSnapshotIfDue(ctx context.Context, fence willowwick.Fence) {
	if !n.Follower.isSnapshotDue() {
		return
	}
	if err := n.Follower.ReadLog(ctx); err != nil {
		return
	}
	if current, held := n.Lease.Fence(clock.Now()); !held || current != fence {
		return
	}
	state, err := n.Follower.Revision().Encode()
	if err != nil {
		slog.Error("failed to encode snapshot", "error", err)
		return
	}
	if err := appendRecord(ctx, n.Log, config.Record{Kind: config.RecordSnapshot, Snapshot: &state}); err != nil {
		return
	}
	_ = n.Follower.ReadLog(ctx)
}
