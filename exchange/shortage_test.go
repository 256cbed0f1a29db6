package exchange

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a share of less urgent requests that is left to chance: one of three of them competed for a permit, so
// that between 9 and 21 of some 80 were sent in runs of the same length.
func TestLessUrgentRequestsGetASteadyShare(t *testing.T) {
	const permits, arrivalsPerPermit, urgent, patient = 80, 10, 1, 4
	now := time.Now()
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		s, patientSends := newShortages(), 0
		s.record("work", urgent, now)
		available := false
		for arrival := range permits * arrivalsPerPermit { // either kind is as likely to be the next to arrive
			available = available || arrival%arrivalsPerPermit == 0
			rank := urgent
			if random.IntN(2) == 0 {
				rank = patient
			}
			if mustYield := s.mustYield("work", rank, now); mustYield || !available {
				continue
			}
			available = false
			s.recordSend("work", rank)
			if rank == patient {
				patientSends++
			}
		}
		assert.InDelta(t, permits/4, patientSends, permits/10, "seed %d: a quarter, give or take a tenth", seed)
	}
}
