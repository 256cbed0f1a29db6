package wire

import (
	"log/slog"
	"sync"
	"time"

	"github.com/willowwick/willowwick/clock"
)

const (
	// callersLinkShare is the share of a box's link that its callers may use; the rest is for other boxes and the store. Each byte of
	// theirs uses both directions once: it comes in over one and is passed on over the other.
	callersLinkShare = 0.8
	// linkBurst is the time for which callers may use all of their share at once, having used none of it before.
	linkBurst = 100 * time.Millisecond
	// maxLinkDebt bounds for how long a share that was exceeded stays used up: bytes that were written wait in the link as long.
	maxLinkDebt = 5 * time.Second
	// maxUnreadTime is the longest time for which the count alone lets no new connection be read: a box that reads none looks dead.
	maxUnreadTime = 500 * time.Millisecond
	// firstRequestBytes is the expected size of a request and its answer before any was measured, and sizeSmoothing the weight of
	// each one that is measured.
	firstRequestBytes = 4 << 10
	sizeSmoothing     = 0.1

	// unreadLogInterval is the least time between two log lines on refused connections.
	unreadLogInterval = time.Second

	bytesPerMbit = 1e6 / 8

	// segmentBytes is the most that a segment carries, and segmentHeadBytes the size of its heads and of what acknowledges it.
	segmentBytes     = 1460
	segmentHeadBytes = 80
)

// LinkLimit decides which new connections of callers a box reads: only as many as its link can carry in time.
//
// Callers whose connections are refused reach other boxes at once. A nil LinkLimit reads all.
type LinkLimit struct {
	rate float64 // bytes that callers may use, per second

	mu           sync.Mutex
	level        float64 // bytes that callers may use now; negative if they used more
	filledAt     time.Time
	admittedAt   time.Time // when the newest connection was admitted
	requestBytes float64   // usual size of a connection's first request with its answer
	loggedAt     time.Time // when refused connections were last logged
}

// NewLinkLimit returns the limit for a link of a bandwidth in Mbit/s; nil if it is unknown.
func NewLinkLimit(mbps int) *LinkLimit {
	if mbps <= 0 {
		return nil
	}
	rate := callersLinkShare * float64(mbps) * bytesPerMbit
	return &LinkLimit{rate: rate, level: rate * linkBurst.Seconds(), filledAt: clock.Now(), requestBytes: firstRequestBytes}
}

// IsExhausted reports whether callers use more than their share of the link.
func (l *LinkLimit) IsExhausted(now time.Time) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill(now)
	return l.level < 0
}

// mustRefuse reports whether no more connections may be let in.
func (l *LinkLimit) mustRefuse(now time.Time) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.hasRoom(now, 0)
}

// admit reports whether a new connection is read, and if so, how many bytes are reserved for its first request; it may use up the
// share of the next maxDebt.
func (l *LinkLimit) admit(now time.Time, maxDebt time.Duration) (reserved float64, isAdmitted bool) {
	if l == nil {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasRoom(now, maxDebt) {
		return 0, false
	}
	l.admittedAt = now
	l.level -= l.requestBytes
	return l.requestBytes, true
}

// freeAt returns when half of a burst may be read again, at most maxUnreadTime after the newest connection was admitted.
func (l *LinkLimit) freeAt(now time.Time) time.Time {
	if l == nil {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill(now)
	missing := l.rate*linkBurst.Seconds()/2 - l.level
	at := now.Add(time.Duration(max(missing, 0) / l.rate * float64(time.Second)))
	if latest := l.admittedAt.Add(maxUnreadTime); at.After(latest) {
		return latest
	}
	return at
}

// use takes bytes that callers used, beyond those that were reserved.
func (l *LinkLimit) use(now time.Time, bytes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill(now)
	l.level = max(l.level-bytes, -l.rate*maxLinkDebt.Seconds())
}

// giveBack returns what was reserved for a connection that isn't read after all.
func (l *LinkLimit) giveBack(reserved float64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.level += reserved
}

// measured records the size of a connection's first request with its answer, and gives back what is left of the reservation.
func (l *LinkLimit) measured(used, reserved float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if used > 0 {
		l.requestBytes += sizeSmoothing * (used - l.requestBytes)
	}
	l.level += max(reserved-used, 0)
}

// hasRoom reports whether a connection may be read that uses up at most the share of the next maxDebt.
func (l *LinkLimit) hasRoom(now time.Time, maxDebt time.Duration) bool {
	l.fill(now)
	if l.level >= -l.rate*maxDebt.Seconds() || now.Sub(l.admittedAt) >= maxUnreadTime {
		return true
	}
	l.logUnread(now)
	return false
}

func (l *LinkLimit) fill(now time.Time) {
	if passed := now.Sub(l.filledAt); passed > 0 {
		l.level = min(l.level+l.rate*passed.Seconds(), l.rate*linkBurst.Seconds())
		l.filledAt = now
	}
}

// logUnread logs from time to time that connections aren't read.
func (l *LinkLimit) logUnread(now time.Time) {
	if now.Sub(l.loggedAt) < unreadLogInterval {
		return
	}
	l.loggedAt = now
	slog.Info("callers use more than their share of the link: new connections are refused", "level", int(l.level), "bytes_per_s", int(l.rate),
		"request_bytes", int(l.requestBytes))
}

// linkUse counts what one connection of a caller uses of the link.
type linkUse struct {
	limit    *LinkLimit // nil for none
	mu       sync.Mutex
	reserved float64 // for the first request
	used     float64 // by the first request and its answer
	isFirst  bool    // the first request has not ended
}

// add counts bytes that were read or written.
func (u *linkUse) add(bytes int) {
	if u.limit == nil || bytes <= 0 {
		return
	}
	u.mu.Lock()
	segments := (bytes + segmentBytes - 1) / segmentBytes
	beyond := float64(bytes + segments*segmentHeadBytes)
	if u.isFirst {
		left := max(u.reserved-u.used, 0)
		u.used += beyond
		beyond = max(beyond-left, 0)
	}
	u.mu.Unlock()
	if beyond > 0 {
		u.limit.use(clock.Now(), beyond)
	}
}

// endFirst ends the count of the first request; later calls do nothing.
func (u *linkUse) endFirst() {
	if u.limit == nil {
		return
	}
	u.mu.Lock()
	wasFirst, used := u.isFirst, u.used
	u.isFirst = false
	u.mu.Unlock()
	if wasFirst {
		u.limit.measured(used, u.reserved)
	}
}
