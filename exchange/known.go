package exchange

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// peerFresh is how long a digest counts as the state of a live box: two missed swaps and some.
	peerLiveness = 1300 * time.Millisecond
	// peerKept is how long a silent box is still counted, named to others and tried.
	silentPeerRetention = 30 * time.Second
	// retryPeer and retryPeerMost bound the pauses between calls of a box that does not answer.
	minPeerRetry = time.Second
	maxPeerRetry = 8 * time.Second
)

type (
	// KnownBox is where a box is reached, and what its place among the others goes by.
	KnownBox struct {
		Address  string
		Hall     willowwick.HallID
		LinkMbps int // 0 if it is not known
	}

	// KnownRow is a box as one tells another of it.
	KnownRow struct {
		Address  string
		Hall     willowwick.HallID
		LinkMbps int
		AgeMs    int64 // since it was heard of or named, by whomever
	}

	// HallAge is how long ago that box of a hall was heard of or named that was not for longest, as one box knows it.
	HallAge struct {
		Hall     willowwick.HallID
		OldestMs int64
	}

	// peer is another box as this one knows it.
	peer struct {
		box          KnownBox
		sum          uint64 // of the box, as part of a sum over all boxes
		digest       Digest
		heardAt      time.Time // when its last digest came
		namedAt      time.Time // when it, the group or another box last named it
		nextCallAt   time.Time // not called before, after failures
		lastCallAt   time.Time // last call
		failures     int       // calls in a row that failed
		isExchanging bool      // a call to it is under way
	}
)

// precedes reports whether a box comes before another as the hub of its hall: the one with the wider link, since a hub
// passes on what is large to all the others, and of equal ones the one with the lower address.
func (b KnownBox) precedes(other KnownBox) bool {
	if b.LinkMbps != other.LinkMbps {
		return b.LinkMbps > other.LinkMbps
	}
	return b.Address < other.Address
}

// isInTouch reports whether the box's digest counts as its state.
func (known *peer) isLive(now time.Time) bool {
	return now.Sub(known.heardAt) <= peerLiveness
}

// seen is when the box last answered or was named.
func (known *peer) lastSeen() time.Time {
	return latest(known.heardAt, known.namedAt)
}

// isKept reports whether the box was heard of or named of late.
func (known *peer) isRetained(now time.Time) bool {
	return now.Sub(known.lastSeen()) <= silentPeerRetention
}

// self is this box as the others know it.
func (p *peers) self() KnownBox {
	settings := p.router.settings
	return KnownBox{Address: settings.Peers, Hall: settings.Hall, LinkMbps: settings.LinkMbps}
}

// list notes a box that the settings, the group or a box named, and when that was known of it.
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
		known.box, known.sum = box, box.sum()
	}
	known.namedAt = latest(known.namedAt, at)
}

// listKnown notes boxes that another box knows, as of when it answered.
func (p *peers) noteKnownRows(rows []KnownRow, asOf time.Time) {
	for _, row := range rows {
		at := asOf.Add(-time.Duration(row.AgeMs) * time.Millisecond)
		if clock.Since(at) <= silentPeerRetention {
			p.noteBox(KnownBox{Address: row.Address, Hall: row.Hall, LinkMbps: row.LinkMbps}, at)
		}
	}
}

// heard takes a digest that came from its box itself.
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
	p.mergeHallReports(digest.Halls, now)
	p.mu.Unlock()
	p.router.sync.noteEra(max(digest.EndpointsRead, digest.Evacuated.AsOf), now, "peer "+string(digest.Box))
	p.router.sync.noteRestoringFromPeer(time.Duration(digest.RestoringMs)*time.Millisecond, now)
	p.router.evacuations.hear(digest.Evacuated, "peer "+string(digest.Box))
	p.router.admissions.hear(digest.Admitted, "peer "+string(digest.Box))
	p.router.hearLeaving(digest.Leaving, "peer "+string(digest.Box))
	p.router.releases.hearEnded(digest.Verdicts)
	p.router.pool.HearSpeeds(digest.Speeds)
	for _, row := range digest.Progress {
		p.router.releases.begin(row.Order, time.Duration(row.AgeMs)*time.Millisecond, now)
		p.router.releases.settle(row.Status, false, "peer "+string(digest.Box))
	}
}

// takeHalls keeps the newest report of each other hall; the caller holds the lock.
func (p *peers) mergeHallReports(halls []HallReport, now time.Time) {
	for _, hall := range halls {
		at := now.Add(-time.Duration(hall.AgeMs) * time.Millisecond)
		if hall.Hall != p.router.settings.Hall && at.After(p.otherHalls[hall.Hall].at) {
			p.otherHalls[hall.Hall] = receivedReport{hall.Report, at}
		}
	}
}

// audience lists where the other boxes are reached that were heard of or named of late: those of this box's hall, and
// those of each other hall.
func (p *peers) hintRecipients(now time.Time) (near []netip.AddrPort, far map[willowwick.HallID][]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	far = map[willowwick.HallID][]netip.AddrPort{}
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
			near = append(near, address)
		} else {
			far[known.box.Hall] = append(far[known.box.Hall], address)
		}
	}
	return near, far
}

// versionOf is the version of the configuration that a box last told of, and whether it takes packed ones.
func (p *peers) configVersionOf(address string) (version uint64, takesPacked, heard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	if known == nil || known.heardAt.IsZero() {
		return 0, false, false
	}
	return known.digest.TableVersion, known.digest.TakesPacked, true
}

// failed notes that a box does not answer, and logs the first failure of a row.
func (p *peers) noteCallFailure(address string, err error) {
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

// retryPause is the pause before the next call of a box after so many failures in a row; it doubles with each.
func peerRetryPause(failures int) time.Duration {
	pause := minPeerRetry
	for n := 1; n < failures && pause < maxPeerRetry; n++ {
		pause *= 2
	}
	return min(pause, maxPeerRetry)
}

// forget drops boxes that nobody has heard of or named for long.
func (p *peers) forgetSilentPeers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.known {
		if !known.isRetained(now) {
			delete(p.known, address)
			p.quarantine.Forget(address)
			p.limits.Forget(address)
		}
	}
}
