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

// in is a place in an era.
func in(era willowwick.Era, offset willowwick.Offset) willowwick.Position {
	return willowwick.NewPosition(era, offset)
}

// evacuatedHalls is a box's knowledge of one hall's evacuation.
type evacuatedHalls struct{ *evacuations }

func newEvacuatedHalls() evacuatedHalls {
	return evacuatedHalls{newEvacuations(route.NewPoolWith(route.NewHallFirst("hall-a", 1), route.PoolOptions{}))}
}

// read gives the box a read of the store up to a position.
func (e evacuatedHalls) read(isWhole bool, next willowwick.Position, changes ...willowwick.Evacuation) {
	e.declare(willowwick.Declarations{Whole: isWhole, Next: next, Evacuations: changes})
}

func declaredAt(at willowwick.Position) willowwick.Evacuation {
	return willowwick.Evacuation{Hall: "hall-a", At: at}
}

func takenBackAt(at willowwick.Position) willowwick.Evacuation {
	return willowwick.Evacuation{Hall: "hall-a", At: at, TakenBack: true}
}

// A store that came back from a copy gave offsets out again: what was declared then had a lower one than what was known, and an
// evacuation never came into force, or stood for good. And the copy lacks what was declared last, which holds on: the operator writes
// it again.
func TestWhatTheOperatorDeclaredHoldsThroughAReturnOfTheStoreFromACopy(t *testing.T) {
	const isEvacuated, isNot = 1, 0
	for name, test := range map[string]struct {
		before []willowwick.Evacuation // of era 1, read up to offset 20
		copied []willowwick.Evacuation // what the first read of era 2 holds, up to offset 8
		after  []willowwick.Evacuation // what comes then
		// What is in force once the first read is taken, once all is, and when the operator has had time to write again.
		first, then, last int
	}{
		"declared after the return":            {nil, nil, []willowwick.Evacuation{declaredAt(in(2, 9))}, isNot, isEvacuated, isEvacuated},
		"declared right before the first read": {nil, []willowwick.Evacuation{declaredAt(in(2, 7))}, nil, isEvacuated, isEvacuated, isEvacuated},
		"lost and not written again":           {[]willowwick.Evacuation{declaredAt(in(1, 15))}, nil, nil, isEvacuated, isEvacuated, isNot},
		"lost and written again": {
			[]willowwick.Evacuation{declaredAt(in(1, 15))}, nil, []willowwick.Evacuation{declaredAt(in(2, 9))}, isEvacuated, isEvacuated, isEvacuated,
		},
		"in the copy": {
			[]willowwick.Evacuation{declaredAt(in(1, 5))}, []willowwick.Evacuation{declaredAt(in(2, 5))}, nil, isEvacuated, isEvacuated, isEvacuated,
		},
		"taken back after the return": {
			[]willowwick.Evacuation{declaredAt(in(1, 5))},
			[]willowwick.Evacuation{declaredAt(in(2, 5))},
			[]willowwick.Evacuation{takenBackAt(in(2, 9))},
			isEvacuated, isNot, isNot,
		},
		"lost, and taken back after the return": {
			[]willowwick.Evacuation{declaredAt(in(1, 15))}, nil, []willowwick.Evacuation{takenBackAt(in(2, 9))}, isEvacuated, isNot, isNot,
		},
		"taken back before, which the copy lacks": {
			[]willowwick.Evacuation{declaredAt(in(1, 5)), takenBackAt(in(1, 15))},
			[]willowwick.Evacuation{declaredAt(in(2, 5))},
			[]willowwick.Evacuation{takenBackAt(in(2, 9))},
			isNot, isNot, isNot,
		},
		"taken back before, and declared again": {
			[]willowwick.Evacuation{declaredAt(in(1, 5)), takenBackAt(in(1, 15))}, []willowwick.Evacuation{declaredAt(in(2, 5))}, nil, isNot, isNot, isEvacuated,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, other := newEvacuatedHalls(), newEvacuatedHalls()
				e.read(true, in(1, 2))
				e.read(false, in(1, 20), test.before...)
				other.hear(e.set(), "box-1")
				e.read(true, in(2, 8), test.copied...)
				other.hear(e.set(), "box-1")
				assert.Equal(t, test.first, e.count(), "after the first read")
				assert.Equal(t, test.first, other.count(), "at a box that is told of it")
				time.Sleep(writtenAgainWithin / 2)
				e.read(false, in(2, 40), test.after...)
				other.hear(e.set(), "box-1")
				assert.Equal(t, test.then, e.count(), "after what came then")
				assert.Equal(t, test.then, other.count(), "at a box that is told of it")
				time.Sleep(writtenAgainWithin)
				assert.Equal(t, test.last, e.count(), "in the end")
				assert.Equal(t, test.last, other.count(), "at a box that was told of it")
			})
		})
	}
}

// Two returns within seconds: what was lost in the first holds through the second.
func TestWhatTheOperatorDeclaredHoldsThroughTwoReturnsOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEvacuatedHalls()
		e.read(true, in(1, 20), declaredAt(in(1, 15)))
		e.read(true, in(2, 8))
		time.Sleep(time.Second)
		e.read(true, in(3, 6))
		assert.Equal(t, 1, e.count())
		e.read(false, in(2, 9), takenBackAt(in(2, 8)))
		assert.Equal(t, 1, e.count(), "a late answer of the era before says nothing")
		time.Sleep(writtenAgainWithin - time.Second/2)
		assert.Equal(t, 1, e.count())
		time.Sleep(time.Second)
		assert.Zero(t, e.count())
	})
}

// The same for one that was taken back: the copy that the store comes back from twice holds its declaration.
func TestWhatTheOperatorTookBackStaysSoThroughTwoReturnsOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEvacuatedHalls()
		e.read(true, in(1, 10), declaredAt(in(1, 5)))
		e.read(false, in(1, 20), takenBackAt(in(1, 15)))
		for era := range willowwick.Era(3) {
			e.read(true, in(2+era, 8), declaredAt(in(2+era, 5)))
			assert.Zero(t, e.count())
			time.Sleep(time.Second)
		}
		time.Sleep(writtenAgainWithin)
		assert.Equal(t, 1, e.count(), "the operator has declared it again")
	})
}

func TestAdmittedRequestsHoldThroughAReturnOfTheStoreFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harm := quarantine.New()
		a := newAdmissions(harm)
		request := willowwick.HarmfulRequest{Request: willowwick.Fingerprint{1}}
		for i := range quarantine.RefuseAfterCrashes {
			harm.RecordCrash(request, willowwick.EndpointEnd{Endpoint: "gone", Incarnation: willowwick.Incarnation(i), At: time.Now()})
		}
		require.True(t, harm.Refuses(request.Request))
		admission := func(at willowwick.Position) []willowwick.Admission {
			return []willowwick.Admission{{Request: request.Request, At: at}}
		}
		a.declare(willowwick.Declarations{Whole: true, Next: in(1, 9), Admissions: admission(in(1, 8))})
		a.declare(willowwick.Declarations{Whole: true, Next: in(2, 4)})
		assert.False(t, harm.Refuses(request.Request))
		a.declare(willowwick.Declarations{Next: in(2, 5), Admissions: admission(in(2, 4))})
		time.Sleep(2 * writtenAgainWithin)
		assert.False(t, harm.Refuses(request.Request))
	})
}

// The operator writes the order of a roll-out again that the store lost, at another offset. The roll-out was begun anew: sessions went
// back to the release that had been left, and a bad one was tried again.
func TestAnOrderThatIsWrittenAgainBeginsNothingAnew(t *testing.T) {
	for _, state := range []willowwick.ReleaseState{willowwick.ReleaseRunning, willowwick.ReleaseCompleted, willowwick.ReleaseRolledBack} {
		r := newTestReleases()
		r.begin(orderOf("v2", in(1, 30)), 0, testStart)
		r.settle(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: state}, true, "test")
		r.begin(orderOf("v2", in(2, 12)), 0, at(0.35))
		progress := r.progresses(at(0.4))
		require.Len(t, progress, 1)
		assert.Equal(t, state, progress[0].Status.State)
		assert.Equal(t, at(0.4).Sub(testStart).Milliseconds(), progress[0].AgeMs)
		due := r.due(at(0.4))
		require.Len(t, due, 1, "the store may have lost the state too")
		assert.Equal(t, state, due[0].State)
		r.begin(orderOf("v3", in(2, 13)), 0, at(0.41))
		assert.Equal(t, willowwick.ReleaseID("v3"), r.progresses(at(0.42))[0].Status.Target, "a new order counts at once")
	}
}

// The copy holds an order that a later one had taken the place of.
func TestAnOrderOfTheCopyDoesNotTakeThePlaceOfALaterOneThatItLacks(t *testing.T) {
	newMoved := func() *releases {
		r := newTestReleases()
		r.begin(orderOf("v2", in(1, 10)), 0, testStart)
		r.settle(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseCompleted}, true, "test")
		r.begin(orderOf("v3", in(1, 30)), 0, at(0.1))
		r.begin(orderOf("v2", in(2, 10)), 0, at(0.2))
		require.Equal(t, willowwick.ReleaseID("v3"), r.progresses(at(0.2))[0].Status.Target)
		return r
	}
	later := at(0.2).Add(writtenAgainWithin + time.Second)
	r := newMoved()
	r.begin(orderOf("v3", in(2, 14)), 0, at(0.25))
	r.judge(nil, later)
	assert.Equal(t, willowwick.ReleaseID("v3"), r.progresses(later)[0].Status.Target, "it was written again")
	r = newMoved()
	r.judge(nil, later)
	assert.Equal(t, willowwick.ReleaseID("v2"), r.progresses(later)[0].Status.Target, "the operator ordered it anew")
}

// What boxes had written to the store is gone, and only they know it.
func TestWhatBoxesWroteIsWrittenAgain(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"), newRunner(t, "r2", answerText("ok")).endpoint("v2"))
	x := s.daemon.router
	request := willowwick.HarmfulRequest{Request: willowwick.Fingerprint{7}, Service: "work"}
	for i := range quarantine.RefuseAfterCrashes {
		x.harm.RecordCrash(request, willowwick.EndpointEnd{Endpoint: "gone", Incarnation: willowwick.Incarnation(i), At: time.Now()})
	}
	s.control.change(func() { s.control.orders = []willowwick.ReleaseOrder{orderOf("v2", 1)} })
	require.Eventually(t, func() bool { return len(x.releases.progresses(time.Now())) == 1 }, waitTimeout, 5*time.Millisecond)
	x.releases.settle(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseRolledBack}, false, "test")
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

// While the operator writes again what the store lost, the newest configuration that it holds need not be the one in force: nothing is
// refused for good by it.
func TestNoConfigurationIsForCertainWhileTheOperatorWritesAgain(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	x := s.daemon.router
	s.control.restoreFromBackup(func() {})
	require.Eventually(t, func() bool { return x.sync.isStale(time.Now()) }, writtenAgainWithin, 5*time.Millisecond)
	require.Eventually(t, func() bool { return !x.sync.isStale(time.Now()) }, writtenAgainWithin, 5*time.Millisecond)
}

// Pattern: the store is away and comes back from a copy that lacks a tenth of the endpoints; these write their entries again within two
// seconds. Grounds: no box may drop one of them, each may be the only one with a prompt's memory; and a leaving one must be known in
// time, though its offset is below the former end. The store is asked no more often than by the readers as they start: for the list,
// declarations, states of roll-outs, refused requests, the group and its members.
func TestNoEndpointIsLostWhenTheStoreComesBackFromACopy(t *testing.T) {
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
		m.store.comeBack(willowwick.Offset(lost), ids...)
		for step := range 4 {
			m.run(t, returnGrace/5)
			for i := step; i < lost; i += 4 {
				m.store.put(meshEndpoint(i, size.halls))
			}
			for _, box := range m.boxes {
				require.Len(t, box.pool.Endpoints(), size.endpoints, "endpoints that %s uses", box.settings.Box)
			}
		}
		assert.LessOrEqual(t, m.store.reads, callsOfStart*size.halls)
		assert.LessOrEqual(t, m.leave(t, meshEndpoint(lost, size.halls)), meshDrain*3/4)
		m.run(t, returnGrace)
		for _, box := range m.boxes {
			require.Len(t, box.pool.Endpoints(), size.endpoints, "endpoints that %s uses", box.settings.Box)
		}
	})
}

// An endpoint that had gone before, and that the copy lists again, gets nothing.
func TestAnEndpointThatWasGoneIsNotUsedAgainSinceACopyListsIt(t *testing.T) {
	eachMeshSize(t, func(t *testing.T, size meshSize) {
		m := newMesh(1, size.boxes, size.halls, size.endpoints)
		m.run(t, 3*time.Second)
		gone := meshEndpoint(0, size.halls)
		m.store.remove(gone.ID)
		m.run(t, meshDrain)
		m.store.comeBack(1)
		m.store.entries[gone.ID] = meshEntry{gone, in(1, 1)}
		for range 4 {
			m.run(t, meshDrain/4)
			for _, box := range m.boxes {
				require.Len(t, box.pool.Endpoints(), size.endpoints-1, "endpoints that %s uses", box.settings.Box)
			}
		}
	})
}

// A read of endpoints that was under way as the store left its era brings nothing back.
func TestALateListOfTheEraBeforeIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(1, 1, 1, 3)
		m.run(t, time.Second)
		box, now := m.boxes[0], time.Now()
		m.store.comeBack(0)
		box.sync.takeChanges(m.store.since(0), now, now)
		box.sync.takeChanges(willowwick.EndpointChanges{Next: in(0, 99), Gone: []willowwick.EndpointID{meshEndpoint(0, 1).ID}}, now, now)
		assert.Equal(t, willowwick.Era(1), box.sync.endpointsAt().Era())
		m.run(t, 2*returnGrace)
		assert.Len(t, box.pool.Endpoints(), 3)
	})
}

// A box started after the store had come back, read a configuration there that the operator was yet to write again, and refused for good
// what that did not hold; the others knew better.
func TestABoxThatStartsWhileTheOperatorWritesAgainRefusesNothingForGood(t *testing.T) {
	s := newSite(t, newRunner(t, "r1", answerText("ok")).endpoint("v1"))
	s.control.restoreFromBackup(func() {})
	require.Eventually(t, func() bool { return s.daemon.router.sync.isRestoring(time.Now()) }, waitTimeout, time.Millisecond)
	settings := testSettings()
	settings.Box, settings.Seeds = "box-new", []string{s.daemon.router.settings.Peers}
	fresh := startSite(t, s.control, settings)
	require.Eventually(t, func() bool { return fresh.daemon.router.sync.isStale(time.Now()) }, inForceWithin/2, time.Millisecond)
	assert.Equal(t, 503, fresh.do(t, "GET", "/nowhere/", "id", "").status)
}
