package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
	"pgregory.net/rapid"
)

const (
	simulatedLease = 3 * time.Second
	simulatedTTL   = 3 * time.Second
	simulatedTick  = 50 * time.Millisecond
)

type (
	// simulatedFleet is a fleet in virtual time, with the group, the topic and the API. It checks each call against the rules.
	simulatedFleet struct {
		t      *rapid.T
		random *rand.Rand // outcomes of calls
		now    time.Time
		boxes  []*simulatedBox

		topic     willowwick.DutyState
		copied    willowwick.DutyState // what a restore brings back
		storeDown bool
		apiDown   bool
		isCalm    bool // no box is suspended as it calls
		deferred  []deferredWork

		// The group: the owner of its part of the topic is the leader. The part goes from owner to wanted once the owner has
		// joined with the newest generation.
		joinedAt   map[willowwick.BoxID]time.Time
		owner      willowwick.BoxID
		wanted     willowwick.BoxID
		generation uint64

		// What the checks compare calls with.
		seen     map[willowwick.DutySubject]willowwick.FencingToken
		senders  map[willowwick.DutySubject]map[willowwick.FencingToken]willowwick.BoxID
		begun    map[willowwick.BoxID]willowwick.FencingToken // highest token of a call that a box began
		executed []simulatedCall
		calls    int
	}

	deferredWork struct {
		at   time.Time
		work func()
	}

	simulatedBox struct {
		id             willowwick.BoxID
		boot           int
		lease          *Lease
		generation     uint64
		nextJoin       time.Time
		suspendedUntil time.Time
		offUntil       time.Time // stopped or killed until then
		cutStore       bool
		cutAPI         bool
		inbox          []func() // answers, handled when the box runs
	}

	simulatedCall struct {
		number  int
		holder  willowwick.BoxID
		subject willowwick.DutySubject
		token   willowwick.FencingToken
		at      time.Time // of its execution
		isLate  bool      // executed long after it was begun
	}
)

func newSimulatedFleet(t *rapid.T, boxes int) *simulatedFleet {
	f := &simulatedFleet{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(1000, 0), joinedAt: map[willowwick.BoxID]time.Time{},
		seen:    map[willowwick.DutySubject]willowwick.FencingToken{},
		senders: map[willowwick.DutySubject]map[willowwick.FencingToken]willowwick.BoxID{}, begun: map[willowwick.BoxID]willowwick.FencingToken{},
	}
	for i := range boxes {
		box := &simulatedBox{id: willowwick.BoxID(fmt.Sprintf("box-%d", i))}
		f.start(box)
		f.boxes = append(f.boxes, box)
	}
	return f
}

func (f *simulatedFleet) start(box *simulatedBox) {
	box.boot++
	*box = simulatedBox{id: box.id, boot: box.boot}
	box.lease = New(Settings{
		Self:  willowwick.DutyLease{Holder: box.id, Boot: willowwick.BootID(fmt.Sprint(box.boot))},
		Lease: simulatedLease, MemberTTL: simulatedTTL,
	}, f.now)
}

func (f *simulatedFleet) later(after time.Duration, work func()) {
	f.deferred = append(f.deferred, deferredWork{f.now.Add(after), work})
}

// pass lets time pass.
func (f *simulatedFleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(simulatedTick)
		due := f.deferred
		f.deferred = nil
		for _, work := range due {
			if work.at.After(f.now) {
				f.deferred = append(f.deferred, work)
			} else {
				work.work()
			}
		}
		f.expireMembers()
		for _, box := range f.boxes {
			f.run(box)
		}
	}
}

func (f *simulatedFleet) run(box *simulatedBox) {
	switch {
	case f.now.Before(box.suspendedUntil):
		return
	case !box.offUntil.IsZero():
		if f.now.Before(box.offUntil) {
			return
		}
		f.start(box)
	}
	inbox := box.inbox
	box.inbox = nil
	for _, handle := range inbox {
		handle()
	}
	if !f.now.Before(box.nextJoin) {
		box.nextJoin = f.now.Add(time.Second)
		f.join(box)
	}
	f.step(box)
}

// step makes the calls to the topic, and some to the API.
func (f *simulatedFleet) step(box *simulatedBox) {
	for range 3 {
		switch box.lease.Next(f.now) {
		case StepRead:
			if f.storeDown || box.cutStore {
				box.lease.ReadFailed(f.now)
				return
			}
			box.lease.Read(f.topic, f.now, f.now)
		case StepGrant:
			f.grant(box)
		case StepNone:
			f.call(box)
			return
		}
	}
}

// grant writes a grant; some answers are lost, and some writes are late.
func (f *simulatedFleet) grant(box *simulatedBox) {
	grant, end := box.lease.BeginGrant(f.now)
	fault := f.random.IntN(10)
	if f.storeDown || box.cutStore {
		box.lease.GrantFailed(false, f.now)
		return
	}
	if fault == 0 {
		f.later(time.Duration(f.random.IntN(61))*100*time.Millisecond, func() { f.write(grant, end) })
		box.lease.GrantFailed(false, f.now)
		return
	}
	if !f.write(grant, end) {
		box.lease.GrantFailed(true, f.now)
		return
	}
	if fault == 1 {
		box.lease.GrantFailed(false, f.now)
		return
	}
	box.lease.Granted(end, f.now)
}

// restore brings the store back from its copy, under a new era.
func (f *simulatedFleet) restore() {
	move := func(at willowwick.Position) willowwick.Position {
		return willowwick.NewPosition(f.topic.End.Era()+1, at.Offset())
	}
	state := f.copied
	if state.Lease != nil {
		state.Token = move(state.Token)
	}
	state.End = move(state.End)
	f.topic = state
	for _, box := range f.boxes {
		box.inbox = append(box.inbox, func() { box.lease.NoteEra(state.End.Era()) })
	}
}

func (f *simulatedFleet) write(grant willowwick.DutyLease, end willowwick.Position) bool {
	if end != f.topic.End {
		return false
	}
	f.topic = willowwick.DutyState{Lease: &grant, Token: end, End: end + 1}
	return true
}

// call begins a call on a subject, which is sent now, or after a suspension of the box.
func (f *simulatedFleet) call(box *simulatedBox) {
	subject := willowwick.DutySubject([]string{"usage", "a", "b"}[f.random.IntN(3)])
	token, verdict := box.lease.BeginCall(subject, f.now)
	if verdict == NeedsToken {
		box.lease.RequireToken(subject)
	}
	if verdict != MayCall {
		return
	}
	f.calls++
	call := simulatedCall{number: f.calls, holder: box.id, subject: subject, token: token}
	f.checkBegin(call)
	if f.random.IntN(150) == 0 && !f.isCalm {
		suspension := time.Duration((1 + f.random.IntN(80))) * 100 * time.Millisecond
		box.suspendedUntil = f.now.Add(suspension)
		f.later(suspension, func() {
			call.isLate = true
			f.send(box, call)
		})
		return
	}
	f.send(box, call)
}

// send delivers a call. Some aren't answered, of which some are executed late.
func (f *simulatedFleet) send(box *simulatedBox, call simulatedCall) {
	outcome := OutcomeUnknown
	switch fault := f.random.IntN(20); {
	case f.apiDown || box.cutAPI || fault == 0:
	case fault == 1:
		f.execute(call)
	case fault == 2:
		call.isLate = true
		f.later(time.Duration(f.random.IntN(111))*100*time.Millisecond, func() { f.execute(call) })
	case fault == 3:
		outcome = OutcomeRejected
	case f.execute(call):
		outcome = OutcomeExecuted
	default:
		outcome = OutcomeFenced
	}
	boot := box.boot
	box.inbox = append(box.inbox, func() {
		if box.boot == boot {
			box.lease.EndCall(call.subject, call.token, outcome, f.now)
		}
	})
}

// execute does what the API does when it executes a call, and checks the rules.
func (f *simulatedFleet) execute(call simulatedCall) bool {
	if f.senders[call.subject] == nil {
		f.senders[call.subject] = map[willowwick.FencingToken]willowwick.BoxID{}
	}
	if sender, used := f.senders[call.subject][call.token]; used && sender != call.holder {
		f.t.Fatalf("token %s of %s is used by %s and %s", call.token, call.subject, sender, call.holder)
	}
	f.senders[call.subject][call.token] = call.holder
	if call.token < f.seen[call.subject] {
		return false
	}
	f.seen[call.subject] = call.token
	call.at = f.now
	f.checkOrder(call)
	f.checkReturn(call)
	f.executed = append(f.executed, call)
	return true
}

// checkBegin checks that a new holder has a higher token than all others had.
func (f *simulatedFleet) checkBegin(call simulatedCall) {
	for holder, token := range f.begun {
		if holder != call.holder && token >= call.token {
			f.t.Fatalf("%s calls with token %s after %s called with %s", call.holder, call.token, holder, token)
		}
	}
	f.begun[call.holder] = call.token
}

// checkOrder checks that no call is executed after a newer one on its subject.
func (f *simulatedFleet) checkOrder(call simulatedCall) {
	for _, former := range f.executed {
		if former.subject == call.subject && former.number > call.number {
			f.t.Fatalf("call %d of %s (%s) is executed after call %d of %s (%s)", call.number, call.holder, call.token, former.number, former.holder, former.token)
		}
	}
}

// checkReturn checks that a holder doesn't call within the lease of its own last call if another one called in between. It
// compares calls on one subject, on which the API compares tokens, and all calls that were executed when they were made.
func (f *simulatedFleet) checkReturn(call simulatedCall) {
	f.checkReturnAmong(call, func(former simulatedCall) bool { return former.subject == call.subject })
	if !call.isLate {
		f.checkReturnAmong(call, func(former simulatedCall) bool { return !former.isLate })
	}
}

func (f *simulatedFleet) checkReturnAmong(call simulatedCall, counts func(former simulatedCall) bool) {
	other := willowwick.BoxID("")
	for _, former := range slices.Backward(f.executed) {
		switch {
		case f.now.Sub(former.at) > simulatedLease:
			return
		case !counts(former):
		case former.holder != call.holder:
			other = former.holder
		case other != "":
			f.t.Fatalf("%s called between two calls of %s within the lease", other, call.holder)
		}
	}
}

// join renews a membership of the group; the answer may be lost.
func (f *simulatedFleet) join(box *simulatedBox) {
	if box.lease.HasSteppedDown(f.now) || f.storeDown || box.cutStore {
		return
	}
	if _, known := f.joinedAt[box.id]; !known {
		f.generation++
	}
	f.joinedAt[box.id] = f.now
	if f.owner == box.id && f.wanted != box.id && box.generation >= f.generation {
		f.owner = f.wanted
	}
	f.assign()
	sent, generation, boot := f.now, f.generation, box.boot
	isLeader := f.owner == box.id && f.wanted == box.id
	if f.random.IntN(10) == 0 {
		return
	}
	box.inbox = append(box.inbox, func() {
		if box.boot == boot {
			box.generation = generation
			box.lease.Joined(sent, isLeader, f.now)
		}
	})
}

func (f *simulatedFleet) leave(id willowwick.BoxID) {
	delete(f.joinedAt, id)
	f.generation++
	if f.owner == id {
		f.owner = ""
	}
	if f.wanted == id {
		f.wanted = ""
	}
	f.assign()
}

func (f *simulatedFleet) expireMembers() {
	if f.storeDown {
		return
	}
	for _, box := range f.boxes {
		if at, known := f.joinedAt[box.id]; known && f.now.Sub(at) >= simulatedTTL {
			f.leave(box.id)
		}
	}
}

// assign gives the part to some member if it has no owner.
func (f *simulatedFleet) assign() {
	if f.wanted == "" {
		for _, box := range f.boxes {
			if _, known := f.joinedAt[box.id]; known {
				f.wanted = box.id
				break
			}
		}
	}
	if f.owner == "" {
		f.owner = f.wanted
	}
}
