package lease

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// validityMarginShare of the membership's time to live is left for clocks that run at different rates, and for a process that
	// is paused between a check and its call.
	validityMarginShare = 6
	// actingMargin is added to the time that a returning holder waits, for the way of its calls.
	actingMargin = 200 * time.Millisecond
	// lateCallLimit is how long after it was sent an unanswered call is expected to be executed at the latest.
	lateCallLimit = 15 * time.Second
	// maxFormer is the number of former holders that a grant names.
	maxFormer = 12
	// storeCallLimit is how long a write to the store is expected to take at most.
	storeCallLimit = time.Second
	// storeRetryPause is the time between a failed call to the store and the next one.
	storeRetryPause = 250 * time.Millisecond
	// noCapacityReadAge is the age of the last read of the topic from which an order of runners that were not available makes the
	// box read it again: it may have been rejected for its token.
	noCapacityReadAge = 5 * time.Second
	// stepAsideAfter and stepAsideCalls are for how long and how often calls must have got no answer, without one that got
	// one, until the box lets another one try.
	stepAsideAfter = 6 * time.Second
	stepAsideCalls = 3
	// asideTime is for how long a box that stepped aside doesn't become the candidate.
	asideTime = 8 * time.Second
)

// Steps that the state asks for.
const (
	StepNone  Step = iota // nothing to do now
	StepRead              // read the topic, then call Read or ReadFailed
	StepGrant             // call BeginGrant, write its grant, then call Granted or GrantFailed
)

// Verdicts on a call.
const (
	NotHolder  Verdict = iota // the box may not call
	NeedsToken                // a new grant is needed before a call on this subject
	MayCall
)

// Outcomes of a call.
const (
	OutcomeUnknown    Outcome = iota // it may be executed now or later
	OutcomeNotSent                   // the API was not reached
	OutcomeRejected                  // the API rejected it for its load; it isn't executed
	OutcomeFenced                    // the API has seen a higher token on the subject
	OutcomeNoCapacity                // the API has no such runners, or has seen a higher token
	OutcomeAnswered                  // it was executed
)

type (
	// Step is what the box has to do next.
	Step int
	// Verdict says whether a call may be made.
	Verdict int
	// Outcome is what is known of a call.
	Outcome int

	// Settings configure a Lease.
	Settings struct {
		Self      willowwick.DutyLease // this box; its Claim is not used
		Lease     time.Duration        // shortest time between two calls of a box if another one held the lease in between
		MemberTTL time.Duration        // the group drops a member that sent nothing for this long
	}

	// Lease is the state of the lease on the duties, as one box knows it.
	Lease struct {
		settings  Settings
		startedAt time.Time
		stopped   bool
		why       string // why the state changed last

		// The candidate.
		since       time.Time // this box has been the candidate since then
		validUntil  time.Time // and is until then; zero if it isn't
		joinedAfter time.Time // answers to joins that were sent until then don't count
		asideUntil  time.Time // this box leaves the lease to others until then

		// The topic.
		isRead  bool                 // known is from this time as the candidate, and nothing suggests that it is outdated
		known   willowwick.DutyState // without reports
		readAt  time.Time            // when known was read
		retryAt time.Time            // no call to the store before

		// Own grants.
		holds       bool // the newest grant is this box's, and it has been the candidate since it read or wrote that
		token       willowwick.FencingToken
		granted     willowwick.DutyLease // the last one that was written here, whether for certain or not
		claim       uint64               // of it; 0 if there is none
		claimEra    willowwick.Era       // of that grant
		former      willowwick.BoxID     // holder before that grant
		neverHeld   bool                 // as of that grant, no process of this box had held the lease
		resumedFrom time.Time            // from when it may call if a former process of this box wrote the grant before; else zero
		outdated    bool                 // a higher token is needed
		actsAt      time.Time            // no calls before

		// Calls.
		spent        map[willowwick.DutySubject]willowwick.FencingToken // highest token that can't be used again
		running      int                                                // calls that were begun and not ended
		answeredAt   time.Time                                          // last call that was executed
		unknownAt    time.Time                                          // last call of unknown outcome
		failures     int                                                // calls without an answer since the last answer
		failingSince time.Time
	}
)

// New returns the state of a box that has just started.
func New(settings Settings, now time.Time) *Lease {
	return &Lease{settings: settings, startedAt: now, spent: map[willowwick.DutySubject]willowwick.FencingToken{}}
}

// Joined records the answer to a join of the group.
func (l *Lease) Joined(sentAt time.Time, isLeader bool, now time.Time) {
	l.expire(now)
	switch {
	case l.stopped || now.Before(l.asideUntil) || !sentAt.After(l.joinedAfter):
	case !isLeader:
		l.lose("another box leads the group")
	default:
		if l.validUntil.IsZero() {
			l.since = now
		}
		l.validUntil = sentAt.Add(l.settings.MemberTTL - l.settings.MemberTTL/validityMarginShare)
		l.expire(now)
	}
}

// Left records that this box leaves the group, or is about to.
func (l *Lease) Left(why string, now time.Time) {
	l.lose(why)
	l.joinedAfter = now
}

// Stop gives up the lease for good.
func (l *Lease) Stop() {
	l.lose("planned stop")
	l.stopped = true
}

// NoteEra records the era of the store that some answer reported.
func (l *Lease) NoteEra(era willowwick.Era) {
	if l.holds && era > l.token.Era() {
		l.isRead, l.outdated = false, true
	}
}

// IsCandidate reports whether this box may hold the lease.
func (l *Lease) IsCandidate(now time.Time) bool {
	l.expire(now)
	return now.Before(l.validUntil)
}

// Next returns what has to be done now.
func (l *Lease) Next(now time.Time) Step {
	l.expire(now)
	switch {
	case !now.Before(l.validUntil) || now.Before(l.retryAt):
		return StepNone
	case !l.isRead:
		return StepRead
	case !l.holds || l.outdated:
		return StepGrant
	default:
		return StepNone
	}
}

// Read records what the topic held; began is when the read began.
func (l *Lease) Read(state willowwick.DutyState, began, now time.Time) {
	l.expire(now)
	l.known, l.known.Reports, l.readAt = state, nil, now
	l.isRead = now.Before(l.validUntil) && !began.Before(l.since)
	isOwn := l.isOwn(state)
	switch {
	case !l.isRead:
	case isOwn && state.Token == l.token && !l.actsAt.IsZero():
		// Nobody else has held it since.
		l.holds, l.why = true, "the newest grant is still this box's"
	case isOwn && (!l.holds || state.Token > l.token):
		l.hold(state.Token, now)
	case isOwn || !l.holds:
	case state.Token.Era() == l.token.Era():
		// Only a box that was the leader can have written it. This one waits for an answer of the group from after that.
		l.Left("another box has written a grant", now)
	case state.Lease == nil || state.Lease.Boot != l.settings.Self.Boot:
		l.holds = false // the store has come back from a copy, and another box may have held the lease in between
	}
}

// ReadFailed records that the topic couldn't be read.
func (l *Lease) ReadFailed(now time.Time) {
	l.retryAt = now.Add(storeRetryPause)
}

// BeginGrant returns the grant to write, and the end of the topic that is the condition of the write. The time in the grant
// is of the caller's clock.
func (l *Lease) BeginGrant(now time.Time) (grant willowwick.DutyLease, end willowwick.Position) {
	l.claim++
	l.claimEra = l.known.End.Era()
	if !l.holds {
		l.neverHeld, l.resumedFrom = l.hasNeverHeld(), l.ownActsAt(now)
	}
	if l.known.Lease != nil {
		l.former = l.known.Lease.Holder
	}
	grant = l.settings.Self
	grant.Claim = l.claim
	grant.ActsAt = l.actsAt
	grant.Former = l.formerHolders()
	if !l.holds {
		// The wait begins once the write is answered.
		if grant.ActsAt = l.mayActFrom(now); grant.ActsAt.After(now) {
			grant.ActsAt = grant.ActsAt.Add(storeCallLimit)
		}
	}
	l.granted = grant
	return grant, l.known.End
}

// Granted records that a grant was written.
func (l *Lease) Granted(token willowwick.FencingToken, now time.Time) {
	l.expire(now)
	if l.isRead = l.isRead && now.Before(l.validUntil); !l.isRead {
		return // it lapsed meanwhile; the topic is read again before the next call
	}
	l.hold(token, now)
	grant := l.granted
	l.known = willowwick.DutyState{Lease: &grant, Token: token, End: token + 1}
}

// GrantFailed records that a grant was not written, or that this is unknown.
func (l *Lease) GrantFailed(isConflict bool, now time.Time) {
	l.isRead = false
	if !isConflict {
		l.retryAt = now.Add(storeRetryPause)
	}
}

// hold records an own grant that is the newest. Only a box that has not been the holder all the time may have to wait.
func (l *Lease) hold(token willowwick.FencingToken, now time.Time) {
	if !l.holds {
		l.actsAt = l.mayActFrom(now)
		l.why = "leader of the group"
	}
	l.token, l.holds, l.outdated = token, true, false
}

// mayActFrom returns from when a box that takes the lease now may call: its calls must not enclose those of another holder
// within the lease's time.
func (l *Lease) mayActFrom(now time.Time) time.Time {
	returned := now.Add(l.settings.Lease + actingMargin)
	memory := lateCallLimit + l.settings.Lease
	switch {
	case l.running > 0, !l.unknownAt.IsZero() && now.Before(l.unknownAt.Add(memory)):
		return returned
	case !l.resumedFrom.IsZero():
		return l.resumedFrom
	case now.Before(l.startedAt.Add(memory)) && !l.neverHeld:
		return returned // a former process of this box may have called
	case !l.answeredAt.IsZero() && now.Before(l.answeredAt.Add(l.settings.Lease+actingMargin)):
		return l.answeredAt.Add(l.settings.Lease + actingMargin)
	default:
		return now
	}
}

// hasNeverHeld reports whether the topic shows that no process of this box has held the lease before. A store that came back
// from a copy may lack grants.
func (l *Lease) hasNeverHeld() bool {
	holders := l.formerHolders()
	return l.known.End.Era() == 0 && len(holders) < maxFormer && !slices.Contains(holders, l.settings.Self.Holder)
}

// formerHolders returns the boxes that have held the lease up to the newest grant, the latest last: all of them if they are
// fewer than maxFormer.
func (l *Lease) formerHolders() []willowwick.BoxID {
	newest := l.known.Lease
	if newest == nil {
		return nil
	}
	holders := slices.DeleteFunc(slices.Clone(newest.Former), func(box willowwick.BoxID) bool { return box == newest.Holder })
	holders = append(holders, newest.Holder)
	return holders[max(len(holders)-maxFormer, 0):]
}

// ownActsAt returns from when a former process of this box would have called under the newest grant: no other box has held
// the lease since. It is zero if the newest grant is another box's, or if the store may lack later ones.
func (l *Lease) ownActsAt(now time.Time) time.Time {
	newest := l.known.Lease
	if newest == nil || newest.Holder != l.settings.Self.Holder || newest.ActsAt.IsZero() || l.known.Token.Era() > 0 {
		return time.Time{}
	}
	latest := now.Add(l.settings.Lease + actingMargin)
	switch {
	case newest.ActsAt.Before(now):
		return now
	case newest.ActsAt.After(latest):
		return latest
	default:
		return newest.ActsAt
	}
}

// isOwn reports whether the newest grant was written by this process in the current era.
func (l *Lease) isOwn(state willowwick.DutyState) bool {
	self := l.settings.Self
	return state.Lease != nil && state.Lease.Holder == self.Holder && state.Lease.Boot == self.Boot &&
		l.claim > 0 && state.Token.Era() == l.claimEra
}

// expire ends the validity of the candidate once its time is over.
func (l *Lease) expire(now time.Time) {
	if !l.validUntil.IsZero() && !now.Before(l.validUntil) {
		l.lose("the membership of the group was not renewed in time")
	}
}

func (l *Lease) lose(why string) {
	if l.holds {
		l.why = why
	}
	l.validUntil, l.isRead, l.holds, l.outdated = time.Time{}, false, false, false
}
