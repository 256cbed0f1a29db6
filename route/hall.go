package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// remoteHallPenalty is added to the score of endpoints in other halls: traffic between halls costs more than
	// waiting behind half of an endpoint's effective capacity.
	remoteHallPenalty = 0.5
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

// HallFirst picks the least loaded endpoint of its own hall, counting pending prefills; another hall's endpoint is
// picked if its load is lower by more than remoteHallPenalty.
type HallFirst struct {
	hall   willowwick.HallID
	random *lockedRandom
}

// NewHallFirst returns a picker for a box in a hall; the seed breaks ties.
func NewHallFirst(hall willowwick.HallID, seed uint64) *HallFirst {
	return &HallFirst{hall: hall, random: newLockedRandom(seed)}
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
	if c.Hall != p.hall {
		score += remoteHallPenalty
	}
	return score
}
