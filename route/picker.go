package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	sampleTries    = 4
	hallPenalty    = 0.05 // added to the load of endpoints in other halls
	prefixBonus    = 0.1  // subtracted from the load of the prefix owner
	ownerLoadLimit = 0.9  // load from which on the prefix owner is not preferred
	defaultSlots   = 8    // assumed if none are reported
	noCandidate    = -1
	unknownLoad    = 0.5 // assumed load from other boxes if no slots are reported
)

type (
	// PowerOfTwo samples two available endpoints and, with Affinity, the owner of the prompt prefix, and picks the least
	// loaded.
	PowerOfTwo struct {
		Hall     willowwick.HallID
		Affinity bool
		random   *lockedRandom
	}

	// LeastLoaded picks the endpoint that last reported the least load.
	LeastLoaded struct{}

	// RoundRobin picks the endpoints one after the other.
	RoundRobin struct {
		mu   sync.Mutex
		next int
	}

	lockedRandom struct {
		mu     sync.Mutex
		random *rand.Rand
	}
)

// NewPowerOfTwo returns a picker for a box in a hall; the seed fixes its samples.
func NewPowerOfTwo(hall willowwick.HallID, affinity bool, seed uint64) *PowerOfTwo {
	return &PowerOfTwo{Hall: hall, Affinity: affinity, random: newLockedRandom(seed)}
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{random: rand.New(rand.NewPCG(seed, seed))}
}

func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// Pick implements willowwick.Picker.
func (p *PowerOfTwo) Pick(_ time.Time, set willowwick.CandidateSet, prefix uint64) int {
	n := set.Len()
	if n == 0 {
		return noCandidate
	}
	best, bestScore := noCandidate, 0.0
	consider := func(index int, bonus float64) {
		candidate := set.At(index)
		if !candidate.IsAvailable {
			return
		}
		score := loadOf(candidate) - bonus
		if candidate.Hall != p.Hall {
			score += hallPenalty
		}
		if best == noCandidate || score < bestScore {
			best, bestScore = index, score
		}
	}
	if p.Affinity && prefix != 0 {
		owner := set.Owner(prefix)
		if loadOf(set.At(owner)) < ownerLoadLimit {
			consider(owner, prefixBonus)
		}
	}
	for try, sampled := 0, 0; try < sampleTries && sampled < 2; try++ {
		index := p.random.intN(n)
		if set.At(index).IsAvailable {
			sampled++
		}
		consider(index, 0)
	}
	if best == noCandidate {
		best = firstOpen(set, p.random.intN(n))
	}
	return best
}

// Pick implements willowwick.Picker.
func (LeastLoaded) Pick(_ time.Time, set willowwick.CandidateSet, _ uint64) int {
	best, bestLoad := noCandidate, 0
	for i := range set.Len() {
		candidate := set.At(i)
		load := candidate.Load.Running + candidate.Load.Waiting
		if candidate.IsAvailable && (best == noCandidate || load < bestLoad) {
			best, bestLoad = i, load
		}
	}
	return best
}

// Pick implements willowwick.Picker.
func (r *RoundRobin) Pick(_ time.Time, set willowwick.CandidateSet, _ uint64) int {
	if set.Len() == 0 {
		return noCandidate
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return firstOpen(set, r.next%set.Len())
}

func firstOpen(set willowwick.CandidateSet, from int) int {
	n := set.Len()
	for i := range n {
		index := (from + i) % n
		if set.At(index).IsAvailable {
			return index
		}
	}
	return noCandidate
}

// loadOf returns the share of an endpoint's slots in use, by its last report and the requests sent since.
func loadOf(c willowwick.Candidate) float64 {
	slots := c.Load.Slots
	if slots == 0 {
		return float64(c.InFlight)/defaultSlots + unknownLoad
	}
	taken := max(c.Load.Running+c.Load.Waiting+c.SentSinceReport, c.InFlight)
	return float64(taken) / float64(slots)
}
