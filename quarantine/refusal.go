package quarantine

import (
	"net/http"
	"time"

	"github.com/willowwick/willowwick"
)

// CheckLimit is how long a look may take whether an endpoint ended: the way to another hall and back takes some milliseconds,
// and the request that broke waits for it.
const CheckLimit = 100 * time.Millisecond

// Refusal returns what the caller of a refused request is told by each box: for good, and without a promise that it has not run.
func Refusal() *willowwick.Refusal {
	return willowwick.Failed(willowwick.CodePoison, "%d endpoints ended while they ran this request; it is not sent to others", RefuseAfter)
}

// IsHarmlessBy reports whether the status of a whole answer shows that an endpoint bore the request to its end: one that rejects it
// may not have begun.
func IsHarmlessBy(status int) bool {
	return status < http.StatusMultipleChoices
}
