package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testMachine has clocks that a test sets.
type testMachine struct {
	steady    time.Duration // since the start
	suspended time.Duration
	reads     int // of the time of suspension
	err       error
}

var testStart = time.Now()

// newClock is a clock over them.
func (m *testMachine) newClock() *Clock {
	return New(func() time.Time { return testStart.Add(m.steady) }, func() (time.Duration, error) {
		m.reads++
		return m.suspended, m.err
	})
}

func TestNowIncludesSuspendedTime(t *testing.T) {
	m := &testMachine{suspended: time.Hour}
	c := m.newClock()
	began := c.Now()
	m.steady += 300 * time.Millisecond
	assert.Equal(t, 300*time.Millisecond, c.Now().Sub(began), "what was suspended before does not count")
	m.steady += checkInterval
	m.suspended += 9 * time.Second
	assert.Equal(t, 10300*time.Millisecond, c.Now().Sub(began))
	m.steady += 2 * checkInterval
	m.suspended -= 5 * time.Millisecond
	assert.Equal(t, 12300*time.Millisecond, c.Now().Sub(began), "it never goes back")
	m.err = errors.New("no such clock")
	m.steady += 2 * checkInterval
	assert.Equal(t, 14300*time.Millisecond, c.Now().Sub(began))
}

func TestNowReadsSuspendedTimeRarely(t *testing.T) {
	m := &testMachine{}
	c := m.newClock()
	for range 2000 {
		m.steady += time.Millisecond
		c.Now()
	}
	assert.LessOrEqual(t, m.reads, 4, "in two seconds")
}

// The first look at the clock after a suspension shows it, since the time of day has jumped.
func TestSuspensionIsDetectedAtOnce(t *testing.T) {
	m := &testMachine{}
	c := m.newClock()
	began := c.Now()
	c.lastReading.Store(&reading{at: c.start, drift: -5 * time.Second})
	m.suspended = 5 * time.Second
	assert.Equal(t, 5*time.Second, c.Now().Sub(began))
	c.lastReading.Store(&reading{at: c.start, drift: 3 * time.Second, suspended: 5 * time.Second})
	assert.Equal(t, 5*time.Second, c.Now().Sub(began), "the time of day was set")
}

func TestProcessClockReadsSuspendedTime(t *testing.T) {
	_, err := readSuspendedTime()
	require.NoError(t, err)
	began := Now()
	assert.Less(t, Since(began), time.Second)
	restore := SimulateSuspension(time.Minute)
	assert.InDelta(t, 60, Since(began).Seconds(), 1)
	assert.InDelta(t, 0, time.Until(SystemTime(Now())).Seconds(), 1, "timers of the runtime do not count it")
	restore()
	assert.Less(t, Since(began), time.Second)
}

// Whoever asks the steady clock of an age takes it for too young on a box that was suspended.
func TestSourcesUseThisClockForAgesAndDeadlines(t *testing.T) {
	steady := regexp.MustCompile(`time\.(Now|Since|Until)\(|context\.WithDeadline\(`)
	// A length from now, for a timer of the runtime, or a time of day.
	allowed := regexp.MustCompile(`Deadline\(time\.Now\(\)\.Add\(|time\.Now\(\)\.Unix`)
	for _, folder := range []string{"exchange", "platform", "route", "gate", "wire", "quarantine", "rollout", "fleet", "serve"} {
		files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for number, line := range strings.Split(string(text), "\n") {
				isSteady := steady.MatchString(line) && !allowed.MatchString(line)
				assert.False(t, isSteady, "%s:%d: %s", file, number+1, strings.TrimSpace(line))
			}
		}
	}
}
