package route

import (
	"sync"
	"time"
)

// RetryKind orders retries by what is lost without them.
type RetryKind int

// Kinds of retry.
const (
	// RetryFailover sends a request again that would otherwise fail.
	RetryFailover RetryKind = iota
	// RetryEscalation asks a larger model after an answer of low confidence.
	RetryEscalation
)

const (
	// windowBuckets is the number of buckets of the window; the count is inexact by up to one bucket.
	windowBuckets = 10
	// retryMargin is the share of the operator's allowance that is used: boxes count by their own clocks, and a
	// request may arrive in another bucket than the one it was counted in.
	retryMargin = 0.85
	// escalationShare is the share of the used allowance open to escalations; the rest is reserved for failover.
	escalationShare = 0.8
)

type (
	// RetryLimits are the operator's bound on attempts beyond the first of each request.
	RetryLimits struct {
		Ratio  float64       // retries allowed for each request of the window
		Slack  int           // retries allowed beyond that, for all boxes together
		Window time.Duration // window in which both are counted
	}

	// WindowedRetryBudget enforces one box's part of the bound for one service.
	WindowedRetryBudget struct {
		mu      sync.Mutex
		limits  RetryLimits
		buckets [windowBuckets]retryBucket
	}

	// retryBucket counts one part of the window.
	retryBucket struct {
		index    int64 // number of the part since the Unix epoch
		requests int
		retries  int
	}
)

// NewWindowedRetryBudget returns a budget without requests or retries.
func NewWindowedRetryBudget(limits RetryLimits) *WindowedRetryBudget {
	return &WindowedRetryBudget{limits: limits}
}

// Request counts a caller's request.
func (b *WindowedRetryBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Take counts a retry and returns true if this box's part of the bound allows it.
func (b *WindowedRetryBudget) Take(now time.Time, kind RetryKind, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, kind, boxes) {
		return false
	}
	b.bucket(now).retries++
	return true
}

// Allows reports whether Take would allow a retry.
func (b *WindowedRetryBudget) Allows(now time.Time, kind RetryKind, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, kind, boxes)
}

func (b *WindowedRetryBudget) allows(now time.Time, kind RetryKind, boxes int) bool {
	requests, retries := b.sums(now)
	allowed := retryMargin * (b.limits.Ratio*float64(requests) + float64(b.limits.Slack)/float64(max(boxes, 1)))
	if kind == RetryEscalation {
		allowed *= escalationShare
	}
	return float64(retries+1) <= allowed
}

func (b *WindowedRetryBudget) index(now time.Time) int64 {
	return now.UnixNano() / (int64(b.limits.Window) / windowBuckets)
}

func (b *WindowedRetryBudget) bucket(now time.Time) *retryBucket {
	index := b.index(now)
	bucket := &b.buckets[index%windowBuckets]
	if bucket.index != index {
		*bucket = retryBucket{index: index}
	}
	return bucket
}

func (b *WindowedRetryBudget) sums(now time.Time) (requests, retries int) {
	index := b.index(now)
	for _, bucket := range b.buckets {
		if index-bucket.index < windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return requests, retries
}
