package exchange

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/lease"
)

const (
	// dutyInterval is how often the lease is checked, and how often the workers of the duties are called.
	dutyInterval = 200 * time.Millisecond
	// idleDutyInterval is how often the lease is checked on a box that isn't the candidate, unless wakeLease asks for it before.
	idleDutyInterval = 2 * time.Second
	// maxLeaseSteps bounds the calls to the store in a row: a conflict leads to a read and another write.
	maxLeaseSteps = 6
	// maxKnownReports bounds the reports that a box keeps; the store holds fewer.
	maxKnownReports = 64
)

type (
	// duties holds the lease on the duties, or waits for it, and makes the calls. It implements willowwick.DutyHolder.
	duties struct {
		router    *Router
		log       willowwick.DutyLog
		workers   []dutyWorker
		assigned  []willowwick.DutyID
		wakeLease chan struct{} // wakes keepLease

		storeMu sync.Mutex // held during calls to the topic of the duties

		mu       sync.Mutex
		lease    *lease.Lease
		pace     *lease.Pace
		reports  dutyReports
		subjects map[willowwick.DutySubject]*sync.Mutex // held during a call on the subject
		isHolder bool                                   // as last logged
	}

	// dutyWork is one round of a duty's worker. It is called on each box, also on those that don't hold the lease.
	dutyWork func(ctx context.Context, now time.Time)

	dutyWorker struct {
		duty willowwick.DutyID
		work dutyWork
	}

	// dutyReports are the stored usage reports that this box has read or written, by window.
	dutyReports map[willowwick.UsageWindow]willowwick.UsageReport
)

// newDuties returns nil, which does nothing, if the fleet has no duties.
func newDuties(x *Router, log willowwick.DutyLog) *duties {
	s := x.settings
	if len(s.Duties.Assigned) == 0 || log == nil {
		return nil
	}
	now := clock.Now()
	d := &duties{
		router: x, log: log, assigned: s.Duties.Assigned, wakeLease: make(chan struct{}, 1),
		lease: lease.New(lease.Settings{
			Self:  willowwick.DutyLease{Holder: s.Box, Boot: s.Boot, Address: s.Peers},
			Lease: s.Duties.Lease, MemberTTL: s.Duties.MemberTTL,
		}, now),
		pace: lease.NewPace(s.Duties.CallsPerS, now), reports: dutyReports{},
		subjects: map[willowwick.DutySubject]*sync.Mutex{},
	}
	x.metrics.registerDuties(d)
	return d
}

// addWorker adds the worker of a duty, which runs if the settings assign that duty.
func (d *duties) addWorker(duty willowwick.DutyID, work dutyWork) {
	if d != nil && slices.Contains(d.assigned, duty) {
		d.workers = append(d.workers, dutyWorker{duty, work})
	}
}

// loops returns the loops to run until their contexts are done.
func (d *duties) loops() []func(context.Context) {
	if d == nil {
		return nil
	}
	loops := []func(context.Context){d.keepLease}
	for _, worker := range d.workers {
		loops = append(loops, func(ctx context.Context) {
			for ; ctx.Err() == nil; clock.Sleep(ctx, dutyInterval) {
				worker.work(ctx, clock.Now())
			}
		})
	}
	return loops
}

// keepLease makes the calls to the store that the lease asks for.
func (d *duties) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		d.advance(ctx)
		interval := idleDutyInterval
		if d.isCandidate() {
			interval = dutyInterval
		}
		wait, cancel := context.WithTimeout(ctx, interval)
		select {
		case <-wait.Done():
		case <-d.wakeLease:
		}
		cancel()
	}
}

func (d *duties) isCandidate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.IsCandidate(clock.Now())
}

// advance takes the steps that the lease asks for until there are none, or one fails.
func (d *duties) advance(ctx context.Context) {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	for range maxLeaseSteps {
		d.mu.Lock()
		step := d.lease.Next(clock.Now())
		d.logHolderChange()
		d.mu.Unlock()
		switch step {
		case lease.StepRead:
			d.read(ctx)
		case lease.StepGrant:
			d.grant(ctx)
		default:
			return
		}
	}
}

// read reads the topic; the caller holds storeMu.
func (d *duties) read(ctx context.Context) {
	began := clock.Now()
	state, err := d.log.ReadDuties(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.logHolderChange()
	if err != nil {
		slog.Info("reading the lease on the duties failed", "error", err)
		d.lease.ReadFailed(clock.Now())
		return
	}
	d.reports.add(state.Reports...)
	if state.Lease != nil && !state.Lease.ActsAt.IsZero() {
		// From the time of day, as stored, to this process's clock.
		state.Lease.ActsAt = clock.Now().Add(state.Lease.ActsAt.Sub(clock.TimeOfDay()))
	}
	d.lease.Read(state, began, clock.Now())
}

// grant writes a grant; the caller holds storeMu.
func (d *duties) grant(ctx context.Context) {
	d.mu.Lock()
	now := clock.Now()
	grant, end := d.lease.BeginGrant(now)
	d.mu.Unlock()
	// From this process's clock to the time of day, as stored.
	grant.ActsAt = clock.TimeOfDay().Add(grant.ActsAt.Sub(now)).UTC().Round(time.Millisecond)
	token, err := d.log.WriteLease(ctx, grant, end)
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.logHolderChange()
	if err != nil {
		d.router.metrics.countDutyGrant("failed")
		slog.Info("writing the lease on the duties failed", "after", end, "claim", grant.Claim, "error", err)
		d.lease.GrantFailed(errors.Is(err, willowwick.ErrConflict), clock.Now())
		return
	}
	d.router.metrics.countDutyGrant("written")
	d.lease.Granted(token, clock.Now())
}

// logHolderChange logs whether this box took or gave up the lease since the last call; the caller holds the lock.
func (d *duties) logHolderChange() {
	now := clock.Now()
	holds := d.lease.HoldsGrant(now)
	if holds == d.isHolder {
		return
	}
	d.isHolder = holds
	if !holds {
		slog.Info("lease on the duties given up", "why", d.lease.Why(), "token", d.lease.Token())
		return
	}
	slog.Info("lease on the duties taken", "why", d.lease.Why(), "token", d.lease.Token(), "former", d.lease.Former(),
		"calls_in_ms", max(d.lease.ActsAt().Sub(now), 0).Milliseconds(), "reports_read", len(d.reports))
}

// noteJoin records the answer to a join of the group.
func (d *duties) noteJoin(sentAt time.Time, isLeader bool) {
	d.update(func(now time.Time) { d.lease.Joined(sentAt, isLeader, now) })
}

// noteLeft records that this box leaves the group, or is about to.
func (d *duties) noteLeft(why string) {
	d.update(func(now time.Time) { d.lease.Left(why, now) })
}

// noteEra records the era of the store.
func (d *duties) noteEra(era willowwick.Era) {
	d.update(func(time.Time) { d.lease.NoteEra(era) })
}

// giveUp gives up the lease for good, for a planned stop.
func (d *duties) giveUp() {
	d.update(func(time.Time) { d.lease.Stop() })
}

// mustStayOut reports whether this box has to stay out of the group, so that another one takes the lease. It steps down first
// if it has not reached the API for long and another hall has a live box.
func (d *duties) mustStayOut(now time.Time) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease.ShouldStepDown(now) && d.router.peers.hasOtherCandidate(now) {
		d.lease.StepDown(now)
		d.logHolderChange()
	}
	return d.lease.HasSteppedDown(now)
}

// update changes the lease, and wakes keepLease if that has to act on it.
func (d *duties) update(change func(now time.Time)) {
	if d == nil {
		return
	}
	d.mu.Lock()
	change(clock.Now())
	d.logHolderChange()
	mustAct := d.lease.Next(clock.Now()) != lease.StepNone
	d.mu.Unlock()
	if !mustAct {
		return
	}
	select {
	case d.wakeLease <- struct{}{}:
	default:
	}
}

// Holds implements willowwick.DutyHolder.
func (d *duties) Holds(now time.Time) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Holds(now)
}

// UsageReports implements willowwick.DutyHolder.
func (d *duties) UsageReports() []willowwick.UsageReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reports.list()
}

// add adds reports; the first that was known of a window stays, since it may have been sent.
func (r dutyReports) add(reports ...willowwick.UsageReport) {
	for _, report := range reports {
		if _, known := r[report.Window]; !known {
			r[report.Window] = report
		}
	}
	if len(r) <= maxKnownReports {
		return
	}
	for _, old := range r.list()[:len(r)-maxKnownReports] {
		delete(r, old.Window)
	}
}

// list returns the reports, oldest window first.
func (r dutyReports) list() []willowwick.UsageReport {
	list := make([]willowwick.UsageReport, 0, len(r))
	for _, report := range r {
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b willowwick.UsageReport) int { return int(a.Window - b.Window) })
	return list
}
