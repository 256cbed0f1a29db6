package wire

import (
	"log/slog"
	"math"
	"sync"
	"time"
)

const (
	// arrivalLimit is the time in which the head of a new connection's first request arrives at a box that isn't overloaded: it follows
	// the opening of the connection at once, however far away the caller is.
	arrivalLimit = 150 * time.Millisecond
	// waitLimit is the time by which messages are late whose way is through the box's own queues: of its link, of its processor.
	waitLimit = 150 * time.Millisecond
	// cohortTime and minCohort are the least time and number of connections that are judged together.
	cohortTime = 100 * time.Millisecond
	minCohort  = 8
	// minInTimeShare is the share of a cohort's requests below which all of them count as held up by the box: the link and the
	// processor hold up all, a slow caller only its own.
	minInTimeShare = 0.2
	// minLate is the least number of requests that must arrive late meanwhile: connections on which no request has come may be such
	// that their callers have opened in advance.
	minLate = minCohort / 2
	// paceCut is the share of the connections that were admitted, and arrivedCut that of the requests that arrived, to which the pace
	// falls after a cohort that was held up; paceGrowth is the factor by which it grows in cohortTime otherwise, and
	// maxGrowth the most by which it grows at once.
	paceCut    = 0.7
	arrivedCut = 0.9
	paceGrowth = 1.05
	maxGrowth  = 1.5
	// maxDrain bounds the time after a cut in which no connection is read, so that what waits already is carried first; paceSettle is
	// the time from its end until cohorts tell of the new pace.
	maxDrain   = time.Second
	paceSettle = 100 * time.Millisecond
	// stallDrain is that time if it isn't known what waits, but longer than waitLimit.
	stallDrain = 500 * time.Millisecond
	// minPace is the least number of connections that are read in a second.
	minPace = 5.0
	// paceBurst is the time for whose connections the pace allows at once, and minBurst the least number of them.
	paceBurst = 50 * time.Millisecond
	minBurst  = minFollowers + 1
	// countTime is the time in which admitted connections are counted.
	countTime = 500 * time.Millisecond
	// minCutRate is the number of new connections a second below which they aren't what others wait for.
	minCutRate = 20.0
	// paceEnd is the time without a refusal after which the pace ends.
	paceEnd = 3 * time.Second
)

type (
	// pace bounds how many new connections are read in a second, once the requests on them are held up on their way in: it needs no
	// knowledge of the link and the processor. The zero value doesn't bound them.
	pace struct {
		mu        sync.Mutex
		perSecond float64 // 0 for no bound
		tokens    float64
		filledAt  time.Time
		drainedAt time.Time // when what waited at the last cut is carried
		refusedAt time.Time
		arrivals  int       // requests that have arrived
		late      int       // of these, later than arrivalLimit
		pending   int       // connections whose request hasn't arrived yet
		cohorts   []*cohort // not judged yet, the oldest first; the last one is open
		trips     trips
		reopening reopening
		countedAt time.Time // since when counted connections were admitted
		counted   int
		// countedBefore is how many connections a second were admitted before countedAt.
		countedBefore float64
	}

	// cohort is a number of connections that were admitted one after the other.
	cohort struct {
		beganAt, endedAt time.Time
		admitted, inTime int
		arrivedBefore    int // requests that had arrived when it began
		lateBefore       int // of these, later than arrivalLimit
	}
)

// mustRefuse reports whether no more connections may be let in.
func (p *pace) mustRefuse(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	return !p.hasRoom(now, 0)
}

// admit reports whether a new connection is read, and if so, in which cohort it is; it may use up what those of the next maxDebt may
// use.
func (p *pace) admit(now time.Time, maxDebt time.Duration) (*cohort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	if !p.hasRoom(now, maxDebt) {
		return nil, false
	}
	if p.tokens--; p.perSecond == 0 {
		p.tokens = 0
	}
	p.count(now)
	if waited := p.reopening.opened(now); waited > waitLimit {
		p.cutFor(waited, now)
	}
	return p.join(now), true
}

// reopened records that the box listens again after it has refused connections.
func (p *pace) reopened(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reopening.begin(now)
}

// openingLimit returns the time in which the first connection is expected after the box has begun to listen again; 0 for none.
func (p *pace) openingLimit(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reopening.limit(now)
}

// heldUp records that no connection came in that time.
func (p *pace) heldUp(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutFor(stallDrain, now)
}

// noteTrip records a round trip of this box's.
func (p *pace) noteTrip(trip Trip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trips.note(trip)
}

// count counts the connections that are admitted in each countTime.
func (p *pace) count(now time.Time) {
	if now.Sub(p.countedAt) > countTime {
		p.countedBefore, p.countedAt, p.counted = p.rate(now), now, 0
	}
	p.counted++
}

// rate returns how many connections were admitted in a second, lately.
func (p *pace) rate(now time.Time) float64 {
	rate := float64(p.counted) / max(now.Sub(p.countedAt), countTime/2).Seconds()
	if now.Sub(p.countedAt) < countTime {
		return max(rate, p.countedBefore)
	}
	return rate
}

// hasRoom reports whether a connection may be read that uses up at most what those of the next maxDebt may use.
func (p *pace) hasRoom(now time.Time, maxDebt time.Duration) bool {
	p.fill(now)
	if p.perSecond == 0 || p.tokens >= 1-p.perSecond*maxDebt.Seconds() {
		return true
	}
	p.refusedAt = now
	return false
}

// freeAt returns when half of a burst may be read again.
func (p *pace) freeAt(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.perSecond == 0 {
		return now
	}
	missing := max(p.burst()/2, 1) - p.tokens
	from := now
	if p.filledAt.After(now) {
		from = p.filledAt
	}
	return from.Add(time.Duration(max(missing, 0) / p.perSecond * float64(time.Second)))
}

// isLimiting reports whether connections were refused lately.
func (p *pace) isLimiting(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.perSecond > 0 && now.Sub(p.refusedAt) < time.Second
}

// bound returns how many connections are read in a second; 0 for no bound.
func (p *pace) bound() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.perSecond
}

// arrived records how long the head of a connection's first request took to arrive.
func (p *pace) arrived(c *cohort, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
	p.arrivals++
	if took <= arrivalLimit {
		c.inTime++
	} else {
		p.late++
	}
}

// left records that a connection was closed before a request arrived on it, which says nothing of this box.
func (p *pace) left(c *cohort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
	c.admitted--
}

// join adds a connection to the open cohort, or to a new one.
func (p *pace) join(now time.Time) *cohort {
	if len(p.cohorts) == 0 || !p.cohorts[len(p.cohorts)-1].endedAt.IsZero() {
		p.cohorts = append(p.cohorts, &cohort{beganAt: now, arrivedBefore: p.arrivals, lateBefore: p.late})
	}
	open := p.cohorts[len(p.cohorts)-1]
	open.admitted++
	p.pending++
	if open.admitted >= minCohort && now.Sub(open.beganAt) >= cohortTime {
		open.endedAt = now
	}
	return open
}

// judge changes the pace by the cohorts whose requests should have arrived.
func (p *pace) judge(now time.Time) {
	if waited := p.trips.delay(now, p.drainedAt); waited > waitLimit {
		p.cutFor(waited, now)
	}
	for len(p.cohorts) > 0 {
		oldest := p.cohorts[0]
		if oldest.endedAt.IsZero() || now.Sub(oldest.endedAt) < arrivalLimit {
			return
		}
		p.cohorts = p.cohorts[1:]
		p.change(oldest, now)
	}
}

// change changes the pace by one cohort.
func (p *pace) change(c *cohort, now time.Time) {
	if c.admitted < minCohort/2 {
		return
	}
	isHeldUp := float64(c.inTime) < minInTimeShare*float64(c.admitted)
	if isHeldUp && !p.tellsOfOverload(c) {
		return
	}
	switch {
	case isHeldUp && c.beganAt.Sub(p.drainedAt) > paceSettle:
		p.cut(c, now)
	case isHeldUp || p.perSecond == 0:
	case now.Sub(p.refusedAt) > paceEnd:
		p.perSecond = 0
		slog.Info("all new connections are read again")
	default:
		p.perSecond *= min(math.Pow(paceGrowth, float64(c.endedAt.Sub(c.beganAt))/float64(cohortTime)), maxGrowth)
	}
}

// tellsOfOverload reports whether a cohort that was held up tells of the box: of the requests that have arrived since it began, of
// whichever cohort, enough and at least half were late, and enough connections come to be what the box is busy with.
func (p *pace) tellsOfOverload(c *cohort) bool {
	late := p.late - c.lateBefore
	areLate := late >= minLate && 2*late >= p.arrivals-c.arrivedBefore
	return areLate && (p.perSecond > 0 || c.rate() >= minCutRate)
}

// rate returns how many connections a second were admitted with a cohort that has ended.
func (c *cohort) rate() float64 {
	return float64(c.admitted) / c.endedAt.Sub(c.beganAt).Seconds()
}

// cut lowers the pace after a cohort that was held up, and lets what waits be carried first.
func (p *pace) cut(c *cohort, now time.Time) {
	arrived := float64(p.arrivals-c.arrivedBefore) / now.Sub(c.beganAt).Seconds()
	drain := p.lower(min(paceCut*c.rate(), arrivedCut*arrived), time.Duration(float64(p.pending)/max(arrived, 1)*float64(time.Second)), now)
	slog.Info("requests on new connections are held up on their way in: fewer are read", "per_s", int(p.perSecond), "admitted", c.admitted,
		"in_time", c.inTime, "arrived_per_s", int(arrived), "pending", p.pending, "drain_ms", drain.Milliseconds())
}

// lower sets the pace, and lets none be read until what waits is carried; it returns how long that is.
func (p *pace) lower(perSecond float64, waits time.Duration, now time.Time) time.Duration {
	drain := min(waits, maxDrain)
	p.perSecond, p.tokens = max(perSecond, minPace), 0
	p.drainedAt = now.Add(drain)
	p.filledAt = p.drainedAt
	return drain
}

// cutFor lowers the pace since messages have to wait for so long on their way, and lets what waits be carried first.
func (p *pace) cutFor(waited time.Duration, now time.Time) {
	perSecond := p.perSecond
	if perSecond == 0 {
		perSecond = p.rate(now)
		if perSecond < minCutRate {
			return
		}
	}
	p.lower(paceCut*perSecond, waited, now)
	p.refusedAt, p.cohorts = p.drainedAt, nil
	p.reopening.drained()
	slog.Info("this box's messages wait on their way: fewer new connections are read", "per_s", int(p.perSecond), "waited_ms", waited.Milliseconds())
}

func (p *pace) burst() float64 {
	return max(p.perSecond*paceBurst.Seconds(), minBurst)
}

func (p *pace) fill(now time.Time) {
	if passed := now.Sub(p.filledAt); passed > 0 {
		p.tokens = min(p.tokens+p.perSecond*passed.Seconds(), p.burst())
		p.filledAt = now
	}
}
