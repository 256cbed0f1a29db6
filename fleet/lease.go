package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

const (
	// leaseFor is how long a holder may act after it began its last renewal that was granted.
	leaseFor = 12 * time.Second
	// leaseLapse is how long others wait for a sign of the holder; the gap to leaseFor covers unlike clock rates.
	leaseLapse  = 16 * time.Second
	leaseRenew  = 4 * time.Second
	claimSpread = 400 * time.Millisecond
)

// Lease says whether this daemon may order and advance.
//
// The log is the arbiter: a claim names the lease's last record, and the fold
// takes the first claim that does. A holder trusts its lease only for a time
// counted from before it asked, so one that was paused finds out by its own clock.
type Lease struct {
	mu         sync.Mutex
	self       Identity
	seen       config.Lease         // as last folded
	seenAt     time.Time            // when it last changed here
	ask        uint64               // number of the newest claim
	asked      time.Time            // when it was begun, while its outcome is not known
	begun      map[uint64]time.Time // when claims whose outcome is not known were begun
	validUntil time.Time
}

// NewLease returns a lease that this daemon does not hold.
func NewLease(self Identity) *Lease {
	return &Lease{self: self, begun: map[uint64]time.Time{}}
}

// Observe takes the lease as the fold has it.
func (l *Lease) Observe(now time.Time, folded config.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if folded == l.seen {
		return
	}
	l.seen, l.seenAt = folded, now
	if begun, ours := l.begun[folded.ClaimNumber]; ours && folded.Boot == l.self.Boot {
		l.validUntil = begun.Add(leaseFor)
	}
	l.asked = time.Time{}
	clear(l.begun)
}

// Fence returns the fencing number if this daemon holds the lease now.
func (l *Lease) Fence(now time.Time) (willowwick.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.Boot != l.self.Boot || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.seen.Fence, true
}

// Claim returns the record that takes or renews the lease, if it is time to;
// rank spreads the claims of daemons that see the lease lapse together.
func (l *Lease) Claim(now time.Time, rank int) (config.Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.asked.IsZero() && now.Before(l.asked.Add(leaseRenew)) {
		return config.Record{}, false
	}
	switch {
	case l.seen.Boot == l.self.Boot:
		if now.Before(l.validUntil.Add(leaseRenew - leaseFor)) {
			return config.Record{}, false
		}
	case l.seen.Boot == "":
		free := l.seenAt
		if free.Before(l.self.Started) {
			free = l.self.Started
		}
		if now.Before(free.Add(time.Duration(rank) * claimSpread)) {
			return config.Record{}, false
		}
	default:
		if now.Before(l.seenAt.Add(leaseLapse + time.Duration(rank)*claimSpread)) {
			return config.Record{}, false
		}
	}
	l.ask++
	l.asked, l.begun[l.ask] = now, now
	claim := &config.LeaseClaim{Boot: l.self.Boot, Box: l.self.Box, After: l.seen.Renewed, ClaimNumber: l.ask}
	return config.Record{Kind: config.RecordLease, Lease: claim}, true
}

// appendRecord writes a record to the configuration stream.
func appendRecord(ctx context.Context, log willowwick.Log, record config.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, willowwick.StreamConfig, data)
	return err
}
