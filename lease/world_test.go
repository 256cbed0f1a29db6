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
	worldLease = 3 * time.Second
	worldTTL   = 3 * time.Second
	worldTick  = 50 * time.Millisecond
)

type (
	// world is a fleet in virtual time, with the group, the topic and the API, and the oracle of the rules.
	world struct {
		t      *rapid.T
		random *rand.Rand // outcomes of calls
		now    time.Time
		boxes  []*worldBox

		topic    willowwick.DutyState
		copied   willowwick.DutyState // what a restore brings back
		isDown   bool                 // the store
		apiDown  bool
		isCalm   bool // no box is suspended as it calls
		deferred []deferredWork

		// The group: its part goes from owner to wanted once the owner has joined with the newest generation.
		joinedAt   map[willowwick.BoxID]time.Time
		owner      willowwick.BoxID
		wanted     willowwick.BoxID
		generation uint64

		// The oracle.
		seen     map[willowwick.DutySubject]willowwick.FencingToken
		senders  map[willowwick.DutySubject]map[willowwick.FencingToken]willowwick.BoxID
		begun    map[willowwick.BoxID]willowwick.FencingToken // highest token of a call that a box began
		executed []worldCall
		calls    int
	}

	deferredWork struct {
		at   time.Time
		work func()
	}

	worldBox struct {
		id         willowwick.BoxID
		boot       int
		lease      *Lease
		generation uint64
		nextJoin   time.Time
		frozenTo   time.Time
		offTo      time.Time // stopped or killed until then
		isStopping bool
		cutStore   bool
		cutAPI     bool
		inbox      []func() // answers, handled when the box runs
	}

	worldCall struct {
		number  int
		holder  willowwick.BoxID
		subject willowwick.DutySubject
		token   willowwick.FencingToken
		at      time.Time // of its execution
		isLate  bool      // executed long after it was begun
	}
)

func newWorld(t *rapid.T, boxes int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(1000, 0), joinedAt: map[willowwick.BoxID]time.Time{},
		seen:    map[willowwick.DutySubject]willowwick.FencingToken{},
		senders: map[willowwick.DutySubject]map[willowwick.FencingToken]willowwick.BoxID{}, begun: map[willowwick.BoxID]willowwick.FencingToken{},
	}
	for i := range boxes {
		box := &worldBox{id: willowwick.BoxID(fmt.Sprintf("box-%d", i))}
		w.start(box)
		w.boxes = append(w.boxes, box)
	}
	return w
}

func (w *world) start(box *worldBox) {
	box.boot++
	*box = worldBox{id: box.id, boot: box.boot}
	box.lease = New(Settings{
		Self:  willowwick.DutyLease{Holder: box.id, Boot: willowwick.BootID(fmt.Sprint(box.boot))},
		Lease: worldLease, MemberTTL: worldTTL,
	}, w.now)
}

func (w *world) later(after time.Duration, work func()) {
	w.deferred = append(w.deferred, deferredWork{w.now.Add(after), work})
}

// pass lets time pass.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldTick)
		due := w.deferred
		w.deferred = nil
		for _, work := range due {
			if work.at.After(w.now) {
				w.deferred = append(w.deferred, work)
			} else {
				work.work()
			}
		}
		w.expireMembers()
		for _, box := range w.boxes {
			w.run(box)
		}
	}
}

func (w *world) run(box *worldBox) {
	switch {
	case w.now.Before(box.frozenTo):
		return
	case !box.offTo.IsZero():
		if w.now.Before(box.offTo) {
			return
		}
		w.start(box)
	}
	inbox := box.inbox
	box.inbox = nil
	for _, handle := range inbox {
		handle()
	}
	if !w.now.Before(box.nextJoin) {
		box.nextJoin = w.now.Add(time.Second)
		w.join(box)
	}
	w.step(box)
}

// step makes the calls to the topic, and some to the API.
func (w *world) step(box *worldBox) {
	for range 3 {
		switch box.lease.Next(w.now) {
		case StepRead:
			if w.isDown || box.cutStore {
				box.lease.ReadFailed(w.now)
				return
			}
			box.lease.Read(w.topic, w.now, w.now)
		case StepGrant:
			w.grant(box)
		case StepNone:
			w.call(box)
			return
		}
	}
}

// grant writes a grant; some answers are lost, and some writes are late.
func (w *world) grant(box *worldBox) {
	grant, end := box.lease.BeginGrant(w.now)
	how := w.random.IntN(10)
	if w.isDown || box.cutStore {
		box.lease.GrantFailed(false, w.now)
		return
	}
	if how == 0 {
		w.later(time.Duration(w.random.IntN(61))*100*time.Millisecond, func() { w.write(grant, end) })
		box.lease.GrantFailed(false, w.now)
		return
	}
	if !w.write(grant, end) {
		box.lease.GrantFailed(true, w.now)
		return
	}
	if how == 1 {
		box.lease.GrantFailed(false, w.now)
		return
	}
	box.lease.Granted(end, w.now)
}

// restore brings the store back from its copy, under a new era.
func (w *world) restore() {
	move := func(at willowwick.Position) willowwick.Position {
		return willowwick.NewPosition(w.topic.End.Era()+1, at.Offset())
	}
	state := w.copied
	if state.Lease != nil {
		state.Token = move(state.Token)
	}
	state.End = move(state.End)
	w.topic = state
	for _, box := range w.boxes {
		box.inbox = append(box.inbox, func() { box.lease.NoteEra(state.End.Era()) })
	}
}

func (w *world) write(grant willowwick.DutyLease, end willowwick.Position) bool {
	if end != w.topic.End {
		return false
	}
	w.topic = willowwick.DutyState{Lease: &grant, Token: end, End: end + 1}
	return true
}

// call begins a call on a subject, which is sent now, or after a suspension of the box.
func (w *world) call(box *worldBox) {
	subject := willowwick.DutySubject([]string{"usage", "a", "b"}[w.random.IntN(3)])
	token, verdict := box.lease.BeginCall(subject, w.now)
	if verdict == NeedsToken {
		box.lease.RequireToken(subject)
	}
	if verdict != MayCall {
		return
	}
	w.calls++
	call := worldCall{number: w.calls, holder: box.id, subject: subject, token: token}
	w.checkBegin(call)
	if w.random.IntN(150) == 0 && !w.isCalm {
		frozen := time.Duration((1 + w.random.IntN(80))) * 100 * time.Millisecond
		box.frozenTo = w.now.Add(frozen)
		w.later(frozen, func() {
			call.isLate = true
			w.send(box, call)
		})
		return
	}
	w.send(box, call)
}

// send delivers a call. Some aren't answered, of which some are executed late.
func (w *world) send(box *worldBox, call worldCall) {
	outcome := OutcomeUnknown
	switch how := w.random.IntN(20); {
	case w.apiDown || box.cutAPI || how == 0:
	case how == 1:
		w.execute(call)
	case how == 2:
		call.isLate = true
		w.later(time.Duration(w.random.IntN(111))*100*time.Millisecond, func() { w.execute(call) })
	case how == 3:
		outcome = OutcomeRejected
	case w.execute(call):
		outcome = OutcomeAnswered
	default:
		outcome = OutcomeFenced
	}
	boot := box.boot
	box.inbox = append(box.inbox, func() {
		if box.boot == boot {
			box.lease.EndCall(call.subject, call.token, outcome, w.now)
		}
	})
}

// execute does what the API does when it executes a call, and checks the rules.
func (w *world) execute(call worldCall) bool {
	if w.senders[call.subject] == nil {
		w.senders[call.subject] = map[willowwick.FencingToken]willowwick.BoxID{}
	}
	if sender, used := w.senders[call.subject][call.token]; used && sender != call.holder {
		w.t.Fatalf("token %s of %s is used by %s and %s", call.token, call.subject, sender, call.holder)
	}
	w.senders[call.subject][call.token] = call.holder
	if call.token < w.seen[call.subject] {
		return false
	}
	w.seen[call.subject] = call.token
	call.at = w.now
	w.checkOrder(call)
	w.checkReturn(call)
	w.executed = append(w.executed, call)
	return true
}

// checkBegin checks that a new holder has a higher token than all others had.
func (w *world) checkBegin(call worldCall) {
	for holder, token := range w.begun {
		if holder != call.holder && token >= call.token {
			w.t.Fatalf("%s calls with token %s after %s called with %s", call.holder, call.token, holder, token)
		}
	}
	w.begun[call.holder] = call.token
}

// checkOrder checks that no call is executed after a newer one on its subject.
func (w *world) checkOrder(call worldCall) {
	for _, former := range w.executed {
		if former.subject == call.subject && former.number > call.number {
			w.t.Fatalf("call %d of %s (%s) is executed after call %d of %s (%s)", call.number, call.holder, call.token, former.number, former.holder, former.token)
		}
	}
}

// checkReturn checks that a holder's calls don't enclose another's within the lease: among the calls on one subject, where the
// API compares tokens, and among all calls that were executed when they were made.
func (w *world) checkReturn(call worldCall) {
	w.checkReturnAmong(call, func(former worldCall) bool { return former.subject == call.subject })
	if !call.isLate {
		w.checkReturnAmong(call, func(former worldCall) bool { return !former.isLate })
	}
}

func (w *world) checkReturnAmong(call worldCall, counts func(former worldCall) bool) {
	other := willowwick.BoxID("")
	for _, former := range slices.Backward(w.executed) {
		switch {
		case w.now.Sub(former.at) > worldLease:
			return
		case !counts(former):
		case former.holder != call.holder:
			other = former.holder
		case other != "":
			w.t.Fatalf("%s called between two calls of %s within the lease", other, call.holder)
		}
	}
}

// join renews a membership of the group; the answer may be lost.
func (w *world) join(box *worldBox) {
	if box.lease.IsAside(w.now) || w.isDown || box.cutStore {
		return
	}
	if _, known := w.joinedAt[box.id]; !known {
		w.generation++
	}
	w.joinedAt[box.id] = w.now
	if w.owner == box.id && w.wanted != box.id && box.generation >= w.generation {
		w.owner = w.wanted
	}
	w.assign()
	sent, generation, boot := w.now, w.generation, box.boot
	isLeader := w.owner == box.id && w.wanted == box.id
	if w.random.IntN(10) == 0 {
		return
	}
	box.inbox = append(box.inbox, func() {
		if box.boot == boot {
			box.generation = generation
			box.lease.Joined(sent, isLeader, w.now)
		}
	})
}

func (w *world) leave(id willowwick.BoxID) {
	delete(w.joinedAt, id)
	w.generation++
	if w.owner == id {
		w.owner = ""
	}
	if w.wanted == id {
		w.wanted = ""
	}
	w.assign()
}

func (w *world) expireMembers() {
	if w.isDown {
		return
	}
	for _, box := range w.boxes {
		if at, known := w.joinedAt[box.id]; known && w.now.Sub(at) >= worldTTL {
			w.leave(box.id)
		}
	}
}

// assign gives the part to some member if it has no owner.
func (w *world) assign() {
	if w.wanted == "" {
		for _, box := range w.boxes {
			if _, known := w.joinedAt[box.id]; known {
				w.wanted = box.id
				break
			}
		}
	}
	if w.owner == "" {
		w.owner = w.wanted
	}
}
