package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/standin"
)

const (
	evacuatedKey = "evacuate/hall-a"
	// restoreApplyLimit is the time after the store's return within which declarations must take effect.
	restoreApplyLimit = 3 * time.Second
	// restoreHoldTime is how long boxes keep earlier declarations that the copy lacks, so that the operator can rewrite
	// them.
	restoreHoldTime = 4 * time.Second
)

// newRestoreSite starts daemons with a store that has a copy of itself and newer records. The service app has endpoints
// in two halls.
func newRestoreSite(t *testing.T, before func(s *testSite)) *testSite {
	s := newTestSite(t, 3)
	settings := runnerSettings("app-b", "app", "v1", "")
	settings.Hall = "hall-b"
	s.serveRunner(t, settings)
	before(s)
	s.store.SaveBackup()
	for range 20 {
		require.NoError(t, s.store.Put("keyed.op", "rollout/nobody", map[string]any{"service": "nobody", "target-version": "v9", "period-s": 1}))
	}
	time.Sleep(restoreApplyLimit / 2) // lets the boxes read all records
	return s
}

// ranInHall sends requests to all boxes and counts those run in hall-a, and those served.
func (s *testSite) ranInHall(name string) (inHall, served int) {
	const requests = 30
	for i := range requests {
		id := fmt.Sprint(name, "-", i)
		if status, _, err := s.boxes[i%len(s.boxes)].post("/lookup/x", id, false); err == nil && status == 200 {
			served++
		}
		inHall += s.runners["app-0"].RunCounts()[id] + s.runners["app-1"].RunCounts()[id]
	}
	return inHall, served
}

// TestDeclarationsTakeEffectAfterStoreRestore guards against boxes that ignore declarations written after the store was
// restored from a copy, because their offsets had been read before or were below what had been read. An evacuated hall
// then permanently received all requests, and one whose evacuation was canceled received none.
func TestDeclarationsTakeEffectAfterStoreRestore(t *testing.T) {
	evacuate := func(s *testSite) { require.NoError(t, s.store.Put("keyed.op", evacuatedKey, map[string]any{})) }
	fill := func(s *testSite) {
		for range 25 {
			require.NoError(t, s.store.Put("keyed.op", "rollout/other", map[string]any{"service": "other", "target-version": "v9", "period-s": 1}))
		}
	}
	for name, test := range map[string]struct {
		before, while, after func(s *testSite)
		isEvacuated          bool
	}{
		"evacuated, at an offset below what was read":                 {func(*testSite) {}, func(*testSite) {}, evacuate, true},
		"evacuated, at an offset that had been read":                  {func(*testSite) {}, func(s *testSite) { evacuate(s); fill(s) }, func(*testSite) {}, true},
		"evacuation canceled, at an offset below what was read":       {evacuate, func(*testSite) {}, func(s *testSite) { s.cancelEvacuation(t) }, false},
		"evacuation canceled, at an offset that had been read":        {evacuate, func(s *testSite) { s.cancelEvacuation(t); fill(s) }, func(*testSite) {}, false},
		"evacuated before the copy was taken":                         {evacuate, func(*testSite) {}, func(*testSite) {}, true},
		"evacuated, then configured at an offset below what was read": {evacuate, func(*testSite) {}, func(s *testSite) { s.writeConfig(t, 5) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestoreSite(t, test.before)
			require.Eventually(t, func() bool {
				inHall, served := s.ranInHall("before" + fmt.Sprint(time.Now().UnixNano()))
				return served == 30 && (inHall == 0) == s.isEvacuatedInStore()
			}, startTimeout, 20*time.Millisecond)
			s.store.SetFaults(standin.StoreFaults{Down: true})
			time.Sleep(700 * time.Millisecond)
			s.store.RewriteRecords(s.store.RestoreBackup()...)
			test.while(s)
			s.store.SetFaults(standin.StoreFaults{})
			test.after(s)
			if !test.isEvacuated {
				time.Sleep(restoreHoldTime)
			}
			time.Sleep(restoreApplyLimit)
			inHall, served := s.ranInHall("after")
			assert.Equal(t, 30, served)
			assert.Equal(t, test.isEvacuated, inHall == 0, "%d of 30 ran in the hall", inHall)
		})
	}
}

// cancelEvacuation cancels the evacuation of the hall.
func (s *testSite) cancelEvacuation(t *testing.T) {
	require.NoError(t, s.store.Put("keyed.op", evacuatedKey, nil))
}

func (s *testSite) isEvacuatedInStore() bool {
	_, found := s.store.Get("keyed.op", evacuatedKey)
	return found
}
