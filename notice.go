package willowwick

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/willowwick/willowwick/clock"
)

// maxBackoff bounds the rest that an endpoint may ask for: one that asks for more asks for as much.
const maxBackoff = 24 * time.Hour

type (
	// Notice is what an answer says of the endpoint that gave it, whatever it says to the request.
	Notice struct {
		Draining     bool      // the endpoint takes no new requests any more
		BackoffUntil time.Time // it wants no request of this box before; zero if it asked for no rest
		RateLimit    RateLimit
	}

	// NoticeHeaders names the headers of a protocol that hold a notice.
	NoticeHeaders struct {
		Draining   string // 1 where the endpoint leaves
		RetryAfter string // in a 503, as ParseRetryAfter reads it
		RateLimit  string // as ParseRateLimit reads it
	}
)

// Read reads the notice of an answer that has come now.
func (n NoticeHeaders) Read(status int, header http.Header, now time.Time) Notice {
	leaving := strings.TrimSpace(header.Get(n.Draining))
	notice := Notice{Draining: leaving != "" && leaving != "0", RateLimit: ParseRateLimit(header.Get(n.RateLimit))}
	if status == http.StatusServiceUnavailable {
		notice.BackoffUntil = ParseRetryAfter(header.Get(n.RetryAfter), now, clock.TimeOfDay())
	}
	return notice
}

// ParseRetryAfter reads until when an endpoint that turned a request away wants no other, from a Retry-After of seconds, with fractions
// or without, or of a date; zero if it is empty or cannot be read, or asks for no time. The time of day is that of now.
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
