package willowwick

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/willowwick/willowwick/clock"
)

// maxBackoff caps the backoff that an endpoint may ask for.
const maxBackoff = 24 * time.Hour

type (
	// Notice is what an endpoint reports about itself in the headers of an answer.
	Notice struct {
		Draining     bool      // the endpoint takes no more new requests
		BackoffUntil time.Time // this box should send no request before; zero if the endpoint asks for no backoff
		RateLimit    RateLimit
	}

	// NoticeHeaders are the names of the headers that hold a notice in a protocol.
	NoticeHeaders struct {
		Draining   string // set and not 0 if the endpoint is draining
		RetryAfter string // read from a 503 only, by ParseRetryAfter
		RateLimit  string // read by ParseRateLimit
	}
)

// Read reads the notice from an answer that arrived at the given time.
func (n NoticeHeaders) Read(status int, header http.Header, now time.Time) Notice {
	leaving := strings.TrimSpace(header.Get(n.Draining))
	notice := Notice{Draining: leaving != "" && leaving != "0", RateLimit: ParseRateLimit(header.Get(n.RateLimit))}
	if status == http.StatusServiceUnavailable {
		notice.BackoffUntil = ParseRetryAfter(header.Get(n.RetryAfter), now, clock.TimeOfDay())
	}
	return notice
}

// ParseRetryAfter returns the end of the backoff that a Retry-After header asks for, in seconds, which may have a fraction,
// or as a date. It returns zero if the text is empty, invalid or asks for no delay. timeOfDay is the wall-clock time at now.
func ParseRetryAfter(text string, now, timeOfDay time.Time) time.Time {
	text = strings.TrimSpace(text)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		date, err := http.ParseTime(text)
		if err != nil {
			return time.Time{}
		}
		seconds = date.Sub(timeOfDay).Seconds()
	}
	if math.IsNaN(seconds) || seconds <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second)))
}
