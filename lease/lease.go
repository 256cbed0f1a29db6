package lease

import (
	"slices"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// validityMarginDivisor is the divisor of the membership's time to live that gives the margin for clocks that run at different
	// rates, and for a process that is paused between a check and its call.
	validityMarginDivisor = 6
	// callTravelMargin is added to the wait of a returning holder, as calls take different times to reach the API.
	callTravelMargin = 200 * time.Millisecond
	// lateCallLimit is the longest time from the send of an unanswered call to its execution.
	lateCallLimit = 15 * time.Second
	// maxFormer is the number of former holders that a grant names.
	maxFormer = 12
	// storeCallLimit is how long a write to the store is expected to take at most.
	storeCallLimit = time.Second
	// storeRetryPause is the time between a failed call to the store and the next one.
	storeRetryPause = 250 * time.Millisecond
	// noCapacityReadAge is the age of the last read of the topic from which OutcomeNoCapacity makes the box read it again.
	noCapacityReadAge = 5 * time.Second
	// stepDownAfter and stepDownFailures are for how long and how often calls in a row must have got no answer until the box
	// steps down.
	stepDownAfter    = 6 * time.Second
	stepDownFailures = 3
	// stepDownTime is for how long a box that stepped down doesn't become the candidate.
	stepDownTime = 8 * time.Second
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
	OutcomeUnknown    Outcome = iota // it may have been executed, or may be later
	OutcomeNotSent                   // the API was not reached
	OutcomeRejected                  // the API rejected it for its load; it isn't executed
	OutcomeFenced                    // the API has seen a higher token on the subject
	OutcomeNoCapacity                // the API has no such runners, or has seen a higher token
	OutcomeExecuted                  // it was executed
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
		Self      willowwick.DutyLease // Holder, Boot and Address of this box
		Lease     time.Duration        // shortest time between two calls of a box if another one called in between
		MemberTTL time.Duration        // the group drops a member that sent nothing for this long
	}

	// Lease is the state of the lease on the duties, as one box knows it.
	Lease struct {
		settings  Settings
		startedAt time.Time
		stopped   bool
		why       string // why the state changed last

		// The candidate.
		since            time.Time // this box has been the candidate since then
		validUntil       time.Time // and is until then; zero if it isn't
		ignoreJoinsUntil time.Time // answers to joins that were sent until then don't count
		steppedDownUntil time.Time // it doesn't become the candidate before

		// The topic.
		isRead  bool                 // known was read since this box is the candidate, and nothing suggests that it is outdated
		known   willowwick.DutyState // without reports
		readAt  time.Time            // when known was read
		retryAt time.Time            // no call to the store before

		// Own grants.
		holds       bool // the newest grant is this box's, and it has been the candidate since it read or wrote that
		token       willowwick.FencingToken
		granted     willowwick.DutyLease // the last one that this process tried to write
		claim       uint64               // of granted; 0 if there is none
		claimEra    willowwick.Era       // of granted
		former      willowwick.BoxID     // holder before that grant
		neverHeld   bool                 // when this box took the lease, no process of this box had held the lease
		resumedFrom time.Time            // when a former process of this box, which wrote the grant before, might call; else zero
		needsToken  bool                 // a new grant is needed, with a higher token
		actsAt      time.Time            // no calls before

		// Calls.
		unusableTokens map[willowwick.DutySubject]willowwick.FencingToken // highest token that may not be used again
		running        int                                                // calls that were begun and not ended
		answeredAt     time.Time                                          // last call that was executed or got OutcomeNoCapacity
		unknownAt      time.Time                                          // last call of unknown outcome
		failures       int                                                // calls without an answer since the last answer
		failingSince   time.Time
	}
)

// New returns the state of a box that has just started.
func New(settings Settings, now time.Time) *Lease {
	return &Lease{settings: settings, startedAt: now, unusableTokens: map[willowwick.DutySubject]willowwick.FencingToken{}}
}

// Joined records the answer to a join of the group, which was sent at sentAt.
func (l *Lease) Joined(sentAt time.Time, isLeader bool, now time.Time) {
	l.expire(now)
	switch {
	case l.stopped || now.Before(l.steppedDownUntil) || !sentAt.After(l.ignoreJoinsUntil):
	case !isLeader:
		l.lose("another box leads the group")
	default:
		if l.validUntil.IsZero() {
			l.since = now
		}
		l.validUntil = sentAt.Add(l.settings.MemberTTL - l.settings.MemberTTL/validityMarginDivisor)
		l.expire(now)
	}
}

// Left records that this box leaves the group, or is about to.
func (l *Lease) Left(why string, now time.Time) {
	l.lose(why)
	l.ignoreJoinsUntil = now
}

// Stop gives up the lease for good.
func (l *Lease) Stop() {
	l.lose("planned stop")
	l.stopped = true
}

// NoteEra records the era of the store that some answer reported.
func (l *Lease) NoteEra(era willowwick.Era) {
	if l.holds && era > l.token.Era() {
		l.isRead, l.needsToken = false, true
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
	case !l.holds || l.needsToken:
		return StepGrant
	default:
		return StepNone
	}
}

// Read records what the topic held; began is when the read began. ActsAt of the grant must be by the clock of now.
func (l *Lease) Read(state willowwick.DutyState, began, now time.Time) {
	l.expire(now)
	l.known, l.known.Reports, l.readAt = state, nil, now
	l.isRead = now.Before(l.validUntil) && !began.Before(l.since)
	isOwn := l.isOwn(state)
	switch {
	case !l.isRead:
	case isOwn && state.Token == l.token && !l.actsAt.IsZero():
		// Nobody else has held it since, so there is nothing to wait for.
		l.holds, l.why = true, "the newest grant is still this box's"
	case isOwn && (!l.holds || state.Token > l.token):
		l.hold(state.Token, now)
	case isOwn, !l.holds:
		// Nothing changes; without an own grant, Next asks for one.
	case state.Token.Era() == l.token.Era():
		// Its writer became the leader meanwhile, so only answers to later joins count.
		l.Left("another box has written a grant", now)
	case state.Lease == nil || state.Lease.Boot != l.settings.Self.Boot:
		l.holds = false // the store has come back from a copy, and another box may have held the lease in between
	}
}

// ReadFailed records that the topic couldn't be read.
func (l *Lease) ReadFailed(now time.Time) {
	l.retryAt = now.Add(storeRetryPause)
}

// BeginGrant returns the grant to write, and the end of the topic that is the condition of the write. Its ActsAt is by the
// clock of now, not yet a time of day.
func (l *Lease) BeginGrant(now time.Time) (grant willowwick.DutyLease, end willowwick.Position) {
	l.claim++
	l.claimEra = l.known.End.Era()
	actsAt := l.actsAt
	if !l.holds {
		l.neverHeld, l.resumedFrom = l.hasNeverHeld(), l.ownActsAt(now)
		if actsAt = l.mayActFrom(now); actsAt.After(now) {
			actsAt = actsAt.Add(storeCallLimit) // the wait begins once the write is answered
		}
	}
	if l.known.Lease != nil {
		l.former = l.known.Lease.Holder
	}
	grant = l.settings.Self
	grant.Claim = l.claim
	grant.ActsAt = actsAt
	grant.Former = l.formerHolders()
	l.granted = grant
	return grant, l.known.End
}

// Granted records that a grant was written.
func (l *Lease) Granted(token willowwick.FencingToken, now time.Time) {
	l.expire(now)
	if l.isRead = l.isRead && now.Before(l.validUntil); !l.isRead {
		return // the membership or the read became invalid meanwhile; the topic is read again before the next call
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

// hold records that the newest grant is this box's. A box that already held the lease needn't wait before it calls.
func (l *Lease) hold(token willowwick.FencingToken, now time.Time) {
	if !l.holds {
		l.actsAt = l.mayActFrom(now)
		l.why = "leader of the group"
	}
	l.token, l.holds, l.needsToken = token, true, false
}

// mayActFrom returns from when a box that takes the lease now may call: not within settings.Lease of its own last call, as
// another holder may have called since.
func (l *Lease) mayActFrom(now time.Time) time.Time {
	afterWait := now.Add(l.returnWait())
	// Calls from longer ago than this no longer matter, even if they were executed late.
	relevantTime := lateCallLimit + l.settings.Lease
	switch {
	case l.running > 0, !l.unknownAt.IsZero() && now.Before(l.unknownAt.Add(relevantTime)):
		return afterWait
	case !l.resumedFrom.IsZero():
		return l.resumedFrom
	case now.Before(l.startedAt.Add(relevantTime)) && !l.neverHeld:
		return afterWait // a former process of this box may have called
	case !l.answeredAt.IsZero() && now.Before(l.answeredAt.Add(l.returnWait())):
		return l.answeredAt.Add(l.returnWait())
	default:
		return now
	}
}

// returnWait returns how long after its last call a box that takes the lease again may call.
func (l *Lease) returnWait() time.Duration {
	return l.settings.Lease + callTravelMargin
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

// ownActsAt returns from when a former process of this box could call under the newest grant; no other box has held the
// lease since. It is zero if the newest grant is another box's, or if the store may lack later ones.
func (l *Lease) ownActsAt(now time.Time) time.Time {
	newest := l.known.Lease
	if newest == nil || newest.Holder != l.settings.Self.Holder || newest.ActsAt.IsZero() || l.known.Token.Era() > 0 {
		return time.Time{}
	}
	latest := now.Add(l.returnWait())
	switch {
	case newest.ActsAt.Before(now):
		return now
	case newest.ActsAt.After(latest):
		return latest
	default:
		return newest.ActsAt
	}
}

// isOwn reports whether the newest grant was written by this process, in the era of its last grant.
func (l *Lease) isOwn(state willowwick.DutyState) bool {
	self := l.settings.Self
	return state.Lease != nil && state.Lease.Holder == self.Holder && state.Lease.Boot == self.Boot &&
		l.claim > 0 && state.Token.Era() == l.claimEra
}

// expire makes this box lose the lease once validUntil has passed.
func (l *Lease) expire(now time.Time) {
	if !l.validUntil.IsZero() && !now.Before(l.validUntil) {
		l.lose("the membership of the group was not renewed in time")
	}
}

// lose records that this box is no longer the candidate.
func (l *Lease) lose(why string) {
	if l.holds {
		l.why = why
	}
	l.validUntil, l.isRead, l.holds, l.needsToken = time.Time{}, false, false, false
}
