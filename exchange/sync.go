package exchange

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// heldShare is the part of the time to put a configuration in force for which the store may hold a read of the
	// declarations. Nothing tells a read that waits from one that was lost with its connection, so this bounds what a lost
	// one costs; the rest of the time is for the limit on its head, for the next read, and for the swaps that pass on what
	// it brings.
	heldShare = 0.3
	// heldMost bounds it where operators give much time: a read costs the store no more than a call then.
	heldMost = 20 * time.Second
	// heldLate is how much later than that an answer may be until others of the hall read for themselves: the client's
	// limit on the head of an answer, and time for its body.
	heldLate = time.Second
	// feedPoll is how often a box looks whether it has to read for itself.
	feedPoll = 100 * time.Millisecond
	// retryFirst and retryMost bound the pauses between reads that fail.
	retryFirst = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// regainMost bounds them on the first box of a hall while another one reads for it: nobody waits for it.
	regainMost = 2400 * time.Millisecond
	// probeEvery is how often the boxes of a hall together look whether an absent store is back, but for the first of
	// them; retryBehind bounds how long one of them waits for its turn.
	probeEvery  = 250 * time.Millisecond
	retryBehind = 6 * time.Second
)

const (
	// readDeclared: of configurations and orders of roll-outs.
	readDeclared readKind = iota
	// readEndpoints: of the list of endpoints.
	readEndpoints
	readKinds
)

type (
	// readKind is what a read of the store is for. One kind that is answered says nothing of the other: each has a
	// connection of its own, and the store may turn one away and not the other.
	readKind int

	// syncer keeps what the store holds: declarations, endpoints, the group and states of roll-outs.
	syncer struct {
		router  *Router
		control willowwick.Control
		ordered chan struct{} // a roll-out was ordered, and what became of it is to be read

		harmDue time.Time // what is refused is not read again before; zero until it was read. Only runPoisonSync uses it

		mu sync.Mutex

		// The list of endpoints.
		listed    map[willowwick.EndpointID]willowwick.Endpoint
		lapsed    map[willowwick.EndpointID]time.Time // when an entry that is gone ends to count
		gone      map[willowwick.EndpointID]goneEntry
		lives     map[willowwick.EndpointID]endpointLife
		known     bool                // the list was read
		next      willowwick.Position // from which it is read on
		changedAt willowwick.Position // where it last changed in more than heartbeats
		changed   bool                // it changed since, at an offset that is not known yet
		history   *listHistory        // of what changed where
		sum       uint64              // over the list; 0 if it is not known
		differs   bool                // another box that knows as many changes lists other endpoints
		wholeAt   time.Time           // when a whole list last came from another box

		// Whether the store is reached.
		answeredAt [readKinds]time.Time // last answer of the store to this box
		failing    [readKinds]bool      // the last read of the kind failed
		asOf       time.Time            // from when what is known of the endpoints is, read here or by another box
		configAsOf time.Time            // from when the configuration is, read here or by another box
		failedAt   time.Time            // last read that failed
		blindAt    time.Time            // last time that neither a read nor another box told what the store holds
		cancelRead context.CancelFunc   // ends the read that the store holds; nil if there is none
		heldSince  time.Time            // when the store was asked for the read that it holds; zero if there is none
		fedBy      string               // address of the box that reads the store for this one; empty if it does so itself

		// The era of the store.
		era        willowwick.Era // the newest that is known
		restoredAt time.Time      // until then the store may lack what the operator had declared

		// The group of boxes.
		generation uint64 // as last told
		joined     bool   // this box is in the group, as far as it knows
		leads      bool   // this box writes the states of roll-outs
	}

	// goneEntry is what is remembered of an endpoint that is gone.
	goneEntry struct {
		beat  uint64 // the last heartbeat seen
		again bool   // one has come since
	}
)

func newSyncer(x *Router, control willowwick.Control) *syncer {
	return &syncer{
		router: x, control: control, ordered: make(chan struct{}, 1),
		listed: map[willowwick.EndpointID]willowwick.Endpoint{},
		lapsed: map[willowwick.EndpointID]time.Time{}, lives: map[willowwick.EndpointID]endpointLife{},
		gone: map[willowwick.EndpointID]goneEntry{}, history: newListHistory(),
	}
}

// String implements fmt.Stringer.
func (k readKind) String() string {
	if k == readDeclared {
		return "declarations"
	}
	return "endpoints"
}

// followDeclarations keeps the configuration and the orders until the context ends.
func (s *syncer) followDeclarations(ctx context.Context) {
	var next willowwick.Position
	var pause time.Duration // after the last read, if it failed
	for ctx.Err() == nil {
		if now := clock.Now(); s.isFed(now) && !s.mustRegain(readDeclared, now) || s.mayRest(now) {
			sleep(ctx, feedPoll)
			continue
		}
		began := clock.Now()
		wait := s.nextWait(began)
		declared, wasCancelled, err := s.readDeclarations(ctx, next, wait)
		if wasCancelled {
			slog.Info("held read given up", "ms", clock.Since(began).Milliseconds(), "from", next)
			sleep(ctx, feedPoll)
			continue
		}
		if err != nil {
			pause = s.backOff(ctx, readDeclared, pause, err)
			continue
		}
		pause = 0
		ended := clock.Now()
		s.noteAnswer(readDeclared, ended)
		s.declare(declared)
		if !declared.Partial && !s.isRestoring(ended) {
			s.noteConfig(readAsOf(began, ended, wait, next, declared))
		}
		next = declared.Next
		s.lookForReader(ctx)
	}
}

// lookForReader waits in the first moments of a box whether another reads for it, before the store holds a read here; no
// longer than the store would hold one, since a hall may follow this box already.
func (s *syncer) lookForReader(ctx context.Context) {
	limit := clock.Now().Add(s.heldLimit())
	for now := clock.Now(); ctx.Err() == nil && now.Before(limit) && s.mayFindReader(now); now = clock.Now() {
		sleep(ctx, feedPoll)
	}
}

// mayFindReader reports whether this box serves, but has just started and is not fed yet.
func (s *syncer) mayFindReader(now time.Time) bool {
	serves := s.router.table.Load() != nil && s.hasEndpoints()
	return serves && s.router.peers.isNew(now) && !s.isFed(now)
}

// readDeclarations reads what was declared since an offset; wasCancelled tells that the read was ended from here.
func (s *syncer) readDeclarations(
	ctx context.Context, from willowwick.Position, wait time.Duration,
) (declared willowwick.Declarations, wasCancelled bool, err error) {
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCancelRead(cancel, clock.Now())
	defer s.setCancelRead(nil, time.Time{})
	declared, err = s.control.Declarations(held, from, wait)
	return declared, held.Err() != nil, err
}

// nextWait is how long the store may hold the next read of the declarations. An answer at once shows whether the store is
// back; on a box that lost its reader, whether its configuration still is the newest; and where a reader may be found
// soon, nothing is held that would be given up.
func (s *syncer) nextWait(now time.Time) time.Duration {
	limit := s.heldLimit()
	if s.isFailing(readDeclared) || s.declaredAge(now) > 2*limit || s.mayFindReader(now) {
		return 0
	}
	return limit
}

// heldLimit is how long the store may hold a read of the declarations: a call lasts until something changes, and one that
// is lost is found out while there is time to read what changed.
func (s *syncer) heldLimit() time.Duration {
	return min(scale(s.router.settings.ConfigApplyLimit, heldShare), heldMost)
}

// backOff notes a read that failed, waits before the next one, and returns how long it waited.
func (s *syncer) backOff(ctx context.Context, kind readKind, before time.Duration, err error) time.Duration {
	now := clock.Now()
	s.noteFailure(kind, now, err)
	pause := s.longer(before, now)
	sleep(ctx, pause)
	return pause
}

// longer is the next pause after a read that failed. Boxes that are in touch with others of their hall take turns: the
// first of them that finds the store back reads for all.
func (s *syncer) longer(pause time.Duration, now time.Time) time.Duration {
	next := min(max(2*pause, retryFirst), retryMost)
	if !s.router.peers.isBehind(now) {
		if _, isFed := s.router.peers.reader(now); isFed {
			return min(max(2*pause, retryFirst), regainMost)
		}
		return next
	}
	shared := time.Duration(s.router.peers.hallSize()) * probeEvery
	return min(max(next, shared), retryBehind)
}

// mayRest reports whether calls other than the reads of endpoints can wait: this box has not shown of late that it
// reaches the store at all, and one before it in its hall looks for it too.
func (s *syncer) mayRest(now time.Time) bool {
	return s.router.table.Load() != nil && !s.isReached(now) && s.router.peers.isBehind(now)
}

// mustRegain reports whether this box goes on with reads of a kind that fail although another reads for it: it is the first
// of its hall, which the others follow for its link.
func (s *syncer) mustRegain(kind readKind, now time.Time) bool {
	return s.isFailing(kind) && !s.router.peers.isBehind(now)
}

// isFed reports whether another box of the hall reads the store for this one.
func (s *syncer) isFed(now time.Time) bool {
	reader, found := s.router.peers.reader(now)
	found = found && s.router.table.Load() != nil && s.hasEndpoints()
	address := ""
	if found {
		address = reader.Address
	}
	s.noteReader(address, now)
	return found
}

// noteReader notes which box reads the store for this one, none if the address is empty, and ends a read that the
// store holds for a box that is fed.
func (s *syncer) noteReader(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.fedBy {
		slog.Info("reader of the store changed", "from", s.fedBy, "to", address, "known_ms_ago", now.Sub(s.asOf).Milliseconds())
		s.fedBy = address
	}
	if address != "" && !s.failing[readDeclared] && s.cancelRead != nil {
		// The box that reads for this one tells of changes; a read that the store holds here would bring them twice.
		s.cancelRead()
	}
}

func (s *syncer) setCancelRead(cancel context.CancelFunc, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelRead, s.heldSince = cancel, since
}

// declare takes a configuration, evacuations and orders of roll-outs. Evacuations come first: a box that has just started
// serves from its first configuration on.
func (s *syncer) declare(declared willowwick.Declarations) {
	s.noteEra(declared.Next, clock.Now(), "declarations")
	s.router.evacuations.declare(declared)
	s.router.admissions.declare(declared)
	if declared.Table != nil {
		s.router.setTable(declared.Table, "store")
	}
	if len(declared.Orders) == 0 {
		return
	}
	for _, order := range declared.Orders {
		s.router.releases.applyOrder(order, 0, clock.Now())
	}
	select {
	case s.ordered <- struct{}{}:
	default: // they are read after this anyway
	}
}

// followOrdered reads what became of roll-outs whenever one was ordered, which may have been long ago, until the context
// ends. It is no part of reading the declarations: an answer that comes in slowly would keep those away, unseen.
func (s *syncer) followOrdered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ordered:
		}
		if _, err := s.readStatuses(ctx); err != nil {
			slog.Info("states of roll-outs could not be read", "error", err)
		}
	}
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
