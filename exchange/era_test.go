package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/route"
)

// positionIn returns a position in an era.
func positionIn(era willowwick.Era, offset willowwick.Offset) willowwick.Position {
	return willowwick.NewPosition(era, offset)
}

// evacuatedHalls is a box's set of evacuated halls, of which the tests use one.
type evacuatedHalls struct{ *evacuations }

func newEvacuatedHalls() evacuatedHalls {
	return evacuatedHalls{newEvacuations(route.NewPoolWith(route.NewHallFirst(willowwick.Topology{Hall: "hall-a"}, 1), route.PoolOptions{}))}
}

// applyRead applies a read of the store up to a position.
func (e evacuatedHalls) applyRead(isWhole bool, next willowwick.Position, changes ...willowwick.Evacuation) {
	e.declare(willowwick.Declarations{Snapshot: isWhole, Next: next, Evacuations: changes})
}

func declaredAt(at willowwick.Position) willowwick.Evacuation {
	return willowwick.Evacuation{Hall: "hall-a", At: at}
}

func revokedAt(at willowwick.Position) willowwick.Evacuation {
	return willowwick.Evacuation{Hall: "hall-a", At: at, Revoked: true}
}

// Guards against declarations that are lost or remain for good when the store is restored from a copy. The store then
// assigns offsets again, so a new declaration has a lower offset than known ones. The last declarations, which the copy
// lacks, hold for restoreTime while the operator writes them again.
func TestDeclarationsHoldThroughStoreRestore(t *testing.T) {
	const isEvacuated, notEvacuated = 1, 0
	for name, test := range map[string]struct {
		before []willowwick.Evacuation // of era 1, read up to offset 20
		copied []willowwick.Evacuation // the first read of era 2, up to offset 8
		after  []willowwick.Evacuation // read afterwards
		// Number of evacuated halls after the first read of era 2, after all reads, and after restoreTime has passed.
		first, then, last int
	}{
		"declared after the restore":           {nil, nil, []willowwick.Evacuation{declaredAt(positionIn(2, 9))}, notEvacuated, isEvacuated, isEvacuated},
		"declared right before the first read": {nil, []willowwick.Evacuation{declaredAt(positionIn(2, 7))}, nil, isEvacuated, isEvacuated, isEvacuated},
		"lost and not written again":           {[]willowwick.Evacuation{declaredAt(positionIn(1, 15))}, nil, nil, isEvacuated, isEvacuated, notEvacuated},
		"lost and written again": {
			[]willowwick.Evacuation{declaredAt(positionIn(1, 15))}, nil, []willowwick.Evacuation{declaredAt(positionIn(2, 9))}, isEvacuated, isEvacuated, isEvacuated,
		},
		"in the copy": {
			[]willowwick.Evacuation{declaredAt(positionIn(1, 5))}, []willowwick.Evacuation{declaredAt(positionIn(2, 5))}, nil, isEvacuated, isEvacuated, isEvacuated,
		},
		"revoked after the restore": {
			[]willowwick.Evacuation{declaredAt(positionIn(1, 5))},
			[]willowwick.Evacuation{declaredAt(positionIn(2, 5))},
			[]willowwick.Evacuation{revokedAt(positionIn(2, 9))},
			isEvacuated, notEvacuated, notEvacuated,
		},
		"lost, and revoked after the restore": {
			[]willowwick.Evacuation{declaredAt(positionIn(1, 15))}, nil, []willowwick.Evacuation{revokedAt(positionIn(2, 9))}, isEvacuated, notEvacuated, notEvacuated,
		},
		"revoked before the restore, which the copy lacks": {
			[]willowwick.Evacuation{declaredAt(positionIn(1, 5)), revokedAt(positionIn(1, 15))},
			[]willowwick.Evacuation{declaredAt(positionIn(2, 5))},
			[]willowwick.Evacuation{revokedAt(positionIn(2, 9))},
			notEvacuated, notEvacuated, notEvacuated,
		},
		"revoked before the restore, and declared again": {
			[]willowwick.Evacuation{declaredAt(positionIn(1, 5)), revokedAt(positionIn(1, 15))}, []willowwick.Evacuation{declaredAt(positionIn(2, 5))}, nil, notEvacuated, notEvacuated, isEvacuated,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, other := newEvacuatedHalls(), newEvacuatedHalls()
				e.applyRead(true, positionIn(1, 2))
				e.applyRead(false, positionIn(1, 20), test.before...)
				other.receive(e.set(), "box-1")
				e.applyRead(true, positionIn(2, 8), test.copied...)
				other.receive(e.set(), "box-1")
				assert.Equal(t, test.first, e.count(), "after the first read")
				assert.Equal(t, test.first, other.count(), "at a box that receives the set")
				time.Sleep(restoreTime / 2)
				e.applyRead(false, positionIn(2, 40), test.after...)
				other.receive(e.set(), "box-1")
				assert.Equal(t, test.then, e.count(), "after the later reads")
				assert.Equal(t, test.then, other.count(), "at a box that receives the set")
				time.Sleep(restoreTime)
				assert.Equal(t, test.last, e.count(), "after the restore")
				assert.Equal(t, test.last, other.count(), "at a box that received the set")
			})
		})
	}
}

// A declaration that the first of two restores within seconds lost holds through the second.
func TestDeclarationsHoldThroughTwoStoreRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEvacuatedHalls()
		e.applyRead(true, positionIn(1, 20), declaredAt(positionIn(1, 15)))
		e.applyRead(true, positionIn(2, 8))
		time.Sleep(time.Second)
		e.applyRead(true, positionIn(3, 6))
		assert.Equal(t, 1, e.count())
		e.applyRead(false, positionIn(2, 9), revokedAt(positionIn(2, 8)))
		assert.Equal(t, 1, e.count(), "a late answer of the former era is ignored")
		time.Sleep(restoreTime - time.Second/2)
		assert.Equal(t, 1, e.count())
		time.Sleep(time.Second)
		assert.Zero(t, e.count())
	})
}

// A revocation holds through several restores, too; the copy holds the revoked declaration each time.
func TestRevocationsHoldThroughTwoStoreRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEvacuatedHalls()
		e.applyRead(true, positionIn(1, 10), declaredAt(positionIn(1, 5)))
		e.applyRead(false, positionIn(1, 20), revokedAt(positionIn(1, 15)))
		for era := range willowwick.Era(3) {
			e.applyRead(true, positionIn(2+era, 8), declaredAt(positionIn(2+era, 5)))
			assert.Zero(t, e.count())
			time.Sleep(time.Second)
		}
		time.Sleep(restoreTime)
		assert.Equal(t, 1, e.count(), "the operator has declared it again")
	})
}

func TestAdmittedRequestsHoldThroughStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := quarantine.New()
		a := newAdmissions(ledger)
		request := willowwick.PoisonRequest{Request: willowwick.Fingerprint{1}}
		for i := range quarantine.RefuseAfterCrashes {
			ledger.RecordCrash(request, willowwick.EndpointCrash{Endpoint: "gone", Incarnation: willowwick.Incarnation(i), At: time.Now()})
		}
		require.True(t, ledger.Refuses(request.Request))
		admission := func(at willowwick.Position) []willowwick.Admission {
			return []willowwick.Admission{{Request: request.Request, At: at}}
		}
		a.declare(willowwick.Declarations{Snapshot: true, Next: positionIn(1, 9), Admissions: admission(positionIn(1, 8))})
		a.declare(willowwick.Declarations{Snapshot: true, Next: positionIn(2, 4)})
		assert.False(t, ledger.Refuses(request.Request))
		a.declare(willowwick.Declarations{Next: positionIn(2, 5), Admissions: admission(positionIn(2, 4))})
		time.Sleep(2 * restoreTime)
		assert.False(t, ledger.Refuses(request.Request))
	})
}

// Guards against a roll-out that starts anew when the operator writes its lost order again, at another offset: sessions
// went back to the former release, and a bad release was tried again.
func TestRewrittenOrderRestartsNoRollout(t *testing.T) {
	for _, state := range []willowwick.ReleaseState{willowwick.ReleaseRunning, willowwick.ReleaseCompleted, willowwick.ReleaseRolledBack} {
		r := newTestReleases()
		r.applyOrder(orderOf("v2", positionIn(1, 30)), 0, testStart)
		r.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: state}, true, "test")
		r.applyOrder(orderOf("v2", positionIn(2, 12)), 0, at(0.35))
		progress := r.progressList(at(0.4))
		require.Len(t, progress, 1)
		assert.Equal(t, state, progress[0].Status.State)
		assert.Equal(t, at(0.4).Sub(testStart).Milliseconds(), progress[0].AgeMs)
		due := r.due(at(0.4))
		require.Len(t, due, 1, "the store may have lost the state too")
		assert.Equal(t, state, due[0].State)
		r.applyOrder(orderOf("v3", positionIn(2, 13)), 0, at(0.41))
		assert.Equal(t, willowwick.ReleaseID("v3"), r.progressList(at(0.42))[0].Status.Target, "a new order counts at once")
	}
}

// The copy holds an order for v2 and lacks the later one for v3, which had replaced it.
func TestOrderFromCopyDoesNotReplaceLaterLostOrder(t *testing.T) {
	newRolledOutTwice := func() *releases {
		r := newTestReleases()
		r.applyOrder(orderOf("v2", positionIn(1, 10)), 0, testStart)
		r.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseCompleted}, true, "test")
		r.applyOrder(orderOf("v3", positionIn(1, 30)), 0, at(0.1))
		r.applyOrder(orderOf("v2", positionIn(2, 10)), 0, at(0.2))
		require.Equal(t, willowwick.ReleaseID("v3"), r.progressList(at(0.2))[0].Status.Target)
		return r
	}
	later := at(0.2).Add(restoreTime + time.Second)
	r := newRolledOutTwice()
	r.applyOrder(orderOf("v3", positionIn(2, 14)), 0, at(0.25))
	r.evaluate(nil, later)
	assert.Equal(t, willowwick.ReleaseID("v3"), r.progressList(later)[0].Status.Target, "it was written again")
	r = newRolledOutTwice()
	r.evaluate(nil, later)
	assert.Equal(t, willowwick.ReleaseID("v2"), r.progressList(later)[0].Status.Target, "the operator ordered it anew")
}

// A restore loses the records that boxes had written to the store (poison requests and states of roll-outs); the boxes
// write them again.
func TestBoxesRewriteTheirRecordsAfterRestore(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"), newRunner(t, "r2", answerText("ok")).endpoint("v2"))
	x := s.daemon.router
	request := willowwick.PoisonRequest{Request: willowwick.Fingerprint{7}, Service: "work"}
	for i := range quarantine.RefuseAfterCrashes {
		x.poison.RecordCrash(request, willowwick.EndpointCrash{Endpoint: "gone", Incarnation: willowwick.Incarnation(i), At: time.Now()})
	}
	s.control.change(func() { s.control.orders = []willowwick.ReleaseOrder{orderOf("v2", 1)} })
	require.Eventually(t, func() bool { return len(x.releases.progressList(time.Now())) == 1 }, waitTimeout, 5*time.Millisecond)
	x.releases.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseRolledBack}, false, "test")
	isWritten := func() bool {
		s.control.mu.Lock()
		defer s.control.mu.Unlock()
		return len(s.control.harmful) == 1 && len(s.control.statuses) == 1 && s.control.statuses[0].State == willowwick.ReleaseRolledBack
	}
	require.Eventually(t, isWritten, waitTimeout, 5*time.Millisecond)
	s.control.restoreFromBackup(func() {})
	require.False(t, isWritten())
	require.Eventually(t, isWritten, waitTimeout, 5*time.Millisecond)
}

// While the operator writes the lost declarations again, the newest configuration in the store need not be the newest one
// that was accepted: no read confirms it, it becomes stale, and nothing is refused permanently because of it.
func TestNoConfigurationIsConfirmedDuringRestore(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	x := s.daemon.router
	s.control.restoreFromBackup(func() {})
	require.Eventually(t, func() bool { return x.sync.isConfigStale(time.Now()) }, restoreTime, 5*time.Millisecond)
	require.Eventually(t, func() bool { return !x.sync.isConfigStale(time.Now()) }, restoreTime, 5*time.Millisecond)
}

// The store is restored from a copy that lacks a tenth of the endpoints; these write their entries again within two
// seconds. No box may drop one of them meanwhile, since each may be the only one that has some prompt cached. An endpoint
// that drains afterwards must become known in time, although its entry's offset is below the last one of the former era.
// The store gets no more calls than when the readers start: for the list, declarations, states of roll-outs, poison
// requests, the group and its members.
func TestNoEndpointIsLostInStoreRestore(t *testing.T) {
	const callsOfStart = 6
	eachMeshSize(t, func(t *testing.T, size meshSize) {
		m := newMesh(1, size.boxes, size.halls, size.endpoints)
		m.run(t, 3*time.Second)
		lost := size.endpoints/10 + 1
		var ids []willowwick.EndpointID
		for i := range lost {
			ids = append(ids, meshEndpoint(i, size.halls).ID)
		}
		m.store.reads = 0
		m.store.restoreFromCopy(willowwick.Offset(lost), ids...)
		for step := range 4 {
			m.run(t, lapsedGrace/5)
			for i := step; i < lost; i += 4 {
				m.store.put(meshEndpoint(i, size.halls))
			}
			for _, box := range m.boxes {
				require.Len(t, box.pool.Endpoints(), size.endpoints, "endpoints that %s uses", box.settings.Box)
			}
		}
		assert.LessOrEqual(t, m.store.reads, callsOfStart*size.halls)
		assert.LessOrEqual(t, m.drain(t, meshEndpoint(lost, size.halls)), meshDrain*3/4)
		m.run(t, lapsedGrace)
		for _, box := range m.boxes {
			require.Len(t, box.pool.Endpoints(), size.endpoints, "endpoints that %s uses", box.settings.Box)
		}
	})
}

// An endpoint that was removed before, and that the copy lists again, gets no requests.
func TestRemovedEndpointListedByCopyIsNotUsed(t *testing.T) {
	eachMeshSize(t, func(t *testing.T, size meshSize) {
		m := newMesh(1, size.boxes, size.halls, size.endpoints)
		m.run(t, 3*time.Second)
		gone := meshEndpoint(0, size.halls)
		m.store.remove(gone.ID)
		m.run(t, meshDrain)
		m.store.restoreFromCopy(1)
		m.store.entries[gone.ID] = meshEntry{gone, positionIn(1, 1)}
		for range 4 {
			m.run(t, meshDrain/4)
			for _, box := range m.boxes {
				require.Len(t, box.pool.Endpoints(), size.endpoints-1, "endpoints that %s uses", box.settings.Box)
			}
		}
	})
}

// A read of endpoints that was in progress when the era changed restores no entry.
func TestLateListOfFormerEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 1, 3)
		m.run(t, time.Second)
		box, now := m.boxes[0], time.Now()
		m.store.restoreFromCopy(0)
		box.sync.applyListRead(m.store.since(0), now, now)
		box.sync.applyListRead(willowwick.EndpointChanges{Next: positionIn(0, 99), Gone: []willowwick.EndpointID{meshEndpoint(0, 1).ID}}, now, now)
		assert.Equal(t, willowwick.Era(1), box.sync.listReadTo().Era())
		m.run(t, 2*lapsedGrace)
		assert.Len(t, box.pool.Endpoints(), 3)
	})
}

// Guards against a box that starts after a restore, reads an old configuration that the operator has yet to replace, and
// permanently refuses what that lacks. The other boxes report to it that the store is being restored.
func TestBoxStartedDuringRestoreRefusesNothingPermanently(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	s.control.restoreFromBackup(func() {})
	require.Eventually(t, func() bool { return s.daemon.router.sync.isRestoring(time.Now()) }, waitTimeout, time.Millisecond)
	settings := testSettings()
	settings.Box, settings.Seeds = "box-new", []string{s.daemon.router.settings.Peers}
	fresh := startSite(t, s.control, settings)
	require.Eventually(t, func() bool { return fresh.daemon.router.sync.isConfigStale(time.Now()) }, inForceWithin/2, time.Millisecond)
	assert.Equal(t, 503, fresh.do(t, "GET", "/nowhere/", "id", "").status)
}

// Guards against a permanent refusal by a box that starts after a restore and reads the store before it hears another box: it doesn't
// know how long ago the restore was, and the operator may have yet to replace what it has read.
func TestBoxStartedAfterARestoreRefusesNothingPermanentlyByItself(t *testing.T) {
	control := newTestControl(testTable(1, onceRoute()), newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	control.restoreFromBackup(func() {})
	s := startSite(t, control, testSettings())
	for range 50 {
		require.Equal(t, 503, s.do(t, "GET", "/nowhere/", "id", "").status)
	}
	require.Eventually(t, func() bool { return s.do(t, "GET", "/nowhere/", "id", "").status == 404 }, 2*restoreTime, 50*time.Millisecond)
}

// Guards against boxes that take each start for a restore: one that hears from the others that the store lacks nothing has a
// certain configuration as soon as they have.
func TestBoxStartedLongAfterARestoreIsSoonCertain(t *testing.T) {
	control := newTestControl(testTable(1, onceRoute()), newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	control.restoreFromBackup(func() {})
	s := startSite(t, control, testSettings())
	require.Eventually(t, func() bool { return !s.daemon.router.sync.isRestoring(time.Now()) }, 2*restoreTime, 50*time.Millisecond)
	settings := testSettings()
	settings.Box, settings.Seeds = "box-new", []string{s.daemon.router.settings.Peers}
	fresh := startSite(t, control, settings)
	require.Eventually(t, func() bool { return fresh.do(t, "GET", "/nowhere/", "id", "").status == 404 }, restoreTime/2, 10*time.Millisecond)
}
