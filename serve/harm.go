package serve

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/quarantine"
)

// content is a request as far as it matters to an endpoint that runs it, to be told from others by its fingerprint.
type content struct {
	about willowwick.HarmfulRequest // its fingerprint is taken where it is needed
	body  func() []byte
}

// contentOf is the content of a chat request.
func contentOf(request *willowwick.Request) *content {
	return &content{
		about: willowwick.HarmfulRequest{Account: request.Account, Target: request.Target},
		body: func() []byte {
			body, err := json.Marshal([]any{request.Messages, request.MaxTokens, request.Temperature})
			if err != nil {
				// What came as JSON goes back to it.
				slog.Error("request has no fingerprint", "request", request.ID, "error", err)
			}
			return body
		},
	}
}

// fingerprint names the content.
func (c *content) fingerprint() willowwick.Fingerprint {
	if c.about.Request == (willowwick.Fingerprint{}) {
		c.about.Request = willowwick.FingerprintOf(c.about.Account, "", c.about.Host, c.about.Target, c.body())
	}
	return c.about.Request
}

// refuseHarmful refuses a request that ends the endpoints that run it, as all boxes do. The box that holds the lease tries it
// now and then on a release of the service or version on which it may run after all.
func (d *Daemon) refuseHarmful(c *content, release willowwick.ReleaseID) *willowwick.Refusal {
	harm := d.node.Quarantine
	if harm.IsEmpty() || !harm.Refuses(c.fingerprint()) {
		return nil
	}
	now := clock.Now()
	if _, holdsLease := d.node.Lease.Fence(now); holdsLease {
		if _, isAllowed := harm.Trial(c.about, []willowwick.ReleaseID{release}, now); isAllowed {
			return nil
		}
	}
	return quarantine.Refusal()
}

// noteBroken finds out whether an endpoint ended under a request whose answer broke off, and notes that. One that leaves may
// be stopped by its operator at any time. It reports whether that tells anything of the release: an endpoint that ends takes all its
// requests with it, and one of them may have ended it, so that they count as one failure and not as many.
func (d *Daemon) noteBroken(ctx context.Context, c *content, endpoint willowwick.Endpoint, release willowwick.ReleaseID, err error) (isEvidence bool) {
	isSent := !errors.Is(err, willowwick.ErrNotSent) && !errors.Is(err, willowwick.ErrBusy) && !errors.Is(err, willowwick.ErrLeaving)
	if !isSent || ctx.Err() != nil || !d.pool.Stays(endpoint.ID) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, quarantine.CheckLimit)
	defer cancel()
	if listens, known := d.outside.Engine.IsListening(ctx, endpoint); listens || !known {
		return true
	}
	c.fingerprint()
	return d.node.Quarantine.NoteEnd(c.about, willowwick.EndpointEnd{Endpoint: endpoint.ID, Release: release, At: clock.Now()})
}

// noteHarmless notes that an endpoint has answered the request whole.
func (d *Daemon) noteHarmless(c *content) {
	if !d.node.Quarantine.IsEmpty() {
		d.node.Quarantine.NoteAnswer(c.fingerprint(), clock.Now())
	}
}
