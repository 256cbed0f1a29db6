package willowwick

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/willowwick/willowwick/clock"
)

// longestRest bounds the rest that an endpoint may ask for: one that asks for more asks for as much.
const longestRest = 24 * time.Hour

type (
	// Notice is what an answer says of the endpoint that gave it, whatever it says to the request.
	Notice struct {
		Leaving   bool      // the endpoint takes no new requests any more
		RestUntil time.Time // it wants no request of this box before; zero if it asked for no rest
		RateLimit RateLimit
	}

	// NoticeHeaders names the headers of a protocol that hold a notice.
	NoticeHeaders struct {
		Leaving   string // 1 where the endpoint leaves
		Rest      string // in a 503, as ParseRest reads it
		RateLimit string // as ParseRateLimit reads it
	}
)

// Read reads the notice of an answer that has come now.
func (n NoticeHeaders) Read(status int, header http.Header, now time.Time) Notice {
	leaving := strings.TrimSpace(header.Get(n.Leaving))
	notice := Notice{Leaving: leaving != "" && leaving != "0", RateLimit: ParseRateLimit(header.Get(n.RateLimit))}
	if status == http.StatusServiceUnavailable {
		notice.RestUntil = ParseRest(header.Get(n.Rest), now, clock.TimeOfDay())
	}
	return notice
}

// ParseRest reads until when an endpoint that turned a request away wants no other, from a Retry-After of seconds, with fractions
// or without, or of a date; zero if it is empty or cannot be read, or asks for no time. The time of day is that of now.
func ParseRest(text string, now, timeOfDay time.Time) time.Time {
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
	return now.Add(time.Duration(min(seconds, longestRest.Seconds()) * float64(time.Second)))
}
