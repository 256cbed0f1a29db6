package exchange

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// peerLiveness is how long after its digest a box counts as live: two missed exchanges and some slack.
	peerLiveness = 1300 * time.Millisecond
	// silentPeerRetention is how long a silent box is still counted, included in the roster and called.
	silentPeerRetention = 30 * time.Second
	// minPeerRetry and maxPeerRetry bound the backoff between calls of a box that doesn't answer.
	minPeerRetry = time.Second
	maxPeerRetry = 8 * time.Second
)

type (
	// KnownBox is the address of a box and what determines its position in the hub order.
	KnownBox struct {
		Address  string
		Hall     willowwick.HallID
		LinkMbps int // 0 if unknown
		// IsStopping is set during a planned stop, as the box itself said last.
		IsStopping bool
	}

	// KnownRow is an entry of the roster that boxes send each other.
	KnownRow struct {
		Address  string
		Hall     willowwick.HallID
		LinkMbps int
		AgeMs    int64 // since it was last seen by any box
	}

	// HallAge is how long ago the box of a hall that was silent for longest was seen, as one box knows it.
	HallAge struct {
		Hall     willowwick.HallID
		OldestMs int64
	}

	// peer is the state of another box as this one knows it.
	peer struct {
		box          KnownBox
		sum          uint64 // checksum of the box, a term of the roster's checksum
		digest       Digest
		heardAt      time.Time // arrival of its last digest
		namedAt      time.Time // last time that the box itself, the group or another box named it
		nextCallAt   time.Time // backoff after failures
		lastCallAt   time.Time
		failures     int      // consecutive failed calls
		isExchanging bool     // a call is in progress
		mustRepeat   bool     // once that call is over, because of an urgent update
		lacks        []string // addresses of boxes that its roster lacked in its last reply, maxToldRows at most
	}
)

// precedes reports whether a box comes before another in hub order: the one that is not stopping, since a box that stops
// takes no duties and soon tells nothing; else the one with the wider link, since a hub forwards large data to all the
// others; and of equal ones the one with the lower address.
func (b KnownBox) precedes(other KnownBox) bool {
	if b.IsStopping != other.IsStopping {
		return other.IsStopping
	}
	if b.LinkMbps != other.LinkMbps {
		return b.LinkMbps > other.LinkMbps
	}
	return b.Address < other.Address
}

// isLive reports whether the box's digest is recent enough to count as its state.
func (known *peer) isLive(now time.Time) bool {
	return now.Sub(known.heardAt) <= peerLiveness
}

// lastSeen returns when the box last answered or was named.
func (known *peer) lastSeen() time.Time {
	return latest(known.heardAt, known.namedAt)
}

// isRetained reports whether the box was seen within silentPeerRetention.
func (known *peer) isRetained(now time.Time) bool {
	return now.Sub(known.lastSeen()) <= silentPeerRetention
}

// self returns this box as the others know it.
func (p *peers) self() KnownBox {
	settings := p.router.settings
	return KnownBox{Address: settings.Peers, Hall: settings.Hall, LinkMbps: settings.LinkMbps, IsStopping: p.router.stopping.Load()}
}

// noteBox records a box named by the settings, the group or another box, and when it was known to exist.
func (p *peers) noteBox(box KnownBox, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if box.Address == p.router.settings.Peers || box.Address == "" {
		return
	}
	known := p.known[box.Address]
	if known == nil {
		known = &peer{}
		p.known[box.Address] = known
	}
	if box.Hall != "" || known.box.Address == "" {
		box.IsStopping = known.box.IsStopping
		known.box, known.sum = box, box.sum()
	}
	known.namedAt = latest(known.namedAt, at)
}

// noteKnownRows records the roster of another box, as of the time of the call.
func (p *peers) noteKnownRows(rows []KnownRow, asOf time.Time) {
	for _, row := range rows {
		at := asOf.Add(-time.Duration(row.AgeMs) * time.Millisecond)
		if clock.Since(at) <= silentPeerRetention {
			p.noteBox(KnownBox{Address: row.Address, Hall: row.Hall, LinkMbps: row.LinkMbps}, at)
		}
	}
}

// receiveDigest applies a digest that its own box sent.
func (p *peers) receiveDigest(digest Digest, now time.Time) {
	p.noteBox(digest.knownBox(), now)
	p.mu.Lock()
	known := p.known[digest.Address]
	if known == nil {
		p.mu.Unlock()
		return
	}
	if now.Sub(known.heardAt) > silentPeerRetention {
		slog.Info("box is reached", "peer", digest.Box, "hall", digest.Hall, "address", digest.Address)
	}
	known.digest, known.heardAt, known.failures = digest, now, 0
	known.box.IsStopping = digest.IsStopping
	p.mergeHallReports(digest.Halls, now)
	p.mu.Unlock()
	readTo := max(digest.EndpointsRead, digest.Evacuated.AsOf)
	p.router.sync.noteEra(readTo, now, "peer "+string(digest.Box))
	p.router.sync.noteRestoringFromPeer(readTo.Era(), time.Duration(digest.RestoringMs)*time.Millisecond, now)
	p.router.evacuations.receive(digest.Evacuated, "peer "+string(digest.Box))
	p.router.admissions.receive(digest.Admitted, "peer "+string(digest.Box))
	p.router.receiveLeaving(digest.Leaving, "peer "+string(digest.Box))
	p.router.releases.receiveVerdicts(digest.Verdicts)
	p.router.pool.MergeSpeeds(digest.Speeds)
	if p.router.reservations.Merge(digest.Rejections, "peer "+string(digest.Box), now) {
		p.requestRound()
	}
	for _, row := range digest.Progress {
		p.router.releases.applyOrder(row.Order, time.Duration(row.AgeMs)*time.Millisecond, now)
		p.router.releases.applyStatus(row.Status, false, "peer "+string(digest.Box))
	}
}

// mergeHallReports keeps the newest report of each other hall; the caller holds the lock.
func (p *peers) mergeHallReports(halls []HallReport, now time.Time) {
	for _, hall := range halls {
		at := now.Add(-time.Duration(hall.AgeMs) * time.Millisecond)
		if hall.Hall != p.router.settings.Hall && at.After(p.otherHalls[hall.Hall].at) {
			p.otherHalls[hall.Hall] = receivedReport{hall.Report, at}
		}
	}
}

// hintRecipients returns the addresses of the boxes that were seen recently: those of this box's hall, and those of
// each other hall.
func (p *peers) hintRecipients(now time.Time) (ownHall []netip.AddrPort, otherHalls map[willowwick.HallID][]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	otherHalls = map[willowwick.HallID][]netip.AddrPort{}
	for _, known := range p.known {
		if known.box.Hall == "" || !known.isRetained(now) {
			continue
		}
		address, err := netip.ParseAddrPort(known.box.Address)
		if err != nil {
			slog.Debug("address of a box is not numeric", "address", known.box.Address, "error", err)
			continue
		}
		if known.box.Hall == p.router.settings.Hall {
			ownHall = append(ownHall, address)
		} else {
			otherHalls[known.box.Hall] = append(otherHalls[known.box.Hall], address)
		}
	}
	return ownHall, otherHalls
}

// configVersionOf returns the configuration version that a box last reported and whether it accepts packed
// configurations.
func (p *peers) configVersionOf(address string) (version uint64, takesPacked, hasDigest bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil || known.heardAt.IsZero() {
		return 0, false, false
	}
	return known.digest.TableVersion, known.digest.TakesPacked, true
}

// noteCallFailure records a failed call that was sent at a time of day, and schedules the next one; it logs the first of
// consecutive failures.
func (p *peers) noteCallFailure(address string, sentAt time.Time, err error) {
	p.noteUsageRefusal(address, sentAt, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil {
		return
	}
	known.failures++
	known.nextCallAt = clock.Now().Add(peerRetryPause(known.failures))
	if known.failures == 1 {
		slog.Info("box is not reached", "peer", known.digest.Box, "address", address, "error", err)
	}
}

// peerRetryPause returns the pause after a number of consecutive failures; it doubles with each.
func peerRetryPause(failures int) time.Duration {
	pause := minPeerRetry
	for n := 1; n < failures && pause < maxPeerRetry; n++ {
		pause *= 2
	}
	return min(pause, maxPeerRetry)
}

// forgetSilentPeers drops boxes that were not seen for longer than silentPeerRetention.
func (p *peers) forgetSilentPeers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.known {
		if !known.isRetained(now) {
			delete(p.known, address)
			p.quarantine.Forget(address)
			p.limits.Forget(address)
			p.forgetUsageOf(address)
		}
	}
}
