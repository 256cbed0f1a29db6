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
	// jumpLeast is by how much the time of day may run away from the steady clock until it is found out why: more than both are
	// ever corrected between two looks, less than any bound on an age.
	jumpLeast = 20 * time.Millisecond
	// lookEvery is how often that is found out anyway: a step of the time of day may hide a suspension.
	lookEvery = time.Second
	// readTries is how often two clocks are read for one difference, since the process may be held up between the reads.
	readTries = 3
)

type (
	// Clock is the steady clock with the time that it leaves out while the machine is suspended. A box that has slept
	// would else take all that it knows for younger than it is, and send on requests whose time is up.
	//
	// Its times compare with each other alone. Their time of day is no use to anybody: it runs ahead by the time of suspension.
	Clock struct {
		now    func() time.Time
		asleep func() (time.Duration, error) // how long the machine has been suspended since it started
		began  time.Time
		before time.Duration // suspended before the clock was made

		mu   sync.Mutex
		seen atomic.Pointer[reading]
	}

	// reading is what the last look showed.
	reading struct {
		at    time.Time     // by the steady clock
		drift time.Duration // measured length: by how much the time of day ran away from the steady clock since began
		slept time.Duration // measured length: of suspension since began
	}
)

// process is the clock of this process.
var process = New(time.Now, suspended)

// New returns a clock over a steady one that also has a time of day, and the time for which the machine was suspended.
func New(now func() time.Time, asleep func() (time.Duration, error)) *Clock {
	c := &Clock{now: now, asleep: asleep, began: now()}
	before, err := asleep()
	if err != nil {
		slog.Error("suspensions of the machine are not noticed", "error", err)
	}
	c.before = before
	c.seen.Store(&reading{at: c.began})
	return c
}

// Now returns the time.
//
// It asks the system for more than its usual time only where the time of day has jumped, and once a second.
func (c *Clock) Now() time.Time {
	now := c.now()
	seen := c.seen.Load()
	drift := now.Round(0).Sub(c.began.Round(0)) - now.Sub(c.began)
	if (drift-seen.drift).Abs() >= jumpLeast || now.Sub(seen.at) >= lookEvery {
		seen = c.look(now, drift)
	}
	return now.Add(seen.slept)
}

// look finds out whether the machine was suspended.
func (c *Clock) look(now time.Time, drift time.Duration) *reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &reading{at: now, drift: drift, slept: c.seen.Load().slept}
	asleep, err := c.asleep()
	if err != nil {
		slog.Debug("time of suspension could not be read", "error", err)
	} else if slept := asleep - c.before; slept-next.slept >= jumpLeast {
		slog.Info("the machine was suspended", "ms", (slept - next.slept).Milliseconds())
		next.slept = slept
	}
	c.seen.Store(next)
	return next
}

// suspended is how long the machine has been suspended since it started.
func suspended() (time.Duration, error) {
	var longest time.Duration
	for try := range readTries {
		var steady, whole unix.Timespec
		// In this order a pause between the reads makes the difference smaller, never larger.
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &whole); err != nil {
			return 0, errors.Wrap(err, "clock since the start of the machine")
		}
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
			return 0, errors.Wrap(err, "steady clock")
		}
		if length := time.Duration(whole.Nano() - steady.Nano()); try == 0 || length > longest {
			longest = length
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

// System returns a time of this process's clock as timers of the runtime take it, which do not count suspensions, and
// with its time of day.
func System(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-process.seen.Load().slept)
}

// WithDeadline is context.WithDeadline for a time of this process's clock.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(parent, System(deadline))
}

// Suspend makes this process's clock go on by a length, as if the machine had been suspended, and returns a function that
// takes that back; for tests.
func Suspend(length time.Duration) func() {
	before := process.asleep
	process.setAsleep(func() (time.Duration, error) {
		asleep, err := before()
		return asleep + length, err
	})
	return func() { process.setAsleep(before) }
}

// setAsleep replaces the source, and looks at it at once.
func (c *Clock) setAsleep(asleep func() (time.Duration, error)) {
	c.mu.Lock()
	c.asleep = asleep
	seen := *c.seen.Load()
	seen.slept = 0
	c.seen.Store(&seen)
	c.mu.Unlock()
	c.look(seen.at, seen.drift)
}
