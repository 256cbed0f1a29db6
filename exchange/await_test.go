package exchange

import (
	"runtime"
	"testing"
	"time"
)

// maxStackDump bounds the text of all goroutines' stacks, in bytes.
const maxStackDump = 4 << 20

// await waits until the condition holds. If it doesn't in time, the test ends with what tells a wait without end from a machine that
// stood still: the longest time from one check to the next, and what all goroutines wait for.
func await(t *testing.T, condition func() bool, within, interval time.Duration) {
	t.Helper()
	var longest time.Duration
	began := time.Now()
	for checkedAt := began; !condition(); checkedAt = time.Now() {
		time.Sleep(interval)
		longest = max(longest, time.Since(checkedAt))
		if time.Since(began) > within {
			stacks := make([]byte, maxStackDump)
			stacks = stacks[:runtime.Stack(stacks, true)]
			t.Fatalf("not within %v; longest time between two checks: %v; all goroutines:\n%s", within, longest, stacks)
		}
	}
}
