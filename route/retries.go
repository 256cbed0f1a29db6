package route

import (
	"sync"
	"time"
)

// RetryKind orders repeats by what is lost without them.
type RetryKind int

// Kinds of repeat.
const (
	// RetryFailover sends a request again that would otherwise fail.
	RetryFailover RetryKind = iota
	// RetryEscalation asks a larger model after an answer of low confidence.
	RetryEscalation
)

const (
	// windowBuckets is the number of parts of the window; one part is the error of the count.
	windowBuckets = 10
	// retryMargin is the share of the operator's allowance that is used: boxes count by clocks of their own,
	// and a request may arrive in another part of the window than it was counted in.
	retryMargin = 0.85
	// escalationShare is the share of it that escalations may use up; the rest stays for failover.
	escalationShare = 0.8
)

type (
	// RetryLimits are the operator's bound on arrivals beyond the first of each request.
	RetryLimits struct {
		Ratio  float64       // repeats allowed for each request of the window
		Slack  int           // repeats allowed beyond that, for all boxes together
		Window time.Duration // setting: window in which they are counted
	}

	// WindowedRetryBudget holds one box to its part of the bound, for one service.
	WindowedRetryBudget struct {
		mu      sync.Mutex
		limits  RetryLimits
		buckets [windowBuckets]retryBucket
	}

	// retryBucket counts one part of the window.
	retryBucket struct {
		index    int64 // which part of time it counts
		requests int
		retries  int
	}
)

// NewWindowedRetryBudget returns a budget with nothing counted.
func NewWindowedRetryBudget(limits RetryLimits) *WindowedRetryBudget {
	return &WindowedRetryBudget{limits: limits}
}

// Request counts a request of a caller.
func (b *WindowedRetryBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Take counts a repeat if this box's part of the bound allows it.
func (b *WindowedRetryBudget) Take(now time.Time, kind RetryKind, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, kind, boxes) {
		return false
	}
	b.bucket(now).retries++
	return true
}

// Allows reports whether Take would allow a repeat.
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

func (b *WindowedRetryBudget) bucketIndex(now time.Time) int64 {
	return now.UnixNano() / (int64(b.limits.Window) / windowBuckets)
}

func (b *WindowedRetryBudget) bucket(now time.Time) *retryBucket {
	index := b.bucketIndex(now)
	bucket := &b.buckets[index%windowBuckets]
	if bucket.index != index {
		*bucket = retryBucket{index: index}
	}
	return bucket
}

func (b *WindowedRetryBudget) sums(now time.Time) (requests, retries int) {
	index := b.bucketIndex(now)
	for _, bucket := range b.buckets {
		if index-bucket.index < windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return requests, retries
}
