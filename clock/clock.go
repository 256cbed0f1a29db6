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
	// minClockJump is by how much the time of day may run away from the steady clock until it is found out why: more than both are
	// ever corrected between two looks, less than any bound on an age.
	minClockJump = 20 * time.Millisecond
	// checkInterval is how often that is found out anyway: a step of the time of day may hide a suspension.
	checkInterval = time.Second
	// readAttempts is how often two clocks are read for one difference, since the process may be held up between the reads.
	readAttempts = 3
)

type (
	// Clock is the steady clock with the time that it leaves out while the machine is suspended. A box that has slept
	// would else take all that it knows for younger than it is, and send on requests whose time is up.
	//
	// Its times compare with each other alone. Their time of day is no use to anybody: it runs ahead by the time of suspension.
	Clock struct {
		now             func() time.Time
		readSuspended   func() (time.Duration, error) // how long the machine has been suspended since it started
		start           time.Time
		suspendedBefore time.Duration // suspended before the clock was made

		mu          sync.Mutex
		lastReading atomic.Pointer[reading]
	}

	// reading is what the last look showed.
	reading struct {
		at        time.Time     // by the steady clock
		drift     time.Duration // measured length: by how much the time of day ran away from the steady clock since began
		suspended time.Duration // measured length: of suspension since began
	}
)

// process is the clock of this process.
var process = New(time.Now, readSuspendedTime)

// New returns a clock over a steady one that also has a time of day, and the time for which the machine was suspended.
func New(now func() time.Time, readSuspended func() (time.Duration, error)) *Clock {
	c := &Clock{now: now, readSuspended: readSuspended, start: now()}
	before, err := readSuspended()
	if err != nil {
		slog.Error("suspensions of the machine are not noticed", "error", err)
	}
	c.suspendedBefore = before
	c.lastReading.Store(&reading{at: c.start})
	return c
}

// Now returns the time.
//
// It asks the system for more than its usual time only where the time of day has jumped, and once a second.
func (c *Clock) Now() time.Time {
	now := c.now()
	last := c.lastReading.Load()
	drift := now.Round(0).Sub(c.start.Round(0)) - now.Sub(c.start)
	if (drift-last.drift).Abs() >= minClockJump || now.Sub(last.at) >= checkInterval {
		last = c.checkSuspension(now, drift)
	}
	return now.Add(last.suspended)
}

// checkSuspension finds out whether the machine was suspended.
func (c *Clock) checkSuspension(now time.Time, drift time.Duration) *reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &reading{at: now, drift: drift, suspended: c.lastReading.Load().suspended}
	total, err := c.readSuspended()
	if err != nil {
		slog.Debug("time of suspension could not be read", "error", err)
	} else if suspended := total - c.suspendedBefore; suspended-next.suspended >= minClockJump {
		slog.Info("the machine was suspended", "ms", (suspended - next.suspended).Milliseconds())
		next.suspended = suspended
	}
	c.lastReading.Store(next)
	return next
}

// readSuspendedTime is how long the machine has been suspended since it started.
func readSuspendedTime() (time.Duration, error) {
	var longest time.Duration
	for try := range readAttempts {
		var steady, whole unix.Timespec
		// In this order a pause between the reads makes the difference smaller, never larger.
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &whole); err != nil {
			return 0, errors.Wrap(err, "clock since the start of the machine")
		}
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
			return 0, errors.Wrap(err, "steady clock")
		}
		if difference := time.Duration(whole.Nano() - steady.Nano()); try == 0 || difference > longest {
			longest = difference
		}
	}
	return longest, nil
}

// Now returns the time of this process's clock.
func Now() time.Time {
	return process.Now()
}

// Since returns how long ago a time of this process's clock was.
func Since(t time.Time) time.Duration {
	return process.Now().Sub(t)
}

// Until returns how long it is until a time of this process's clock.
func Until(t time.Time) time.Duration {
	return t.Sub(process.Now())
}

// TimeOfDay returns the time by which boxes and people tell each other when something was.
func TimeOfDay() time.Time {
	return time.Now()
}

// SystemTime returns a time of this process's clock as timers of the runtime take it, which do not count suspensions, and
// with its time of day.
func SystemTime(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-process.lastReading.Load().suspended)
}

// WithDeadline is context.WithDeadline for a time of this process's clock.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(parent, SystemTime(deadline))
}

// SimulateSuspension makes this process's clock go on by a length, as if the machine had been suspended, and returns a function that
// takes that back; for tests.
func SimulateSuspension(duration time.Duration) func() {
	before := process.readSuspended
	process.setReadSuspended(func() (time.Duration, error) {
		total, err := before()
		return total + duration, err
	})
	return func() { process.setReadSuspended(before) }
}

// setReadSuspended replaces the source, and looks at it at once.
func (c *Clock) setReadSuspended(readSuspended func() (time.Duration, error)) {
	c.mu.Lock()
	c.readSuspended = readSuspended
	last := *c.lastReading.Load()
	last.suspended = 0
	c.lastReading.Store(&last)
	c.mu.Unlock()
	c.checkSuspension(last.at, last.drift)
}
