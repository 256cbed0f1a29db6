package clock

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// minClockJump is the drift between the time of day and the monotonic clock that triggers a check for a
	// suspension: more than regular clock corrections add up to between two checks, less than any limit on an age.
	minClockJump = 20 * time.Millisecond
	// checkInterval is how often suspensions are checked for without such a jump: a step of the time of day may hide one.
	checkInterval = time.Second
	// readAttempts is how often two clocks are read for one difference, since the process may be paused between the
	// reads.
	readAttempts = 3
)

type (
	// Clock is the monotonic clock plus the time for which the machine was suspended, which the monotonic clock
	// leaves out. Without it, a box that was suspended would underestimate the age of its data, and forward
	// requests whose deadline has passed.
	//
	// Its times compare only with each other. Their time of day is meaningless: it is ahead by the suspended time.
	Clock struct {
		now             func() time.Time
		readSuspended   func() (time.Duration, error) // total time that the machine has been suspended since it booted
		start           time.Time
		suspendedBefore time.Duration // suspended time before the clock was created

		mu          sync.Mutex
		lastReading atomic.Pointer[reading]
	}

	// reading is the result of a check for suspensions.
	reading struct {
		at        time.Time     // by the monotonic clock
		drift     time.Duration // drift of the time of day from the monotonic clock since start
		suspended time.Duration // suspended time since start
	}
)

// process is the clock that the package-level functions use.
var process = New(time.Now, readSuspendedTime)

// New returns a clock over a monotonic clock that also has a time of day, and a function that returns the suspended
// time.
func New(now func() time.Time, readSuspended func() (time.Duration, error)) *Clock {
	c := &Clock{now: now, readSuspended: readSuspended, start: now()}
	before, err := readSuspended()
	if err != nil {
		slog.Error("failed to read suspended time; suspensions will not be detected", "error", err)
	}
	c.suspendedBefore = before
	c.lastReading.Store(&reading{at: c.start})
	return c
}

// Now returns the current time.
//
// It reads the suspended time only after a jump of the time of day, and once per second.
func (c *Clock) Now() time.Time {
	now := c.now()
	last := c.lastReading.Load()
	drift := now.Round(0).Sub(c.start.Round(0)) - now.Sub(c.start)
	if (drift-last.drift).Abs() >= minClockJump || now.Sub(last.at) >= checkInterval {
		last = c.checkSuspension(now, drift)
	}
	return now.Add(last.suspended)
}

// checkSuspension reads the suspended time and stores it in a new reading.
func (c *Clock) checkSuspension(now time.Time, drift time.Duration) *reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &reading{at: now, drift: drift, suspended: c.lastReading.Load().suspended}
	total, err := c.readSuspended()
	if err != nil {
		slog.Debug("failed to read suspended time", "error", err)
	} else if suspended := total - c.suspendedBefore; suspended-next.suspended >= minClockJump {
		slog.Info("the machine was suspended", "ms", (suspended - next.suspended).Milliseconds())
		next.suspended = suspended
	}
	c.lastReading.Store(next)
	return next
}

// readSuspendedTime returns how long the machine has been suspended since it booted.
func readSuspendedTime() (time.Duration, error) {
	var longest time.Duration
	for try := range readAttempts {
		var steady, whole unix.Timespec
		// In this order, a pause between the reads can only make the difference smaller.
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &whole); err != nil {
			return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
		}
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
			return 0, errors.Wrap(err, "read CLOCK_MONOTONIC")
		}
		if difference := time.Duration(whole.Nano() - steady.Nano()); try == 0 || difference > longest {
			longest = difference
		}
	}
	return longest, nil
}

// Now returns the current time of the process clock.
func Now() time.Time {
	return process.Now()
}

// Since returns the time elapsed since t, which is a time of the process clock.
func Since(t time.Time) time.Duration {
	return process.Now().Sub(t)
}

// Until returns the time until t, which is a time of the process clock.
func Until(t time.Time) time.Duration {
	return t.Sub(process.Now())
}

// TimeOfDay returns the time of day, which is comparable between boxes and meaningful to people.
func TimeOfDay() time.Time {
	return time.Now()
}

// SystemTime converts a time of the process clock to one of the system's clock: one with a correct time of day, for
// use with runtime timers, which leave out suspensions.
func SystemTime(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-process.lastReading.Load().suspended)
}

// WithDeadline is context.WithDeadline for a deadline of the process clock.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(parent, SystemTime(deadline))
}

// Sleep waits for a time, or until the context is done.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// SimulateSuspension advances the process clock as if the machine had been suspended for the given duration, and
// returns a function that undoes it; for tests.
func SimulateSuspension(duration time.Duration) func() {
	before := process.readSuspended
	process.setReadSuspended(func() (time.Duration, error) {
		total, err := before()
		return total + duration, err
	})
	return func() { process.setReadSuspended(before) }
}

// setReadSuspended replaces the source of the suspended time, and checks it at once.
func (c *Clock) setReadSuspended(readSuspended func() (time.Duration, error)) {
	c.mu.Lock()
	c.readSuspended = readSuspended
	last := *c.lastReading.Load()
	last.suspended = 0
	c.lastReading.Store(&last)
	c.mu.Unlock()
	c.checkSuspension(last.at, last.drift)
}
