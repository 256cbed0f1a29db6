package willowwick

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Now()
	timeOfDay := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{
		"":       0,
		"3":      3 * time.Second,
		" 2.5 ":  2500 * time.Millisecond,
		"0.3":    300 * time.Millisecond,
		"0":      0,
		"-1":     0,
		"NaN":    0,
		"soon":   0,
		"3, 4":   0,
		"86400":  maxBackoff,
		"1e12":   maxBackoff,
		"Inf":    maxBackoff,
		"999999": maxBackoff,
		timeOfDay.Add(8 * time.Second).Format(http.TimeFormat):  8 * time.Second,
		timeOfDay.Add(-8 * time.Second).Format(http.TimeFormat): 0,
	} {
		got := ParseRetryAfter(text, now, timeOfDay)
		if want == 0 {
			assert.Zero(t, got, "%q", text)
			continue
		}
		assert.Equal(t, now.Add(want), got, "%q", text)
	}
}
