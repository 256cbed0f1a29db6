package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

const (
	// leaseDuration is how long a holder may act after it began its last renewal that was granted.
	leaseDuration = 12 * time.Second
	// leaseTakeoverDelay is how long others wait for a sign of the holder; the gap to leaseFor covers unlike clock rates.
	leaseTakeoverDelay = 16 * time.Second
	leaseRenewInterval = 4 * time.Second
	claimStagger       = 400 * time.Millisecond
)

// Lease says whether this daemon may order and advance.
//
// The log is the arbiter: a claim names the lease's last record, and the fold
// takes the first claim that does. A holder trusts its lease only for a time
// counted from before it asked, so one that was paused finds out by its own clock.
type Lease struct {
	mu           sync.Mutex
	self         Identity
	observed     config.Lease         // as last folded
	observedAt   time.Time            // when it last changed here
	claimNumber  uint64               // number of the newest claim
	pendingSince time.Time            // when it was begun, while its outcome is not known
	begunAt      map[uint64]time.Time // when claims whose outcome is not known were begun
	validUntil   time.Time
}

// NewLease returns a lease that this daemon does not hold.
func NewLease(self Identity) *Lease {
	return &Lease{self: self, begunAt: map[uint64]time.Time{}}
}

// Observe takes the lease as the fold has it.
func (l *Lease) Observe(now time.Time, folded config.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if folded == l.observed {
		return
	}
	l.observed, l.observedAt = folded, now
	if begun, ours := l.begunAt[folded.Ask]; ours && folded.Boot == l.self.Boot {
		l.validUntil = begun.Add(leaseDuration)
	}
	l.pendingSince = time.Time{}
	clear(l.begunAt)
}

// Fence returns the fencing number if this daemon holds the lease now.
func (l *Lease) Fence(now time.Time) (willowwick.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed.Boot != l.self.Boot || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.observed.Fence, true
}

// Claim returns the record that takes or renews the lease, if it is time to;
// rank spreads the claims of daemons that see the lease lapse together.
func (l *Lease) Claim(now time.Time, rank int) (config.Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pendingSince.IsZero() && now.Before(l.pendingSince.Add(leaseRenewInterval)) {
		return config.Record{}, false
	}
	switch {
	case l.observed.Boot == l.self.Boot:
		if now.Before(l.validUntil.Add(leaseRenewInterval - leaseDuration)) {
			return config.Record{}, false
		}
	case l.observed.Boot == "":
		freeSince := l.observedAt
		if freeSince.Before(l.self.Started) {
			freeSince = l.self.Started
		}
		if now.Before(freeSince.Add(time.Duration(rank) * claimStagger)) {
			return config.Record{}, false
		}
	default:
		if now.Before(l.observedAt.Add(leaseTakeoverDelay + time.Duration(rank)*claimStagger)) {
			return config.Record{}, false
		}
	}
	l.claimNumber++
	l.pendingSince, l.begunAt[l.claimNumber] = now, now
	claim := &config.LeaseClaim{Boot: l.self.Boot, Box: l.self.Box, After: l.observed.Renewed, Ask: l.claimNumber}
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
