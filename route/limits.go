package route

import (
	"maps"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

const (
	retryShare      = 0.1 // retries allowed for each success
	retryReserve    = 10
	demandSmoothing = 0.3
	minRetryWait    = time.Millisecond
	// demandSettleTime is how long demand must last before it claims a part of the limit. By then all boxes know of
	// it: hall digests are renewed every 5 s and reach the last box a few one-second ticks later.
	demandSettleTime = 8 * time.Second
)

type (
	// Bucket is a token bucket; its rate may change between takes.
	Bucket struct {
		level float64
		at    time.Time
	}

	// RetryBudget limits retries to a share of the successes, so that a bad endpoint does not double the load.
	RetryBudget struct {
		mu    sync.Mutex
		level float64
	}

	// Demand is the load requested of one box, in tokens a second per client account.
	Demand map[willowwick.AccountID]float64

	// Peer is another box of the fleet as the limiter sees it.
	Peer struct {
		Fresh  bool // its demand is known from a recent digest
		Demand Demand
	}

	// AccountLimiter enforces client accounts' limits over the whole fleet.
	//
	// Each box uses a share of each limit. A box that is cut off uses an equal share, and the others leave it that much.
	// The boxes with fresh digests divide the rest, half of it equally and half by demand. A box counts as its own
	// demand only the least of the last demandSettleTime, which the others know of, and as theirs what they last
	// reported. The shares therefore never add up to more than the limit.
	AccountLimiter struct {
		mu         sync.Mutex
		buckets    map[willowwick.AccountID]*accountBuckets
		requested  map[willowwick.AccountID]float64
		demand     Demand
		history    []measuredDemand // of the last demandSettleTime, oldest first
		settled    Demand           // least demand of the history once it spans demandSettleTime
		measured   time.Time
		shares     map[willowwick.AccountID]float64
		equalShare float64
	}

	// measuredDemand is the demand measured at a time.
	measuredDemand struct {
		at     time.Time
		demand Demand
	}

	accountBuckets struct {
		tokens   Bucket
		requests Bucket
	}
)

// Take takes an amount if the bucket holds it, and otherwise returns when it will.
func (b *Bucket) Take(now time.Time, rate, burst, amount float64) (retryAt time.Time, ok bool) {
	b.fill(now, rate, burst)
	// A request larger than the burst passes when the bucket is full, and makes its level negative.
	if b.level >= min(amount, burst) {
		b.level -= amount
		return time.Time{}, true
	}
	missing := min(amount, burst) - b.level
	wait := time.Duration(missing / rate * float64(time.Second))
	return now.Add(max(wait, minRetryWait)), false
}

func (b *Bucket) fill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// NewRetryBudget returns a budget filled to its reserve.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{level: retryReserve}
}

// Succeeded adds the share of one success to the budget.
func (r *RetryBudget) Succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.level = min(retryReserve, r.level+retryShare)
}

// Take reports whether one more retry is within the budget, and takes it.
func (r *RetryBudget) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}

// NewAccountLimiter returns a limiter that assumes a fleet of one box.
func NewAccountLimiter() *AccountLimiter {
	return &AccountLimiter{
		buckets:    map[willowwick.AccountID]*accountBuckets{},
		requested:  map[willowwick.AccountID]float64{},
		demand:     Demand{},
		settled:    Demand{},
		shares:     map[willowwick.AccountID]float64{},
		equalShare: 1,
	}
}

// Take counts the demand and takes tokens from this box's share of the account's limit, or returns when to retry.
func (l *AccountLimiter) Take(now time.Time, account willowwick.AccountID, limit config.Limit, tokens willowwick.Tokens) (retryAt time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested[account] += float64(tokens)
	b := l.buckets[account]
	if b == nil {
		b = &accountBuckets{}
		l.buckets[account] = b
	}
	share, known := l.shares[account]
	if !known {
		share = l.equalShare
	}
	if limit.RequestsPerSecond > 0 {
		rate := limit.RequestsPerSecond * share
		if retryAt, ok := b.requests.Take(now, rate, max(1, rate*limit.Burst()), 1); !ok {
			return retryAt, false
		}
	}
	if limit.TokensPerSecond > 0 {
		rate := limit.TokensPerSecond * share
		return b.tokens.Take(now, rate, rate*limit.Burst(), float64(tokens))
	}
	return time.Time{}, true
}

// Refund returns tokens that an estimate took in excess; a negative amount takes more.
func (l *AccountLimiter) Refund(account willowwick.AccountID, tokens willowwick.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil {
		b.tokens.level += float64(tokens)
	}
}

// Measure closes a measuring period and returns the smoothed demand.
func (l *AccountLimiter) Measure(now time.Time) Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.measured.IsZero() {
		l.measured = now
		return Demand{}
	}
	seconds := now.Sub(l.measured).Seconds()
	if seconds <= 0 {
		return maps.Clone(l.demand)
	}
	for account := range l.requested {
		if _, known := l.demand[account]; !known {
			l.demand[account] = 0
		}
	}
	for account, before := range l.demand {
		// Rising demand is reported at once, but claims nothing until the others know of it.
		measured := l.requested[account] / seconds
		rate := max(measured, before+demandSmoothing*(measured-before))
		if rate < 1 && l.requested[account] == 0 {
			delete(l.demand, account)
			continue
		}
		l.demand[account] = rate
	}
	clear(l.requested)
	l.measured = now
	l.updateSettled(now)
	return maps.Clone(l.demand)
}

// updateSettled keeps the least demand since the newest measurement that is at least demandSettleTime old; there is
// none before.
func (l *AccountLimiter) updateSettled(now time.Time) {
	l.history = append(l.history, measuredDemand{at: now, demand: maps.Clone(l.demand)})
	for len(l.history) > 1 && now.Sub(l.history[1].at) >= demandSettleTime {
		l.history = l.history[1:]
	}
	clear(l.settled)
	if now.Sub(l.history[0].at) < demandSettleTime {
		return
	}
	for account := range l.demand {
		least := l.demand[account]
		for _, past := range l.history {
			least = min(least, past.demand[account])
		}
		l.settled[account] = least
	}
}

// Divide sets this box's shares. Peers are all other boxes; connected reports whether this box itself reaches them.
func (l *AccountLimiter) Divide(peers []Peer, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	boxes := float64(len(peers) + 1)
	l.equalShare = 1 / boxes
	clear(l.shares)
	if !connected {
		return
	}
	fresh := 1.0
	for _, peer := range peers {
		if peer.Fresh {
			fresh++
		}
	}
	available := fresh / boxes
	for account := range l.demand {
		own := l.settled[account]
		total := own
		for _, peer := range peers {
			if peer.Fresh {
				total += peer.Demand[account]
			}
		}
		// Half is divided equally, so that a box that was idle can start at once.
		even := available / fresh / 2
		l.shares[account] = even + available/2*ratio(own, total, 1/fresh)
	}
	// An account without demand here takes only the equal half of its share.
	l.equalShare = available / fresh / 2
}

func ratio(part, whole, otherwise float64) float64 {
	if whole <= 0 {
		return otherwise
	}
	return part / whole
}
