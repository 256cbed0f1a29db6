package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// bigRoute returns a route whose requests may have bodies.
func bigRoute() willowwick.Route {
	route := retryRoute()
	route.Name, route.Prefix = "big", "/big/"
	return route
}

// newLosingHall starts boxes of one hall whose store can lose their reads of declarations.
func newLosingHall(t *testing.T, boxes int) (*losingControl, []*site) {
	r := newRunner(t, "r1", answerText("ok"))
	control := newLosingControl(r.endpoint("v1"))
	control.change(func() {
		control.table = testTable(1, onceRoute(), bigRoute())
		control.table.Limits.BodyBytes = 10
	})
	settings := testSettings()
	settings.Drain = hallDrain
	var sites []*site
	for i := range boxes {
		settings.Box = willowwick.BoxID(fmt.Sprint("box-", i))
		s := startSite(t, control, settings)
		settings.Seeds = append(settings.Seeds, s.daemon.router.settings.Peers)
		sites = append(sites, s)
	}
	awaitReaders(t, sites, 1)
	return control, sites
}

// Guards against permanent refusals (404) of routes that were added, while the new configuration had not reached the
// boxes; callers gave up requests that would have been served a moment later. Reads of declarations brought nothing,
// here since they get no answer, but reads of endpoints succeeded, and a refusal was permanent unless the box's data on
// the store was old: 200 ms for the endpoints, but seconds for the configuration. What counts is the age of the
// configuration.
func TestStaleConfigurationCausesNoPermanentRefusal(t *testing.T) {
	for _, boxes := range []int{1, 3} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			t.Parallel()
			control, sites := newLosingHall(t, boxes)
			control.loseAll.Store(true)
			control.change(func() {
				control.table = testTable(2, onceRoute(), retryRoute(), bigRoute())
				control.table.Accounts[0].Keys = append(control.table.Accounts[0].Keys, "key-that-was-added")
				control.table.Limits.BodyBytes = 1000
			})
			time.Sleep(inForceWithin)
			for _, s := range sites {
				require.Equal(t, uint64(1), s.daemon.router.configVersion())
				for _, ask := range []struct{ what, path, key, body string }{
					{"a route", "/again/", testKey, "x"},
					{"a key", "/once/", "key-that-was-added", "x"},
					{"a limit on bodies", "/big/", testKey, strings.Repeat("x", 100)},
				} {
					answer := s.do(t, http.MethodPost, ask.path, "id", ask.body, "T-Key", ask.key)
					assert.Equal(t, http.StatusServiceUnavailable, answer.status, "%s, at %s", ask.what, s.daemon.router.settings.Box)
					assert.NotEmpty(t, answer.header.Get("Retry-After"), "%s, at %s", ask.what, s.daemon.router.settings.Box)
				}
			}
			control.loseAll.Store(false)
			for _, s := range sites {
				require.Eventually(t, func() bool {
					return s.do(t, http.MethodPost, "/again/", "id", "x").status == http.StatusOK
				}, waitTimeout, 20*time.Millisecond)
			}
		})
	}
}

// Without failures, unknown routes and keys are refused permanently at every moment, on the reader and on its
// followers: callers are not asked to retry in vain.
func TestUnknownRouteIsRefusedPermanentlyByUpToDateBox(t *testing.T) {
	const watched = 3 * time.Second
	_, sites := newLosingHall(t, 3)
	for _, s := range sites {
		require.Eventually(t, func() bool { return !s.daemon.router.sync.isConfigStale(time.Now()) }, waitTimeout, time.Millisecond)
	}
	for began := time.Now(); time.Since(began) < watched; time.Sleep(20 * time.Millisecond) {
		for _, s := range sites {
			require.Equal(t, http.StatusNotFound, s.do(t, http.MethodPost, "/never/", "id", "x").status, "at %s", s.daemon.router.settings.Box)
			require.Equal(t, http.StatusUnauthorized, s.do(t, http.MethodPost, "/once/", "id", "x", "T-Key", "no-key").status)
		}
	}
}

// partialControl is a store whose reads of declarations succeed with incomplete answers.
type partialControl struct {
	*testControl
	isPartial atomic.Bool
}

// Declarations implements willowwick.Control.
func (c *partialControl) Declarations(ctx context.Context, from willowwick.Position, wait time.Duration) (willowwick.Declarations, error) {
	declared, err := c.testControl.Declarations(ctx, from, wait)
	if c.isPartial.Load() {
		declared.Table, declared.Partial = nil, true
	}
	return declared, err
}

// An answer that is incomplete, since the data is long or some of it could not be decoded, doesn't show whether the
// configuration is the newest.
func TestPartialAnswerDoesNotConfirmConfiguration(t *testing.T) {
	r := newRunner(t, "r1", answerText("ok"))
	control := &partialControl{testControl: newTestControl(testTable(1, onceRoute()), r.endpoint("v1"))}
	s := startSite(t, control, testSettings())
	control.isPartial.Store(true)
	control.change(func() { control.table = testTable(2, retryRoute()) })
	before := control.calls.Load()
	time.Sleep(inForceWithin + 100*time.Millisecond)
	assert.Less(t, control.calls.Load()-before, int64(40), "it goes on asking with its usual pauses")
	assert.Equal(t, http.StatusServiceUnavailable, s.do(t, http.MethodPost, "/again/", "id", "x").status)
}
