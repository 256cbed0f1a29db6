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

// content is the part of a request that determines its effect on an endpoint, identified by a fingerprint.
type content struct {
	poison willowwick.PoisonRequest // its fingerprint is computed on first use
	body   func() []byte
}

// chatContent returns the content of a chat request.
func chatContent(request *willowwick.Request) *content {
	return &content{
		poison: willowwick.PoisonRequest{Account: request.Account, Target: request.Target},
		body: func() []byte {
			body, err := json.Marshal([]any{request.Messages, request.MaxTokens, request.Temperature})
			if err != nil {
				// This can't happen: the request was decoded from JSON.
				slog.Error("request could not be encoded for its fingerprint", "request", request.ID, "error", err)
			}
			return body
		},
	}
}

// fingerprint returns the fingerprint of the content, and computes it on the first call.
func (c *content) fingerprint() willowwick.Fingerprint {
	if c.poison.Request == (willowwick.Fingerprint{}) {
		c.poison.Request = willowwick.FingerprintOf(c.poison.Account, "", c.poison.Host, c.poison.Target, c.body())
	}
	return c.poison.Request
}

// refusePoison returns a refusal for a request that crashes the endpoints running it, as all boxes do. The holder of the
// lease lets such a request through from time to time, as a trial on a release that may be able to run it.
func (d *Daemon) refusePoison(c *content, release willowwick.ReleaseID) *willowwick.Refusal {
	ledger := d.node.Quarantine
	if ledger.IsEmpty() || !ledger.Refuses(c.fingerprint()) {
		return nil
	}
	now := clock.Now()
	if _, holdsLease := d.node.Lease.Fence(now); holdsLease {
		if _, isAllowed := ledger.AllowTrial(c.poison, []willowwick.ReleaseID{release}, now); isAllowed {
			return nil
		}
	}
	return quarantine.Refusal()
}

// recordFailure checks after a failed call whether the endpoint crashed, and records the crash against the request. A
// draining endpoint doesn't count, since its operator may stop it at any time. It reports whether the failure counts as
// evidence against the release: all requests at a crashed endpoint fail, possibly because of one of them, and so they
// count as one failure.
func (d *Daemon) recordFailure(ctx context.Context, c *content, endpoint willowwick.Endpoint, release willowwick.ReleaseID, err error) (isEvidence bool) {
	isSent := !errors.Is(err, willowwick.ErrNotSent) && !errors.Is(err, willowwick.ErrBusy) && !errors.Is(err, willowwick.ErrDraining)
	if !isSent || ctx.Err() != nil || !d.pool.IsInService(endpoint.ID) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, quarantine.CrashCheckTimeout)
	defer cancel()
	if listens, known := d.deps.Engine.IsListening(ctx, endpoint); listens || !known {
		return true
	}
	c.fingerprint()
	return d.node.RecordCrash(c.poison, willowwick.EndpointCrash{Endpoint: endpoint.ID, Release: release, At: clock.Now()})
}

// recordCompleted records that an endpoint has answered the request completely.
func (d *Daemon) recordCompleted(c *content) {
	if !d.node.Quarantine.IsEmpty() {
		d.node.Quarantine.RecordAnswer(c.fingerprint(), clock.Now())
	}
}
