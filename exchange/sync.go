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
	longPollShare = 0.3
	// heldMost bounds it where operators give much time: a read costs the store no more than a call then.
	maxLongPoll = 20 * time.Second
	// heldLate is how much later than that an answer may be until others of the hall read for themselves: the client's
	// limit on the head of an answer, and time for its body.
	longPollMargin = time.Second
	// feedPoll is how often a box looks whether it has to read for itself.
	readerPollInterval = 100 * time.Millisecond
	// retryFirst and retryMost bound the pauses between reads that fail.
	minReadRetry = 150 * time.Millisecond
	maxReadRetry = 600 * time.Millisecond
	// regainMost bounds them on the first box of a hall while another one reads for it: nobody waits for it.
	maxHubReadRetry = 2400 * time.Millisecond
	// probeEvery is how often the boxes of a hall together look whether an absent store is back, but for the first of
	// them; retryBehind bounds how long one of them waits for its turn.
	hallProbeInterval    = 250 * time.Millisecond
	maxFollowerReadRetry = 6 * time.Second
)

const (
	// readDeclared: of configurations and orders of roll-outs.
	declarationsRead readKind = iota
	// readEndpoints: of the list of endpoints.
	endpointsRead
	readKindCount
)

type (
	// readKind is what a read of the store is for. One kind that is answered says nothing of the other: each has a
	// connection of its own, and the store may turn one away and not the other.
	readKind int

	// syncer keeps what the store holds: declarations, endpoints, the group and states of roll-outs.
	syncer struct {
		router         *Router
		control        willowwick.Control
		rolloutOrdered chan struct{} // a roll-out was ordered, and what became of it is to be read

		nextQuarantineRead time.Time // what is refused is not read again before; zero until it was read. Only keepHarmful uses it

		mu sync.Mutex

		// The list of endpoints.
		listed            map[willowwick.EndpointID]willowwick.Endpoint
		lapsed            map[willowwick.EndpointID]time.Time // when an entry that is gone ends to count
		removed           map[willowwick.EndpointID]removedEntry
		incarnations      map[willowwick.EndpointID]endpointIncarnations
		hasList           bool                // the list was read
		readTo            willowwick.Position // from which it is read on
		changedAt         willowwick.Position // where it last changed in more than heartbeats
		hasPendingChange  bool                // it changed since, at an offset that is not known yet
		history           *listHistory        // of what changed where
		cachedListSum     uint64              // over the list; 0 if it is not known
		differsFromReader bool                // another box that knows as many changes lists other endpoints
		wholeListAt       time.Time           // when a whole list last came from another box

		// Whether the store is reached.
		answeredAt     [readKindCount]time.Time // last answer of the store to this box
		failing        [readKindCount]bool      // the last read of the kind failed
		endpointsAsOf  time.Time                // from when what is known of the endpoints is, read here or by another box
		configAsOf     time.Time                // from when the configuration is, read here or by another box
		lastFailureAt  time.Time                // last read that failed
		lastOutageAt   time.Time                // last time that neither a read nor another box told what the store holds
		cancelLongPoll context.CancelFunc       // ends the read that the store holds; nil if there is none
		longPollSince  time.Time                // when the store was asked for the read that it holds; zero if there is none
		readerAddress  string                   // address of the box that reads the store for this one; empty if it does so itself

		// The era of the store.
		era            willowwick.Era // the newest that is known
		restoringUntil time.Time      // until then the store may lack what the operator had declared

		// The group of boxes.
		generation uint64 // as last told
		isMember   bool   // this box is in the group, as far as it knows
		isLeader   bool   // this box writes the states of roll-outs
	}

	// goneEntry is what is remembered of an endpoint that is gone.
	removedEntry struct {
		heartbeat uint64 // the last heartbeat seen
		seenAgain bool   // one has come since
	}
)

func newSyncer(x *Router, control willowwick.Control) *syncer {
	return &syncer{
		router: x, control: control, rolloutOrdered: make(chan struct{}, 1),
		listed: map[willowwick.EndpointID]willowwick.Endpoint{},
		lapsed: map[willowwick.EndpointID]time.Time{}, incarnations: map[willowwick.EndpointID]endpointIncarnations{},
		removed: map[willowwick.EndpointID]removedEntry{}, history: newListHistory(),
	}
}

// String implements fmt.Stringer.
func (k readKind) String() string {
	if k == declarationsRead {
		return "declarations"
	}
	return "endpoints"
}

// followDeclarations keeps the configuration and the orders until the context ends.
func (s *syncer) followDeclarations(ctx context.Context) {
	var next willowwick.Position
	var pause time.Duration // after the last read, if it failed
	for ctx.Err() == nil {
		if now := clock.Now(); s.hasReader(now) && !s.mustKeepReading(declarationsRead, now) || s.maySkipCalls(now) {
			sleep(ctx, readerPollInterval)
			continue
		}
		began := clock.Now()
		wait := s.nextLongPoll(began)
		declared, wasCancelled, err := s.readDeclarations(ctx, next, wait)
		if wasCancelled {
			slog.Info("held read given up", "ms", clock.Since(began).Milliseconds(), "from", next)
			sleep(ctx, readerPollInterval)
			continue
		}
		if err != nil {
			pause = s.pauseAfterFailure(ctx, declarationsRead, pause, err)
			continue
		}
		pause = 0
		ended := clock.Now()
		s.noteAnswer(declarationsRead, ended)
		s.applyDeclarations(declared)
		if !declared.Partial && !s.isRestoring(ended) {
			s.noteConfigAsOf(declarationsAsOf(began, ended, wait, next, declared))
		}
		next = declared.Next
		s.awaitReader(ctx)
	}
}

// lookForReader waits in the first moments of a box whether another reads for it, before the store holds a read here; no
// longer than the store would hold one, since a hall may follow this box already.
func (s *syncer) awaitReader(ctx context.Context) {
	limit := clock.Now().Add(s.longPollLimit())
	for now := clock.Now(); ctx.Err() == nil && now.Before(limit) && s.mayFindReader(now); now = clock.Now() {
		sleep(ctx, readerPollInterval)
	}
}

// mayFindReader reports whether this box serves, but has just started and is not fed yet.
func (s *syncer) mayFindReader(now time.Time) bool {
	serves := s.router.table.Load() != nil && s.hasEndpointList()
	return serves && s.router.peers.isSearchingForHub(now) && !s.hasReader(now)
}

// readDeclarations reads what was declared since an offset; wasCancelled tells that the read was ended from here.
func (s *syncer) readDeclarations(
	ctx context.Context, from willowwick.Position, wait time.Duration,
) (declared willowwick.Declarations, wasCancelled bool, err error) {
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setLongPoll(cancel, clock.Now())
	defer s.setLongPoll(nil, time.Time{})
	declared, err = s.control.Declarations(held, from, wait)
	return declared, held.Err() != nil, err
}

// nextWait is how long the store may hold the next read of the declarations. An answer at once shows whether the store is
// back; on a box that lost its reader, whether its configuration still is the newest; and where a reader may be found
// soon, nothing is held that would be given up.
func (s *syncer) nextLongPoll(now time.Time) time.Duration {
	limit := s.longPollLimit()
	if s.isReadFailing(declarationsRead) || s.declaredAge(now) > 2*limit || s.mayFindReader(now) {
		return 0
	}
	return limit
}

// heldLimit is how long the store may hold a read of the declarations: a call lasts until something changes, and one that
// is lost is found out while there is time to read what changed.
func (s *syncer) longPollLimit() time.Duration {
	return min(scale(s.router.settings.InForce, longPollShare), maxLongPoll)
}

// backOff notes a read that failed, waits before the next one, and returns how long it waited.
func (s *syncer) pauseAfterFailure(ctx context.Context, kind readKind, before time.Duration, err error) time.Duration {
	now := clock.Now()
	s.noteFailure(kind, now, err)
	pause := s.nextRetryPause(before, now)
	sleep(ctx, pause)
	return pause
}

// longer is the next pause after a read that failed. Boxes that are in touch with others of their hall take turns: the
// first of them that finds the store back reads for all.
func (s *syncer) nextRetryPause(pause time.Duration, now time.Time) time.Duration {
	next := min(max(2*pause, minReadRetry), maxReadRetry)
	if !s.router.peers.hasPredecessor(now) {
		if _, isFed := s.router.peers.reader(now); isFed {
			return min(max(2*pause, minReadRetry), maxHubReadRetry)
		}
		return next
	}
	shared := time.Duration(s.router.peers.hallSize()) * hallProbeInterval
	return min(max(next, shared), maxFollowerReadRetry)
}

// mayRest reports whether calls other than the reads of endpoints can wait: this box has not shown of late that it
// reaches the store at all, and one before it in its hall looks for it too.
func (s *syncer) maySkipCalls(now time.Time) bool {
	return s.router.table.Load() != nil && !s.isStoreReached(now) && s.router.peers.hasPredecessor(now)
}

// mustRegain reports whether this box goes on with reads of a kind that fail although another reads for it: it is the first
// of its hall, which the others follow for its link.
func (s *syncer) mustKeepReading(kind readKind, now time.Time) bool {
	return s.isReadFailing(kind) && !s.router.peers.hasPredecessor(now)
}

// isFed reports whether another box of the hall reads the store for this one.
func (s *syncer) hasReader(now time.Time) bool {
	reader, found := s.router.peers.reader(now)
	found = found && s.router.table.Load() != nil && s.hasEndpointList()
	address := ""
	if found {
		address = reader.Address
	}
	s.setReader(address, now)
	return found
}

// noteReader notes which box reads the store for this one, none if the address is empty, and ends a read that the
// store holds for a box that is fed.
func (s *syncer) setReader(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.readerAddress {
		slog.Info("reader of the store changed", "from", s.readerAddress, "to", address, "known_ms_ago", now.Sub(s.endpointsAsOf).Milliseconds())
		s.readerAddress = address
	}
	if address != "" && !s.failing[declarationsRead] && s.cancelLongPoll != nil {
		// The box that reads for this one tells of changes; a read that the store holds here would bring them twice.
		s.cancelLongPoll()
	}
}

func (s *syncer) setLongPoll(cancel context.CancelFunc, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelLongPoll, s.longPollSince = cancel, since
}

// declare takes a configuration, evacuations and orders of roll-outs. Evacuations come first: a box that has just started
// serves from its first configuration on.
func (s *syncer) applyDeclarations(declared willowwick.Declarations) {
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
		s.router.releases.begin(order, 0, clock.Now())
	}
	select {
	case s.rolloutOrdered <- struct{}{}:
	default: // they are read after this anyway
	}
}

// followOrdered reads what became of roll-outs whenever one was ordered, which may have been long ago, until the context
// ends. It is no part of reading the declarations: an answer that comes in slowly would keep those away, unseen.
func (s *syncer) followRolloutOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.rolloutOrdered:
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
