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
	// longPollShare is the share of the time to put a configuration in force for which the store may hold a read of the
	// declarations (a long poll). A waiting read can't be distinguished from one that was lost with its connection, so this
	// bounds the cost of a lost one; the remaining time is for the response header timeout, the next read and the
	// gossip exchanges that distribute the result.
	longPollShare = 0.3
	// maxLongPoll bounds a long poll where operators allow much time: beyond it a read costs the store no more than a
	// call.
	maxLongPoll = 20 * time.Second
	// longPollMargin is how much longer than longPollLimit an answer may take before other boxes of the hall read for
	// themselves: the client's response header timeout, and time for the body.
	longPollMargin = time.Second
	// readerPollInterval is how often a box checks whether it has to read for itself.
	readerPollInterval = 100 * time.Millisecond
	// minReadRetry and maxReadRetry bound the backoff between failed reads.
	minReadRetry = 150 * time.Millisecond
	maxReadRetry = 600 * time.Millisecond
	// maxHubReadRetry bounds that backoff on the first box of a hall while another one reads for it: no box waits for
	// it.
	maxHubReadRetry = 2400 * time.Millisecond
	// hallProbeInterval is how often the boxes of a hall together check whether an unavailable store is back, except
	// the first of them; maxFollowerReadRetry bounds the time between two checks of one of them.
	hallProbeInterval    = 250 * time.Millisecond
	maxFollowerReadRetry = 6 * time.Second
)

const (
	// declarationsRead is a read of configurations and orders of roll-outs.
	declarationsRead readKind = iota
	// endpointsRead is a read of the list of endpoints.
	endpointsRead
	readKindCount
)

type (
	// readKind is what a read of the store is for. Success of one kind says nothing about the other: each has a
	// connection of its own, and the store may refuse one and not the other.
	readKind int

	// syncer keeps this box's copy of what the store holds: declarations, endpoints, the group and states of roll-outs.
	syncer struct {
		router         *Router
		control        willowwick.Control
		rolloutOrdered chan struct{} // signals that a roll-out was ordered and its state has to be read

		nextQuarantineRead time.Time // no read of the quarantine before; zero until it was read; used by runPoisonSync only

		mu sync.Mutex

		// The list of endpoints.
		listed            map[willowwick.EndpointID]willowwick.Endpoint
		departing         []willowwick.Endpoint               // of listed, those that announced their end since the last publishList
		draining          []willowwick.Endpoint               // of listed, spot endpoints that have begun to drain since then and have not announced when they end
		lapsed            map[willowwick.EndpointID]time.Time // until when an entry that is gone still counts
		removed           map[willowwick.EndpointID]removedEntry
		incarnations      map[willowwick.EndpointID]endpointIncarnations
		hasList           bool                // the list was read
		readTo            willowwick.Position // the next read continues here
		changedAt         willowwick.Position // last change that is more than a heartbeat
		hasPendingChange  bool                // it changed since, at a position that is not known yet
		history           *listHistory        // which entries changed where
		cachedListSum     uint64              // checksum of the list; 0 if it has to be computed
		differsFromReader bool                // another box that has read as far lists other endpoints
		wholeListAt       time.Time           // when another box last sent a whole list

		// Reachability of the store.
		answeredAt     [readKindCount]time.Time // last answer of the store to this box
		failing        [readKindCount]bool      // the last read of the kind failed
		endpointsAsOf  time.Time                // time of the data on endpoints, read here or by another box
		configAsOf     time.Time                // time of the configuration, read here or by another box
		lastFailureAt  time.Time                // last read that failed
		lastOutageAt   time.Time                // last time that neither a read nor another box brought the store's state
		cancelLongPoll context.CancelFunc       // cancels the running long poll; nil if there is none
		longPollSince  time.Time                // start of the running long poll; zero if there is none
		readerAddress  string                   // address of the box that reads the store for this one; empty if it reads for itself

		// The era of the store.
		era              willowwick.Era // the newest that is known
		restoringUntil   time.Time      // until then the store may lack some of the operator's declarations
		restoreIsAssumed bool           // the era began before this box had read the store

		// The group of boxes.
		generation uint64 // of the last answer to Join
		isMember   bool   // this box is in the group, as far as it knows
		isLeader   bool   // this box writes the states of roll-outs
	}

	// removedEntry is what is remembered of an endpoint that was removed from the list.
	removedEntry struct {
		heartbeat uint64 // number of the last heartbeat seen
		seenAgain bool   // one more heartbeat has arrived since
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

// followDeclarations keeps the configuration, evacuations, admissions and orders up to date until the context is done.
func (s *syncer) followDeclarations(ctx context.Context) {
	var next willowwick.Position
	var pause time.Duration // after the last read, if it failed
	for ctx.Err() == nil {
		if now := clock.Now(); s.hasReader(now) && !s.mustKeepReading(declarationsRead, now) || s.maySkipCalls(now) {
			clock.Sleep(ctx, readerPollInterval)
			continue
		}
		began := clock.Now()
		wait := s.nextLongPoll(began)
		declared, wasCancelled, err := s.readDeclarations(ctx, next, wait)
		if wasCancelled {
			slog.Info("held read given up", "ms", clock.Since(began).Milliseconds(), "from", next)
			clock.Sleep(ctx, readerPollInterval)
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

// awaitReader waits after the start of the box for another one to read for it, before a long poll begins here. It waits
// no longer than a long poll may last, since other boxes may already rely on this one to read.
func (s *syncer) awaitReader(ctx context.Context) {
	limit := clock.Now().Add(s.longPollLimit())
	for now := clock.Now(); ctx.Err() == nil && now.Before(limit) && s.mayFindReader(now); now = clock.Now() {
		clock.Sleep(ctx, readerPollInterval)
	}
}

// mayFindReader reports whether this box serves, but has just started and has no reader yet.
func (s *syncer) mayFindReader(now time.Time) bool {
	serves := s.router.table.Load() != nil && s.hasEndpointList()
	return serves && s.router.peers.isSearchingForHub(now) && !s.hasReader(now)
}

// readDeclarations reads what was declared since an offset; wasCancelled reports that this box cancelled the read.
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

// nextLongPoll returns how long the store may hold the next read of the declarations. It is 0 for an immediate answer:
// after a failure, to see whether the store is back; on a box that lost its reader, to see whether its configuration is
// still the newest; and where a reader may be found soon, since the long poll would be cancelled.
func (s *syncer) nextLongPoll(now time.Time) time.Duration {
	limit := s.longPollLimit()
	if s.isReadFailing(declarationsRead) || s.declarationsAnswerAge(now) > 2*limit || s.mayFindReader(now) {
		return 0
	}
	return limit
}

// longPollLimit returns how long the store may hold a read of the declarations while nothing changes. A read that was
// lost is noticed after this time, which leaves enough of ConfigApplyLimit to read the change.
func (s *syncer) longPollLimit() time.Duration {
	limit := min(scale(s.router.settings.ConfigApplyLimit, longPollShare), maxLongPoll)
	if s.router.readsForRegion() {
		// The age of a configuration is at most twice the limit and the time of the exchanges, of which there is one more.
		limit -= s.router.gossipPeriod() / 2
	}
	return limit
}

// pauseAfterFailure records a failed read, waits before the next one, and returns how long it waited.
func (s *syncer) pauseAfterFailure(ctx context.Context, kind readKind, previous time.Duration, err error) time.Duration {
	now := clock.Now()
	s.noteFailure(kind, now, err)
	pause := s.nextRetryPause(previous, now)
	clock.Sleep(ctx, pause)
	return pause
}

// nextRetryPause returns the pause after a failed read. Boxes that are in contact with others of their hall share the
// probes: the first that finds the store back reads for all.
func (s *syncer) nextRetryPause(pause time.Duration, now time.Time) time.Duration {
	next := min(max(2*pause, minReadRetry), maxReadRetry)
	if !s.router.peers.hasPredecessor(now) {
		if _, hasReader := s.router.peers.storeReader(now); hasReader {
			return min(max(2*pause, minReadRetry), maxHubReadRetry)
		}
		return next
	}
	shared := time.Duration(s.router.peers.hallSize()) * hallProbeInterval
	return min(max(next, shared), maxFollowerReadRetry)
}

// maySkipCalls reports whether calls other than the reads of endpoints can wait: this box has not reached the store
// recently, and a box that precedes it in its hall probes the store too.
func (s *syncer) maySkipCalls(now time.Time) bool {
	return s.router.table.Load() != nil && !s.isStoreReached(now) && s.router.peers.hasPredecessor(now)
}

// mustKeepReading reports whether this box retries failing reads of a kind although another box reads for it: it is the
// first of its hall, which the others follow for the bandwidth of its link.
func (s *syncer) mustKeepReading(kind readKind, now time.Time) bool {
	return s.isReadFailing(kind) && !s.router.peers.hasPredecessor(now)
}

// hasReader reports whether another box of the hall or the region reads the store for this one.
func (s *syncer) hasReader(now time.Time) bool {
	reader, found := s.router.peers.storeReader(now)
	found = found && s.router.table.Load() != nil && s.hasEndpointList()
	address := ""
	if found {
		address = reader.Address
	}
	s.setReader(address, now)
	return found
}

// setReader records which box reads the store for this one, none if the address is empty, and cancels a long poll of a
// box that has a reader.
func (s *syncer) setReader(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.readerAddress {
		slog.Info("reader of the store changed", "from", s.readerAddress, "to", address, "known_ms_ago", now.Sub(s.endpointsAsOf).Milliseconds())
		s.readerAddress = address
	}
	if address != "" && !s.failing[declarationsRead] && s.cancelLongPoll != nil {
		// The reader sends changes; a long poll here would receive them a second time.
		s.cancelLongPoll()
	}
}

func (s *syncer) setLongPoll(cancel context.CancelFunc, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelLongPoll, s.longPollSince = cancel, since
}

// applyDeclarations applies a configuration, evacuations, admissions and orders of roll-outs. Evacuations come before the
// configuration: with its first configuration, a box that has just started begins to serve.
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
		s.router.releases.applyOrder(order, 0, clock.Now())
	}
	select {
	case s.rolloutOrdered <- struct{}{}:
	default: // a read is pending already
	}
}

// followRolloutOrders reads the states of roll-outs whenever this box has read an order, until the context is done: the
// order may be old and its roll-out over. It is separate from reading the declarations, which a slow answer would delay
// unnoticed.
func (s *syncer) followRolloutOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.rolloutOrdered:
		}
		if _, err := s.readStatuses(ctx); err != nil {
			slog.Info("reading states of roll-outs failed", "error", err)
		}
	}
}
