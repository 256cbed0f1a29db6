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
	steady time.Duration // since the start
	asleep time.Duration
	reads  int // of the time of suspension
	err    error
}

var dayOne = time.Now()

// clock is a clock over them.
func (m *testMachine) clock() *Clock {
	return New(func() time.Time { return dayOne.Add(m.steady) }, func() (time.Duration, error) {
		m.reads++
		return m.asleep, m.err
	})
}

func TestTheTimeOfASuspensionCounts(t *testing.T) {
	m := &testMachine{asleep: time.Hour}
	c := m.clock()
	began := c.Now()
	m.steady += 300 * time.Millisecond
	assert.Equal(t, 300*time.Millisecond, c.Now().Sub(began), "what was suspended before does not count")
	m.steady += lookEvery
	m.asleep += 9 * time.Second
	assert.Equal(t, 10300*time.Millisecond, c.Now().Sub(began))
	m.steady += 2 * lookEvery
	m.asleep -= 5 * time.Millisecond
	assert.Equal(t, 12300*time.Millisecond, c.Now().Sub(began), "it never goes back")
	m.err = errors.New("no such clock")
	m.steady += 2 * lookEvery
	assert.Equal(t, 14300*time.Millisecond, c.Now().Sub(began))
}

func TestTheSystemIsAskedRarely(t *testing.T) {
	m := &testMachine{}
	c := m.clock()
	for range 2000 {
		m.steady += time.Millisecond
		c.Now()
	}
	assert.LessOrEqual(t, m.reads, 4, "in two seconds")
}

// The first look at the clock after a suspension shows it, since the time of day has jumped.
func TestASuspensionShowsAtOnce(t *testing.T) {
	m := &testMachine{}
	c := m.clock()
	began := c.Now()
	c.seen.Store(&reading{at: c.began, drift: -5 * time.Second})
	m.asleep = 5 * time.Second
	assert.Equal(t, 5*time.Second, c.Now().Sub(began))
	c.seen.Store(&reading{at: c.began, drift: 3 * time.Second, slept: 5 * time.Second})
	assert.Equal(t, 5*time.Second, c.Now().Sub(began), "the time of day was set")
}

func TestThisMachineTellsItsSuspensions(t *testing.T) {
	_, err := suspended()
	require.NoError(t, err)
	began := Now()
	assert.Less(t, Since(began), time.Second)
	restore := Suspend(time.Minute)
	assert.InDelta(t, 60, Since(began).Seconds(), 1)
	assert.InDelta(t, 0, time.Until(System(Now())).Seconds(), 1, "timers of the runtime do not count it")
	restore()
	assert.Less(t, Since(began), time.Second)
}

// Whoever asks the steady clock of an age takes it for too young on a box that was suspended.
func TestAgesAndDeadlinesGoByThisClock(t *testing.T) {
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
