package exchange

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// crowdedSlots is the number of requests that a crowdedRunner runs at once, crowdedRunTime the time that each takes.
	crowdedSlots   = 4
	crowdedRunTime = 300 * time.Millisecond
	// crowdedRoom is the number of requests that usually wait at a crowdedRunner.
	crowdedRoom = 12
	// rejectionWindow is the time in which its rejections are counted, crowdedReturnDelay the time until a crashed one is replaced.
	rejectionWindow    = time.Second
	crowdedReturnDelay = 3 * time.Second
	// announcedFrom is when endpoints begin to name a limit on rejections, shrunkFrom when they have less room and crash, and
	// crowdedEnd the end of a play.
	announcedFrom = 3 * time.Second
	shrunkFrom    = 6 * time.Second
	crowdedEnd    = 13 * time.Second
)

type (
	// crowdedService is a service whose endpoints have slots and a queue. In the midst of a play, fewer requests may wait, and an
	// endpoint crashes that rejects too many in a second; it is replaced under a new ID.
	crowdedService struct {
		control *testControl
		sites   []*site
		options crowdedOptions

		mu       sync.Mutex
		begin    time.Time
		next     int
		runners  map[string]*crowdedRunner
		crashes  []time.Time
		rejected []time.Time
		calls    []crowdedCall
	}

	crowdedOptions struct {
		boxes, endpoints int
		limit            int     // rejections in a second that an endpoint survives
		room             int     // requests that may wait once there is less room
		load             float64 // share of the capacity
		path             string
		hidesLoad        bool          // answers carry no load report
		otherCrashes     int           // endpoints that crash for another reason, one after the other
		until            time.Duration // when the endpoints have room again and name no limit any more; zero for never
	}

	// crowdedRunner is one endpoint of such a service; the service's lock guards it.
	crowdedRunner struct {
		*runner
		service          *crowdedService
		slots            chan struct{}
		running, waiting int
		rejected         []time.Time
		crashed          bool
	}

	crowdedCall struct {
		sentAt time.Time
		took   time.Duration
		status int
	}
)

// playCrowded plays such a service in real daemons and checks that its endpoints stay up and are used. A play with the race
// detector takes most of a processor and measures what is served a second, so plays don't run beside each other or other tests.
func playCrowded(t *testing.T, options crowdedOptions) *crowdedService {
	control, sites := newHall(t, options.boxes)
	h := &crowdedService{control: control, sites: sites, options: options, runners: map[string]*crowdedRunner{}}
	control.change(func() { control.table = testTable(2, onceRoute(), retryRoute()) })
	for range options.endpoints {
		h.add(t)
	}
	for _, s := range sites {
		require.Eventually(t, func() bool {
			return len(s.daemon.router.pool.Endpoints()) == options.endpoints && s.daemon.router.configVersion() == 2
		}, waitTimeout, 10*time.Millisecond)
	}
	h.mu.Lock()
	h.begin = time.Now()
	h.mu.Unlock()
	for i := range options.otherCrashes {
		time.AfterFunc(shrunkFrom+time.Second+time.Duration(i)*200*time.Millisecond, func() { h.crashAny(t) })
	}
	h.send(t)
	return h
}

func (h *crowdedService) add(t *testing.T) {
	h.mu.Lock()
	h.next++
	r := &crowdedRunner{service: h, slots: make(chan struct{}, crowdedSlots)}
	id := fmt.Sprint("r", h.next)
	h.runners[id] = r
	h.mu.Unlock()
	r.runner = newRunner(t, id, func(w http.ResponseWriter, request *http.Request) { r.answer(t, w, request) })
	endpoint := r.endpoint("v1")
	endpoint.Slots = crowdedSlots
	h.control.change(func() { h.control.endpoints[r.id] = endpoint })
}

// elapsed returns how long the play has lasted; the caller holds the lock.
func (h *crowdedService) elapsed() time.Duration {
	if h.begin.IsZero() {
		return 0
	}
	return time.Since(h.begin)
}

// isBetween reports whether the play is between a time and the end of the endpoints' trouble; the caller holds the lock.
func (h *crowdedService) isBetween(from time.Duration) bool {
	return h.elapsed() >= from && (h.options.until == 0 || h.elapsed() < h.options.until)
}

// room returns how many requests may wait; the caller holds the lock.
func (h *crowdedService) room() int {
	if h.isBetween(shrunkFrom) {
		return h.options.room
	}
	return crowdedRoom
}

func (r *crowdedRunner) answer(t *testing.T, w http.ResponseWriter, request *http.Request) {
	h := r.service
	if !r.enter(t) {
		h.mu.Lock()
		r.describe(w)
		h.mu.Unlock()
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-request.Context().Done():
		h.mu.Lock()
		defer h.mu.Unlock()
		r.waiting--
		return
	}
	h.mu.Lock()
	r.waiting--
	r.running++
	h.mu.Unlock()
	time.Sleep(crowdedRunTime)
	h.mu.Lock()
	r.running--
	r.describe(w)
	h.mu.Unlock()
	<-r.slots
	_, _ = w.Write([]byte("ok"))
}

// enter takes a place in the queue. An endpoint without one rejects the request, and crashes if that was one too many.
func (r *crowdedRunner) enter(t *testing.T) bool {
	h := r.service
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.running+r.waiting < crowdedSlots+h.room() {
		r.waiting++
		return true
	}
	now := time.Now()
	h.rejected = append(h.rejected, now)
	r.rejected = append(r.rejected, now)
	if h.isBetween(shrunkFrom) && countRecent(r.rejected, now) > h.options.limit && !r.crashed {
		r.crashed = true
		h.crashes = append(h.crashes, now)
		go r.crashAndReturn(t)
	}
	return false
}

// countRecent counts the rejections in the last rejectionWindow before a time.
func countRecent(rejected []time.Time, now time.Time) int {
	recent := 0
	for _, at := range rejected {
		if now.Sub(at) < rejectionWindow {
			recent++
		}
	}
	return recent
}

// crashAny crashes an endpoint for a reason of its own.
func (h *crowdedService) crashAny(t *testing.T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runners {
		if !r.crashed {
			r.crashed = true
			go r.crashAndReturn(t)
			return
		}
	}
}

func (r *crowdedRunner) crashAndReturn(t *testing.T) {
	r.crash()
	time.AfterFunc(crowdedReturnDelay, func() {
		r.service.control.change(func() { delete(r.service.control.endpoints, r.id) })
		if t.Context().Err() == nil {
			r.service.add(t)
		}
	})
}

// describe sets the headers that tell of the endpoint's state; the caller holds the lock.
func (r *crowdedRunner) describe(w http.ResponseWriter) {
	h := r.service
	if !h.options.hidesLoad {
		w.Header().Set("T-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, crowdedSlots))
	}
	if h.isBetween(announcedFrom) {
		w.Header().Set("T-Rejections", strconv.Itoa(h.options.limit))
	}
}

// capacity is the number of requests that the service can serve in a second.
func (h *crowdedService) capacity() float64 {
	return float64(h.options.endpoints*crowdedSlots) / crowdedRunTime.Seconds()
}

// send sends requests, no two the same, to one box after the other until the end of the play.
func (h *crowdedService) send(t *testing.T) {
	var callers sync.WaitGroup
	defer callers.Wait()
	awaitTurn, stop := h.turns()
	defer stop()
	for n := 0; time.Since(h.begin) < crowdedEnd; n++ {
		awaitTurn(n)
		callers.Go(func() {
			sentAt := time.Now()
			reply := h.sites[n%len(h.sites)].do(t, http.MethodPost, h.options.path, fmt.Sprint("crowded-", n), fmt.Sprint("body ", n))
			h.mu.Lock()
			defer h.mu.Unlock()
			h.calls = append(h.calls, crowdedCall{sentAt, time.Since(sentAt), reply.status})
		})
	}
}

// turns returns a function that waits until a request is to be sent. Below the capacity all are sent, also those that the sender is late
// for; beyond it these would come in bursts, which are no part of the load.
func (h *crowdedService) turns() (awaitTurn func(n int), stop func()) {
	pause := time.Duration(float64(time.Second) / (h.options.load * h.capacity()))
	if h.options.load <= 1 {
		began := time.Now()
		return func(n int) { time.Sleep(time.Until(began.Add(time.Duration(n+1) * pause))) }, func() {}
	}
	ticker := time.NewTicker(pause)
	return func(int) { <-ticker.C }, ticker.Stop
}

// served returns how many of the requests that were sent in a time of the play were served, for each second of it.
func (h *crowdedService) served(from, to time.Duration) float64 {
	count := 0
	for _, call := range h.calls {
		if after := call.sentAt.Sub(h.begin); after >= from && after < to && call.status == http.StatusOK {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// lastCalls tells what became of the requests that were sent from a time of the play on; the caller holds the lock.
func (h *crowdedService) lastCalls(from time.Duration) string {
	statuses, slowest := map[int]int{}, time.Duration(0)
	for _, call := range h.calls {
		if call.sentAt.Sub(h.begin) >= from {
			statuses[call.status]++
			slowest = max(slowest, call.took)
		}
	}
	due := h.options.load * h.capacity() * (crowdedEnd - from).Seconds()
	return fmt.Sprintf("%.0f were to be sent, statuses of those that were %v, slowest answer %s", due, statuses, slowest.Round(time.Millisecond))
}

// requireUsed checks that few endpoints crashed, and that callers were served nearly as often as before.
func (h *crowdedService) requireUsed(t *testing.T, leastShare float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, after := h.served(shrunkFrom-time.Second, shrunkFrom), h.served(shrunkFrom, crowdedEnd)
	statuses, slowest := map[int]int{}, time.Duration(0)
	for _, call := range h.calls {
		statuses[call.status]++
		if call.status != http.StatusOK {
			slowest = max(slowest, call.took)
		}
	}
	late := 0
	for _, at := range h.rejected {
		if at.Sub(h.begin) >= shrunkFrom {
			late++
		}
	}
	t.Logf("%d crashes, %d rejections (%d before there was less room); served %.0f a second before, %.0f then, of %.0f; statuses %v, slowest refusal %s",
		len(h.crashes), late, len(h.rejected)-late, before, after, h.capacity(), statuses, slowest.Round(time.Millisecond))
	assert.LessOrEqual(t, len(h.crashes), 2+h.options.endpoints/10, "crashed endpoints")
	assert.GreaterOrEqual(t, after, leastShare*min(h.options.load, 1)*h.capacity())
}

// Guards against the work of an endpoint that crashes for another reason making the others reject requests until they crash too.
func TestCrashOfCrowdedEndpointsDoesNotSpread(t *testing.T) {
	h := playCrowded(t, crowdedOptions{boxes: 6, endpoints: 10, limit: 2, load: 0.75, path: "/again/", otherCrashes: 3})
	h.requireUsed(t, 0.85)
}

// Guards against endpoints that have room again, and say so, being left idle or getting all requests at once.
func TestCrowdedEndpointsAreUsedOnceTheyHaveRoomAgain(t *testing.T) {
	const until = 9 * time.Second
	h := playCrowded(t, crowdedOptions{boxes: 6, endpoints: 10, limit: 2, load: 0.9, path: "/again/", until: until})
	h.requireUsed(t, 0.85)
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.GreaterOrEqual(t, h.served(until+3*time.Second, crowdedEnd), 0.95*h.options.load*h.capacity(), "%s", h.lastCalls(until+3*time.Second))
	for _, s := range h.sites {
		assert.Empty(t, s.daemon.router.reservations.Required(time.Now()))
	}
}

// Guards against boxes that each fill the queue of an endpoint for themselves until it crashes under what it rejects.
func TestEndpointsThatCrashWhenTheyRejectRequestsStayUp(t *testing.T) {
	for name, options := range map[string]crowdedOptions{
		"well below the capacity":     {boxes: 6, endpoints: 10, limit: 2, room: 1, load: 0.75, path: "/again/"},
		"beyond the capacity":         {boxes: 6, endpoints: 10, limit: 2, room: 1, load: 1.6, path: "/again/"},
		"once, without reported load": {boxes: 6, endpoints: 10, limit: 5, room: 2, load: 1.6, path: "/once/", hidesLoad: true},
		"many boxes, no room":         {boxes: 16, endpoints: 10, limit: 1, room: 0, load: 1.3, path: "/again/"},
		"two endpoints":               {boxes: 6, endpoints: 2, limit: 3, room: 1, load: 1.6, path: "/again/"},
	} {
		t.Run(name, func(t *testing.T) { playCrowded(t, options).requireUsed(t, 0.8) })
	}
}
