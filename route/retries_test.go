package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var testRetryLimits = RetryLimits{Ratio: 0.5, Slack: 40, Window: 10 * time.Second}

func TestRetriesOfAllBoxesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.IntRange(1, 9).Draw(t, "boxes")
		budgets := make([]*WindowedRetryBudget, boxes)
		for i := range budgets {
			budgets[i] = NewWindowedRetryBudget(testRetryLimits)
		}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, boxes-1).Draw(t, "box")]
			if rapid.Bool().Draw(t, "isRequest") {
				budget.Request(now)
				requests = append(requests, now)
				continue
			}
			kind := RetryKind(rapid.IntRange(0, 1).Draw(t, "kind"))
			allowed := budget.Allows(now, kind, boxes)
			if taken := budget.Take(now, kind, boxes); taken != allowed {
				t.Fatalf("Take returned %v after Allows returned %v", taken, allowed)
			}
			if allowed {
				repeats = append(repeats, now)
			}
			most := testRetryLimits.Ratio*float64(countInWindow(requests, now)) + float64(testRetryLimits.Slack)
			if n := countInWindow(repeats, now); float64(n) > most {
				t.Fatalf("%d retries in the window; %f are allowed", n, most)
			}
		}
	})
}

// countInWindow counts the times within the window before now.
func countInWindow(times []time.Time, now time.Time) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < testRetryLimits.Window {
			n++
		}
	}
	return n
}

func TestEscalationsLeaveBudgetForFailover(t *testing.T) {
	budget := NewWindowedRetryBudget(testRetryLimits)
	now := time.Unix(1000, 0)
	for budget.Take(now, RetryEscalation, 1) {
	}
	assert.True(t, budget.Take(now, RetryFailover, 1))
}

func TestRetriesOfAnEarlierWindowDoNotCount(t *testing.T) {
	budget := NewWindowedRetryBudget(testRetryLimits)
	now := time.Unix(1000, 0)
	for budget.Take(now, RetryFailover, 1) {
	}
	assert.True(t, budget.Take(now.Add(testRetryLimits.Window+testRetryLimits.Window/windowBuckets), RetryFailover, 1))
}
