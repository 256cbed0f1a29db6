package exchange

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/usage"
)

const (
	// usageCallTimeout bounds a write to the store or a call to the platform's API.
	usageCallTimeout = time.Second
	// usageSubject is the subject of all usage reports.
	usageSubject willowwick.DutySubject = "usage"
	// lastTellTime is how long a stopping box usually takes to tell its last counts: a gossip round that starts at once.
	lastTellTime = 3 * minGossipInterval
	// maxLastTellTime bounds how long it waits until another box has confirmed them: two calls.
	maxLastTellTime = 2 * gossipTimeout
	// maxMissingLogged bounds how many missing boxes a log line names.
	maxMissingLogged = 10
	// rejoinTime is how long after an outage of the store boxes that are cut off may take to be in the group again.
	rejoinTime = 10 * time.Second
)

// usageReports counts what client accounts use, and reports it while this box holds the lease on the duties.
type usageReports struct {
	settings usage.Settings
	ledger   *usage.Ledger
	reporter *usage.Reporter
	router   *Router
	fails    bool // the last write or send failed
}

// newUsageReports returns nil if the fleet does not report usage.
func newUsageReports(x *Router) *usageReports {
	duties := x.settings.Duties
	if !slices.Contains(duties.Assigned, willowwick.DutyUsage) {
		return nil
	}
	settings := usage.Settings{Window: duties.UsageWindow, Due: duties.UsageDue, Tolerance: duties.UsageOff}
	start := usage.Start{Box: x.settings.Box, Boot: x.settings.Boot, Address: x.settings.Peers}
	ledger := usage.NewLedger(settings, start, x.settings.topology(), clock.TimeOfDay())
	return &usageReports{settings: settings, ledger: ledger, reporter: usage.NewReporter(settings, ledger), router: x}
}

// countUsage counts the request once an endpoint has begun to run it, which the head of an answer shows; further runs of
// the same request are not counted.
func (s *send) countUsage() {
	if s.router.usage == nil || s.isCounted || s.answerHead.NotRun || s.answer.Status == http.StatusMisdirectedRequest {
		return
	}
	s.isCounted = true
	s.router.usage.ledger.Count(s.accountName(), clock.TimeOfDay())
}

// usageMessage returns the counts for the box at an address, nil if the fleet does not report usage.
func (p *peers) usageMessage(address string, now time.Time) []byte {
	u := p.router.usage
	if u == nil {
		return nil
	}
	u.noteHub(now)
	return u.ledger.Message(address, clock.TimeOfDay())
}

// noteHub records whether this box is the hub of its hall, and whether it exchanges gossip with another region.
func (u *usageReports) noteHub(now time.Time) {
	_, hasHub := u.router.peers.hub(now)
	timeOfDay := clock.TimeOfDay()
	u.ledger.SetHub(!hasHub, timeOfDay)
	u.ledger.SetRelay(!hasHub && u.router.peers.hearsOtherRegion(now))
	u.ledger.Forget(timeOfDay)
}

// receiveUsage applies the counts of another box; a box of an earlier release sends none.
func (p *peers) receiveUsage(address string, hall willowwick.HallID, data []byte) {
	if p.router.usage == nil || len(data) == 0 {
		return
	}
	if err := p.router.usage.ledger.Receive(address, hall, data); err != nil {
		slog.Warn("usage counts could not be read", "address", address, "error", err)
	}
}

func (p *peers) forgetUsageOf(address string) {
	if p.router.usage != nil {
		p.router.usage.ledger.ForgetPeer(address)
	}
}

// silentFollowers returns the addresses of some silent boxes that would follow this hub, if the fleet reports usage: they
// may be cut off on their way here only, or nothing may listen there any more. The caller holds the lock.
func (p *peers) silentFollowers(now time.Time) []string {
	if p.router.usage == nil {
		return nil
	}
	self := p.self()
	isFollower := func(known *peer) bool { return known.box.Hall == self.Hall && self.precedes(known.box) }
	return p.probeCandidatesWhere(isFollower, KnownBox{}, now)
}

// noteUsageRefusal records that nothing listened at the address of a box, if a call failed for that.
func (p *peers) noteUsageRefusal(address string, at time.Time, err error) {
	if p.router.usage != nil && errors.Is(err, syscall.ECONNREFUSED) {
		p.router.usage.ledger.NoteRefused(address, at)
	}
}

// noteMembers records which boxes were in the group, of which each is one that reaches the store and that no other box
// reads for. If this box hears all of them, boxes that have been silent for long don't serve; after an outage of the store,
// the group may lack some that do.
func (u *usageReports) noteMembers(members []KnownBox, now time.Time) {
	if u == nil || u.router.sync.failedSince(now.Add(-rejoinTime)) {
		return
	}
	for _, member := range members {
		if !u.router.peers.hears(member.Address, now) {
			return
		}
	}
	if gone := u.ledger.NoteSilence(clock.TimeOfDay()); len(gone) > 0 {
		slog.Info("silent boxes count as gone: the group lacks them", "boxes", gone[:min(len(gone), maxMissingLogged)], "count", len(gone))
	}
}

// hears reports whether the address is this box's or that of a live box.
func (p *peers) hears(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[address]
	return address == p.router.settings.Peers || known != nil && known.isLive(now)
}

// noteRestored records that the store was restored from a copy.
func (u *usageReports) noteRestored() {
	if u != nil {
		u.ledger.NoteRestored(clock.TimeOfDay())
	}
}

// tellLast tells the other boxes the last counts of this one, which counts no more, and waits until one of them has confirmed them, or
// until the limit.
func (u *usageReports) tellLast(limit time.Time) {
	if u == nil {
		return
	}
	u.ledger.EndOwn()
	limit = earliest(limit, clock.Now().Add(maxLastTellTime))
	for {
		u.router.peers.requestRound()
		time.Sleep(lastTellTime)
		switch {
		case u.ledger.IsEndTold() || u.router.peers.fleetSize() == 1:
			return
		case !clock.Now().Before(limit):
			slog.Warn("no other box has confirmed this one's last counts of usage")
			return
		}
	}
}

// work returns the worker of the duty: it stores and sends what is due while this box holds the lease. It is nil if the
// fleet does not report usage.
func (u *usageReports) work(holder willowwick.DutyHolder, api willowwick.DutyAPI) dutyWork {
	if u == nil {
		return nil
	}
	return func(ctx context.Context, now time.Time) {
		u.noteHub(now) // a box that is alone has no gossip exchanges
		for holder.Holds(now) && u.step(ctx, holder, api) {
			now = clock.Now()
		}
	}
}

// step does what is due, and returns false if nothing is or if it failed.
func (u *usageReports) step(ctx context.Context, holder willowwick.DutyHolder, api willowwick.DutyAPI) bool {
	step, isDue := u.reporter.Next(holder.UsageReports(), u.router.peers.fleetSize(), clock.TimeOfDay())
	if !isDue {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, usageCallTimeout)
	defer cancel()
	var err error
	switch step.Kind {
	case usage.WriteReport:
		err = holder.WriteUsageReport(ctx, step.Report)
		u.reporter.NoteStored(step.Report.Window, err, clock.TimeOfDay())
	case usage.SendReport:
		err = holder.Call(ctx, usageSubject, func(ctx context.Context, box willowwick.BoxID, token willowwick.FencingToken) error {
			return api.ReportUsage(ctx, box, token, step.Report)
		})
		u.reporter.NoteSent(step.Report.Window, err, clock.TimeOfDay())
	}
	u.log(step, err)
	return err == nil
}

// log writes a line for each report that was stored, sent or left out, or for a failure.
func (u *usageReports) log(step usage.Step, err error) {
	report, metrics := step.Report, u.router.metrics
	lateness := clock.TimeOfDay().Sub(u.settings.DueAt(report.Window))
	attributes := []any{"window", report.Window, "begin", u.settings.Begin(report.Window).UTC(), "to_due_ms", -lateness.Milliseconds()}
	coverage := []any{
		"boxes", step.Coverage.Boxes, "missing", step.Coverage.Missing[:min(len(step.Coverage.Missing), maxMissingLogged)],
		"unknown", step.Coverage.Unknown, "lost", step.Coverage.Lost, "fleet", u.router.peers.fleetSize(),
		"up_ms", clock.Since(u.router.peers.startedAt).Milliseconds(),
	}
	failedBefore := u.fails
	u.fails = err != nil
	switch {
	case err != nil && failedBefore:
		metrics.countUsageReport("failed")
	case err != nil:
		metrics.countUsageReport("failed")
		slog.Info("usage report failed", append(attributes, "stored", step.Kind == usage.SendReport, "error", err)...)
	case step.Kind == usage.WriteReport:
		slog.Info("usage report stored", append(append(attributes, "requests", report.Total(), "accounts", len(report.Counts)), coverage...)...)
	case step.Kind == usage.SendReport:
		metrics.countUsageReport("sent")
		if lateness > 0 {
			metrics.countUsageReport("late")
		}
		slog.Info("usage report sent", append(append(attributes, "requests", report.Total(), "accounts", len(report.Counts), "failed_sends", step.Sends), coverage...)...)
	case step.Coverage.Boxes == 0:
		metrics.countUsageReport("unknown")
	default:
		metrics.countUsageReport("missed")
		slog.Warn("usage is not reported: the counts are incomplete", append(attributes, coverage...)...)
	}
}
