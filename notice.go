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
		BackoffUntil time.Time // earliest time of the receiving box's next request; zero if no backoff is asked for
		RateLimit    RateLimit
		// RejectionLimit is the number of rejections a second, for want of room, under more than which the endpoint crashes.
		RejectionLimit RateLimit
	}

	// NoticeHeaders holds the names of the headers that carry a notice; each protocol has its own names.
	NoticeHeaders struct {
		Draining   string // any value but 0 means that the endpoint is draining
		RetryAfter string // read only from an answer with status 503, by ParseRetryAfter
		RateLimit  string // read by ParseRateLimit
		// RejectionLimit is read by ParseRateLimit; empty if the protocol has none.
		RejectionLimit string
	}
)

// Read reads the notice from an answer that arrived at the given time.
func (n NoticeHeaders) Read(status int, header http.Header, now time.Time) Notice {
	draining := strings.TrimSpace(header.Get(n.Draining))
	notice := Notice{
		Draining: draining != "" && draining != "0", RateLimit: ParseRateLimit(header.Get(n.RateLimit)),
		RejectionLimit: ParseRateLimit(header.Get(n.RejectionLimit)),
	}
	if status == http.StatusServiceUnavailable {
		notice.BackoffUntil = ParseRetryAfter(header.Get(n.RetryAfter), now, clock.TimeOfDay())
	}
	return notice
}

// ParseRetryAfter returns the end of the backoff that the value of a Retry-After header asks for, at most maxBackoff after
// now. The value is a number of seconds, which may have a fraction, or a date. The result is zero if the value is empty,
// invalid or asks for no delay. timeOfDay is the wall-clock time at now, to which a date is compared.
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
