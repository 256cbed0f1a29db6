package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

// fixedSet implements willowwick.CandidateSet.
type fixedSet []willowwick.Candidate

func (s fixedSet) Len() int                          { return len(s) }
func (s fixedSet) At(index int) willowwick.Candidate { return s[index] }
func (s fixedSet) Owner(uint64) int                  { return 0 }
func pickOf(set fixedSet) int {
	return NewHallFirst(willowwick.Topology{Hall: "here"}, 1).Pick(time.Time{}, set, 0)
}

func load(running, slots int) willowwick.EndpointLoad {
	return willowwick.EndpointLoad{Running: running, Slots: slots}
}

func candidate(hall string, running int) willowwick.Candidate {
	return willowwick.Candidate{Hall: willowwick.HallID(hall), Load: load(running, 128), IsAvailable: true}
}

func TestOtherHallIsPickedOnlyWhenOwnHallIsBusier(t *testing.T) {
	assert.Equal(t, 0, pickOf(fixedSet{candidate("here", 6), candidate("there", 0)}))
	assert.Equal(t, 1, pickOf(fixedSet{candidate("here", 9), candidate("there", 0)}), "the penalty is half of the effective slots, not of all slots")
}

func TestPendingWorkAndFailuresRaiseTheScore(t *testing.T) {
	pending := candidate("here", 0)
	pending.QueueDelay = 8 * delayPerRequest
	assert.Equal(t, 1, pickOf(fixedSet{pending, candidate("here", 5)}))
	long := candidate("here", 0)
	long.PrefillTime = 8 * delayPerRequest / prefillWeight
	assert.Equal(t, 1, pickOf(fixedSet{long, candidate("here", 5)}))
	failing := candidate("here", 0)
	failing.FailureRate = 0.4
	assert.Equal(t, 1, pickOf(fixedSet{failing, candidate("here", 9)}))
}

func TestClosedEndpointsAreNotPicked(t *testing.T) {
	closed := candidate("here", 0)
	closed.IsAvailable = false
	assert.Equal(t, 1, pickOf(fixedSet{closed, candidate("there", 20)}))
	assert.Equal(t, noCandidate, pickOf(fixedSet{closed}))
	assert.Equal(t, noCandidate, pickOf(nil))
}

func pickFromNorth(set fixedSet) int {
	topology := willowwick.Topology{Hall: "here", Regions: map[willowwick.HallID]willowwick.RegionID{"here": "north", "near": "north", "far": "south"}}
	return NewHallFirst(topology, 1).Pick(time.Time{}, set, 0)
}

func TestOtherRegionIsPickedOnlyWhenTheOwnOneIsMuchBusier(t *testing.T) {
	assert.Equal(t, 0, pickFromNorth(fixedSet{candidate("near", 6), candidate("far", 0)}), "another hall of the region is nearer")
	assert.Equal(t, 0, pickFromNorth(fixedSet{candidate("here", 15), candidate("far", 0)}))
	assert.Equal(t, 1, pickFromNorth(fixedSet{candidate("here", 17), candidate("far", 0)}))
	closed := candidate("here", 0)
	closed.IsAvailable = false
	assert.Equal(t, 1, pickFromNorth(fixedSet{closed, candidate("far", 9)}))
}
