package exchange

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/usage"
)

const testUsageWindow = 5 * time.Second

var usageDuty = DutySettings{Assigned: []willowwick.DutyID{willowwick.DutyUsage}, UsageWindow: testUsageWindow, UsageDue: 10 * time.Second, UsageOff: 0.05}

// countUsage counts a request of one of the accounts on each box, and lets the boxes exchange gossip, for a duration. It
// returns the number of requests by window.
func (m *mesh) countUsage(t *testing.T, pause, duration time.Duration) map[willowwick.UsageWindow]int {
	const accounts = 24
	requests := map[willowwick.UsageWindow]int{}
	for until := time.Now().Add(duration); time.Now().Before(until); {
		for _, box := range m.boxes {
			if box.usage != nil && !box.down {
				box.usage.ledger.Count(willowwick.AccountID(fmt.Sprintf("acct%03d", m.random.IntN(accounts))), clock.TimeOfDay())
				requests[box.usage.settings.WindowAt(clock.TimeOfDay())]++
			}
		}
		m.run(t, pause)
	}
	return requests
}

// Of 24 accounts and 5 requests a second on each box, a box sends some 350 bytes a second, each exchange counted once,
// and soon after the end of a window the hubs know all counts.
func TestUsageIsKnownSoonAtFewBytes(t *testing.T) {
	const perBox = 400 // bytes a second
	const watched = 2 * testUsageWindow
	const pause = 150 * time.Millisecond // between two requests of a box
	eachMeshSize(t, func(t *testing.T, size meshSize) {
		m := newMesh(1, 0, size.halls, size.endpoints)
		m.duties = usageDuty
		for i := range size.boxes {
			m.start(i, size.halls)
		}
		m.countUsage(t, pause, testUsageWindow)
		m.parts = map[string]*gobCounter{}
		requests := m.countUsage(t, pause, watched)
		bytes := m.parts["usage"].bytes / size.boxes / int(watched.Seconds())
		t.Logf("%d bytes a second for each box", bytes)
		assert.Less(t, bytes, perBox)
		m.run(t, testUsageWindow+1500*time.Millisecond)
		for _, box := range m.boxes {
			if _, hasHub := box.peers.hub(time.Now()); hasHub {
				continue
			}
			window := box.usage.settings.WindowAt(time.Now()) - 1
			assert.True(t, box.usage.ledger.Coverage(window, usage.Fleet{Size: size.boxes}, time.Now()).IsComplete())
			assert.Equal(t, requests[window-1], willowwick.UsageReport{Counts: box.usage.ledger.Counts(window - 1)}.Total())
		}
	})
}

func TestFleetWithoutTheDutyTellsNoUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 2, 1, 3)
		m.run(t, time.Second)
		assert.Empty(t, m.boxes[0].peers.usageMessage(m.boxes[1].settings.Peers, time.Now()))
	})
}

// A request counts once for its account as soon as an endpoint runs it: not when it is turned away, nor for each retry.
func TestARequestCountsOnceWhenItBeginsToRun(t *testing.T) {
	a, b := newRunner(t, "r1", answerText("ok")), newRunner(t, "r2", answerText("ok"))
	settings := testSettings()
	settings.Duties = usageDuty
	s := startSite(t, newTestControl(testTable(1, onceRoute(), retryRoute()), a.endpoint("v1"), b.endpoint("v1")), settings)
	for status, counts := range map[int]int{http.StatusOK: 1, http.StatusInternalServerError: 1, http.StatusServiceUnavailable: 0} {
		answer := func(w http.ResponseWriter, _ *http.Request) {
			if status == http.StatusServiceUnavailable {
				w.Header().Set("T-Not-Run", "yes")
			}
			w.WriteHeader(status)
		}
		a.handle(answer)
		b.handle(answer)
		before, runs := s.usage(), len(a.requests())+len(b.requests())
		s.do(t, http.MethodGet, "/again/", fmt.Sprint("id-", status), "")
		assert.Equal(t, counts, s.usage()-before, "status %d", status)
		if status != http.StatusOK {
			assert.Greater(t, len(a.requests())+len(b.requests()), runs+1, "status %d", status)
		}
	}
}

// usage returns the number of requests that the daemon has counted recently.
func (s *site) usage() int {
	u, total := s.daemon.router.usage, 0
	for window, left := u.settings.WindowAt(clock.TimeOfDay()), 3; left > 0; window, left = window-1, left-1 {
		total += willowwick.UsageReport{Counts: u.ledger.Counts(window)}.Total()
	}
	return total
}

// Guards against reports that lack the last requests of a box that stopped as planned: it ended after a fixed time, whether another box
// had heard of them or not.
func TestAStoppingBoxWaitsUntilItsLastCountsAreHeard(t *testing.T) {
	settings := testSettings()
	settings.Duties = usageDuty
	control := newTestControl(testTable(1, onceRoute()), newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	other := startSite(t, control, settings)
	settings.Box, settings.Boot, settings.Seeds = "box-b", "box-b.1", []string{other.daemon.router.settings.Peers}
	stopping := startSite(t, control, settings)
	awaitReaders(t, []*site{other, stopping}, 1)
	ledger := stopping.daemon.router.usage.ledger
	// The other box takes longer to answer than a round usually does.
	other.daemon.router.peers.mu.Lock()
	time.AfterFunc(2*lastTellTime, other.daemon.router.peers.mu.Unlock)
	for range 35 {
		ledger.Count("ada", clock.TimeOfDay())
	}
	stopping.daemon.router.usage.tellLast(clock.Now().Add(waitTimeout))
	assert.Equal(t, 35, other.usage())
}

// testHolder holds the lease, stores reports and notes those that are sent.
type testHolder struct {
	willowwick.DutyAPI
	stored []willowwick.UsageReport
	sent   []willowwick.UsageReport
	err    error // of a write to the store
}

func (h *testHolder) Holds(time.Time) bool { return true }

func (h *testHolder) Call(ctx context.Context, _ willowwick.DutySubject, call willowwick.DutyCall) error {
	return call(ctx, "box-1", 1)
}

func (h *testHolder) WriteUsageReport(_ context.Context, report willowwick.UsageReport) error {
	if h.err == nil {
		h.stored = append(h.stored, report)
	}
	return h.err
}

func (h *testHolder) UsageReports() []willowwick.UsageReport { return h.stored }

func (h *testHolder) ReportUsage(_ context.Context, _ willowwick.BoxID, _ willowwick.FencingToken, report willowwick.UsageReport) error {
	h.sent = append(h.sent, report)
	return nil
}

// A fleet of one box reports what it ran; nothing that could not be stored.
func TestTheHolderReportsWhatEndpointsRan(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	settings := testSettings()
	settings.Duties = usageDuty
	settings.Duties.UsageWindow, settings.Duties.UsageDue = 300*time.Millisecond, 400*time.Millisecond
	s := startSite(t, newTestControl(testTable(1, retryRoute()), r.endpoint("v1")), settings)
	holder := &testHolder{err: errDown}
	work := s.daemon.router.usage.work(holder, holder)
	work(t.Context(), clock.Now())
	time.Sleep(settings.Duties.UsageWindow) // of the window in which the box started, not all is known
	for n := range 3 {
		s.do(t, http.MethodGet, "/again/", fmt.Sprint("id-", n), "")
	}
	reported := func() int {
		work(t.Context(), clock.Now())
		total := 0
		for _, report := range holder.sent {
			total += report.Counts[testAccount]
		}
		return total
	}
	// Not by assert.Never, whose last check may still run afterwards.
	for until := time.Now().Add(2 * settings.Duties.UsageWindow); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		assert.Zero(t, reported())
	}
	holder.err = nil
	assert.Eventually(t, func() bool { return reported() == 3 }, waitTimeout, 20*time.Millisecond)
}
