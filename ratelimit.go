package willowwick

import (
	"math"
	"strconv"
	"strings"
)

type (
	// PerSecond is a rate of requests.
	PerSecond float64

	// RateLimit is what an answer of an endpoint says of the requests that the endpoint takes from all boxes together.
	RateLimit struct {
		Rate  PerSecond // of a limit that is named
		Named bool
		// Unreadable is what stands in the answer in place of a rate; such an answer tells nothing of the limit.
		Unreadable string
	}
)

// ParseRateLimit reads the limit in an answer; no text names none.
func ParseRateLimit(text string) RateLimit {
	text = strings.TrimSpace(text)
	if text == "" {
		return RateLimit{}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return RateLimit{Unreadable: text}
	}
	return RateLimit{Rate: PerSecond(rate), Named: true}
}
