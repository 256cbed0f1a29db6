package serve

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/quarantine"
)

// content is the part of a request that determines its effect on an endpoint, identified by a fingerprint.
type content struct {
	poison   willowwick.PoisonRequest // its fingerprints are computed on first use
	body     func() []byte
	messages []willowwick.Message // each but the last is a part that other prompts may share
	hasParts bool                 // the fingerprints of the parts are computed
}

// chatContent returns the content of a chat request.
func chatContent(request *willowwick.Request) *content {
	return &content{
		poison:   willowwick.PoisonRequest{Account: request.Account, Target: request.Target},
		messages: request.Messages,
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

// partFingerprints returns the fingerprints of the parts of the prompt, and computes them on the first call.
func (c *content) partFingerprints() willowwick.PartFingerprints {
	if c.hasParts {
		return c.poison.Parts
	}
	c.hasParts = true
	var parts []string
	for i := range len(c.messages) - 1 {
		parts = append(parts, c.messages[i].Role+"\x00"+c.messages[i].Content)
	}
	c.poison.Parts = willowwick.PartFingerprintsOf(c.poison.Account, c.poison.Service, parts)
	return c.poison.Parts
}

// isPoison reports whether the request crashes the endpoints running it.
func (d *Daemon) isPoison(c *content) bool {
	ledger := d.node.Quarantine
	return !ledger.IsEmpty() && (ledger.Refuses(c.fingerprint()) || ledger.RefusesParts(c.partFingerprints()))
}

// refusePoison returns a refusal for a request that crashes the endpoints running it, as all boxes do. The holder of the
// lease lets such a request through from time to time, as a trial on a release that may be able to run it.
func (d *Daemon) refusePoison(c *content, release willowwick.ReleaseID) *willowwick.Refusal {
	if !d.isPoison(c) {
		return nil
	}
	now := clock.Now()
	if _, holdsLease := d.node.Lease.Fence(now); holdsLease {
		if _, isAllowed := d.node.Quarantine.AllowTrial(c.poison, []willowwick.ReleaseID{release}, now); isAllowed {
			return nil
		}
	}
	return quarantine.Refusal()
}

// recordFailure checks after a failed call whether the endpoint crashed, and records the crash against the request. A
// draining endpoint doesn't count, since its operator may stop it at any time. It reports whether the failure counts as
// evidence against the release: all requests at a crashed endpoint fail, possibly because of one of them, and so they
// count as one failure. The answer began at beganAt, which is zero if it did not.
func (d *Daemon) recordFailure(
	ctx context.Context, c *content, endpoint willowwick.Endpoint, release willowwick.ReleaseID, beganAt time.Time, err error,
) (isEvidence bool) {
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
	c.partFingerprints()
	request, now := c.poison, clock.Now()
	if run := (quarantine.Run{Endpoint: endpoint.ID, BeganAt: beganAt}); run.IsHarmless(now) {
		request.Parts = willowwick.PartFingerprints{}
	}
	return d.node.RecordCrash(request, willowwick.EndpointCrash{Endpoint: endpoint.ID, Release: release, At: now})
}

// recordCompleted records that an endpoint, which began the answer at beganAt, has answered the request completely.
func (d *Daemon) recordCompleted(c *content, endpoint willowwick.EndpointID, beganAt time.Time) {
	ledger, now := d.node.Quarantine, clock.Now()
	if !ledger.IsEmpty() {
		ledger.RecordAnswer(c.fingerprint(), now)
	}
	ledger.RecordRun(c.partFingerprints(), quarantine.Run{Endpoint: endpoint, BeganAt: beganAt}, now)
}
