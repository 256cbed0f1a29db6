package quarantine

import (
	"net/http"
	"time"

	"github.com/willowwick/willowwick"
)

// CrashCheckTimeout bounds the check whether an endpoint crashed: a round trip to another hall takes some
// milliseconds, and the failed request waits for it.
const CrashCheckTimeout = 100 * time.Millisecond

// Refusal returns the answer of every box to the caller of a refused request. It is permanent and does not promise
// that the request did not run.
func Refusal() *willowwick.Refusal {
	return willowwick.Failed(willowwick.CodePoison, "%d endpoints crashed while running this request; it is not sent to others", RefuseAfterCrashes)
}

// IsCompletedRun reports whether the status of a complete answer shows that an endpoint ran the request to its end;
// an endpoint that rejects a request may not have begun it.
func IsCompletedRun(status int) bool {
	return status < http.StatusMultipleChoices
}
