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

// testMachine is a machine whose clocks are set by the test.
type testMachine struct {
	steady    time.Duration // time since testStart, by the monotonic clock
	suspended time.Duration
	reads     int // number of reads of the suspended time
	err       error
}

var testStart = time.Now()

// newClock returns a Clock over the clocks of the machine.
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
	assert.Equal(t, 300*time.Millisecond, c.Now().Sub(began), "earlier suspensions do not count")
	m.steady += checkInterval
	m.suspended += 9 * time.Second
	assert.Equal(t, 10300*time.Millisecond, c.Now().Sub(began))
	m.steady += 2 * checkInterval
	m.suspended -= 5 * time.Millisecond
	assert.Equal(t, 12300*time.Millisecond, c.Now().Sub(began), "time never goes back")
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

// The first call of Now after a suspension includes it, since the time of day has jumped.
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
	assert.InDelta(t, 0, time.Until(SystemTime(Now())).Seconds(), 1, "runtime timers do not count it")
	restore()
	assert.Less(t, Since(began), time.Second)
}

// On a box that was suspended, ages by the monotonic clock are too small.
func TestSourcesUseThisClockForAgesAndDeadlines(t *testing.T) {
	steady := regexp.MustCompile(`time\.(Now|Since|Until)\(|context\.WithDeadline\(`)
	// A duration from now, for a runtime timer, or a time of day.
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
