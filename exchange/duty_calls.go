package exchange

import (
	"context"
	"log/slog"
	"maps"
	"sync"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/lease"
)

// Call implements willowwick.DutyHolder. It returns ErrThrottled without a call while the API takes none.
func (d *duties) Call(ctx context.Context, subject willowwick.DutySubject, call willowwick.DutyCall) error {
	if !d.Holds(clock.Now()) {
		return willowwick.ErrNotHolder
	}
	running := d.subjectMutex(subject)
	running.Lock()
	defer running.Unlock()
	if err := d.awaitRateLimit(ctx); err != nil {
		return err
	}
	token, err := d.beginCall(ctx, subject)
	if err != nil {
		return err
	}
	d.mu.Lock()
	validUntil := d.lease.ValidUntil()
	d.mu.Unlock()
	callCtx, cancel := clock.WithDeadline(ctx, validUntil)
	defer cancel()
	err = call(callCtx, d.router.settings.Box, token)
	return d.endCall(ctx, subject, token, err)
}

// subjectMutex returns the mutex that is held during a call on a subject.
func (d *duties) subjectMutex(subject willowwick.DutySubject) *sync.Mutex {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := d.subjects[subject]
	if running == nil {
		running = &sync.Mutex{}
		d.subjects[subject] = running
	}
	return running
}

// awaitRateLimit waits until the rate limit allows another call, or returns ErrThrottled while calls are paused.
func (d *duties) awaitRateLimit(ctx context.Context) error {
	for {
		d.mu.Lock()
		now := clock.Now()
		if d.pace.IsPaused(now) {
			d.mu.Unlock()
			return errors.Wrap(willowwick.ErrThrottled, "the last calls failed")
		}
		wait := d.pace.Take(now)
		d.mu.Unlock()
		if wait <= 0 {
			return ctx.Err()
		}
		clock.Sleep(ctx, wait)
	}
}

// beginCall returns the token for a call that is made right after, and takes a new one first if it has to.
func (d *duties) beginCall(ctx context.Context, subject willowwick.DutySubject) (willowwick.FencingToken, error) {
	token, verdict := d.tryBegin(subject)
	if verdict == lease.NeedsToken {
		d.advance(ctx)
		token, verdict = d.tryBegin(subject)
	}
	if verdict != lease.MayCall {
		return 0, willowwick.ErrNotHolder
	}
	return token, nil
}

// tryBegin returns the token for a call if the current grant allows one, and otherwise makes the lease ask for a new grant if
// that is needed.
func (d *duties) tryBegin(subject willowwick.DutySubject) (willowwick.FencingToken, lease.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	token, verdict := d.lease.BeginCall(subject, clock.Now())
	if verdict == lease.NeedsToken {
		d.lease.RequireToken(subject)
	}
	return token, verdict
}

// endCall records the outcome of a call, and returns its error. The API answers a call with no capacity and a fenced one alike,
// so it reads the lease again to tell them apart.
func (d *duties) endCall(ctx context.Context, subject willowwick.DutySubject, token willowwick.FencingToken, err error) error {
	outcome := dutyOutcome(err)
	d.router.metrics.countDutyCall(outcome.String())
	if err != nil {
		slog.Debug("call of a duty failed", "subject", subject, "token", token, "error", err)
	}
	d.mu.Lock()
	now := clock.Now()
	d.lease.EndCall(subject, token, outcome, now)
	d.pace.Ended(outcome, now)
	d.mu.Unlock()
	switch outcome {
	case lease.OutcomeFenced:
		slog.Info("a higher token than this box's was used for a duty; the lease is read again", "subject", subject, "token", token)
		d.advance(ctx)
	case lease.OutcomeNoCapacity:
		d.advance(ctx)
		if !d.holdsGrant() {
			return errors.Wrap(willowwick.ErrFenced, err.Error())
		}
	default:
	}
	return err
}

func (d *duties) holdsGrant() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.HoldsGrant(clock.Now())
}

func dutyOutcome(err error) lease.Outcome {
	switch {
	case err == nil:
		return lease.OutcomeExecuted
	case errors.Is(err, willowwick.ErrNoCapacity):
		return lease.OutcomeNoCapacity
	case errors.Is(err, willowwick.ErrFenced):
		return lease.OutcomeFenced
	case errors.Is(err, willowwick.ErrThrottled):
		return lease.OutcomeRejected
	case errors.Is(err, willowwick.ErrNotSent):
		return lease.OutcomeNotSent
	default:
		return lease.OutcomeUnknown
	}
}

// WriteUsageReport implements willowwick.DutyHolder. It returns ErrConflict if another report of the window is stored.
func (d *duties) WriteUsageReport(ctx context.Context, report willowwick.UsageReport) error {
	if !d.Holds(clock.Now()) {
		return willowwick.ErrNotHolder
	}
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	for range 2 {
		d.mu.Lock()
		stored, isStored := d.reports[report.Window]
		holds, end := d.lease.Holds(clock.Now()), d.lease.End()
		d.mu.Unlock()
		switch {
		case isStored && maps.Equal(stored.Counts, report.Counts):
			return nil
		case isStored:
			return errors.Wrapf(willowwick.ErrConflict, "usage report of window %d", report.Window)
		case !holds:
			return willowwick.ErrNotHolder
		}
		newEnd, err := d.log.WriteUsageReport(ctx, report, end)
		d.endWrite(report, newEnd, err)
		if !errors.Is(err, willowwick.ErrConflict) {
			return err
		}
		d.read(ctx) // the topic has grown by an earlier write without an answer, or by another holder
	}
	return errors.Wrapf(willowwick.ErrConflict, "usage report of window %d", report.Window)
}

// endWrite records the outcome of a write of a report.
func (d *duties) endWrite(report willowwick.UsageReport, end willowwick.Position, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.lease.RequireRead()
		return
	}
	d.reports.add(report)
	d.lease.Appended(end)
}
