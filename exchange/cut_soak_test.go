package exchange

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const (
	soakedBoxes, soakedRunners = 5, 4
	// soakedCutLength is how long a cut lasts, at least cutNoticedWithin so that it is noticed, and soakedCuts their number.
	soakedCutLength, soakedCuts = 5 * time.Second, 3
	// soakedPause is the mean pause between two requests of a caller; each box has one caller for each kind of request.
	soakedPause = 30 * time.Millisecond
	// cutSeedVariable names the environment variable with the seed, 1 if it is not set.
	cutSeedVariable = "WILLOWWICK_CUT_SEED"
)

type (
	// cutSoak is a fleet whose boxes are cut off from all endpoints for some time, each at its own times.
	cutSoak struct {
		sites    []*site
		networks []*cutNetwork
		runners  []*runner

		mu       sync.Mutex
		cutSince []time.Time // by box; zero while it is not cut off
		healedAt []time.Time
		findings []string
		// served and sent count requests at boxes that have been cut off for cutNoticedWithin, and at the others.
		served, sent map[bool]int
	}
)

func newCutSoak(t *testing.T) *cutSoak {
	s := &cutSoak{
		cutSince: make([]time.Time, soakedBoxes), healedAt: make([]time.Time, soakedBoxes), served: map[bool]int{}, sent: map[bool]int{},
	}
	var endpoints []willowwick.Endpoint
	for i := range soakedRunners {
		r := newRunner(t, fmt.Sprint("r", i), func(w http.ResponseWriter, request *http.Request) {
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			if request.URL.Path == "/stream/" {
				streamEvents(w, request, 5)
				return
			}
			_, _ = io.WriteString(w, "ok")
		})
		s.runners = append(s.runners, r)
		endpoints = append(endpoints, r.endpoint("v1"))
	}
	control := newTestControl(testTable(1, onceRoute(), retryRoute(), streamRoute()), endpoints...)
	var seeds []string
	for i := range soakedBoxes {
		settings, network := testSettings(), &cutNetwork{form: cutNowhere}
		settings.Box, settings.Boot = willowwick.BoxID(fmt.Sprint("box-", i)), willowwick.BootID(fmt.Sprint("boot-", i))
		settings.Seeds = seeds
		s.networks = append(s.networks, network)
		s.sites = append(s.sites, startSiteOver(t, control, settings, network.dial))
		seeds = append(seeds, s.sites[i].daemon.router.settings.Peers)
	}
	for _, each := range s.sites {
		require.Eventually(t, func() bool { return each.daemon.router.peers.fleetSize() == soakedBoxes }, waitTimeout, 5*time.Millisecond)
	}
	return s
}

// cutAtRandom cuts boxes off, one or several at a time, but never all.
func (s *cutSoak) cutAtRandom(random *rand.Rand) {
	var cuts sync.WaitGroup
	for range soakedCuts {
		boxes := random.Perm(soakedBoxes)[:1+random.IntN(soakedBoxes-2)]
		form := []cutForm{cutSilent, cutReset, cutNew}[random.IntN(3)]
		pause := time.Duration(random.IntN(1500)) * time.Millisecond
		cuts.Go(func() {
			for _, box := range boxes {
				s.setCut(box, form)
			}
			time.Sleep(soakedCutLength)
			for _, box := range boxes {
				s.setCut(box, cutNowhere)
			}
		})
		cuts.Wait()
		time.Sleep(pause)
	}
}

func (s *cutSoak) setCut(box int, form cutForm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutSince[box] = time.Time{}
	if form == cutNowhere {
		s.healedAt[box] = time.Now()
	} else {
		s.cutSince[box] = time.Now()
	}
	s.networks[box].cut(form)
}

// call sends requests to a box until stop is closed, and checks each answer.
func (s *cutSoak) call(t *testing.T, box int, path, want string, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.Int64N(int64(2 * soakedPause)))):
		}
		id := fmt.Sprintf("%d%s%d", box, path, n)
		s.mu.Lock()
		cutSince, healedAt := s.cutSince[box], s.healedAt[box]
		s.mu.Unlock()
		began := time.Now()
		response, err := s.sites[box].client.Do(s.sites[box].request(t, http.MethodPost, path, id, "x", "T-Left", "1500"))
		body, status := []byte(nil), 0
		if err == nil {
			status = response.StatusCode
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		isServed := err == nil && status == http.StatusOK
		isSettled := cutSince.IsZero() && began.Sub(healedAt) > healedWithin || !cutSince.IsZero() && began.Sub(cutSince) > cutNoticedWithin
		s.check(id, path, status, string(body), want, isServed)
		if isSettled {
			s.mu.Lock()
			s.sent[!cutSince.IsZero()]++
			if isServed {
				s.served[!cutSince.IsZero()]++
			}
			s.mu.Unlock()
		}
	}
}

// check checks an answer: whole, run at most once where that is due, and not run if it says so.
func (s *cutSoak) check(id, path string, status int, body, want string, isServed bool) {
	runs := 0
	for _, r := range s.runners {
		for _, request := range r.requests() {
			if request.Header.Get("T-Id") == id {
				runs++
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isServed && body != want {
		s.findings = append(s.findings, fmt.Sprintf("%s: %q", id, body))
	}
	if path == "/once/" && runs > 1 {
		s.findings = append(s.findings, fmt.Sprintf("%s ran %d times", id, runs))
	}
	if status == http.StatusServiceUnavailable && path == "/once/" && runs > 0 {
		s.findings = append(s.findings, id+" was refused as not run, and ran")
	}
}

// Boxes that lose their links to all endpoints, at different times and in different ways, serve their callers at least two
// thirds as often as the others; nothing runs twice, and no answer is cut.
func TestSoakOfBoxesThatAreCutOffFromAllEndpoints(t *testing.T) {
	discardLogs(t)
	seed := uint64(1)
	if text := os.Getenv(cutSeedVariable); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	s, stop := newCutSoak(t), make(chan struct{})
	var callers sync.WaitGroup
	for box := range soakedBoxes {
		for path, want := range map[string]string{"/once/": "ok", "/again/": "ok", "/stream/": events(5)} {
			callers.Go(func() { s.call(t, box, path, want, stop) })
		}
	}
	s.cutAtRandom(rand.New(rand.NewPCG(seed, seed)))
	time.Sleep(healedWithin)
	close(stop)
	callers.Wait()
	assert.Empty(t, s.findings)
	t.Logf("seed %d: cut off %d of %d, others %d of %d", seed, s.served[true], s.sent[true], s.served[false], s.sent[false])
	require.NotZero(t, s.sent[true])
	require.NotZero(t, s.sent[false])
	cutOff := float64(s.served[true]) / float64(s.sent[true])
	others := float64(s.served[false]) / float64(s.sent[false])
	assert.GreaterOrEqual(t, cutOff, others*2/3)
	assert.Greater(t, others, 0.9)
}
