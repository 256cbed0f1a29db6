package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

const (
	// leaseDuration is how long a holder may act after it began its last granted renewal.
	leaseDuration = 12 * time.Second
	// leaseTakeoverDelay is how long other boxes wait after the last renewal before they claim the lease; it exceeds
	// leaseDuration to allow for clocks that run at different rates.
	leaseTakeoverDelay = 16 * time.Second
	leaseRenewInterval = 4 * time.Second
	claimStagger       = 400 * time.Millisecond
)

// Lease tracks whether this daemon is the leader, which may order and advance roll-outs.
//
// The log is the arbiter: a claim names the last record of the lease that it has seen, and the fold accepts the first
// such claim. The holder counts the validity of its lease from before it sent the claim, so a process that was paused
// detects the expiry by its own clock.
type Lease struct {
	mu           sync.Mutex
	self         Identity
	observed     config.Lease         // lease as last folded
	observedAt   time.Time            // when observed last changed on this box
	claimNumber  uint64               // number of the latest claim
	pendingSince time.Time            // when the latest claim was begun, while its outcome is unknown; zero otherwise
	begunAt      map[uint64]time.Time // start times of the claims with an unknown outcome, by claim number
	validUntil   time.Time
}

// NewLease returns a lease that this daemon does not hold.
func NewLease(self Identity) *Lease {
	return &Lease{self: self, begunAt: map[uint64]time.Time{}}
}

// Observe records the lease that the fold has reached.
func (l *Lease) Observe(now time.Time, folded config.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if folded == l.observed {
		return
	}
	l.observed, l.observedAt = folded, now
	if begun, ours := l.begunAt[folded.ClaimNumber]; ours && folded.Boot == l.self.Boot {
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

// Claim returns the record that takes or renews the lease if a claim is due; rank staggers the claims of daemons that
// see the lease expire at the same time.
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
	claim := &config.LeaseClaim{Boot: l.self.Boot, Box: l.self.Box, After: l.observed.Renewed, ClaimNumber: l.claimNumber}
	return config.Record{Kind: config.RecordLease, Lease: claim}, true
}

// appendRecord appends a record to the configuration stream.
func appendRecord(ctx context.Context, log willowwick.Log, record config.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, willowwick.StreamConfig, data)
	return err
}
