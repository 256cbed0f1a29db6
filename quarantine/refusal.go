package quarantine

import (
	"net/http"
	"time"

	"github.com/willowwick/willowwick"
)

// CrashCheckTimeout is how long a look may take whether an endpoint ended: the way to another hall and back takes some milliseconds,
// and the request that broke waits for it.
const CrashCheckTimeout = 100 * time.Millisecond

// Refusal returns what the caller of a refused request is told by each box: for good, and without a promise that it has not run.
func Refusal() *willowwick.Refusal {
	return willowwick.Failed(willowwick.CodeHarmful, "%d endpoints ended while they ran this request; it is not sent to others", RefuseAfterCrashes)
}

// IsCompletedRun reports whether the status of a whole answer shows that an endpoint bore the request to its end: one that rejects it
// may not have begun.
func IsCompletedRun(status int) bool {
	return status < http.StatusMultipleChoices
}
