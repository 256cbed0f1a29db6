package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

// peerState is how far this box and another one have told each other.
type peerState struct {
	key      originKey // of the other box's start
	isHub    bool
	hall     willowwick.HallID
	told     revision // up to where the other box has this ledger, but for what only a hub that relays tells
	relayed  revision // up to where the other box has what this ledger holds of other regions
	received revision // up to where this box has the other's ledger
	// accounts and origins are what the other box's indices mean.
	accounts map[int]willowwick.AccountID
	origins  map[int]originKey
}

func newPeerState(key originKey) *peerState {
	return &peerState{key: key, accounts: map[int]willowwick.AccountID{}, origins: map[int]originKey{}}
}

// confirm records up to where the other box has this ledger, of which now is the newest revision and which relays since
// another one, 0 if it does not.
func (p *peerState) confirm(confirmed, now, relaysSince revision) {
	p.told = min(confirmed, now)
	if relaysSince > 0 && p.told >= relaysSince {
		p.relayed = p.told
	}
	p.relayed = min(p.relayed, p.told)
}

// Message returns what this box tells the box at an address: on a hub the hubs of other halls what the boxes of its hall
// counted, elsewhere the hub what this box counted; only what has changed since the other box confirmed. An only hub tells
// the boxes of its hall what it counted itself, so that its end loses little. Between regions a hub tells what its region counted, and passes on to the hubs of its region what it learns of another one.
func (l *Ledger) Message(address string, now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(l.own, now.Add(-settleTime))
	isHub := !l.collectingSince.IsZero()
	m := message{
		sender: l.own.key, at: now, isHub: isHub, collectingSince: l.collectingSince, written: l.written, acknowledged: l.acknowledged,
	}
	peer := l.peers[address]
	if peer == nil {
		return m.encode(l.settings)
	}
	m.confirms, m.confirmed = peer.key, peer.received
	if isHub && !peer.isHub {
		if l.knowsOtherHub() {
			return m.encode(l.settings)
		}
		m.collectingSince = now // the other box isn't told what this one was told
	}
	m.tells, m.from, m.to = true, peer.told, l.revision
	for _, known := range l.accounts {
		if known.namedAt > peer.told {
			m.accounts = append(m.accounts, accountName{known.index, known.name})
		}
	}
	for _, o := range l.sortedOrigins() {
		if after, isTold := l.toldOf(o, peer); isTold {
			m.addChanges(o, after, l.accounts)
		}
	}
	return m.encode(l.settings)
}

// toldOf returns up to where a box has what this ledger holds of an origin, and whether this box tells it of the origin. A
// box that has nothing yet gets all; later, each hall's hub tells of its own hall. The caller holds the lock.
func (l *Ledger) toldOf(o *origin, peer *peerState) (revision, bool) {
	isHub, topology := !l.collectingSince.IsZero(), l.topology
	switch {
	case isHub && !peer.isHub:
		return peer.told, o == l.own
	case peer.told == 0 || o.hall == l.own.hall:
		return peer.told, true
	case !isHub || !topology.HasRegions():
		return 0, false
	case topology.Distance(peer.hall) == willowwick.OtherRegion:
		return peer.told, topology.Distance(o.hall) != willowwick.OtherRegion
	default:
		return peer.relayed, l.relaysSince > 0 && topology.Distance(o.hall) == willowwick.OtherRegion
	}
}

// knowsOtherHub reports whether another hub is told what this one counted; the caller holds the lock.
func (l *Ledger) knowsOtherHub() bool {
	for _, peer := range l.peers {
		if peer.isHub {
			return true
		}
	}
	return false
}

// sortedOrigins returns the origins in a fixed order; the caller holds the lock.
func (l *Ledger) sortedOrigins() []*origin {
	list := make([]*origin, 0, len(l.origins))
	for _, o := range l.origins {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *origin) int { return cmp.Compare(a.index, b.index) })
	return list
}

// Receive applies what the box at an address, in a hall, told.
func (l *Ledger) Receive(address string, hall willowwick.HallID, data []byte) error {
	m, err := decodeMessage(data, l.settings)
	if err != nil {
		return errors.Wrap(err, "usage counts of another box")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[address]
	if peer == nil || peer.key != m.sender {
		peer = newPeerState(m.sender)
		l.peers[address] = peer
	}
	peer.isHub, peer.hall = m.isHub, hall
	delete(l.refused, address)
	if m.confirms == l.own.key {
		peer.confirm(m.confirmed, l.revision, l.relaysSince)
	}
	l.written, l.acknowledged = max(l.written, m.written), max(l.acknowledged, m.acknowledged)
	if !m.tells {
		return nil
	}
	isUnderstood := l.merge(&m, peer)
	switch {
	case !isUnderstood:
		peer.received = 0 // the other box tells everything again
	case m.from <= peer.received:
		peer.received = max(peer.received, m.to)
		if sender := l.origins[m.sender]; sender != nil {
			l.advance(sender, m.at.Add(-settleTime)) // it told all that it counted up to then
		}
	}
	tellsAll := m.from == 0 && m.isHub && !m.collectingSince.IsZero()
	if tellsAll && m.collectingSince.Before(l.collectingSince) {
		l.collectingSince = m.collectingSince
	}
	return nil
}

// merge applies the updates of a message, and reports whether it understood them all: what an index means may have been
// told in a message that was lost, and this box may have forgotten the origin. The caller holds the lock.
func (l *Ledger) merge(m *message, peer *peerState) bool {
	for _, named := range m.accounts {
		peer.accounts[named.index] = named.name
	}
	isUnderstood := true
	for _, update := range m.origins {
		if update.isNamed {
			peer.origins[update.index] = update.key
			l.addOrigin(update)
		}
		key, isKnown := peer.origins[update.index]
		o := l.origins[key]
		isUnderstood = isUnderstood && isKnown && o != nil
		if o != nil && o != l.own {
			isUnderstood = l.mergeOrigin(o, update, peer) && isUnderstood
		}
	}
	return isUnderstood
}

// addOrigin adds an origin that another box named; the caller holds the lock.
func (l *Ledger) addOrigin(update originUpdate) {
	if l.origins[update.key] != nil {
		return
	}
	l.revision++
	o := newOrigin(update.key)
	o.box, o.hall, o.since, o.until, o.address = update.box, update.hall, update.since, update.since, update.address
	o.namedAt, o.index = l.revision, l.nextOrigin
	l.nextOrigin++
	l.origins[update.key] = o
}

// mergeOrigin applies an update of an origin, and reports whether it understood it; the caller holds the lock.
func (l *Ledger) mergeOrigin(o *origin, update originUpdate, peer *peerState) bool {
	for _, row := range update.rows {
		name, isKnown := peer.accounts[row.account]
		if !isKnown {
			return false
		}
		l.setCount(o, row.window, name, row.requests)
	}
	if update.hasState {
		l.advance(o, update.until)
		if update.ended {
			l.end(o)
		}
		if !update.goneBy.IsZero() {
			l.setGone(o, update.goneBy)
		}
		l.applyRefusal(o)
	}
	return true
}

// ForgetPeer drops what is known of a box that is gone.
func (l *Ledger) ForgetPeer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, address)
}

// addChanges adds what changed of an origin after a revision.
func (m *message) addChanges(o *origin, after revision, accounts map[willowwick.AccountID]*account) {
	update := originUpdate{key: o.key, index: o.index, isNamed: o.namedAt > after, hasState: o.stateAt > after, ended: o.ended, until: o.until}
	update.box, update.hall, update.since, update.address = o.box, o.hall, o.since, o.address
	if o.isGone() {
		update.goneBy = o.goneBy
	}
	if o.countAt > after {
		for window, counts := range o.counts {
			if counts.at <= after {
				continue
			}
			for name, row := range counts.rows {
				if row.at > after {
					update.rows = append(update.rows, countRow{window, accounts[name].index, row.requests})
				}
			}
		}
	}
	if update.isNamed || update.hasState || len(update.rows) > 0 {
		slices.SortFunc(update.rows, func(a, b countRow) int {
			return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.account, b.account))
		})
		m.origins = append(m.origins, update)
	}
}
