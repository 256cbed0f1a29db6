package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// otherHallPenalty is added to the score of endpoints in other halls of the region, as a share of their effective
	// capacity.
	otherHallPenalty = 0.5
	// otherRegionPenalty is the same for other regions, to which traffic costs more.
	otherRegionPenalty = 1.0
	// delayPerRequest is how much one running request delays the next one, since each token of a larger batch takes
	// longer.
	delayPerRequest = 40 * time.Millisecond
	// prefillWeight multiplies the request's own prefill time: a prompt that is read where it is not cached delays
	// all later requests there.
	prefillWeight = 4
	// maxEffectiveSlots is how many concurrent requests an endpoint serves well, however many slots it has: larger
	// batches make each token slower, and long prompts hold up all requests of the batch.
	maxEffectiveSlots = 16
	// failureWeight converts the failure rate into load.
	failureWeight = 3.0
)

// HallFirst picks the least loaded endpoint of its own hall, counting pending prefills; one farther away is picked if its
// load is lower by more than the penalty of its distance.
type HallFirst struct {
	topology   willowwick.Topology
	hasRegions bool
	random     *lockedRandom
}

// NewHallFirst returns a picker for a box with the given topology; the seed breaks ties.
func NewHallFirst(topology willowwick.Topology, seed uint64) *HallFirst {
	return &HallFirst{topology: topology, hasRegions: topology.HasRegions(), random: newLockedRandom(seed)}
}

// Pick implements willowwick.Picker.
func (p *HallFirst) Pick(_ time.Time, set willowwick.CandidateSet, _ uint64) int {
	n := set.Len()
	if n == 0 {
		return noCandidate
	}
	best, bestScore := noCandidate, 0.0
	start := p.random.intN(n)
	for i := range n {
		index := (start + i) % n
		candidate := set.At(index)
		if !candidate.IsAvailable {
			continue
		}
		if score := p.score(candidate); best == noCandidate || score < bestScore {
			best, bestScore = index, score
		}
	}
	return best
}

// score returns the load ahead of a new request, as a share of the endpoint's effective capacity; lower is better.
func (p *HallFirst) score(c willowwick.Candidate) float64 {
	taken := max(float64(c.Load.Running+c.Load.Waiting+c.SentSinceReport), float64(c.InFlight))
	taken += float64(c.QueueDelay+prefillWeight*c.PrefillTime) / float64(delayPerRequest)
	score := taken/float64(min(max(c.Load.Slots, 1), maxEffectiveSlots)) + failureWeight*c.FailureRate
	return score + p.penalty(c.Hall)
}

// penalty returns what the distance of a hall adds to the scores of its endpoints.
func (p *HallFirst) penalty(hall willowwick.HallID) float64 {
	switch {
	case hall == p.topology.Hall:
		return 0
	case p.hasRegions && p.topology.Distance(hall) == willowwick.OtherRegion:
		return otherRegionPenalty
	default:
		return otherHallPenalty
	}
}
