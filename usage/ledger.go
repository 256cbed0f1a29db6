package usage

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// settleTime is how long after the beginning of an answer its request may still be counted.
	settleTime = 50 * time.Millisecond
	// outageTime is how long a window is kept after its due time, for a report that could not be written or sent before.
	outageTime = 30 * time.Second
)

type (
	// Settings are the windows of a fleet, and when and how exactly they are reported.
	Settings struct {
		Window    time.Duration // length of a window
		Due       time.Duration // from the end of a window until its report is due
		Tolerance float64       // share of the boxes' time in a window whose counts a report may lack
	}

	// Start is one start of a box.
	Start struct {
		Box     willowwick.BoxID
		Boot    willowwick.BootID
		Address string // host:port under which other boxes call the box
	}

	// Ledger holds what each start of each box has counted. It may be used by several goroutines.
	Ledger struct {
		settings Settings
		topology willowwick.Topology

		mu       sync.Mutex
		own      *origin
		origins  map[originKey]*origin
		accounts map[willowwick.AccountID]*account
		// nextOrigin is the index of the next origin.
		nextOrigin int
		// revision counts the changes of this ledger, so that each is told once to each box.
		revision revision
		peers    map[string]*peerState // by address
		refused  map[string]time.Time  // since when nothing listened at an address, as far as is known
		// collectingSince is since when all boxes have told their counts to this hub, or to another hub that told it
		// everything; zero if this box is no hub.
		collectingSince time.Time
		hubSince        time.Time // when this box last became a hub
		// relaysSince is the revision since which this hub passes on to the hubs of its region what it learns of another
		// one; 0 while it does not.
		relaysSince  revision
		written      willowwick.UsageWindow // newest window that may have a stored report; 0 if none
		forgotten    willowwick.UsageWindow // windows before it were dropped
		acknowledged willowwick.UsageWindow // newest window whose report the platform is known to have; 0 if none
	}

	// revision is a position in the changes of one ledger.
	revision uint64

	// originKey is a hash of a BootID.
	originKey uint64

	// account is a client account that was counted.
	account struct {
		name    willowwick.AccountID
		index   int      // by which messages of this ledger refer to the account
		namedAt revision // when it was counted first
	}

	// origin is one start of a box, with what it counted.
	origin struct {
		key     originKey
		index   int // by which messages of this ledger refer to the origin
		box     willowwick.BoxID
		hall    willowwick.HallID
		since   time.Time // when it began to count
		until   time.Time // up to where its counts are known completely
		ended   bool      // it stopped as planned and counts no more
		address string    // of its box, under which other boxes call it; empty if an earlier release told of it
		goneBy  time.Time // it had ended by then, as others found; zero if that is not known
		counts  map[willowwick.UsageWindow]*windowCounts
		namedAt revision // when box, hall and since were learnt
		stateAt revision // when until, ended and goneBy changed enough to be told
		countAt revision // when a count changed last
	}

	// windowCounts are the counts of one window.
	windowCounts struct {
		rows map[willowwick.AccountID]count
		at   revision // when one changed last
	}

	// count is the number of an account's requests in a window.
	count struct {
		requests int
		at       revision // when it changed last
	}
)

// WindowAt returns the window that contains a time.
func (s Settings) WindowAt(at time.Time) willowwick.UsageWindow {
	return willowwick.UsageWindow(at.UnixNano() / int64(s.Window))
}

// Begin returns when a window begins.
func (s Settings) Begin(window willowwick.UsageWindow) time.Time {
	return time.Unix(0, int64(window)*int64(s.Window))
}

// End returns when a window ends.
func (s Settings) End(window willowwick.UsageWindow) time.Time {
	return s.Begin(window + 1)
}

// DueAt returns when the report of a window is due.
func (s Settings) DueAt(window willowwick.UsageWindow) time.Time {
	return s.End(window).Add(s.Due)
}

// oldest returns the oldest window that is still kept.
func (s Settings) oldest(now time.Time) willowwick.UsageWindow {
	return s.WindowAt(now.Add(-s.Due - outageTime))
}

// NewLedger returns the ledger of a start of a box that begins to count now, in the hall of the topology.
func NewLedger(settings Settings, start Start, topology willowwick.Topology, now time.Time) *Ledger {
	own := newOrigin(keyOf(start.Boot))
	own.box, own.address, own.hall, own.since, own.until, own.namedAt, own.stateAt = start.Box, start.Address, topology.Hall, now, now, 1, 1
	return &Ledger{
		settings: settings, topology: topology, own: own, origins: map[originKey]*origin{own.key: own}, nextOrigin: 1,
		accounts: map[willowwick.AccountID]*account{}, revision: 1, peers: map[string]*peerState{},
		refused: map[string]time.Time{},
	}
}

func newOrigin(key originKey) *origin {
	return &origin{key: key, counts: map[willowwick.UsageWindow]*windowCounts{}}
}

func keyOf(boot willowwick.BootID) originKey {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(boot))
	return originKey(hash.Sum64())
}

// Count counts a request that began to run at the given time; requests without an account are not counted.
func (l *Ledger) Count(account willowwick.AccountID, at time.Time) {
	if account == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	window := l.settings.WindowAt(at)
	l.setCount(l.own, window, account, l.own.count(window, account)+1)
}

func (o *origin) count(window willowwick.UsageWindow, name willowwick.AccountID) int {
	if counts := o.counts[window]; counts != nil {
		return counts.rows[name].requests
	}
	return 0
}

// setCount sets a count unless the known one is at least as high; the caller holds the lock.
func (l *Ledger) setCount(o *origin, window willowwick.UsageWindow, name willowwick.AccountID, requests int) {
	if requests <= o.count(window, name) {
		return
	}
	counts := o.counts[window]
	if counts == nil {
		counts = &windowCounts{rows: map[willowwick.AccountID]count{}}
		o.counts[window] = counts
	}
	l.revision++
	if l.accounts[name] == nil {
		l.accounts[name] = &account{name, len(l.accounts), l.revision}
	}
	counts.rows[name] = count{requests, l.revision}
	counts.at, o.countAt = l.revision, l.revision
}

// advance sets up to where an origin's counts are known. The change is told only if it ends a window or counts have
// changed; the caller holds the lock.
func (l *Ledger) advance(o *origin, until time.Time) {
	if !until.After(o.until) {
		return
	}
	endsWindow := l.settings.WindowAt(until) > l.settings.WindowAt(o.until)
	o.until = until
	if endsWindow || o.countAt > o.stateAt {
		l.revision++
		o.stateAt = l.revision
	}
}

// end records that an origin counts no more; the caller holds the lock.
func (l *Ledger) end(o *origin) {
	if !o.ended {
		l.revision++
		o.ended, o.stateAt = true, l.revision
	}
}

// EndOwn records that this box stops as planned and counts no more.
func (l *Ledger) EndOwn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(l.own)
}

// IsEndTold reports whether another box has confirmed all that this box counted until EndOwn.
func (l *Ledger) IsEndTold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		if l.own.ended && peer.told >= max(l.own.stateAt, l.own.countAt) {
			return true
		}
	}
	return false
}

// SetHub records whether this box is the hub of its hall, to which the others of the hall tell their counts. A new hub
// gets everything from the other boxes again.
func (l *Ledger) SetHub(isHub bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !isHub:
		l.collectingSince = time.Time{}
	case l.collectingSince.IsZero():
		l.collectingSince, l.hubSince = now, now
		for _, peer := range l.peers {
			peer.received = 0
		}
	}
}

// SetRelay records whether this box is a hub that exchanges gossip with another region.
func (l *Ledger) SetRelay(relays bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !relays:
		l.relaysSince = 0
	case l.relaysSince == 0:
		// No other box has confirmed this revision.
		l.revision++
		l.relaysSince = l.revision
	}
}

// Forget drops windows that are not reported any more, and starts of boxes that can't have counted since.
func (l *Ledger) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.settings.oldest(now)
	if oldest <= l.forgotten {
		return
	}
	l.forgotten = oldest
	l.forgetRefusals(l.settings.Begin(oldest))
	for _, starts := range l.startsByBox() {
		for i, o := range starts {
			for window := range o.counts {
				if window < oldest {
					delete(o.counts, window)
				}
			}
			isLast := i == len(starts)-1
			if isLast && (o == l.own || !o.ended && !o.isGone()) {
				continue
			}
			lastCount := o.mayCountUntil()
			if !isLast {
				lastCount = earlier(lastCount, starts[i+1].since)
			}
			if l.settings.WindowAt(lastCount) < oldest {
				delete(l.origins, o.key)
			}
		}
	}
}

// startsByBox returns the known starts of each box, the earliest first; the caller holds the lock.
func (l *Ledger) startsByBox() map[willowwick.BoxID][]*origin {
	byBox := map[willowwick.BoxID][]*origin{}
	for _, o := range l.origins {
		byBox[o.box] = append(byBox[o.box], o)
	}
	for _, starts := range byBox {
		slices.SortFunc(starts, func(a, b *origin) int { return a.since.Compare(b.since) })
	}
	return byBox
}

// Counts returns the sum of all boxes' counts in a window.
func (l *Ledger) Counts(window willowwick.UsageWindow) map[willowwick.AccountID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := map[willowwick.AccountID]int{}
	for _, o := range l.origins {
		if counts := o.counts[window]; counts != nil {
			for name, row := range counts.rows {
				total[name] += row.requests
			}
		}
	}
	return total
}

// NoteWritten records that a window's report is stored.
func (l *Ledger) NoteWritten(window willowwick.UsageWindow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = max(l.written, window)
}

// NoteRestored records that the store was restored from a copy, which may lack reports that were sent. No more reports are
// written of the windows up to the present one, since they might be sent twice.
func (l *Ledger) NoteRestored(now time.Time) {
	l.NoteWritten(l.settings.WindowAt(now))
}

// NoteAcknowledged records that the platform has a window's report.
func (l *Ledger) NoteAcknowledged(window willowwick.UsageWindow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged = max(l.acknowledged, window)
}

// reported returns the newest windows known to be stored and to be with the platform.
func (l *Ledger) reported() (written, acknowledged willowwick.UsageWindow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written, l.acknowledged
}
