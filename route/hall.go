package route

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// otherHallLoad is the load that a request rather joins than leave its hall: bytes between halls cost more
	// than the wait behind half of what an endpoint does well at once.
	otherHallLoad = 0.5
	// slotTime is what one request at an endpoint adds to the wait of the next one, as the batch's tokens get slower.
	slotTime = 40 * time.Millisecond
	// readingWeight is how many times the reading of the request itself counts against what it waits for: a prompt that is
	// read where it is not kept takes its time from all that come after.
	readingWeight = 4
	// busySlots is how many requests at once an endpoint does well, however many slots it has: a batch makes each
	// token slower, and long prompts hold up all of them.
	busySlots = 16
	// failingWeight turns the share of failed calls into load.
	failingWeight = 3.0
)

// HallFirst takes the least loaded endpoint of its own hall, what it has to read included; other halls come in when their
// endpoints are less loaded by more than the way there is worth.
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
		return noneOpen
	}
	best, bestScore := noneOpen, 0.0
	start := p.random.intN(n)
	for i := range n {
		index := (start + i) % n
		candidate := set.At(index)
		if !candidate.IsAvailable {
			continue
		}
		if score := p.score(candidate); best == noneOpen || score < bestScore {
			best, bestScore = index, score
		}
	}
	return best
}

// score is how much work stands before a new request, in shares of what an endpoint does well at once.
func (p *HallFirst) score(c willowwick.Candidate) float64 {
	taken := max(float64(c.Load.Running+c.Load.Waiting+c.SentSinceReport), float64(c.InFlight))
	taken += float64(c.QueueDelay+readingWeight*c.PrefillTime) / float64(slotTime)
	score := taken/float64(min(max(c.Load.Slots, 1), busySlots)) + failingWeight*c.FailureRate
	if c.Hall != p.hall {
		score += otherHallLoad
	}
	return score
}
