package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"pgregory.net/rapid"
)

const testSubject = willowwick.DutySubject("usage")

var testStart = time.Unix(5000, 0)

// at returns the time some milliseconds after the start.
func at(ms int) time.Time {
	return testStart.Add(time.Duration(ms) * time.Millisecond)
}

func newTestLease(box string, startedAt time.Time) *Lease {
	return New(Settings{
		Self:  willowwick.DutyLease{Holder: willowwick.BoxID(box), Boot: willowwick.BootID("boot of " + box)},
		Lease: simulatedLease, MemberTTL: simulatedTTL,
	}, startedAt)
}

func otherGrant(token willowwick.FencingToken) willowwick.DutyState {
	return willowwick.DutyState{Lease: &willowwick.DutyLease{Holder: "other", Boot: "b"}, Token: token, End: token + 1}
}

// take makes the box the candidate and grants it the lease after what the topic holds.
func take(t *testing.T, l *Lease, state willowwick.DutyState, now time.Time) willowwick.FencingToken {
	l.Joined(now, true, now)
	require.Equal(t, StepRead, l.Next(now))
	l.Read(state, now, now)
	require.Equal(t, StepGrant, l.Next(now))
	_, end := l.BeginGrant(now)
	require.Equal(t, state.End, end)
	l.Granted(end, now)
	require.Equal(t, StepNone, l.Next(now))
	return end
}

func mustCall(t *testing.T, l *Lease, now time.Time) willowwick.FencingToken {
	token, verdict := l.BeginCall(testSubject, now)
	require.Equal(t, MayCall, verdict)
	return token
}

func TestFirstHolderCallsAtOnce(t *testing.T) {
	l := newTestLease("a", at(0))
	assert.Equal(t, StepNone, l.Next(at(10)))
	token := take(t, l, willowwick.DutyState{}, at(100))
	assert.Equal(t, token, mustCall(t, l, at(100)))
}

// A box that was suspended, or doesn't reach the store, may not call once its membership may have expired.
func TestValidityEndsBeforeTheMembershipExpires(t *testing.T) {
	l := newTestLease("a", at(0))
	take(t, l, willowwick.DutyState{}, at(100))
	l.Joined(at(1000), true, at(1900)) // a slow answer counts from when the join was sent
	assert.True(t, l.Holds(at(3400)))
	_, verdict := l.BeginCall(testSubject, at(3600))
	assert.Equal(t, NotHolder, verdict)
	assert.Equal(t, StepNone, l.Next(at(3600)))

	// Nobody else has taken it: it is this box's again, without a new grant.
	l.Joined(at(5000), true, at(5000))
	require.Equal(t, StepRead, l.Next(at(5000)))
	l.Read(willowwick.DutyState{Lease: &willowwick.DutyLease{Holder: "a", Boot: "boot of a", Claim: 1}, End: 1}, at(5000), at(5010))
	assert.Equal(t, StepNone, l.Next(at(5010)))
	assert.True(t, l.Holds(at(5010)))
}

func TestReturningHolderWaits(t *testing.T) {
	l := newTestLease("a", at(0))
	take(t, l, willowwick.DutyState{}, at(100))
	l.EndCall(testSubject, mustCall(t, l, at(200)), OutcomeExecuted, at(210))
	l.Joined(at(1000), false, at(1010))
	assert.False(t, l.Holds(at(1010)))
	// It has just started: a call of a former process could still be executed.
	state := otherGrant(7)
	state.Lease.Former = []willowwick.BoxID{"a"}
	take(t, l, state, at(2000))
	l.Joined(at(4000), true, at(4010))
	assert.False(t, l.Holds(at(4900)))
	assert.True(t, l.Holds(at(5300)))

	// Later only its own calls count.
	late := newTestLease("a", at(-60_000))
	take(t, late, otherGrant(7), at(0))
	assert.True(t, late.Holds(at(0)), "it has not held the lease")
	late.EndCall(testSubject, mustCall(t, late, at(0)), OutcomeExecuted, at(10))
	late.Left("test", at(100))
	take(t, late, otherGrant(9), at(2000))
	assert.False(t, late.Holds(at(3100)))
	assert.True(t, late.Holds(at(3300)))

	// A call without an answer may be executed long after it was made.
	mustCall(t, late, at(3300))
	late.EndCall(testSubject, late.Token(), OutcomeUnknown, at(4000))
	late.Left("test", at(4100))
	take(t, late, otherGrant(11), at(12_000))
	assert.False(t, late.Holds(at(14_000)))
}

// A box that has just started doesn't know whether it held the lease, unless the newest grant names all former holders.
func TestRestartedHolderWaits(t *testing.T) {
	l := newTestLease("a", at(0))
	take(t, l, otherGrant(3), at(100))
	assert.True(t, l.Holds(at(100)))
	was, many, copied := otherGrant(3), otherGrant(3), otherGrant(willowwick.NewPosition(1, 3))
	was.Lease.Former = []willowwick.BoxID{"a", "c"}
	for i := range maxFormer {
		many.Lease.Former = append(many.Lease.Former, willowwick.BoxID(fmt.Sprint(i)))
	}
	for _, state := range []willowwick.DutyState{
		was, many, copied,
		{Lease: &willowwick.DutyLease{Holder: "a", Boot: "earlier"}, End: 1},
		{End: willowwick.NewPosition(1, 0)}, // the store came back from a copy
	} {
		l = newTestLease("a", at(0))
		take(t, l, state, at(100))
		assert.False(t, l.Holds(at(2000)))
		assert.False(t, l.Holds(at(2550)))
	}
}

// The grant of a former process of the box says from when that one would have called.
func TestRestartedHolderGoesOn(t *testing.T) {
	state := willowwick.DutyState{Lease: &willowwick.DutyLease{Holder: "a", Boot: "earlier", ActsAt: at(-500)}, Token: 4, End: 5}
	l := newTestLease("a", at(0))
	take(t, l, state, at(100))
	assert.True(t, l.Holds(at(100)))

	state.Lease.ActsAt = at(700)
	l = newTestLease("a", at(0))
	take(t, l, state, at(100))
	assert.False(t, l.Holds(at(690)))
	assert.True(t, l.Holds(at(710)))

	state.Lease.ActsAt = at(100_000) // its clock was wrong
	l = newTestLease("a", at(0))
	take(t, l, state, at(100))
	assert.Equal(t, at(3300), l.ActsAt())

	state.Token, state.End = willowwick.NewPosition(1, 4), willowwick.NewPosition(1, 5)
	state.Lease.ActsAt = at(-500)
	l = newTestLease("a", at(0))
	take(t, l, state, at(100))
	assert.Equal(t, at(3300), l.ActsAt(), "the store came back from a copy, which may lack another box's grant")
}

func TestGrantNamesFormerHolders(t *testing.T) {
	l := newTestLease("a", at(0))
	state := otherGrant(7)
	state.Lease.Former = []willowwick.BoxID{"b", "other", "c"}
	l.Joined(at(0), true, at(0))
	l.Read(state, at(0), at(0))
	grant, end := l.BeginGrant(at(0))
	assert.Equal(t, []willowwick.BoxID{"b", "c", "other"}, grant.Former)
	// Its own next grant still names them all.
	l.Granted(end, at(10))
	grant, _ = l.BeginGrant(at(20))
	assert.Equal(t, []willowwick.BoxID{"b", "c", "other", "a"}, grant.Former)
}

// An order of spot runners that are not available has the status of a fenced one: the topic shows which it was.
func TestNoCapacityChecksTheLease(t *testing.T) {
	l := newTestLease("a", at(0))
	take(t, l, willowwick.DutyState{}, at(100))
	l.EndCall(testSubject, mustCall(t, l, at(200)), OutcomeNoCapacity, at(210))
	assert.True(t, l.Holds(at(210)), "the topic was read a moment ago")
	for now := 1000; now <= 6000; now += 1000 {
		l.Joined(at(now), true, at(now))
	}
	l.EndCall(testSubject, mustCall(t, l, at(6100)), OutcomeNoCapacity, at(6110))
	require.Equal(t, StepRead, l.Next(at(6110)))
	l.Read(otherGrant(3), at(6110), at(6120))
	assert.False(t, l.Holds(at(6120)))
}

func TestUnansweredCallNeedsANewToken(t *testing.T) {
	l := newTestLease("a", at(0))
	first := take(t, l, willowwick.DutyState{}, at(100))
	other := willowwick.DutySubject("scale")
	l.EndCall(testSubject, mustCall(t, l, at(200)), OutcomeUnknown, at(900))
	_, verdict := l.BeginCall(other, at(910))
	require.Equal(t, MayCall, verdict, "only its subject is affected")
	l.EndCall(other, first, OutcomeUnknown, at(920))

	_, verdict = l.BeginCall(testSubject, at(1000))
	require.Equal(t, NeedsToken, verdict)
	assert.Equal(t, StepNone, l.Next(at(1000)), "no write before it is needed")
	l.RequireToken(testSubject)
	require.Equal(t, StepGrant, l.Next(at(1000)))
	_, end := l.BeginGrant(at(300))
	l.Granted(end, at(1010))
	assert.Greater(t, mustCall(t, l, at(1010)), first)
	_, verdict = l.BeginCall(other, at(1020))
	assert.Equal(t, MayCall, verdict, "one grant serves all subjects")
}

// A call that is still running counts as unanswered.
func TestRunningCallNeedsANewToken(t *testing.T) {
	l := newTestLease("a", at(0))
	take(t, l, willowwick.DutyState{}, at(100))
	mustCall(t, l, at(200))
	_, verdict := l.BeginCall(testSubject, at(300))
	assert.Equal(t, NeedsToken, verdict)
}

func TestFencedCallReadsTheTopic(t *testing.T) {
	for _, c := range []struct {
		name   string
		state  func(l *Lease) willowwick.DutyState
		step   Step
		isHeld bool
	}{
		{"another box has taken the lease", func(*Lease) willowwick.DutyState { return otherGrant(3) }, StepNone, false},
		{"the newest grant is this box's", func(l *Lease) willowwick.DutyState {
			return willowwick.DutyState{Lease: &willowwick.DutyLease{Holder: "a", Boot: "boot of a"}, Token: l.Token(), End: l.End()}
		}, StepNone, true},
	} {
		l := newTestLease("a", at(0))
		first := take(t, l, willowwick.DutyState{}, at(100))
		l.EndCall(testSubject, mustCall(t, l, at(200)), OutcomeFenced, at(210))
		assert.False(t, l.Holds(at(210)), c.name)
		require.Equal(t, StepRead, l.Next(at(210)), c.name)
		l.Read(c.state(l), at(210), at(220))
		assert.Equal(t, c.step, l.Next(at(220)), c.name)
		assert.Equal(t, c.isHeld, l.Holds(at(220)), c.name)
		if !c.isHeld {
			l.Joined(at(215), true, at(230))
			assert.False(t, l.IsCandidate(at(230)), "the join was sent before")
			continue
		}
		_, verdict := l.BeginCall(testSubject, at(230))
		require.Equal(t, NeedsToken, verdict, "token %s was fenced", first)
	}
}

func TestGrantOfUnknownOutcome(t *testing.T) {
	l := newTestLease("a", at(0))
	l.Joined(at(0), true, at(0))
	l.Read(willowwick.DutyState{}, at(0), at(0))
	grant, _ := l.BeginGrant(at(0))
	l.GrantFailed(false, at(100))
	assert.Equal(t, StepNone, l.Next(at(150)))
	require.Equal(t, StepRead, l.Next(at(400)))
	l.Read(willowwick.DutyState{Lease: &grant, End: 1}, at(400), at(410))
	assert.True(t, l.Holds(at(410)), "the write was done late")

	// It was not done: the next one is a claim of its own under the same condition.
	l = newTestLease("a", at(0))
	l.Joined(at(0), true, at(0))
	l.Read(willowwick.DutyState{}, at(0), at(0))
	_, end := l.BeginGrant(at(300))
	l.GrantFailed(false, at(100))
	l.Read(willowwick.DutyState{}, at(400), at(410))
	again, endAgain := l.BeginGrant(at(410))
	assert.Equal(t, end, endAgain)
	assert.NotEqual(t, grant.Claim, again.Claim)
	// The first one was done in between: a conflict, after which the topic shows it.
	l.GrantFailed(true, at(420))
	require.Equal(t, StepRead, l.Next(at(420)), "the same write would conflict again")
	l.Read(willowwick.DutyState{Lease: &grant, End: 1}, at(420), at(430))
	assert.True(t, l.Holds(at(430)))
}

func TestStoreBackFromACopy(t *testing.T) {
	l := newTestLease("a", at(0))
	first := take(t, l, willowwick.DutyState{End: 5}, at(100))
	l.EndCall(testSubject, mustCall(t, l, at(150)), OutcomeExecuted, at(160))
	l.NoteEra(1)
	assert.False(t, l.Holds(at(200)))
	require.Equal(t, StepRead, l.Next(at(200)))
	copied := willowwick.DutyState{
		Lease: &willowwick.DutyLease{Holder: "a", Boot: "boot of a", Claim: 1}, Token: willowwick.NewPosition(1, 2), End: willowwick.NewPosition(1, 3),
	}
	l.Read(copied, at(200), at(210))
	require.Equal(t, StepGrant, l.Next(at(210)))
	_, end := l.BeginGrant(at(300))
	l.Granted(end, at(220))
	assert.Greater(t, mustCall(t, l, at(220)), first, "it has held the lease all the time, and calls at once")
}

func TestPlannedStopGivesUpForGood(t *testing.T) {
	l := newTestLease("a", at(0))
	take(t, l, willowwick.DutyState{}, at(100))
	l.Stop()
	assert.False(t, l.Holds(at(110)))
	l.Joined(at(120), true, at(130))
	assert.Equal(t, StepNone, l.Next(at(130)))
	assert.True(t, l.HasSteppedDown(at(130)))
}

func TestUnreachableAPIMakesTheBoxStepDown(t *testing.T) {
	l := newTestLease("a", at(0))
	now := 100
	take(t, l, willowwick.DutyState{}, at(now))
	for ; !l.ShouldStepDown(at(now)); now += 500 {
		require.Less(t, now, 10_000)
		l.Joined(at(now), true, at(now))
		l.EndCall(testSubject, mustCall(t, l, at(now)), OutcomeNotSent, at(now))
	}
	assert.GreaterOrEqual(t, now, 6000)
	l.StepDown(at(now))
	l.Joined(at(now+1000), true, at(now+1000))
	assert.False(t, l.IsCandidate(at(now+1000)))
	l.Joined(at(now+9000), true, at(now+9000))
	assert.True(t, l.IsCandidate(at(now+9000)))
}

// A fleet under random faults keeps the rules, and has a holder again once they are over.
func TestFleetKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(t, 4)
		f.pass(2 * time.Second)
		pick := func(t *rapid.T) *simulatedBox {
			if leader := rapid.IntRange(0, 1).Draw(t, "leader"); leader == 1 {
				for _, box := range f.boxes {
					if box.id == f.owner {
						return box
					}
				}
			}
			return rapid.SampledFrom(f.boxes).Draw(t, "box")
		}
		pass := func(t *rapid.T) { f.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * simulatedTick) }
		t.Repeat(map[string]func(*rapid.T){
			// Listed more than once, so that time passes more often than anything else happens.
			"pass":  pass,
			"pass2": pass,
			"pass3": pass,
			"freeze": func(t *rapid.T) {
				pick(t).suspendedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "frozen")) * 100 * time.Millisecond)
			},
			"kill": func(t *rapid.T) {
				box := pick(t)
				box.offUntil = f.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "off")) * 100 * time.Millisecond)
			},
			"kill all": func(*rapid.T) {
				for _, box := range f.boxes {
					box.offUntil = f.now.Add(time.Second)
				}
			},
			"stop": func(t *rapid.T) {
				box := pick(t)
				box.lease.Stop()
				f.leave(box.id)
				box.offUntil = f.now.Add(time.Second)
			},
			"leave": func(t *rapid.T) {
				box := pick(t)
				box.lease.Left("test", f.now)
				f.leave(box.id)
			},
			"cut store": func(t *rapid.T) { box := pick(t); box.cutStore = !box.cutStore },
			"cut api":   func(t *rapid.T) { box := pick(t); box.cutAPI = !box.cutAPI },
			"store":     func(*rapid.T) { f.storeDown = !f.storeDown },
			"api":       func(*rapid.T) { f.apiDown = !f.apiDown },
			"rebalance": func(t *rapid.T) {
				if box := pick(t); !f.joinedAt[box.id].IsZero() {
					f.wanted = box.id
					f.generation++
				}
			},
			"copy":    func(*rapid.T) { f.copied = f.topic },
			"restore": func(*rapid.T) { f.restore() },
		})
		f.storeDown, f.apiDown, f.isCalm = false, false, true
		for _, box := range f.boxes {
			box.cutStore, box.cutAPI = false, false
		}
		f.pass(20 * time.Second)
		calls := len(f.executed)
		f.pass(10 * time.Second)
		require.Greater(t, len(f.executed), calls+20, "duties are done again")
	})
}
